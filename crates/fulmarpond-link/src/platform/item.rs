//! Keys as they are read.

use serde::Deserialize;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the write that set the value.
    pub revision: u64,
}

/// All keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Items {
    /// The keys in their order.
    pub items: Vec<Item>,
    /// The revision of the store at which they were read; a watch can go on from it.
    pub revision: u64,
}

//! Keys and values read from the store.

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

/// All keys that begin with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Items {
    /// The keys in ascending order.
    pub items: Vec<Item>,
    /// The revision of the store at which the keys were read; a watch can continue from it.
    pub revision: u64,
}

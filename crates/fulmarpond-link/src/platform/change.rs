//! Changes reported by a watch.

use serde::Deserialize;

/// The latest change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<String>,
    /// The revision of the change.
    pub revision: u64,
}

/// The changes since a revision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// The changed keys, oldest change first; empty if nothing changed before the watch timed out.
    pub items: Vec<Change>,
    /// The revision from which the next watch continues.
    pub revision: u64,
}

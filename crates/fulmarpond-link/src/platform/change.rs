//! Changes that a watch reports.

use serde::Deserialize;

/// The latest change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value, `None` if the key was deleted.
    pub value: Option<String>,
    /// The revision of the change.
    pub revision: u64,
}

/// What changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// The changed keys, the oldest change first; empty if nothing changed in time.
    pub items: Vec<Change>,
    /// The revision to watch from next.
    pub revision: u64,
}

//! Rendezvous hashing, which ranks nodes for a key in the same way in every process.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the weight of a node for a key.
pub(crate) fn weight(node: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(node.as_bytes()))
}

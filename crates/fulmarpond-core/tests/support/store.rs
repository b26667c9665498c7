//! An in-memory fake of the platform's key-value service.

use std::collections::BTreeMap;

use fulmarpond_core::entry::{StoreError, StoreItem, StoreOp, StoreReply};

/// A key-value service with compare-and-swap on the revision of a key.
#[derive(Debug, Default)]
pub struct Store {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
}

impl Store {
    /// Performs a call. A write fails if `revision` is not the current revision of the key.
    pub fn perform(&mut self, op: StoreOp) -> Result<StoreReply, StoreError> {
        match op {
            StoreOp::Get(key) => Ok(StoreReply::Value(self.items.get(&key).cloned())),
            StoreOp::Put(mut item) => {
                let current = self.items.get(&item.key).map_or(0, |item| item.revision);
                if current != item.revision {
                    return Err(StoreError::Conflict);
                }
                self.revision += 1;
                item.revision = self.revision;
                self.items.insert(item.key.clone(), item);
                Ok(StoreReply::Written(self.revision))
            }
        }
    }

    /// Returns the revision of the latest write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the items that were written after `revision`, oldest first.
    pub fn changed_since(&self, revision: u64) -> Vec<StoreItem> {
        let mut items: Vec<_> = self
            .items
            .values()
            .filter(|item| item.revision > revision)
            .cloned()
            .collect();
        items.sort_by_key(|item| item.revision);
        items
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.items.get(key).map(|item| item.value.as_str())
    }

    /// Returns the highest configuration version.
    pub fn latest_config(&self) -> u64 {
        let versions = self.items.keys().filter_map(|key| {
            let version = key.strip_prefix("config/")?;
            version.parse().ok()
        });
        versions.max().unwrap_or(0)
    }
}

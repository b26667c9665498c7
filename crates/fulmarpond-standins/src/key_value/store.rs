//! The in-memory data of the key-value service: keys, revisions and leases. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use serde::Serialize;

/// A key with its value; a deleted key has none.
#[derive(Debug, Serialize)]
pub(super) struct Item {
    key: String,
    value: Option<String>,
    revision: u64,
}

/// A list of keys and the revision of the store at which it was read.
#[derive(Debug, Serialize)]
pub(super) struct Items {
    pub(super) items: Vec<Item>,
    revision: u64,
}

/// Reason why a write was refused.
#[derive(Debug)]
pub(super) enum WriteError {
    /// The current revision of the key differs from the expected one; 0 if the key does not exist.
    Conflict { revision: u64 },
    /// The lease does not exist.
    NoLease,
}

#[derive(Debug)]
struct Entry {
    /// `None` if the key has been deleted.
    value: Option<String>,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expiry: Instant,
    keys: BTreeSet<String>,
}

/// All keys and leases.
///
/// Deleted keys are kept with the revision of their deletion, so that watches can report them.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    last_lease: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
}

impl Store {
    pub(super) fn get(&self, key: &str) -> Option<Item> {
        let entry = self.entries.get(key)?;
        entry.value.as_ref()?;
        Some(item(key, entry))
    }

    pub(super) fn list(&self, prefix: &str) -> Items {
        let is_live = |entry: &Entry| entry.value.is_some();
        self.select(prefix, is_live)
    }

    /// Returns the keys with `prefix` that changed after revision `after`, oldest change first.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Items {
        let mut changes = self.select(prefix, |entry| entry.revision > after);
        changes.items.sort_by_key(|item| item.revision);
        changes
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: String,
        if_revision: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, WriteError> {
        self.check_revision(key, if_revision)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::NoLease);
        }
        Ok(self.set_entry(key, Some(value), lease))
    }

    /// Deletes a key and returns the revision of the store.
    pub(super) fn delete(
        &mut self,
        key: &str,
        if_revision: Option<u64>,
    ) -> Result<u64, WriteError> {
        if self.check_revision(key, if_revision)? > 0 {
            self.set_entry(key, None, None);
        }
        Ok(self.revision)
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            expiry: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease and returns whether it exists.
    pub(super) fn renew(&mut self, lease: u64, now: Instant) -> bool {
        self.leases.get_mut(&lease).is_some_and(|lease| {
            lease.expiry = now + lease.ttl;
            true
        })
    }

    /// Removes a lease, deletes its keys and returns whether the lease existed.
    pub(super) fn revoke(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.remove(&lease) else {
            return false;
        };
        for key in lease.keys {
            self.set_entry(&key, None, None);
        }
        true
    }

    /// Revokes the leases that have expired at `now` and returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<_> = (self.leases.iter())
            .filter(|(_, lease)| lease.expiry <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &expired {
            self.revoke(*lease);
        }
        !expired.is_empty()
    }

    /// Returns the earliest lease expiry.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expiry).min()
    }

    /// Returns the current revision of `key` (0 if it does not exist), or a conflict if
    /// `if_revision` is set and differs.
    fn check_revision(&self, key: &str, if_revision: Option<u64>) -> Result<u64, WriteError> {
        let revision = (self.entries.get(key))
            .filter(|entry| entry.value.is_some())
            .map_or(0, |entry| entry.revision);
        match if_revision {
            Some(expected) if expected != revision => Err(WriteError::Conflict { revision }),
            _ => Ok(revision),
        }
    }

    fn set_entry(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let entry = Entry {
            value,
            revision: self.revision,
            lease,
        };
        let previous = self.entries.insert(key.to_owned(), entry);
        if let Some(old_lease) = previous.and_then(|entry| entry.lease)
            && let Some(old_lease) = self.leases.get_mut(&old_lease)
        {
            old_lease.keys.remove(key);
        }
        if let Some(lease) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            lease.keys.insert(key.to_owned());
        }
        self.revision
    }

    fn select(&self, prefix: &str, predicate: impl Fn(&Entry) -> bool) -> Items {
        let range = (Bound::Included(prefix), Bound::Unbounded);
        let items = (self.entries.range::<str, _>(range))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| predicate(entry))
            .map(|(key, entry)| item(key, entry))
            .collect();
        Items {
            items,
            revision: self.revision,
        }
    }
}

fn item(key: &str, entry: &Entry) -> Item {
    Item {
        key: key.to_owned(),
        value: entry.value.clone(),
        revision: entry.revision,
    }
}

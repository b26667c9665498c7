//! The list of evacuated zones.

use std::collections::BTreeSet;

use fulmarpond_derive::message;

/// The evacuated zones at a revision of the store.
#[message]
#[derive(Eq, Default)]
pub struct Evacuations {
    revision: u64,
    zones: BTreeSet<String>,
}

/// The effect of a list on the one that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The list is newer and names other zones.
    Changed,
    /// Nothing changes, apart from the revision.
    Unchanged,
    /// The list is older and names other zones, so its sender needs the current one.
    Outdated,
}

impl Evacuations {
    /// Creates a list that was read at a revision of the store.
    pub fn new(revision: u64, zones: impl IntoIterator<Item = String>) -> Self {
        Self {
            revision,
            zones: zones.into_iter().collect(),
        }
    }

    /// Returns the revision of the store; 0 if no list is known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether a list is known.
    pub const fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Replaces this list with one of a higher revision. Other lists have no effect, so a stale
    /// read or a late message cannot bring back an earlier state.
    pub fn update(&mut self, other: &Self) -> Update {
        let differs = self.zones != other.zones;
        if other.revision > self.revision {
            self.revision = other.revision;
            self.zones.clone_from(&other.zones);
        } else if differs && other.revision < self.revision {
            return Update::Outdated;
        } else {
            return Update::Unchanged;
        }
        if differs {
            Update::Changed
        } else {
            Update::Unchanged
        }
    }
}

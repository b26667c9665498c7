//! The configuration that a process holds, with the last changes that led to it.

use std::collections::VecDeque;

use fulmarpond_derive::message;
use thiserror::Error;

use super::{Configuration, ConfigurationChange};

/// The maximum number of changes that are kept.
const MAX_CHANGES: usize = 64;

/// What brings the receiver to a later version.
#[message]
pub enum ConfigurationUpdate {
    /// A whole configuration.
    Whole(Configuration),
    /// Changes, each of which applies to the version before.
    Changes(Vec<ConfigurationChange>),
}

impl ConfigurationUpdate {
    /// Returns the version that results; 0 for none.
    pub fn version(&self) -> u64 {
        match self {
            Self::Whole(configuration) => configuration.version,
            Self::Changes(changes) => changes.last().map_or(0, |change| change.version),
        }
    }
}

/// An error for changes that apply to a version that is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the changes apply to version {base}, and version {held} is held")]
pub struct UnknownBase {
    base: u64,
    held: u64,
}

/// The newest known configuration, and the last changes that led to it.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    current: Option<Configuration>,
    changes: VecDeque<ConfigurationChange>,
}

impl ConfigurationLog {
    /// Returns the configuration.
    pub const fn current(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Returns the version of the configuration; 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |known| known.version)
    }

    /// Replaces the configuration by a newer one; returns the number of routes that it changes, or
    /// `None` if it is not newer. The first configuration changes all of its routes.
    pub fn replace(&mut self, next: Configuration) -> Option<usize> {
        if next.version <= self.version() {
            return None;
        }
        let mut len = next.route_count();
        if let Some(known) = &self.current {
            let change = ConfigurationChange::between(known, &next);
            len = change.len();
            self.changes.push_back(change);
        }
        self.current = Some(next);
        self.drop_old_changes();
        Some(len)
    }

    /// Applies what another process has sent; returns the number of routes that it changes, or
    /// `None` if it is not newer.
    ///
    /// # Errors
    ///
    /// Fails if the changes apply to a version that is not held.
    pub fn apply(&mut self, update: ConfigurationUpdate) -> Result<Option<usize>, UnknownBase> {
        if update.version() <= self.version() {
            return Ok(None);
        }
        let changes = match update {
            ConfigurationUpdate::Whole(configuration) => return Ok(self.replace(configuration)),
            ConfigurationUpdate::Changes(changes) => changes,
        };
        let mut len = 0;
        for change in changes {
            if change.version <= self.version() {
                continue;
            }
            let held = self.version();
            let Some(known) = self.current.as_ref().filter(|_| change.base == held) else {
                let base = change.base;
                return Err(UnknownBase { base, held });
            };
            len += change.len();
            self.current = Some(change.apply_to(known));
            self.changes.push_back(change);
        }
        self.drop_old_changes();
        Ok(Some(len))
    }

    /// Returns what brings a process that holds a version to the current one; `None` if that is not
    /// newer.
    pub fn update_since(&self, held: u64) -> Option<ConfigurationUpdate> {
        let current = self.current.as_ref()?;
        if held >= current.version {
            return None;
        }
        let start = self.changes.iter().position(|change| change.base == held);
        Some(match start {
            Some(start) => {
                ConfigurationUpdate::Changes(self.changes.iter().skip(start).cloned().collect())
            }
            None => ConfigurationUpdate::Whole(current.clone()),
        })
    }

    /// Drops the oldest changes once all together are larger than the configuration.
    fn drop_old_changes(&mut self) {
        let max = self.current.as_ref().map_or(0, Configuration::route_count);
        let mut len: usize = self.changes.iter().map(ConfigurationChange::len).sum();
        while self.changes.len() > MAX_CHANGES || len > max {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            len -= dropped.len();
        }
    }
}

//! Numbers of configuration versions.

use fulmarpond_derive::value;
use serde::{Deserialize, Serialize};

/// The number of a configuration version. Version 0 is the built-in configuration.
#[value]
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the next version number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

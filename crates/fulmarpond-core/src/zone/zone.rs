//! The name of an availability zone.

use std::fmt;

use fulmarpond_derive::key;

/// The name of an availability zone.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::zone::Zone;
///
/// assert_eq!(Zone::new("Saga").as_str(), "Saga");
/// ```
#[key]
#[serde(transparent)]
pub struct Zone(String);

impl Zone {
    /// Creates a zone from its name.
    pub fn new(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

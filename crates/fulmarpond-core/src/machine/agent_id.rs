//! The identity of one incarnation of an agent.

use std::fmt;

use fulmarpond_derive::key;
use xxhash_rust::xxh3::xxh3_64;

/// The identity of one incarnation of an agent: its host name and a random number chosen at each
/// start.
///
/// The text form is `host~incarnation`, with the number in hexadecimal.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::machine::AgentId;
///
/// let id = AgentId::new("saga-1", 0x2a);
/// assert_eq!(id.as_str(), "saga-1~2a");
/// assert_eq!(id.host(), "saga-1");
/// ```
#[key]
#[serde(transparent)]
pub struct AgentId(String);

impl AgentId {
    /// Creates the id of incarnation `incarnation` of the agent on `host`.
    pub fn new(host: &str, incarnation: u64) -> Self {
        Self(format!("{host}~{incarnation:x}"))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the host name.
    pub fn host(&self) -> &str {
        self.0.split('~').next().unwrap_or(&self.0)
    }

    /// Returns the XXH3 64-bit hash of the id, from which the weight of the agent for a job is
    /// computed.
    pub fn hash64(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

impl fmt::Display for AgentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

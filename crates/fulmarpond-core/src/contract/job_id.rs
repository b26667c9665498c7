//! The identity of a job.

use std::fmt;

use fulmarpond_derive::key;
use xxhash_rust::xxh3::xxh3_128;

/// The identity of a job: the team that submitted it and the submission id that the caller chose.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::contract::JobId;
///
/// let id = JobId::new("hunt-desk", "round-1");
/// assert_eq!(id.to_string(), "hunt-desk/round-1");
/// ```
#[key]
pub struct JobId {
    team: String,
    name: String,
}

impl JobId {
    /// Creates the id of the submission `name` by `team`.
    pub fn new(team: &str, name: &str) -> Self {
        Self {
            team: team.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Returns the team that submitted the job.
    pub fn team(&self) -> &str {
        &self.team
    }

    /// Returns the submission id that the caller chose.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the XXH3 128-bit hash of `team/name`, the key under which agents keep the job's
    /// tombstone.
    pub fn digest(&self) -> u128 {
        let mut bytes = Vec::with_capacity(self.team.len() + self.name.len() + 1);
        bytes.extend_from_slice(self.team.as_bytes());
        bytes.push(b'/');
        bytes.extend_from_slice(self.name.as_bytes());
        xxh3_128(&bytes)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

//! Parses calls to the key-value service and counts them by kind.

use serde::{Deserialize, Serialize};

/// Number of calls that the key-value service received, by kind.
///
/// Includes calls that were answered with an error; excludes requests under `/control`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Calls {
    /// Reads of one key.
    pub get: u64,
    /// Reads of all keys with a prefix.
    pub list: u64,
    /// Writes of a key.
    pub put: u64,
    /// Deletions of a key.
    pub delete: u64,
    /// Watches; a long poll counts once.
    pub watch: u64,
    /// Requests for a lease.
    pub grant: u64,
    /// Renewals of a lease.
    pub renew: u64,
    /// Revocations of a lease.
    pub revoke: u64,
}

impl Calls {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.get
            + self.list
            + self.put
            + self.delete
            + self.watch
            + self.grant
            + self.renew
            + self.revoke
    }

    pub(super) fn count(&mut self, call: &Call<'_>) {
        *match call {
            Call::Get(_) => &mut self.get,
            Call::List => &mut self.list,
            Call::Put(_) => &mut self.put,
            Call::Delete(_) => &mut self.delete,
            Call::Watch => &mut self.watch,
            Call::Grant => &mut self.grant,
            Call::Renew(_) => &mut self.renew,
            Call::Revoke(_) => &mut self.revoke,
        } += 1;
    }
}

/// A call to the key-value service, with its key or lease.
#[derive(Debug, Clone, Copy)]
pub(super) enum Call<'a> {
    Get(&'a str),
    List,
    Put(&'a str),
    Delete(&'a str),
    Watch,
    Grant,
    Renew(u64),
    Revoke(u64),
}

impl<'a> Call<'a> {
    pub(super) fn parse(method: &str, path: &'a str) -> Option<Self> {
        if let Some(key) = path.strip_prefix("/kv/").filter(|key| !key.is_empty()) {
            return match method {
                "GET" => Some(Self::Get(key)),
                "PUT" => Some(Self::Put(key)),
                "DELETE" => Some(Self::Delete(key)),
                _ => None,
            };
        }
        if let Some(lease) = path.strip_prefix("/lease/") {
            let lease = lease.parse().ok()?;
            return match method {
                "POST" => Some(Self::Renew(lease)),
                "DELETE" => Some(Self::Revoke(lease)),
                _ => None,
            };
        }
        match (method, path) {
            ("GET", "/kv") => Some(Self::List),
            ("GET", "/watch") => Some(Self::Watch),
            ("POST", "/lease") => Some(Self::Grant),
            _ => None,
        }
    }
}

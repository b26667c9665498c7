//! Settings that only an entry has.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings that only an entry has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The address of the platform's key-value service.
    pub kv: SocketAddr,
    /// The longest wait for a reply of the key-value service, 500 ms by default. A watch waits for
    /// its own time in addition.
    pub timeout: Duration,
    /// The file with the tokens of callers, as written; without it callers need no token.
    pub callers_file: Option<PathBuf>,
    /// The file with the tokens of operators, as written; without it operators need no token.
    pub operators_file: Option<PathBuf>,
}

impl EntrySettings {
    /// Creates settings with the default timeout and without token files.
    pub fn new(kv: SocketAddr) -> Self {
        Self {
            kv,
            timeout: Duration::from_millis(500),
            callers_file: None,
            operators_file: None,
        }
    }

    /// Sets the longest wait for a reply of the key-value service.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the file with the tokens of callers.
    #[must_use]
    pub fn callers_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.callers_file = Some(path.into());
        self
    }

    /// Sets the file with the tokens of operators.
    #[must_use]
    pub fn operators_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.operators_file = Some(path.into());
        self
    }
}

//! Settings specific to the entry role.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings specific to the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The address of the platform's key-value service.
    pub kv: SocketAddr,
    /// The timeout of a request to the key-value service, 500 ms by default. For a watch, it is
    /// added to the duration of the watch.
    pub timeout: Duration,
    /// The path of the token file of callers, as written in the file. If `None`, callers need no
    /// token.
    pub callers_file: Option<PathBuf>,
    /// The path of the token file of operators, as written in the file. If `None`, operators need
    /// no token.
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

    /// Sets the timeout of a request to the key-value service.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the path of the token file of callers.
    #[must_use]
    pub fn callers_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.callers_file = Some(path.into());
        self
    }

    /// Sets the path of the token file of operators.
    #[must_use]
    pub fn operators_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.operators_file = Some(path.into());
        self
    }
}

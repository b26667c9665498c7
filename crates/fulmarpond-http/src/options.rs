//! Options of a listener.

use std::time::Duration;

/// Options of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The maximum number of open connections, 1,024 by default. Connections above it are closed at
    /// once.
    pub max_connections: usize,
    /// The maximum size of a request body in bytes, 1 MiB by default.
    pub max_body_bytes: u64,
    /// The maximum number of headers of a request, 64 by default.
    pub max_headers: usize,
    /// The timeout for receiving the head of a request, 60 s by default.
    ///
    /// It starts when the connection is ready for a request, so it also closes idle connections. It
    /// also limits the time between two parts of a request body.
    pub header_timeout: Duration,
    /// The number of worker threads of the listener's runtime, 2 by default.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_body_bytes: 1 << 20,
            max_headers: 64,
            header_timeout: Duration::from_secs(60),
            threads: 2,
        }
    }
}

impl Options {
    /// Sets the maximum number of open connections.
    #[must_use]
    pub const fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the maximum size of a request body in bytes.
    #[must_use]
    pub const fn max_body_bytes(mut self, max_body_bytes: u64) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets the maximum number of headers of a request.
    #[must_use]
    pub const fn max_headers(mut self, max_headers: usize) -> Self {
        self.max_headers = max_headers;
        self
    }

    /// Sets the timeout for receiving the head of a request.
    #[must_use]
    pub const fn header_timeout(mut self, header_timeout: Duration) -> Self {
        self.header_timeout = header_timeout;
        self
    }

    /// Sets the number of worker threads of the listener's runtime.
    #[must_use]
    pub const fn threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }
}

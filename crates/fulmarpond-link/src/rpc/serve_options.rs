//! Options of a link server.

use std::time::Duration;

use super::Secret;

/// Options of a [`LinkServer`](super::LinkServer).
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// The secret that a connection must present. `None` admits every connection.
    pub secret: Option<Secret>,
    /// The largest request and response in bytes. Both sides of a link need the same value.
    pub max_body: u32,
    /// The largest number of open connections. Further ones are closed at once.
    pub max_connections: usize,
    /// The interval between WebSocket pings.
    pub ping_interval: Duration,
    /// The time without any byte received after which a connection counts as silent and is
    /// closed. It must span several pings of both sides.
    pub inactive_limit: Duration,
}

impl Default for ServeOptions {
    /// No secret, 16 MiB, 10,000 connections, pings each second, silent after 5 s.
    fn default() -> Self {
        Self {
            secret: None,
            max_body: 16 << 20,
            max_connections: 10_000,
            ping_interval: Duration::from_secs(1),
            inactive_limit: Duration::from_secs(5),
        }
    }
}

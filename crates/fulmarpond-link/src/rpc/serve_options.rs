//! Options of link servers.

use std::time::Duration;

use super::Secret;

/// Options of a [`LinkServer`](super::LinkServer).
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// The secret that clients must send in the WebSocket handshake. With `None` every connection
    /// is accepted.
    pub secret: Option<Secret>,
    /// The maximum size of a request and of a response in bytes. Client and server need the same
    /// value.
    pub max_body_bytes: u32,
    /// The maximum number of open connections. Further connections are closed on accept.
    pub max_connections: usize,
    /// The interval between WebSocket pings.
    pub ping_interval: Duration,
    /// The time without any received byte after which a connection is considered dead and is
    /// closed. It must be several times the ping interval of client and server.
    pub inactive_limit: Duration,
}

impl Default for ServeOptions {
    /// No secret, bodies of up to 16 MiB, 10,000 connections, a ping every second, closed after
    /// 5 s without received bytes.
    fn default() -> Self {
        Self {
            secret: None,
            max_body_bytes: 16 << 20,
            max_connections: 10_000,
            ping_interval: Duration::from_secs(1),
            inactive_limit: Duration::from_secs(5),
        }
    }
}

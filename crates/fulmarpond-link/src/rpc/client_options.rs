//! Options of link clients.

use std::time::Duration;

use super::Secret;

/// Options of a [`LinkClient`](super::LinkClient).
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// The secret sent in the WebSocket handshake. With `None` no secret is sent.
    pub secret: Option<Secret>,
    /// The maximum size of a request and of a response in bytes. Client and server need the same
    /// value: a larger response closes the connection and all its calls are lost.
    pub max_body_bytes: u32,
    /// The interval between WebSocket pings.
    pub ping_interval: Duration,
    /// The time without any received byte after which a connection is considered dead and is
    /// closed. It must be several times the ping interval of client and server.
    pub inactive_limit: Duration,
    /// The timeout for opening a connection, including the WebSocket handshake.
    pub connect_timeout: Duration,
    /// The time without calls after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientOptions {
    /// No secret, bodies of up to 16 MiB, a ping every second, closed after 5 s without received
    /// bytes, 1 s to connect, closed after 60 s without calls.
    fn default() -> Self {
        Self {
            secret: None,
            max_body_bytes: 16 << 20,
            ping_interval: Duration::from_secs(1),
            inactive_limit: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

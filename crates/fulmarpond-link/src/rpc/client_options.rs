//! Options of a link client.

use std::time::Duration;

use super::Secret;

/// Options of a [`LinkClient`](super::LinkClient).
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// The secret sent when a connection is opened. `None` sends none.
    pub secret: Option<Secret>,
    /// The largest request and response in bytes. Both sides of a link need the same value: a
    /// larger response ends the connection with all its calls.
    pub max_body: u32,
    /// The interval between WebSocket pings.
    pub ping_interval: Duration,
    /// The time without any byte received after which a connection counts as silent and is
    /// closed. It must span several pings of both sides.
    pub inactive_limit: Duration,
    /// The time allowed for opening a connection, WebSocket handshake included.
    pub connect_timeout: Duration,
    /// The time without calls after which a connection is closed.
    pub idle_limit: Duration,
}

impl Default for ClientOptions {
    /// No secret, 16 MiB, pings each second, silent after 5 s, 1 s to connect, closed after 60 s
    /// without calls.
    fn default() -> Self {
        Self {
            secret: None,
            max_body: 16 << 20,
            ping_interval: Duration::from_secs(1),
            inactive_limit: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            idle_limit: Duration::from_secs(60),
        }
    }
}

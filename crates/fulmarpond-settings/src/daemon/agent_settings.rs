//! Settings that only an agent has.

use std::net::SocketAddr;

/// Settings that only an agent has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The addresses of the entries' link listeners, at least one.
    pub entries: Vec<SocketAddr>,
}

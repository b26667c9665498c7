//! Settings specific to the agent role.

use std::net::SocketAddr;

/// Settings specific to the agent role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The link addresses of the entries; at least one.
    pub entries: Vec<SocketAddr>,
}

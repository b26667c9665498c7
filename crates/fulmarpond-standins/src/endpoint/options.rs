//! What an endpoint is and has.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Options of an [`Endpoint`](crate::Endpoint).
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// The address to listen on; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// The HTTP address of the agent on the endpoint's host.
    pub agent: SocketAddr,
    /// How many tasks run at once.
    pub slots: u32,
    /// How many connections are open at once; more are closed when they are accepted.
    pub connections: u32,
    /// The zone of the endpoint.
    pub zone: String,
    /// What the endpoint's host has.
    pub limits: EndpointLimits,
}

/// What the host of an endpoint has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Processor cores.
    pub processors: u32,
    /// Accelerators.
    pub accelerators: u32,
}

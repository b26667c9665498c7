//! Options of an endpoint and the resources of its host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Options of an [`Endpoint`](crate::Endpoint).
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// The address to listen on; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// The HTTP address of the agent on the endpoint's host.
    pub agent: SocketAddr,
    /// Maximum number of concurrent tasks; more are refused with status 503.
    pub slots: u32,
    /// Maximum number of open connections; more are closed as soon as they are accepted.
    pub connections: u32,
    /// The availability zone of the endpoint.
    pub zone: String,
    /// Resources of the endpoint's host.
    pub limits: EndpointLimits,
}

/// Resources of an endpoint's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of processor cores.
    pub processors: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

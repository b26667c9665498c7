//! The heartbeats with which an endpoint registers at its agent.

use std::net::SocketAddr;

use fulmarpond_derive::value;

use crate::{EndpointId, Resources};

/// Whether an endpoint accepts new tasks.
#[value]
pub enum EndpointState {
    /// It accepts new tasks.
    Ready,
    /// It is about to stop and accepts no new tasks.
    Draining,
}

/// A heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// The incarnation of the endpoint.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: String,
    /// The address of its API.
    pub addr: SocketAddr,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its labels, such as kind and rack.
    pub labels: Vec<String>,
    /// Whether it accepts new tasks.
    pub state: EndpointState,
    /// The time until it runs at its usual speed after a cold start, in milliseconds; 0 if it is
    /// warm.
    pub cold_remaining_ms: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
}

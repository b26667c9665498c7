//! What an endpoint says about itself.

use std::net::SocketAddr;

use fulmarpond_derive::value;

use crate::{EndpointId, Needs};

/// Whether an endpoint takes new tasks.
#[value]
pub enum EndpointState {
    /// It takes new tasks.
    Ready,
    /// It is about to leave and takes none.
    Draining,
}

/// One heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// The incarnation.
    pub id: EndpointId,
    /// The service whose tasks it runs.
    pub service: String,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Its room.
    pub capacity: Needs,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it takes new tasks.
    pub state: EndpointState,
    /// The number of the heartbeat within the incarnation; a lower one is older.
    pub sequence: u64,
}

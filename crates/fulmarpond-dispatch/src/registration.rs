//! The heartbeats with which an endpoint registers at its agent.

use std::net::SocketAddr;

use fulmarpond_derive::{key, value};
use thiserror::Error;

use crate::{EndpointId, Resources};

/// Whether an endpoint accepts new tasks.
#[value]
pub enum EndpointState {
    /// It accepts new tasks.
    Ready,
    /// It is about to stop and accepts no new tasks.
    Draining,
}

/// One life of an endpoint. An endpoint that restarts may keep its id, but not the time of its start.
#[key]
pub struct Incarnation {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// When it was started, in Unix milliseconds; 0 if the endpoint does not say.
    pub born: u64,
}

/// A heartbeat of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// When this incarnation was started, in Unix milliseconds; 0 if the heartbeat does not say.
    pub born: u64,
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

impl Registration {
    /// Returns the incarnation that sent the heartbeat.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// Why a heartbeat is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RegistrationError {
    /// An incarnation belongs to one service for its whole life.
    #[error("the service differs from that of earlier heartbeats of this incarnation")]
    ServiceChanged,
    /// Earlier heartbeats of this incarnation named its capacity.
    #[error("the capacity is missing, which earlier heartbeats of this incarnation named")]
    CapacityMissing,
}

//! The registration of an endpoint with the agent on its host.

use std::net::SocketAddr;

use fulmarpond_derive::message;

use crate::contract::Needs;

/// What an endpoint announces to the agent on its host.
#[message]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// The address at which it runs tasks.
    pub addr: SocketAddr,
    /// The tasks that it runs at once.
    pub slots: u32,
    /// The connections that it accepts.
    pub connections: u32,
    /// The zone that it is in.
    pub zone: String,
    /// What it offers to one task.
    pub limits: Needs,
}

impl Registration {
    /// Returns the tasks that may be sent to the endpoint at once.
    pub fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

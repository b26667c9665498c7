//! The registration of an endpoint with the agent on its host.

use std::net::SocketAddr;

use fulmarpond_derive::message;

use crate::contract::Resources;

/// The data with which an endpoint registers with the agent on its host.
#[message]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// The address at which the endpoint accepts tasks.
    pub addr: SocketAddr,
    /// The number of tasks that it runs concurrently.
    pub slots: u32,
    /// The number of concurrent connections that it accepts.
    pub connections: u32,
    /// The zone that it is in.
    pub zone: String,
    /// The resources that it offers to one task.
    pub limits: Resources,
}

impl Registration {
    /// Returns the number of tasks that the endpoint can run concurrently, each over its own
    /// connection.
    pub fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

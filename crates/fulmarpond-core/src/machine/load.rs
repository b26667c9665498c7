//! The load of an agent.

use fulmarpond_derive::message;

/// The load that an agent reports with each reply.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Load {
    /// The slots of the endpoint, 0 while no endpoint is registered.
    pub slots: u32,
    /// The slots that are neither busy nor held by a grant.
    pub free: u32,
    /// The tasks that wait for a slot.
    pub queued: u32,
    /// Whether the last tasks all failed, so that the agent should get no work for now.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub failing: bool,
}

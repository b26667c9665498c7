//! The load of an agent.

use fulmarpond_derive::message;

/// The load of an agent, sent with its announcements and its replies to homes.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Load {
    /// The slots of the endpoint, 0 while no registered endpoint accepts new tasks.
    pub slots: u32,
    /// The slots that are neither busy nor held by a grant, at most 1 while the endpoint is probed.
    pub free: u32,
    /// The number of tasks that wait for a slot.
    pub queued: u32,
    /// Whether the endpoint is ejected after consecutive failures, so that homes should send no
    /// tasks to the agent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub failing: bool,
}

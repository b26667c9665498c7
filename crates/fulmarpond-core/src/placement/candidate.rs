//! The load of one agent that placement may choose.

use fulmarpond_derive::value;

/// An agent that may run the task, with its estimated load.
#[value]
pub struct Candidate {
    /// The estimated number of free slots.
    pub free_slots: u32,
    /// The estimated number of tasks in its queue.
    pub queued_tasks: u32,
    /// The total number of slots of its endpoint.
    pub slots: u32,
    /// Whether it is in the zone of the home.
    pub is_same_zone: bool,
}

impl Candidate {
    /// Returns the number of running and queued tasks per thousand slots.
    pub fn pressure(&self) -> u32 {
        let busy = self.slots.saturating_sub(self.free_slots) + self.queued_tasks;
        busy.saturating_mul(1_000) / self.slots.max(1)
    }
}

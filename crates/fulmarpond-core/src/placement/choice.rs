//! What placement knows of one agent.

use fulmarpond_derive::value;

/// What placement knows of one agent that may run the task.
#[value]
pub struct Choice {
    /// The slots that are believed free.
    pub free: u32,
    /// The tasks that are believed to wait in its queue.
    pub queued: u32,
    /// The slots of its endpoint.
    pub slots: u32,
    /// Whether it is in the zone of the home.
    pub near: bool,
}

impl Choice {
    /// Returns the tasks per thousand slots that are running or waiting.
    pub fn pressure(&self) -> u32 {
        let busy = self.slots.saturating_sub(self.free) + self.queued;
        busy.saturating_mul(1_000) / self.slots.max(1)
    }
}

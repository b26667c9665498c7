//! The bound on the memory of the tasks at an agent.

use super::agent::Agent;
use super::run::Run;
use crate::Order;

/// The bound of a new agent, in bytes.
const DEFAULT_LIMIT_BYTES: usize = 30 * 1024 * 1024;

/// The most that a task takes, in bytes, with a specification of its own of the largest size.
const MAX_TASK_BYTES: usize = 5 * 1024;

/// What a task takes beside its specification, in bytes: its row, its place in the queue and its
/// report.
const TASK_BYTES: usize = 1_024;

/// The bound on the memory of the tasks at an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunMemory {
    limit: usize,
}

impl Default for RunMemory {
    fn default() -> Self {
        Self {
            limit: DEFAULT_LIMIT_BYTES,
        }
    }
}

impl Agent {
    /// Sets the memory that the tasks at the agent may take, in bytes.
    pub const fn set_run_bytes(&mut self, limit: usize) {
        self.run_memory.limit = limit;
    }

    /// Returns how many tasks of an order may be added.
    pub(super) fn room_for_tasks(&self, order: &Order) -> usize {
        let limit = self.run_memory.limit;
        let count = order.indexes.len();
        if (self.runs.len() + count) * MAX_TASK_BYTES <= limit {
            return count;
        }
        let held: usize = self.runs.values().map(Run::bytes).sum();
        limit.saturating_sub(held + order.spec.len()) / TASK_BYTES
    }
}

impl Run {
    /// Returns about how much memory the task takes, in bytes, with its part of the specification.
    fn bytes(&self) -> usize {
        TASK_BYTES + self.spec.len() / std::rc::Rc::strong_count(&self.spec)
    }
}

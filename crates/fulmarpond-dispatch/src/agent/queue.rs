//! Tasks that wait for room.

use std::collections::BTreeSet;

use fulmarpond_core::Time;

use crate::TaskKey;

/// How many waiting tasks are tried when the first does not fit.
const LOOKAHEAD: usize = 6;

/// The waiting tasks, in the order of the times until which they have to start.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeSet<(Time, TaskKey)>,
}

impl Queue {
    pub(super) fn push(&mut self, start_by: Time, task: TaskKey) {
        self.waiting.insert((start_by, task));
    }

    pub(super) fn remove(&mut self, start_by: Time, task: &TaskKey) {
        self.waiting.remove(&(start_by, task.clone()));
    }

    /// Returns the first task in order that `fits` accepts, among the next few.
    pub(super) fn first(&self, fits: impl Fn(&TaskKey) -> bool) -> Option<TaskKey> {
        let mut order = self.waiting.iter().take(LOOKAHEAD).map(|(_, task)| task);
        order.find(|task| fits(task)).cloned()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

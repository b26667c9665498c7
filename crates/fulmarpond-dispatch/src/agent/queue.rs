//! The queue of tasks that wait for free capacity.

use std::collections::BTreeSet;

use fulmarpond_core::Time;

use crate::TaskKey;

/// How many tasks from the head of the queue are considered when the first does not fit.
const MAX_LOOKAHEAD: usize = 6;

/// The queued tasks, ordered by their latest start.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tasks: BTreeSet<(Time, TaskKey)>,
}

impl Queue {
    pub(super) fn push(&mut self, start_by: Time, task: TaskKey) {
        self.tasks.insert((start_by, task));
    }

    pub(super) fn remove(&mut self, start_by: Time, task: &TaskKey) {
        self.tasks.remove(&(start_by, task.clone()));
    }

    /// Returns the first task that `fits` accepts among the first [`MAX_LOOKAHEAD`].
    pub(super) fn first_fitting(&self, fits: impl Fn(&TaskKey) -> bool) -> Option<TaskKey> {
        let mut candidates = self.tasks.iter().take(MAX_LOOKAHEAD).map(|(_, task)| task);
        candidates.find(|task| fits(task)).cloned()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}

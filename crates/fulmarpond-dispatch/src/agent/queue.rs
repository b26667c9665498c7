//! The queue of the tasks of one class that wait for free capacity.

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

    /// Like [`first_fitting`](Self::first_fitting), for the tasks that have to start by a time.
    pub(super) fn first_fitting_until(
        &self,
        start_by: Time,
        fits: impl Fn(&TaskKey) -> bool,
    ) -> Option<TaskKey> {
        let candidates = self.tasks.iter().take(MAX_LOOKAHEAD);
        let mut earlier = candidates.take_while(|(time, _)| *time <= start_by);
        let found = earlier.find(|(_, task)| fits(task));
        found.map(|(_, task)| task.clone())
    }

    /// Returns the first task and its latest start.
    pub(super) fn first(&self) -> Option<(Time, &TaskKey)> {
        self.tasks.first().map(|(start_by, task)| (*start_by, task))
    }

    /// Returns the first tasks with their latest start, as many as are considered for free capacity.
    pub(super) fn considered(&self) -> impl Iterator<Item = (Time, &TaskKey)> {
        let first = self.tasks.iter().take(MAX_LOOKAHEAD);
        first.map(|(start_by, task)| (*start_by, task))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}

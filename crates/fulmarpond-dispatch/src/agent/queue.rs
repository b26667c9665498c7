//! The queue of the tasks of one class that wait for free capacity.

use std::collections::BTreeSet;

use fulmarpond_core::Time;

use crate::TaskKey;

/// How many tasks from the head of the queue are considered when the first does not fit.
const MAX_LOOKAHEAD: usize = 6;

/// Which tasks have their turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// All of them.
    All,
    /// Those that are not suspected of crashing the endpoint.
    Sound,
}

/// The queued tasks, ordered by their latest start.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tasks: BTreeSet<(Time, TaskKey)>,
    /// Those that are not suspected.
    sound: BTreeSet<(Time, TaskKey)>,
}

impl Queue {
    pub(super) fn push(&mut self, start_by: Time, task: TaskKey, is_suspected: bool) {
        if !is_suspected {
            self.sound.insert((start_by, task.clone()));
        }
        self.tasks.insert((start_by, task));
    }

    pub(super) fn remove(&mut self, start_by: Time, task: &TaskKey) {
        let key = (start_by, task.clone());
        self.tasks.remove(&key);
        self.sound.remove(&key);
    }

    /// Returns whether a task waits that is not suspected.
    pub(super) fn has_sound(&self) -> bool {
        !self.sound.is_empty()
    }

    /// Returns the first task in its turn that `fits` accepts among the first [`MAX_LOOKAHEAD`].
    pub(super) fn first_fitting(
        &self,
        turn: Turn,
        fits: impl Fn(&TaskKey) -> bool,
    ) -> Option<TaskKey> {
        let candidates = self.in_turn(turn).iter().take(MAX_LOOKAHEAD);
        let mut candidates = candidates.map(|(_, task)| task);
        candidates.find(|task| fits(task)).cloned()
    }

    /// Like [`first_fitting`](Self::first_fitting), for the tasks that have to start by a time.
    pub(super) fn first_fitting_until(
        &self,
        start_by: Time,
        turn: Turn,
        fits: impl Fn(&TaskKey) -> bool,
    ) -> Option<TaskKey> {
        let candidates = self.in_turn(turn).iter().take(MAX_LOOKAHEAD);
        let mut earlier = candidates.take_while(|(time, _)| *time <= start_by);
        let found = earlier.find(|(_, task)| fits(task));
        found.map(|(_, task)| task.clone())
    }

    /// Returns whether a task has its turn.
    pub(super) fn has_turn(&self, turn: Turn, start_by: Time, task: &TaskKey) -> bool {
        self.in_turn(turn).contains(&(start_by, task.clone()))
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

    const fn in_turn(&self, turn: Turn) -> &BTreeSet<(Time, TaskKey)> {
        match turn {
            Turn::All => &self.tasks,
            Turn::Sound => &self.sound,
        }
    }
}

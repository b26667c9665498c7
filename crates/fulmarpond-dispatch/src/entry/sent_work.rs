//! The tasks that were planned at or sent to an agent and are not yet included in its status.
//!
//! Their sums are kept, since they are asked for each task that is placed.

use std::collections::VecDeque;

use crate::{Class, Resources};

/// A task that was planned or sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentTask {
    /// The number of its order on this link.
    pub(super) order: u64,
    pub(super) class: Class,
    pub(super) needs: Resources,
    /// The expected work, in core-milliseconds.
    pub(super) work: u64,
}

/// The tasks that were planned or sent, with their sums.
#[derive(Debug, Default)]
pub(super) struct SentWork {
    tasks: VecDeque<SentTask>,
    cpu: u64,
    memory: u64,
    accelerators: u64,
    /// The expected work by class, in core-milliseconds.
    work: [u64; Class::COUNT],
    /// The number of tasks by class.
    counts: [usize; Class::COUNT],
}

impl SentWork {
    pub(super) fn push(&mut self, task: SentTask) {
        self.add(task);
        self.tasks.push_back(task);
    }

    /// Removes the last task.
    pub(super) fn pop(&mut self) {
        let Some(task) = self.tasks.pop_back() else {
            return;
        };
        self.cpu -= u64::from(task.needs.cpu);
        self.memory -= u64::from(task.needs.memory);
        self.accelerators -= u64::from(task.needs.accelerators);
        self.work[task.class.index()] -= task.work;
        self.counts[task.class.index()] -= 1;
    }

    /// Keeps the tasks of the orders for which `is_kept` returns `true`.
    pub(super) fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        let before = self.tasks.len();
        self.tasks.retain(|task| is_kept(task.order));
        if self.tasks.len() == before {
            return;
        }
        let tasks = std::mem::take(&mut self.tasks);
        *self = Self::default();
        tasks.iter().for_each(|&task| self.add(task));
        self.tasks = tasks;
    }

    fn add(&mut self, task: SentTask) {
        self.cpu += u64::from(task.needs.cpu);
        self.memory += u64::from(task.needs.memory);
        self.accelerators += u64::from(task.needs.accelerators);
        self.work[task.class.index()] += task.work;
        self.counts[task.class.index()] += 1;
    }

    /// Returns the resources that all tasks need together.
    pub(super) fn needs(&self) -> Resources {
        let clamp = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Resources {
            cpu: clamp(self.cpu),
            memory: clamp(self.memory),
            accelerators: clamp(self.accelerators),
        }
    }

    /// Returns the expected work of a class, in core-milliseconds.
    pub(super) const fn work(&self, class: Class) -> u64 {
        self.work[class.index()]
    }

    /// Returns whether all tasks are of a class.
    pub(super) fn has_only(&self, class: Class) -> bool {
        self.counts[class.index()] == self.tasks.len()
    }
}

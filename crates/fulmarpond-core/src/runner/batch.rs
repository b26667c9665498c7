//! The memory of one batch at the agent that runs it.

use crate::Time;
use crate::contract::{JobId, Task};
use crate::link::{BatchId, BatchReport, CallId, Outcome, TaskReport};
use crate::machine::{AgentId, Load};

/// The identity of a batch: the home that sent it and its number there.
pub(super) type BatchKey = (AgentId, BatchId);

/// The memory of one batch. It is kept after the last report, since the report can be lost.
#[derive(Debug)]
pub(super) struct RunningBatch {
    /// The job.
    pub(super) job: JobId,
    /// The deadline of the job.
    pub(super) deadline: Time,
    /// Until when the batch is remembered.
    pub(super) forget: Time,
    /// The call that waits for a report.
    pub(super) waiter: Option<CallId>,
    /// The tasks that wait for a slot.
    queued: Vec<(u32, Task)>,
    /// The number of tasks that are running.
    active: u32,
    /// The outcomes so far.
    reports: Vec<TaskReport>,
    /// The number of reports that an earlier response carried.
    reported: usize,
}

impl RunningBatch {
    /// Creates the memory of a batch.
    pub(super) fn new(job: JobId, deadline: Time, forget: Time) -> Self {
        Self {
            job,
            deadline,
            forget,
            waiter: None,
            queued: Vec::new(),
            active: 0,
            reports: Vec::new(),
            reported: 0,
        }
    }

    /// Adds a task that waits for a slot.
    pub(super) fn queue(&mut self, index: u32, task: Task) {
        self.queued.push((index, task));
    }

    /// Takes a waiting task to start it. Returns `None` if it was dropped.
    pub(super) fn start(&mut self, index: u32) -> Option<Task> {
        let position = self
            .queued
            .iter()
            .position(|(queued, _)| *queued == index)?;
        self.active += 1;
        Some(self.queued.swap_remove(position).1)
    }

    /// Records the outcome of a task that was started.
    pub(super) fn end(&mut self, task: u32, outcome: Outcome) {
        self.active = self.active.saturating_sub(1);
        self.reports.push(TaskReport { task, outcome });
    }

    /// Records the outcome of a task that was never started.
    pub(super) fn refuse(&mut self, task: u32, outcome: Outcome) {
        self.reports.push(TaskReport { task, outcome });
    }

    /// Drops all waiting tasks and returns their positions in the job.
    pub(super) fn drop_queued(&mut self) -> Vec<u32> {
        self.queued.drain(..).map(|(index, _)| index).collect()
    }

    /// Returns whether tasks wait or run.
    pub(super) fn is_running(&self) -> bool {
        self.active > 0 || !self.queued.is_empty()
    }

    /// Returns whether the home should hear at once of a task that did not start.
    pub(super) fn has_news(&self) -> bool {
        self.reports[self.reported..]
            .iter()
            .any(|report| matches!(report.outcome, Outcome::NotStarted(_)))
    }

    /// Creates a report of the outcomes that no earlier response carried.
    pub(super) fn report(&mut self, batch: BatchId, load: Load) -> BatchReport {
        let tasks = self.reports[self.reported..].to_vec();
        self.reported = self.reports.len();
        BatchReport {
            batch,
            running: self.is_running(),
            tasks,
            load,
        }
    }

    /// Makes the next report carry all outcomes again, since an earlier response may be lost.
    pub(super) fn repeat(&mut self) {
        self.reported = 0;
    }
}

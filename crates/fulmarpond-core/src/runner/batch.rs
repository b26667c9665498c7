//! The record of a batch at the agent that runs it.

use crate::Time;
use crate::contract::{JobId, Task};
use crate::link::{BatchId, BatchReport, CallId, Outcome, TaskReport};
use crate::machine::{AgentId, Load};

/// Identifies a batch by the home that sent it and the number that the home gave it.
pub(super) type BatchKey = (AgentId, BatchId);

/// The record of a batch. It is kept after the last report, since that report may be lost.
#[derive(Debug)]
pub(super) struct BatchRecord {
    pub(super) job: JobId,
    /// The deadline of the job.
    pub(super) deadline: Time,
    /// When the record is removed.
    pub(super) expires_at: Time,
    /// The pending call that the next report answers.
    pub(super) waiter: Option<CallId>,
    /// The tasks that wait for a slot, with their positions in the job.
    queued: Vec<(u32, Task)>,
    /// The number of running tasks.
    running_tasks: u32,
    /// The outcomes so far.
    outcomes: Vec<TaskReport>,
    /// The number of outcomes that earlier reports contained.
    reported_count: usize,
    /// Whether the next report must contain all outcomes again.
    must_report_all: bool,
}

impl BatchRecord {
    pub(super) fn new(job: JobId, deadline: Time, expires_at: Time) -> Self {
        Self {
            job,
            deadline,
            expires_at,
            waiter: None,
            queued: Vec::new(),
            running_tasks: 0,
            outcomes: Vec::new(),
            reported_count: 0,
            must_report_all: false,
        }
    }

    /// Adds a task that waits for a slot.
    pub(super) fn enqueue(&mut self, index: u32, task: Task) {
        self.queued.push((index, task));
    }

    /// Removes a queued task and counts it as running. Returns `None` if it was dropped.
    pub(super) fn take_queued(&mut self, index: u32) -> Option<Task> {
        let position = self
            .queued
            .iter()
            .position(|(queued, _)| *queued == index)?;
        self.running_tasks += 1;
        Some(self.queued.swap_remove(position).1)
    }

    /// Records the outcome of a task that was taken from the queue.
    pub(super) fn record_end(&mut self, task: u32, outcome: Outcome) {
        self.running_tasks = self.running_tasks.saturating_sub(1);
        self.outcomes.push(TaskReport { task, outcome });
    }

    /// Records the outcome of a task that was never started.
    pub(super) fn record_not_started(&mut self, task: u32, outcome: Outcome) {
        self.outcomes.push(TaskReport { task, outcome });
    }

    /// Drops all queued tasks and returns their positions in the job.
    pub(super) fn drop_queued(&mut self) -> Vec<u32> {
        self.queued.drain(..).map(|(index, _)| index).collect()
    }

    /// Returns whether any task is queued or running.
    pub(super) fn is_running(&self) -> bool {
        self.running_tasks > 0 || !self.queued.is_empty()
    }

    /// Returns whether a task did not start and this was not reported yet. The home needs such a
    /// report at once to place the task elsewhere.
    pub(super) fn has_unreported_refusal(&self) -> bool {
        self.outcomes[self.reported_count..]
            .iter()
            .any(|report| matches!(report.outcome, Outcome::NotStarted(_)))
    }

    /// Creates a report of the outcomes that no earlier report contained, or of all outcomes if an
    /// earlier report may be lost.
    pub(super) fn take_report(&mut self, batch: BatchId, load: Load) -> BatchReport {
        let start = if self.must_report_all {
            0
        } else {
            self.reported_count
        };
        let tasks = self.outcomes[start..].to_vec();
        self.reported_count = self.outcomes.len();
        self.must_report_all = false;
        BatchReport {
            batch,
            running: self.is_running(),
            tasks,
            load,
        }
    }

    /// Makes the next report contain all outcomes again.
    pub(super) fn request_full_report(&mut self) {
        self.must_report_all = true;
    }
}

//! The memory of one batch at the agent that runs it.

use crate::Time;
use crate::contract::{JobId, Task};
use crate::link::{BatchId, BatchReport, CallId, Outcome, TaskReport};
use crate::machine::{AgentId, Load};

/// The identity of a batch: the home that sent it and its number there.
pub(super) type BatchKey = (AgentId, BatchId);

/// The memory of one batch. It is kept after the last report, since the report can be lost.
#[derive(Debug)]
pub(super) struct BatchRecord {
    /// The job.
    pub(super) job: JobId,
    /// The deadline of the job.
    pub(super) deadline: Time,
    /// Until when the batch is remembered.
    pub(super) expires_at: Time,
    /// The call that waits for a report.
    pub(super) waiter: Option<CallId>,
    /// The tasks that wait for a slot.
    queued: Vec<(u32, Task)>,
    /// The number of tasks that are running.
    running_tasks: u32,
    /// The outcomes so far.
    outcomes: Vec<TaskReport>,
    /// The number of reports that an earlier response carried.
    reported_count: usize,
    /// Whether the next report carries all outcomes again.
    must_report_all: bool,
}

impl BatchRecord {
    /// Creates the memory of a batch.
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

    /// Takes a waiting task to start it. Returns `None` if it was dropped.
    pub(super) fn take_queued(&mut self, index: u32) -> Option<Task> {
        let position = self
            .queued
            .iter()
            .position(|(queued, _)| *queued == index)?;
        self.running_tasks += 1;
        Some(self.queued.swap_remove(position).1)
    }

    /// Records the outcome of a task that was started.
    pub(super) fn record_end(&mut self, task: u32, outcome: Outcome) {
        self.running_tasks = self.running_tasks.saturating_sub(1);
        self.outcomes.push(TaskReport { task, outcome });
    }

    /// Records the outcome of a task that was never started.
    pub(super) fn record_not_started(&mut self, task: u32, outcome: Outcome) {
        self.outcomes.push(TaskReport { task, outcome });
    }

    /// Drops all waiting tasks and returns their positions in the job.
    pub(super) fn drop_queued(&mut self) -> Vec<u32> {
        self.queued.drain(..).map(|(index, _)| index).collect()
    }

    /// Returns whether tasks wait or run.
    pub(super) fn is_running(&self) -> bool {
        self.running_tasks > 0 || !self.queued.is_empty()
    }

    /// Returns whether the home should hear at once of a task that did not start.
    pub(super) fn has_unreported_refusal(&self) -> bool {
        self.outcomes[self.reported_count..]
            .iter()
            .any(|report| matches!(report.outcome, Outcome::NotStarted(_)))
    }

    /// Creates a report of the outcomes that no earlier response carried, or of all of them if an
    /// earlier response may be lost.
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

    /// Makes the next report carry all outcomes again.
    pub(super) fn request_full_report(&mut self) {
        self.must_report_all = true;
    }
}

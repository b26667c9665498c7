//! What an emulated executor tells of a run afterwards.

use std::time::Instant;

/// A run of a task on an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The index of the executor in [`EmulatorOptions::executors`](super::EmulatorOptions::executors).
    pub executor: usize,
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// When it started.
    pub started_at: Instant,
    /// When it ended, was stopped, or its lease lapsed; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// How it ended; empty while it runs.
    pub outcome: &'static str,
}

/// The records of all runs of an emulator.
#[derive(Debug, Default)]
pub(super) struct RunRecords {
    records: Vec<RunRecord>,
}

impl RunRecords {
    pub(super) fn start(&mut self, executor: usize, task: &str, run: u32, at: Instant) {
        self.records.push(RunRecord {
            executor,
            task: task.to_owned(),
            run,
            started_at: at,
            ended_at: None,
            outcome: "",
        });
    }

    /// Records the end of the run of a task that is under way at an executor.
    pub(super) fn end(&mut self, executor: usize, end: &RunEnd) {
        let mut newest = self.records.iter_mut().rev();
        let found = newest.find(|record| {
            record.executor == executor
                && record.ended_at.is_none()
                && record.run == end.run
                && record.task == end.task
        });
        if let Some(record) = found {
            record.ended_at = Some(end.at);
            record.outcome = end.outcome;
        }
    }

    pub(super) fn to_vec(&self) -> Vec<RunRecord> {
        self.records.clone()
    }
}

/// The end of a run at an executor.
#[derive(Debug)]
pub(super) struct RunEnd {
    pub(super) task: String,
    pub(super) run: u32,
    pub(super) at: Instant,
    pub(super) outcome: &'static str,
}

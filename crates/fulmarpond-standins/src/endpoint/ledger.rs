//! Records the starts of tasks.

use std::collections::HashMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// The job, as `TEAM/ID`.
    pub job: String,
    /// The index of the task in its job.
    pub task: u64,
    /// How many times this endpoint has started the task, including this start.
    pub started: u64,
    /// Milliseconds since the endpoint started.
    pub at_ms: u64,
}

/// All starts of tasks, in order.
#[derive(Debug)]
pub(super) struct Ledger {
    started_at: Instant,
    rows: Vec<LedgerRow>,
    counts: HashMap<String, HashMap<u64, u64>>,
}

impl Ledger {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            rows: Vec::new(),
            counts: HashMap::new(),
        }
    }

    pub(super) fn rows(&self) -> &[LedgerRow] {
        &self.rows
    }

    pub(super) fn record(&mut self, job: &str, task: u64) {
        if !self.counts.contains_key(job) {
            self.counts.insert(job.to_owned(), HashMap::new());
        }
        let started = self.counts.get_mut(job).map_or(0, |tasks| {
            let count = tasks.entry(task).or_default();
            *count += 1;
            *count
        });
        self.rows.push(LedgerRow {
            job: job.to_owned(),
            task,
            started,
            at_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
    }
}

//! Check of the task starts that endpoint stand-ins recorded.

use std::collections::{BTreeMap, HashSet};

use serde::{Deserialize, Serialize};

/// A row of a ledger: one task start.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Start {
    /// The job as `TEAM/ID`.
    pub job: String,
    /// The number of the task in its job.
    pub task: u64,
    /// How often the endpoint had started the task, including this start.
    #[serde(default)]
    pub started: u64,
}

/// The task starts of one run at all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    starts: BTreeMap<(String, u64), u64>,
}

/// Violations of the delivery guarantees found in the ledgers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LedgerCheck {
    /// Number of task starts of this run.
    pub starts: u64,
    /// The tasks that were started more than once, as `JOB task N`.
    pub repeated: Vec<String>,
    /// The started tasks of jobs whose verdict was `not_run`, as `JOB task N`.
    pub denied: Vec<String>,
    /// The errors of ledgers that could not be read. Their starts are not counted.
    pub unread: Vec<String>,
}

impl Ledger {
    /// Adds the rows of one endpoint whose submission id begins with `prefix`.
    ///
    /// There is one row per start. If a row reports a higher number of starts, that number counts.
    pub fn add(&mut self, rows: &[Start], prefix: &str) {
        let mut endpoint: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
        for row in rows {
            let id = row.job.rsplit('/').next().unwrap_or(&row.job);
            if id.starts_with(prefix) {
                let (count, reported) = endpoint.entry((id, row.task)).or_default();
                *count += 1;
                *reported = row.started.max(*reported);
            }
        }
        for ((id, task), (count, reported)) in endpoint {
            *self.starts.entry((id.to_owned(), task)).or_default() += count.max(reported);
        }
    }

    /// Checks the starts against the ids of jobs whose verdict was `not_run`.
    pub fn check(&self, not_run: &HashSet<String>, unread: Vec<String>) -> LedgerCheck {
        let tasks = |matches: &dyn Fn(&str, u64) -> bool| {
            self.starts
                .iter()
                .filter(|((id, _), starts)| matches(id, **starts))
                .map(|((id, task), _)| format!("{id} task {task}"))
                .collect()
        };
        LedgerCheck {
            starts: self.starts.values().sum(),
            repeated: tasks(&|_, starts| starts > 1),
            denied: tasks(&|id, _| not_run.contains(id)),
            unread,
        }
    }
}

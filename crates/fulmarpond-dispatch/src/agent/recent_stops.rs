//! The last runs that were stopped since their entry was lost or no longer wanted them, for a short
//! report.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use crate::TaskKey;

/// The maximum number of runs that are kept.
const MAX_RUNS: usize = 8;

/// A stopped run that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StoppedRun {
    task: TaskKey,
    run: u32,
    /// What shows that it is over.
    evidence: &'static str,
}

/// The last stopped runs.
#[derive(Debug, Default)]
pub struct RecentStops {
    last: VecDeque<StoppedRun>,
    changes: u64,
}

impl RecentStops {
    /// Returns how many runs were recorded.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Records a stopped run that is over.
    pub(super) fn record(&mut self, task: &TaskKey, run: u32, evidence: &'static str) {
        if self.last.len() == MAX_RUNS {
            self.last.pop_front();
        }
        self.last.push_back(StoppedRun {
            task: task.clone(),
            run,
            evidence,
        });
        self.changes += 1;
    }
}

impl Display for RecentStops {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (position, stopped) in self.last.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            let StoppedRun {
                task,
                run,
                evidence,
            } = stopped;
            write!(f, "{separator}{task} run={run} over={evidence}")?;
        }
        Ok(())
    }
}

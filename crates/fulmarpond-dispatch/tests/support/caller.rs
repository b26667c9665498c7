//! Callers and their jobs.

use fulmarpond_dispatch::entry::{Answer, Repeat};

/// A kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub route: usize,
    pub tasks: u16,
    /// Processor of a task, in thousandths of a core.
    pub cpu: u32,
    /// The estimated and usual run time of a task, in milliseconds.
    pub run_ms: u32,
    /// Whether tasks save their progress from time to time.
    pub saves: bool,
    /// Whether tasks work only together.
    pub gang: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// The most of these that may be away at a time because they were stopped.
    pub may_miss: Option<u16>,
    /// How often it runs, how long after it was sent first, and at which interval, in milliseconds.
    pub times: Option<(u16, u64, u64)>,
}

impl Demand {
    /// A job of one short task.
    pub const PLAIN: Self = Self {
        route: 0,
        tasks: 1,
        cpu: 1_000,
        run_ms: 60,
        saves: false,
        gang: false,
        long_running: false,
        may_miss: None,
        times: None,
    };

    /// Returns when the job runs, given the time of day when it was sent first.
    pub fn repeat(self, sent: u64) -> Option<Repeat> {
        let (count, after, interval) = self.times?;
        Some(Repeat {
            count,
            start_ms: sent + after,
            interval_ms: interval,
        })
    }
}

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    pub answer: Answer,
    /// Time from the first attempt to the answer, in milliseconds.
    pub age_ms: u64,
}

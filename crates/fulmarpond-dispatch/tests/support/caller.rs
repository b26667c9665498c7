//! Callers and their jobs.

use fulmarpond_dispatch::entry::Answer;

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
}

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    pub answer: Answer,
    /// Time from the first attempt to the answer, in milliseconds.
    pub age_ms: u64,
}

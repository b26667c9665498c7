//! Jobs that callers submit, and the answers to them.

use fulmarpond_dispatch::entry::{Answer, Repeat};

/// Properties of a submitted job.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub route: usize,
    pub tasks: u16,
    /// Processor demand of a task, in thousandths of a core.
    pub cpu: u32,
    /// Estimated run time of a task, from which the actual one is drawn, in milliseconds.
    pub run_ms: u32,
    /// Longest run time, if run times are spread exponentially around their mean, in milliseconds.
    pub max_run_ms: Option<u32>,
    /// Label that the endpoint must carry, if any.
    pub label: Option<&'static str>,
    /// Label of the endpoints of a second step of one task, which starts beside the first, if there is
    /// one; empty for any endpoint.
    pub second_label: Option<&'static str>,
    /// Whether the job is not persisted, even if the simulation has durable jobs.
    pub best_effort: bool,
    /// Whether tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether the tasks form a gang, which does work only while all of its members run.
    pub gang: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Maximum number of long-running tasks that may be stopped at the same time.
    pub may_miss: Option<u16>,
    /// Time from its start until the first task of the job crashes the endpoint that runs it, in
    /// milliseconds, if it does.
    pub crash_after_ms: Option<u64>,
    /// Number of runs of each task that fail by its own fault before one completes.
    pub failing_runs: u32,
    /// Number of occurrences of a repeated job, delay of the first one after the first attempt to
    /// submit the job, and interval between them; both in milliseconds.
    pub repetition: Option<(u16, u64, u64)>,
    /// Time that the caller waits for an answer, if it differs from that of the others, in milliseconds.
    pub patience_ms: Option<u64>,
    /// Number of attempts after which the caller gives up; 0 for never.
    pub max_attempts: u32,
}

impl Demand {
    /// A job of one short task.
    pub const SHORT_TASK: Self = Self {
        route: 0,
        tasks: 1,
        cpu: 1_000,
        run_ms: 60,
        max_run_ms: None,
        label: None,
        second_label: None,
        best_effort: false,
        saves_checkpoints: false,
        gang: false,
        long_running: false,
        may_miss: None,
        crash_after_ms: None,
        failing_runs: 0,
        repetition: None,
        patience_ms: None,
        max_attempts: 0,
    };

    /// Returns the repetition of the job, given the Unix time of the first attempt to submit
    /// it.
    pub fn repeat(self, first_sent_unix_ms: u64) -> Option<Repeat> {
        let (count, after, interval) = self.repetition?;
        Some(Repeat {
            count,
            start_ms: first_sent_unix_ms + after,
            interval_ms: interval,
        })
    }
}

/// The last answer that the caller of a job received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    pub answer: Answer,
    /// Time from the first attempt to the answer, in milliseconds.
    pub age_ms: u64,
}

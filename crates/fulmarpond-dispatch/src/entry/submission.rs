//! What a caller submits.

use fulmarpond_derive::message;

use crate::Needs;

/// A step of a job.
#[message]
#[derive(Eq)]
pub struct Step {
    /// The number of tasks.
    pub count: u16,
    /// What each task needs.
    pub needs: Needs,
    /// The run time of a task by the caller's estimate, in milliseconds.
    pub estimate: u32,
    /// The numbers of the steps that have to be done before.
    pub after: Vec<u16>,
    /// A label that the endpoint must have.
    pub label: Option<String>,
    /// The rack where the tasks run fastest.
    pub affinity: Option<String>,
    /// The most tasks that one endpoint may run.
    pub spread: Option<u16>,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// Whether the tasks of a gang take longer on more than one rack.
    pub colocated: bool,
    /// Whether its tasks run until the job is cancelled, and are started again however they end.
    pub long_running: bool,
    /// The most of its tasks that may be away at a time because the system stopped them.
    pub may_miss: Option<u16>,
}

/// A job as submitted.
#[message]
#[derive(Eq)]
pub struct Submission {
    /// What the tasks do.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// How long the caller waits, in milliseconds.
    pub patience: u64,
    /// Whether the job is kept in the store, and its caller only waits until it is.
    pub kept: bool,
    /// When its steps run, if not at once.
    pub repeat: Option<Repeat>,
}

impl Submission {
    /// Returns whether some of its tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// When the steps of a job run.
#[message]
#[derive(Copy, Eq)]
pub struct Repeat {
    /// How often.
    pub count: u16,
    /// The time of the first occurrence, in milliseconds since 1970.
    pub start_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

//! Jobs as submitted by callers.

use fulmarpond_derive::message;

use crate::Resources;

/// A step of a job.
#[message]
#[derive(Eq, Hash)]
pub struct Step {
    /// The number of tasks.
    pub count: u16,
    /// The resources that each task needs.
    pub needs: Resources,
    /// The caller's estimate of the run time of a task, in milliseconds; 0 if unknown.
    pub estimate: u32,
    /// The numbers of the steps that have to be done before this one starts.
    pub after: Vec<u16>,
    /// A label that the endpoint must carry.
    pub label: Option<String>,
    /// The rack that holds the data of the tasks.
    pub affinity: Option<String>,
    /// The maximum number of its tasks on one endpoint.
    pub spread: Option<u16>,
    /// Whether its tasks form a gang: all of them run at the same time.
    pub gang: bool,
    /// Whether a gang should be placed on a single rack, since its tasks take longer otherwise.
    pub colocated: bool,
    /// Whether its tasks run until the job is cancelled, and are restarted whenever they end.
    pub long_running: bool,
    /// The maximum number of its tasks that may be down at a time because the system stopped them.
    pub may_miss: Option<u16>,
}

/// A submitted job.
#[message]
#[derive(Eq)]
pub struct Submission {
    /// The opaque description of the work, passed on to the endpoints.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// How long the caller waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the job is stored durably; its caller is answered once it is stored.
    pub is_durable: bool,
    /// The schedule of a series; without one, the steps run once, immediately.
    pub repeat: Option<Repeat>,
}

impl Submission {
    /// Returns whether the job has long-running steps.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// The schedule of a series.
#[message]
#[derive(Copy, Eq)]
pub struct Repeat {
    /// The number of occurrences.
    pub count: u16,
    /// The time of the first occurrence, in milliseconds since 1970.
    pub start_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

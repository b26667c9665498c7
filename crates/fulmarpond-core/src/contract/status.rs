//! The state of a job, as reported to callers.

use fulmarpond_derive::message;

use super::JobId;
use crate::machine::AgentId;

/// The state of a job as recorded at its home.
#[message]
pub struct Status {
    /// The job.
    pub job: JobId,
    /// The phase of the job.
    pub state: JobState,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of tasks that wait for a slot.
    pub waiting: u32,
    /// The number of tasks that were sent to an agent, may have started and have no result yet.
    pub sent: u32,
    /// The number of tasks that completed with a result.
    pub done: u32,
    /// The home of the job.
    pub home: AgentId,
}

/// The phase of a job.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The home is obtaining seals from the other candidates.
    Sealing,
    /// Tasks are waiting or running.
    Running,
    /// The job has its final answer.
    Ended,
}

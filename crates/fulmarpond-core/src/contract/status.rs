//! The state of a job, for callers who ask.

use fulmarpond_derive::message;

use super::JobId;
use crate::machine::AgentId;

/// The state of a job at its home.
#[message]
pub struct Status {
    /// The job.
    pub job: JobId,
    /// The phase that the job is in.
    pub state: JobState,
    /// The number of tasks.
    pub tasks: u32,
    /// The tasks that wait for a slot.
    pub waiting: u32,
    /// The tasks that were sent to an agent.
    pub sent: u32,
    /// The tasks that ended with a result.
    pub done: u32,
    /// The home of the job.
    pub home: AgentId,
}

/// The phase that a job is in.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The home obtains seals from the other candidates.
    Sealing,
    /// Tasks wait or run.
    Running,
    /// The job has its final answer.
    Ended,
}

//! The events of a job, as reported to callers that watch it.

use fulmarpond_derive::message;

use crate::machine::AgentId;

/// A decision about a job or a change of its state.
#[message]
pub struct Event {
    /// The zero-based index in the job's list of events.
    pub number: u64,
    /// Milliseconds since the home created its record of the job.
    pub at_ms: u64,
    /// The kind of the event.
    pub kind: EventKind,
    /// The zero-based index of the task, if the event concerns a single task.
    pub task: Option<u32>,
    /// The agent that the event concerns, if any.
    pub agent: Option<AgentId>,
    /// A human-readable explanation, left out of the JSON if it is empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// The kind of an event.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The job or task waits for a free slot.
    Queued,
    /// A candidate granted its seal.
    Sealed,
    /// The task was sent to an agent.
    Sent,
    /// The task started at an endpoint.
    Started,
    /// The task completed with a result.
    Done,
    /// An agent refused the task without starting it.
    Refused,
    /// The job has its final answer.
    Ended,
}

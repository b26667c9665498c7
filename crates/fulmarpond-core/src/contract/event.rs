//! Events of a job, for callers who watch it.

use fulmarpond_derive::message;

use crate::machine::AgentId;

/// One decision or change of state of a job.
#[message]
pub struct Event {
    /// The position in the job's list of events.
    pub number: u64,
    /// Milliseconds since the home accepted the job.
    pub at_ms: u64,
    /// What happened.
    pub kind: EventKind,
    /// The task concerned, if it is about one task.
    pub task: Option<u32>,
    /// The agent concerned, if any.
    pub agent: Option<AgentId>,
    /// Why it happened, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// The kind of an event.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The job or task waits for a slot.
    Queued,
    /// A candidate granted its seal.
    Sealed,
    /// The task was sent to an agent.
    Sent,
    /// The task started at an endpoint.
    Started,
    /// The task ended with a result.
    Done,
    /// An agent refused the task without starting it.
    Refused,
    /// The job has its final answer.
    Ended,
}

//! Inputs and actions of an entry.

use std::net::SocketAddr;

use fulmarpond_derive::message;
use thiserror::Error;

use crate::Time;
use crate::agent::Count;
use crate::contract::{Answer, JobId, Refusal, Status, Submission};
use crate::link::{CallId, Envelope, EventsReply, LinkError, Peer, Response, VersionedConfig};
use crate::policy::{Patch, Version};
use crate::zone::Roster;

/// An input that a driver passes to an entry.
#[derive(Debug, Clone)]
pub enum EntryInput {
    /// A caller or operator sent a request, which the driver has validated. The driver never reuses
    /// a call ID, neither here nor in [`EntryInput::Request`].
    Caller {
        /// The call ID to answer.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A request arrived over a link.
    Request {
        /// The call ID to reply to.
        call: CallId,
        /// The request.
        envelope: Envelope,
    },
    /// A call started by [`EntryAction::Call`] completed or failed.
    Response {
        /// The ID of the call.
        call: CallId,
        /// The response or the error.
        result: Result<Response, LinkError>,
    },
    /// A call started by [`EntryAction::Store`] completed or failed.
    StoreResult {
        /// The ID of the call.
        call: CallId,
        /// The reply or the error.
        result: Result<StoreReply, StoreError>,
    },
    /// A watch on the key-value service returned, with or without changes.
    WatchResult {
        /// The changed values.
        items: Vec<StoreItem>,
        /// When the watch was requested. The values are at least as recent as this time.
        requested_at: Time,
    },
    /// The process has to shut down gracefully.
    Drain,
    /// The time returned by [`Role::next_wake`](crate::Role::next_wake) was reached.
    Tick,
}

/// A validated request of a caller or operator.
#[derive(Debug, Clone)]
pub enum CallerRequest {
    /// Run a job.
    Submit {
        /// The job.
        submission: Submission,
        /// Whether the caller waits for the final answer.
        wait: bool,
    },
    /// Get the answer of a job.
    Fetch {
        /// The job.
        job: JobId,
        /// How long to wait for it, in milliseconds.
        wait_ms: u64,
    },
    /// Get the state of a job.
    Status(JobId),
    /// Get the events of a job.
    Events {
        /// The job.
        job: JobId,
        /// The number of the first event to return.
        from: u64,
        /// How long to wait for it, in milliseconds.
        wait_ms: u64,
    },
    /// Cancel a job.
    Cancel(JobId),
    /// List the agents as last announced.
    Endpoints,
    /// Get the roster.
    Roster,
    /// List the teams with their quotas and usage.
    Teams,
    /// Get a configuration version, or the active one.
    Config(Option<Version>),
    /// Apply a patch to the configuration.
    Patch(Patch),
}

/// The answer to a request of a caller or operator.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerReply {
    /// The final answer of a job.
    Answer(Answer),
    /// The job was accepted.
    Accepted(JobId),
    /// The job has no answer yet.
    Pending(JobId),
    /// No agent that may know the job has a record of it.
    Unknown(JobId),
    /// The state of a job.
    Status(Status),
    /// The events of a job.
    Events(EventsReply),
    /// The agents as last announced.
    Endpoints(Vec<Peer>),
    /// The roster.
    Roster(Roster),
    /// The teams with their quotas and usage.
    Teams(Vec<TeamUsage>),
    /// A configuration version.
    Config(VersionedConfig),
    /// The patch was applied as this version.
    Applied(Version),
    /// The patch is based on another version than the active one.
    Conflict {
        /// The active version.
        current: Version,
    },
    /// The patch is invalid.
    InvalidPatch(String),
    /// The patch may have been applied, but its version could not be read back.
    Unconfirmed(Refusal),
    /// The request was refused.
    Refused(Refusal),
}

/// The quota of a team and its tasks in flight.
#[message]
pub struct TeamUsage {
    /// The team.
    pub team: String,
    /// The maximum number of tasks in flight.
    pub quota: u64,
    /// The number of tasks in flight.
    pub in_flight: u64,
}

/// A key of the key-value service with its value and revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the value; 0 in a write that expects the key not to exist.
    pub revision: u64,
}

/// An operation on the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Read a value.
    Get(String),
    /// Write a value by compare-and-swap: only if the current revision is the one given. Revision 0
    /// means that the key does not exist.
    Put(StoreItem),
}

/// The reply to a [`StoreOp`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The value, if there is one.
    Value(Option<StoreItem>),
    /// The write took effect and produced this revision.
    Written(u64),
}

/// Why an operation on the key-value service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The current revision differs from the expected one. Nothing was written.
    #[error("the value was changed by another writer")]
    Conflict,
    /// The service is down or cannot be reached. Nothing was written.
    #[error("the key-value service is unavailable")]
    Unavailable,
    /// No reply arrived. A write may have taken effect.
    #[error("the key-value service did not reply")]
    Unknown,
    /// The service rejected the operation. Nothing was written.
    #[error("the key-value service rejected the operation")]
    Rejected,
}

/// An action that a driver performs for an entry.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller or operator.
    Answer {
        /// The call ID of the request.
        call: CallId,
        /// The answer.
        reply: CallerReply,
    },
    /// Reply to a request that arrived over a link.
    Reply {
        /// The call ID of the request.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Call an agent and pass the outcome to [`EntryInput::Response`] by `deadline`.
    Call {
        /// The ID of the call.
        call: CallId,
        /// The address of the agent.
        addr: SocketAddr,
        /// The request, addressed to one incarnation of the agent.
        envelope: Envelope,
        /// When the call times out.
        deadline: Time,
    },
    /// Call the key-value service and pass the outcome to [`EntryInput::StoreResult`].
    Store {
        /// The ID of the call.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// Increment a counter.
    Count(Count),
    /// No submission, lookup or patch is pending, so the process may exit.
    Stopped,
}

//! What drivers deliver to an entry and carry out for it.

use std::net::SocketAddr;

use fulmarpond_derive::message;
use thiserror::Error;

use crate::Time;
use crate::agent::Count;
use crate::contract::{Answer, JobId, Refusal, Status, Submission};
use crate::link::{CallId, Envelope, EventsReply, LinkError, Peer, Response, VersionedConfig};
use crate::policy::{Patch, Version};
use crate::zone::Roster;

/// What a driver delivers to an entry.
#[derive(Debug, Clone)]
pub enum EntryInput {
    /// A caller or operator sent a checked request. The driver uses each number once, for these
    /// and for [`EntryInput::Request`].
    Caller {
        /// The number to answer to.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A request came over a link.
    Request {
        /// The number to reply to.
        call: CallId,
        /// The request.
        envelope: Envelope,
    },
    /// A call of [`EntryAction::Call`] ended.
    Response {
        /// The number of the call.
        call: CallId,
        /// Its outcome.
        result: Result<Response, LinkError>,
    },
    /// A call of [`EntryAction::Store`] ended.
    Stored {
        /// The number of the call.
        call: CallId,
        /// Its outcome.
        result: Result<StoreReply, StoreError>,
    },
    /// The watch of the platform's service returned, with or without changes.
    Watched {
        /// The changed values.
        items: Vec<StoreItem>,
        /// When the watch began. What it returned is at least as recent.
        began: Time,
    },
    /// The process is to stop gracefully.
    Drain,
    /// The time of [`Role::wake`](crate::Role::wake) has come.
    Tick,
}

/// A checked request of a caller or operator.
#[derive(Debug, Clone)]
pub enum CallerRequest {
    /// Run a job.
    Submit {
        /// The job.
        submission: Submission,
        /// Whether the caller waits for the answer.
        wait: bool,
    },
    /// The answer of a job.
    Fetch {
        /// The job.
        job: JobId,
        /// Milliseconds to wait for it.
        wait_ms: u64,
    },
    /// The state of a job.
    Status(JobId),
    /// The events of a job.
    Events {
        /// The job.
        job: JobId,
        /// The number of the first event wanted.
        from: u64,
        /// Milliseconds to wait for it.
        wait_ms: u64,
    },
    /// Cancel a job.
    Cancel(JobId),
    /// The agents as last heard.
    Endpoints,
    /// The roster.
    Roster,
    /// The teams with their quotas.
    Teams,
    /// A configuration version, or the one in force.
    Config(Option<Version>),
    /// Change the configuration.
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
    /// No candidate knows the job.
    Unknown(JobId),
    /// The state of a job.
    Status(Status),
    /// The events of a job.
    Events(EventsReply),
    /// The agents as last heard.
    Endpoints(Vec<Peer>),
    /// The roster.
    Roster(Roster),
    /// The teams with their quotas.
    Teams(Vec<TeamUsage>),
    /// A configuration version.
    Config(VersionedConfig),
    /// The patch made this version.
    Applied(Version),
    /// The patch was made for another version.
    Conflict {
        /// The version in force.
        current: Version,
    },
    /// The patch is not valid.
    BadPatch(String),
    /// The patch may have been applied, but its version could not be read back.
    Unconfirmed(Refusal),
    /// The request was refused.
    Refused(Refusal),
}

/// The tasks in flight of a team.
#[message]
pub struct TeamUsage {
    /// The team.
    pub team: String,
    /// The tasks that it may have in flight.
    pub quota: u64,
    /// The tasks that it has in flight.
    pub in_flight: u64,
}

/// A value of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the value.
    pub revision: u64,
}

/// A call to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Read a value.
    Get(String),
    /// Write a value if its revision is the one named. Revision 0 means that there is no value.
    Put(StoreItem),
}

/// The reply of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The value, if there is one.
    Value(Option<StoreItem>),
    /// The write took effect and made this revision.
    Written(u64),
}

/// Why a call to the platform's service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The value has another revision. Nothing was written.
    #[error("the value was changed by another writer")]
    Conflict,
    /// The service is out or can't be reached. Nothing was written.
    #[error("the platform's service is not available")]
    Unavailable,
    /// No reply came. A write may have taken effect.
    #[error("the platform's service did not reply")]
    Unknown,
    /// The service rejected the call. Nothing was written.
    #[error("the platform's service rejected the call")]
    Rejected,
}

/// What a driver carries out for an entry.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller or operator.
    Answer {
        /// The number of the request.
        call: CallId,
        /// The answer.
        reply: CallerReply,
    },
    /// Reply to a request that came over a link.
    Reply {
        /// The number of the request.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Call an agent and deliver [`EntryInput::Response`], at the latest at `deadline`.
    Call {
        /// The number of the call.
        call: CallId,
        /// Where to.
        addr: SocketAddr,
        /// The request with the incarnation that it is meant for.
        envelope: Envelope,
        /// When the call ends without a response.
        deadline: Time,
    },
    /// Call the platform's service and deliver [`EntryInput::Stored`].
    Store {
        /// The number of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Count something.
    Count(Count),
    /// All requests are answered: the process may exit.
    Stopped,
}

//! Actions that an entry returns for its driver to carry out.

use std::net::SocketAddr;

use fulmarpond_derive::value;

use super::StepKey;
use crate::directory::{Activity, StoreCall};
use crate::{EndpointId, EntryFrame, LinkNo, PeerFrame, Refusal};

/// Identifies a request of a caller.
#[value]
pub struct RequestNo(pub u64);

/// The arrival of a request.
#[value]
pub struct Arrival {
    /// The request.
    pub request: RequestNo,
    /// How long ago the request may have been sent, in milliseconds. It is unknown how long it waited
    /// before it was read.
    pub max_age: u64,
    /// For how long the network may have held the request back, in milliseconds: its caller has not been
    /// heard of since.
    pub held_back: u64,
}

impl From<RequestNo> for Arrival {
    fn from(request: RequestNo) -> Self {
        Self {
            request,
            max_age: 0,
            held_back: 0,
        }
    }
}

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The job is not known.
    Unknown,
    /// All tasks of the job are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// No task of the job has run, and none will run because of this request.
    NotRun {
        /// Why.
        reason: Refusal,
        /// After how many seconds the caller may retry; 0 if a retry would be refused again.
        retry: u32,
    },
    /// Some tasks of the job may have run.
    MayHaveRun {
        /// Why.
        reason: Refusal,
    },
}

impl Answer {
    /// Returns the name of the answer, or the reason of a refusal, in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::NotRun { reason, .. } | Self::MayHaveRun { reason } => reason.as_str(),
        }
    }
}

/// An action of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to another entry, and report its number with
    /// [`Entry::dialed`](super::Entry::dialed).
    Dial {
        /// The address.
        addr: SocketAddr,
    },
    /// Send a frame on a link that this entry has opened to another one.
    SendToEntry {
        /// The link.
        link: LinkNo,
        /// The frame.
        frame: PeerFrame,
    },
    /// Close a link.
    Close {
        /// The link.
        link: LinkNo,
    },
    /// Send a frame.
    Send {
        /// The link.
        link: LinkNo,
        /// The frame.
        frame: EntryFrame,
    },
    /// Make a call to the store on behalf of durable jobs, and report the outcome with
    /// [`Entry::handle_store_reply`](super::Entry::handle_store_reply).
    Store {
        /// The activity that makes the call; it is passed back with the outcome.
        activity: Activity,
        /// The call.
        call: StoreCall,
        /// The reply timeout, in milliseconds.
        timeout: u64,
    },
    /// Ask the policy service which endpoints may run a step, and report the outcome with
    /// [`Entry::handle_advice`](super::Entry::handle_advice).
    Advise {
        /// The step.
        step: StepKey,
        /// The candidate endpoints.
        endpoints: Vec<EndpointId>,
        /// The reply timeout, in milliseconds.
        timeout: u64,
    },
    /// Answer a request.
    Answer {
        /// The request.
        request: RequestNo,
        /// The answer.
        answer: Answer,
        /// The time from the arrival of the job to this answer, in milliseconds.
        age: u64,
        /// The time from the arrival of the job to the start of its last task, in milliseconds.
        wait: u64,
    },
}

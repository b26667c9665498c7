//! What an entry wants done.

use fulmarpond_derive::value;

use super::StepKey;
use crate::directory::{Duty, StoreCall};
use crate::{EndpointId, EntryFrame, LinkNo, Refusal};

/// Names a request of a caller.
#[value]
pub struct RequestNo(pub u64);

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The job is kept and will run.
    Accepted,
    /// The job is cancelled, or has ended before.
    Cancelled,
    /// The job is not known.
    Unknown,
    /// All tasks of the job are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// The job has not run, and never will by this request.
    NotRun {
        /// Why.
        reason: Refusal,
        /// When the caller may come back, in seconds; 0 if a later attempt will not help.
        retry: u32,
    },
    /// Parts of the job may have run.
    MayHaveRun {
        /// Why.
        reason: Refusal,
    },
}

/// An action of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
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
    /// Call the store for a job that is kept, and report the outcome with
    /// [`Entry::store_answered`](super::Entry::store_answered).
    Store {
        /// For which duty.
        duty: Duty,
        /// The call.
        call: StoreCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// Ask which endpoints may run a step, and report the outcome with
    /// [`Entry::advised`](super::Entry::advised).
    Advise {
        /// The step.
        step: StepKey,
        /// The endpoints.
        endpoints: Vec<EndpointId>,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// Answer a request.
    Answer {
        /// The request.
        request: RequestNo,
        /// The answer.
        answer: Answer,
        /// How long the job was in progress, in milliseconds.
        age: u64,
        /// How long it took until its last task began, in milliseconds.
        wait: u64,
    },
}

//! Calls to an endpoint and their replies.

use thiserror::Error;

use crate::TaskKey;

/// A call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointCall {
    /// Starts a run of a task.
    Start {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// What the task does.
        spec: String,
        /// The saved progress to go on from.
        checkpoint: Option<String>,
        /// What shows that the endpoint may run the step.
        ticket: Option<String>,
        /// Until when everything at the endpoint may run, in milliseconds of its clock.
        lease: i64,
        /// The fencing token.
        fence: u64,
    },
    /// Stops a run, and rejects it should its start arrive later.
    Stop {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The fencing token.
        fence: u64,
    },
    /// Extends the lease of everything that runs, and lists runs and ends.
    Hold {
        /// The fencing token.
        fence: u64,
        /// The number of the last end that was taken note of.
        acked: u64,
        /// Until when everything may run, in milliseconds of the endpoint's clock.
        lease: Option<i64>,
        /// How long the reply may wait for an end, in milliseconds.
        wait: u64,
    },
}

impl EndpointCall {
    /// Returns the name of the call in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Hold { .. } => "hold",
        }
    }
}

/// Why an endpoint did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended this run or a later one.
    OldRun,
    /// The lease in the call has passed.
    LeasePassed,
    /// It has no room.
    NoRoom,
    /// The ticket is missing, not valid any more, or for another endpoint.
    NoTicket,
    /// Any other reason.
    Other,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndHow {
    /// It was done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, its lease lapsed, or it was ended for the sake of others.
    Cut,
}

/// A run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEntry {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How much of the work is done, in percent, if the endpoint tells.
    pub progress: Option<u8>,
    /// Its saved progress, if it has any.
    pub checkpoint: Option<String>,
}

/// The end of a run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndEntry {
    /// The number of the end within the incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub how: EndHow,
    /// The progress that it has saved, if any.
    pub checkpoint: Option<String>,
}

/// The reply of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReply {
    /// The call was carried out.
    Done {
        /// The endpoint's clock, in milliseconds.
        clock: i64,
    },
    /// The lists that a hold returns.
    Held {
        /// The endpoint's clock, in milliseconds.
        clock: i64,
        /// What runs.
        running: Vec<RunEntry>,
        /// What ended and was not taken note of before.
        ended: Vec<EndEntry>,
    },
    /// The call was refused and had no effect.
    Refused {
        /// The endpoint's clock, in milliseconds.
        clock: Option<i64>,
        /// Why.
        reason: StartRefusal,
    },
    /// The endpoint is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The endpoint does not understand the call.
    Invalid,
}

/// Why a call to an endpoint has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// Nothing listens at the address: the endpoint is gone.
    #[error("connection refused")]
    Refused,
    /// The call was not sent.
    #[error("not sent")]
    NotSent,
    /// The call may have been carried out, or may be later.
    #[error("no reply")]
    NoReply,
}

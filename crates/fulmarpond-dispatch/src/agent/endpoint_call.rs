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
        /// The specification of the task, as the caller wrote it.
        spec: String,
        /// The checkpoint to resume from.
        checkpoint: Option<String>,
        /// The ticket that permits the endpoint to run the step.
        ticket: Option<String>,
        /// The lease expiry of all runs at the endpoint, in milliseconds of its clock.
        lease: i64,
        /// The fencing token.
        fence: u64,
    },
    /// Stops a run, and makes the endpoint refuse its start if that arrives later.
    Stop {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The fencing token.
        fence: u64,
    },
    /// Extends the lease of all runs, and lists runs and unacknowledged ends.
    Hold {
        /// The fencing token.
        fence: u64,
        /// Acknowledges ends up to this sequence number.
        acked: u64,
        /// The lease expiry of all runs, in milliseconds of the endpoint's clock; `None` leaves the
        /// lease unchanged.
        lease: Option<i64>,
        /// How long the endpoint may delay its reply until a run ends, in milliseconds.
        wait: u64,
    },
}

impl EndpointCall {
    /// Returns how long the endpoint may delay its reply, in milliseconds.
    pub const fn wait_ms(&self) -> u64 {
        match self {
            Self::Hold { wait, .. } => *wait,
            Self::Start { .. } | Self::Stop { .. } => 0,
        }
    }

    /// Returns the label of the call in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Hold { .. } => "hold",
        }
    }
}

/// The reason why an endpoint refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// This run or a later run of the task has already been stopped or has ended.
    OldRun,
    /// The lease in the call has already expired.
    LeasePassed,
    /// The endpoint lacks free capacity.
    NoRoom,
    /// The ticket is missing, expired or issued for another endpoint.
    NoTicket,
    /// Any other reason.
    Other,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Completed.
    Done,
    /// Failed.
    Failed,
    /// Ended early: stopped, expired with the lease, or ended because of other runs.
    Cut,
}

/// A run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEntry {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The progress in percent, if the endpoint reports it.
    pub progress: Option<u8>,
    /// The newest checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// The end of a run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndEntry {
    /// The sequence number of the end within the incarnation.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// The last checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// A reply of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReply {
    /// The call was carried out.
    Done {
        /// The endpoint's clock, in milliseconds.
        clock: i64,
    },
    /// The runs and ends listed by a hold.
    Held {
        /// When the incarnation that replies was started, in Unix milliseconds; 0 if the endpoint
        /// does not say.
        born: u64,
        /// The endpoint's clock, in milliseconds.
        clock: i64,
        /// The current runs.
        running: Vec<RunEntry>,
        /// The ends that are not acknowledged yet.
        ended: Vec<EndEntry>,
    },
    /// The call was refused and had no effect.
    Refused {
        /// The endpoint's clock, in milliseconds.
        clock: Option<i64>,
        /// The reason.
        reason: StartRefusal,
    },
    /// The endpoint is unhealthy and did not carry out the call.
    Unhealthy,
    /// Another incarnation of the endpoint replied at this address.
    OtherIncarnation,
    /// The endpoint did not understand the call, and did not carry it out.
    Invalid,
    /// The endpoint, or something before it, replied with an unexpected status. The call may have been
    /// carried out.
    Unexpected,
}

/// Why a call to an endpoint has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// The connection was refused: the endpoint has ended.
    #[error("connection refused")]
    Refused,
    /// The call was not sent.
    #[error("not sent")]
    NotSent,
    /// The connection was lost after the call was sent. The call may have been carried out.
    #[error("connection lost")]
    Reset,
    /// No readable reply arrived in time. The call may have been carried out or may still be.
    #[error("no reply")]
    NoReply,
}

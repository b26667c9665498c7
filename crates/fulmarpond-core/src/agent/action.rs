//! Inputs and actions of the agent state machine.

use std::net::SocketAddr;

use fulmarpond_derive::value;
use serde_json::Value;

use crate::Time;
use crate::contract::{JobId, Reason, Refusal, Verdict};
use crate::link::{CallId, Envelope, LinkError, Request, Response};
use crate::machine::{AgentId, Registration};
use crate::retry::RetryCause;

/// Identifies a task run at an agent.
#[value]
pub struct RunId(pub u64);

/// An input that a driver passes to an agent.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// A request arrived over a link. The driver assigns call ids below 2^63 and uses each only
    /// once.
    Request {
        /// The call to reply to.
        call: CallId,
        /// The request.
        envelope: Envelope,
    },
    /// A call that was started by [`AgentAction::Call`] ended.
    Response {
        /// The call.
        call: CallId,
        /// The response, or why there is none.
        result: Result<Response, LinkError>,
    },
    /// The endpoint registered or renewed its registration.
    Endpoint(Registration),
    /// The endpoint accepts no new tasks.
    EndpointLeaving,
    /// A run that was started by [`AgentAction::Start`] ended.
    Ended {
        /// The run.
        run: RunId,
        /// The outcome.
        outcome: RunOutcome,
    },
    /// The process has to stop gracefully.
    Drain,
    /// The time returned by [`Role::next_wake`](crate::Role::next_wake) has been reached.
    Tick,
}

/// The outcome of a task run at the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum RunOutcome {
    /// The endpoint returned a result.
    Done(Value),
    /// The task did not start: the endpoint refused it, or could not be reached.
    NotStarted(Refusal),
    /// The task failed, or its outcome is unknown.
    Failed(Refusal),
}

/// An action that a driver carries out for an agent.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Reply to a request.
    Reply {
        /// The call to reply to.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Call another process and deliver [`AgentInput::Response`] by `deadline`.
    Call {
        /// The call.
        call: CallId,
        /// The address of the process.
        addr: SocketAddr,
        /// The request and the incarnation that it is addressed to.
        envelope: Envelope,
        /// When the call fails with [`LinkError::Lost`] or [`LinkError::NotSent`].
        deadline: Time,
    },
    /// Run a task at the endpoint and deliver [`AgentInput::Ended`] by `deadline`.
    Start {
        /// The run.
        run: RunId,
        /// The address of the endpoint.
        endpoint: SocketAddr,
        /// The job.
        job: JobId,
        /// The position of the task in the job.
        task: u32,
        /// The kind of the task.
        kind: String,
        /// The input of the task.
        payload: Value,
        /// When the run counts as failed.
        deadline: Time,
    },
    /// Increment a counter.
    Count(Count),
    /// The agent has finished its work and handed its tombstones over. The process may exit.
    Stopped,
}

/// A counted event.
#[value]
pub enum Count {
    /// A job was accepted.
    Accepted,
    /// A job was answered with all its results.
    Answered,
    /// A request was refused and did not run.
    NotRun(Reason),
    /// A request failed and may have run.
    MayHaveRun(Reason),
    /// A task was started at the endpoint.
    Started,
    /// A task was refused by the agent that it was sent to.
    TaskRefused(Reason),
    /// A request or task was sent again.
    Retry(RetryCause),
    /// This number of messages was exchanged without moving a task.
    Wasted(u64),
    /// The endpoint was ejected because of failures.
    Ejected,
    /// A seal was granted to another agent.
    SealGranted,
    /// A submission was attached to a known job.
    Attached,
}

impl From<&Verdict> for Count {
    /// Returns the counter of a final verdict.
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Answered { .. } => Self::Answered,
            Verdict::NotRun(refusal) => Self::NotRun(refusal.reason),
            Verdict::MayHaveRun(refusal) => Self::MayHaveRun(refusal.reason),
        }
    }
}

impl AgentAction {
    /// Creates a call that is addressed to the incarnation `to` at `addr`.
    pub(crate) fn call(
        call: CallId,
        addr: SocketAddr,
        to: &AgentId,
        request: Request,
        deadline: Time,
    ) -> Self {
        Self::Call {
            call,
            addr,
            envelope: Envelope {
                to: Some(to.clone()),
                request,
            },
            deadline,
        }
    }
}

//! What drivers deliver to an agent and carry out for it.

use std::net::SocketAddr;

use fulmarpond_derive::value;
use serde_json::Value;

use crate::Time;
use crate::contract::{JobId, Reason, Refusal, Verdict};
use crate::link::{CallId, Envelope, LinkError, Request, Response};
use crate::machine::{AgentId, Registration};
use crate::retry::RetryCause;

/// The number of a task run at an agent.
#[value]
pub struct RunId(pub u64);

/// What a driver delivers to an agent.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// A request came over a link. The driver chooses numbers below 2^63 and uses each once.
    Request {
        /// The number to reply to.
        call: CallId,
        /// The request.
        envelope: Envelope,
    },
    /// A call of [`AgentAction::Call`] ended.
    Response {
        /// The number of the call.
        call: CallId,
        /// Its outcome.
        result: Result<Response, LinkError>,
    },
    /// The endpoint announced or renewed itself.
    Endpoint(Registration),
    /// The endpoint takes no new work.
    EndpointLeaves,
    /// A run of [`AgentAction::Start`] ended.
    Ended {
        /// The run.
        run: RunId,
        /// Its outcome.
        outcome: RunOutcome,
    },
    /// The process is to stop gracefully.
    Drain,
    /// The time of [`Role::wake`](crate::Role::wake) has come.
    Tick,
}

/// The outcome of a task run at the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum RunOutcome {
    /// The endpoint returned a result.
    Done(Value),
    /// The endpoint refused the task, or no connection carried it. It did not start.
    NotStarted(Refusal),
    /// The task failed, or its fate is not known.
    Failed(Refusal),
}

/// What a driver carries out for an agent.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Reply to a request.
    Reply {
        /// The number of the request.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Call another process and deliver [`AgentInput::Response`], at the latest at `deadline`.
    Call {
        /// The number of the call.
        call: CallId,
        /// Where to.
        addr: SocketAddr,
        /// The request with the incarnation that it is meant for.
        envelope: Envelope,
        /// When the call ends as [`LinkError::Lost`] or [`LinkError::NotSent`].
        deadline: Time,
    },
    /// Run a task at the endpoint and deliver [`AgentInput::Ended`], at the latest at `deadline`.
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
    /// Count something.
    Count(Count),
    /// All work is finished and handed over: the process may exit.
    Stopped,
}

/// What a driver counts.
#[value]
pub enum Count {
    /// A job was accepted.
    Accepted,
    /// A job was answered with all its results.
    Answered,
    /// A request was refused without having run.
    NotRun(Reason),
    /// A request failed and may have run.
    MayHaveRun(Reason),
    /// A task was started at the endpoint.
    Started,
    /// A task was refused by the agent that it was sent to.
    TaskRefused(Reason),
    /// Something was sent again.
    Retry(RetryCause),
    /// Messages were exchanged that moved no task.
    Wasted(u64),
    /// An endpoint was ejected for its failures.
    Ejected,
    /// A seal was granted to another agent.
    SealGranted,
    /// A caller was attached to a job that was already known.
    Attached,
}

impl From<&Verdict> for Count {
    /// Returns what counts the final verdict on a job.
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Answered { .. } => Self::Answered,
            Verdict::NotRun(refusal) => Self::NotRun(refusal.reason),
            Verdict::MayHaveRun(refusal) => Self::MayHaveRun(refusal.reason),
        }
    }
}

impl AgentAction {
    /// Creates a call to the agent `to` at `addr`.
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

//! The HTTP interface of an entry: callers, operators, metrics and health.

use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use fulmarpond_core::agent::Count;
use fulmarpond_core::contract::{
    Answer, Attempt, JobId, RawSubmission, Reason, Refusal, Submission, SubmissionLimits, Verdict,
};
use fulmarpond_core::entry::{CallerRequest, EntryInput};
use fulmarpond_core::policy::{Patch, Version};
use fulmarpond_http::{Fault, Handler, Request, Responder, Response};
use tracing::{debug, info};

use super::{Reply, agent_api, body, render};
use crate::auth::{Access, Tokens};
use crate::callers::{Caller, Callers, Waiter};
use crate::driver::EntryView;
use crate::metrics::Metrics;

/// The longest wait that a caller may ask for, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;
/// How long the core may take beyond the time that a request allows.
const GRACE: Duration = Duration::from_secs(8);
/// When a caller may come back that was refused because of overload, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 100;

/// The HTTP interface of an entry.
pub(crate) struct EntryApi {
    pub(crate) core: SyncSender<EntryInput>,
    pub(crate) waiting: Callers,
    pub(crate) view: Arc<RwLock<EntryView>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) callers: Tokens,
    pub(crate) operators: Tokens,
    pub(crate) limits: SubmissionLimits,
}

/// A request that the core answers.
struct Question {
    request: CallerRequest,
    /// How long the request allows the core to take.
    timeout: Duration,
    /// Set for a submission.
    waiter: Option<Waiter>,
}

impl Question {
    fn new(request: CallerRequest, timeout: Duration) -> Self {
        Self {
            request,
            timeout,
            waiter: None,
        }
    }
}

impl Handler<Reply> for EntryApi {
    fn handle(&self, request: Request, responder: Responder<Reply>) {
        let segments = request.segments();
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        let question = match (request.method(), path.as_slice()) {
            ("GET", ["metrics"]) => Err(agent_api::metrics(&self.metrics)),
            ("GET", ["healthz"]) => Err(Response::text(200, "ok")),
            ("GET", ["readyz"]) => Err(self.ready()),
            ("POST", ["v1", "jobs"]) => self.submit(&request),
            (_, ["v1", "jobs", rest @ ..]) => self.job(&request, rest),
            (_, ["v1", rest @ ..]) => self.operate(&request, rest),
            _ => Err(Response::empty(404)),
        };
        match question {
            Ok(question) => self.ask(question, responder),
            Err(response) => responder.send(Reply::Done(response)),
        }
    }

    fn admit(&self, head: &Request) -> Result<(), Response> {
        match head
            .segments()
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()[..]
        {
            ["v1", "jobs", ..] => self.team(head).map(drop),
            ["v1", ..] => self.operator(head).map(drop),
            _ => Ok(()),
        }
    }

    fn refuse(&self, fault: Fault) -> Response {
        let reason = match fault {
            Fault::BodyTooLarge(_) => Reason::TooLarge,
            _ => Reason::Invalid,
        };
        self.metrics.count(Count::NotRun(reason));
        render::fault(fault)
    }
}

impl EntryApi {
    fn ready(&self) -> Response {
        let view = self
            .view
            .read()
            .map(|view| view.clone())
            .unwrap_or_default();
        let store = view.confirmed_ms.map_or("never read".to_owned(), |age| {
            format!("confirmed {age} ms ago")
        });
        match (view.ready, view.draining) {
            (true, _) => Response::text(200, format!("ready, roster {store}")),
            (false, true) => Response::text(503, "draining"),
            (false, false) => Response::text(503, format!("no live agents, roster {store}")),
        }
    }

    /// Returns the team of a caller's token, or the response that denies access.
    fn team(&self, request: &Request) -> Result<Option<String>, Response> {
        match self.callers.check(request.header("Authorization")) {
            Access::Open => Ok(None),
            Access::Named(team) => Ok(Some(team)),
            Access::Denied => Err(render::invalid(401, "the token is missing or not known")),
        }
    }

    /// Returns the operator of a token, or the response that denies access.
    fn operator(&self, request: &Request) -> Result<Option<String>, Response> {
        match self.operators.check(request.header("Authorization")) {
            Access::Open => Ok(None),
            Access::Named(operator) => Ok(Some(operator)),
            Access::Denied => Err(render::invalid(403, "the token is not an operator's")),
        }
    }

    fn submit(&self, request: &Request) -> Result<Question, Response> {
        let started = Instant::now();
        let team = self.team(request)?;
        let invalid = |response| {
            self.metrics.count(Count::NotRun(Reason::Invalid));
            response
        };
        let raw: RawSubmission = body::read(request).map_err(invalid)?;
        let wait = raw.wait;
        let submission = Submission::check(raw, team.as_deref(), &self.limits)
            .map_err(|error| invalid(render::invalid(400, &error.to_string())))?;
        let waiter = self
            .waiting
            .admit(started)
            .ok_or_else(|| self.refuse_submission(&submission, Reason::Overloaded))?;
        debug!(id = %submission.job, tasks = submission.tasks.len(), "submitted");
        let timeout = Duration::from_millis(submission.remaining_ms);
        Ok(Question {
            request: CallerRequest::Submit { submission, wait },
            timeout,
            waiter: Some(waiter),
        })
    }

    fn job(&self, request: &Request, path: &[&str]) -> Result<Question, Response> {
        // Without tokens the team is named in the query.
        let team = self
            .team(request)?
            .or_else(|| request.query("team"))
            .ok_or_else(|| render::invalid(400, "parameter `team` is missing"))?;
        let wait_ms = body::number(request, "wait_ms", 0)?.min(WAIT_MAX_MS);
        let from = body::number(request, "from", 0)?;
        let question = match (request.method(), path) {
            ("GET", [id]) => CallerRequest::Status(JobId::new(&team, id)),
            ("DELETE", [id]) => CallerRequest::Cancel(JobId::new(&team, id)),
            ("GET", [id, "answer"]) => CallerRequest::Fetch {
                job: JobId::new(&team, id),
                wait_ms,
            },
            ("GET", [id, "events"]) => CallerRequest::Events {
                job: JobId::new(&team, id),
                from,
                wait_ms,
            },
            _ => return Err(Response::empty(404)),
        };
        Ok(Question::new(question, Duration::from_millis(wait_ms)))
    }

    fn operate(&self, request: &Request, path: &[&str]) -> Result<Question, Response> {
        let operator = self.operator(request)?;
        let question = match (request.method(), path) {
            ("GET", ["endpoints"]) => CallerRequest::Endpoints,
            ("GET", ["roster"]) => CallerRequest::Roster,
            ("GET", ["teams"]) => CallerRequest::Teams,
            ("GET", ["config"]) => CallerRequest::Config(None),
            ("GET", ["config", version]) => match version.parse() {
                Ok(version) => CallerRequest::Config(Some(Version(version))),
                Err(_) => {
                    return Err(render::invalid(400, "the version must be a whole number"));
                }
            },
            ("POST", ["config"]) => {
                let mut patch: Patch = body::read(request)?;
                if let Some(operator) = operator {
                    patch.author = operator;
                }
                info!(patch = %patch.id, base = %patch.base, "patch submitted");
                CallerRequest::Patch(patch)
            }
            _ => return Err(Response::empty(404)),
        };
        Ok(Question::new(question, Duration::ZERO))
    }

    /// Asks the core, which answers over the responder.
    fn ask(&self, question: Question, responder: Responder<Reply>) {
        self.metrics.messages("caller", 2);
        let call = self.waiting.add(Caller {
            responder,
            until: Instant::now() + question.timeout + GRACE,
            waiter: question.waiter,
        });
        let request = question.request;
        let Err(error) = self.core.try_send(EntryInput::Caller { call, request }) else {
            return;
        };
        let (reason, input) = match error {
            TrySendError::Full(input) => (Reason::Overloaded, input),
            TrySendError::Disconnected(input) => (Reason::Draining, input),
        };
        let response = match &input {
            EntryInput::Caller {
                request: CallerRequest::Submit { submission, .. },
                ..
            } => self.refuse_submission(submission, reason),
            _ => render::refused(&Refusal::new(reason, OVERLOAD_RETRY_MS)),
        };
        self.waiting.answer(call, || Reply::Done(response));
    }

    /// Counts and renders the refusal of a submission that did not reach the core.
    ///
    /// An earlier attempt of the same id may have run.
    fn refuse_submission(&self, submission: &Submission, reason: Reason) -> Response {
        let refusal = Refusal::new(reason, OVERLOAD_RETRY_MS);
        let verdict = match submission.attempt {
            Attempt::First => Verdict::NotRun(refusal),
            Attempt::Unresolved { .. } => Verdict::MayHaveRun(refusal),
        };
        self.metrics.count((&verdict).into());
        render::answer(&Answer::new(&submission.job, verdict))
    }
}

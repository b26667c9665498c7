//! The HTTP interface of an entry: requests of callers and operators, metrics and health.

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
use crate::callers::{Caller, Callers, SubmissionPermit};
use crate::driver::EntryView;
use crate::metrics::Metrics;

/// Longest wait that a caller may request.
const MAX_WAIT_MS: u64 = 10_000;
/// Additional time for the core to reply after the timeout of a request.
const REPLY_GRACE: Duration = Duration::from_secs(8);
/// Delay after which a caller refused because of overload may retry.
const OVERLOAD_RETRY_MS: u64 = 100;

/// The HTTP interface of an entry.
pub(crate) struct EntryApi {
    pub(crate) core: SyncSender<EntryInput>,
    pub(crate) pending: Callers,
    pub(crate) view: Arc<RwLock<EntryView>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) caller_tokens: Tokens,
    pub(crate) operator_tokens: Tokens,
    pub(crate) limits: SubmissionLimits,
}

/// A parsed request that the core answers.
struct CoreRequest {
    request: CallerRequest,
    /// How long the core may take to answer the request.
    timeout: Duration,
    /// The permit of a submission; other requests need none.
    permit: Option<SubmissionPermit>,
}

impl CoreRequest {
    fn new(request: CallerRequest, timeout: Duration) -> Self {
        Self {
            request,
            timeout,
            permit: None,
        }
    }
}

impl Handler<Reply> for EntryApi {
    fn handle(&self, request: Request, responder: Responder<Reply>) {
        let segments = request.segments();
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        let parsed = match (request.method(), path.as_slice()) {
            ("GET", ["metrics"]) => Err(agent_api::metrics_response(&self.metrics)),
            ("GET", ["healthz"]) => Err(Response::text(200, "ok")),
            ("GET", ["readyz"]) => Err(self.readiness()),
            ("POST", ["v1", "jobs"]) => self.parse_submission(&request),
            (_, ["v1", "jobs", rest @ ..]) => self.parse_job_request(&request, rest),
            (_, ["v1", rest @ ..]) => self.parse_operator_request(&request, rest),
            _ => Err(Response::empty(404)),
        };
        match parsed {
            Ok(core_request) => self.send_to_core(core_request, responder),
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
            ["v1", "jobs", ..] => self.authenticate_caller(head).map(drop),
            ["v1", ..] => self.authenticate_operator(head).map(drop),
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
    fn readiness(&self) -> Response {
        let view = self
            .view
            .read()
            .map(|view| view.clone())
            .unwrap_or_default();
        let roster_age = view.confirmed_ms.map_or("never read".to_owned(), |age| {
            format!("confirmed {age} ms ago")
        });
        match (view.ready, view.draining) {
            (true, _) => Response::text(200, format!("ready, roster {roster_age}")),
            (false, true) => Response::text(503, "draining"),
            (false, false) => Response::text(503, format!("no live agents, roster {roster_age}")),
        }
    }

    /// Returns the team of the caller's token.
    ///
    /// # Errors
    ///
    /// Returns the response that denies access.
    fn authenticate_caller(&self, request: &Request) -> Result<Option<String>, Response> {
        match self.caller_tokens.check(request.header("Authorization")) {
            Access::Open => Ok(None),
            Access::Named(team) => Ok(Some(team)),
            Access::Denied => Err(render::invalid(401, "the token is missing or not known")),
        }
    }

    /// Returns the operator of the token.
    ///
    /// # Errors
    ///
    /// Returns the response that denies access.
    fn authenticate_operator(&self, request: &Request) -> Result<Option<String>, Response> {
        match self.operator_tokens.check(request.header("Authorization")) {
            Access::Open => Ok(None),
            Access::Named(operator) => Ok(Some(operator)),
            Access::Denied => Err(render::invalid(403, "the token is not an operator's")),
        }
    }

    fn parse_submission(&self, request: &Request) -> Result<CoreRequest, Response> {
        let started = Instant::now();
        let team = self.authenticate_caller(request)?;
        let count_invalid = |response| {
            self.metrics.count(Count::NotRun(Reason::Invalid));
            response
        };
        let raw: RawSubmission = body::parse_json(request).map_err(count_invalid)?;
        let wait = raw.wait;
        let submission = Submission::check(raw, team.as_deref(), &self.limits)
            .map_err(|error| count_invalid(render::invalid(400, &error.to_string())))?;
        let permit = self
            .pending
            .try_admit(started)
            .ok_or_else(|| self.refuse_submission(&submission, Reason::Overloaded))?;
        debug!(id = %submission.job, tasks = submission.tasks.len(), "submitted");
        let timeout = Duration::from_millis(submission.remaining_ms);
        Ok(CoreRequest {
            request: CallerRequest::Submit { submission, wait },
            timeout,
            permit: Some(permit),
        })
    }

    fn parse_job_request(&self, request: &Request, path: &[&str]) -> Result<CoreRequest, Response> {
        // Without caller tokens, the query names the team.
        let team = self
            .authenticate_caller(request)?
            .or_else(|| request.query("team"))
            .ok_or_else(|| render::invalid(400, "parameter `team` is missing"))?;
        let wait_ms = body::query_number(request, "wait_ms", 0)?.min(MAX_WAIT_MS);
        let from = body::query_number(request, "from", 0)?;
        let parsed = match (request.method(), path) {
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
        Ok(CoreRequest::new(parsed, Duration::from_millis(wait_ms)))
    }

    fn parse_operator_request(
        &self,
        request: &Request,
        path: &[&str],
    ) -> Result<CoreRequest, Response> {
        let operator = self.authenticate_operator(request)?;
        let parsed = match (request.method(), path) {
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
                let mut patch: Patch = body::parse_json(request)?;
                if let Some(operator) = operator {
                    patch.author = operator;
                }
                info!(patch = %patch.id, base = %patch.base, "patch submitted");
                CallerRequest::Patch(patch)
            }
            _ => return Err(Response::empty(404)),
        };
        Ok(CoreRequest::new(parsed, Duration::ZERO))
    }

    /// Sends a request to the core, which replies through the responder.
    fn send_to_core(&self, core_request: CoreRequest, responder: Responder<Reply>) {
        self.metrics.count_messages("caller", 2);
        let call = self.pending.insert(Caller {
            responder,
            reply_deadline: Instant::now() + core_request.timeout + REPLY_GRACE,
            permit: core_request.permit,
        });
        let request = core_request.request;
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
        self.pending.answer(call, || Reply::Done(response));
    }

    /// Counts and renders the refusal of a submission that did not reach the core.
    ///
    /// The verdict of a later attempt is "may have run", since an earlier attempt with the same id
    /// may have run.
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

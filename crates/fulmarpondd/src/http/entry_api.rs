//! The HTTP interface of an entry: callers, operators, metrics and health.

use std::sync::mpsc::{RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use fulmarpond_core::agent::Count;
use fulmarpond_core::contract::{
    JobId, RawSubmission, Reason, Refusal, Submission, SubmissionLimits,
};
use fulmarpond_core::entry::{CallerReply, CallerRequest, EntryInput};
use fulmarpond_core::policy::{Patch, Version};
use rouille::{Request, Response};
use tracing::{debug, info};

use super::{agent_api, body, render};
use crate::auth::{Access, Tokens};
use crate::driver::EntryView;
use crate::metrics::Metrics;
use crate::ring::Waiting;

/// The longest wait that a caller may ask for, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;
/// How long the core may take beyond the time that a request allows.
const GRACE: Duration = Duration::from_secs(8);

/// The HTTP interface of an entry.
pub(crate) struct EntryApi {
    pub(crate) core: SyncSender<EntryInput>,
    pub(crate) waiting: Waiting<SyncSender<CallerReply>>,
    pub(crate) view: Arc<RwLock<EntryView>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) callers: Tokens,
    pub(crate) operators: Tokens,
    pub(crate) limits: SubmissionLimits,
    /// The largest body in bytes.
    pub(crate) body_max: u64,
    /// The largest number of headers.
    pub(crate) headers_max: usize,
}

impl EntryApi {
    /// Handles a request.
    pub(crate) fn handle(&self, request: &Request) -> Response {
        if request.headers().count() > self.headers_max {
            return render::invalid(431, "the request has too many headers");
        }
        let url = request.url();
        let path: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            ("GET", ["metrics"]) => agent_api::metrics(&self.metrics),
            ("GET", ["healthz"]) => Response::text("ok"),
            ("GET", ["readyz"]) => self.ready(),
            ("POST", ["v1", "jobs"]) => self.submit(request),
            (_, ["v1", "jobs", rest @ ..]) => self.job(request, rest),
            (_, ["v1", rest @ ..]) => self.operate(request, rest),
            _ => Response::empty_404(),
        }
    }

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
            (true, _) => Response::text(format!("ready, roster {store}")),
            (false, true) => Response::text("draining").with_status_code(503),
            (false, false) => {
                Response::text(format!("no live agents, roster {store}")).with_status_code(503)
            }
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

    fn submit(&self, request: &Request) -> Response {
        let started = Instant::now();
        let team = match self.team(request) {
            Ok(team) => team,
            Err(response) => return response,
        };
        let raw: RawSubmission = match body::read(request, self.body_max) {
            Ok(raw) => raw,
            Err(response) => {
                self.metrics.count(Count::NotRun(Reason::Invalid));
                return response;
            }
        };
        let wait = raw.wait;
        let submission = match Submission::check(raw, team.as_deref(), &self.limits) {
            Ok(submission) => submission,
            Err(error) => {
                self.metrics.count(Count::NotRun(Reason::Invalid));
                return render::invalid(400, &error.to_string());
            }
        };
        let span = tracing::info_span!("job", id = %submission.job);
        let _entered = span.enter();
        debug!(tasks = submission.tasks.len(), "submitted");
        let timeout = Duration::from_millis(submission.remaining_ms);
        let response = self.ask(CallerRequest::Submit { submission, wait }, timeout);
        self.metrics
            .job_seconds
            .observe(started.elapsed().as_secs_f64());
        response
    }

    fn job(&self, request: &Request, path: &[&str]) -> Response {
        let team = match self.team(request) {
            Ok(team) => team,
            Err(response) => return response,
        };
        // Without tokens the team is named in the query.
        let Some(team) = team.or_else(|| request.get_param("team")) else {
            return render::invalid(400, "parameter `team` is missing");
        };
        let waits = body::number(request, "wait_ms", 0);
        let (wait_ms, from) = match (waits, body::number(request, "from", 0)) {
            (Ok(wait_ms), Ok(from)) => (wait_ms.min(WAIT_MAX_MS), from),
            (Err(response), _) | (_, Err(response)) => return response,
        };
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
            _ => return Response::empty_404(),
        };
        self.ask(question, Duration::from_millis(wait_ms))
    }

    fn operate(&self, request: &Request, path: &[&str]) -> Response {
        let operator = match self.operators.check(request.header("Authorization")) {
            Access::Open => None,
            Access::Named(operator) => Some(operator),
            Access::Denied => {
                return render::invalid(403, "the token is not an operator's");
            }
        };
        let question = match (request.method(), path) {
            ("GET", ["endpoints"]) => CallerRequest::Endpoints,
            ("GET", ["roster"]) => CallerRequest::Roster,
            ("GET", ["teams"]) => CallerRequest::Teams,
            ("GET", ["config"]) => CallerRequest::Config(None),
            ("GET", ["config", version]) => match version.parse() {
                Ok(version) => CallerRequest::Config(Some(Version(version))),
                Err(_) => return render::invalid(400, "the version must be a whole number"),
            },
            ("POST", ["config"]) => {
                let mut patch: Patch = match body::read(request, self.body_max) {
                    Ok(patch) => patch,
                    Err(response) => return response,
                };
                if let Some(operator) = operator {
                    patch.author = operator;
                }
                info!(patch = %patch.id, base = %patch.base, "patch submitted");
                CallerRequest::Patch(patch)
            }
            _ => return Response::empty_404(),
        };
        self.ask(question, Duration::ZERO)
    }

    /// Asks the core and waits for its reply.
    fn ask(&self, request: CallerRequest, timeout: Duration) -> Response {
        self.metrics.messages("caller", 2);
        let (sender, receiver) = sync_channel(1);
        let call = self.waiting.add(sender);
        if self
            .core
            .try_send(EntryInput::Caller { call, request })
            .is_err()
        {
            self.waiting.take(call);
            self.metrics.count(Count::NotRun(Reason::Overloaded));
            return render::refused(&Refusal::new(Reason::Overloaded, 100));
        }
        match receiver.recv_timeout(timeout + GRACE) {
            Ok(reply) => render::reply(reply),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                self.waiting.take(call);
                render::invalid(500, "the entry stopped before the request was answered")
            }
        }
    }
}

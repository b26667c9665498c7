//! The threads that run tasks at the endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_core::agent::{AgentInput, RunId, RunOutcome};
use fulmarpond_core::contract::{JobId, Reason, Refusal};
use serde::Serialize;
use serde_json::Value;
use tracing::{debug, warn};

use crate::metrics::Metrics;

/// The runs that may wait for a thread.
const RING_SIZE: usize = 1_024;
/// The longest time without use after which a connection to the endpoint is closed. It stays below
/// the idle limits that servers usually have, since a request on a connection that the server
/// closes has an unknown fate.
const IDLE: Duration = Duration::from_secs(2);
/// The time in which a connection must be made.
const CONNECT: Duration = Duration::from_millis(500);
/// The largest result of a task in bytes. A report with the results of all slots must stay below
/// the largest message of a link.
const RESULT_MAX: u64 = 256 << 10;

/// One task to run at the endpoint.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) run: RunId,
    pub(crate) endpoint: SocketAddr,
    pub(crate) job: JobId,
    pub(crate) task: u32,
    pub(crate) kind: String,
    pub(crate) payload: Value,
    /// When the run counts as failed.
    pub(crate) deadline: Instant,
}

/// The body of the request to the endpoint.
#[derive(Serialize)]
struct Body<'a> {
    job: String,
    task: u32,
    kind: &'a str,
    payload: &'a Value,
    deadline_ms: u64,
}

/// The threads that run tasks at the endpoint, one for each task in progress.
#[derive(Debug)]
pub(crate) struct Slots {
    runs: SyncSender<Run>,
    shared: Arc<Shared>,
    threads: usize,
    active: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct Shared {
    runs: Mutex<Receiver<Run>>,
    core: SyncSender<AgentInput>,
    client: ureq::Agent,
    metrics: Arc<Metrics>,
}

impl Slots {
    /// Creates a pool without threads that reports to `core`.
    pub(crate) fn new(core: SyncSender<AgentInput>, metrics: Arc<Metrics>) -> Self {
        let (runs, receiver) = sync_channel(RING_SIZE);
        let client = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT))
            .max_idle_age(IDLE)
            .max_idle_connections(256)
            .max_idle_connections_per_host(256)
            .max_redirects(0)
            // Endpoints are on the own host; a proxy of the environment must not see their tasks.
            .proxy(None)
            .build()
            .new_agent();
        let runs_in = Mutex::new(receiver);
        Self {
            runs,
            shared: Arc::new(Shared {
                runs: runs_in,
                core,
                client,
                metrics,
            }),
            threads: 0,
            active: Arc::default(),
        }
    }

    /// Runs a task on a free thread, or on a new one if all are busy.
    ///
    /// # Errors
    ///
    /// Returns the number of the run if no thread can take it. It was not started.
    pub(crate) fn start(&mut self, run: Run) -> Result<(), RunId> {
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        if active > self.threads {
            let shared = Arc::clone(&self.shared);
            let counter = Arc::clone(&self.active);
            let spawned = thread::Builder::new()
                .name("slot".to_owned())
                .spawn(move || shared.work(&counter));
            if spawned.is_ok() {
                self.threads += 1;
            }
        }
        self.runs.try_send(run).map_err(|error| {
            self.active.fetch_sub(1, Ordering::Relaxed);
            match error {
                TrySendError::Full(run) | TrySendError::Disconnected(run) => run.run,
            }
        })
    }
}

impl Shared {
    fn work(&self, active: &AtomicUsize) {
        loop {
            let next = self
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .recv();
            let Ok(run) = next else {
                return;
            };
            let number = run.run;
            let outcome = self.run(&run);
            active.fetch_sub(1, Ordering::Relaxed);
            let input = AgentInput::Ended {
                run: number,
                outcome,
            };
            if self.core.send(input).is_err() {
                return;
            }
        }
    }

    fn run(&self, run: &Run) -> RunOutcome {
        let started = Instant::now();
        let left = run.deadline.saturating_duration_since(started);
        if left.is_zero() {
            return RunOutcome::NotStarted(Refusal::new(Reason::DeadlinePassed, 0));
        }
        let body = Body {
            job: run.job.to_string(),
            task: run.task,
            kind: &run.kind,
            payload: &run.payload,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        self.metrics.messages("endpoint", 2);
        let result = self
            .client
            .post(format!("http://{}/run", run.endpoint))
            .config()
            .timeout_global(Some(left))
            .build()
            .send_json(&body);
        self.metrics
            .task_seconds
            .observe(started.elapsed().as_secs_f64());
        debug!(job = %run.job, task = run.task, ok = result.is_ok(), "task ended");
        match result {
            Ok(response) => read_outcome(response),
            Err(error) => failed(&error),
        }
    }
}

fn read_outcome(mut response: ureq::http::Response<ureq::Body>) -> RunOutcome {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(RESULT_MAX)
        .read_json::<Value>();
    match (status, body) {
        (200, Ok(result)) => RunOutcome::Done(result),
        (200, Err(error)) => {
            let detail = format!("the endpoint's result can't be read: {error}");
            RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0).detail(detail))
        }
        (429 | 503, _) => {
            let detail = format!("the endpoint refused with status {status}");
            RunOutcome::NotStarted(Refusal::new(Reason::QueueFull, 0).detail(detail))
        }
        _ => {
            let detail = format!("the endpoint answered with status {status}");
            RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0).detail(detail))
        }
    }
}

/// Only a failed connect shows that the task did not start.
fn failed(error: &ureq::Error) -> RunOutcome {
    let refused = match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    let detail = format!("no result from the endpoint: {error}");
    if refused {
        return RunOutcome::NotStarted(Refusal::new(Reason::Unreachable, 0).detail(detail));
    }
    warn!(%error, "the fate of a task is not known");
    let reason = match error {
        ureq::Error::Timeout(_) => Reason::DeadlinePassed,
        _ => Reason::TaskFailed,
    };
    RunOutcome::Failed(Refusal::new(reason, 0).detail(detail))
}

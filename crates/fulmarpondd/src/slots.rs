//! The thread pool that runs tasks at the endpoint.

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

/// Capacity of the queue of runs that wait for a thread.
const QUEUE_CAPACITY: usize = 1_024;
/// Idle time after which a connection to the endpoint is closed. It is below the usual idle
/// timeouts of servers: if a server closes a connection while a request is in flight, the outcome
/// of the request is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for connecting to the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a task result. A report with the results of all slots must stay below the
/// maximum message size of a link.
const RESULT_MAX_BYTES: u64 = 256 << 10;

/// One task to run at the endpoint.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) run: RunId,
    pub(crate) endpoint: SocketAddr,
    pub(crate) job: JobId,
    pub(crate) task: u32,
    pub(crate) kind: String,
    pub(crate) payload: Value,
    /// When the run times out.
    pub(crate) deadline: Instant,
}

/// The body of a run request to the endpoint.
#[derive(Serialize)]
struct RunRequest<'a> {
    job: String,
    task: u32,
    kind: &'a str,
    payload: &'a Value,
    deadline_ms: u64,
}

/// The thread pool that runs tasks at the endpoint, with one thread for each task in flight.
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
    /// Creates a pool without threads that reports outcomes to `core`.
    pub(crate) fn new(core: SyncSender<AgentInput>, metrics: Arc<Metrics>) -> Self {
        let (runs, receiver) = sync_channel(QUEUE_CAPACITY);
        let client = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_age(IDLE_TIMEOUT)
            .max_idle_connections(256)
            .max_idle_connections_per_host(256)
            .max_redirects(0)
            // The endpoint runs on the same host; a proxy from the environment must not see tasks.
            .proxy(None)
            .build()
            .new_agent();
        let queued_runs = Mutex::new(receiver);
        Self {
            runs,
            shared: Arc::new(Shared {
                runs: queued_runs,
                core,
                client,
                metrics,
            }),
            threads: 0,
            active: Arc::default(),
        }
    }

    /// Runs a task on an idle thread, or on a new one if all are busy.
    ///
    /// # Errors
    ///
    /// Returns the id of the run if the queue is full or closed. The task was not started.
    pub(crate) fn start(&mut self, run: Run) -> Result<(), RunId> {
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        if active > self.threads {
            let shared = Arc::clone(&self.shared);
            let active_runs = Arc::clone(&self.active);
            let spawned = thread::Builder::new()
                .name("slot".to_owned())
                .spawn(move || shared.run_tasks(&active_runs));
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
    fn run_tasks(&self, active_runs: &AtomicUsize) {
        loop {
            let next = self
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .recv();
            let Ok(run) = next else {
                return;
            };
            let run_id = run.run;
            let outcome = self.run(&run);
            active_runs.fetch_sub(1, Ordering::Relaxed);
            let input = AgentInput::Ended {
                run: run_id,
                outcome,
            };
            if self.core.send(input).is_err() {
                return;
            }
        }
    }

    fn run(&self, run: &Run) -> RunOutcome {
        let started = Instant::now();
        let remaining = run.deadline.saturating_duration_since(started);
        if remaining.is_zero() {
            return RunOutcome::NotStarted(Refusal::new(Reason::DeadlinePassed, 0));
        }
        let body = RunRequest {
            job: run.job.to_string(),
            task: run.task,
            kind: &run.kind,
            payload: &run.payload,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        self.metrics.count_messages("endpoint", 2);
        let result = self
            .client
            .post(format!("http://{}/run", run.endpoint))
            .config()
            .timeout_global(Some(remaining))
            .build()
            .send_json(&body);
        self.metrics
            .task_seconds
            .observe(started.elapsed().as_secs_f64());
        debug!(job = %run.job, task = run.task, ok = result.is_ok(), "task ended");
        match result {
            Ok(response) => read_outcome(response),
            Err(error) => classify_error(&error),
        }
    }
}

fn read_outcome(mut response: ureq::http::Response<ureq::Body>) -> RunOutcome {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(RESULT_MAX_BYTES)
        .read_json::<Value>();
    match (status, body) {
        (200, Ok(result)) => RunOutcome::Done(result),
        (200, Err(error)) => {
            let detail = format!("cannot read the result from the endpoint: {error}");
            RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0).detail(detail))
        }
        (429 | 503, _) => {
            let detail = format!("the endpoint refused the task with status {status}");
            RunOutcome::NotStarted(Refusal::new(Reason::QueueFull, 0).detail(detail))
        }
        _ => {
            let detail = format!("the endpoint answered with status {status}");
            RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0).detail(detail))
        }
    }
}

/// Classifies a request that got no response. Only a failed connection attempt proves that the task
/// did not start.
fn classify_error(error: &ureq::Error) -> RunOutcome {
    let never_connected = match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    let detail = format!("request to the endpoint failed: {error}");
    if never_connected {
        return RunOutcome::NotStarted(Refusal::new(Reason::Unreachable, 0).detail(detail));
    }
    warn!(%error, "request to the endpoint failed, the outcome of the task is unknown");
    let reason = match error {
        ureq::Error::Timeout(_) => Reason::DeadlinePassed,
        _ => Reason::TaskFailed,
    };
    RunOutcome::Failed(Refusal::new(reason, 0).detail(detail))
}

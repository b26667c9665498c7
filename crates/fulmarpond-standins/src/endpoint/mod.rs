//! A stand-in for an endpoint: runs tasks, records their starts and injects faults.

mod announcer;
mod control;
mod ledger;
mod options;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_http::{Options, Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::service::{Outcome, Service, json_body};
use announcer::Announcer;
use ledger::Ledger;

pub use control::EndpointControl;
pub use ledger::LedgerRow;
pub use options::{EndpointLimits, EndpointOptions};

/// How long a stop waits for tasks in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of a task request body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum run time of a task.
const MAX_RUN_TIME: Duration = Duration::from_secs(3600);

/// A stand-in for an endpoint.
///
/// A task sleeps for `payload.run_ms` milliseconds and answers with its payload. The endpoint
/// announces itself to the agent on its host, renews the announcement every second and withdraws
/// it when it leaves.
#[derive(Debug)]
pub struct Endpoint {
    inner: Arc<Inner>,
    service: Service,
    announcer: Announcer,
}

impl Endpoint {
    /// Starts an endpoint and its announcements.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if `options.listen` cannot be opened.
    pub fn start(options: EndpointOptions) -> io::Result<Self> {
        let inner = Arc::new(Inner::new(options.slots));
        let handler = Arc::clone(&inner);
        let connections = usize::try_from(options.connections).unwrap_or(usize::MAX);
        let http = Options::default()
            .max_connections(connections)
            .max_body_bytes(MAX_BODY_BYTES);
        let service = Service::start(options.listen, http, move |request| handler.handle(request))?;
        let announcer = Announcer::start(options, service.addr(), Arc::clone(&inner));
        Ok(Self {
            inner,
            service,
            announcer,
        })
    }

    /// Returns the address that the endpoint listens on.
    pub fn addr(&self) -> SocketAddr {
        self.service.addr()
    }

    /// Returns one row per start of a task, in order.
    pub fn ledger(&self) -> Vec<LedgerRow> {
        self.inner.lock().ledger.rows().to_vec()
    }

    /// Changes the injected faults; unset fields leave theirs unchanged.
    pub fn control(&self, control: EndpointControl) {
        self.inner.apply_control(control);
    }

    /// Withdraws the announcement, refuses new tasks, finishes those in flight and closes all
    /// connections.
    ///
    /// Hanging tasks are released: those not yet started are refused.
    pub fn stop(&self) {
        self.inner.lock().is_stopping = true;
        self.inner.changed.notify_all();
        self.announcer.stop();
        self.service.stop(STOP_TIMEOUT);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State shared by the threads of an endpoint.
#[derive(Debug)]
struct Inner {
    slots: u32,
    state: Mutex<State>,
    /// Signals a change of the faults or of `is_stopping`.
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    running: u32,
    ledger: Ledger,
    hang: bool,
    fail: bool,
    leave: bool,
    refuse: bool,
    is_stopping: bool,
}

/// The body of a request to run a task.
#[derive(Debug, Deserialize)]
struct Run {
    job: String,
    task: u64,
    #[serde(default)]
    payload: Value,
}

impl Run {
    fn run_time(&self) -> Duration {
        let run_ms = self.payload.get("run_ms").and_then(Value::as_f64);
        run_ms
            .and_then(|run_ms| Duration::try_from_secs_f64(run_ms / 1e3).ok())
            .unwrap_or_default()
            .min(MAX_RUN_TIME)
    }
}

impl Inner {
    fn new(slots: u32) -> Self {
        Self {
            slots,
            state: Mutex::new(State {
                running: 0,
                ledger: Ledger::new(Instant::now()),
                hang: false,
                fail: false,
                leave: false,
                refuse: false,
                is_stopping: false,
            }),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change of the faults or of `is_stopping`.
    fn wait_for_change<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        self.changed
            .wait(state)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state once the endpoint is not hanging or is stopping.
    fn lock_when_not_hanging(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        while state.hang && !state.is_stopping {
            state = self.wait_for_change(state);
        }
        state
    }

    fn apply_control(&self, control: EndpointControl) {
        let mut state = self.lock();
        let faults = &mut *state;
        for (field, value) in [
            (&mut faults.hang, control.hang),
            (&mut faults.fail, control.fail),
            (&mut faults.leave, control.leave),
            (&mut faults.refuse, control.refuse),
        ] {
            *field = value.unwrap_or(*field);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Outcome {
        match (request.method(), request.path().as_str()) {
            ("POST", "/run") => self.run_task(request),
            ("GET", "/control/ledger") => Response::json(200, &self.lock().ledger.rows()),
            ("POST", "/control") => match json_body(request) {
                Ok(control) => {
                    self.apply_control(control);
                    Response::json(200, &json!({}))
                }
                Err(response) => response,
            },
            _ => Response::text(404, "no such resource"),
        }
        .into()
    }

    fn run_task(&self, request: &Request) -> Response {
        let run: Run = match json_body(request) {
            Ok(run) => run,
            Err(response) => return response,
        };
        let mut state = self.lock_when_not_hanging();
        if state.is_stopping || state.refuse {
            return Response::text(503, "endpoint refuses tasks");
        }
        if state.running >= self.slots {
            return Response::text(503, "no slot is free");
        }
        state.ledger.record(&run.job, run.task);
        if state.fail {
            return Response::text(500, "task failed: the fail fault is switched on");
        }
        state.running += 1;
        drop(state);
        let run_time = run.run_time();
        if !run_time.is_zero() {
            thread::sleep(run_time);
        }
        self.lock_when_not_hanging().running -= 1;
        Response::json(200, &json!({ "echo": run.payload }))
    }
}

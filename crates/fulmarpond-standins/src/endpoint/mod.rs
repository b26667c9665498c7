//! An endpoint that runs tasks.

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

/// How long a stop waits for the tasks in flight.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// Largest body of a task in bytes.
const BODY_LIMIT: u64 = 64 * 1024 * 1024;

/// Longest run time of a task.
const RUN_LIMIT: Duration = Duration::from_secs(3600);

/// A stand-in for an endpoint.
///
/// A task sleeps for `payload.run_ms` milliseconds and answers with its payload. The endpoint
/// announces itself to the agent on its host, renews each second and says when it leaves.
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
    /// Returns the error of the system if `options.listen` cannot be opened.
    pub fn start(options: EndpointOptions) -> io::Result<Self> {
        let inner = Arc::new(Inner::new(options.slots));
        let handler = Arc::clone(&inner);
        let connections = usize::try_from(options.connections).unwrap_or(usize::MAX);
        let http = Options::default()
            .max_connections(connections)
            .body_max(BODY_LIMIT);
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

    /// Returns one row per start of a task, in the order of the starts.
    pub fn ledger(&self) -> Vec<LedgerRow> {
        self.inner.lock().ledger.rows().to_vec()
    }

    /// Switches faults; fields that are not set stay as they are.
    pub fn control(&self, control: EndpointControl) {
        self.inner.control(control);
    }

    /// Announces leaving, refuses new tasks, finishes those in flight and closes all connections.
    ///
    /// Tasks that hang are released: those that were not started are refused.
    pub fn stop(&self) {
        self.inner.lock().stopping = true;
        self.inner.changed.notify_all();
        self.announcer.stop();
        self.service.stop(STOP_LIMIT);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The part that the threads of an endpoint share.
#[derive(Debug)]
struct Inner {
    slots: u32,
    state: Mutex<State>,
    /// Signals a change of the faults or of `stopping`.
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
    stopping: bool,
}

/// A task as the agent sends it.
#[derive(Debug, Deserialize)]
struct Run {
    job: String,
    task: u64,
    #[serde(default)]
    payload: Value,
}

impl Run {
    fn time(&self) -> Duration {
        let run_ms = self.payload.get("run_ms").and_then(Value::as_f64);
        run_ms
            .and_then(|run_ms| Duration::try_from_secs_f64(run_ms / 1e3).ok())
            .unwrap_or_default()
            .min(RUN_LIMIT)
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
                stopping: false,
            }),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change of the faults or of `stopping`.
    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        self.changed
            .wait(state)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the endpoint hangs.
    fn lock_awake(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        while state.hang && !state.stopping {
            state = self.wait(state);
        }
        state
    }

    fn control(&self, control: EndpointControl) {
        let mut state = self.lock();
        let state_now = &mut *state;
        for (field, value) in [
            (&mut state_now.hang, control.hang),
            (&mut state_now.fail, control.fail),
            (&mut state_now.leave, control.leave),
            (&mut state_now.refuse, control.refuse),
        ] {
            *field = value.unwrap_or(*field);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Outcome {
        match (request.method(), request.path().as_str()) {
            ("POST", "/run") => self.run(request),
            ("GET", "/control/ledger") => Response::json(200, &self.lock().ledger.rows()),
            ("POST", "/control") => match json_body(request) {
                Ok(control) => {
                    self.control(control);
                    Response::json(200, &json!({}))
                }
                Err(response) => response,
            },
            _ => Response::text(404, "no such resource"),
        }
        .into()
    }

    fn run(&self, request: &Request) -> Response {
        let run: Run = match json_body(request) {
            Ok(run) => run,
            Err(response) => return response,
        };
        let mut state = self.lock_awake();
        if state.stopping || state.refuse {
            return Response::text(503, "the endpoint refuses tasks");
        }
        if state.running >= self.slots {
            return Response::text(503, "no slot is free");
        }
        state.ledger.record(&run.job, run.task);
        if state.fail {
            return Response::text(500, "the task failed");
        }
        state.running += 1;
        drop(state);
        let time = run.time();
        if !time.is_zero() {
            thread::sleep(time);
        }
        self.lock_awake().running -= 1;
        Response::json(200, &json!({ "echo": run.payload }))
    }
}

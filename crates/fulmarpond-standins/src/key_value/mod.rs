//! The platform's key-value service.

mod calls;
mod control;
mod store;

use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarpond_http::{Options, Request, Response};
use serde_json::json;

use crate::service::{Outcome, Service, json_body};
use calls::Call;
use store::{Refusal, Store};

pub use calls::Calls;
pub use control::KeyValueControl;

/// Largest value of a key in bytes.
const VALUE_LIMIT: u64 = 1024 * 1024;

/// How long a stop waits for the requests in flight.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// A stand-in for the platform's key-value service.
///
/// It keeps all keys in memory and offers compare-and-swap by revision, leases and long-poll
/// watches. A deleted key appears in a watch with the value `null`.
///
/// # Examples
///
/// ```
/// use fulmarpond_standins::{KeyValue, KeyValueControl};
///
/// let store = KeyValue::start("127.0.0.1:0")?;
/// store.control(KeyValueControl::default().outage(true));
/// assert_eq!(store.calls().total(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct KeyValue {
    inner: Arc<Inner>,
    service: Service,
}

impl KeyValue {
    /// Starts the service on `listen`; port 0 lets the system choose one.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if `listen` cannot be opened.
    pub fn start<A: ToSocketAddrs>(listen: A) -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let handler = Arc::clone(&inner);
        let options = Options::default()
            .max_connections(usize::MAX)
            .body_max(VALUE_LIMIT);
        let service = Service::start(listen, options, move |request| handler.handle(request))?;
        Ok(Self { inner, service })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.service.addr()
    }

    /// Switches faults; fields that are not set stay as they are.
    pub fn control(&self, control: KeyValueControl) {
        self.inner.control(control);
    }

    /// Returns the calls counted by kind.
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Ends waiting watches, finishes the requests in flight and closes all connections.
    pub fn stop(&self) {
        self.inner.lock().stopping = true;
        self.inner.changed.notify_all();
        self.service.stop(STOP_LIMIT);
    }
}

impl Drop for KeyValue {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    /// Signals a change of a key, of the faults or of `stopping`.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    calls: Calls,
    outage: bool,
    slow: Duration,
    lose_replies: u64,
    stopping: bool,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change until `until`.
    fn wait<'a>(&self, state: MutexGuard<'a, State>, until: Instant) -> MutexGuard<'a, State> {
        let left = until.saturating_duration_since(Instant::now());
        match self.changed.wait_timeout(state, left) {
            Ok((state, _)) => state,
            Err(error) => error.into_inner().0,
        }
    }

    fn control(&self, control: KeyValueControl) {
        let mut state = self.lock();
        if let Some(outage) = control.outage {
            state.outage = outage;
        }
        if let Some(slow_ms) = control.slow_ms {
            state.slow = Duration::from_millis(slow_ms);
        }
        if let Some(lose_replies) = control.lose_replies {
            state.lose_replies = lose_replies;
        }
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Outcome {
        let path = request.path();
        match (request.method(), path.as_str()) {
            ("GET", "/control/calls") => return Response::json(200, &self.lock().calls).into(),
            ("POST", "/control") => {
                return match json_body(request) {
                    Ok(control) => {
                        self.control(control);
                        Response::json(200, &json!({})).into()
                    }
                    Err(response) => response.into(),
                };
            }
            _ => {}
        }
        match Call::parse(request.method(), &path) {
            Some(call) => match self.call(&call, request) {
                Ok(outcome) => outcome,
                Err(response) => response.into(),
            },
            None => Response::text(404, "no such resource").into(),
        }
    }

    fn call(&self, call: &Call<'_>, request: &Request) -> Result<Outcome, Response> {
        let mut state = self.lock();
        state.calls.count(call);
        // A slow service acts late, so that a write can take effect after its caller gave up.
        let start = Instant::now();
        while !state.stopping && start.elapsed() < state.slow {
            let until = start + state.slow;
            state = self.wait(state, until);
        }
        if state.outage {
            return Err(outage());
        }
        drop(state);

        let if_revision = number(request, "if_revision")?;
        let prefix = request.query("prefix").unwrap_or_default();
        match *call {
            Call::Get(key) => match self.read(|store| store.get(key))? {
                Some(item) => Ok(Response::json(200, &item).into()),
                None => Err(Response::text(404, "no such key")),
            },
            Call::List => {
                let items = self.read(|store| store.list(&prefix))?;
                Ok(Response::json(200, &items).into())
            }
            Call::Put(key) => {
                let lease = number(request, "lease")?;
                let value = body(request)?;
                self.write(|store| store.put(key, value, if_revision, lease))
            }
            Call::Delete(key) => self.write(|store| store.delete(key, if_revision)),
            Call::Watch => {
                let after = number(request, "after")?.unwrap_or(0);
                let wait = Duration::from_millis(number(request, "wait_ms")?.unwrap_or(0));
                self.watch(&prefix, after, wait).map(Outcome::from)
            }
            Call::Grant => {
                let ttl_ms = number(request, "ttl_ms")?
                    .filter(|ttl_ms| *ttl_ms > 0)
                    .ok_or_else(|| invalid("ttl_ms is missing or 0"))?;
                let ttl = Duration::from_millis(ttl_ms);
                let lease = self.read(|store| store.grant(ttl, Instant::now()))?;
                Ok(Response::json(200, &json!({ "lease": lease })).into())
            }
            Call::Renew(lease) => {
                let known = self.read(|store| store.renew(lease, Instant::now()))?;
                lease_reply(lease, known)
            }
            Call::Revoke(lease) => {
                let known = self.read(|store| store.revoke(lease))?;
                self.changed.notify_all();
                lease_reply(lease, known)
            }
        }
    }

    /// Runs `action` on the store after leases that have run out were removed.
    fn read<T>(&self, action: impl FnOnce(&mut Store) -> T) -> Result<T, Response> {
        let mut state = self.lock();
        if state.outage {
            return Err(outage());
        }
        if state.store.expire(Instant::now()) {
            self.changed.notify_all();
        }
        Ok(action(&mut state.store))
    }

    fn write(
        &self,
        action: impl FnOnce(&mut Store) -> Result<u64, Refusal>,
    ) -> Result<Outcome, Response> {
        let revision = match self.read(action)? {
            Ok(revision) => revision,
            Err(Refusal::Conflict { revision }) => {
                return Err(Response::json(409, &json!({ "revision": revision })));
            }
            Err(Refusal::NoLease) => return Err(Response::text(404, "no such lease")),
        };
        self.changed.notify_all();
        let mut state = self.lock();
        if state.lose_replies > 0 {
            state.lose_replies -= 1;
            return Ok(Outcome::Close);
        }
        Ok(Response::json(200, &json!({ "revision": revision })).into())
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Response, Response> {
        let end = Instant::now() + wait.min(Duration::from_secs(24 * 3600));
        let mut state = self.lock();
        loop {
            if state.outage {
                return Err(outage());
            }
            let now = Instant::now();
            if state.store.expire(now) {
                self.changed.notify_all();
            }
            let changes = state.store.changes(prefix, after);
            if !changes.items.is_empty() || now >= end || state.stopping {
                return Ok(Response::json(200, &changes));
            }
            let until = state
                .store
                .next_expiry()
                .map_or(end, |expiry| expiry.min(end));
            state = self.wait(state, until);
        }
    }
}

fn lease_reply(lease: u64, known: bool) -> Result<Outcome, Response> {
    if known {
        Ok(Response::json(200, &json!({ "lease": lease })).into())
    } else {
        Err(Response::text(404, "no such lease"))
    }
}

fn invalid(text: &str) -> Response {
    Response::text(400, text)
}

fn outage() -> Response {
    Response::text(503, "the service is out of order")
}

/// Reads the query parameter `name` as a number.
fn number(request: &Request, name: &str) -> Result<Option<u64>, Response> {
    request
        .query(name)
        .map(|text| text.parse())
        .transpose()
        .map_err(|_| invalid(&format!("{name} is not a number")))
}

/// Reads the body as a value of a key.
fn body(request: &Request) -> Result<String, Response> {
    String::from_utf8(request.body().to_vec()).map_err(|_| invalid("the value is not text"))
}

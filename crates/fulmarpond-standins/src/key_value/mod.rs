//! A stand-in for the platform's key-value service.

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
use store::{Store, WriteError};

pub use calls::Calls;
pub use control::KeyValueControl;

/// Maximum size of a value.
const MAX_VALUE_BYTES: u64 = 1024 * 1024;

/// How long a stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in for the platform's key-value service.
///
/// Keeps all keys in memory and offers compare-and-swap by revision, leases and long-poll watches.
/// A watch reports a deleted key with the value `null`.
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
    /// Returns the I/O error if `listen` cannot be opened.
    pub fn start<A: ToSocketAddrs>(listen: A) -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let handler = Arc::clone(&inner);
        let options = Options::default()
            .max_connections(usize::MAX)
            .max_body_bytes(MAX_VALUE_BYTES);
        let service = Service::start(listen, options, move |request| handler.handle(request))?;
        Ok(Self { inner, service })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.service.addr()
    }

    /// Changes the injected faults; unset fields leave theirs unchanged.
    pub fn control(&self, control: KeyValueControl) {
        self.inner.apply_control(control);
    }

    /// Returns the number of calls received so far, by kind.
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Completes waiting watches, finishes requests in flight and closes all connections.
    pub fn stop(&self) {
        self.inner.lock().is_stopping = true;
        self.inner.changed.notify_all();
        self.service.stop(STOP_TIMEOUT);
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
    /// Signals a change of a key, of the faults or of `is_stopping`.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    calls: Calls,
    outage: bool,
    delay: Duration,
    lose_replies: u64,
    is_stopping: bool,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change, at most until `deadline`.
    fn wait_until<'a>(
        &self,
        state: MutexGuard<'a, State>,
        deadline: Instant,
    ) -> MutexGuard<'a, State> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match self.changed.wait_timeout(state, remaining) {
            Ok((state, _)) => state,
            Err(error) => error.into_inner().0,
        }
    }

    fn apply_control(&self, control: KeyValueControl) {
        let mut state = self.lock();
        if let Some(outage) = control.outage {
            state.outage = outage;
        }
        if let Some(slow_ms) = control.slow_ms {
            state.delay = Duration::from_millis(slow_ms);
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
                        self.apply_control(control);
                        Response::json(200, &json!({})).into()
                    }
                    Err(response) => response.into(),
                };
            }
            _ => {}
        }
        match Call::parse(request.method(), &path) {
            Some(call) => match self.handle_call(&call, request) {
                Ok(outcome) => outcome,
                Err(response) => response.into(),
            },
            None => Response::text(404, "no such resource").into(),
        }
    }

    fn handle_call(&self, call: &Call<'_>, request: &Request) -> Result<Outcome, Response> {
        let mut state = self.lock();
        state.calls.count(call);
        // The delay precedes the effect, so that a write can take effect after its client has timed
        // out.
        let start = Instant::now();
        while !state.is_stopping && start.elapsed() < state.delay {
            let deadline = start + state.delay;
            state = self.wait_until(state, deadline);
        }
        if state.outage {
            return Err(outage_response());
        }
        drop(state);

        let if_revision = query_number(request, "if_revision")?;
        let prefix = request.query("prefix").unwrap_or_default();
        match *call {
            Call::Get(key) => match self.with_store(|store| store.get(key))? {
                Some(item) => Ok(Response::json(200, &item).into()),
                None => Err(Response::text(404, "no such key")),
            },
            Call::List => {
                let items = self.with_store(|store| store.list(&prefix))?;
                Ok(Response::json(200, &items).into())
            }
            Call::Put(key) => {
                let lease = query_number(request, "lease")?;
                let value = value_from_body(request)?;
                self.write(|store| store.put(key, value, if_revision, lease))
            }
            Call::Delete(key) => self.write(|store| store.delete(key, if_revision)),
            Call::Watch => {
                let after = query_number(request, "after")?.unwrap_or(0);
                let wait = Duration::from_millis(query_number(request, "wait_ms")?.unwrap_or(0));
                self.watch(&prefix, after, wait).map(Outcome::from)
            }
            Call::Grant => {
                let ttl_ms = query_number(request, "ttl_ms")?
                    .filter(|ttl_ms| *ttl_ms > 0)
                    .ok_or_else(|| bad_request("ttl_ms must be present and greater than 0"))?;
                let ttl = Duration::from_millis(ttl_ms);
                let lease = self.with_store(|store| store.grant(ttl, Instant::now()))?;
                Ok(Response::json(200, &json!({ "lease": lease })).into())
            }
            Call::Renew(lease) => {
                let exists = self.with_store(|store| store.renew(lease, Instant::now()))?;
                lease_reply(lease, exists)
            }
            Call::Revoke(lease) => {
                let exists = self.with_store(|store| store.revoke(lease))?;
                self.changed.notify_all();
                lease_reply(lease, exists)
            }
        }
    }

    /// Runs `action` on the store after removing expired leases.
    fn with_store<T>(&self, action: impl FnOnce(&mut Store) -> T) -> Result<T, Response> {
        let mut state = self.lock();
        if state.outage {
            return Err(outage_response());
        }
        if state.store.expire(Instant::now()) {
            self.changed.notify_all();
        }
        Ok(action(&mut state.store))
    }

    fn write(
        &self,
        action: impl FnOnce(&mut Store) -> Result<u64, WriteError>,
    ) -> Result<Outcome, Response> {
        let revision = match self.with_store(action)? {
            Ok(revision) => revision,
            Err(WriteError::Conflict { revision }) => {
                return Err(Response::json(409, &json!({ "revision": revision })));
            }
            Err(WriteError::NoLease) => return Err(Response::text(404, "no such lease")),
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
        let poll_end = Instant::now() + wait.min(Duration::from_secs(24 * 3600));
        let mut state = self.lock();
        loop {
            if state.outage {
                return Err(outage_response());
            }
            let now = Instant::now();
            if state.store.expire(now) {
                self.changed.notify_all();
            }
            let changes = state.store.changes(prefix, after);
            if !changes.items.is_empty() || now >= poll_end || state.is_stopping {
                return Ok(Response::json(200, &changes));
            }
            let deadline = state
                .store
                .next_expiry()
                .map_or(poll_end, |expiry| expiry.min(poll_end));
            state = self.wait_until(state, deadline);
        }
    }
}

fn lease_reply(lease: u64, exists: bool) -> Result<Outcome, Response> {
    if exists {
        Ok(Response::json(200, &json!({ "lease": lease })).into())
    } else {
        Err(Response::text(404, "no such lease"))
    }
}

fn bad_request(text: &str) -> Response {
    Response::text(400, text)
}

fn outage_response() -> Response {
    Response::text(
        503,
        "key-value service is unavailable: the outage fault is switched on",
    )
}

/// Parses the query parameter `name` as a number.
fn query_number(request: &Request, name: &str) -> Result<Option<u64>, Response> {
    request
        .query(name)
        .map(|text| text.parse())
        .transpose()
        .map_err(|_| bad_request(&format!("{name} is not a number")))
}

/// Returns the request body as the value of a key.
fn value_from_body(request: &Request) -> Result<String, Response> {
    String::from_utf8(request.body().to_vec()).map_err(|_| bad_request("value is not valid UTF-8"))
}

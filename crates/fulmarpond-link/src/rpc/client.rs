//! The client side of links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fulmarpond_core::link::{Envelope, LinkError, Response};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::codec;
use super::completion::Completion;
use super::connection::Connection;
use super::wire::WireWatch;
use super::{ClientOptions, LinkStats};

/// The longest timeout of a call; the clock cannot represent arbitrary instants.
const MAX_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3600);

/// Calls other processes. Clones share their connections.
#[derive(Debug, Clone)]
pub struct LinkClient {
    runtime: Handle,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: ClientOptions,
    stats: Arc<LinkStats>,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

/// The connection to one address.
#[derive(Debug)]
enum Link {
    Opening(watch::Receiver<Opened>),
    Open(Open),
}

/// The state of an attempt to open a connection.
#[derive(Debug, Clone)]
enum Opened {
    Pending,
    Failed,
    Open(Arc<Connection>),
}

#[derive(Debug)]
struct Open {
    connection: Arc<Connection>,
    last_used: Instant,
}

impl LinkClient {
    /// Creates a client without connections.
    pub(super) fn new(runtime: Handle, options: ClientOptions, stats: Arc<LinkStats>) -> Self {
        Self {
            runtime,
            shared: Arc::new(Shared {
                options,
                stats,
                links: Mutex::default(),
            }),
        }
    }

    /// Sends a request to `addr` and passes the outcome to `done`, exactly once.
    ///
    /// Returns at once. `done` runs on a thread of the runtime and must not block. All calls to an
    /// address share one connection. The request is written at most once.
    ///
    /// # Errors
    ///
    /// `done` receives
    /// - [`LinkError::NotSent`] if no connection could be opened within `timeout`, or with the
    ///   secret;
    /// - [`LinkError::Rejected`] if the other side could not decode the request or is stopping, or
    ///   if the request exceeds `max_body`; it had no effect;
    /// - [`LinkError::Lost`] in every other case, including a `timeout` after the request was
    ///   handed to a connection.
    pub fn call<F>(&self, addr: SocketAddr, envelope: Envelope, timeout: Duration, done: F)
    where
        F: FnOnce(Result<Response, LinkError>) + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let mut completion = Completion::new(done, Arc::clone(&shared.stats));
        let deadline = Instant::now() + timeout.min(MAX_TIMEOUT);
        self.runtime.spawn(async move {
            let result = shared
                .call(addr, &envelope, deadline, &mut completion)
                .await;
            completion.finish(result);
        });
    }
}

impl Shared {
    async fn call<F>(
        self: &Arc<Self>,
        addr: SocketAddr,
        envelope: &Envelope,
        deadline: Instant,
        completion: &mut Completion<F>,
    ) -> Result<Response, LinkError>
    where
        F: FnOnce(Result<Response, LinkError>),
    {
        let params = codec::encode(envelope).map_err(|_| LinkError::Rejected)?;
        if params.len() > self.options.max_body as usize {
            return Err(LinkError::Rejected);
        }
        let connection = timeout_at(deadline, self.connection(addr))
            .await
            .ok()
            .flatten()
            .ok_or(LinkError::NotSent)?;
        completion.mark_sent();
        timeout_at(deadline, connection.call(envelope.request.method(), params))
            .await
            .unwrap_or(Err(LinkError::Lost))
    }

    /// Returns an open connection to `addr`. Concurrent calls wait for the same attempt.
    async fn connection(self: &Arc<Self>, addr: SocketAddr) -> Option<Arc<Connection>> {
        let mut opening = {
            let mut links = self.lock();
            match links.get_mut(&addr) {
                Some(Link::Open(open)) if open.connection.is_open() => {
                    open.last_used = Instant::now();
                    return Some(Arc::clone(&open.connection));
                }
                Some(Link::Opening(opening)) => opening.clone(),
                Some(Link::Open(_)) | None => {
                    let (sender, receiver) = watch::channel(Opened::Pending);
                    links.insert(addr, Link::Opening(receiver.clone()));
                    tokio::spawn(Arc::clone(self).open(addr, sender));
                    receiver
                }
            }
        };
        let opened = opening
            .wait_for(|opened| !matches!(opened, Opened::Pending))
            .await;
        match opened.as_deref() {
            Ok(Opened::Open(connection)) => Some(Arc::clone(connection)),
            _ => None,
        }
    }

    /// Opens a connection, then watches it until it is closed.
    async fn open(self: Arc<Self>, addr: SocketAddr, opened: watch::Sender<Opened>) {
        let Some((connection, wire)) = Connection::open(addr, &self.options, &self.stats).await
        else {
            self.lock().remove(&addr);
            opened.send_replace(Opened::Failed);
            return;
        };
        let connection = Arc::new(connection);
        let open = Open {
            connection: Arc::clone(&connection),
            last_used: Instant::now(),
        };
        self.lock().insert(addr, Link::Open(open));
        opened.send_replace(Opened::Open(Arc::clone(&connection)));
        drop(opened);
        self.watch(addr, &connection, &wire).await;
    }

    /// Removes a connection that is closed, silent or without calls.
    async fn watch(&self, addr: SocketAddr, connection: &Arc<Connection>, wire: &WireWatch) {
        let options = &self.options;
        tokio::select! {
            () = connection.closed() => self.remove(addr, connection),
            () = wire.silent(options.inactive_limit, options.ping_interval) => {
                tracing::warn!(%addr, "connection is silent");
                self.remove(addr, connection);
                // Ends the calls in progress, even while a write to the peer is stuck.
                wire.cut();
            }
            () = self.idle(addr, connection) => {}
        }
    }

    /// Waits until the connection had no calls for the idle limit, then removes it.
    async fn idle(&self, addr: SocketAddr, connection: &Arc<Connection>) {
        loop {
            let deadline = {
                let mut links = self.lock();
                let Some(Link::Open(open)) = links.get(&addr) else {
                    return;
                };
                if !Arc::ptr_eq(&open.connection, connection) {
                    return;
                }
                let now = Instant::now();
                // The map, this task and each call in progress hold a reference.
                let busy = Arc::strong_count(connection) > 2;
                let deadline = open.last_used + self.options.idle_limit;
                if !busy && deadline <= now {
                    links.remove(&addr);
                    return;
                }
                if busy {
                    now + self.options.idle_limit
                } else {
                    deadline
                }
            };
            sleep_until(deadline).await;
        }
    }

    fn remove(&self, addr: SocketAddr, connection: &Arc<Connection>) {
        let mut links = self.lock();
        if let Some(Link::Open(open)) = links.get(&addr)
            && Arc::ptr_eq(&open.connection, connection)
        {
            links.remove(&addr);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

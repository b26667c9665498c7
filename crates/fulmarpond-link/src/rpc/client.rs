//! The link client: shared connections and calls with a deadline.

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
use super::tcp_stream::StreamMonitor;
use super::{ClientOptions, LinkStats};

/// The upper bound of call timeouts. Adding an arbitrary duration to an `Instant` can overflow.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3600);

/// Sends requests to other processes. Clones share their connections.
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

/// The connection to one address, either being opened or open.
#[derive(Debug)]
enum Link {
    Opening(watch::Receiver<Opened>),
    Open(OpenConnection),
}

/// The state of an attempt to open a connection, shared by all calls that wait for it.
#[derive(Debug, Clone)]
enum Opened {
    Pending,
    Failed,
    Open(Arc<Connection>),
}

#[derive(Debug)]
struct OpenConnection {
    connection: Arc<Connection>,
    last_used: Instant,
}

impl LinkClient {
    /// Creates a client. No connection is opened before the first call.
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

    /// Sends a request to `addr` and calls `on_complete` exactly once with the outcome.
    ///
    /// Returns immediately. `on_complete` runs on a thread of the runtime and must not block. All
    /// calls to an address share one connection. The request is sent at most once.
    ///
    /// # Errors
    ///
    /// `on_complete` receives
    /// - [`LinkError::NotSent`] if no connection could be opened within `timeout`, or if the server
    ///   refused the secret;
    /// - [`LinkError::Rejected`] if the server could not decode the request or is stopping, or if
    ///   the request exceeds `max_body_bytes`; the request had no effect;
    /// - [`LinkError::Lost`] in every other case, including a `timeout` that expires after the
    ///   request was passed to a connection; the request may have taken effect.
    pub fn call<F>(&self, addr: SocketAddr, envelope: Envelope, timeout: Duration, on_complete: F)
    where
        F: FnOnce(Result<Response, LinkError>) + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let mut completion = Completion::new(on_complete, Arc::clone(&shared.stats));
        let deadline = Instant::now() + timeout.min(MAX_CALL_TIMEOUT);
        self.runtime.spawn(async move {
            let result = shared
                .call(addr, &envelope, deadline, &mut completion)
                .await;
            completion.complete(result);
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
        if params.len() > self.options.max_body_bytes as usize {
            return Err(LinkError::Rejected);
        }
        let connection = timeout_at(deadline, self.connection(addr))
            .await
            .ok()
            .flatten()
            .ok_or(LinkError::NotSent)?;
        completion.mark_sent();
        timeout_at(
            deadline,
            connection.call(envelope.request.method(), &params),
        )
        .await
        .unwrap_or(Err(LinkError::Lost))
    }

    /// Returns the open connection to `addr`, or opens one. Concurrent calls share one attempt to
    /// connect.
    async fn connection(self: &Arc<Self>, addr: SocketAddr) -> Option<Arc<Connection>> {
        let mut opening = {
            let mut links = self.lock_links();
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

    /// Opens a connection, then monitors it until it is closed.
    async fn open(self: Arc<Self>, addr: SocketAddr, opened: watch::Sender<Opened>) {
        let Some((connection, monitor)) = Connection::open(addr, &self.options, &self.stats).await
        else {
            self.lock_links().remove(&addr);
            opened.send_replace(Opened::Failed);
            return;
        };
        let connection = Arc::new(connection);
        let open = OpenConnection {
            connection: Arc::clone(&connection),
            last_used: Instant::now(),
        };
        self.lock_links().insert(addr, Link::Open(open));
        opened.send_replace(Opened::Open(Arc::clone(&connection)));
        drop(opened);
        self.monitor(addr, &connection, &monitor).await;
    }

    /// Removes the connection once it is closed, inactive or idle. It is inactive if no bytes were
    /// received for `inactive_limit`, and idle if it had no calls for `idle_timeout`.
    async fn monitor(
        &self,
        addr: SocketAddr,
        connection: &Arc<Connection>,
        stream: &StreamMonitor,
    ) {
        let options = &self.options;
        tokio::select! {
            () = connection.closed() => self.remove(addr, connection),
            () = stream.wait_inactive(options.inactive_limit, options.ping_interval) => {
                tracing::warn!(%addr, "connection is silent");
                self.remove(addr, connection);
                // Ends the calls in flight, even if a write to the peer is blocked.
                stream.shutdown();
            }
            () = self.remove_when_idle(addr, connection) => {}
        }
    }

    /// Waits until the connection had no calls for `idle_timeout`, then removes it.
    async fn remove_when_idle(&self, addr: SocketAddr, connection: &Arc<Connection>) {
        loop {
            let deadline = {
                let mut links = self.lock_links();
                let Some(Link::Open(open)) = links.get(&addr) else {
                    return;
                };
                if !Arc::ptr_eq(&open.connection, connection) {
                    return;
                }
                let now = Instant::now();
                // The map and this task hold one reference each; every further one is a call in
                // flight.
                let is_busy = Arc::strong_count(connection) > 2;
                let deadline = open.last_used + self.options.idle_timeout;
                if !is_busy && deadline <= now {
                    links.remove(&addr);
                    return;
                }
                if is_busy {
                    now + self.options.idle_timeout
                } else {
                    deadline
                }
            };
            sleep_until(deadline).await;
        }
    }

    fn remove(&self, addr: SocketAddr, connection: &Arc<Connection>) {
        let mut links = self.lock_links();
        if let Some(Link::Open(open)) = links.get(&addr)
            && Arc::ptr_eq(&open.connection, connection)
        {
            links.remove(&addr);
        }
    }

    fn lock_links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

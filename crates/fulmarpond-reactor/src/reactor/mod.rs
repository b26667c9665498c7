//! The event loop.

mod client;
mod links;
mod pressure;
mod server;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Poll, Token};
use slab::Slab;
use tracing::warn;

pub use pressure::ClosedCounts;

use crate::call::CallError;
use crate::channel::READ_CHUNK_BYTES;
use crate::event::{Event, LinkId, ListenerId, RequestId};
use crate::link::LinkConn;
use crate::pool::{ClientConn, Pool};
use crate::server::ServerConn;

/// The maximum time between two sweeps for expired connections and calls.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The pause after which connections are accepted again after a failure, for example without free
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The maximum number of connections that are ready in one poll. If there are more, the next poll
/// returns the others.
const READY_EVENTS: usize = 2_048;

/// Limits on client connections and their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of a reply to a call, in bytes.
    pub reply_bytes: usize,
    /// How long the next part of a reply may take to arrive.
    pub reply_pause: Duration,
    /// The time within which a connection must deliver a complete request: the first one from its
    /// start, any other from the first byte of the request.
    pub header_timeout: Duration,
    /// The time after a response within which the next request must begin.
    pub idle_timeout: Duration,
    /// The maximum number of client connections. Above it those that have waited for the longest are
    /// closed.
    pub connections: usize,
    /// The maximum number of links that peers have opened. Above it those that have sent nothing are
    /// closed.
    pub links: usize,
    /// The maximum number of bytes that clients hold together, in requests that are not handled and in
    /// responses that are not sent. One request of the largest size is always let in.
    pub client_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            reply_bytes: 16 * 1024 * 1024,
            reply_pause: Duration::from_millis(500),
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            connections: 3_000,
            links: 1_000,
            client_bytes: 30 * 1024 * 1024,
        }
    }
}

#[derive(Debug)]
enum Conn {
    HttpListener(TcpListener, ListenerId),
    LinkListener(TcpListener),
    Server(ServerConn),
    Client(ClientConn),
    Link(LinkConn),
}

/// A single-threaded event loop that serves HTTP requests, makes HTTP calls and exchanges frames.
#[derive(Debug)]
pub struct Reactor {
    poll: Poll,
    ready_events: Events,
    conns: Slab<Conn>,
    pools: Vec<Pool>,
    pool_index: HashMap<(SocketAddr, u8), usize>,
    requests: HashMap<RequestId, usize>,
    links: HashMap<LinkId, usize>,
    /// The keys of connections with output that may not have been written to the socket.
    unflushed: Vec<usize>,
    /// The keys of listeners at which accepting has failed. Connections may wait there without a
    /// further event.
    failed_listeners: Vec<usize>,
    events: Vec<Event>,
    next_id: u64,
    next_sweep: Instant,
    /// The number of open connections that clients opened.
    client_connections: usize,
    /// The number of open links that peers opened.
    accepted_links: usize,
    /// The bytes that clients hold together.
    held_bytes: usize,
    /// The size of the requests that were reported since the last poll began.
    event_bytes: usize,
    /// Ready connections that wait until the requests before them are handled.
    deferred: Vec<(usize, bool, bool)>,
    /// Room for one read.
    chunk: Box<[u8]>,
    closed: ClosedCounts,
    logged_closed: ClosedCounts,
    limits: Limits,
    is_draining: bool,
    /// The caller's clock before the current poll.
    stamp: u64,
    /// The caller's clock before the last poll after which no input was left unread.
    quiet_stamp: u64,
}

impl Reactor {
    /// Creates a reactor.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't create an event queue.
    pub fn new(limits: Limits) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            ready_events: Events::with_capacity(READY_EVENTS),
            conns: Slab::new(),
            pools: Vec::new(),
            pool_index: HashMap::new(),
            requests: HashMap::new(),
            links: HashMap::new(),
            unflushed: Vec::new(),
            failed_listeners: Vec::new(),
            events: Vec::new(),
            next_id: 1,
            next_sweep: Instant::now(),
            client_connections: 0,
            accepted_links: 0,
            held_bytes: 0,
            event_bytes: 0,
            deferred: Vec::new(),
            chunk: vec![0; READ_CHUNK_BYTES].into_boxed_slice(),
            closed: ClosedCounts::default(),
            logged_closed: ClosedCounts::default(),
            limits,
            is_draining: false,
            stamp: 0,
            quiet_stamp: 0,
        })
    }

    /// Closes each client connection after its next response.
    pub const fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns the limits on client connections and their requests.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Replaces the limits on client connections and their requests.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the time at which the next [`poll`](Self::poll) begins, by a clock of the owner's choice.
    /// Requests are reported with the time before which their clients can't have left, since they may
    /// have waited in a socket.
    pub const fn set_stamp(&mut self, stamp: u64) {
        if self.quiet_stamp == 0 {
            self.quiet_stamp = stamp;
        }
        self.stamp = stamp;
    }

    /// Waits for I/O until `until` at the latest, and appends the resulting events to `out`.
    ///
    /// It may return earlier without events.
    ///
    /// # Errors
    ///
    /// Fails if the event queue of the operating system fails.
    pub fn poll(&mut self, until: Instant, out: &mut Vec<Event>) -> io::Result<()> {
        self.event_bytes = 0;
        self.flush_output();
        for (key, readable, writable) in std::mem::take(&mut self.deferred) {
            self.on_ready(key, readable, writable);
        }
        let mut timeout = Duration::ZERO;
        if self.events.is_empty() && self.deferred.is_empty() {
            let wake = if self.conns.is_empty() {
                until
            } else {
                until.min(self.next_sweep)
            };
            timeout = wake.saturating_duration_since(Instant::now());
        }
        let mut ready = std::mem::replace(&mut self.ready_events, Events::with_capacity(0));
        let result = self.poll.poll(&mut ready, Some(timeout));
        match result {
            Ok(()) => {
                for event in &ready {
                    self.on_ready(event.token().0, event.is_readable(), event.is_writable());
                }
                let is_quiet = self.failed_listeners.is_empty() && self.deferred.is_empty();
                if is_quiet && ready.iter().count() < READY_EVENTS {
                    self.quiet_stamp = self.stamp;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => {
                self.ready_events = ready;
                return Err(error);
            }
        }
        self.ready_events = ready;
        self.close_expired();
        out.append(&mut self.events);
        Ok(())
    }

    /// Writes queued output to the sockets without blocking.
    pub fn flush_output(&mut self) {
        let mut keys = std::mem::take(&mut self.unflushed);
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            self.flush(key);
        }
    }

    const fn allocate_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn insert(&mut self, conn: Conn) -> io::Result<usize> {
        let key = self.conns.insert(conn);
        let registry = self.poll.registry();
        let result = match &mut self.conns[key] {
            Conn::Server(conn) => conn.channel.register(registry, Token(key)),
            Conn::Client(conn) => conn.channel.register(registry, Token(key)),
            Conn::Link(conn) => conn.channel.register(registry, Token(key)),
            Conn::HttpListener(..) | Conn::LinkListener(_) => Ok(()),
        };
        match result {
            Ok(()) => Ok(key),
            Err(error) => {
                self.conns.remove(key);
                Err(error)
            }
        }
    }

    fn remove(&mut self, key: usize) {
        let Some(mut conn) = self.conns.try_remove(key) else {
            return;
        };
        let registry = self.poll.registry();
        match &mut conn {
            Conn::Server(conn) => {
                conn.channel.deregister(registry);
                self.client_connections -= 1;
                self.held_bytes -= conn.held;
                if let Some(id) = conn.pending_request {
                    self.requests.remove(&id);
                }
            }
            Conn::Client(conn) => conn.channel.deregister(registry),
            Conn::Link(conn) => {
                conn.channel.deregister(registry);
                self.accepted_links -= usize::from(conn.is_accepted);
                self.held_bytes -= conn.held;
            }
            Conn::HttpListener(listener, _) | Conn::LinkListener(listener) => {
                // Errors can be ignored: closing the descriptor next deregisters it as well.
                let _ = registry.deregister(listener);
            }
        }
    }

    fn on_ready(&mut self, key: usize, readable: bool, writable: bool) {
        if self.has_enough_events() && matches!(self.conns.get(key), Some(Conn::Server(_))) {
            self.deferred.push((key, readable, writable));
            return;
        }
        match self.conns.get(key) {
            Some(Conn::HttpListener(..) | Conn::LinkListener(_)) => self.accept(key),
            Some(Conn::Server(_)) => self.on_server_ready(key, readable, writable),
            Some(Conn::Client(_)) => self.on_client_ready(key, readable, writable),
            Some(Conn::Link(_)) => self.on_link_ready(key, readable, writable),
            None => {}
        }
    }

    fn accept(&mut self, key: usize) {
        loop {
            let accepted = match self.conns.get(key) {
                Some(Conn::HttpListener(listener, id)) => (listener.accept(), Some(*id)),
                Some(Conn::LinkListener(listener)) => (listener.accept(), None),
                _ => return,
            };
            match accepted {
                (Ok((stream, _)), Some(listener)) => self.accept_http(stream, listener),
                (Ok((stream, peer)), None) => self.accept_link(stream, peer),
                (Err(error), _) if error.kind() == io::ErrorKind::WouldBlock => return,
                (Err(error), _) if is_transient(&error) => {}
                (Err(error), _) => {
                    warn!(%error, "cannot accept a connection, trying again later");
                    self.failed_listeners.push(key);
                    self.next_sweep = self.next_sweep.min(Instant::now() + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    /// Writes the output of a connection, then closes the connection or parses its next request.
    fn flush(&mut self, key: usize) {
        let (result, link, is_done) = match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => {
                let result = conn.channel.flush();
                conn.channel.shrink_buffers();
                let is_done = conn.is_closing && conn.channel.pending_output_bytes() == 0;
                (result, None, is_done)
            }
            Some(Conn::Client(conn)) => (conn.channel.flush(), None, false),
            Some(Conn::Link(conn)) => {
                let result = conn.channel.flush();
                conn.channel.shrink_buffers();
                (result, Some(conn.id), false)
            }
            _ => return,
        };
        match (result, link) {
            (Err(_), Some(link)) => self.fail_link(link),
            (Err(_), None) => self.fail_http(key),
            (Ok(()), _) if is_done => self.remove(key),
            (Ok(()), None) => {
                self.parse_next_request(key);
                self.record_held(key);
            }
            (Ok(()), Some(_)) => {}
        }
    }

    /// Closes a failed HTTP connection, and reports the loss of its request or call.
    fn fail_http(&mut self, key: usize) {
        match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => {
                if let Some(id) = conn.pending_request.take() {
                    self.abandon(id);
                }
                self.remove(key);
            }
            Some(Conn::Client(_)) => self.fail_client(key, CallError::Lost),
            _ => {}
        }
    }

    /// Closes connections and fails calls whose deadline has passed.
    fn close_expired(&mut self) {
        let now = Instant::now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.log_closed();
        for listener in std::mem::take(&mut self.failed_listeners) {
            self.accept(listener);
        }
        let mut expired = Vec::new();
        for (key, conn) in &self.conns {
            let deadline = match conn {
                Conn::Server(conn) if conn.pending_request.is_none() => conn.deadline,
                Conn::Link(conn) if !conn.channel.is_connected() => conn.connect_deadline,
                Conn::Client(ClientConn {
                    call: Some(call), ..
                }) => call.deadline,
                _ => continue,
            };
            if now >= deadline {
                expired.push(key);
            } else if !matches!(conn, Conn::Server(_)) {
                self.next_sweep = self.next_sweep.min(deadline);
            }
        }
        for key in expired {
            match self.conns.get(key) {
                Some(Conn::Server(_)) => self.remove(key),
                Some(Conn::Client(_)) => self.fail_client(key, CallError::Timeout),
                Some(Conn::Link(conn)) => {
                    let id = conn.id;
                    self.fail_link(id);
                }
                _ => {}
            }
        }
        self.expire_waiting_calls(now);
    }
}

/// Returns whether only one connection failed to be accepted, and the next one may succeed.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}

//! The event loop.

mod calling;
mod linking;
mod serving;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Poll, Token};
use slab::Slab;

use crate::call::CallError;
use crate::event::{Event, LinkId, ListenerId, RequestId};
use crate::link::LinkConn;
use crate::pool::{ClientConn, Pool};
use crate::server::ServerConn;

/// The longest time between two looks for connections without progress.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on what clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a request to its last.
    pub header_timeout: Duration,
    /// The longest time that a connection stays open between requests.
    pub idle_timeout: Duration,
    /// The most connections of clients.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            connections: 3_000,
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

/// Serves, calls and links over one thread.
#[derive(Debug)]
pub struct Reactor {
    poll: Poll,
    ready: Events,
    conns: Slab<Conn>,
    pools: Vec<Pool>,
    pool_index: HashMap<(SocketAddr, u8), usize>,
    requests: HashMap<RequestId, usize>,
    links: HashMap<LinkId, usize>,
    /// Connections with output that is not yet handed to the system.
    dirty: Vec<usize>,
    events: Vec<Event>,
    next_id: u64,
    next_sweep: Instant,
    clients: usize,
    limits: Limits,
    draining: bool,
}

impl Reactor {
    /// Creates a reactor.
    ///
    /// # Errors
    ///
    /// Fails if the system has no event queue left.
    pub fn new(limits: Limits) -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            ready: Events::with_capacity(256),
            conns: Slab::new(),
            pools: Vec::new(),
            pool_index: HashMap::new(),
            requests: HashMap::new(),
            links: HashMap::new(),
            dirty: Vec::new(),
            events: Vec::new(),
            next_id: 1,
            next_sweep: Instant::now(),
            clients: 0,
            limits,
            draining: false,
        })
    }

    /// Closes connections of clients after their next response from now on.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Replaces the limits on what clients send.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Waits for events until `until` at the latest, and appends them to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the event queue of the system fails.
    pub fn poll(&mut self, until: Instant, out: &mut Vec<Event>) -> io::Result<()> {
        self.flush_dirty();
        let mut timeout = Duration::ZERO;
        if self.events.is_empty() {
            let wake = if self.conns.is_empty() {
                until
            } else {
                until.min(self.next_sweep)
            };
            timeout = wake.saturating_duration_since(Instant::now());
        }
        let mut ready = std::mem::replace(&mut self.ready, Events::with_capacity(0));
        let result = self.poll.poll(&mut ready, Some(timeout));
        match result {
            Ok(()) => {
                for event in &ready {
                    self.on_ready(event.token().0, event.is_readable(), event.is_writable());
                }
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => {
                self.ready = ready;
                return Err(error);
            }
        }
        self.ready = ready;
        self.sweep();
        out.append(&mut self.events);
        Ok(())
    }

    /// Hands queued output to the system without waiting.
    pub fn flush_dirty(&mut self) {
        let mut keys = std::mem::take(&mut self.dirty);
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            self.flush(key);
        }
    }

    const fn fresh_id(&mut self) -> u64 {
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
                self.clients -= 1;
                if let Some(id) = conn.open {
                    self.requests.remove(&id);
                }
            }
            Conn::Client(conn) => conn.channel.deregister(registry),
            Conn::Link(conn) => conn.channel.deregister(registry),
            Conn::HttpListener(listener, _) | Conn::LinkListener(listener) => {
                // The descriptor is closed right after, which deregisters it as well.
                let _ = registry.deregister(listener);
            }
        }
    }

    fn on_ready(&mut self, key: usize, readable: bool, writable: bool) {
        match self.conns.get(key) {
            Some(Conn::HttpListener(..) | Conn::LinkListener(_)) => self.accept(key),
            Some(Conn::Server(_)) => self.on_server(key, readable, writable),
            Some(Conn::Client(_)) => self.on_client(key, readable, writable),
            Some(Conn::Link(_)) => self.on_link(key, readable, writable),
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
                (Err(error), _) if error.kind() == io::ErrorKind::Interrupted => {}
                // Out of descriptors: the connection stays in the backlog for the next round.
                (Err(_), _) => return,
            }
        }
    }

    fn flush(&mut self, key: usize) {
        let (result, link, done) = match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => {
                let result = conn.channel.flush();
                conn.channel.shrink();
                let done = conn.closing && conn.channel.pending() == 0;
                (result, None, done)
            }
            Some(Conn::Client(conn)) => (conn.channel.flush(), None, false),
            Some(Conn::Link(conn)) => {
                let result = conn.channel.flush();
                conn.channel.shrink();
                (result, Some(conn.id), false)
            }
            _ => return,
        };
        match (result, link) {
            (Err(_), Some(link)) => self.break_link(link),
            (Err(_), None) => self.break_http(key),
            (Ok(()), _) if done => self.remove(key),
            (Ok(()), None) => self.parse_server(key),
            (Ok(()), Some(_)) => {}
        }
    }

    fn break_http(&mut self, key: usize) {
        match self.conns.get_mut(key) {
            Some(Conn::Server(conn)) => {
                if let Some(id) = conn.open.take() {
                    self.requests.remove(&id);
                    self.events.push(Event::Abandoned { id });
                }
                self.remove(key);
            }
            Some(Conn::Client(_)) => self.drop_client(key, CallError::Lost),
            _ => {}
        }
    }

    /// Ends what has waited too long.
    fn sweep(&mut self) {
        let now = Instant::now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let mut late = Vec::new();
        for (key, conn) in &self.conns {
            let deadline = match conn {
                Conn::Server(conn) if conn.open.is_none() => conn.deadline,
                Conn::Link(conn) if !conn.channel.is_connected() => conn.deadline,
                Conn::Client(ClientConn {
                    call: Some(call), ..
                }) => call.deadline,
                _ => continue,
            };
            if now >= deadline {
                late.push(key);
            } else if !matches!(conn, Conn::Server(_)) {
                self.next_sweep = self.next_sweep.min(deadline);
            }
        }
        for key in late {
            match self.conns.get(key) {
                Some(Conn::Server(_)) => self.remove(key),
                Some(Conn::Client(_)) => self.drop_client(key, CallError::Timeout),
                Some(Conn::Link(conn)) => {
                    let id = conn.id;
                    self.break_link(id);
                }
                _ => {}
            }
        }
        self.expire_waiting(now);
    }
}

//! The event loop.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use slab::Slab;

use crate::call::{Call, CallError, CallId};
use crate::channel::{Channel, ReadState};
use crate::event::{Event, LinkId, ListenerId, RequestId};
use crate::http::{self, Parsed, Response};
use crate::link::LinkConn;
use crate::pool::{ClientConn, PendingCall, Pool};
use crate::server::ServerConn;

/// How long a connect of a link may take. A host without power answers nothing, and the system
/// would try for seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest time between two looks for connections without progress.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The most bytes that wait to be sent on a link before it counts as broken.
const LINK_BACKLOG: usize = 8 * 1024 * 1024;

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

    /// Serves HTTP at an address, and returns the address with its port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen_http(&mut self, addr: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let mut listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let entry = self.conns.vacant_entry();
        let id = ListenerId(entry.key());
        let token = Token(entry.key());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert(Conn::HttpListener(listener, id));
        Ok((id, addr))
    }

    /// Accepts links at an address, and returns the address with its port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen_links(&mut self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let entry = self.conns.vacant_entry();
        let token = Token(entry.key());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        entry.insert(Conn::LinkListener(listener));
        Ok(addr)
    }

    /// Stops accepting at an HTTP listener.
    pub fn stop_listening(&mut self, listener: ListenerId) {
        if let Some(Conn::HttpListener(..)) = self.conns.get(listener.0) {
            self.remove(listener.0);
        }
    }

    /// Opens a link. [`Event::LinkUp`] or [`Event::LinkDown`] follows.
    pub fn dial(&mut self, addr: SocketAddr) -> LinkId {
        let id = LinkId(self.fresh_id());
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        self.next_sweep = self.next_sweep.min(deadline);
        let conn = Channel::connect(addr).map(|channel| {
            Conn::Link(LinkConn {
                channel,
                id,
                deadline,
            })
        });
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(key) => {
                self.links.insert(id, key);
            }
            Err(_) => self.events.push(Event::LinkDown { link: id }),
        }
        id
    }

    /// Queues a frame on a link; a link that is closed drops it.
    pub fn send(&mut self, link: LinkId, bytes: &[u8]) {
        let Some(&key) = self.links.get(&link) else {
            return;
        };
        if let Some(Conn::Link(conn)) = self.conns.get_mut(key) {
            conn.push(bytes);
            let full = conn.channel.pending() > LINK_BACKLOG;
            self.dirty.push(key);
            if full {
                self.close_link(link);
                self.events.push(Event::LinkDown { link });
            }
        }
    }

    /// Closes a link without a further event.
    pub fn close_link(&mut self, link: LinkId) {
        if let Some(key) = self.links.remove(&link) {
            self.remove(key);
        }
    }

    /// Answers a request; returns whether its connection was still open.
    pub fn respond(&mut self, id: RequestId, response: &Response) -> bool {
        let Some(key) = self.requests.remove(&id) else {
            return false;
        };
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return false;
        };
        conn.keep_alive &= !self.draining;
        response.write_to(conn.channel.output(), conn.keep_alive);
        conn.open = None;
        conn.closing |= !conn.keep_alive;
        conn.deadline = Instant::now() + self.limits.idle_timeout;
        self.dirty.push(key);
        true
    }

    /// Sends a call; [`Event::Replied`] follows.
    ///
    /// `lane` separates calls to one address that must not wait for each other; `limit` is the
    /// most connections that a lane opens.
    pub fn call(&mut self, addr: SocketAddr, lane: u8, limit: usize, call: &Call) -> CallId {
        let id = CallId(self.fresh_id());
        let pool = self.pool(addr, lane, limit);
        self.next_sweep = self.next_sweep.min(call.deadline);
        let pending = PendingCall {
            id,
            bytes: encode_call(addr, call),
            deadline: call.deadline,
        };
        if let Some(key) = self.pools[pool].idle.pop() {
            self.start_call(key, pending);
        } else {
            self.pools[pool].waiting.push_back(pending);
            self.fill_pool(pool);
        }
        id
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

    fn accept_http(&mut self, stream: mio::net::TcpStream, listener: ListenerId) {
        if self.clients >= self.limits.connections {
            return;
        }
        let conn = Conn::Server(ServerConn {
            channel: Channel::accepted(stream),
            listener,
            open: None,
            keep_alive: true,
            deadline: Instant::now() + self.limits.header_timeout,
            closing: false,
        });
        if self.insert(conn).is_ok() {
            self.clients += 1;
        }
    }

    fn accept_link(&mut self, stream: mio::net::TcpStream, peer: SocketAddr) {
        let id = LinkId(self.fresh_id());
        let conn = Conn::Link(LinkConn {
            channel: Channel::accepted(stream),
            id,
            deadline: Instant::now(),
        });
        if let Ok(key) = self.insert(conn) {
            self.links.insert(id, key);
            self.events.push(Event::LinkUp {
                link: id,
                peer,
                accepted: true,
            });
        }
    }

    fn on_server(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if readable && conn.channel.read() == ReadState::Closed {
            let open = conn.open.take();
            if let Some(id) = open {
                self.requests.remove(&id);
                self.events.push(Event::Abandoned { id });
            }
            self.remove(key);
            return;
        }
        if writable {
            self.flush(key);
        }
        self.parse_server(key);
    }

    fn parse_server(&mut self, key: usize) {
        let Some(Conn::Server(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if conn.open.is_some() || conn.closing || conn.channel.input.is_empty() {
            return;
        }
        let limits = &self.limits;
        let parsed =
            http::parse_request(&conn.channel.input, limits.header_bytes, limits.body_bytes);
        match parsed {
            Ok(Some((request, len))) => {
                conn.channel.input.drain(..len);
                conn.keep_alive = request.keep_alive;
                let id = RequestId(self.next_id);
                self.next_id += 1;
                conn.open = Some(id);
                let listener = conn.listener;
                self.requests.insert(id, key);
                self.events.push(Event::Request {
                    listener,
                    id,
                    request,
                });
            }
            Ok(None) => {}
            Err(error) => {
                conn.closing = true;
                Response::empty(error.status()).write_to(conn.channel.output(), false);
                self.dirty.push(key);
            }
        }
    }

    fn on_client(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !conn.channel.is_connected() {
            match conn.channel.finish_connect() {
                Ok(true) => self.send_call(key),
                Ok(false) => return,
                Err(_) => {
                    self.refuse_pool(key);
                    return;
                }
            }
        } else if writable {
            self.flush(key);
        }
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !readable {
            return;
        }
        let closed = conn.channel.read() == ReadState::Closed;
        if conn.call.is_none() {
            if closed || !conn.channel.input.is_empty() {
                self.drop_client(key, CallError::Lost);
            }
            return;
        }
        match http::parse_reply(&conn.channel.input, closed) {
            Parsed::Complete {
                reply,
                len,
                keep_alive,
            } => {
                conn.channel.input.drain(..len);
                conn.channel.shrink();
                if let Some(call) = conn.call.take() {
                    self.events.push(Event::Replied {
                        call: call.id,
                        outcome: Ok(reply),
                    });
                }
                if closed || !keep_alive {
                    self.drop_client(key, CallError::Lost);
                } else {
                    self.reuse(key);
                }
            }
            Parsed::Partial if closed => self.drop_client(key, CallError::Lost),
            Parsed::Partial => {}
            Parsed::Malformed => self.drop_client(key, CallError::Malformed),
        }
    }

    fn on_link(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(Conn::Link(conn)) = self.conns.get_mut(key) else {
            return;
        };
        let id = conn.id;
        if !conn.channel.is_connected() {
            match conn.channel.finish_connect() {
                Ok(true) => {
                    if let Ok(peer) = conn.channel.peer_addr() {
                        self.events.push(Event::LinkUp {
                            link: id,
                            peer,
                            accepted: false,
                        });
                    }
                }
                Ok(false) => return,
                Err(_) => return self.break_link(id),
            }
        }
        if writable {
            self.flush(key);
        }
        let Some(Conn::Link(conn)) = self.conns.get_mut(key) else {
            return;
        };
        if !readable {
            return;
        }
        let closed = conn.channel.read() == ReadState::Closed;
        let frames = conn.take_frames();
        conn.channel.shrink();
        let broken = closed || frames.is_none();
        for bytes in frames.unwrap_or_default() {
            self.events.push(Event::Frame { link: id, bytes });
        }
        if broken {
            self.break_link(id);
        }
    }

    fn break_link(&mut self, link: LinkId) {
        self.close_link(link);
        self.events.push(Event::LinkDown { link });
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

    fn pool(&mut self, addr: SocketAddr, lane: u8, limit: usize) -> usize {
        if let Some(&pool) = self.pool_index.get(&(addr, lane)) {
            return pool;
        }
        self.pools.push(Pool {
            addr,
            limit,
            open: 0,
            idle: Vec::new(),
            waiting: VecDeque::new(),
        });
        let pool = self.pools.len() - 1;
        self.pool_index.insert((addr, lane), pool);
        pool
    }

    fn fill_pool(&mut self, pool: usize) {
        while self.pools[pool].open < self.pools[pool].limit {
            let Some(call) = self.pools[pool].waiting.pop_front() else {
                return;
            };
            self.open_client(pool, call);
        }
    }

    fn open_client(&mut self, pool: usize, call: PendingCall) {
        let id = call.id;
        let conn = Channel::connect(self.pools[pool].addr).map(|channel| {
            Conn::Client(ClientConn {
                channel,
                pool,
                call: Some(call),
                sent: false,
            })
        });
        match conn.and_then(|conn| self.insert(conn)) {
            Ok(_) => self.pools[pool].open += 1,
            Err(_) => self.events.push(Event::Replied {
                call: id,
                outcome: Err(CallError::Refused),
            }),
        }
    }

    fn start_call(&mut self, key: usize, call: PendingCall) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key) {
            conn.call = Some(call);
            conn.sent = false;
            self.send_call(key);
        }
    }

    fn send_call(&mut self, key: usize) {
        if let Some(Conn::Client(conn)) = self.conns.get_mut(key)
            && let Some(call) = &mut conn.call
        {
            let bytes = std::mem::take(&mut call.bytes);
            conn.channel.push(&bytes);
            conn.sent = true;
            self.dirty.push(key);
        }
    }

    fn reuse(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        match self.pools[pool].waiting.pop_front() {
            Some(call) => self.start_call(key, call),
            None => self.pools[pool].idle.push(key),
        }
    }

    /// Closes a client connection, and ends its call with `error`.
    fn drop_client(&mut self, key: usize, error: CallError) {
        let Some(Conn::Client(conn)) = self.conns.get_mut(key) else {
            return;
        };
        let pool = conn.pool;
        let error = if conn.sent || error == CallError::Refused {
            error
        } else {
            CallError::NotConnected
        };
        if let Some(call) = conn.call.take() {
            self.events.push(Event::Replied {
                call: call.id,
                outcome: Err(error),
            });
        }
        self.pools[pool].open -= 1;
        self.pools[pool].idle.retain(|&idle| idle != key);
        self.remove(key);
        self.fill_pool(pool);
    }

    /// Ends the call of a refused connect, and all calls that wait for the same address.
    fn refuse_pool(&mut self, key: usize) {
        let Some(Conn::Client(conn)) = self.conns.get(key) else {
            return;
        };
        let pool = conn.pool;
        for call in std::mem::take(&mut self.pools[pool].waiting) {
            self.events.push(Event::Replied {
                call: call.id,
                outcome: Err(CallError::Refused),
            });
        }
        self.drop_client(key, CallError::Refused);
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

    fn expire_waiting(&mut self, now: Instant) {
        for pool in &mut self.pools {
            let (late, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut pool.waiting)
                .into_iter()
                .partition(|call| now >= call.deadline);
            pool.waiting = waiting;
            for call in late {
                self.events.push(Event::Replied {
                    call: call.id,
                    outcome: Err(CallError::NotConnected),
                });
            }
            for call in &pool.waiting {
                self.next_sweep = self.next_sweep.min(call.deadline);
            }
        }
    }
}

fn encode_call(addr: SocketAddr, call: &Call) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + call.body.len());
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "{} {} HTTP/1.1\r\nhost: {addr}\r\n",
        call.method.as_str(),
        call.path
    );
    for (name, value) in &call.headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if !call.body.is_empty() {
        let _ = write!(
            out,
            "content-type: application/json\r\ncontent-length: {}\r\n",
            call.body.len()
        );
    } else if call.method == http::Method::Post {
        out.extend_from_slice(b"content-length: 0\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&call.body);
    out
}

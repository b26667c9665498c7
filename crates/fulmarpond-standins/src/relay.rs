//! A TCP relay that injects connection faults.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::ToSocketAddrs;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept; also the time limit of a connection that wakes the accepting
/// thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Buffer size for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Identifies a connection that a relay forwards. Identifiers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(u64);

/// A direction in which a relay forwards data, and the side at which it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Forwards TCP connections to a target and injects faults on request.
///
/// # Examples
///
/// ```
/// use fulmarpond_standins::{KeyValue, Relay};
///
/// let store = KeyValue::start("127.0.0.1:0")?;
/// let relay = Relay::start(store.addr())?;
/// relay.silence(); // Open connections stay open but carry no data; new connections work.
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Mutex<Option<Acceptor>>,
}

impl Relay {
    /// Starts a relay to `target` on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be opened.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::bind("127.0.0.1:0", target)
    }

    /// Starts a relay to `target` that listens on `listen`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if `listen` cannot be opened.
    pub fn bind<A: ToSocketAddrs>(listen: A, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let acceptor = Acceptor::start(listener, Arc::clone(&shared));
        Ok(Self {
            addr,
            shared,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops forwarding on all open connections without closing them.
    ///
    /// They carry no data until [`cut`](Self::cut) or [`stop`](Self::stop) closes them. New
    /// connections work.
    pub fn silence(&self) {
        for session in self.shared.lock().sessions.values() {
            session.is_silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all open connections on both sides. New connections work.
    pub fn cut(&self) {
        for session in self.shared.lock().sessions.values() {
            session.close();
        }
        self.shared.changed.notify_all();
    }

    /// Returns the open connections, in the order of their start.
    pub fn sessions(&self) -> Vec<SessionId> {
        let mut ids: Vec<u64> = self.shared.lock().sessions.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().map(SessionId).collect()
    }

    /// Holds back all data of connections whose client names itself, from their first data on: open and
    /// new ones whose first data contain one of these values. No value lets all data pass again.
    pub fn hold_clients(&self, values: Vec<Vec<u8>>) {
        self.shared.lock().held_clients = values;
        self.shared.changed.notify_all();
    }

    /// Closes the open connections whose client names itself, as [`hold_clients`](Self::hold_clients)
    /// holds them. New connections work.
    pub fn close_clients(&self, values: &[Vec<u8>]) {
        for session in self.shared.lock().sessions.values() {
            if session.is_named(values) {
                session.close();
            }
        }
        self.shared.changed.notify_all();
    }

    /// Forwards new connections to another target. Open ones stay.
    pub fn set_target(&self, target: SocketAddr) {
        let mut current = self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = target;
    }

    /// Sets whether data in one direction of a connection are held back. What is held back is
    /// forwarded afterwards, as after the loss of packets.
    pub fn set_held(&self, session: SessionId, direction: Direction, is_held: bool) {
        if let Some(session) = self.shared.session(session) {
            session
                .lane(direction)
                .is_held
                .store(is_held, Ordering::SeqCst);
        }
        self.shared.changed.notify_all();
    }

    /// Delays all further data in one direction of a connection.
    pub fn set_delay(&self, session: SessionId, direction: Direction, delay: Duration) {
        if let Some(session) = self.shared.session(session) {
            let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            session
                .lane(direction)
                .delay_ms
                .store(delay_ms, Ordering::SeqCst);
        }
    }

    /// Closes a connection on both sides.
    pub fn close(&self, session: SessionId) {
        if let Some(session) = self.shared.session(session) {
            session.close();
        }
        self.shared.changed.notify_all();
    }

    /// Closes a connection at the end of one direction only. The other side stays open and silent
    /// until [`close`](Self::close), [`cut`](Self::cut) or [`stop`](Self::stop).
    pub fn close_one_side(&self, session: SessionId, direction: Direction) {
        if let Some(session) = self.shared.session(session) {
            session.is_silent.store(true, Ordering::SeqCst);
            let side = match direction {
                Direction::ToTarget => &session.target,
                Direction::ToClient => &session.client,
            };
            let _ = side.shutdown(Shutdown::Both);
        }
        self.shared.changed.notify_all();
    }

    /// Closes the listening port, so that new connections are refused. Open connections keep
    /// working.
    pub fn refuse(&self) {
        let acceptor = self.acceptor().take();
        if let Some(acceptor) = acceptor {
            acceptor.stop(self.addr);
        }
    }

    /// Accepts new connections again, on the same address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be opened again.
    pub fn allow(&self) -> io::Result<()> {
        let mut acceptor = self.acceptor();
        if acceptor.is_none() && !self.shared.lock().is_stopped {
            let listener = TcpListener::bind(self.addr)?;
            *acceptor = Some(Acceptor::start(listener, Arc::clone(&self.shared)));
        }
        Ok(())
    }

    /// Stops listening, closes all connections and waits until their threads have finished.
    pub fn stop(&self) {
        self.refuse();
        self.shared.lock().is_stopped = true;
        self.cut();
        self.shared.wait_until_all_closed();
    }

    fn acceptor(&self) -> MutexGuard<'_, Option<Acceptor>> {
        self.acceptor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    state: Mutex<State>,
    /// Signals that a session was closed or removed.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    is_stopped: bool,
    next_id: u64,
    sessions: HashMap<u64, Arc<Session>>,
    /// What the first data of a held client contain.
    held_clients: Vec<Vec<u8>>,
}

impl State {
    /// Returns whether the client of a connection is held. One that has sent nothing is not.
    fn holds(&self, session: &Session) -> bool {
        session.is_named(&self.held_clients)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn session(&self, id: SessionId) -> Option<Arc<Session>> {
        self.lock().sessions.get(&id.0).cloned()
    }

    /// Waits until no session remains.
    fn wait_until_all_closed(&self) {
        let mut state = self.lock();
        while !state.sessions.is_empty() {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Connects to the target and forwards both directions until each has ended.
    fn forward_both(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let target = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let session = Arc::new(Session {
            client,
            target,
            to_target: Lane::default(),
            to_client: Lane::default(),
            is_silent: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            opening: OnceLock::new(),
        });
        let id = {
            let mut state = self.lock();
            if state.is_stopped {
                return Ok(());
            }
            state.next_id += 1;
            let id = state.next_id;
            state.sessions.insert(id, Arc::clone(&session));
            id
        };
        let reply_thread = {
            let (shared, session) = (Arc::clone(self), Arc::clone(&session));
            thread::spawn(move || shared.forward(&session, Direction::ToClient))
        };
        self.forward(&session, Direction::ToTarget);
        let _ = reply_thread.join();
        self.lock().sessions.remove(&id);
        self.changed.notify_all();
        Ok(())
    }

    /// Forwards one direction of `session` until end of stream or an error.
    fn forward(&self, session: &Session, direction: Direction) {
        let (mut from, mut to) = match direction {
            Direction::ToTarget => (&session.client, &session.target),
            Direction::ToClient => (&session.target, &session.client),
        };
        let lane = session.lane(direction);
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let size = match from.read(&mut buffer) {
                Ok(size) => size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            if direction == Direction::ToTarget {
                session.opening.get_or_init(|| buffer[..size].to_vec());
            }
            if session.is_silent.load(Ordering::SeqCst) {
                self.wait_until_closed(session);
            }
            self.hold_back(session, lane);
            if size == 0 || to.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    /// Waits for the delay of a lane, and as long as its data are held back.
    fn hold_back(&self, session: &Session, lane: &Lane) {
        let delay_ms = lane.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        let is_waiting = |state: &State| {
            let is_stuck = lane.is_held.load(Ordering::SeqCst)
                || session.is_silent.load(Ordering::SeqCst)
                || state.holds(session);
            is_stuck && !session.is_closed.load(Ordering::SeqCst)
        };
        let mut state = self.lock();
        while is_waiting(&state) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn wait_until_closed(&self, session: &Session) {
        let mut state = self.lock();
        while !session.is_closed.load(Ordering::SeqCst) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// The faults of one direction of a connection.
#[derive(Debug, Default)]
struct Lane {
    is_held: AtomicBool,
    delay_ms: AtomicU64,
}

/// A forwarded connection: the client side and the target side.
#[derive(Debug)]
struct Session {
    client: TcpStream,
    target: TcpStream,
    to_target: Lane,
    to_client: Lane,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
    /// The first data from the client.
    opening: OnceLock<Vec<u8>>,
}

impl Session {
    const fn lane(&self, direction: Direction) -> &Lane {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToClient => &self.to_client,
        }
    }

    /// Returns whether the first data from the client contain one of these values.
    fn is_named(&self, values: &[Vec<u8>]) -> bool {
        let opening = self.opening.get().map_or(&[][..], Vec::as_slice);
        let contains = |value: &Vec<u8>| opening.windows(value.len()).any(|part| part == value);
        values.iter().any(contains)
    }

    fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

/// The thread that accepts client connections.
#[derive(Debug)]
struct Acceptor {
    is_closing: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Acceptor {
    fn start(listener: TcpListener, shared: Arc<Shared>) -> Self {
        let is_closing = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&is_closing);
        let thread = thread::spawn(move || {
            loop {
                let accepted = listener.accept();
                if stop_requested.load(Ordering::SeqCst) {
                    return;
                }
                match accepted {
                    Ok((client, _)) => {
                        let shared = Arc::clone(&shared);
                        // If the target cannot be reached, the client's connection is closed.
                        thread::spawn(move || shared.forward_both(client));
                    }
                    Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
                }
            }
        });
        Self { is_closing, thread }
    }

    /// Closes the listening port at `addr`.
    fn stop(self, mut addr: SocketAddr) {
        if addr.ip().is_unspecified() {
            addr.set_ip(match addr {
                SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
                SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
            });
        }
        self.is_closing.store(true, Ordering::SeqCst);
        // The thread blocks in `accept`, so a connection is opened to wake it.
        while !self.thread.is_finished() {
            let _ = TcpStream::connect_timeout(&addr, ACCEPT_RETRY_DELAY);
            thread::sleep(Duration::from_millis(1));
        }
        let _ = self.thread.join();
    }
}

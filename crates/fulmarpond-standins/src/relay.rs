//! A TCP relay that injects connection faults.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::ToSocketAddrs;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept; also the time limit of a connection that wakes the accepting
/// thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Buffer size for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

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
            target,
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
    target: SocketAddr,
    state: Mutex<State>,
    /// Signals that a session was closed or removed.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    is_stopped: bool,
    next_id: u64,
    sessions: HashMap<u64, Arc<Session>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
        let target = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let session = Arc::new(Session {
            client,
            target,
            is_silent: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
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
            thread::spawn(move || shared.forward(&session, &session.target, &session.client))
        };
        self.forward(&session, &session.client, &session.target);
        let _ = reply_thread.join();
        self.lock().sessions.remove(&id);
        self.changed.notify_all();
        Ok(())
    }

    /// Forwards one direction of `session` until end of stream or an error.
    fn forward(&self, session: &Session, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let size = match from.read(&mut buffer) {
                Ok(size) => size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            if session.is_silent.load(Ordering::SeqCst) {
                self.wait_until_closed(session);
            }
            if size == 0 || to.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
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

/// A forwarded connection: the client side and the target side.
#[derive(Debug)]
struct Session {
    client: TcpStream,
    target: TcpStream,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

impl Session {
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

//! A TCP relay that injects connection faults.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::ToSocketAddrs;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time limit for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause before another attempt to accept, or to wake the accepting thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Size of the buffer of one direction of a connection in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// Forwards TCP connections to a target and injects faults on request.
///
/// # Examples
///
/// ```
/// use fulmarpond_standins::{KeyValue, Relay};
///
/// let store = KeyValue::start("127.0.0.1:0")?;
/// let relay = Relay::start(store.addr())?;
/// relay.silence(); // Open connections stay open but carry nothing; new connections work.
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
    /// Returns the error of the system if no port can be opened.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::bind("127.0.0.1:0", target)
    }

    /// Starts a relay to `target` that listens on `listen`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if `listen` cannot be opened.
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
    /// They stay silent until [`cut`](Self::cut) or [`stop`](Self::stop). New connections work.
    pub fn silence(&self) {
        for link in self.shared.lock().links.values() {
            link.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes all open connections on both sides. New connections work.
    pub fn cut(&self) {
        for link in self.shared.lock().links.values() {
            link.close();
        }
        self.shared.changed.notify_all();
    }

    /// Closes the listening port, so that new connections are refused. Open connections go on.
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
    /// Returns the error of the system if the port cannot be opened again.
    pub fn allow(&self) -> io::Result<()> {
        let mut acceptor = self.acceptor();
        if acceptor.is_none() && !self.shared.lock().stopped {
            let listener = TcpListener::bind(self.addr)?;
            *acceptor = Some(Acceptor::start(listener, Arc::clone(&self.shared)));
        }
        Ok(())
    }

    /// Stops listening, closes all connections and waits until they have ended.
    pub fn stop(&self) {
        self.refuse();
        self.shared.lock().stopped = true;
        self.cut();
        self.shared.wait_ended();
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
    /// Signals that a link was closed or has ended.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    stopped: bool,
    next: u64,
    links: HashMap<u64, Arc<Link>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no link is left.
    fn wait_ended(&self) {
        let mut state = self.lock();
        while !state.links.is_empty() {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Connects to the target and forwards in both directions until both have ended.
    fn serve(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let target = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let link = Arc::new(Link {
            caller,
            target,
            silent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let number = {
            let mut state = self.lock();
            if state.stopped {
                return Ok(());
            }
            state.next += 1;
            let number = state.next;
            state.links.insert(number, Arc::clone(&link));
            number
        };
        let replies = {
            let (shared, link) = (Arc::clone(self), Arc::clone(&link));
            thread::spawn(move || shared.forward(&link, &link.target, &link.caller))
        };
        self.forward(&link, &link.caller, &link.target);
        let _ = replies.join();
        self.lock().links.remove(&number);
        self.changed.notify_all();
        Ok(())
    }

    /// Forwards one direction of `link` until its end or an error.
    fn forward(&self, link: &Link, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER_SIZE];
        loop {
            let size = match from.read(&mut buffer) {
                Ok(size) => size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            if link.silent.load(Ordering::SeqCst) {
                self.wait_closed(link);
            }
            if size == 0 || to.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    fn wait_closed(&self, link: &Link) {
        let mut state = self.lock();
        while !link.closed.load(Ordering::SeqCst) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// A forwarded connection.
#[derive(Debug)]
struct Link {
    caller: TcpStream,
    target: TcpStream,
    silent: AtomicBool,
    closed: AtomicBool,
}

impl Link {
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

/// The thread that accepts connections.
#[derive(Debug)]
struct Acceptor {
    closing: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Acceptor {
    fn start(listener: TcpListener, shared: Arc<Shared>) -> Self {
        let closing = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&closing);
        let thread = thread::spawn(move || {
            loop {
                let accepted = listener.accept();
                if flag.load(Ordering::SeqCst) {
                    return;
                }
                match accepted {
                    Ok((caller, _)) => {
                        let shared = Arc::clone(&shared);
                        // A failed connection to the target closes the caller's connection.
                        thread::spawn(move || shared.serve(caller));
                    }
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            }
        });
        Self { closing, thread }
    }

    /// Closes the listening port at `addr`.
    fn stop(self, mut addr: SocketAddr) {
        if addr.ip().is_unspecified() {
            addr.set_ip(match addr {
                SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
                SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
            });
        }
        self.closing.store(true, Ordering::SeqCst);
        // The thread blocks in accept until a connection arrives.
        while !self.thread.is_finished() {
            let _ = TcpStream::connect_timeout(&addr, ACCEPT_PAUSE);
            thread::sleep(Duration::from_millis(1));
        }
        let _ = self.thread.join();
    }
}

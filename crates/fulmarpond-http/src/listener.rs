//! The listener.

use std::io;
use std::marker::PhantomData;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connection::Server;
use crate::connections::{Connections, Slot};
use crate::phase::Phase;
use crate::{Handler, Options, Response};

/// The connections that may wait to be accepted. The system may set a lower bound.
const BACKLOG: u32 = 4_096;
/// Pause after a failed attempt to accept, for instance without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a stop waits for connections that it closes, or for the end of the runtime.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// An HTTP/1.1 listener with its own runtime.
///
/// Dropping it closes all connections without waiting for requests in progress;
/// [`Listener::stop`] is graceful.
///
/// # Examples
///
/// ```
/// use fulmarpond_http::{Listener, Options, Request, Responder, Response};
///
/// let handler = |request: Request, responder: Responder| {
///     responder.send(Response::text(200, request.path()));
/// };
/// let listener = Listener::start("127.0.0.1:0", Options::default(), handler)?;
/// assert_ne!(listener.addr().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    phase: watch::Sender<Phase>,
    connections: Arc<Connections>,
    port: Arc<Connections>,
    runtime: Mutex<Option<Runtime>>,
}

impl Listener {
    /// Starts a listener on `addr`; port 0 lets the system choose one.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if `addr` can't be listened on or no thread can be started.
    pub fn start<A, H, R>(addr: A, options: Options, handler: H) -> io::Result<Self>
    where
        A: ToSocketAddrs,
        H: Handler<R>,
        R: Into<Response> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(options.threads.max(1))
            .thread_name("http")
            .enable_all()
            .build()?;
        let socket = {
            let _context = runtime.enter();
            bind(addr)?
        };
        let addr = socket.local_addr()?;
        let connections = Connections::new(options.max_connections);
        let port = Connections::new(1);
        let (phase, phases) = watch::channel(Phase::Open);
        let server = Arc::new(Server {
            handler,
            options,
            reply: PhantomData,
        });
        let acceptor = Acceptor {
            socket,
            server,
            phases,
            connections: Arc::clone(&connections),
            _port: port.open(),
        };
        runtime.spawn(acceptor.run());
        Ok(Self {
            addr,
            phase,
            connections,
            port,
            runtime: Mutex::new(Some(runtime)),
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops accepting, waits at most `limit` for the requests in progress and closes all
    /// connections.
    ///
    /// Returns whether all requests were finished.
    pub fn stop(&self, limit: Duration) -> bool {
        self.enter(Phase::Draining);
        self.port.wait_closed(CLOSE_LIMIT);
        let finished = self.connections.wait_closed(limit);
        self.close();
        finished
    }

    /// Moves on to a phase, never back.
    fn enter(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let later = *phase < next;
            *phase = next.max(*phase);
            later
        });
    }

    fn close(&self) {
        self.enter(Phase::Closed);
        let mut runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(runtime) = runtime.take() else {
            return;
        };
        // A thread of a runtime must not wait for another one.
        if Handle::try_current().is_ok() {
            runtime.shutdown_background();
        } else {
            runtime.shutdown_timeout(CLOSE_LIMIT);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
    }
}

fn bind(addrs: impl ToSocketAddrs) -> io::Result<TcpListener> {
    let mut result = Err(io::ErrorKind::InvalidInput.into());
    for addr in addrs.to_socket_addrs()? {
        result = listen(addr);
        if result.is_ok() {
            break;
        }
    }
    result
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted process gets its port although old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// The task that accepts connections.
struct Acceptor<H, R> {
    socket: TcpListener,
    server: Arc<Server<H, R>>,
    phases: watch::Receiver<Phase>,
    connections: Arc<Connections>,
    _port: Option<Slot>,
}

impl<H: Handler<R>, R: Into<Response> + Send + 'static> Acceptor<H, R> {
    async fn run(self) {
        let mut phases = self.phases.clone();
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, remote)) => self.spawn(stream, remote),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                () = Phase::Draining.reached(&mut phases) => return,
            }
        }
    }

    fn spawn(&self, stream: TcpStream, remote: SocketAddr) {
        // With Nagle's algorithm a response on a kept connection waits for a delayed
        // acknowledgement of about 40 ms.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let Some(slot) = self.connections.open() else {
            return;
        };
        let server = Arc::clone(&self.server);
        let phases = self.phases.clone();
        tokio::spawn(async move {
            server.serve(stream, remote, phases).await;
            drop(slot);
        });
    }
}

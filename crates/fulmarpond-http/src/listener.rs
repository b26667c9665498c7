//! The listener and the task that accepts its connections.

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
use crate::connections::{ConnectionPermit, Connections};
use crate::phase::Phase;
use crate::{Handler, Options, Response};

/// The maximum number of connections that wait to be accepted. The operating system may apply a
/// lower limit.
const ACCEPT_BACKLOG: u32 = 4_096;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Timeout for closing the listening socket and for shutting down the runtime at a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP/1.1 listener with its own runtime.
///
/// Dropping it closes all connections without waiting for requests in progress. Use
/// [`Listener::stop`] for a graceful shutdown.
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
    /// Counts the listening socket, so that a stop can wait until it is closed.
    listening_socket: Arc<Connections>,
    runtime: Mutex<Option<Runtime>>,
}

impl Listener {
    /// Starts a listener on `addr`. With port 0, the operating system chooses a free port.
    ///
    /// # Errors
    ///
    /// Fails if `addr` can't be bound or the threads of the runtime can't be started.
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
            bind_first_available(addr)?
        };
        let addr = socket.local_addr()?;
        let connections = Connections::new(options.max_connections);
        let listening_socket = Connections::new(1);
        let (phase, phase_receiver) = watch::channel(Phase::Open);
        let server = Arc::new(Server {
            handler,
            options,
            reply_type: PhantomData,
        });
        let acceptor = Acceptor {
            socket,
            server,
            phase: phase_receiver,
            connections: Arc::clone(&connections),
            _socket_permit: listening_socket.acquire(),
        };
        runtime.spawn(acceptor.run());
        Ok(Self {
            addr,
            phase,
            connections,
            listening_socket,
            runtime: Mutex::new(Some(runtime)),
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops accepting connections, waits up to `timeout` for the requests in progress, and closes
    /// all connections.
    ///
    /// Returns whether all connections ended within the timeout, so that no request was aborted.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.advance_to(Phase::Draining);
        self.listening_socket.wait_until_all_closed(CLOSE_TIMEOUT);
        let is_finished = self.connections.wait_until_all_closed(timeout);
        self.close();
        is_finished
    }

    /// Advances to a phase. A phase that has already been passed has no effect.
    fn advance_to(&self, next: Phase) {
        self.phase.send_if_modified(|phase| {
            let is_later = *phase < next;
            *phase = next.max(*phase);
            is_later
        });
    }

    fn close(&self) {
        self.advance_to(Phase::Closed);
        let mut runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(runtime) = runtime.take() else {
            return;
        };
        // A thread of an asynchronous runtime must not block on the shutdown of another runtime.
        if Handle::try_current().is_ok() {
            runtime.shutdown_background();
        } else {
            runtime.shutdown_timeout(CLOSE_TIMEOUT);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
    }
}

fn bind_first_available(addrs: impl ToSocketAddrs) -> io::Result<TcpListener> {
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
    // Allows a restarted process to bind its port while old connections are in `TIME_WAIT`.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The task that accepts connections.
struct Acceptor<H, R> {
    socket: TcpListener,
    server: Arc<Server<H, R>>,
    phase: watch::Receiver<Phase>,
    connections: Arc<Connections>,
    _socket_permit: Option<ConnectionPermit>,
}

impl<H: Handler<R>, R: Into<Response> + Send + 'static> Acceptor<H, R> {
    async fn run(self) {
        let mut phase = self.phase.clone();
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, remote)) => self.spawn(stream, remote),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = Phase::Draining.reached(&mut phase) => return,
            }
        }
    }

    fn spawn(&self, stream: TcpStream, remote: SocketAddr) {
        // With Nagle's algorithm, a response on a persistent connection waits for a delayed
        // acknowledgement, which takes about 40 ms.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let Some(permit) = self.connections.acquire() else {
            return;
        };
        let server = Arc::clone(&self.server);
        let phase = self.phase.clone();
        tokio::spawn(async move {
            server.serve(stream, remote, phase).await;
            drop(permit);
        });
    }
}

//! The link server: accepts connections, dispatches requests and stops gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fulmarpond_core::link::{Envelope, Request, Response};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{
    BatchRequestConfig, PingConfig, Server, ServerConfig, ServerHandle, StopHandle,
    serve_with_graceful_shutdown, stop_channel,
};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};

use super::authorize::Authorize;
use super::codec::{self, MESSAGE_OVERHEAD_BYTES};
use super::in_flight::InFlightRequests;
use super::stats::increment;
use super::tcp_stream::{MonitoredStream, linger};
use super::{Error, LinkStats, Responder, Result, ServeOptions};

/// The length of the accept queue. All agents reconnect at once when an entry restarts.
const LISTEN_BACKLOG: u32 = 4096;
/// The number of responses that one connection queues for sending. Further responses wait until
/// the queue has free capacity.
const MESSAGE_BUFFER_CAPACITY: u32 = 16_384;
/// The delay before the next accept after a failed one. Accepting usually fails because the
/// process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time for which [`LinkServer::stop`] waits for the requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A listening server. Dropping it closes all its connections immediately.
#[derive(Debug)]
pub struct LinkServer {
    addr: SocketAddr,
    in_flight: Arc<InFlightRequests>,
    phase: watch::Sender<Phase>,
    server_handle: ServerHandle,
    /// Disconnected once the acceptor and all connections have ended.
    all_closed: Mutex<Receiver<()>>,
    runtime: Handle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// New connections are refused and new requests rejected.
    Stopping,
    /// The remaining connections are shut down.
    Terminated,
}

impl LinkServer {
    /// Starts a server on `addr`. Must be called in the context of the runtime.
    pub(super) fn start<H>(
        addr: SocketAddr,
        options: ServeOptions,
        handler: H,
        stats: Arc<LinkStats>,
    ) -> Result<Self>
    where
        H: Fn(Envelope, Responder) + Send + Sync + 'static,
    {
        let listen_error = |source| Error::Listen { addr, source };
        let listener = bind(addr).map_err(listen_error)?;
        let local_addr = listener.local_addr().map_err(listen_error)?;
        let in_flight = Arc::new(InFlightRequests::default());
        let (phase, phases) = watch::channel(Phase::Serving);
        let (stop, server_handle) = stop_channel();
        let (open_connections, all_closed) = channel();
        let acceptor = Acceptor {
            module: build_module(Context {
                handler,
                in_flight: Arc::clone(&in_flight),
                stats: Arc::clone(&stats),
            }),
            connection_permits: Arc::new(Semaphore::new(options.max_connections)),
            options,
            stats,
            stop,
            phases,
            open_connections,
        };
        tokio::spawn(acceptor.run(listener));
        Ok(Self {
            addr: local_addr,
            in_flight,
            phase,
            server_handle,
            all_closed: Mutex::new(all_closed),
            runtime: Handle::current(),
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server as [`stop_within`](Self::stop_within) does, with a limit of 5 s.
    pub fn stop(&self) -> bool {
        self.stop_within(STOP_TIMEOUT)
    }

    /// Stops the server and returns whether every request in flight was answered within `limit`.
    ///
    /// New connections are refused, and new requests fail as
    /// [`Rejected`](fulmarpond_core::link::LinkError::Rejected). When all requests in flight are
    /// answered and the responses are written, the connections are closed. Connections that are
    /// still open after `limit` are shut down.
    ///
    /// Blocks, so it must not be called on a thread of the runtime.
    pub fn stop_within(&self, limit: Duration) -> bool {
        self.in_flight.close();
        self.set_phase(Phase::Stopping);
        let in_flight = Arc::clone(&self.in_flight);
        let server_handle = self.server_handle.clone();
        self.runtime.spawn(async move {
            in_flight.wait_drained().await;
            // Stopping fails only if every connection is already closed.
            let _ = server_handle.stop();
        });
        let all_closed = self
            .all_closed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Nothing is sent on this channel; it disconnects when the last connection is closed.
        let is_complete = all_closed.recv_timeout(limit) == Err(RecvTimeoutError::Disconnected);
        self.set_phase(Phase::Terminated);
        is_complete
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }
}

/// Listens with `SO_REUSEADDR`, so that a restarted process can bind its port again immediately.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The state shared by all method handlers.
struct Context<H> {
    handler: H,
    in_flight: Arc<InFlightRequests>,
    stats: Arc<LinkStats>,
}

impl<H> Context<H>
where
    H: Fn(Envelope, Responder) + Send + Sync + 'static,
{
    async fn handle(
        &self,
        method: &str,
        params: Params<'_>,
    ) -> std::result::Result<Response, ErrorObjectOwned> {
        let _in_flight = self.in_flight.begin().ok_or_else(codec::stopping_error)?;
        let envelope = codec::decode(method, &params).inspect_err(|error| {
            increment(&self.stats.undecodable);
            tracing::warn!(method, %error, "undecodable request");
        })?;
        drop(params);
        increment(&self.stats.requests);
        let (responder, response) = Responder::new();
        (self.handler)(envelope, responder);
        response.await.map_err(|_| {
            increment(&self.stats.unanswered);
            codec::unanswered_error()
        })
    }
}

/// Registers one JSON-RPC method per request type.
fn build_module<H>(context: Context<H>) -> RpcModule<Context<H>>
where
    H: Fn(Envelope, Responder) + Send + Sync + 'static,
{
    let mut module = RpcModule::new(context);
    for method in Request::METHODS {
        module
            .register_async_method(method, move |params, context, _| async move {
                context.handle(method, params).await
            })
            .expect("the methods have distinct names");
    }
    module
}

/// Accepts connections and starts a task to serve each of them.
struct Acceptor<H> {
    module: RpcModule<Context<H>>,
    connection_permits: Arc<Semaphore>,
    options: ServeOptions,
    stats: Arc<LinkStats>,
    stop: StopHandle,
    phases: watch::Receiver<Phase>,
    /// Cloned into each connection, to detect when the last one is closed.
    open_connections: Sender<()>,
}

impl<H> Acceptor<H>
where
    H: Fn(Envelope, Responder) + Send + Sync + 'static,
{
    async fn run(self, listener: TcpListener) {
        let mut phases = self.phases.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phases.changed() => return,
            };
            match accepted {
                Ok((stream, _)) => self.accept(stream),
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn accept(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.connection_permits).try_acquire_owned() else {
            tracing::warn!("connection refused: too many connections");
            return;
        };
        let Ok((stream, monitor, released)) = MonitoredStream::new(stream, Arc::clone(&self.stats))
        else {
            return;
        };
        increment(&self.stats.accepted);
        let service = Authorize::new(
            Server::builder()
                .set_config(self.config())
                .to_service_builder()
                .build(self.module.clone(), self.stop.clone()),
            self.options.secret.clone(),
            Arc::clone(&self.stats),
        );
        let stopped = self.stop.clone().shutdown();
        tokio::spawn(async move {
            if let Err(error) = serve_with_graceful_shutdown(stream, service, stopped).await {
                tracing::debug!(%error, "connection failed");
            }
        });

        let mut phases = self.phases.clone();
        let open_connection = self.open_connections.clone();
        let inactive_limit = self.options.inactive_limit;
        let grace = self.options.ping_interval;
        tokio::spawn(async move {
            let _guards = (open_connection, permit);
            let released = tokio::select! {
                released = released => released.ok(),
                () = monitor.wait_inactive(inactive_limit, grace) => None,
                _ = phases.wait_for(|phase| *phase == Phase::Terminated) => None,
            };
            match released {
                Some(stream) => linger(stream).await,
                None => monitor.shutdown(),
            }
        });
    }

    fn config(&self) -> ServerConfig {
        ServerConfig::builder()
            .ws_only()
            .max_connections(1)
            .max_request_body_size(
                self.options
                    .max_body_bytes
                    .saturating_add(MESSAGE_OVERHEAD_BYTES),
            )
            .max_response_body_size(
                self.options
                    .max_body_bytes
                    .saturating_add(MESSAGE_OVERHEAD_BYTES),
            )
            .set_message_buffer_capacity(MESSAGE_BUFFER_CAPACITY)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .enable_ws_ping(
                PingConfig::new()
                    .ping_interval(self.options.ping_interval)
                    .inactive_limit(self.options.inactive_limit),
            )
            .build()
    }
}

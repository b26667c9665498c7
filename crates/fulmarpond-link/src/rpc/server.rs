//! The server side of links.

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
use super::codec::{self, MESSAGE_OVERHEAD};
use super::gate::Gate;
use super::stats::count;
use super::wire::{Wire, linger};
use super::{Error, LinkStats, Responder, Result, ServeOptions};

/// The connections that may wait to be accepted; all agents reconnect at once when an entry
/// restarts.
const BACKLOG: u32 = 4096;
/// The responses that may wait to be written to one connection before further ones wait outside.
const MESSAGE_BUFFER: u32 = 16_384;
/// The pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The time that [`LinkServer::stop`] waits for responses.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A listening server. Dropping it closes all its connections at once.
#[derive(Debug)]
pub struct LinkServer {
    addr: SocketAddr,
    gate: Arc<Gate>,
    phase: watch::Sender<Phase>,
    finish: ServerHandle,
    ended: Mutex<Receiver<()>>,
    runtime: Handle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// New connections and requests are refused.
    Stopping,
    /// Connections are cut.
    Ended,
}

impl LinkServer {
    /// Listens on `addr`. Must be called in the context of the runtime.
    pub(super) fn start<H>(
        addr: SocketAddr,
        options: ServeOptions,
        handler: H,
        stats: Arc<LinkStats>,
    ) -> Result<Self>
    where
        H: Fn(Envelope, Responder) + Send + Sync + 'static,
    {
        let listen = |source| Error::Listen { addr, source };
        let listener = bind(addr).map_err(listen)?;
        let local = listener.local_addr().map_err(listen)?;
        let gate = Arc::new(Gate::default());
        let (phase, phases) = watch::channel(Phase::Serving);
        let (stop, finish) = stop_channel();
        let (open, ended) = channel();
        let acceptor = Acceptor {
            module: module(Context {
                handler,
                gate: Arc::clone(&gate),
                stats: Arc::clone(&stats),
            }),
            permits: Arc::new(Semaphore::new(options.max_connections)),
            options,
            stats,
            stop,
            phases,
            open,
        };
        tokio::spawn(acceptor.run(listener));
        Ok(Self {
            addr: local,
            gate,
            phase,
            finish,
            ended: Mutex::new(ended),
            runtime: Handle::current(),
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server as [`stop_within`](Self::stop_within) does, with a limit of 5 s.
    pub fn stop(&self) -> bool {
        self.stop_within(STOP_LIMIT)
    }

    /// Stops the server and returns whether every request in progress was answered within `limit`.
    ///
    /// New connections are refused, and the caller of a new request is told that it was rejected.
    /// When all requests in progress are answered and the responses are written, the connections
    /// are closed. Connections that are left after `limit` are cut.
    ///
    /// Blocks, so it must not be called on a thread of the runtime.
    pub fn stop_within(&self, limit: Duration) -> bool {
        self.gate.close();
        self.advance(Phase::Stopping);
        let gate = Arc::clone(&self.gate);
        let finish = self.finish.clone();
        self.runtime.spawn(async move {
            gate.drained().await;
            // It fails only if every connection has closed already.
            let _ = finish.stop();
        });
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        // Nothing is ever sent; the channel closes with the last connection.
        let complete = ended.recv_timeout(limit) == Err(RecvTimeoutError::Disconnected);
        self.advance(Phase::Ended);
        complete
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }
}

/// Binds with the address reusable, so that a restarted process gets its port back at once.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// What the methods need to handle a request.
struct Context<H> {
    handler: H,
    gate: Arc<Gate>,
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
        let _entered = self.gate.enter().ok_or_else(codec::stopping)?;
        let envelope = codec::decode(method, &params).inspect_err(|error| {
            count(&self.stats.undecodable);
            tracing::warn!(method, %error, "undecodable request");
        })?;
        drop(params);
        count(&self.stats.requests);
        let (responder, response) = Responder::new();
        (self.handler)(envelope, responder);
        response.await.map_err(|_| {
            count(&self.stats.unanswered);
            codec::unanswered()
        })
    }
}

/// Registers one JSON-RPC method per request.
fn module<H>(context: Context<H>) -> RpcModule<Context<H>>
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

/// Accepts connections.
struct Acceptor<H> {
    module: RpcModule<Context<H>>,
    permits: Arc<Semaphore>,
    options: ServeOptions,
    stats: Arc<LinkStats>,
    stop: StopHandle,
    phases: watch::Receiver<Phase>,
    open: Sender<()>,
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn accept(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            tracing::warn!("connection refused: too many connections");
            return;
        };
        let Ok((wire, watch, released)) = Wire::new(stream, Arc::clone(&self.stats)) else {
            return;
        };
        count(&self.stats.accepted);
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
            if let Err(error) = serve_with_graceful_shutdown(wire, service, stopped).await {
                tracing::debug!(%error, "connection failed");
            }
        });

        let mut phases = self.phases.clone();
        let open = self.open.clone();
        let limit = self.options.inactive_limit;
        let grace = self.options.ping_interval;
        tokio::spawn(async move {
            let _open = (open, permit);
            let released = tokio::select! {
                released = released => released.ok(),
                () = watch.silent(limit, grace) => None,
                _ = phases.wait_for(|phase| *phase == Phase::Ended) => None,
            };
            match released {
                Some(stream) => linger(stream).await,
                None => watch.cut(),
            }
        });
    }

    fn config(&self) -> ServerConfig {
        ServerConfig::builder()
            .ws_only()
            .max_connections(1)
            .max_request_body_size(self.options.max_body.saturating_add(MESSAGE_OVERHEAD))
            .max_response_body_size(self.options.max_body.saturating_add(MESSAGE_OVERHEAD))
            .set_message_buffer_capacity(MESSAGE_BUFFER)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .enable_ws_ping(
                PingConfig::new()
                    .ping_interval(self.options.ping_interval)
                    .inactive_limit(self.options.inactive_limit),
            )
            .build()
    }
}

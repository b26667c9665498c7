//! One open connection of a client.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use fulmarpond_core::link::{LinkError, Response};
use jsonrpsee::client_transport::ws::{HeaderMap, Url, WsTransportClientBuilder};
use jsonrpsee::core::client::async_client::{Client, ClientBuilder, PingConfig, RpcService};
use jsonrpsee::core::middleware::{RpcServiceBuilder, RpcServiceT};
use jsonrpsee::types::{Id, Request};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::codec::{self, Encoded, MESSAGE_OVERHEAD};
use super::stats::count;
use super::wire::{Wire, WireWatch};
use super::{ClientOptions, LinkStats};

/// The calls that may wait to be written before further ones wait outside.
const REQUEST_BUFFER: usize = 16_384;

/// An open connection.
///
/// Requests go straight to the service inside the client, since `ClientT::request` sets up a timer
/// in a separate thread for each call. Timeouts are applied outside.
pub(super) struct Connection {
    client: Client<RpcService>,
    service: RpcService,
    next_id: AtomicU64,
}

impl Connection {
    /// Opens a connection to `addr`. No request has been written if it fails.
    pub(super) async fn open(
        addr: SocketAddr,
        options: &ClientOptions,
        stats: &Arc<LinkStats>,
    ) -> Option<(Self, WireWatch)> {
        let opened = timeout(options.connect_timeout, connect(addr, options, stats)).await;
        match opened {
            Ok(Ok(opened)) => {
                count(&stats.opened);
                Some(opened)
            }
            Ok(Err(error)) => {
                tracing::debug!(%addr, %error, "cannot open a connection");
                None
            }
            Err(_) => {
                tracing::debug!(%addr, "cannot open a connection in time");
                None
            }
        }
    }

    /// Returns whether the connection accepts calls.
    pub(super) fn is_open(&self) -> bool {
        self.client.is_connected()
    }

    /// Waits until the connection is closed.
    pub(super) async fn closed(&self) {
        self.client.on_disconnect().await;
    }

    /// Sends a request and waits for its response.
    pub(super) async fn call(
        &self,
        method: &'static str,
        params: &Encoded,
    ) -> Result<Response, LinkError> {
        let id = Id::Number(self.next_id.fetch_add(1, Ordering::Relaxed));
        let request = Request::borrowed(method, Some(params.as_raw()), id);
        codec::outcome(self.service.call(request).await)
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("open", &self.is_open())
            .finish_non_exhaustive()
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

async fn connect(
    addr: SocketAddr,
    options: &ClientOptions,
    stats: &Arc<LinkStats>,
) -> Result<(Connection, WireWatch), BoxError> {
    let stream = TcpStream::connect(addr).await?;
    let (wire, watch, _) = Wire::new(stream, Arc::clone(stats))?;
    let mut headers = HeaderMap::new();
    if let Some(secret) = &options.secret {
        headers.insert("authorization", secret.header().clone());
    }
    let max_message = options.max_body.saturating_add(MESSAGE_OVERHEAD);
    let (sender, receiver) = WsTransportClientBuilder::default()
        .set_headers(headers)
        .max_request_size(max_message)
        .max_response_size(max_message)
        .connection_timeout(options.connect_timeout)
        .build_with_stream(Url::parse(&format!("ws://{addr}"))?, wire)
        .await?;
    let service = Arc::new(OnceLock::new());
    let keep = Arc::clone(&service);
    let client = ClientBuilder::new()
        .set_rpc_middleware(
            RpcServiceBuilder::new()
                .layer_fn(move |service: RpcService| keep.get_or_init(|| service).clone()),
        )
        .max_concurrent_requests(REQUEST_BUFFER)
        .enable_ws_ping(
            PingConfig::new()
                .ping_interval(options.ping_interval)
                .inactive_limit(options.inactive_limit),
        )
        .build_with_tokio(sender, receiver);
    let service = service.get().cloned().ok_or("the client has no service")?;
    let connection = Connection {
        client,
        service,
        next_id: AtomicU64::new(0),
    };
    Ok((connection, watch))
}

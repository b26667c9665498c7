//! An open connection of a client.

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

use super::codec::{self, EncodedParams, MESSAGE_OVERHEAD_BYTES};
use super::stats::increment;
use super::tcp_stream::{MonitoredStream, StreamMonitor};
use super::{ClientOptions, LinkStats};

/// The number of calls that one connection queues for sending. Further calls wait until the queue
/// has free capacity.
const REQUEST_BUFFER_CAPACITY: usize = 16_384;

/// An open connection.
///
/// Calls the RPC service of the client directly, because `ClientT::request` sets up a timer in a
/// separate thread for each call. The caller applies the timeout.
pub(super) struct Connection {
    client: Client<RpcService>,
    service: RpcService,
    next_id: AtomicU64,
}

impl Connection {
    /// Opens a connection to `addr`. No request has been sent if this fails.
    pub(super) async fn open(
        addr: SocketAddr,
        options: &ClientOptions,
        stats: &Arc<LinkStats>,
    ) -> Option<(Self, StreamMonitor)> {
        let opened = timeout(options.connect_timeout, connect(addr, options, stats)).await;
        match opened {
            Ok(Ok(opened)) => {
                increment(&stats.opened);
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
        params: &EncodedParams,
    ) -> Result<Response, LinkError> {
        let id = Id::Number(self.next_id.fetch_add(1, Ordering::Relaxed));
        let request = Request::borrowed(method, Some(params.as_raw()), id);
        codec::decode_outcome(self.service.call(request).await)
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
) -> Result<(Connection, StreamMonitor), BoxError> {
    let stream = TcpStream::connect(addr).await?;
    let (stream, monitor, _) = MonitoredStream::new(stream, Arc::clone(stats))?;
    let mut headers = HeaderMap::new();
    if let Some(secret) = &options.secret {
        headers.insert("authorization", secret.header().clone());
    }
    let max_message_bytes = options
        .max_body_bytes
        .saturating_add(MESSAGE_OVERHEAD_BYTES);
    let (sender, receiver) = WsTransportClientBuilder::default()
        .set_headers(headers)
        .max_request_size(max_message_bytes)
        .max_response_size(max_message_bytes)
        .connection_timeout(options.connect_timeout)
        .build_with_stream(Url::parse(&format!("ws://{addr}"))?, stream)
        .await?;
    let service = Arc::new(OnceLock::new());
    let captured = Arc::clone(&service);
    let client = ClientBuilder::new()
        .set_rpc_middleware(
            RpcServiceBuilder::new()
                .layer_fn(move |service: RpcService| captured.get_or_init(|| service).clone()),
        )
        .max_concurrent_requests(REQUEST_BUFFER_CAPACITY)
        .enable_ws_ping(
            PingConfig::new()
                .ping_interval(options.ping_interval)
                .inactive_limit(options.inactive_limit),
        )
        .build_with_tokio(sender, receiver);
    let service = service
        .get()
        .cloned()
        .ok_or("the JSON-RPC client was built without its RPC service")?;
    let connection = Connection {
        client,
        service,
        next_id: AtomicU64::new(0),
    };
    Ok((connection, monitor))
}

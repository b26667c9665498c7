//! One open connection of a client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpond_core::link::{LinkError, Response};
use jsonrpsee::client_transport::ws::{HeaderMap, Url, WsTransportClientBuilder};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::async_client::{Client, ClientBuilder, PingConfig, RpcService};
use jsonrpsee::core::middleware::RpcServiceBuilder;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::codec::{self, Encoded, MESSAGE_OVERHEAD};
use super::stats::count;
use super::wire::{Wire, WireWatch};
use super::{ClientOptions, LinkStats};

/// The calls that may wait to be written before further ones wait outside.
const REQUEST_BUFFER: usize = 16_384;
/// Effectively none: the timeout of a call is applied outside.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3600);

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    rpc: Client<RpcService>,
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
            Ok(Ok((rpc, watch))) => {
                count(&stats.opened);
                Some((Self { rpc }, watch))
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
        self.rpc.is_connected()
    }

    /// Waits until the connection is closed.
    pub(super) async fn closed(&self) {
        self.rpc.on_disconnect().await;
    }

    /// Sends a request and waits for its response.
    pub(super) async fn call(
        &self,
        method: &'static str,
        params: Encoded,
    ) -> Result<Response, LinkError> {
        codec::outcome(self.rpc.request(method, params).await)
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

async fn connect(
    addr: SocketAddr,
    options: &ClientOptions,
    stats: &Arc<LinkStats>,
) -> Result<(Client<RpcService>, WireWatch), BoxError> {
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
    let rpc = ClientBuilder::new()
        .set_rpc_middleware(RpcServiceBuilder::new())
        .request_timeout(REQUEST_TIMEOUT)
        .max_concurrent_requests(REQUEST_BUFFER)
        .enable_ws_ping(
            PingConfig::new()
                .ping_interval(options.ping_interval)
                .inactive_limit(options.inactive_limit),
        )
        .build_with_tokio(sender, receiver);
    Ok((rpc, watch))
}

//! Serving of a single connection.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::responder::Outcome;
use crate::{Handler, Options, Request, Responder, Response, body, phase::Phase};

/// Grace period at a stop for connections that have had no request. The first request may already
/// be in transit.
const FIRST_REQUEST_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// State shared by all connections of a listener.
pub(crate) struct Server<H, R> {
    pub(crate) handler: H,
    pub(crate) options: Options,
    pub(crate) reply_type: PhantomData<fn() -> R>,
}

/// The error that makes `hyper` close a connection without sending a response.
#[derive(Debug)]
struct ClosedWithoutResponse;

impl fmt::Display for ClosedWithoutResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ClosedWithoutResponse {}

impl<H: Handler<R>, R: Into<Response> + Send + 'static> Server<H, R> {
    /// Serves a connection until it ends, or until the listener drains or closes it.
    pub(crate) async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        remote: SocketAddr,
        mut phase: watch::Receiver<Phase>,
    ) {
        let has_received_request = AtomicBool::new(false);
        let service = service_fn(|request| {
            has_received_request.store(true, Ordering::Relaxed);
            self.respond(request, remote)
        });
        let connection = self
            .builder()
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = Phase::Draining.reached(&mut phase) => {}
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(FIRST_REQUEST_GRACE_PERIOD) => {}
        }
        if has_received_request.load(Ordering::Relaxed) {
            tokio::select! {
                _ = connection.as_mut() => {}
                () = Phase::Closed.reached(&mut phase) => {}
            }
        }
    }

    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.options.header_timeout)
            // `hyper` rejects requests above its own limit without details. Up to twice the
            // configured limit, the response can state the cause.
            .max_headers(self.options.max_headers.saturating_mul(2));
        builder
    }

    async fn respond(
        &self,
        request: http::Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<http::Response<Full<Bytes>>, ClosedWithoutResponse> {
        let request = match self.read_request(request, remote).await {
            Ok(request) => request,
            Err(response) => return Ok(response.into_http()),
        };
        let (responder, outcome) = Responder::new();
        self.handler.handle(request, responder);
        match outcome.await {
            Ok(Outcome::Send(reply)) => Ok(reply.into().into_http()),
            Ok(Outcome::Close) => Err(ClosedWithoutResponse),
            Err(_) => Ok(responder_dropped().into_http()),
        }
    }

    /// Reads a request with its body, or returns the response that refuses it.
    async fn read_request(
        &self,
        request: http::Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<Request, Response> {
        let (head, mut content) = request.into_parts();
        let max_headers = self.options.max_headers;
        let header_count = head.headers.len();
        let expects_continue = head.headers.contains_key(EXPECT);
        let request = Request::new(head, remote);
        let read = if header_count > max_headers {
            Err(self
                .handler
                .refuse(crate::Fault::TooManyHeaders(max_headers)))
        } else if content.is_end_stream() {
            return Ok(request);
        } else {
            self.read_body(&request, &mut content).await
        };
        match read {
            Ok(body) => Ok(request.with_body(body)),
            Err(response) => {
                // A client that waits for `100 Continue` has not sent its body.
                if !expects_continue {
                    body::discard(content);
                }
                Err(response)
            }
        }
    }

    async fn read_body(&self, head: &Request, content: &mut Incoming) -> Result<Bytes, Response> {
        self.handler.admit(head)?;
        body::read(
            content,
            self.options.max_body_bytes,
            self.options.header_timeout,
        )
        .await
        .map_err(|fault| self.handler.refuse(fault))
    }
}

fn responder_dropped() -> Response {
    Response::json(
        500,
        &json!({"detail": "the request was dropped without an answer"}),
    )
}

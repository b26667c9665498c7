//! One connection.

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

/// How long a connection without a request stays open at a stop: its first request may have been
/// sent already.
const LINGER: Duration = Duration::from_millis(50);

/// What all connections of a listener share.
pub(crate) struct Server<H, R> {
    pub(crate) handler: H,
    pub(crate) options: Options,
    pub(crate) reply: PhantomData<fn() -> R>,
}

/// The error that makes `hyper` close a connection without a response.
#[derive(Debug)]
struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without a response")
    }
}

impl std::error::Error for Closed {}

impl<H: Handler<R>, R: Into<Response> + Send + 'static> Server<H, R> {
    /// Serves a connection until it ends or `phase` closes it.
    pub(crate) async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        remote: SocketAddr,
        mut phase: watch::Receiver<Phase>,
    ) {
        let asked = AtomicBool::new(false);
        let service = service_fn(|request| {
            asked.store(true, Ordering::Relaxed);
            self.answer(request, remote)
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
            () = sleep(LINGER) => {}
        }
        if asked.load(Ordering::Relaxed) {
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
            // Up to twice the bound the response can say what is wrong.
            .max_headers(self.options.headers_max.saturating_mul(2));
        builder
    }

    async fn answer(
        &self,
        request: http::Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<http::Response<Full<Bytes>>, Closed> {
        let request = match self.read(request, remote).await {
            Ok(request) => request,
            Err(response) => return Ok(response.into_http()),
        };
        let (responder, outcome) = Responder::new();
        self.handler.handle(request, responder);
        match outcome.await {
            Ok(Outcome::Send(reply)) => Ok(reply.into().into_http()),
            Ok(Outcome::Close) => Err(Closed),
            Err(_) => Ok(dropped().into_http()),
        }
    }

    /// Reads the whole request, or makes the response that refuses it.
    async fn read(
        &self,
        request: http::Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<Request, Response> {
        let (head, mut content) = request.into_parts();
        let limit = self.options.headers_max;
        let headers = head.headers.len();
        let expects = head.headers.contains_key(EXPECT);
        let request = Request::new(head, remote);
        let read = if headers > limit {
            Err(self.handler.refuse(crate::Fault::TooManyHeaders(limit)))
        } else if content.is_end_stream() {
            return Ok(request);
        } else {
            self.read_body(&request, &mut content).await
        };
        match read {
            Ok(body) => Ok(request.with_body(body)),
            Err(response) => {
                // A client that waits for `100 Continue` has sent no body.
                if !expects {
                    body::discard(content);
                }
                Err(response)
            }
        }
    }

    async fn read_body(&self, head: &Request, content: &mut Incoming) -> Result<Bytes, Response> {
        self.handler.admit(head)?;
        body::read(content, self.options.body_max, self.options.header_timeout)
            .await
            .map_err(|fault| self.handler.refuse(fault))
    }
}

fn dropped() -> Response {
    Response::json(
        500,
        &json!({"detail": "the request was dropped without an answer"}),
    )
}

//! Checks the shared secret during the WebSocket handshake.

use std::future::{Future, ready};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::Service;

use super::stats::increment;
use super::{LinkStats, Secret};

/// A service that forwards only HTTP requests that carry the shared secret and answers all others
/// with status 401.
#[derive(Debug, Clone)]
pub(super) struct Authorize<S> {
    inner: S,
    secret: Option<Secret>,
    stats: Arc<LinkStats>,
}

impl<S> Authorize<S> {
    /// Wraps a service. If `secret` is `None`, every request is forwarded.
    pub(super) fn new(inner: S, secret: Option<Secret>, stats: Arc<LinkStats>) -> Self {
        Self {
            inner,
            secret,
            stats,
        }
    }

    fn is_authorized<B>(&self, request: &HttpRequest<B>) -> bool {
        self.secret.as_ref().is_none_or(|secret| {
            request
                .headers()
                .get("authorization")
                .is_some_and(|header| secret.matches(header))
        })
    }
}

impl<S, B> Service<HttpRequest<B>> for Authorize<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        if self.is_authorized(&request) {
            return Box::pin(self.inner.call(request));
        }
        increment(&self.stats.unauthorized);
        let response = HttpResponse::<()>::builder()
            .status(401)
            .body(HttpBody::empty())
            .expect("401 is a valid status");
        Box::pin(ready(Ok(response)))
    }
}

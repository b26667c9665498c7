//! Outgoing responses.

use bytes::Bytes;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http_body_util::Full;
use serde::Serialize;

/// A response to a request.
///
/// # Examples
///
/// ```
/// use fulmarpond_http::Response;
///
/// let response = Response::json(200, &["a", "b"]);
/// assert_eq!(response.status(), 200);
/// assert_eq!(response.body(), r#"["a","b"]"#);
/// ```
#[derive(Debug, Clone)]
pub struct Response {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl Response {
    /// Creates a response. A status code outside 200 to 999 is replaced by 500.
    ///
    /// # Panics
    ///
    /// Panics if the content type contains characters that are not allowed in a header value.
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut response = Self::empty(status);
        let content_type = HeaderValue::from_static(content_type);
        response.headers.push((CONTENT_TYPE, content_type));
        response.body = body.into();
        response
    }

    /// Creates a response without a body. A status code outside 200 to 999 is replaced by 500.
    pub fn empty(status: u16) -> Self {
        let status = StatusCode::from_u16(status)
            .ok()
            .filter(|status| !status.is_informational())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a response with a plain-text body.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", text.into())
    }

    /// Creates a response with a JSON body. A value that can't be serialized results in status 500
    /// with the error as text.
    pub fn json<T: Serialize + ?Sized>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(error) => Self::text(500, error.to_string()),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: impl Into<HeaderValue>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// Returns the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    pub(crate) fn into_http(self) -> http::Response<Full<Bytes>> {
        let mut response = http::Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.headers);
        response
    }
}

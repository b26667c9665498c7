//! Incoming requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::request::Parts;
use percent_encoding::percent_decode_str;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    head: Parts,
    body: Bytes,
    remote: SocketAddr,
}

impl Request {
    pub(crate) fn new(head: Parts, remote: SocketAddr) -> Self {
        Self {
            head,
            body: Bytes::new(),
            remote,
        }
    }

    pub(crate) fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Returns the method, such as `GET`.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the percent-decoded path.
    pub fn path(&self) -> String {
        decode(self.head.uri.path())
    }

    /// Returns the path and the query as sent, without decoding.
    pub fn target(&self) -> &str {
        self.head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
    }

    /// Returns the percent-decoded segments of the path, ignoring leading and trailing slashes.
    pub fn segments(&self) -> Vec<String> {
        let path = self.head.uri.path().trim_matches('/');
        path.split('/').map(decode).collect()
    }

    /// Returns the decoded value of the first query parameter with the given name.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.head.uri.query()?;
        form_urlencoded::parse(query.as_bytes())
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Returns the address of the client.
    pub fn remote(&self) -> SocketAddr {
        self.remote
    }
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

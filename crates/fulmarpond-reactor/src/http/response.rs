//! Encoding of responses, and parsing of replies from other servers.

use std::io::Write;

use super::MAX_HEADERS;
use crate::call::Reply;

/// A response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The content type, or empty for a response without a body.
    pub content_type: &'static str,
    /// The value of the `Retry-After` header in seconds, if it is sent.
    pub retry_after: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without a body.
    pub const fn empty(status: u16) -> Self {
        Self {
            status,
            content_type: "",
            retry_after: None,
            body: Vec::new(),
        }
    }

    /// Creates a response with a JSON body.
    pub const fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            content_type: "application/json",
            retry_after: None,
            body,
        }
    }

    /// Creates a response with a plain-text body.
    ///
    /// Its content type has the version parameter of the Prometheus text format, because metrics
    /// are served with it.
    pub const fn text(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            content_type: "text/plain; version=1.0.0; charset=utf-8",
            retry_after: None,
            body,
        }
    }

    /// Sets the `Retry-After` header.
    #[must_use]
    pub const fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    pub(crate) fn write_to(&self, out: &mut Vec<u8>, keep_alive: bool) {
        let reason = reason_phrase(self.status);
        let length = self.body.len();
        // Writing to a vector never fails.
        let _ = write!(
            out,
            "HTTP/1.1 {} {reason}\r\ncontent-length: {length}\r\n",
            self.status
        );
        if !self.content_type.is_empty() {
            let _ = write!(out, "content-type: {}\r\n", self.content_type);
        }
        if let Some(seconds) = self.retry_after {
            let _ = write!(out, "retry-after: {seconds}\r\n");
        }
        if !keep_alive {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
    }
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The result of parsing a reply.
pub(crate) enum ParsedReply {
    /// The reply is incomplete.
    Partial,
    /// A complete reply, with its length in bytes.
    Complete {
        reply: Reply,
        len: usize,
        keep_alive: bool,
    },
    /// The bytes are not an HTTP/1.1 reply.
    Malformed,
}

/// Parses the reply at the start of a buffer.
///
/// `is_closed` states whether the server has closed the connection, which ends a body without a
/// length.
pub(crate) fn parse_reply(buffer: &[u8], is_closed: bool) -> ParsedReply {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return ParsedReply::Partial,
        Err(_) => return ParsedReply::Malformed,
    };
    let mut length = None;
    let mut is_chunked = false;
    let mut keep_alive = head.version == Some(1);
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            length = std::str::from_utf8(header.value)
                .ok()
                .and_then(|text| text.trim().parse::<usize>().ok());
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            is_chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive &= !header.value.eq_ignore_ascii_case(b"close");
        }
    }
    let status = head.code.unwrap_or_default();
    let rest = &buffer[head_len..];
    let body = if is_chunked {
        match decode_chunked(rest) {
            Ok(Some((body, encoded_len))) => Some((body, encoded_len)),
            Ok(None) => None,
            Err(()) => return ParsedReply::Malformed,
        }
    } else if let Some(length) = length {
        rest.get(..length).map(|body| (body.to_vec(), length))
    } else if status == 204 || status == 304 {
        Some((Vec::new(), 0))
    } else if is_closed {
        Some((rest.to_vec(), rest.len()))
    } else {
        None
    };
    match body {
        Some((body, encoded_len)) => ParsedReply::Complete {
            reply: Reply { status, body },
            len: head_len + encoded_len,
            keep_alive,
        },
        None => ParsedReply::Partial,
    }
}

/// The length of the line break after the data of a chunk, in bytes.
const CRLF_BYTES: usize = 2;

/// Decodes a chunked body, and returns it with its encoded length, or `None` if it is incomplete.
fn decode_chunked(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ()> {
    let total = rest.len();
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, size))) => (start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(()),
        };
        let size = usize::try_from(size).map_err(|_| ())?;
        let data_end = start.checked_add(size).ok_or(())?;
        let chunk_end = data_end.checked_add(CRLF_BYTES).ok_or(())?;
        let Some(data) = rest.get(start..data_end) else {
            return Ok(None);
        };
        if rest.len() < chunk_end {
            return Ok(None);
        }
        body.extend_from_slice(data);
        rest = &rest[chunk_end..];
        if size == 0 {
            return Ok(Some((body, total - rest.len())));
        }
    }
}

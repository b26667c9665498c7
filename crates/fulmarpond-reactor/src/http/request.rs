//! Incoming requests and their parser.

use thiserror::Error;

use super::MAX_HEADERS;

/// The method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other method.
    Other,
}

impl Method {
    /// Returns the method name as it is sent.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }
}

impl From<&str> for Method {
    fn from(name: &str) -> Self {
        match name {
            "GET" => Self::Get,
            "POST" => Self::Post,
            "DELETE" => Self::Delete,
            _ => Self::Other,
        }
    }
}

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the client allows the connection to stay open after the response.
    pub keep_alive: bool,
}

impl Request {
    /// Returns the value of a header. `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// The reason why a request is rejected by the parser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The bytes are not an HTTP/1.1 request.
    #[error("malformed request")]
    Malformed,
    /// The header section is larger than the limit.
    #[error("header section too large")]
    HeadersTooLarge,
    /// The body is larger than the limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The request has a transfer coding; none is supported.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
}

impl RequestError {
    /// Returns the status code of the response to such a request.
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadersTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::UnsupportedCoding => 501,
        }
    }
}

/// What is known of a request that is not complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Incomplete {
    /// The bytes that were searched for the end of the header section without finding it.
    searched: usize,
    /// The size of the whole request, once its header section is complete; 0 before.
    len: usize,
}

impl Incomplete {
    /// Returns whether the bytes of a longer buffer may complete what was missing, so that parsing
    /// is worthwhile.
    pub(crate) fn may_continue(self, buffer: &[u8], max_header_bytes: usize) -> bool {
        if self.len > 0 {
            return buffer.len() >= self.len;
        }
        // The blank line may have begun before the searched bytes ended.
        let start = self.searched.saturating_sub(LINE_END_BYTES);
        let rest = buffer.get(start..).unwrap_or_default();
        let mut ends = rest.iter().enumerate().filter(|&(_, &byte)| byte == b'\n');
        let has_blank_line = ends.any(|(at, _)| {
            let next = &rest[at + 1..];
            next.starts_with(b"\n") || next.starts_with(b"\r\n")
        });
        has_blank_line || buffer.len() > max_header_bytes
    }
}

/// The most bytes of a blank line and of the end of the line before it that may have been searched.
const LINE_END_BYTES: usize = 3;

/// The result of parsing a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed {
    /// A whole request. Its body is in the buffer.
    Complete {
        /// The request, without its body.
        request: Request,
        /// The size of its header section, in bytes.
        head_len: usize,
        /// The size of its body, in bytes.
        body_len: usize,
    },
    /// A part of a request.
    Incomplete(Incomplete),
}

/// Parses the request at the start of a buffer. Both limits are in bytes.
pub(crate) fn parse_request(
    buffer: &[u8],
    max_header_bytes: usize,
    max_body_bytes: usize,
) -> Result<Parsed, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_len = match head.parse(buffer) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buffer.len() > max_header_bytes => {
            return Err(RequestError::HeadersTooLarge);
        }
        Ok(httparse::Status::Partial) => {
            return Ok(Parsed::Incomplete(Incomplete {
                searched: buffer.len(),
                len: 0,
            }));
        }
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadersTooLarge),
        Err(_) => return Err(RequestError::Malformed),
    };
    if head_len > max_header_bytes {
        return Err(RequestError::HeadersTooLarge);
    }
    let mut request = Request {
        method: Method::from(head.method.unwrap_or_default()),
        path: head.path.unwrap_or_default().to_owned(),
        headers: Vec::with_capacity(head.headers.len()),
        body: Vec::new(),
        keep_alive: head.version == Some(1),
    };
    let mut length = None;
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        let name = header.name.to_ascii_lowercase();
        match name.as_str() {
            "content-length" => {
                let value: usize = value.parse().map_err(|_| RequestError::Malformed)?;
                // With two lengths it is not known where the next request starts.
                if length.replace(value).is_some_and(|other| other != value) {
                    return Err(RequestError::Malformed);
                }
            }
            "transfer-encoding" => return Err(RequestError::UnsupportedCoding),
            "connection" if value.eq_ignore_ascii_case("close") => request.keep_alive = false,
            _ => {}
        }
        request.headers.push((name, value));
    }
    let body_len = length.unwrap_or_default();
    if body_len > max_body_bytes {
        return Err(RequestError::BodyTooLarge);
    }
    if buffer.len() - head_len < body_len {
        return Ok(Parsed::Incomplete(Incomplete {
            searched: buffer.len(),
            len: head_len + body_len,
        }));
    }
    Ok(Parsed::Complete {
        request,
        head_len,
        body_len,
    })
}

/// The size from which a body is moved out of the buffer instead of copied, in bytes.
const MIN_MOVED_BYTES: usize = 4 * 1024;

/// Removes a request from the start of a buffer, and returns its body. A large body that ends the
/// buffer takes over its memory, so that it is not held twice.
pub(crate) fn take_body(buffer: &mut Vec<u8>, head_len: usize, body_len: usize) -> Vec<u8> {
    let len = head_len + body_len;
    if buffer.len() == len && body_len >= MIN_MOVED_BYTES {
        let mut body = std::mem::take(buffer);
        body.drain(..head_len);
        return body;
    }
    let body = buffer.get(head_len..len).unwrap_or_default().to_vec();
    buffer.drain(..len);
    body
}

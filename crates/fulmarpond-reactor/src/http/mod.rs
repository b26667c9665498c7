//! Parsing and encoding of HTTP/1.1 messages.

mod request;
mod response;

pub use request::{Method, Request, RequestError};
pub use response::Response;

pub(crate) use request::{Incomplete, Parsed, parse_request, take_body};
pub(crate) use response::{ParsedReply, parse_reply};

/// The maximum number of headers of a message.
pub(crate) const MAX_HEADERS: usize = 64;

//! HTTP/1.1 messages.

mod request;
mod response;

pub use request::{Method, Request, RequestError};
pub use response::Response;

pub(crate) use request::parse_request;
pub(crate) use response::{Parsed, parse_reply};

/// The most headers that a message may have.
pub(crate) const MAX_HEADERS: usize = 64;

//! The reasons for which the listener itself refuses requests.

use std::fmt;

use serde_json::json;

use crate::Response;

/// The reason why the listener refuses a request without passing it to [`Handler::handle`].
///
/// [`Handler::handle`]: crate::Handler::handle
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The request has more headers than the given maximum.
    TooManyHeaders(usize),
    /// The body is larger than the given maximum in bytes.
    BodyTooLarge(u64),
    /// No further part of the body arrived within the timeout.
    BodyStalled,
    /// The body is malformed or truncated.
    BodyBroken,
}

impl Fault {
    /// Returns the status code of the response.
    pub const fn status(self) -> u16 {
        match self {
            Self::TooManyHeaders(_) => 431,
            Self::BodyTooLarge(_) => 413,
            Self::BodyStalled => 408,
            Self::BodyBroken => 400,
        }
    }

    /// Returns the default response, whose JSON body states the reason.
    pub fn response(self) -> Response {
        Response::json(self.status(), &json!({ "detail": self.to_string() }))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyHeaders(limit) => {
                write!(f, "the request has more than {limit} headers")
            }
            Self::BodyTooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            Self::BodyStalled => f.write_str("the body did not arrive in time"),
            Self::BodyBroken => f.write_str("the body can't be read"),
        }
    }
}

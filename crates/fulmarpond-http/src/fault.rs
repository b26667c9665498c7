//! Requests that the listener refuses itself.

use std::fmt;

use serde_json::json;

use crate::Response;

/// Why the listener refuses a request without asking the handler to answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The request has more headers than this.
    TooManyHeaders(usize),
    /// The body is larger than this in bytes.
    BodyTooLarge(u64),
    /// The body did not arrive in time.
    BodyStalled,
    /// The body is malformed or was cut off.
    BodyBroken,
}

impl Fault {
    /// Returns the status of the response.
    pub const fn status(self) -> u16 {
        match self {
            Self::TooManyHeaders(_) => 431,
            Self::BodyTooLarge(_) => 413,
            Self::BodyStalled => 408,
            Self::BodyBroken => 400,
        }
    }

    /// Returns the response that states only what is wrong.
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

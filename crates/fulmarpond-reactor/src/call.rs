//! Calls of this process to HTTP servers.

use std::time::Instant;

use thiserror::Error;

use crate::http::Method;

/// Names a call. The number is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to an HTTP server.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
    /// When the call fails with [`CallError::Timeout`] if no reply has arrived.
    pub deadline: Instant,
}

/// The reply of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing listens at the address. The call was not sent.
    #[error("connection refused")]
    Refused,
    /// No connection was established in time. The call was not sent.
    #[error("not connected in time")]
    NotConnected,
    /// The connection broke after the call was sent, so it may have been carried out.
    #[error("connection lost")]
    Lost,
    /// No reply arrived in time. The call may have been carried out, or may be later.
    #[error("no reply in time")]
    Timeout,
    /// The reply is not valid HTTP.
    #[error("malformed reply")]
    Malformed,
}

impl CallError {
    /// Returns whether the call cannot have reached the server.
    pub const fn was_unsent(self) -> bool {
        matches!(self, Self::Refused | Self::NotConnected)
    }
}

//! Outgoing calls to HTTP servers.

use std::time::Instant;

use thiserror::Error;

use crate::http::Method;

/// Identifies a call. Identifiers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An outgoing call to an HTTP server.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    /// Headers in addition to those that the reactor sets.
    pub headers: Vec<(&'static str, String)>,
    /// The body, or empty for a call without one.
    pub body: Vec<u8>,
    /// When the call fails if no reply has arrived: with [`CallError::NotConnected`] if it was not
    /// sent yet, otherwise with [`CallError::Timeout`].
    pub deadline: Instant,
    /// Until when a reply that keeps arriving postpones the deadline, so that a large one over a
    /// slow link does not fail.
    pub last_deadline: Instant,
}

/// The reply of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// The reason why a call failed without a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The peer refused the connection: nobody listens there. The call was not sent.
    #[error("connection refused")]
    Refused,
    /// No connection was established before the deadline, or none could be opened. The call was not
    /// sent.
    #[error("connection not established")]
    NotConnected,
    /// The connection was lost after the call was sent. The server may have executed the call.
    #[error("connection lost")]
    Lost,
    /// No reply arrived before the deadline. The server may have executed the call, or may still
    /// do so.
    #[error("no reply before the deadline")]
    Timeout,
    /// The reply exceeds the size limit. The server may have executed the call.
    #[error("reply too large")]
    TooLarge,
    /// The reply is not valid HTTP.
    #[error("malformed reply")]
    Malformed,
}

impl CallError {
    /// Returns whether the call was certainly not sent to the server.
    pub const fn was_unsent(self) -> bool {
        matches!(self, Self::Refused | Self::NotConnected)
    }
}

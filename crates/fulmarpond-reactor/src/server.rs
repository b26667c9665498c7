//! State of the connections that clients open to the HTTP server.

use std::time::Instant;

use crate::channel::Channel;
use crate::event::{ListenerId, RequestId};
use crate::http::Incomplete;

/// A connection that a client opened to an HTTP listener.
#[derive(Debug)]
pub(crate) struct ServerConn {
    pub(crate) channel: Channel,
    pub(crate) listener: ListenerId,
    /// The request that has no response yet.
    pub(crate) pending_request: Option<RequestId>,
    pub(crate) keep_alive: bool,
    /// What is known of a request that is not complete, if its first bytes have arrived.
    pub(crate) incomplete: Option<Incomplete>,
    /// The stamp before which the caller of the next request can't have left.
    pub(crate) input_since: u64,
    /// The stamp of the last response, unless the next request had begun to arrive by then.
    pub(crate) responded: Option<u64>,
    /// When the connection is closed if no complete request has arrived.
    pub(crate) deadline: Instant,
    /// Whether the connection is closed once its output has been sent.
    pub(crate) is_closing: bool,
    /// The bytes that were last counted as held.
    pub(crate) held: usize,
    /// Since when it holds bytes, or waits for the first byte of a request.
    pub(crate) since: Instant,
    /// Whether a whole request has arrived.
    pub(crate) has_requested: bool,
}

/// The unsent output from which no further request of a connection is taken, in bytes.
const MUCH_OUTPUT_BYTES: usize = 64 * 1024;

impl ServerConn {
    /// Returns whether the client has left so many responses unread that it gets no further ones.
    pub(crate) const fn has_much_output(&self) -> bool {
        self.channel.pending_output_bytes() > MUCH_OUTPUT_BYTES
    }
}

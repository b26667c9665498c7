//! Connections on which requests arrive.

use std::time::Instant;

use crate::channel::Channel;
use crate::event::{ListenerId, RequestId};

/// A connection of a client.
#[derive(Debug)]
pub(crate) struct ServerConn {
    pub(crate) channel: Channel,
    pub(crate) listener: ListenerId,
    /// The request that waits for its response.
    pub(crate) open: Option<RequestId>,
    pub(crate) keep_alive: bool,
    /// When the connection is closed unless a whole request arrives.
    pub(crate) deadline: Instant,
    /// Whether it is closed as soon as the output is sent.
    pub(crate) closing: bool,
}

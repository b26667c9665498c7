//! Kept connections to HTTP servers, and the calls that wait for one.

use std::collections::VecDeque;
use std::time::Instant;

use crate::call::CallId;
use crate::channel::Channel;

/// A connection to an HTTP server.
#[derive(Debug)]
pub(crate) struct ClientConn {
    pub(crate) channel: Channel,
    pub(crate) pool: usize,
    /// The call that is sent or will be sent when the connect has ended.
    pub(crate) call: Option<PendingCall>,
    /// Whether bytes of the call were handed to the connection.
    pub(crate) sent: bool,
}

/// A call without a reply.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) id: CallId,
    pub(crate) bytes: Vec<u8>,
    pub(crate) deadline: Instant,
}

/// The connections to one address.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) addr: std::net::SocketAddr,
    /// The most connections that are open at a time.
    pub(crate) limit: usize,
    pub(crate) open: usize,
    pub(crate) idle: Vec<usize>,
    pub(crate) waiting: VecDeque<PendingCall>,
}

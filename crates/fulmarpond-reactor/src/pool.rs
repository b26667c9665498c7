//! Pools of persistent connections to HTTP servers, and the calls that wait for a connection.

use std::collections::VecDeque;
use std::time::Instant;

use crate::call::CallId;
use crate::channel::Channel;

/// A pooled connection to an HTTP server.
#[derive(Debug)]
pub(crate) struct ClientConn {
    pub(crate) channel: Channel,
    /// The index of the pool that the connection belongs to.
    pub(crate) pool: usize,
    /// The call in flight, or the call to send once the connection is established.
    pub(crate) call: Option<PendingCall>,
    /// Whether the call was queued for sending, so that the server may receive it.
    pub(crate) is_call_sent: bool,
}

/// A call that has no outcome yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) id: CallId,
    pub(crate) bytes: Vec<u8>,
    pub(crate) deadline: Instant,
    /// Until when a reply that keeps arriving postpones the deadline.
    pub(crate) last_deadline: Instant,
}

/// The connections to one address, with the calls that wait for one of them.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) addr: std::net::SocketAddr,
    /// The maximum number of open connections.
    pub(crate) max_connections: usize,
    pub(crate) open_connections: usize,
    /// The keys of the connections without a call.
    pub(crate) idle: Vec<usize>,
    pub(crate) waiting_calls: VecDeque<PendingCall>,
}

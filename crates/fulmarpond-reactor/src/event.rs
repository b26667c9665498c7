//! Events that a reactor reports, and the identifiers that they carry.

use std::net::SocketAddr;

use crate::call::{CallError, CallId, Reply};
use crate::http::Request;

/// Identifies an HTTP listener of a reactor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListenerId(pub usize);

/// Identifies a request that has no response yet.
///
/// Identifiers are never reused, so a response to a request whose connection has been closed cannot
/// reach another client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a framed connection. Identifiers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An event on a connection.
#[derive(Debug)]
pub enum Event {
    /// A complete request arrived.
    Request {
        /// The listener that received the request.
        listener: ListenerId,
        /// The identifier to pass to [`Reactor::respond`](crate::Reactor::respond).
        id: RequestId,
        /// The request.
        request: Request,
        /// The stamp before which the client can't have left, see
        /// [`Reactor::set_stamp`](crate::Reactor::set_stamp).
        since: u64,
        /// The stamp at which the client was last certain to be there before it sent the request: that of
        /// the previous response on its connection. The network may have held a first request back for
        /// any time.
        heard: Option<u64>,
    },
    /// The connection of a request was closed or failed before the response was sent.
    Abandoned {
        /// The identifier of the request.
        id: RequestId,
    },
    /// A call completed or failed.
    Replied {
        /// The identifier of the call.
        call: CallId,
        /// The reply, or the reason for the failure.
        outcome: Result<Reply, CallError>,
    },
    /// A link was established.
    LinkUp {
        /// The link.
        link: LinkId,
        /// The address of the peer.
        peer: SocketAddr,
        /// Whether the peer opened the link.
        accepted: bool,
    },
    /// A frame arrived on a link.
    Frame {
        /// The link.
        link: LinkId,
        /// The payload of the frame.
        bytes: Vec<u8>,
    },
    /// A link was lost or could not be established.
    LinkDown {
        /// The link.
        link: LinkId,
    },
}

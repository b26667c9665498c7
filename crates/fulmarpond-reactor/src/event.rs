//! What a reactor reports.

use std::net::SocketAddr;

use crate::call::{CallError, CallId, Reply};
use crate::http::Request;

/// Names a listening address of a reactor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListenerId(pub usize);

/// Names a request that waits for its response.
///
/// The number is never used again, so a response to a connection that was closed meanwhile reaches
/// nobody else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Names a framed connection. The number is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Something that happened on a connection.
#[derive(Debug)]
pub enum Event {
    /// A whole request arrived.
    Request {
        /// Where it arrived.
        listener: ListenerId,
        /// Its number, for the response.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// The connection of a request that has no response yet was closed by its sender.
    Abandoned {
        /// The number of the request.
        id: RequestId,
    },
    /// A call ended.
    Replied {
        /// The number of the call.
        call: CallId,
        /// The reply, or why there is none.
        outcome: Result<Reply, CallError>,
    },
    /// A link is established.
    LinkUp {
        /// The link.
        link: LinkId,
        /// The address of the other side.
        peer: SocketAddr,
        /// Whether the other side opened it.
        accepted: bool,
    },
    /// A frame arrived on a link.
    Frame {
        /// The link.
        link: LinkId,
        /// The content of the frame.
        bytes: Vec<u8>,
    },
    /// A link is closed, or could not be established.
    LinkDown {
        /// The link.
        link: LinkId,
    },
}

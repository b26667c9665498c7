//! A single-threaded event loop with the three transports of a dispatcher process.
//!
//! A [`Reactor`] serves HTTP/1.1 requests, calls other HTTP/1.1 servers over persistent
//! connections, and exchanges length-prefixed frames with other processes. It contains no dispatch
//! logic: the caller sets the deadline of every call, and every outcome is reported as an
//! [`Event`].

mod call;
mod channel;
mod event;
pub mod http;
mod link;
mod pool;
mod reactor;
mod server;

pub use call::{Call, CallError, CallId, Reply};
pub use event::{Event, LinkId, ListenerId, RequestId};
pub use reactor::{ClosedCounts, Limits, Reactor};

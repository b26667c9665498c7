//! A small HTTP/1.1 listener whose requests may be answered later from any thread.
//!
//! [`Listener::start`] serves a [`Handler`] on its own `tokio` runtime. The handler gets each
//! [`Request`] with a [`Responder`] and must not block: a caller that waits for its answer holds
//! a connection, never a thread.

mod body;
mod connection;
mod connections;
mod fault;
mod handler;
mod listener;
mod options;
mod phase;
mod request;
mod responder;
mod response;

pub use bytes::Bytes;
pub use fault::Fault;
pub use handler::Handler;
pub use http::header;
pub use listener::Listener;
pub use options::Options;
pub use request::Request;
pub use responder::Responder;
pub use response::Response;

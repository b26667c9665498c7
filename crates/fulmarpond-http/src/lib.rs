//! A small HTTP/1.1 listener whose handlers may respond later and from any thread.
//!
//! [`Listener::start`] serves a [`Handler`] on its own `tokio` runtime. The handler
//! receives each [`Request`] with a [`Responder`] and must not block: a request without a response
//! occupies a connection, but no thread.

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

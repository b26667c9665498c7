//! JSON-RPC over WebSocket between the processes of a deployment.
//!
//! A [`LinkRuntime`] owns the asynchronous runtime on which all links run. The clients and servers
//! that it creates are used from synchronous threads: calls return immediately and report their
//! outcome to a callback.

mod authorize;
mod client;
mod client_options;
mod codec;
mod completion;
mod connection;
mod error;
mod in_flight;
mod responder;
mod runtime;
mod secret;
mod serve_options;
mod server;
mod stats;
mod tcp_stream;

pub use client::LinkClient;
pub use client_options::ClientOptions;
pub use error::{Error, Result};
pub use responder::Responder;
pub use runtime::LinkRuntime;
pub use secret::Secret;
pub use serve_options::ServeOptions;
pub use server::LinkServer;
pub use stats::LinkStats;

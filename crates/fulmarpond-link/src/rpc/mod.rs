//! JSON-RPC over WebSocket between own processes.
//!
//! A [`LinkRuntime`] owns the asynchronous runtime of the link duty. Everything that it hands out
//! is used from plain threads: calls return at once and their outcome arrives in a callback.

mod authorize;
mod client;
mod client_options;
mod codec;
mod completion;
mod connection;
mod error;
mod gate;
mod responder;
mod runtime;
mod secret;
mod serve_options;
mod server;
mod stats;
mod wire;

pub use client::LinkClient;
pub use client_options::ClientOptions;
pub use error::{Error, Result};
pub use responder::Responder;
pub use runtime::LinkRuntime;
pub use secret::Secret;
pub use serve_options::ServeOptions;
pub use server::LinkServer;
pub use stats::LinkStats;

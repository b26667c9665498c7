//! JSON-RPC links between the processes of a fulmarpond deployment, and the client of the
//! platform's key-value service.

pub mod platform;

mod rpc;

pub use rpc::{
    ClientOptions, Error, LinkClient, LinkRuntime, LinkServer, LinkStats, Responder, Result,
    Secret, ServeOptions,
};

//! Links between the processes of fulmarpond, and the client of the platform's key-value service.

mod rpc;

pub use rpc::{
    ClientOptions, Error, LinkClient, LinkRuntime, LinkServer, LinkStats, Responder, Result,
    Secret, ServeOptions,
};

//! JSON-RPC links between fulmarpond processes and the client of the platform's key-value service.

pub mod platform;

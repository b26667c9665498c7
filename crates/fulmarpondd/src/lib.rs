//! The fulmarpond daemon: threads, listeners and metrics around the state machines of
//! `fulmarpond-core`.
//!
//! [`Daemon::start`] starts one role from its settings. Each duty has its own threads, which
//! communicate through bounded rings: the core thread owns the role's state machine, the link
//! runtime handles JSON-RPC, HTTP listeners serve callers or the endpoint, and slot threads run
//! tasks.

mod auth;
mod build;
mod callers;
mod clock;
mod daemon;
mod driver;
mod error;
mod http;
pub mod leased;
mod logs;
mod metrics;
mod ring;
mod slots;
mod store;

pub use build::{BUILD, VERSION};
pub use daemon::Daemon;
pub use error::Error;
pub use logs::init_logs;

/// The result of starting a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

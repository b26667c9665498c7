//! The fulmarpond daemon: the threads, listeners and metrics around the decisions of the core.
//!
//! [`Daemon::start`] starts one role from its settings. Each duty has its own thread or threads,
//! joined by bounded rings: the core thread owns the role's state machine, the link runtime carries
//! JSON-RPC, HTTP listeners serve callers or the endpoint, and slot threads run tasks.

mod auth;
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

pub use daemon::Daemon;
pub use error::Error;
pub use logs::init_logs;

/// Result of starting a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

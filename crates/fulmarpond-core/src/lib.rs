//! The decision logic of the fulmarpond dispatcher, free of I/O, clocks and threads.
//!
//! Each role of the daemon is a state machine that implements [`Role`]: it takes the time, an input
//! and a random number generator, and returns typed actions for a driver to execute.

pub mod agent;
pub mod contract;
pub mod entry;
pub mod home;
pub mod link;
pub mod machine;
pub mod policy;
pub mod zone;

pub mod placement;
pub mod retry;
pub mod runner;

mod role;
mod time;

pub use role::Role;
pub use time::Time;

//! A small emulator of the users' platform: its store, its operator and its executors.
//!
//! All of it runs in one thread and speaks the platform's published protocol over sockets. Each
//! executor sends its heartbeats to one address and takes calls at another.

mod executor;
mod platform;
mod store;

pub use executor::ExecutorOptions;
pub use platform::{Emulator, EmulatorOptions, Ledger};

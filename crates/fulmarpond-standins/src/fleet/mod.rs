//! An emulator of the users' platform: its store, operator and executors.
//!
//! The emulator runs on one thread and speaks the platform's published protocol over sockets. Each
//! executor sends heartbeats to one address and receives calls at another.

mod call_fault;
mod executor;
mod platform;
mod run_record;
mod store;

pub use call_fault::{CallEffect, CallFault, CallKind};
pub use executor::ExecutorOptions;
pub use platform::{Emulator, EmulatorOptions, TaskStart};
pub use run_record::RunRecord;

//! Stand-ins for the services that fulmarpond depends on, used in tests and demos.
//!
//! - [`KeyValue`] is the platform's key-value service.
//! - [`Endpoint`] runs tasks, records their starts and announces itself to the agent on its host.
//! - [`Emulator`] emulates the users' platform: its store, operator and executors.
//! - [`Relay`] forwards TCP connections and injects connection faults.
//!
//! Each stand-in runs on threads of the calling process until it is stopped or dropped.

mod endpoint;
mod fleet;
mod key_value;
mod relay;
mod service;
mod workers;

pub use endpoint::{Endpoint, EndpointControl, EndpointLimits, EndpointOptions, LedgerRow};
pub use fleet::{
    CallEffect, CallFault, CallKind, Emulator, EmulatorOptions, ExecutorOptions, RunRecord,
    TaskStart,
};
pub use key_value::{Calls, KeyValue, KeyValueControl};
pub use relay::{Direction, Relay, SessionId};

//! Stand-ins for what surrounds fulmarpond on its platform, used in tests and demos.
//!
//! - [`KeyValue`] is the platform's key-value service.
//! - [`Endpoint`] is an endpoint that runs tasks and announces itself to the agent on its host.
//! - [`Emulator`] is the users' platform: its store, operator and executors.
//! - [`Relay`] forwards TCP connections and injects connection faults.
//!
//! Each stand-in runs in threads of the calling process and ends when it is stopped or dropped.

mod endpoint;
mod fleet;
mod key_value;
mod relay;
mod service;
mod workers;

pub use endpoint::{Endpoint, EndpointControl, EndpointLimits, EndpointOptions, LedgerRow};
pub use fleet::{Emulator, EmulatorOptions, ExecutorOptions, Ledger};
pub use key_value::{Calls, KeyValue, KeyValueControl};
pub use relay::Relay;

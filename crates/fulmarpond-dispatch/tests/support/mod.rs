//! A simulation of the platform in virtual time: callers, entries, agents, endpoints, the key-value
//! store, the advice service and the host service.

#![allow(dead_code, unreachable_pub, reason = "not used by every test file")]

mod accept_queue;
mod advice;
mod attempts;
mod callers;
mod cases;
mod configurations;
mod crash_reports;
mod demand;
mod endpoint;
mod evacuations;
mod faults;
mod gangs;
mod history;
mod hosts;
mod kept_connections;
mod network;
mod options;
mod peer_links;
mod run_times;
mod runs;
mod simulation;
mod stalls;
mod stops;
mod store;
mod store_calls;
mod throttling;
mod trace;
mod transfers;
mod uneven;

#[allow(unused_imports, reason = "not used by every test file")]
pub use accept_queue::Departure;
#[allow(unused_imports, reason = "not used by every test file")]
pub use attempts::{AttemptFault, Sides};
#[allow(unused_imports, reason = "not used by every test file")]
pub use cases::{Regression, proptest_config};
#[allow(unused_imports, reason = "not used by every test file")]
pub use demand::{Demand, Reply};
#[allow(unused_imports, reason = "not used by every test file")]
pub use endpoint::EndpointFault;
#[allow(unused_imports, reason = "not used by every test file")]
pub use options::{EntrySize, Kind, KnownSpeeds, Options};
#[allow(unused_imports, reason = "not used by every test file")]
pub use peer_links::PeerFault;
#[allow(unused_imports, reason = "not used by every test file")]
pub use runs::CRASH_MS;
#[allow(unused_imports, reason = "not used by every test file")]
pub use simulation::{Fault, Simulation, WriterFault};
#[allow(unused_imports, reason = "not used by every test file")]
pub use stalls::{AgentEffect, EntryEffect, Stall};
#[allow(unused_imports, reason = "not used by every test file")]
pub use store::StoreFault;
#[allow(unused_imports, reason = "not used by every test file")]
pub use throttling::Throttle;
#[allow(unused_imports, reason = "not used by every test file")]
pub use trace::with_trace_log;

//! A stand-in of the platform in virtual time: callers, entries, agents and endpoints.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

mod advice;
mod caller;
mod callers;
mod cases;
mod endpoint;
mod faults;
mod gangs;
mod history;
mod hosts;
mod network;
mod options;
mod runs;
mod store;
mod stored;
mod trace;
mod world;

#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use caller::{Demand, Reply};
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use cases::{Regression, schedules};
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use endpoint::Trouble;
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use options::Options;
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use store::StoreTrouble;
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use trace::traced;
pub use world::{Fault, World};

//! The configuration, and how processes pass it on.
//!
//! The operator's value in the platform's store is authoritative. A process that holds a version can
//! give another one only what has changed since the version that the other one holds.

mod advice_policy;
mod change;
#[allow(clippy::module_inception)]
mod configuration;
mod log;
mod request;
mod route;

pub use advice_policy::AdvicePolicy;
pub use change::{ConfigurationChange, RouteKey};
pub use configuration::Configuration;
pub use log::{ConfigurationLog, ConfigurationUpdate, UnknownBase};
pub(crate) use request::PendingRequest;
pub use route::{CallerLimits, Route};

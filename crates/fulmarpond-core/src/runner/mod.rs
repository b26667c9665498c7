//! Execution of tasks in the slots of the local endpoint.

mod batch;
#[allow(clippy::module_inception)]
mod runner;

pub use runner::{Runner, RunnerOptions};

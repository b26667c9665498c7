//! Runs tasks in the slots of the endpoint beside the agent.

mod batch;
#[allow(clippy::module_inception)]
mod runner;

pub use runner::{Runner, RunnerOptions};

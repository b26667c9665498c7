//! Execution of tasks in the slots of the local endpoint.

mod admission;
mod batch;
mod batch_requests;
mod execution;
mod reservations;
#[allow(clippy::module_inception)]
mod runner;

pub use runner::{Runner, RunnerOptions};

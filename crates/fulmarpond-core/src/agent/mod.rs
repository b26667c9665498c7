//! The agent: home of jobs and runner of tasks, with its membership.

mod action;
#[allow(clippy::module_inception)]
mod agent;
mod context;
mod stop;

pub use action::{AgentAction, AgentInput, Count, RunId, RunOutcome};
pub use agent::{Agent, AgentOptions};
pub(crate) use context::Context;

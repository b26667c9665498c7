//! The agent, which combines a home, a runner and the membership in the roster.

mod action;
#[allow(clippy::module_inception)]
mod agent;
mod context;
mod stop;

pub use action::{AgentAction, AgentInput, Count, RunId, RunOutcome};
pub use agent::{Agent, AgentOptions};
pub(crate) use context::Context;

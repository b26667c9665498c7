//! The agent, which combines a home, a runner and the membership in the roster.

mod action;
#[allow(clippy::module_inception)]
mod agent;
mod announcements;
mod context;
mod freshness;
mod local_calls;
mod requests;
mod stop;

pub use action::{AgentAction, AgentInput, Count, RunId, RunOutcome};
pub use agent::{Agent, AgentOptions};
pub(crate) use context::Context;

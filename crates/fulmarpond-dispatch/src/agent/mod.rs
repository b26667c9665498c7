//! The process beside an endpoint: starts tasks there and holds their lease.

mod action;
#[allow(clippy::module_inception)]
mod agent;
mod endpoint;
mod endpoint_call;
mod health;
mod held;
mod links;
mod queue;
mod run;

pub use action::{Action, CallNo};
pub use agent::{Agent, AgentOptions};
pub use endpoint_call::{
    CallFailure, EndEntry, EndHow, EndpointCall, EndpointReply, RunEntry, StartRefusal,
};

//! The core thread, which owns the state machine of a role and performs its actions.

mod agent_driver;
mod core_thread;
mod entry_driver;
mod links;

pub(crate) use agent_driver::{AgentDriver, AgentStatus};
pub(crate) use core_thread::{Driver, Flow, run_core};
pub(crate) use entry_driver::{EntryDriver, EntryView};
pub(crate) use links::Links;

//! The core thread: it owns a role and carries out its actions.

mod agent_driver;
mod core_thread;
mod entry_driver;
mod links;

pub(crate) use agent_driver::{AgentDriver, AgentView};
pub(crate) use core_thread::{Driver, Flow, run};
pub(crate) use entry_driver::{EntryDriver, EntryView};
pub(crate) use links::Links;

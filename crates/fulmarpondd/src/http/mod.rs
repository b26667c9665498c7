//! The HTTP interfaces of entries and agents.

mod agent_api;
mod body;
mod entry_api;
mod render;
mod reply;

pub(crate) use agent_api::AgentApi;
pub(crate) use entry_api::EntryApi;
pub(crate) use reply::Reply;

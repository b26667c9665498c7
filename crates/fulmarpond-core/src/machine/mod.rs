//! Agents and the endpoints beside them.

mod agent_id;
mod load;

pub use agent_id::AgentId;
pub use load::Load;

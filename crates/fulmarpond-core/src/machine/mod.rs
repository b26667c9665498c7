//! Agents and the endpoints on their hosts: identity, registration, load, health and run times.

mod agent_id;
mod health;
mod load;
#[allow(clippy::module_inception)]
mod machine;
mod observed;
mod registration;

pub use agent_id::AgentId;
pub use health::Health;
pub use load::Load;
pub use machine::Machine;
pub use observed::Observed;
pub use registration::Registration;

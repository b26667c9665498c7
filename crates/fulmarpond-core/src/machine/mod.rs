//! Agents and the endpoints on their hosts: identity, registration, load, health and run times.

mod agent_id;
mod agent_view;
mod health;
mod load;
mod observed_run_times;
mod registration;

pub use agent_id::AgentId;
pub use agent_view::AgentView;
pub use health::Health;
pub use load::Load;
pub use observed_run_times::ObservedRunTimes;
pub use registration::Registration;

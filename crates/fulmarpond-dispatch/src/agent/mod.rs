//! The agent: the process that runs beside an endpoint, starts tasks there and renews their lease.

mod action;
#[allow(clippy::module_inception)]
mod agent;
mod checks;
mod class_room;
mod configuration_holder;
mod crashes;
mod endpoint;
mod endpoint_call;
mod endpoint_calls;
mod endpoint_lists;
mod health;
mod incarnation;
mod lasting_speed;
mod links;
mod listed_ends;
mod orders;
mod orphaned_runs;
mod preemption;
mod queue;
mod queued_starts;
mod recent_stops;
mod reply_ages;
mod reply_times;
mod reports;
mod run;
mod run_lease;
mod run_memory;
mod shares;
mod speed;
mod starts_and_stops;
mod task_ends;
mod turns;
mod unacknowledged_ends;
mod zone_evacuation;

pub use action::{Action, CallNo};
pub use agent::{Agent, AgentOptions};
pub use class_room::ClassRoom;
pub use endpoint_call::{
    CallFailure, EndEntry, EndReason, EndpointCall, EndpointReply, RunEntry, StartRefusal,
};
pub use recent_stops::RecentStops;

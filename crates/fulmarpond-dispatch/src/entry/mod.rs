//! The entry: accepts jobs from callers, places their tasks on agents and answers the callers.

mod action;
mod admission;
mod advice;
mod agent_selection;
mod agents;
mod attempt_exchange;
mod attempts;
mod configuration_exchange;
mod crash_ages;
mod crash_log;
mod crashes;
mod drains;
mod durable_ends;
mod durable_jobs;
mod endpoint_speeds;
#[allow(clippy::module_inception)]
mod entry;
mod estimates;
mod evacuation;
mod expected_wait;
mod fleet;
mod gangs;
mod held_requests;
mod job;
mod job_memory;
mod ledger_events;
mod long_running;
mod peers;
mod quarantine;
mod queueing;
mod sent_work;
mod series;
mod simultaneous_crashes;
mod submission;
mod task_placement;
mod task_results;
mod waiting_jobs;
mod workload;
mod zone_evacuation;
mod zone_return;

pub use action::{Action, Answer, Arrival, RequestNo};
pub use advice::{AdviceFailure, Allowed, StepKey};
pub use durable_jobs::JobStatus;
pub use endpoint_speeds::KnownSpeed;
pub use entry::{Entry, EntryOptions};
pub use submission::{Repeat, Step, Submission};

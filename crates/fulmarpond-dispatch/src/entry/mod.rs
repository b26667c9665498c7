//! The process that callers talk to: holds their jobs and places the tasks.

mod action;
mod admission;
mod advice;
mod agents;
mod configuration;
mod drains;
#[allow(clippy::module_inception)]
mod entry;
mod estimates;
mod evacuation;
mod fleet;
mod gangs;
mod job;
mod kept;
mod kept_ends;
mod kept_events;
mod long_running;
mod placement;
mod placing;
mod series;
mod submission;

pub use action::{Action, Answer, RequestNo};
pub use advice::{AdviceFailure, AdvicePolicy, Allowed, StepKey};
pub use configuration::{CallerLimits, Configuration, Route};
pub use entry::{Entry, EntryOptions};
pub use kept::JobStatus;
pub use submission::{Repeat, Step, Submission};

//! The process that callers talk to: holds their jobs and places the tasks.

mod action;
mod admission;
mod agents;
mod configuration;
#[allow(clippy::module_inception)]
mod entry;
mod estimates;
mod fleet;
mod gangs;
mod job;
mod kept;
mod placement;
mod placing;
mod submission;

pub use action::{Action, Answer, RequestNo};
pub use configuration::{CallerLimits, Configuration, Route};
pub use entry::{Entry, EntryOptions};
pub use kept::JobStatus;
pub use submission::{Step, Submission};

//! Jobs that are kept in the platform's store.
//!
//! Each job has two items: what was submitted, which never changes, and its state, which names the
//! entry that owns the job. Every change of a state is conditional on its revision, so of two
//! entries only one can own a job, and an owner that was replaced learns it with its next change.

mod commits;
#[allow(clippy::module_inception)]
mod ledger;
mod lookups;
mod record;
mod takeover;
mod writing;

pub use ledger::{Event, Ledger, LedgerOptions};
pub use record::{JobSpec, JobState, Owner, Status, StepProgress};

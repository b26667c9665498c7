//! Jobs that are persisted in the platform's key-value store.
//!
//! Each job has two items: its specification, which is immutable, and its state, which names the
//! entry that owns the job. Every write of a state is a compare-and-swap on its revision, so at
//! most one entry owns a job, and the next write of a former owner fails with a conflict.

mod cache;
mod commit_calls;
mod commit_queue;
mod confirmation;
#[allow(clippy::module_inception)]
mod ledger;
mod lookups;
mod record;
mod takeover;

pub use ledger::{Event, Ledger, LedgerOptions};
pub use record::{FailedRun, JobSpec, JobState, Owner, Status, StepProgress};

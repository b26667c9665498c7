//! The home of a job: deduplication, sealing, task placement and answers.

mod admission;
mod completion;
mod fleet;
mod handover;
#[allow(clippy::module_inception)]
mod home;
mod job;
mod placement;
mod queries;
mod reports;
mod sealing;
mod tombstones;

pub use home::{Home, HomeOptions, ROSTER_FRESH_MS};

//! The home of jobs: deduplication, seals, placement and answers.

mod callers;
mod fleet;
#[allow(clippy::module_inception)]
mod home;
mod job;
mod memory;
mod placing;
mod reports;
mod sealing;

pub use home::{FRESH_MS, Home, HomeOptions};

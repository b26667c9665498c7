//! Retries: causes, budget and backoff.

mod backoff;
mod budget;
mod cause;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use cause::RetryCause;

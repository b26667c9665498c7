//! Retries: their causes, their budget and their delay.

mod backoff;
mod budget;
mod cause;

pub use backoff::Backoff;
pub use budget::Budget;
pub use cause::RetryCause;

//! Open-loop load generator and its measurements.
//!
//! Arrivals follow a seeded schedule that does not depend on replies, so that a slow system does
//! not reduce the offered load. Response times are measured from the scheduled arrival.

mod arrivals;
mod ledger;
mod profile;
mod quantiles;
mod recorder;
mod report;
pub(crate) mod runner;
mod scrape;
mod shape;
mod span;

pub use arrivals::{Arrivals, PlannedJob};
pub use ledger::{Ledger, LedgerCheck, Start};
pub use profile::{Burst, Profile};
pub use quantiles::Quantiles;
pub use recorder::{Outcome, Recorder, VerdictCount};
pub use report::{Clients, Report};
pub use scrape::{Counters, Messages};
pub use shape::{Distribution, Shape};
pub use span::{Span, SpanError};

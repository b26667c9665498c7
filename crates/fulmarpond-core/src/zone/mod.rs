//! Availability zones and the roster of agents that may be home of a job.

mod member;
mod roster;
#[allow(clippy::module_inception)]
mod zone;

pub use member::Member;
pub use roster::{Delta, Roster};
pub use zone::Zone;

/// The number of agents that may be home of a job under one roster version.
pub const CANDIDATES: usize = 3;

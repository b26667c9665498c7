//! Availability zones and the roster, the versioned list of agents.

mod member;
mod roster;
#[allow(clippy::module_inception)]
mod zone;

pub use member::Member;
pub use roster::{Delta, Roster};
pub use zone::Zone;

/// The number of agents that may be the home of a job in one roster version.
pub const CANDIDATES: usize = 3;

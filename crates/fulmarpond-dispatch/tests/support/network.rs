//! Links between entries and agents.

use fulmarpond_core::Time;

/// A link from an agent to an entry.
#[derive(Debug)]
pub struct Link {
    pub agent: usize,
    pub entry: usize,
    pub is_open: bool,
    /// Whether frames are dropped without either side noticing.
    pub is_silent: bool,
    /// Arrival time of the last frame to the entry and of the last frame to the agent.
    pub last_arrival: [Time; 2],
}

//! Links between entries and agents.

use fulmarpond_core::Time;

/// A link of the stand-in.
#[derive(Debug)]
pub struct Link {
    pub agent: usize,
    pub entry: usize,
    pub open: bool,
    /// Whether frames are dropped without a trace.
    pub silent: bool,
    /// When the last frame in each direction arrives: to the entry, to the agent.
    pub last: [Time; 2],
}

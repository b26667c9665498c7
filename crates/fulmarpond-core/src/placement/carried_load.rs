//! Placement by the load reported on replies.

use rand::{Rng, RngExt};

use super::{Choice, Placement};

/// Chooses the agent with the most free slots and prefers agents in the zone of the home.
///
/// Returns `None` if no agent has a free slot by the latest reports, so that the task waits at the
/// home and is bound to an agent late. Ties are broken at random: homes with the same load reports
/// would otherwise all choose the same agent.
#[derive(Debug, Clone, Copy, Default)]
pub struct CarriedLoad;

impl Placement for CarriedLoad {
    fn choose<R: Rng>(&self, choices: &[Choice], rng: &mut R) -> Option<usize> {
        choices
            .iter()
            .enumerate()
            .filter(|(_, choice)| choice.free > 0)
            .max_by_key(|(_, choice)| (choice.near, choice.free, rng.random::<u32>()))
            .map(|(index, _)| index)
    }
}

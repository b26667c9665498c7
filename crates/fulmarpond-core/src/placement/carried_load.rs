//! Placement by the load that replies carry.

use rand::{Rng, RngExt};

use super::{Choice, Placement};

/// Chooses the agent with the most free slots, in the own zone first.
///
/// Returns `None` while no slot is believed free, so that the task waits at the home and is bound
/// late. Ties are broken at random, since homes that share one view would otherwise all choose the
/// same agent.
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

//! Placement by the load reported on replies.

use rand::{Rng, RngExt};

use super::{Candidate, Placement};

/// Chooses the agent with the most free slots and prefers agents in the zone of the home.
///
/// Returns `None` if no agent has a free slot by the latest reports, so that the task waits at the
/// home and is bound to an agent late. Ties are broken at random: homes with the same load reports
/// would otherwise all choose the same agent.
#[derive(Debug, Clone, Copy, Default)]
pub struct CarriedLoad;

impl Placement for CarriedLoad {
    fn choose<R: Rng>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.free_slots > 0)
            .max_by_key(|(_, candidate)| {
                (
                    candidate.is_same_zone,
                    candidate.free_slots,
                    rng.random::<u32>(),
                )
            })
            .map(|(index, _)| index)
    }
}

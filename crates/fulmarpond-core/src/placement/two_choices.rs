//! Placement by the power of two choices.

use rand::{Rng, RngExt};

use super::{Candidate, Placement};

/// Chooses the less loaded of two random agents (Mitzenmacher, "The power of two choices").
///
/// Returns `None` if that agent has no free slot and its queue is full.
#[derive(Debug, Clone, Copy)]
pub struct TwoChoices {
    /// The maximum length of an agent's queue.
    pub max_queued_tasks: u32,
}

impl Placement for TwoChoices {
    fn choose<R: Rng>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let better = if candidates[second].pressure() < candidates[first].pressure() {
            second
        } else {
            first
        };
        let full = candidates[better].free_slots == 0
            && candidates[better].queued_tasks >= self.max_queued_tasks;
        (!full).then_some(better)
    }
}

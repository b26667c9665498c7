//! Placement by the power of two choices.

use rand::{Rng, RngExt};

use super::{Choice, Placement};

/// Chooses the less loaded of two random agents (Mitzenmacher, "The power of two choices").
///
/// Returns `None` if that agent has no free slot and its queue is full.
#[derive(Debug, Clone, Copy)]
pub struct TwoChoices {
    /// The maximum length of an agent's queue.
    pub queue_max: u32,
}

impl Placement for TwoChoices {
    fn choose<R: Rng>(&self, choices: &[Choice], rng: &mut R) -> Option<usize> {
        if choices.is_empty() {
            return None;
        }
        let first = rng.random_range(0..choices.len());
        let second = rng.random_range(0..choices.len());
        let better = if choices[second].pressure() < choices[first].pressure() {
            second
        } else {
            first
        };
        let full = choices[better].free == 0 && choices[better].queued >= self.queue_max;
        (!full).then_some(better)
    }
}

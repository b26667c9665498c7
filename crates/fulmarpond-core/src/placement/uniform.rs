//! Placement without load information.

use rand::{Rng, RngExt};

use super::{Choice, Placement};

/// Chooses an agent uniformly at random. This is the baseline for comparing placement policies.
#[derive(Debug, Clone, Copy, Default)]
pub struct Uniform;

impl Placement for Uniform {
    fn choose<R: Rng>(&self, choices: &[Choice], rng: &mut R) -> Option<usize> {
        if choices.is_empty() {
            return None;
        }
        Some(rng.random_range(0..choices.len()))
    }
}

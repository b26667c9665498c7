//! Placement without load information.

use rand::{Rng, RngExt};

use super::{Choice, Placement};

/// Chooses uniformly at random. The baseline that other placements are measured against.
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

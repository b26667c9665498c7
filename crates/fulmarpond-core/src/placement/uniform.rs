//! Placement without load information.

use rand::{Rng, RngExt};

use super::{Candidate, Placement};

/// Chooses an agent uniformly at random. This is the baseline for comparing placement policies.
#[derive(Debug, Clone, Copy, Default)]
pub struct Uniform;

impl Placement for Uniform {
    fn choose<R: Rng>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(rng.random_range(0..candidates.len()))
    }
}

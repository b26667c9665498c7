//! Placement policies, which choose an agent for a waiting task.

mod candidate;
mod carried_load;
mod two_choices;
mod uniform;

pub use candidate::Candidate;
pub use carried_load::CarriedLoad;
pub use two_choices::TwoChoices;
pub use uniform::Uniform;

use rand::Rng;

/// A policy that chooses an agent for one waiting task.
pub trait Placement {
    /// Returns the index of the chosen agent, or `None` if the task should wait.
    fn choose<R: Rng>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize>;
}

//! The seam between the decisions of a role and the driver that carries them out.

use rand::Rng;

use crate::Time;

/// A role of the daemon as a state machine.
///
/// The driver calls [`step`](Role::step) for each input and carries out the appended actions in
/// order. A role reads no clock, opens no socket and starts no thread, so any driver that delivers
/// inputs may run it: the daemon's threads, a test, or a test bench.
pub trait Role {
    /// What a driver delivers.
    type Input;
    /// What a driver carries out.
    type Action;

    /// Handles one input at the time `now` and appends the resulting actions to `actions`.
    ///
    /// `now` never decreases from one call to the next.
    fn step<R: Rng>(
        &mut self,
        now: Time,
        input: Self::Input,
        rng: &mut R,
        actions: &mut Vec<Self::Action>,
    );

    /// Returns the time at which the role wants its next tick, if any.
    fn wake(&self) -> Option<Time>;
}

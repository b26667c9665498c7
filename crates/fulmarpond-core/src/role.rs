//! The interface between the decision logic of a role and the driver that executes its actions.

use rand::Rng;

use crate::Time;

/// A role of the daemon as a state machine.
///
/// The driver calls [`step`](Role::step) for each input and executes the appended actions in order.
/// A role reads no clock, opens no socket and starts no thread, so any driver that delivers inputs
/// can run it: the daemon's threads, a test or a benchmark.
pub trait Role {
    /// The inputs that the driver delivers.
    type Input;
    /// The actions that the driver executes.
    type Action;

    /// Handles one input at the time `now` and appends the resulting actions to `actions`.
    ///
    /// `now` must not decrease from one call to the next.
    fn step<R: Rng>(
        &mut self,
        now: Time,
        input: Self::Input,
        rng: &mut R,
        actions: &mut Vec<Self::Action>,
    );

    /// Returns the time at which the role needs its next tick, or `None` if no timer is pending.
    fn next_wake(&self) -> Option<Time>;
}

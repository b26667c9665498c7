//! The loop of the core thread.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use fulmarpond_core::{Role, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::clock::Clock;

/// The longest wait for an input.
const WAIT_MAX: Duration = Duration::from_millis(500);
/// Milliseconds between two publications of the role's state.
const PUBLISH_MS: u64 = 100;

/// Whether the loop goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flow {
    /// It goes on.
    Continue,
    /// The role has stopped.
    Stop,
}

/// Carries out the actions of a role.
pub(crate) trait Driver {
    /// The role.
    type Role: Role;

    /// Returns the input that tells the role that its wake time has come.
    fn tick() -> <Self::Role as Role>::Input;

    /// Carries out one action.
    fn perform(&mut self, action: <Self::Role as Role>::Action) -> Flow;

    /// Makes the state of the role visible to other threads.
    fn publish(&self, role: &Self::Role, now: Time);
}

/// Runs a role until it has stopped or all senders of the ring are gone.
pub(crate) fn run<D: Driver>(
    mut role: D::Role,
    mut driver: D,
    inputs: &Receiver<<D::Role as Role>::Input>,
    clock: Clock,
) {
    let mut rng = Pcg64::seed_from_u64(rand::random());
    let mut actions = Vec::new();
    let mut published = Time::default();
    loop {
        let now = clock.now();
        let due = role.wake().is_some_and(|wake| now >= wake);
        let input = if due {
            D::tick()
        } else {
            let wait = role
                .wake()
                .map_or(WAIT_MAX, |wake| clock.until(wake).min(WAIT_MAX));
            match inputs.recv_timeout(wait) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => D::tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        };
        role.step(clock.now(), input, &mut rng, &mut actions);
        for action in actions.drain(..) {
            if driver.perform(action) == Flow::Stop {
                driver.publish(&role, clock.now());
                return;
            }
        }
        if now.millis_since(published) >= PUBLISH_MS {
            published = now;
            driver.publish(&role, now);
        }
    }
}

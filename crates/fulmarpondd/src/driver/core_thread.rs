//! The event loop of the core thread.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use fulmarpond_core::{Role, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::clock::Clock;

/// Longest wait for an input.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Interval at which the state of the role is published.
const PUBLISH_INTERVAL_MS: u64 = 100;

/// Whether the event loop continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flow {
    /// The loop continues.
    Continue,
    /// The role has stopped, so the loop ends.
    Stop,
}

/// Performs the actions of a role.
pub(crate) trait Driver {
    /// The state machine to drive.
    type Role: Role;

    /// Returns the input that notifies the role that its wake time has passed.
    fn tick_input() -> <Self::Role as Role>::Input;

    /// Performs one action.
    fn perform(&mut self, action: <Self::Role as Role>::Action) -> Flow;

    /// Publishes the state of the role to other threads.
    fn publish(&self, role: &Self::Role, now: Time);
}

/// Runs a role until it stops or all senders of the ring are dropped.
pub(crate) fn run_core<D: Driver>(
    mut role: D::Role,
    mut driver: D,
    inputs: &Receiver<<D::Role as Role>::Input>,
    clock: Clock,
) {
    let mut rng = Pcg64::seed_from_u64(rand::random());
    let mut actions = Vec::new();
    let mut last_published = Time::default();
    loop {
        let now = clock.now();
        let is_due = role.next_wake().is_some_and(|wake| now >= wake);
        let input = if is_due {
            D::tick_input()
        } else {
            let wait = role
                .next_wake()
                .map_or(MAX_WAIT, |wake| clock.until(wake).min(MAX_WAIT));
            match inputs.recv_timeout(wait) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => D::tick_input(),
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
        if now.millis_since(last_published) >= PUBLISH_INTERVAL_MS {
            last_published = now;
            driver.publish(&role, now);
        }
    }
}

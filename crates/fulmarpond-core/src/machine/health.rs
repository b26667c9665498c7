//! Passive health of an endpoint, from the outcomes of its tasks.

use rand::{Rng, RngExt};

use crate::Time;

/// The shortest ejection in milliseconds.
const EJECT_MS: u64 = 1_000;
/// The longest ejection in milliseconds.
const EJECT_MAX_MS: u64 = 60_000;

/// Passive health of an endpoint, from the outcomes of its tasks.
///
/// After a number of consecutive failures the endpoint is ejected for a time that doubles with each
/// ejection and is jittered. Afterwards one real task at a time probes it until one succeeds.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Time>,
}

impl Health {
    /// Records the outcome of a task. Returns whether this ejected the endpoint.
    pub fn record<R: Rng>(&mut self, now: Time, ok: bool, limit: u32, rng: &mut R) -> bool {
        if ok {
            *self = Self::default();
            return false;
        }
        self.failures = self.failures.saturating_add(1);
        let probing = self.until.is_some_and(|until| now >= until);
        let due = self.until.is_none() && self.failures >= limit.max(1);
        if !due && !probing {
            return false;
        }
        let base = EJECT_MS
            .saturating_mul(1 << self.ejections.min(16))
            .min(EJECT_MAX_MS);
        self.ejections += 1;
        self.until = Some(now.after_millis(base / 2 + rng.random_range(0..=base / 2)));
        true
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint takes one task at a time until one succeeds.
    pub fn is_probing(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now >= until)
    }
}

//! Passive health checking of an endpoint, based on the outcomes of its tasks.

use rand::{Rng, RngExt};

use crate::Time;

/// The maximum duration of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The maximum duration of any ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 60_000;

/// The health of an endpoint, derived from the outcomes of its tasks.
///
/// After a number of consecutive failures the endpoint is ejected. The maximum duration doubles
/// with each consecutive ejection up to a limit, and jitter shortens it by up to half. Afterwards
/// the endpoint is probed with one real task at a time until one succeeds; a failed probe ejects it
/// again.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Records the outcome of a task. Returns whether it caused an ejection.
    ///
    /// `failure_limit` is the number of consecutive failures that leads to an ejection; 0 counts as
    /// 1.
    pub fn record<R: Rng>(
        &mut self,
        now: Time,
        succeeded: bool,
        failure_limit: u32,
        rng: &mut R,
    ) -> bool {
        if succeeded {
            *self = Self::default();
            return false;
        }
        self.failures = self.failures.saturating_add(1);
        let is_probing = self.ejected_until.is_some_and(|until| now >= until);
        let is_limit_reached =
            self.ejected_until.is_none() && self.failures >= failure_limit.max(1);
        if !is_limit_reached && !is_probing {
            return false;
        }
        let max_ms = FIRST_EJECTION_MS
            .saturating_mul(1 << self.ejections.min(16))
            .min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = Some(now.after_millis(max_ms / 2 + rng.random_range(0..=max_ms / 2)));
        true
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint is probed, so that it gets only one task at a time.
    pub fn is_probing(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }
}

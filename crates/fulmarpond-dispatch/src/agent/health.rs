//! How well an endpoint runs its tasks.

use fulmarpond_core::Time;

/// The weight of the newest run time.
const SPEED_WEIGHT: f64 = 0.15;

/// The weight of the newest success or failure.
const FAILURE_WEIGHT: f64 = 0.2;

/// After this time without news, half of what is known against an endpoint is forgotten, so that
/// it is tried again.
const HALF_LIFE_MS: u64 = 2_500;

/// The most that a single run counts as slow.
const MAX_RATIO: f64 = 20.0;

/// Observed run times and failures of an endpoint.
#[derive(Debug)]
pub(super) struct Health {
    slowness: f64,
    failures: f64,
    decayed: Time,
}

impl Health {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            decayed: now,
        }
    }

    pub(super) fn done(&mut self, elapsed: u64, expected: u32) {
        let ratio = elapsed as f64 / f64::from(expected.max(1));
        self.see_ratio(ratio.min(MAX_RATIO));
        self.failures *= 1.0 - FAILURE_WEIGHT;
    }

    pub(super) fn failed(&mut self) {
        self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
    }

    /// Counts a run that is still going after `elapsed` milliseconds, if that is slower than what
    /// is known.
    pub(super) fn overdue(&mut self, elapsed: u64, expected: u32) {
        let ratio = (elapsed as f64 / f64::from(expected.max(1))).min(MAX_RATIO);
        if ratio > self.slowness {
            self.see_ratio(ratio);
        }
    }

    pub(super) fn decay(&mut self, now: Time) {
        while now.millis_since(self.decayed) >= HALF_LIFE_MS {
            self.decayed = self.decayed.after_millis(HALF_LIFE_MS);
            self.slowness = 1.0 + (self.slowness - 1.0) / 2.0;
            self.failures /= 2.0;
        }
    }

    /// Returns observed over expected run time, in percent.
    pub(super) fn slowness_percent(&self) -> u32 {
        (self.slowness * 100.0) as u32
    }

    /// Returns the share of recent runs that failed, in percent.
    pub(super) fn failure_percent(&self) -> u32 {
        (self.failures * 100.0) as u32
    }

    fn see_ratio(&mut self, ratio: f64) {
        self.slowness += (ratio - self.slowness) * SPEED_WEIGHT;
    }
}

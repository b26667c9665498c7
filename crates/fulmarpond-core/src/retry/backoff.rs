//! Delays between retries.

use rand::{Rng, RngExt};

/// Exponential backoff with jitter over the upper half of each delay.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base_ms: u64,
    max_ms: u64,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `base_ms`, doubles with each retry and is capped at
    /// `max_ms`.
    pub const fn new(base_ms: u64, max_ms: u64) -> Self {
        Self { base_ms, max_ms }
    }

    /// Returns the delay in milliseconds before retry number `retry`, counted from 0.
    ///
    /// The delay is at least half of its bound, so that no retry follows immediately.
    pub fn delay_ms<R: Rng>(&self, retry: u32, rng: &mut R) -> u64 {
        let bound = self
            .base_ms
            .saturating_mul(1 << retry.min(20))
            .min(self.max_ms);
        bound / 2 + rng.random_range(0..=bound.div_ceil(2))
    }
}

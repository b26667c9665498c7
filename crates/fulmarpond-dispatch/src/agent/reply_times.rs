//! The reply times of an endpoint, from which the timeouts of calls follow.

/// The weight of a new sample in the mean and in the deviation, as in the retransmission timer of
/// TCP (RFC 6298).
const WEIGHTS: (f64, f64) = (0.125, 0.25);

/// The number of deviations above the mean at which a call times out (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// How often the timeout is doubled at most.
const MAX_DOUBLINGS: u32 = 2;

/// The maximum timeout, in milliseconds. A later reply would leave too little time to run the task
/// elsewhere.
const MAX_TIMEOUT_MS: u64 = 120;

/// Moving averages of the times from a call to its reply.
#[derive(Debug, Default)]
pub(super) struct ReplyTimes {
    /// The mean and the mean deviation, in milliseconds; `None` before the first reply.
    estimate: Option<(f64, f64)>,
    /// The number of consecutive calls without a reply.
    misses: u32,
}

impl ReplyTimes {
    /// Adds the time of a call that was answered, in milliseconds.
    pub(super) fn observe(&mut self, elapsed_ms: u64) {
        let sample = elapsed_ms as f64;
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => (
                mean + (sample - mean) * WEIGHTS.0,
                deviation + ((sample - mean).abs() - deviation) * WEIGHTS.1,
            ),
        });
    }

    /// Ends a series of calls without a reply.
    pub(super) const fn record_reply(&mut self) {
        self.misses = 0;
    }

    /// Counts a call without a reply.
    pub(super) const fn record_miss(&mut self) {
        self.misses = self.misses.saturating_add(1);
    }

    /// Returns the number of consecutive calls without a reply.
    pub(super) const fn misses(&self) -> u32 {
        self.misses
    }

    /// Returns the time within which replies usually arrive, in milliseconds: at least `min_ms`.
    pub(super) fn usual_ms(&self, min_ms: u64) -> u64 {
        let (mean, deviation) = self.estimate.unwrap_or_default();
        let usual_ms = (mean + DEVIATIONS * deviation) as u64;
        usual_ms.max(min_ms)
    }

    /// Returns the time to wait for a reply, in milliseconds: at least `min_ms`, and twice as long
    /// with each further call without a reply. A single missing reply may be lost rather than late.
    pub(super) fn timeout_ms(&self, min_ms: u64) -> u64 {
        let doublings = self.misses.saturating_sub(1).min(MAX_DOUBLINGS);
        let timeout_ms = self.usual_ms(min_ms) << doublings;
        timeout_ms.min(MAX_TIMEOUT_MS)
    }
}

//! An estimate of the clock of another process.

use fulmarpond_core::Time;

use crate::LeaseTimes;

/// An estimate of another process's clock that is never ahead of it.
///
/// The estimate lags behind by the time that the reading took to arrive, and by the most that the
/// other clock may be slow since. A lease that is set to expire at a time computed from the estimate
/// therefore never lasts longer than intended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemoteClock {
    reading: Option<(i64, Time)>,
}

impl RemoteClock {
    /// Updates the estimate with a reading, in milliseconds, that arrived at `now`.
    pub fn observe(&mut self, reading_ms: i64, now: Time) {
        let is_ahead = self.at(now).is_none_or(|estimate| reading_ms > estimate);
        let is_stale = self
            .reading
            .is_some_and(|(_, at)| now.millis_since(at) > Self::MAX_AGE_MS);
        if is_ahead || is_stale {
            self.reading = Some((reading_ms, now));
        }
    }

    /// The age of a reading after which a lower one replaces it: the other clock may be slower than
    /// is allowed for.
    const MAX_AGE_MS: u64 = 1_000;

    /// Returns the age of the reading at `now`, in milliseconds; 0 before the first one.
    pub fn age_ms(&self, now: Time) -> u64 {
        self.reading.map_or(0, |(_, taken)| now.millis_since(taken))
    }

    /// Returns the estimated reading at `now`, in milliseconds, or `None` before the first one.
    pub fn at(&self, now: Time) -> Option<i64> {
        let (reading, taken) = self.reading?;
        let slowest = now.millis_since(taken) * (100 - LeaseTimes::MAX_DRIFT_PERCENT) / 100;
        let elapsed = i64::try_from(slowest).unwrap_or(i64::MAX);
        Some(reading.saturating_add(elapsed))
    }
}

//! The clock of an endpoint, as estimated here.

use fulmarpond_core::Time;

/// An estimate of another process's clock that is never ahead of it, but for drift.
///
/// A reading is as old as its reply, so the estimate lags by the time that the reply took. A lease
/// that ends at a time of the estimate therefore never lasts longer than intended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemoteClock {
    reading: Option<(i64, Time)>,
}

impl RemoteClock {
    /// Takes a reading, in milliseconds, that arrived at `now`.
    pub fn observe(&mut self, reading_ms: i64, now: Time) {
        let newer = self.at(now).is_none_or(|estimate| reading_ms > estimate);
        let stale = self
            .reading
            .is_some_and(|(_, at)| now.millis_since(at) > Self::MAX_AGE_MS);
        if newer || stale {
            self.reading = Some((reading_ms, now));
        }
    }

    /// After this age a lower reading replaces the estimate, since drift may have put it ahead.
    const MAX_AGE_MS: u64 = 1_000;

    /// Returns the estimated reading at `now`, in milliseconds, or `None` before the first one.
    pub fn at(&self, now: Time) -> Option<i64> {
        let (reading, taken) = self.reading?;
        let elapsed = i64::try_from(now.millis_since(taken)).unwrap_or(i64::MAX);
        Some(reading.saturating_add(elapsed))
    }
}

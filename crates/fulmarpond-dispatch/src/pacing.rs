//! Pacing of repeated calls, with exponential backoff.

use fulmarpond_core::Time;

/// Schedules calls of which at most one is in flight, and backs off after failures.
#[derive(Debug)]
pub(crate) struct Pacing {
    /// Whether a call is in flight.
    pub(crate) in_flight: bool,
    /// When the next call may be made.
    pub(crate) due: Time,
    /// The backoff after the next failure, in milliseconds.
    next_backoff_ms: u64,
    /// The first and the longest backoff, in milliseconds.
    backoff_ms: (u64, u64),
}

impl Pacing {
    pub(crate) const fn new(backoff_ms: (u64, u64), now: Time) -> Self {
        Self {
            in_flight: false,
            due: now,
            next_backoff_ms: backoff_ms.0,
            backoff_ms,
        }
    }

    /// Schedules the next call after the backoff, which doubles with each consecutive failure.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.due = now.after_millis(self.next_backoff_ms);
        self.next_backoff_ms = (self.next_backoff_ms * 2).min(self.backoff_ms.1);
    }

    /// Schedules the next call and resets the backoff.
    pub(crate) const fn record_success(&mut self, due: Time) {
        self.due = due;
        self.next_backoff_ms = self.backoff_ms.0;
    }

    /// Returns whether the last call failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.next_backoff_ms > self.backoff_ms.0
    }

    /// Returns when the next call is due, or [`Time::MAX`] while one is in flight.
    pub(crate) const fn next_wake(&self) -> Time {
        if self.in_flight { Time::MAX } else { self.due }
    }
}

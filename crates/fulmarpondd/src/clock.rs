//! The monotonic clock of a process.

use std::time::{Duration, Instant};

use fulmarpond_core::Time;

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock. The origin lies one second in the past, so that the current time is never
    /// 0.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let origin = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        Self { origin }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// Returns the duration from now until `time`, or zero if `time` has passed.
    pub(crate) fn until(&self, time: Time) -> Duration {
        Duration::from_micros(time.micros_since(self.now()))
    }
}

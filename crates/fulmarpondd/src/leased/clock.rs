//! The clock of a process in leased mode.

use std::time::{Duration, Instant};

use fulmarpond_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// A clock that also counts the time during which the host is suspended.
///
/// A lease of a process that slept has run out for everybody else, so the process must see it too.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BootClock;

impl BootClock {
    /// Returns the present time.
    pub(super) fn now() -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
        Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Returns the instant that corresponds to a time, given the present one.
    pub(super) fn instant(time: Time, now: Time) -> Instant {
        let wait = time.micros_since(now).min(Self::LONGEST_WAIT_US);
        Instant::now() + Duration::from_micros(wait)
    }

    /// The longest wait for events, in microseconds: a signal may arrive just before a wait.
    const LONGEST_WAIT_US: u64 = 100_000;
}

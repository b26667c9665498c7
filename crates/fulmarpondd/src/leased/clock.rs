//! The clock of a process in leased mode.

use std::time::{Duration, Instant};

use fulmarpond_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// A clock that also counts the time during which the host is suspended.
///
/// While a host is suspended, the leases of its processes expire for all other processes. The clock
/// makes sure that they expire for the suspended processes as well.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub(super) fn now() -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
        Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Converts a time to an instant at most [`Self::MAX_WAIT_US`] from now.
    pub(super) fn to_instant(time: Time, now: Time) -> Instant {
        let wait_us = time.micros_since(now).min(Self::MAX_WAIT_US);
        Instant::now() + Duration::from_micros(wait_us)
    }

    /// The longest wait for events, in microseconds.
    ///
    /// A signal that arrives just before a wait does not interrupt it, so this limits the delay
    /// until the signal is handled.
    const MAX_WAIT_US: u64 = 100_000;
}

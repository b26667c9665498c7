//! Points in time on a process-local monotonic clock.

use std::ops::Add;
use std::time::Duration;

use fulmarpond_derive::value;

/// A point in time, in microseconds since an origin that the driver chooses.
///
/// Times of two processes are not comparable, so messages carry the remaining time instead.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::Time;
///
/// let deadline = Time::from_millis(10).after_millis(5);
/// assert_eq!(deadline.remaining_millis(Time::from_millis(12)), 3);
/// ```
#[value]
#[derive(Default)]
pub struct Time(u64);

impl Time {
    /// The latest time that can be represented.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time that is `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time that is `millis` milliseconds after the origin, or [`Time::MAX`] on
    /// overflow.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time that is `millis` milliseconds later, or [`Time::MAX`] on overflow.
    #[must_use]
    pub const fn after_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis.saturating_mul(1_000)))
    }

    /// Returns the time that is `micros` microseconds later, or [`Time::MAX`] on overflow.
    #[must_use]
    pub const fn after_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time that is `millis` milliseconds earlier, or the first one on underflow.
    #[must_use]
    pub const fn before_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis.saturating_mul(1_000)))
    }

    /// Returns the milliseconds from `now` to this time, rounded up, or 0 once it has passed.
    pub const fn remaining_millis(self, now: Self) -> u64 {
        self.0.saturating_sub(now.0).div_ceil(1_000)
    }

    /// Returns the microseconds from `earlier` to this time, or 0 if `earlier` is later.
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds from `earlier` to this time, rounded down, or 0 if `earlier` is
    /// later.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.micros_since(earlier) / 1_000
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        self.after_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

//! Arrival rate as a function of time.

/// Periodic bursts on top of a constant rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// The factor by which the rate rises.
    pub factor: f64,
    /// Period in seconds from the start of one burst to the next. The first burst starts after one
    /// period.
    pub every: f64,
    /// Duration of a burst in seconds.
    pub length: f64,
}

/// A constant arrival rate with optional bursts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    rate: f64,
    burst: Option<Burst>,
}

impl Profile {
    /// Creates a profile of `rate` jobs per second outside of bursts.
    pub fn new(rate: f64, burst: Option<Burst>) -> Self {
        Self { rate, burst }
    }

    /// Returns the rate in jobs per second outside of bursts.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the rate at `time` in seconds, and the time of its next change.
    pub fn rate_at(&self, time: f64) -> (f64, f64) {
        let Some(burst) = self.burst else {
            return (self.rate, f64::INFINITY);
        };
        let mut period = (time / burst.every).floor();
        // The quotient can round down if `time` is exactly the end of a period.
        if (period + 1.0) * burst.every <= time {
            period += 1.0;
        }
        let start = period * burst.every;
        let end = start + burst.length;
        if period >= 1.0 && time < end {
            (self.rate * burst.factor, end)
        } else {
            (self.rate, (period + 1.0) * burst.every)
        }
    }

    /// Returns the time until which `jobs` arrivals are expected after `time`.
    pub fn advance(&self, time: f64, jobs: f64) -> f64 {
        let (mut time, mut jobs) = (time, jobs);
        loop {
            let (rate, until) = self.rate_at(time);
            let expected = (until - time) * rate;
            if jobs <= expected {
                return time + jobs / rate;
            }
            jobs -= expected;
            time = until;
        }
    }
}

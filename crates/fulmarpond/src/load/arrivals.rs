//! Seeded schedule of job arrivals.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

use super::{Profile, Shape};

// Arrivals and shapes use separate random streams, so that the arrival times of a seed do not
// depend on the shape.
const ARRIVAL_STREAM: u128 = 1;
const SHAPE_STREAM: u128 = 2;

/// A scheduled job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedJob {
    /// The scheduled arrival, relative to the start of the run.
    pub at: Duration,
    /// The run time of each task in milliseconds.
    pub run_ms: Vec<u64>,
}

impl PlannedJob {
    /// Returns the ideal response time in milliseconds: that of the longest task.
    pub fn ideal_ms(&self) -> u64 {
        self.run_ms.iter().copied().max().unwrap_or(0)
    }
}

/// Iterator over the scheduled jobs of a run: a Poisson process with the rate of a profile.
#[derive(Debug, Clone)]
pub struct Arrivals {
    profile: Profile,
    shape: Shape,
    duration: Duration,
    time: f64,
    arrivals: Pcg64,
    shapes: Pcg64,
}

impl Arrivals {
    /// Creates the schedule for a run of `duration`.
    pub fn new(profile: Profile, shape: Shape, duration: Duration, seed: u64) -> Self {
        Self {
            profile,
            shape,
            duration,
            time: 0.0,
            arrivals: Pcg64::new(u128::from(seed), ARRIVAL_STREAM),
            shapes: Pcg64::new(u128::from(seed), SHAPE_STREAM),
        }
    }
}

impl Iterator for Arrivals {
    type Item = PlannedJob;

    fn next(&mut self) -> Option<PlannedJob> {
        // Inverse transform sampling: `random` is below 1, so the logarithm is finite.
        let uniform: f64 = self.arrivals.random();
        let gap = -(1.0 - uniform).ln();
        self.time = self.profile.advance(self.time, gap);
        let at = Duration::try_from_secs_f64(self.time).ok()?;
        (at < self.duration).then(|| PlannedJob {
            at,
            run_ms: self.shape.draw(&mut self.shapes),
        })
    }
}

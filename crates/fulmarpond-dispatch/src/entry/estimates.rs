//! Expected run times, learned per route from the runs of completed tasks.

use std::collections::HashMap;

/// The weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.03;

/// The range to which samples are clamped: a larger deviation says nothing about the route.
const FACTOR_BOUNDS: (f64, f64) = (0.2, 5.0);

/// The expected run time if the caller gives no estimate, in milliseconds.
const DEFAULT_RUN_MS: u32 = 200;

/// Correction factors for the estimates of callers, by route.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    factors: HashMap<String, f64>,
}

impl Estimates {
    /// Returns the expected run time of a task on a nominal endpoint, in milliseconds.
    pub(super) fn expected_run_ms(&self, route: &str, estimate: u32) -> u32 {
        let estimate = if estimate == 0 {
            DEFAULT_RUN_MS
        } else {
            estimate
        };
        let factor = self.factors.get(route).copied().unwrap_or(1.0);
        ((f64::from(estimate) * factor) as u32).max(1)
    }

    /// Updates the factor of a route with the run time that was observed at an endpoint, which
    /// takes `run_factor` times as long as a nominal one.
    pub(super) fn observe(&mut self, route: &str, estimate: u32, elapsed: u32, run_factor: f64) {
        if estimate == 0 {
            return;
        }
        let ratio = f64::from(elapsed) / f64::from(estimate) / run_factor;
        let ratio = ratio.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        if let Some(factor) = self.factors.get_mut(route) {
            *factor += (ratio - *factor) * SMOOTHING_FACTOR;
        } else {
            let factor = 1.0 + (ratio - 1.0) * SMOOTHING_FACTOR;
            self.factors.insert(route.to_owned(), factor);
        }
    }
}

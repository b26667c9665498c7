//! Observed run times by team and kind of task.

use std::collections::HashMap;

/// The weight of a new observation in the exponential moving averages.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// The number of observations from which on estimates are given.
const MIN_OBSERVATIONS: u32 = 8;

/// Observed run times by team and kind of task.
///
/// Refusals are based on these and never on declared run times, which are often inaccurate.
#[derive(Debug, Clone, Default)]
pub struct ObservedRunTimes {
    estimates: HashMap<(String, String), Estimate>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    count: u32,
    mean_us: f64,
    deviation_us: f64,
}

impl ObservedRunTimes {
    /// Records a run time of `run_us` microseconds.
    pub fn record(&mut self, team: &str, kind: &str, run_us: u64) {
        let key = (team.to_owned(), kind.to_owned());
        let estimate = self.estimates.entry(key).or_default();
        #[allow(clippy::cast_precision_loss)]
        let run_us = run_us as f64;
        estimate.count = estimate.count.saturating_add(1);
        if estimate.count == 1 {
            estimate.mean_us = run_us;
            return;
        }
        let error_us = run_us - estimate.mean_us;
        estimate.mean_us += OBSERVATION_WEIGHT * error_us;
        estimate.deviation_us += OBSERVATION_WEIGHT * (error_us.abs() - estimate.deviation_us);
    }

    /// Returns a lower bound in microseconds for the run time of tasks of this kind: the moving
    /// average minus twice the average deviation. Few tasks are faster.
    ///
    /// Returns `None` until enough tasks were observed.
    pub fn lower_bound_us(&self, team: &str, kind: &str) -> Option<u64> {
        let estimate = self.estimates.get(&(team.to_owned(), kind.to_owned()))?;
        if estimate.count < MIN_OBSERVATIONS {
            return None;
        }
        let lower_bound_us = estimate.mean_us - 2.0 * estimate.deviation_us;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(lower_bound_us.max(0.0) as u64)
    }

    /// Returns the mean run time in microseconds over all teams and kinds, each weighted equally,
    /// or `None` if nothing was observed.
    pub fn mean_us(&self) -> Option<u64> {
        if self.estimates.is_empty() {
            return None;
        }
        let sum_us: f64 = self
            .estimates
            .values()
            .map(|estimate| estimate.mean_us)
            .sum();
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        Some((sum_us / self.estimates.len() as f64) as u64)
    }
}

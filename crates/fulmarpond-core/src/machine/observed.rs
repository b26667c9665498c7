//! Observed run times by team and kind of task.

use std::collections::HashMap;

/// The weight of one observation in the moving mean.
const WEIGHT: f64 = 0.1;
/// The observations below which no estimate is given.
const MIN_COUNT: u32 = 8;

/// Observed run times by team and kind of task.
///
/// Declared run times are often far off, so they are never used for a refusal.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    kinds: HashMap<(String, String), Estimate>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    count: u32,
    mean_us: f64,
    deviation: f64,
}

impl Observed {
    /// Records a run time in microseconds.
    pub fn record(&mut self, team: &str, kind: &str, run_us: u64) {
        let key = (team.to_owned(), kind.to_owned());
        let estimate = self.kinds.entry(key).or_default();
        #[allow(clippy::cast_precision_loss)]
        let run_us = run_us as f64;
        estimate.count = estimate.count.saturating_add(1);
        if estimate.count == 1 {
            estimate.mean_us = run_us;
            return;
        }
        let error = run_us - estimate.mean_us;
        estimate.mean_us += WEIGHT * error;
        estimate.deviation += WEIGHT * (error.abs() - estimate.deviation);
    }

    /// Returns a run time in microseconds that tasks of the kind rarely undercut.
    ///
    /// Returns `None` until enough tasks were observed.
    pub fn at_least(&self, team: &str, kind: &str) -> Option<u64> {
        let estimate = self.kinds.get(&(team.to_owned(), kind.to_owned()))?;
        if estimate.count < MIN_COUNT {
            return None;
        }
        let low = estimate.mean_us - 2.0 * estimate.deviation;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(low.max(0.0) as u64)
    }

    /// Returns the moving mean run time in microseconds over all kinds, if any was observed.
    pub fn mean(&self) -> Option<u64> {
        if self.kinds.is_empty() {
            return None;
        }
        let sum: f64 = self.kinds.values().map(|estimate| estimate.mean_us).sum();
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        Some((sum / self.kinds.len() as f64) as u64)
    }
}

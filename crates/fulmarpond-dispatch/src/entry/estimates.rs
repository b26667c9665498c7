//! Expected run times.

use std::collections::HashMap;

/// The weight of the newest run time.
const WEIGHT: f64 = 0.03;

/// The bounds of the learned factor; beyond them the estimates say nothing.
const FACTORS: (f64, f64) = (0.2, 5.0);

/// The run time that is expected where the caller gives none, in milliseconds.
const UNKNOWN_MS: u32 = 200;

/// How far the estimates of each route are off.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    factors: HashMap<String, f64>,
}

impl Estimates {
    /// Returns the expected run time of a task, in milliseconds.
    pub(super) fn expect(&self, route: &str, estimate: u32) -> u32 {
        let estimate = if estimate == 0 { UNKNOWN_MS } else { estimate };
        let factor = self.factors.get(route).copied().unwrap_or(1.0);
        ((f64::from(estimate) * factor) as u32).max(1)
    }

    /// Takes an observed run time.
    pub(super) fn observe(&mut self, route: &str, estimate: u32, elapsed: u32) {
        if estimate == 0 {
            return;
        }
        let ratio = f64::from(elapsed) / f64::from(estimate);
        let ratio = ratio.clamp(FACTORS.0, FACTORS.1);
        match self.factors.get_mut(route) {
            Some(factor) => *factor += (ratio - *factor) * WEIGHT,
            None => {
                self.factors.insert(route.to_owned(), 1.0);
            }
        }
    }
}

//! Run times that are mostly short, and a few times as long as their mean.

use rand::RngExt;

use super::demand::Demand;
use super::simulation::Simulation;

impl Simulation {
    /// Draws the run time of a task from an exponential distribution if its demand has a maximum, in
    /// milliseconds.
    pub(super) fn draw_run_ms(&mut self, demand: &Demand, factor: f64) -> f64 {
        let mean_ms = f64::from(demand.run_ms);
        let Some(max_run_ms) = demand.max_run_ms else {
            return mean_ms * factor;
        };
        let uniform: f64 = self.rng.random();
        let factor = -(1.0 - uniform).ln();
        (mean_ms * factor).min(f64::from(max_run_ms))
    }
}

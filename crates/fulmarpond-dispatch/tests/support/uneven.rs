//! Endpoints of uneven speed, and estimates that are wrong by job and by task.

use fulmarpond_dispatch::{AgentFrame, EndpointSpeed, JobId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::options::{Kind, KnownSpeeds};
use super::simulation::Simulation;

/// Factor of the run time of a few tasks.
const TAIL_FACTOR: f64 = 7.0;

/// Number of samples that exact speeds are reported with.
const EXACT_SAMPLES: u32 = 512;

impl Simulation {
    /// Returns the kind of an endpoint.
    pub fn kind(&self, endpoint: usize) -> Kind {
        let kinds = self.options.kinds;
        let alike = Kind {
            label: "",
            run_factor: 1.0,
            size: 1.0,
        };
        kinds
            .get(endpoint % kinds.len().max(1))
            .map_or(alike, |&kind| kind)
    }

    /// Returns the caller's estimate of the run time of a task, which is wrong by job, in
    /// milliseconds.
    pub(super) fn estimate_ms(&self, job: &JobId, run_ms: u32) -> u32 {
        let deviation = self.options.job_error;
        if deviation == 0.0 {
            return run_ms;
        }
        let number = u64::from_str_radix(&job.0, 16).unwrap_or_default();
        let mut rng = Pcg64Mcg::seed_from_u64(self.options.seed ^ (number << 20));
        let factor = (normal(&mut rng) * deviation).exp();
        ((f64::from(run_ms) * factor) as u32).max(1)
    }

    /// Draws the factor of the run time of a task beside that of its endpoint.
    pub(super) fn draw_task_factor(&mut self) -> f64 {
        let max_factor = self.options.max_run_time_factor;
        let mut factor = self.rng.random_range(1.0 / max_factor..=max_factor);
        if self.options.task_error > 0.0 {
            factor = (normal(&mut self.rng) * self.options.task_error).exp();
        }
        let tail_percent = self.options.tail_percent;
        if tail_percent > 0 && self.rng.random_range(0..100) < tail_percent {
            factor *= TAIL_FACTOR;
        }
        factor
    }

    /// Replaces a reported speed by what entries may learn.
    pub(super) fn known_speed(&self, agent: usize, frame: AgentFrame) -> AgentFrame {
        if !matches!(frame, AgentFrame::Speed(_)) {
            return frame;
        }
        match self.options.known_speeds {
            KnownSpeeds::None => AgentFrame::Speed(EndpointSpeed::default()),
            KnownSpeeds::Measured => frame,
            KnownSpeeds::Exact => AgentFrame::Speed(EndpointSpeed {
                run_permille: (self.kind(agent).run_factor * 1_000.0) as u32,
                samples: EXACT_SAMPLES,
            }),
        }
    }
}

/// Draws from a distribution close to the standard normal one.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

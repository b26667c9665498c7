//! Number of tasks and run times of jobs.

use clap::ValueEnum;
use rand::{Rng, RngExt};

use super::Span;

/// The distribution of run times within their range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Distribution {
    /// Every run time is equally likely.
    Uniform,
    /// Every order of magnitude is equally likely.
    LogUniform,
}

/// Number of tasks in a job and their run times.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of tasks in a job, uniformly distributed.
    pub tasks: Span,
    /// The run time of a task in milliseconds.
    pub run_ms: Span,
    /// The distribution of run times.
    pub distribution: Distribution,
}

impl Shape {
    /// Draws the tasks of one job and returns their run times in milliseconds.
    pub fn draw<R: Rng>(&self, rng: &mut R) -> Vec<u64> {
        let tasks = rng.random_range(self.tasks.min()..=self.tasks.max());
        (0..tasks).map(|_| self.draw_run_ms(rng)).collect()
    }

    /// Returns the mean number of tasks in a job.
    pub fn mean_tasks(&self) -> f64 {
        (self.tasks.min() + self.tasks.max()) as f64 / 2.0
    }

    /// Returns the mean run time of a task in milliseconds.
    pub fn mean_run_ms(&self) -> f64 {
        let (min, max) = self.run_ms_bounds();
        match self.distribution {
            Distribution::LogUniform if max > min => (max - min) / (max / min).ln(),
            _ => (min + max) / 2.0,
        }
    }

    fn draw_run_ms<R: Rng>(&self, rng: &mut R) -> u64 {
        match self.distribution {
            Distribution::Uniform => rng.random_range(self.run_ms.min()..=self.run_ms.max()),
            Distribution::LogUniform => {
                let (min, max) = self.run_ms_bounds();
                let exponent: f64 = rng.random();
                (min * (max / min).powf(exponent)).round() as u64
            }
        }
    }

    /// Returns the bounds of the run time in milliseconds, at least 1 for `LogUniform`, because the
    /// logarithm of 0 is undefined.
    fn run_ms_bounds(&self) -> (f64, f64) {
        let min = self.run_ms.min() as f64;
        let max = self.run_ms.max() as f64;
        match self.distribution {
            Distribution::Uniform => (min, max),
            Distribution::LogUniform => (min.max(1.0), max.max(1.0)),
        }
    }
}

//! The health of an endpoint: its slowness and its failure rate.

use std::collections::VecDeque;

use fulmarpond_core::Time;

use crate::JobId;

/// The weight of the newest run time in the moving average.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// The weight of the newest success or failure in the moving average.
const FAILURE_WEIGHT: f64 = 0.2;

/// The half-life of slowness and failures, in milliseconds. They decay so that an endpoint that
/// gets few tasks because of them is tried again.
const HALF_LIFE_MS: u64 = 2_500;

/// The maximum slowness that a single run counts for.
const MAX_SLOWNESS: f64 = 20.0;

/// The number of jobs that are remembered as sampled: about as many as run at an endpoint at a time.
const MAX_SAMPLED_JOBS: usize = 32;

/// Moving averages of the run times and failures of an endpoint.
#[derive(Debug)]
pub(super) struct Health {
    slowness: f64,
    failures: f64,
    last_decay: Time,
    /// The jobs of the last samples of the slowness, at most [`MAX_SAMPLED_JOBS`].
    sampled_jobs: VecDeque<JobId>,
}

impl Health {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            last_decay: now,
            sampled_jobs: VecDeque::new(),
        }
    }

    pub(super) fn record_success(&mut self, job: &JobId, elapsed: u64, expected_ms: u32) {
        let ratio = elapsed as f64 / f64::from(expected_ms.max(1));
        self.add_slowness_sample(job, ratio.min(MAX_SLOWNESS));
        self.failures *= 1.0 - FAILURE_WEIGHT;
    }

    pub(super) fn record_failure(&mut self) {
        self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
    }

    /// Raises the slowness to a value that was measured over several jobs.
    pub(super) fn raise_slowness(&mut self, ratio: f64) {
        self.slowness = self.slowness.max(ratio.min(MAX_SLOWNESS));
    }

    /// Counts a run that has not ended after `elapsed` milliseconds, if that exceeds the current
    /// slowness.
    pub(super) fn record_overdue(&mut self, job: &JobId, elapsed: u64, expected_ms: u32) {
        let ratio = (elapsed as f64 / f64::from(expected_ms.max(1))).min(MAX_SLOWNESS);
        if ratio > self.slowness {
            self.add_slowness_sample(job, ratio);
        }
    }

    pub(super) fn decay(&mut self, now: Time) {
        while now.millis_since(self.last_decay) >= HALF_LIFE_MS {
            self.last_decay = self.last_decay.after_millis(HALF_LIFE_MS);
            self.slowness = 1.0 + (self.slowness - 1.0) / 2.0;
            self.failures /= 2.0;
        }
    }

    /// Returns the ratio of observed to expected run time, in percent.
    pub(super) fn slowness_percent(&self) -> u32 {
        (self.slowness * 100.0) as u32
    }

    /// Returns the share of recent runs that failed, in percent.
    pub(super) fn failure_percent(&self) -> u32 {
        (self.failures * 100.0) as u32
    }

    /// Adds a sample, unless the job has given one. Estimates are wrong by job, so a wide job whose
    /// estimate is too low would make its endpoint appear slow.
    fn add_slowness_sample(&mut self, job: &JobId, ratio: f64) {
        if self.sampled_jobs.contains(job) {
            return;
        }
        if self.sampled_jobs.len() == MAX_SAMPLED_JOBS {
            self.sampled_jobs.pop_front();
        }
        self.sampled_jobs.push_back(job.clone());
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }
}

//! The speed of an endpoint, measured by the progress of its runs.
//!
//! The end of a run shows a slow endpoint too late: by then all tasks that were placed there
//! meanwhile are late as well.

use std::collections::BTreeMap;

use fulmarpond_core::Time;

use crate::JobId;

/// The time over which progress is collected, in milliseconds.
const WINDOW_MS: u64 = 60;

/// The run time from which the progress of a job is used, in milliseconds.
const MIN_RUN_MS: f64 = 30.0;

/// The number of jobs from which an endpoint is judged. Estimates are wrong by job, so that one job
/// says little about the endpoint.
const MIN_JOBS: usize = 4;

/// The ratio of actual to expected run times from which an endpoint is slow.
const SLOW_RATIO: f64 = 3.0;

/// The largest ratio that is reported.
const MAX_RATIO: f64 = 20.0;

/// The progress of a job within a window.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    /// The work that was done, by the expected run times, in milliseconds.
    work_ms: f64,
    run_ms: f64,
}

/// The progress of all jobs in the current window.
#[derive(Debug, Default)]
pub(super) struct Speed {
    samples: BTreeMap<JobId, Sample>,
    window_end: Time,
}

impl Speed {
    /// Adds the progress of a run: its share of the expected run time, and the time that it took.
    pub(super) fn record(&mut self, job: &JobId, work_ms: f64, run_ms: f64) {
        let sample = self.samples.entry(job.clone()).or_default();
        sample.work_ms += work_ms;
        sample.run_ms += run_ms;
    }

    /// Ends the window if it is over; returns by how much most jobs run longer than expected, if
    /// that is far too long.
    pub(super) fn take_slowness(&mut self, now: Time) -> Option<f64> {
        if now < self.window_end {
            return None;
        }
        self.window_end = now.after_millis(WINDOW_MS);
        let samples = std::mem::take(&mut self.samples).into_values();
        let known = samples.filter(|sample| sample.run_ms >= MIN_RUN_MS);
        let mut ratios: Vec<f64> = known
            .map(|sample| (sample.run_ms / sample.work_ms.max(f64::EPSILON)).min(MAX_RATIO))
            .collect();
        if ratios.len() < MIN_JOBS {
            return None;
        }
        ratios.sort_by(f64::total_cmp);
        let lower_median = ratios[(ratios.len() - 1) / 2];
        (lower_median >= SLOW_RATIO).then_some(lower_median)
    }
}

//! The lasting speed of an endpoint: how much longer than on a nominal endpoint runs take there.
//!
//! It addresses kinds of endpoints that differ in speed for good, under tasks whose estimates are
//! wrong by some 40 % by job and of which a few take several times as long as the others. Passing
//! trouble of an endpoint, such as a slow disk, is measured by [`Health`](super::health::Health)
//! and must not change the lasting speed.

use std::collections::VecDeque;

use tracing::info;

use super::Action;
use super::agent::Agent;
use crate::{AgentFrame, EndpointSpeed, JobId};

/// The range to which the ratio of a sample is clamped. A larger deviation comes from the estimate
/// or the task.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// The number of samples from which all samples have the same weight, its reciprocal. With
/// estimates that are wrong by 40 %, the mean then varies by some 2 %.
const WINDOW_SAMPLES: u32 = 256;

/// The number of samples up to which the confidence grows. A moving mean whose weight is the
/// reciprocal of [`WINDOW_SAMPLES`] is as exact as the mean of twice as many samples.
const MAX_SAMPLES: u32 = 2 * WINDOW_SAMPLES;

/// The number of samples from which recent samples are compared with the mean.
const MIN_SAMPLES: u32 = 32;

/// The weight of the newest sample in the mean of recent samples.
const RECENT_WEIGHT: f64 = 0.15;

/// The ratio of the recent to the lasting mean from which trouble of the endpoint is assumed: three
/// standard deviations of the recent mean.
const TROUBLE_RATIO: f64 = 1.5;

/// The factor of the weight of samples during trouble. Trouble of a few seconds then changes the
/// mean by a few percent, and a change for good is learned within minutes.
const TROUBLE_WEIGHT: f64 = 1.0 / 16.0;

/// The change of the speed from which it is reported again.
const REPORTED_CHANGE: f64 = 1.05;

/// The number of samples from which the speed is reported.
const MIN_REPORTED_SAMPLES: u32 = 4;

/// The number of jobs that are remembered as sampled: about as many as run at an endpoint at a
/// time.
const MAX_SAMPLED_JOBS: usize = 32;

/// The moving means of the ratios of run times to nominal ones, for one incarnation.
#[derive(Debug, Default)]
pub(super) struct LastingSpeed {
    /// The lasting mean of the logarithms of the ratios.
    mean: f64,
    /// The mean of the logarithms of the last few ratios.
    recent: f64,
    samples: u32,
    /// The jobs of the last samples, at most [`MAX_SAMPLED_JOBS`].
    sampled_jobs: VecDeque<JobId>,
    /// The last reported speed.
    reported: EndpointSpeed,
}

impl LastingSpeed {
    /// Adds the run time of a completed task, unless its job has given a sample: estimates are
    /// wrong by job.
    pub(super) fn record(&mut self, job: &JobId, elapsed_ms: u64, nominal_ms: u32) {
        if nominal_ms == 0 || self.sampled_jobs.contains(job) {
            return;
        }
        if self.sampled_jobs.len() == MAX_SAMPLED_JOBS {
            self.sampled_jobs.pop_front();
        }
        self.sampled_jobs.push_back(job.clone());
        let ratio = elapsed_ms as f64 / f64::from(nominal_ms);
        let sample = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let plain_weight = 1.0 / f64::from(self.samples.min(WINDOW_SAMPLES));
        self.recent += (sample - self.recent) * plain_weight.max(RECENT_WEIGHT);
        let is_in_trouble =
            self.samples >= MIN_SAMPLES && self.recent - self.mean > TROUBLE_RATIO.ln();
        let trouble_weight = if is_in_trouble { TROUBLE_WEIGHT } else { 1.0 };
        self.mean += (sample - self.mean) * plain_weight * trouble_weight;
    }

    fn current(&self) -> EndpointSpeed {
        EndpointSpeed {
            run_permille: (self.mean.exp() * 1_000.0).round() as u32,
            samples: self.samples,
        }
    }

    /// Returns the speed if it differs enough from the last reported one, in its value or in the
    /// number of samples.
    fn take_report(&mut self) -> Option<EndpointSpeed> {
        let current = self.current();
        let change = f64::from(current.run_permille) / f64::from(self.reported.run_permille.max(1));
        let has_changed = !(1.0 / REPORTED_CHANGE..=REPORTED_CHANGE).contains(&change);
        let is_firmer = current.samples >= 2 * self.reported.samples;
        if current.samples < MIN_REPORTED_SAMPLES || !(has_changed || is_firmer) {
            return None;
        }
        self.reported = current;
        Some(current)
    }
}

impl Agent {
    /// Returns the frame that reports the lasting speed of the endpoint.
    pub(super) fn speed_frame(&self) -> AgentFrame {
        let endpoint = self.endpoint.as_ref();
        let speed = endpoint.map(|endpoint| endpoint.lasting_speed.current());
        AgentFrame::Speed(speed.unwrap_or_default())
    }

    /// Reports the lasting speed of the endpoint to all entries if it has changed.
    pub(super) fn report_speed(&mut self, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let Some(speed) = endpoint.lasting_speed.take_report() else {
            return;
        };
        info!(
            endpoint = %endpoint.registration.id,
            run_permille = speed.run_permille,
            samples = speed.samples,
            "speed of the endpoint measured"
        );
        for &link in self.links.established.keys() {
            let frame = AgentFrame::Speed(speed);
            out.push(Action::Send { link, frame });
        }
    }
}

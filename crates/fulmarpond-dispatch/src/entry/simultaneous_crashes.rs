//! Crashes of several endpoints at one moment.
//!
//! A loss of power takes many endpoints down at once. If each of these crashes were attributed to the
//! runs there as if it stood alone, a job with runs at several of the endpoints would be suspected, and
//! so would all others a little. Crashes at the same moment therefore make a cause outside the runs more
//! likely for each of them, also for those that were attributed before the others were reported. An
//! endpoint of which nothing was heard for a while may have crashed at any moment of that time.

use std::collections::{HashMap, VecDeque};

use fulmarpond_core::Time;

use crate::{Incarnation, JobId, TaskKey};

/// Crashes count as simultaneous up to this distance, in milliseconds: that of the moments at which
/// agents notice one. A task that crashes one endpoint after the other takes as long to be placed again.
const SIMULTANEOUS_MS: u64 = 15;

/// The probability that an endpoint crashes for another reason while runs are there, by the number of
/// others that crash at the same moment; the last one stands for more.
const OTHER_CAUSE_PROBABILITIES: [f64; 3] = [0.000_3, 0.02, 0.3];

/// The part of a job in a crash.
#[derive(Debug, Clone)]
pub(super) struct Part {
    pub(super) job: JobId,
    /// The probability before this crash that the job crashes endpoints.
    pub(super) prior: f64,
    /// How likely its runs would have caused the crash if it does.
    pub(super) likelihood: f64,
}

/// A crash that was reported.
#[derive(Debug)]
pub(super) struct RecordedCrash {
    pub(super) at: Time,
    /// Since when nothing was heard of the endpoint, so that it may have crashed then.
    pub(super) silent_since: Time,
    pub(super) endpoint: Incarnation,
    pub(super) parts: Vec<Part>,
    pub(super) tasks: Vec<TaskKey>,
}

impl RecordedCrash {
    /// Returns whether this crash may have happened at the moment of another and they are not those of a
    /// task that was placed again in between.
    fn may_be_simultaneous(&self, other: &Self) -> bool {
        let early_ms = self.silent_since.millis_since(other.at);
        let late_ms = other.at.millis_since(self.at);
        self.endpoint != other.endpoint
            && early_ms.max(late_ms) <= SIMULTANEOUS_MS
            && !self.tasks.iter().any(|task| other.tasks.contains(task))
    }
}

/// The recent crashes, in the order of their reports.
#[derive(Debug, Default)]
pub(super) struct RecordedCrashes(VecDeque<RecordedCrash>);

impl RecordedCrashes {
    pub(super) fn contains(&self, endpoint: &Incarnation) -> bool {
        self.0.iter().any(|crash| crash.endpoint == *endpoint)
    }

    pub(super) fn retain(&mut self, is_kept: impl Fn(Time) -> bool) {
        self.0.retain(|crash| is_kept(crash.at));
    }

    /// Adds a crash, and returns the probability that each job crashes endpoints, of those in this
    /// crash and in the ones at the same moment.
    pub(super) fn add(&mut self, crash: RecordedCrash) -> HashMap<JobId, f64> {
        let mut members: Vec<usize> = (0..self.0.len())
            .filter(|&known| self.0[known].may_be_simultaneous(&crash))
            .collect();
        members.push(self.0.len());
        self.0.push_back(crash);
        let mut probabilities: HashMap<JobId, f64> = HashMap::new();
        for &member in &members {
            self.attribute(member, &mut probabilities);
        }
        // What is known from a later crash stands.
        let has_later = |job: &JobId| {
            let later = (members[0]..self.0.len()).filter(|crash| !members.contains(crash));
            later
                .flat_map(|crash| &self.0[crash].parts)
                .any(|part| part.job == *job)
        };
        let newest = &self.0[self.0.len() - 1];
        let is_in_newest = |job: &JobId| newest.parts.iter().any(|part| part.job == *job);
        probabilities.retain(|job, _| is_in_newest(job) || !has_later(job));
        probabilities
    }

    /// Attributes a crash to the jobs in it, by what is known of them from `probabilities`.
    fn attribute(&self, position: usize, probabilities: &mut HashMap<JobId, f64>) {
        let crash = &self.0[position];
        let others = self
            .0
            .iter()
            .filter(|other| crash.may_be_simultaneous(other));
        let others = others.count().min(OTHER_CAUSE_PROBABILITIES.len() - 1);
        let causes: Vec<f64> = crash
            .parts
            .iter()
            .map(|part| probabilities.get(&part.job).unwrap_or(&part.prior) * part.likelihood)
            .collect();
        let no_cause: f64 = causes.iter().map(|cause| 1.0 - cause).product();
        let crash_probability = 1.0 - (1.0 - OTHER_CAUSE_PROBABILITIES[others]) * no_cause;
        for (part, cause) in crash.parts.iter().zip(causes) {
            probabilities.insert(part.job.clone(), cause / crash_probability);
        }
    }
}

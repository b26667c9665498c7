//! Recording of job outcomes during a run.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Quantiles;

/// Values are clamped to this maximum: 1 hour in microseconds, or a ratio of 3.6 million in
/// thousandths.
const MAX_RECORDED: u64 = 3_600_000_000;

/// The outcome of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The submission id.
    pub id: String,
    /// The verdict; `not_sent`, `no_reply` or `bad_reply` if the job has none.
    pub verdict: &'static str,
    /// The reason, empty for an answered job.
    pub reason: String,
    /// The number of tasks.
    pub tasks: u64,
    /// The ideal response time in milliseconds.
    pub ideal_ms: u64,
    /// The response time, measured from the scheduled arrival.
    pub response: Duration,
    /// Delay between the scheduled arrival and the sending of the request.
    pub lag: Duration,
}

/// The number of jobs with one verdict and reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VerdictCount {
    /// The verdict.
    pub verdict: String,
    /// The reason, empty for answered jobs.
    pub reason: String,
    /// The number of jobs.
    pub jobs: u64,
}

/// Aggregates the outcomes of jobs.
#[derive(Debug)]
pub struct Recorder {
    counts: BTreeMap<(&'static str, String), u64>,
    tasks: u64,
    answered_tasks: u64,
    response_us: Histogram<u64>,
    over_ideal_thousandths: Histogram<u64>,
    max_lag: Duration,
    not_run: HashSet<String>,
}

impl Default for Recorder {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_RECORDED, 3).expect("valid bounds");
        Self {
            counts: BTreeMap::new(),
            tasks: 0,
            answered_tasks: 0,
            response_us: histogram(),
            over_ideal_thousandths: histogram(),
            max_lag: Duration::ZERO,
            not_run: HashSet::new(),
        }
    }
}

impl Recorder {
    /// Adds the outcome of a job.
    ///
    /// Only answered jobs count towards response times, since fast refusals would lower the
    /// quantiles. Jobs with an ideal of 0 are left out of the response time over ideal.
    pub fn record(&mut self, outcome: Outcome) {
        self.tasks += outcome.tasks;
        self.max_lag = self.max_lag.max(outcome.lag);
        if outcome.verdict == "answered" {
            self.answered_tasks += outcome.tasks;
            let micros = u64::try_from(outcome.response.as_micros()).unwrap_or(MAX_RECORDED);
            self.response_us.saturating_record(micros);
            // Microseconds divided by milliseconds give thousandths.
            if let Some(thousandths) = micros.checked_div(outcome.ideal_ms) {
                self.over_ideal_thousandths.saturating_record(thousandths);
            }
        }
        if outcome.verdict == "not_run" {
            self.not_run.insert(outcome.id);
        }
        *self
            .counts
            .entry((outcome.verdict, outcome.reason))
            .or_default() += 1;
    }

    /// Returns the number of jobs per verdict and reason.
    pub fn counts(&self) -> Vec<VerdictCount> {
        self.counts
            .iter()
            .map(|((verdict, reason), jobs)| VerdictCount {
                verdict: (*verdict).to_owned(),
                reason: reason.clone(),
                jobs: *jobs,
            })
            .collect()
    }

    /// Returns the number of jobs with a verdict.
    pub fn jobs(&self, verdict: &str) -> u64 {
        self.counts
            .iter()
            .filter(|((counted, _), _)| *counted == verdict)
            .map(|(_, jobs)| jobs)
            .sum()
    }

    /// Returns the number of all jobs.
    pub fn all_jobs(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns the number of tasks of all jobs.
    pub fn tasks(&self) -> u64 {
        self.tasks
    }

    /// Returns the number of tasks of answered jobs.
    pub fn answered_tasks(&self) -> u64 {
        self.answered_tasks
    }

    /// Returns the longest delay between a scheduled arrival and the sending of its request.
    pub fn max_lag(&self) -> Duration {
        self.max_lag
    }

    /// Returns the ids of the jobs whose verdict was `not_run`.
    pub fn not_run(&self) -> &HashSet<String> {
        &self.not_run
    }

    /// Returns the response times of answered jobs in milliseconds.
    pub fn response_ms(&self) -> Quantiles {
        Quantiles::read(&self.response_us, 1000.0)
    }

    /// Returns the response times of answered jobs divided by their ideal.
    pub fn response_over_ideal(&self) -> Quantiles {
        Quantiles::read(&self.over_ideal_thousandths, 1000.0)
    }
}

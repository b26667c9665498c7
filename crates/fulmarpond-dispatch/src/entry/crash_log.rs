//! Attribution of crashes to the jobs whose runs were lost in them.
//!
//! All runs at an endpoint are lost when one of them crashes it. Which one did is a matter of
//! probability: a job is suspected more if its run had the age at which runs crash their endpoints,
//! and if it was suspected before. A suspected task runs again as the only young run at its
//! endpoint, so that a second crash leaves little doubt and its end clears it.
//!
//! All entries record all crashes, so they come to the same result, whichever of them owns a job.

use std::collections::{BTreeMap, HashMap};

use fulmarpond_core::Time;

use super::crash_ages::{CrashAges, is_like};
use super::simultaneous_crashes::{Part, RecordedCrash, RecordedCrashes};
use crate::{EndpointCrash, Incarnation, JobId, LostRun};

/// How long a crash and its suspects are remembered, in milliseconds.
const CRASH_TTL_MS: u64 = 90_000;

/// The probability that a job crashes endpoints, before any crash.
pub(super) const INITIAL_PROBABILITY: f64 = 0.001;

/// The likelihood that a run beside a watched one caused a crash, as a share of that without the
/// watched run: it was older than the time for which runs are watched.
const OLDER_SHARE: f64 = 0.1;

/// The likelihood of the cause for a run that may not have been at the endpoint, as a share of that for
/// one that was.
const UNCERTAIN_SHARE: f64 = 0.25;

/// The probability from which a job is suspected.
const SUSPECT_PROBABILITY: f64 = 0.05;

/// The probability from which a job is given up, by the number of crashes under one of its tasks.
const GUILTY_PROBABILITIES: [(u32, f64); 3] = [(4, 0.5), (3, 0.9), (2, 0.98)];

/// The number of crashes from which a job may be given up whatever the ages of its runs.
const MIN_UNLIKE_CRASHES: u32 = 4;

/// The number of crashes at a similar age from which a job may be given up.
const MIN_ALIKE_CRASHES: u32 = 2;

/// The number of crashes from which those count at which the run of a task was likely, but not certain,
/// to be there.
const MIN_LIKELY_CRASHES: u32 = 3;

/// The number of possible crashes under a task from which its job is given up without more evidence.
const MAX_POSSIBLE_CRASHES: u32 = 5;

/// The number of crashes from which those count at which it is doubtful whether the run of a task was
/// there.
const MIN_DOUBTFUL_CRASHES: u32 = 4;

/// The number of crashes in a row at a similar age from which a job is given up without more
/// evidence.
const MAX_ALIKE_CRASHES: u32 = 4;

/// The least probability of a job that was lost at a similar age again.
const ALIKE_PROBABILITY: f64 = 0.1;

/// The crashes under a task.
#[derive(Debug, Default)]
struct TaskCrashes {
    /// Those at which its run was surely there.
    certain: u32,
    /// Those at which its run was probably there.
    likely: u32,
    /// Those at which its run may have been there.
    doubtful: u32,
    /// The age of its run at the last certain or likely crash, in milliseconds.
    last_age: Option<u32>,
    /// The number of certain or likely crashes in a row at a similar age of its run. A task crashes
    /// its endpoints at one age, while crashes with other causes come at any.
    alike: u32,
}

impl TaskCrashes {
    fn record(&mut self, run: &LostRun) {
        if run.is_certain {
            self.certain += 1;
        } else if run.is_likely {
            self.likely += 1;
        } else {
            self.doubtful += 1;
            return;
        }
        let is_alike = |last: u32| is_like(run.age_ms, last);
        self.alike = if self.last_age.is_some_and(is_alike) {
            self.alike + 1
        } else {
            1
        };
        self.last_age = Some(run.age_ms);
    }

    /// Returns the number of crashes at which its run may have been there.
    const fn possible(&self) -> u32 {
        self.certain + self.likely + self.doubtful
    }

    /// Returns the number of endpoints that have crashed under the task. At one of the likely crashes,
    /// and at two of the doubtful ones, the run may not have been there, so they count only if there are
    /// more.
    fn count(&self) -> u32 {
        let possible = self.possible();
        if possible >= MIN_DOUBTFUL_CRASHES {
            possible
        } else if possible >= MIN_LIKELY_CRASHES {
            self.certain + self.likely
        } else {
            self.certain
        }
    }
}

/// What is known of a job that was lost in crashes.
#[derive(Debug)]
struct Suspect {
    probability: f64,
    /// The crashes under each of its tasks, by step and index.
    crashes: BTreeMap<(u16, u16), TaskCrashes>,
    last_crash: Time,
}

impl Suspect {
    const fn new(probability: f64, now: Time) -> Self {
        Self {
            probability,
            crashes: BTreeMap::new(),
            last_crash: now,
        }
    }

    /// Returns the largest number of crashes under one of its tasks.
    fn max_crashes(&self) -> u32 {
        let counts = self.crashes.values().map(TaskCrashes::count);
        counts.max().unwrap_or_default()
    }

    /// Returns the largest number of crashes in a row at a similar age of one of its tasks.
    fn max_alike(&self) -> u32 {
        let alike = self.crashes.values().map(|crashes| crashes.alike);
        alike.max().unwrap_or_default()
    }

    /// Returns the probability that the job crashes endpoints, of which it keeps some while it is
    /// lost at a similar age again and again.
    fn probability(&self) -> f64 {
        if self.max_alike() >= MIN_ALIKE_CRASHES {
            self.probability.max(ALIKE_PROBABILITY)
        } else {
            self.probability
        }
    }

    fn is_guilty(&self) -> bool {
        let crashes = self.max_crashes();
        let alike = self.max_alike();
        let mut possible = self.crashes.values().map(TaskCrashes::possible);
        if possible.any(|possible| possible >= MAX_POSSIBLE_CRASHES) {
            return true;
        }
        if crashes < MIN_UNLIKE_CRASHES && alike < MIN_ALIKE_CRASHES {
            return false;
        }
        if alike >= MAX_ALIKE_CRASHES {
            return true;
        }
        let mut limits = GUILTY_PROBABILITIES.iter();
        let limit = limits.find(|(least, _)| crashes >= *least);
        limit.is_some_and(|(_, probability)| self.probability >= *probability)
    }
}

/// The part of a job in a crash.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Attribution {
    pub(super) job: JobId,
    pub(super) route: String,
    /// The probability that the job crashes endpoints.
    pub(super) probability: f64,
    /// The number of endpoints that have crashed under one of its tasks.
    pub(super) crashes: u32,
    /// Whether the job is to be given up.
    pub(super) is_guilty: bool,
}

impl Attribution {
    /// Returns whether the job is suspected.
    pub(super) fn is_suspected(&self) -> bool {
        self.probability >= SUSPECT_PROBABILITY
    }
}

/// The crashes of endpoints, and the jobs that are suspected of them.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: RecordedCrashes,
    suspects: HashMap<JobId, Suspect>,
    ages: CrashAges,
}

impl CrashLog {
    /// Records a crash, and returns the part of each job in it; `None` if it was recorded before.
    ///
    /// `initial` returns the probability that a job of a route crashes endpoints, before any crash.
    pub(super) fn record(
        &mut self,
        crash: &EndpointCrash,
        crashed_at: Time,
        initial: impl Fn(&str) -> f64,
        now: Time,
    ) -> Option<Vec<Attribution>> {
        self.expire(now);
        let endpoint = Incarnation {
            id: crash.endpoint.clone(),
            born: crash.born,
        };
        if self.crashes.contains(&endpoint) {
            return None;
        }
        let mut by_job: BTreeMap<&JobId, Vec<&LostRun>> = BTreeMap::new();
        for run in &crash.runs {
            by_job.entry(&run.task.job).or_default().push(run);
        }
        let has_watched = crash.runs.iter().any(|run| run.is_watched);
        let parts = by_job.iter().map(|(job, runs)| {
            let likelihoods = runs.iter().map(|run| self.likelihood(run, has_watched));
            Part {
                job: (*job).clone(),
                prior: self.probability(job, runs, &initial),
                likelihood: likelihoods.fold(0.0, f64::max),
            }
        });
        let recorded = RecordedCrash {
            at: crashed_at,
            silent_since: crashed_at.before_millis(u64::from(crash.silent_ms)),
            endpoint,
            parts: parts.collect(),
            tasks: crash.runs.iter().map(|run| run.task.clone()).collect(),
        };
        let probabilities = self.crashes.add(recorded);
        for (job, probability) in &probabilities {
            if let Some(suspect) = self.suspects.get_mut(job) {
                suspect.probability = *probability;
            }
        }
        let attributions = by_job.into_iter().map(|(job, runs)| {
            let probability = probabilities.get(job).copied().unwrap_or_default();
            self.attribute(job, &runs, probability, now)
        });
        Some(attributions.collect())
    }

    /// Returns how likely a run would have caused the crash in which it was lost, if it crashes
    /// endpoints.
    fn likelihood(&self, run: &LostRun, has_watched: bool) -> f64 {
        let likelihood = match (run.is_watched, has_watched) {
            (true, _) => 1.0,
            (false, true) => self.ages.likelihood(run.age_ms) * OLDER_SHARE,
            (false, false) => self.ages.likelihood(run.age_ms),
        };
        if run.is_likely {
            likelihood
        } else {
            likelihood * UNCERTAIN_SHARE
        }
    }

    /// Returns the probability that a job crashes endpoints, as far as is known before a crash.
    fn probability(&self, job: &JobId, runs: &[&LostRun], initial: impl Fn(&str) -> f64) -> f64 {
        match self.suspects.get(job) {
            Some(suspect) => suspect.probability(),
            None => runs.first().map_or(0.0, |run| initial(&run.route)),
        }
    }

    /// Updates what is known of a job, and learns the age of its youngest run of those lost at a
    /// similar age again if it is guilty from now on. A run that may not have been at the endpoint says
    /// nothing about how often its task was lost.
    fn attribute(
        &mut self,
        job: &JobId,
        runs: &[&LostRun],
        probability: f64,
        now: Time,
    ) -> Attribution {
        let suspect = self
            .suspects
            .entry(job.clone())
            .or_insert(Suspect::new(probability, now));
        let was_guilty = suspect.is_guilty();
        suspect.probability = probability;
        suspect.last_crash = now;
        for run in runs {
            let key = (run.task.step, run.task.index);
            suspect.crashes.entry(key).or_default().record(run);
        }
        let is_guilty = suspect.is_guilty();
        let crashes = suspect.max_crashes();
        if is_guilty && !was_guilty {
            let under_crashes = |run: &&&LostRun| {
                let of_task = suspect.crashes.get(&(run.task.step, run.task.index));
                of_task.is_some_and(|of_task| of_task.alike >= MIN_ALIKE_CRASHES)
            };
            let ages = runs.iter().filter(under_crashes).map(|run| run.age_ms);
            if let Some(age_ms) = ages.min() {
                self.ages.learn(age_ms);
            }
        }
        Attribution {
            job: job.clone(),
            route: runs
                .first()
                .map_or_else(String::new, |run| run.route.clone()),
            probability,
            crashes,
            is_guilty,
        }
    }

    fn expire(&mut self, now: Time) {
        let is_recent = |at: Time| now.millis_since(at) < CRASH_TTL_MS;
        self.crashes.retain(is_recent);
        self.suspects
            .retain(|_, suspect| is_recent(suspect.last_crash));
    }

    /// Returns whether a job is given up because its tasks crash endpoints.
    pub(super) fn is_guilty(&self, job: &JobId) -> bool {
        self.suspects.get(job).is_some_and(Suspect::is_guilty)
    }

    /// Returns whether a job is suspected of crashing endpoints.
    pub(super) fn is_suspected(&self, job: &JobId) -> bool {
        let suspect = self.suspects.get(job);
        suspect.is_some_and(|suspect| suspect.probability() >= SUSPECT_PROBABILITY)
    }

    /// Returns how long a run that may crash its endpoint is watched, in milliseconds.
    pub(super) fn watch_ms(&self) -> u32 {
        self.ages.watch_ms()
    }
}

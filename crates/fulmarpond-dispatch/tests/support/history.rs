//! History of tasks and jobs, checked against the guarantees of the dispatcher.

use std::collections::{BTreeMap, HashMap, HashSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::EndReason;
use fulmarpond_dispatch::entry::Answer;
use fulmarpond_dispatch::{JobId, TaskKey};

use super::demand::Demand;
use super::simulation::MAX_STOP_MS;

/// Maximum number of failed runs of a task, after which its job fails.
pub const MAX_ATTEMPTS: u32 = 4;

/// Number of endpoints after whose crash a task is started [`MAX_CRASHES`] times more only by a
/// dispatcher that does not notice them.
const MAX_CRASHES: u32 = 3;

/// Number of endpoints that must have crashed under a task before its job may be given up.
const MIN_CRASHES: u32 = 2;

/// Time after the acknowledgement of a cancellation during which tasks of the job may still start,
/// in milliseconds.
const CANCEL_GRACE_MS: u64 = 3_000;

/// The events that the guarantees cover, and the violations that were found.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints at which each task is running.
    running_at: HashMap<TaskKey, Vec<usize>>,
    /// Number of started runs of each job or occurrence.
    starts: BTreeMap<JobId, u32>,
    completed_tasks: HashSet<TaskKey>,
    /// Time at which a run of a task completed at an endpoint, in milliseconds.
    completed_at: HashMap<(TaskKey, usize), u64>,
    /// Time of the last start of each task, in milliseconds.
    started_at: HashMap<TaskKey, u64>,
    /// Tasks whose completion was acknowledged to the endpoint; they must not run again.
    acknowledged: HashSet<TaskKey>,
    /// Jobs whose acceptance was acknowledged to the caller.
    pub accepted: HashSet<JobId>,
    /// Number of failed runs of each task.
    failed_runs: HashMap<TaskKey, u32>,
    /// When the failed runs of each task ended whose ends were acknowledged to their endpoints, earliest
    /// first.
    noted_failures: HashMap<TaskKey, Vec<Time>>,
    /// Number of attempts of each job that may have led to a start: sent, and not answered as not
    /// run.
    unrefused_attempts: HashMap<JobId, i64>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Number of answers that the job was completed.
    pub completed: u32,
    /// Number of answers that the job was not run.
    pub refused: u32,
    /// Number of answers that the job may have run.
    pub lost: u32,
    /// Longest delay of a start after its scheduled time, in milliseconds.
    pub max_start_delay_ms: u64,
    /// Number of starts that an endpoint rejected for lack of a valid ticket.
    pub starts_without_ticket: u32,
    /// Number of gang runs that timed out before all members had started.
    pub incomplete_gang_runs: u32,
    /// Long-running tasks that were stopped while working: agent and number of the last stopped
    /// run.
    pub stopped_runs: HashMap<TaskKey, (usize, u32)>,
    /// Number of endpoints that each task has crashed.
    crashes: HashMap<TaskKey, u32>,
    /// Number of endpoints that crashed while each task ran there, for any cause.
    crashed_under: HashMap<TaskKey, u32>,
    /// Number of starts of each task after it had crashed [`MAX_CRASHES`] endpoints.
    starts_after_crashes: HashMap<TaskKey, u32>,
    /// Number of runs that were lost because a run crashed their endpoint, including that run.
    pub crashed_runs: usize,
    /// Jobs whose cancellation was requested.
    pub cancelled: HashSet<JobId>,
    /// Time at which the last fault is over and all processes are connected again, in milliseconds.
    /// Time bounds are checked only after it.
    pub disturbed_until_ms: u64,
    /// Time at which the cancellation of each job was acknowledged, in milliseconds.
    pub cancel_acked_at: HashMap<JobId, u64>,
}

impl History {
    /// Records the start of a run, and checks that the task is not running, completed or cancelled.
    pub fn record_start(&mut self, task: &TaskKey, endpoint: usize, at_ms: u64) {
        let live = self.running_at.entry(task.clone()).or_default();
        if !live.is_empty() {
            let text =
                format!("{task} started at {endpoint} at {at_ms} ms while running at {live:?}");
            self.violations.push(text);
        }
        live.push(endpoint);
        if self.acknowledged.contains(task) {
            let text = format!(
                "{task} started at {endpoint} at {at_ms} ms after its acknowledged completion"
            );
            self.violations.push(text);
        }
        let failures = self.noted_failures.get(task).map_or(0, Vec::len);
        if failures >= MAX_ATTEMPTS as usize {
            let text = format!("{task} started at {at_ms} ms after {failures} failed runs");
            self.violations.push(text);
        }
        // The occurrences of a series are cancelled with it.
        if let Some(at) = self.cancel_acked_at.get(&task.job.occurrence(0))
            && at_ms > (at + CANCEL_GRACE_MS).max(self.disturbed_until_ms)
        {
            let text = format!("{task} started at {at_ms} ms; its job was cancelled at {at} ms");
            self.violations.push(text);
        }
        if self
            .crashes
            .get(task)
            .is_some_and(|&crashes| crashes >= MAX_CRASHES)
        {
            let starts = self.starts_after_crashes.entry(task.clone()).or_default();
            *starts += 1;
            if *starts >= MAX_CRASHES {
                let text = format!("{task} started {starts} times after {MAX_CRASHES} crashes");
                self.violations.push(text);
            }
        }
        self.started_at.insert(task.clone(), at_ms);
        *self.starts.entry(task.job.clone()).or_default() += 1;
    }

    /// Records that a run has crashed its endpoint, with the number of runs there.
    pub fn record_crash(&mut self, task: &TaskKey, runs: usize) {
        *self.crashes.entry(task.clone()).or_default() += 1;
        self.crashed_runs += runs;
    }

    /// Records that an endpoint crashed while a task ran there.
    pub fn record_crash_under(&mut self, task: &TaskKey) {
        *self.crashed_under.entry(task.clone()).or_default() += 1;
    }

    /// Returns the number of endpoints that runs have crashed.
    pub fn crash_count(&self) -> u32 {
        self.crashes.values().sum()
    }

    /// Records the end of a run, and checks that its job was not cancelled long before.
    pub fn record_end(&mut self, task: &TaskKey, endpoint: usize, reason: EndReason, at_ms: u64) {
        if let Some(live) = self.running_at.get_mut(task)
            && let Some(position) = live.iter().position(|&known| known == endpoint)
        {
            live.remove(position);
        }
        if let Some(at) = self.cancel_acked_at.get(&task.job.occurrence(0))
            && at_ms > (at + CANCEL_GRACE_MS).max(self.disturbed_until_ms) + MAX_STOP_MS
        {
            let text = format!("{task} ran until {at_ms} ms; its job was cancelled at {at} ms");
            self.violations.push(text);
        }
        if reason == EndReason::Done {
            self.completed_tasks.insert(task.clone());
            self.completed_at.insert((task.clone(), endpoint), at_ms);
        }
        if reason == EndReason::Failed {
            *self.failed_runs.entry(task.clone()).or_default() += 1;
        }
    }

    /// Records that the completion of a run was acknowledged, and checks that the task did not
    /// start again after that run.
    pub fn record_acknowledgement(&mut self, task: &TaskKey, endpoint: usize, run: u32) {
        let Some(&done_ms) = self.completed_at.get(&(task.clone(), endpoint)) else {
            return;
        };
        self.acknowledged.insert(task.clone());
        let last_ms = self.started_at.get(task).copied().unwrap_or_default();
        if last_ms > done_ms {
            self.violations.push(format!(
                "{task} started at {last_ms} ms, after run {run} at {endpoint} was done ({done_ms} ms)"
            ));
        }
    }

    /// Records that the end of a failed run was acknowledged, and checks that the task did not start after as
    /// many of them as its route allows.
    pub fn record_noted_failure(&mut self, task: &TaskKey, ended: Time) {
        let noted = self.noted_failures.entry(task.clone()).or_default();
        noted.push(ended);
        noted.sort_unstable();
        let Some(last) = noted.get(MAX_ATTEMPTS as usize - 1) else {
            return;
        };
        let last_ms = last.micros_since(Time::from_millis(10_000)) / 1_000;
        let started_ms = self.started_at.get(task).copied().unwrap_or_default();
        if started_ms > last_ms {
            self.violations.push(format!(
                "{task} started at {started_ms} ms, after {MAX_ATTEMPTS} runs had failed until {last_ms} ms"
            ));
        }
    }

    /// Returns the work saved in the checkpoint of a start, in milliseconds, and checks that the
    /// checkpoint belongs to the task.
    pub fn record_resume(&mut self, task: &TaskKey, checkpoint: Option<&str>) -> u64 {
        let Some(checkpoint) = checkpoint else {
            return 0;
        };
        match checkpoint.split_once('@') {
            Some((owner, work_ms)) if owner == task.to_string() => {
                work_ms.parse().unwrap_or_default()
            }
            _ => {
                self.violations.push(format!(
                    "{task} resumed from the checkpoint {checkpoint}, which is not its own"
                ));
                0
            }
        }
    }

    /// Returns the number of runs started for a job and its occurrences.
    pub fn start_count(&self, job: &JobId) -> u32 {
        let of_job = self.starts.iter().filter(|(id, _)| id.parts().0 == job.0);
        of_job.map(|(_, count)| count).sum()
    }

    /// Returns the number of running tasks of a job.
    pub fn running_count(&self, job: &JobId, tasks: u16) -> usize {
        let live = |task: &TaskKey| self.running_at.get(task).is_some_and(|at| !at.is_empty());
        Self::task_keys(job, tasks).filter(live).count()
    }

    pub fn all_completed(&self, job: &JobId, tasks: u16) -> bool {
        Self::task_keys(job, tasks).all(|task| self.completed_tasks.contains(&task))
    }

    /// Returns the number of failed runs of a task.
    pub fn failed_count(&self, task: &TaskKey) -> u32 {
        self.failed_runs.get(task).copied().unwrap_or_default()
    }

    /// Returns whether a task of the job has used up its attempts, or enough endpoints have crashed
    /// under it.
    pub fn may_have_failed(&self, job: &JobId, tasks: u16) -> bool {
        let crashes = |task| self.crashed_under.get(&task).copied().unwrap_or_default();
        Self::task_keys(job, tasks)
            .any(|task| self.failed_count(&task) >= MAX_ATTEMPTS || crashes(task) >= MIN_CRASHES)
    }

    /// Returns whether a task of the job, or its gang, has used up its attempts.
    fn has_used_attempts(&self, job: &JobId, demand: &Demand) -> bool {
        let of_job = self.failed_runs.iter().filter(|(task, _)| task.job == *job);
        let mut counts = of_job.map(|(_, count)| *count);
        if demand.gang {
            return counts.sum::<u32>() >= MAX_ATTEMPTS;
        }
        counts.any(|count| count >= MAX_ATTEMPTS)
    }

    fn task_keys(job: &JobId, count: u16) -> impl Iterator<Item = TaskKey> {
        (0..count).map(|index| TaskKey {
            job: job.clone(),
            step: 0,
            index,
        })
    }

    pub fn record_attempt(&mut self, job: &JobId) {
        *self.unrefused_attempts.entry(job.clone()).or_default() += 1;
    }

    /// Records the answer to an attempt, and checks it against the runs of the job.
    pub fn record_answer(&mut self, job: &JobId, demand: &Demand, answer: Answer) {
        match answer {
            Answer::Completed => {
                self.completed += 1;
                for index in 0..demand.tasks {
                    let task = TaskKey {
                        job: job.clone(),
                        step: 0,
                        index,
                    };
                    if !self.completed_tasks.contains(&task) {
                        self.violations.push(format!(
                            "{job} was answered as completed before {task} had completed"
                        ));
                    }
                }
            }
            Answer::Failed => {
                let mut losses = self.crashed_under.iter();
                let crashed = losses.any(|(task, count)| task.job == *job && *count >= MIN_CRASHES);
                if !crashed && !self.has_used_attempts(job, demand) {
                    self.violations.push(format!(
                        "{job} was answered as failed before its attempts were used up or two \
                         endpoints had crashed under a task"
                    ));
                }
            }
            Answer::NotRun { .. } => {
                self.refused += 1;
                *self.unrefused_attempts.entry(job.clone()).or_default() -= 1;
            }
            Answer::MayHaveRun { .. } => self.lost += 1,
            Answer::Accepted => {
                self.accepted.insert(job.clone());
            }
            Answer::Cancelled | Answer::Unknown => {}
        }
    }

    /// Records a violation for each job that ran although every attempt was answered as not run.
    pub fn check_refusals(&mut self) {
        for (job, starts) in &self.starts {
            if self
                .unrefused_attempts
                .get(job)
                .is_none_or(|&attempts| attempts <= 0)
            {
                self.violations.push(format!(
                    "{job} was answered as not run, but {starts} runs were started"
                ));
            }
        }
    }
}

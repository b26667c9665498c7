//! The stored records of a job.

use fulmarpond_derive::{message, value};
use serde::{Deserialize, Serialize};

use crate::configuration::Route;
use crate::entry::Submission;
use crate::{FrameError, TaskEnd, decode};

/// One incarnation of an entry.
#[message]
#[derive(Eq)]
pub struct Owner {
    /// The host name.
    pub name: String,
    /// The incarnation: a number that differs from those of earlier processes on the same host, or
    /// 0 for a released job.
    pub incarnation: u64,
}

impl Owner {
    /// Returns the owner to write when this entry releases a job because it is stopping.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            name: self.name.clone(),
            incarnation: 0,
        }
    }

    /// Returns whether the previous owner has released the job, so that no entry runs it.
    pub const fn is_released(&self) -> bool {
        self.incarnation == 0
    }
}

/// The status of a job.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// Some of its tasks are not done.
    Open,
    /// All its tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// The immutable specification of a job.
#[message]
pub struct JobSpec {
    /// The route as configured when the job was accepted.
    pub route: Route,
    /// The submission of the caller.
    pub submission: Submission,
}

/// The progress of a step, by the indexes of its tasks.
#[message]
#[derive(Eq, Default)]
pub struct StepProgress {
    /// A bit set of the tasks that are done, eight in a byte.
    done: Vec<u8>,
    /// The number of failures of each task that has failed.
    failures: Vec<(u16, u8)>,
    /// The current epoch of each task that was placed again after its agent was lost.
    epochs: Vec<(u16, u16)>,
    /// The latest checkpoint, as sent by the endpoint, of each unfinished task that has one.
    checkpoints: Vec<(u16, String)>,
}

impl StepProgress {
    /// Marks a task as done and drops its checkpoint.
    pub fn set_done(&mut self, index: u16) {
        let byte = usize::from(index / 8);
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (index % 8);
        self.checkpoints.retain(|(known, _)| *known != index);
    }

    /// Returns whether any task is done.
    pub fn any_done(&self) -> bool {
        self.done.iter().any(|&byte| byte != 0)
    }

    /// Returns whether a task is done.
    pub fn is_done(&self, index: u16) -> bool {
        let byte = self.done.get(usize::from(index / 8));
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Merges the progress recorded in another state of the same step.
    pub fn merge(&mut self, other: &Self) {
        if self.done.len() < other.done.len() {
            self.done.resize(other.done.len(), 0);
        }
        for (own, other) in self.done.iter_mut().zip(&other.done) {
            *own |= other;
        }
        for &(index, count) in &other.failures {
            let count = u32::from(count).max(self.failures(index));
            self.set_failures(index, count);
        }
        for &(index, epoch) in &other.epochs {
            self.set_epoch(index, epoch.max(self.epoch(index)));
        }
        for (index, value) in &other.checkpoints {
            if !self.is_done(*index) && self.checkpoint(*index).is_none() {
                self.set_checkpoint(*index, value.clone());
            }
        }
    }

    /// Records the latest checkpoint of a task.
    pub fn set_checkpoint(&mut self, index: u16, value: String) {
        let mut known = self.checkpoints.iter_mut();
        match known.find(|(known, _)| *known == index) {
            Some((_, known)) => *known = value,
            None => self.checkpoints.push((index, value)),
        }
    }

    /// Returns the latest checkpoint of a task.
    pub fn checkpoint(&self, index: u16) -> Option<&str> {
        let mut known = self.checkpoints.iter();
        let checkpoint = known.find(|(known, _)| *known == index);
        checkpoint.map(|(_, value)| value.as_str())
    }

    /// Sets the epoch of a task's runs.
    pub fn set_epoch(&mut self, index: u16, epoch: u16) {
        match self.epochs.iter_mut().find(|(known, _)| *known == index) {
            Some((_, known)) => *known = epoch,
            None => self.epochs.push((index, epoch)),
        }
    }

    /// Returns the epoch of a task's runs, 0 by default.
    pub fn epoch(&self, index: u16) -> u16 {
        let known = self.epochs.iter().find(|(known, _)| *known == index);
        known.map_or(0, |(_, epoch)| *epoch)
    }

    /// Sets the number of failures of a task, capped at 255.
    pub fn set_failures(&mut self, index: u16, count: u32) {
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        match self.failures.iter_mut().find(|(known, _)| *known == index) {
            Some((_, failures)) => *failures = count,
            None => self.failures.push((index, count)),
        }
    }

    /// Returns the number of failures of a task.
    pub fn failures(&self, index: u16) -> u32 {
        let known = self.failures.iter().find(|(known, _)| *known == index);
        known.map_or(0, |(_, count)| u32::from(*count))
    }
}

/// The mutable state of a job.
#[message]
#[derive(Eq)]
pub struct JobState {
    /// The entry that owns the job.
    pub owner: Owner,
    /// The status of the job.
    pub status: Status,
    /// The name of its route.
    pub route: String,
    /// Whether any of its tasks may have started.
    pub has_started: bool,
    /// The progress of its steps.
    pub steps: Vec<StepProgress>,
    /// The runs whose failure is counted in `steps`. This is the last field: records of earlier
    /// versions end before it.
    pub failed_runs: Vec<FailedRun>,
}

/// A run whose failure is counted.
#[message]
#[derive(Eq)]
pub struct FailedRun {
    /// The step.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u16,
    /// The number of the run.
    pub run: u32,
}

impl FailedRun {
    fn of(end: &TaskEnd) -> Self {
        Self {
            step: end.task.step,
            index: end.task.index,
            run: end.run,
        }
    }
}

impl JobState {
    /// Decodes a stored state, also one of a version that did not record the failed runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no state of a job.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, FrameError> {
        decode(bytes).or_else(|error| {
            let without_runs = [bytes, &[0]].concat();
            decode(&without_runs).map_err(|_| error)
        })
    }

    /// Records that a run has failed, and how often its task has.
    pub(crate) fn record_failure(&mut self, end: &TaskEnd, failures: u32) {
        if let Some(step) = self.steps.get_mut(usize::from(end.task.step)) {
            step.set_failures(end.task.index, failures);
        }
        let failed = FailedRun::of(end);
        if !self.failed_runs.contains(&failed) {
            self.failed_runs.push(failed);
        }
    }

    /// Returns whether the failure of a run is counted.
    pub(crate) fn has_counted(&self, end: &TaskEnd) -> bool {
        self.failed_runs.contains(&FailedRun::of(end))
    }

    /// Returns whether a failure of a run is counted for any task of a step.
    pub(crate) fn has_counted_in_step(&self, step: u16, run: u32) -> bool {
        let mut failed = self.failed_runs.iter();
        failed.any(|failed| failed.step == step && failed.run == run)
    }

    /// Returns the runs of a task whose failure is counted.
    pub(crate) fn failed_runs_of(&self, step: u16, index: u16) -> Vec<u32> {
        let failed = self.failed_runs.iter();
        let of_task = failed.filter(|failed| failed.step == step && failed.index == index);
        of_task.map(|failed| failed.run).collect()
    }

    /// Merges the progress recorded in another state of the same job.
    pub fn merge(&mut self, other: &Self) {
        self.has_started |= other.has_started;
        for failed in &other.failed_runs {
            if !self.failed_runs.contains(failed) {
                self.failed_runs.push(failed.clone());
            }
        }
        for (own, other) in self.steps.iter_mut().zip(&other.steps) {
            own.merge(other);
        }
    }
}

//! What the store keeps of a job.

use fulmarpond_derive::{message, value};
use serde::{Deserialize, Serialize};

use crate::entry::{Route, Submission};

/// One life of an entry.
#[message]
#[derive(Eq)]
pub struct Owner {
    /// The host name.
    pub name: String,
    /// A number that differs from those of the earlier processes on this host.
    pub life: u64,
}

impl Owner {
    /// Returns the owner of a job that this entry gives away, since it stops.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            name: self.name.clone(),
            life: 0,
        }
    }

    /// Returns whether the job was given away, and no entry runs it.
    pub const fn is_released(&self) -> bool {
        self.life == 0
    }
}

/// What became of a job.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// It has tasks left.
    Open,
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// What a caller submitted; it never changes.
#[message]
pub struct JobSpec {
    /// The route, as it was when the job was accepted.
    pub route: Route,
    /// The job.
    pub submission: Submission,
}

/// The progress of a step.
#[message]
#[derive(Eq, Default)]
pub struct StepProgress {
    /// A bit for each task that is done, eight in a byte.
    done: Vec<u8>,
    /// Tasks that have failed, with the number of failures.
    failures: Vec<(u16, u8)>,
    /// Tasks that were placed again after their agent was lost, with the epoch of their runs.
    epochs: Vec<(u16, u16)>,
    /// Tasks that have saved their progress, with what the endpoint gave.
    checkpoints: Vec<(u16, String)>,
}

impl StepProgress {
    /// Notes that a task is done.
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

    /// Adds what another state of the same step knows.
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

    /// Notes the progress that a task has saved.
    pub fn set_checkpoint(&mut self, index: u16, value: String) {
        let mut known = self.checkpoints.iter_mut();
        match known.find(|(known, _)| *known == index) {
            Some((_, known)) => *known = value,
            None => self.checkpoints.push((index, value)),
        }
    }

    /// Returns the progress that a task has saved.
    pub fn checkpoint(&self, index: u16) -> Option<&str> {
        let mut known = self.checkpoints.iter();
        let own = known.find(|(known, _)| *known == index);
        own.map(|(_, value)| value.as_str())
    }

    /// Notes the epoch of a task's runs.
    pub fn set_epoch(&mut self, index: u16, epoch: u16) {
        match self.epochs.iter_mut().find(|(known, _)| *known == index) {
            Some((_, known)) => *known = epoch,
            None => self.epochs.push((index, epoch)),
        }
    }

    /// Returns the epoch of a task's runs.
    pub fn epoch(&self, index: u16) -> u16 {
        let known = self.epochs.iter().find(|(known, _)| *known == index);
        known.map_or(0, |(_, epoch)| *epoch)
    }

    /// Notes how often a task has failed.
    pub fn set_failures(&mut self, index: u16, count: u32) {
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        match self.failures.iter_mut().find(|(known, _)| *known == index) {
            Some((_, failures)) => *failures = count,
            None => self.failures.push((index, count)),
        }
    }

    /// Returns how often a task has failed.
    pub fn failures(&self, index: u16) -> u32 {
        let known = self.failures.iter().find(|(known, _)| *known == index);
        known.map_or(0, |(_, count)| u32::from(*count))
    }
}

/// The state of a job.
#[message]
#[derive(Eq)]
pub struct JobState {
    /// The entry that runs the job.
    pub owner: Owner,
    /// What became of it.
    pub status: Status,
    /// The name of the route.
    pub route: String,
    /// Whether a task may have started.
    pub begun: bool,
    /// The progress of its steps.
    pub steps: Vec<StepProgress>,
}

impl JobState {
    /// Adds the progress that another state of the same job knows.
    pub fn merge(&mut self, other: &Self) {
        self.begun |= other.begun;
        for (own, other) in self.steps.iter_mut().zip(&other.steps) {
            own.merge(other);
        }
    }
}

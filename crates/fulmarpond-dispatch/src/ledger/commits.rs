//! Changes that wait to be written.

use std::collections::BTreeMap;

use super::record::{JobSpec, JobState};
use crate::JobId;

/// A change of a job's items.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Change {
    /// What was submitted, if the job is new.
    pub(super) spec: Option<JobSpec>,
    /// The state; nothing removes the job.
    pub(super) state: Option<JobState>,
}

impl Change {
    /// Returns how many entries of a call it takes: its condition, and the items that it writes or
    /// removes.
    const fn entries(&self) -> usize {
        let writes_both = self.spec.is_some() || self.state.is_none();
        if writes_both { 3 } else { 2 }
    }
}

/// Changes by job: a newer one replaces one that is not written yet.
#[derive(Debug, Default)]
pub(super) struct Commits {
    waiting: BTreeMap<JobId, Change>,
    pub(super) under_way: Vec<(JobId, Change)>,
}

impl Commits {
    pub(super) fn push(&mut self, job: JobId, change: Change) {
        match self.waiting.get_mut(&job) {
            // What was submitted must not get lost with a newer state.
            Some(known) => known.state = change.state,
            None => {
                self.waiting.insert(job, change);
            }
        }
    }

    /// Moves the next changes under way, up to a number of entries in one call.
    pub(super) fn begin(&mut self, most: usize) -> &[(JobId, Change)] {
        let mut used: usize = self
            .under_way
            .iter()
            .map(|(_, change)| change.entries())
            .sum();
        // A change is derived from the one before it, which may be under way without an answer.
        let unanswered = |job: &JobId| self.under_way.iter().any(|(known, _)| known == job);
        let mut next = Vec::new();
        for (job, change) in &self.waiting {
            if unanswered(job) {
                continue;
            }
            used += change.entries();
            if used > most {
                break;
            }
            next.push(job.clone());
        }
        for job in next {
            if let Some(change) = self.waiting.remove(&job) {
                self.under_way.push((job, change));
            }
        }
        &self.under_way
    }

    /// Returns the changes that were under way.
    pub(super) fn take_under_way(&mut self) -> Vec<(JobId, Change)> {
        std::mem::take(&mut self.under_way)
    }

    /// Puts a change back, unless a newer one waits.
    pub(super) fn retry(&mut self, job: JobId, change: Change) {
        match self.waiting.get_mut(&job) {
            Some(newer) => newer.spec = change.spec,
            None => {
                self.waiting.insert(job, change);
            }
        }
    }

    pub(super) fn forget(&mut self, job: &JobId) {
        self.waiting.remove(job);
    }

    pub(super) fn take_waiting(&mut self, job: &JobId) -> Option<Change> {
        self.waiting.remove(job)
    }

    pub(super) fn is_waiting(&self, job: &JobId) -> bool {
        self.waiting.contains_key(job) || self.under_way.iter().any(|(known, _)| known == job)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len() + self.under_way.len()
    }
}

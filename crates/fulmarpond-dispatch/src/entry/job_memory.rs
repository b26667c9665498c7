//! The bound on the memory of the jobs that an entry holds.
//!
//! A short body may ask for tens of thousands of tasks, of which each has a row. Jobs above the bound
//! are refused before their rows exist. Jobs that other entries leave behind are taken over all the
//! same: they are accepted already.

use super::entry::Entry;
use super::job::{Job, Task};
use super::submission::{Step, Submission};
use crate::Refusal;

/// The bound of a new entry, in bytes.
const DEFAULT_LIMIT_BYTES: usize = 30 * 1024 * 1024;

/// A job that takes more than this share of the bound is a large one.
const LARGE_JOB_SHARE: usize = 16;

/// The share of the bound that large jobs may fill. The rest is left to the others.
const LARGE_JOBS_SHARE: usize = 2;

/// The memory of the jobs that an entry holds, in bytes.
#[derive(Debug)]
pub(super) struct JobMemory {
    limit: usize,
    held: usize,
}

impl Default for JobMemory {
    fn default() -> Self {
        Self {
            limit: DEFAULT_LIMIT_BYTES,
            held: 0,
        }
    }
}

impl JobMemory {
    /// Admits a job, unless it would take more memory than is left for jobs of its size. A job is
    /// always admitted while no other is held.
    fn admit(&mut self, submission: &Submission) -> Result<(), Refusal> {
        let bytes = job_bytes(submission);
        let is_large = bytes > self.limit / LARGE_JOB_SHARE;
        let limit = if is_large {
            self.limit / LARGE_JOBS_SHARE
        } else {
            self.limit
        };
        if self.held > 0 && self.held + bytes > limit {
            return Err(Refusal::NoMemory);
        }
        self.held += bytes;
        Ok(())
    }
}

impl Entry {
    /// Sets the memory that the jobs of the entry may take, in bytes.
    pub const fn set_job_bytes(&mut self, limit: usize) {
        self.job_memory.limit = limit;
    }

    /// Returns why a job that is submitted is refused for its size, if it is.
    pub(super) fn admit_size(&mut self, submission: &Submission) -> Result<(), Refusal> {
        self.job_memory.admit(submission)
    }

    /// Counts the memory of the jobs that are held now.
    pub(super) fn count_job_memory(&mut self) {
        let pending = self.durable.pending_submissions.values();
        let pending = pending.map(|pending| job_bytes(&pending.submission));
        let waiting = self.held.jobs();
        let waiting = waiting.map(|(_, held)| job_bytes(&held.submission));
        let jobs = self.jobs.values().map(Job::bytes);
        self.job_memory.held = jobs.chain(pending).chain(waiting).sum();
    }
}

impl Job {
    /// Returns about how much memory the job takes, in bytes.
    fn bytes(&self) -> usize {
        submission_bytes(&self.submission) + self.tasks.len() * size_of::<Task>()
    }
}

fn job_bytes(submission: &Submission) -> usize {
    let counts = submission.steps.iter().map(|step| usize::from(step.count));
    submission_bytes(submission) + counts.sum::<usize>() * size_of::<Task>()
}

const fn submission_bytes(submission: &Submission) -> usize {
    submission.spec.len() + submission.steps.len() * size_of::<Step>()
}

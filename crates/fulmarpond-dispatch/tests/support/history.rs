//! What happened to tasks and jobs, and which promises it breaks.

use std::collections::{HashMap, HashSet};

use fulmarpond_dispatch::entry::Answer;
use fulmarpond_dispatch::{JobId, TaskKey};

/// The events that the promises speak about.
#[derive(Debug, Default)]
pub struct History {
    /// The endpoints where each task runs now.
    live: HashMap<TaskKey, Vec<usize>>,
    starts: HashMap<JobId, u32>,
    done: HashSet<TaskKey>,
    failed: HashMap<TaskKey, u32>,
    /// Attempts of a job that may have led to a start: sent, and not refused as not run.
    open: HashMap<JobId, i64>,
    pub broken: Vec<String>,
    pub completed: u32,
    pub on_time: u32,
    pub refused: u32,
    pub lost: u32,
}

impl History {
    pub fn started(&mut self, task: &TaskKey, endpoint: usize, at_ms: u64) {
        let live = self.live.entry(task.clone()).or_default();
        if !live.is_empty() {
            let text =
                format!("{task} started at {endpoint} while it runs at {live:?}, {at_ms} ms");
            self.broken.push(text);
        }
        live.push(endpoint);
        *self.starts.entry(task.job.clone()).or_default() += 1;
    }

    pub fn ended(&mut self, task: &TaskKey, endpoint: usize, done: bool, failed: bool) {
        if let Some(live) = self.live.get_mut(task)
            && let Some(position) = live.iter().position(|&known| known == endpoint)
        {
            live.remove(position);
        }
        if done {
            self.done.insert(task.clone());
        }
        if failed {
            *self.failed.entry(task.clone()).or_default() += 1;
        }
    }

    pub fn sent(&mut self, job: &JobId) {
        *self.open.entry(job.clone()).or_default() += 1;
    }

    pub fn answered(&mut self, job: &JobId, tasks: u16, answer: Answer) {
        match answer {
            Answer::Completed => {
                self.completed += 1;
                for index in 0..tasks {
                    let task = TaskKey {
                        job: job.clone(),
                        step: 0,
                        index,
                    };
                    if !self.done.contains(&task) {
                        self.broken.push(format!("{job} completed without {task}"));
                    }
                }
            }
            Answer::Failed => {
                let failed = self.failed.iter().any(|(task, _)| task.job == *job);
                if !failed {
                    self.broken
                        .push(format!("{job} failed without a failed run"));
                }
            }
            Answer::NotRun { .. } => {
                self.refused += 1;
                *self.open.entry(job.clone()).or_default() -= 1;
            }
            Answer::MayHaveRun { .. } => self.lost += 1,
            Answer::Accepted | Answer::Cancelled | Answer::Unknown => {}
        }
    }

    /// Adds the jobs that ran although every attempt was refused as not run.
    pub fn check_refusals(&mut self) {
        for (job, starts) in &self.starts {
            if self.open.get(job).is_none_or(|&open| open <= 0) {
                self.broken
                    .push(format!("{job} was refused and has {starts} starts"));
            }
        }
    }
}

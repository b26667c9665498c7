//! Tasks that run until their job is cancelled.
//!
//! Such a task is started again however it ends. Its ends are of no account: they are neither
//! counted nor written to the store, and its runs begin no epochs.

use fulmarpond_core::Time;
use tracing::info;

use super::entry::Entry;
use super::job::{Job, Task, TaskState};
use crate::{LinkNo, Outcome, TaskEnd};

/// A run that has gone on for so long counts as a success, in milliseconds.
const STEADY_MS: u32 = 10_000;

/// The pause before the second start in a row after a short run, in milliseconds. The first start is
/// made at once.
const PAUSE_MS: u64 = 100;

/// How often that pause is doubled at most: a task that fails at each start is still started every
/// 1.6 s, since it has to be back within a few seconds of the end of its trouble.
const MOST_DOUBLINGS: u32 = 4;

/// The pause after an agent did not start a task, in milliseconds: its next status tells why.
const REFUSED_MS: u64 = 50;

impl Entry {
    /// Starts a task again whose run has ended, after a pause that grows with each short run.
    pub(super) fn long_run_ended(&mut self, link: LinkNo, end: &TaskEnd, now: Time) {
        let id = &end.task.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return;
        };
        if task.state != TaskState::Sent(link) {
            return;
        }
        let pause = task.pause_after(end);
        let over = now.after_millis(pause);
        task.state = TaskState::Resting(over);
        self.counters.retried += 1;
        let agent = self.fleet.views.get(&link);
        info!(
            task = %end.task,
            run = end.run,
            outcome = ?end.outcome,
            elapsed_ms = end.elapsed,
            short_runs = task.short_runs,
            pause_ms = pause,
            agent = agent.map_or("", |view| view.name.as_str()),
            "long-running task is started again"
        );
        self.wait_for_lost(over, id.clone());
    }
}

impl Job {
    /// Returns whether the tasks of a step run until the job is cancelled.
    pub(super) fn is_long_running(&self, step: u16) -> bool {
        let steps = &self.submission.steps;
        let about = steps.get(usize::from(step));
        about.is_some_and(|about| about.long_running)
    }
}

impl Task {
    /// Returns the pause before the next start after a run has ended, in milliseconds.
    fn pause_after(&mut self, end: &TaskEnd) -> u64 {
        match end.outcome {
            Outcome::Unavailable | Outcome::NoRoom | Outcome::NoTicket => REFUSED_MS,
            Outcome::Done | Outcome::Failed | Outcome::Aborted if end.elapsed >= STEADY_MS => {
                self.short_runs = 0;
                0
            }
            Outcome::Done | Outcome::Failed | Outcome::Aborted => {
                self.short_runs = self.short_runs.saturating_add(1);
                match self.short_runs {
                    1 => 0,
                    runs => PAUSE_MS << (runs - 2).min(MOST_DOUBLINGS),
                }
            }
        }
    }
}

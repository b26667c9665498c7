//! Tasks that run until their job is cancelled.
//!
//! Such a task is started again however it ends. Its ends are of no account: they are neither
//! counted nor written to the store, and its runs begin no epochs.
//!
//! When the entry is gone, or gives the job away, the agents keep the runs for a while and tell all
//! entries about them; the owner of the job claims them. It starts a task again only when its run
//! can't be waiting at an agent any more.

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::job::{Job, Task, TaskState};
use crate::{EntryFrame, JobId, LinkNo, Outcome, TaskEnd, TaskKey};

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

/// What becomes of a run that waits for an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// This entry owns it.
    Adopt,
    /// Nobody needs it.
    End,
    /// Another entry owns its job, or it is not known whether anybody needs it.
    Leave,
}

impl Entry {
    /// Takes all tasks at an agent that wait for an owner.
    pub(super) fn unowned(
        &mut self,
        link: LinkNo,
        tasks: &[TaskKey],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut adopted = Vec::new();
        let mut ended = Vec::new();
        for task in tasks {
            match self.claim(link, task, now) {
                Claim::Adopt => adopted.push(task.clone()),
                Claim::End => ended.push(task.clone()),
                Claim::Leave => {}
            }
        }
        self.release_missing(link, tasks, now);
        adopted.extend_from_slice(&ended);
        if !adopted.is_empty() {
            info!(
                agent = self.fleet.name(link),
                tasks = adopted.len(),
                "runs adopted"
            );
            let frame = EntryFrame::Adopt(adopted);
            out.push(Action::Send { link, frame });
        }
        for task in ended {
            info!(%task, "nobody needs a run, stopping it");
            let frame = EntryFrame::Stop {
                job: task.job,
                tasks: vec![(task.step, task.index)],
                report: false,
            };
            out.push(Action::Send { link, frame });
        }
    }

    /// Decides about a run that waits for an owner, and takes it if this entry is the owner.
    fn claim(&mut self, link: LinkNo, key: &TaskKey, now: Time) -> Claim {
        let runs = self.kept.runs();
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return if self.is_obsolete(&key.job, now) {
                Claim::End
            } else {
                Claim::Leave
            };
        };
        let Some(task) = job.task(key.step, key.index).filter(|_| runs) else {
            return Claim::Leave;
        };
        match task.state {
            TaskState::Sent(known) if known == link => Claim::Leave,
            TaskState::Sent(_) | TaskState::Done | TaskState::Confirming => Claim::End,
            TaskState::Lost(_) | TaskState::Waiting | TaskState::Resting(_) => {
                task.state = TaskState::Sent(link);
                task.last = Some(link);
                task.lost_at = None;
                job.begun = true;
                Claim::Adopt
            }
        }
    }

    /// Starts tasks again that were lost with an agent which has no run of them any more.
    fn release_missing(&mut self, link: LinkNo, listed: &[TaskKey], now: Time) {
        let name = self.fleet.name(link).to_owned();
        let mut over = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.end_missing(&name, listed, now) {
                over.push(id.clone());
            }
        }
        for id in over {
            self.wait_for_lost(now, id);
        }
    }

    /// Notes whether a long-running task is at work.
    pub(super) fn note_working(&mut self, link: LinkNo, key: &TaskKey, working: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.task(key.step, key.index) else {
            return;
        };
        if task.state == TaskState::Sent(link) {
            info!(task = %key, working, "long-running task changed");
            task.working = working && !task.moving;
        }
    }

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
        task.working = false;
        task.moving = false;
        self.counters.retried += 1;
        let short_runs = task.short_runs;
        info!(
            task = %end.task,
            run = end.run,
            outcome = ?end.outcome,
            elapsed_ms = end.elapsed,
            short_runs,
            pause_ms = pause,
            agent = self.fleet.name(link),
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

    /// Returns whether tasks were sent that end by themselves.
    pub(super) fn has_ending_runs(&self) -> bool {
        let mut sent = self
            .tasks
            .iter()
            .filter(|task| matches!(task.state, TaskState::Sent(_)));
        sent.any(|task| !self.is_long_running(task.step))
    }

    /// Notes that the long-running tasks at an agent are lost with it; returns whether there are any.
    pub(super) fn lose_long_runs(&mut self, link: LinkNo, agent: &str, over: Time) -> bool {
        let steps = &self.submission.steps;
        let long = |task: &Task| steps[usize::from(task.step)].long_running;
        let mut any = false;
        for task in self.tasks.iter_mut().filter(|task| long(task)) {
            if task.state == TaskState::Sent(link) {
                task.state = TaskState::Lost(over);
                task.working = false;
                task.moving = false;
                task.lost_at = Some(agent.to_owned());
                any = true;
            }
        }
        any
    }

    /// Takes back the tasks that were lost with an agent and are not among its runs without an owner;
    /// returns whether there are any.
    fn end_missing(&mut self, agent: &str, listed: &[TaskKey], now: Time) -> bool {
        let id: &JobId = &self.id;
        let mut any = false;
        for task in &mut self.tasks {
            let lost = matches!(task.state, TaskState::Lost(_));
            if !lost || task.lost_at.as_deref() != Some(agent) {
                continue;
            }
            let goes_on =
                |key: &TaskKey| key.job == *id && key.step == task.step && key.index == task.index;
            if !listed.iter().any(goes_on) {
                task.state = TaskState::Lost(now);
                task.lost_at = None;
                any = true;
            }
        }
        any
    }
}

impl Task {
    /// Returns the pause before the next start after a run has ended, in milliseconds.
    fn pause_after(&mut self, end: &TaskEnd) -> u64 {
        match end.outcome {
            Outcome::Aborted if self.moving => 0,
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

//! Tasks that run until their job is cancelled.
//!
//! Such a task is restarted however it ends. Its ends have no effect on the job: they are neither
//! counted nor written to the store, and its runs start no new epochs.
//!
//! When the entry fails or releases the job, the agents keep the orphaned runs for a limited time
//! and report them to all entries; the owner of the job adopts them. It restarts a task only when
//! no agent can hold an orphaned run of it any more.

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::job::{Job, Task, TaskState};
use crate::{EntryFrame, JobId, LinkNo, Outcome, TaskEnd, TaskKey};

/// The time after which a run counts as stable and resets the restart backoff, in milliseconds.
const STABLE_RUN_MS: u32 = 10_000;

/// The pause before a restart after the second short run in a row, in milliseconds. After the first
/// one the restart is immediate.
const RESTART_PAUSE_MS: u64 = 100;

/// The maximum number of times that the pause is doubled. A task that fails at each start is
/// restarted every 1.6 s, since it has to run again within a few seconds once the cause is removed.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The pause after an agent did not start a task, in milliseconds, so that its next status, which
/// shows the reason, arrives before the task is placed again.
const REFUSED_PAUSE_MS: u64 = 50;

/// The decision on an orphaned run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// This entry owns the job and adopts the run.
    Adopt,
    /// The run is obsolete and is stopped.
    Stop,
    /// The run is left alone: another entry owns its job, or it is not known whether it is needed.
    Ignore,
}

impl Entry {
    /// Handles the complete list of orphaned runs at an agent.
    pub(super) fn handle_orphaned_runs(
        &mut self,
        link: LinkNo,
        tasks: &[TaskKey],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut adopted = Vec::new();
        let mut obsolete = Vec::new();
        for task in tasks {
            match self.claim_run(link, task, now) {
                Claim::Adopt => adopted.push(task.clone()),
                Claim::Stop => obsolete.push(task.clone()),
                Claim::Ignore => {}
            }
        }
        self.release_unlisted(link, tasks, now);
        adopted.extend_from_slice(&obsolete);
        if !adopted.is_empty() {
            info!(
                agent = self.fleet.name(link),
                tasks = adopted.len(),
                "runs adopted"
            );
            let frame = EntryFrame::Adopt(adopted);
            out.push(Action::Send { link, frame });
        }
        for task in obsolete {
            info!(%task, "run is obsolete, stopping it");
            let frame = EntryFrame::Stop {
                job: task.job,
                tasks: vec![(task.step, task.index)],
                report: false,
            };
            out.push(Action::Send { link, frame });
        }
    }

    /// Decides on an orphaned run, and marks its task as sent if this entry adopts it.
    fn claim_run(&mut self, link: LinkNo, key: &TaskKey, now: Time) -> Claim {
        let can_place = self.durable.can_place_tasks(now);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return if self.is_obsolete(&key.job, now) {
                Claim::Stop
            } else {
                Claim::Ignore
            };
        };
        let Some(task) = job.task(key.step, key.index).filter(|_| can_place) else {
            return Claim::Ignore;
        };
        match task.state {
            TaskState::Sent(current) if current == link => Claim::Ignore,
            TaskState::Sent(_) | TaskState::Done | TaskState::Confirming => Claim::Stop,
            TaskState::Lost(_) | TaskState::Waiting | TaskState::RestartDelayed(_) => {
                task.state = TaskState::Sent(link);
                task.last_agent = Some(link);
                task.lost_at = None;
                job.has_started = true;
                Claim::Adopt
            }
        }
    }

    /// Restarts tasks that were lost with an agent and whose runs it does not list any more.
    fn release_unlisted(&mut self, link: LinkNo, listed: &[TaskKey], now: Time) {
        let name = self.fleet.name(link).to_owned();
        let mut released = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.expire_unlisted(&name, listed, now) {
                released.push(id.clone());
            }
        }
        for id in released {
            self.requeue_at(now, id);
        }
    }

    /// Records whether a long-running task is working.
    pub(super) fn set_working(&mut self, link: LinkNo, key: &TaskKey, working: bool) {
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

    /// Schedules the restart of a task whose run has ended, with a backoff for short runs.
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
        let pause = task.next_restart_pause_ms(end);
        let restart_at = now.after_millis(pause);
        task.state = TaskState::RestartDelayed(restart_at);
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
        self.requeue_at(restart_at, id.clone());
    }
}

impl Job {
    /// Returns whether the tasks of a step run until the job is cancelled.
    pub(super) fn is_long_running(&self, step: u16) -> bool {
        let steps = &self.submission.steps;
        let definition = steps.get(usize::from(step));
        definition.is_some_and(|definition| definition.long_running)
    }

    /// Returns whether any task that ends by itself was sent and has not ended.
    pub(super) fn has_finite_runs(&self) -> bool {
        let mut sent = self
            .tasks
            .iter()
            .filter(|task| matches!(task.state, TaskState::Sent(_)));
        sent.any(|task| !self.is_long_running(task.step))
    }

    /// Marks the long-running tasks at an agent as lost, until `expires` at the latest; returns
    /// whether there are any.
    pub(super) fn mark_long_runs_lost(&mut self, link: LinkNo, agent: &str, expires: Time) -> bool {
        let steps = &self.submission.steps;
        let is_long_running = |task: &Task| steps[usize::from(task.step)].long_running;
        let mut is_changed = false;
        for task in self.tasks.iter_mut().filter(|task| is_long_running(task)) {
            if task.state == TaskState::Sent(link) {
                task.state = TaskState::Lost(expires);
                task.working = false;
                task.moving = false;
                task.lost_at = Some(agent.to_owned());
                is_changed = true;
            }
        }
        is_changed
    }

    /// Makes tasks restartable now that were lost with an agent and are not among its orphaned
    /// runs; returns whether there are any.
    fn expire_unlisted(&mut self, agent: &str, listed: &[TaskKey], now: Time) -> bool {
        let id: &JobId = &self.id;
        let mut is_changed = false;
        for task in &mut self.tasks {
            let is_lost = matches!(task.state, TaskState::Lost(_));
            if !is_lost || task.lost_at.as_deref() != Some(agent) {
                continue;
            }
            let matches_task =
                |key: &TaskKey| key.job == *id && key.step == task.step && key.index == task.index;
            if !listed.iter().any(matches_task) {
                task.state = TaskState::Lost(now);
                task.lost_at = None;
                is_changed = true;
            }
        }
        is_changed
    }
}

impl Task {
    /// Counts short runs in a row, and returns the pause before the restart after the end of a run,
    /// in milliseconds.
    fn next_restart_pause_ms(&mut self, end: &TaskEnd) -> u64 {
        match end.outcome {
            Outcome::Aborted if self.moving => 0,
            Outcome::Unavailable | Outcome::NoRoom | Outcome::NoTicket => REFUSED_PAUSE_MS,
            Outcome::Done | Outcome::Failed | Outcome::Aborted if end.elapsed >= STABLE_RUN_MS => {
                self.short_runs = 0;
                0
            }
            Outcome::Done | Outcome::Failed | Outcome::Aborted => {
                self.short_runs = self.short_runs.saturating_add(1);
                match self.short_runs {
                    1 => 0,
                    short_runs => RESTART_PAUSE_MS << (short_runs - 2).min(MAX_PAUSE_DOUBLINGS),
                }
            }
        }
    }
}

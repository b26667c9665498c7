//! Results of tasks that agents report.

use fulmarpond_core::Time;
use tracing::info;

use super::entry::Entry;
use super::job::TaskState;
use super::{Action, Answer, StepKey};
use crate::{EntryFrame, JobId, LinkNo, Outcome, Refusal, TaskEnd};

/// Run times at endpoints whose slowness reaches this value are not used to learn estimates, in
/// percent.
const MAX_LEARNING_SLOWNESS_PERCENT: u32 = 200;

impl Entry {
    /// Handles the end of a task, and places the tasks of its job that are ready.
    pub(super) fn handle_task_end(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = &end.task.job;
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.is_long_running(end.task.step)) {
            self.long_run_ended(link, end, now);
            return;
        }
        if !self.record_outcome(link, end) {
            return;
        }
        if end.outcome == Outcome::NoTicket
            && let Some(view) = self.fleet.views.get(&link)
        {
            let step = StepKey {
                job: id.clone(),
                step: end.task.step,
            };
            self.advice.discard_ticket(&step, &view.endpoint);
        }
        let job_continues = match end.outcome {
            Outcome::Done => self.handle_task_done(link, end, now, out),
            _ => self.retry_or_fail_task(link, end, now, out),
        };
        if end.outcome != Outcome::Done
            && self
                .jobs
                .get(id)
                .is_some_and(|job| job.is_gang(end.task.step))
        {
            self.break_gang(id, end.task.step, out);
        }
        if job_continues {
            if self.is_returned_by_evacuation(link, end) {
                self.replace_returned_task(id, now, out);
            } else {
                self.place(id, now, out);
            }
        }
    }

    /// Records the outcome of a task; returns whether the task was running at this link.
    fn record_outcome(&mut self, link: LinkNo, end: &TaskEnd) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let gang = job.is_gang(end.task.step);
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return false;
        };
        if task.state != TaskState::Sent(link) {
            return false;
        }
        task.state = TaskState::Waiting;
        task.last_run = task.last_run.max(end.run);
        match end.outcome {
            Outcome::Done => task.state = TaskState::Done,
            Outcome::Failed if !gang => task.count_failure(end.run),
            Outcome::Failed => {}
            Outcome::Aborted => task.aborts += 1,
            Outcome::Unavailable | Outcome::NoRoom | Outcome::NoTicket => {}
        }
        if job.is_gang(end.task.step) {
            job.propagate_member_end(end);
        }
        let final_end = matches!(end.outcome, Outcome::Done | Outcome::Failed);
        job.has_started |= final_end || end.outcome == Outcome::Aborted;
        if final_end && job.state.is_some() {
            Self::store_task_end(&mut self.ledger, &mut self.durable, job, link, end);
        }
        true
    }

    /// Updates the estimate from a completed task, and finishes its job if all tasks are done;
    /// returns whether the job continues.
    fn handle_task_done(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let view = self.fleet.views.get(&link);
        let is_representative = view.is_some_and(|view| {
            view.load.slowness < MAX_LEARNING_SLOWNESS_PERCENT && now >= view.cold_until
        });
        let run_factor = view.map_or(1.0, |view| view.run_factor);
        let Some(job) = self.jobs.get(&end.task.job) else {
            return false;
        };
        if is_representative && end.elapsed > 0 {
            let step = &job.submission.steps[usize::from(end.task.step)];
            self.estimates
                .observe(&job.route.name, step.estimate, end.elapsed, run_factor);
        }
        if job.is_done() {
            self.finish(&end.task.job, Answer::Completed, now, out);
            return false;
        }
        true
    }

    /// Handles a task that ended without success: it is retried, unless its attempts are used up or
    /// its job is withdrawn. Returns whether it is retried.
    fn retry_or_fail_task(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let id = &end.task.job;
        let was_evacuated = self.is_returned_by_evacuation(link, end);
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        // An agent is not to blame for the end of a member that was stopped with its gang, for an
        // expired ticket, or for the evacuation of its zone.
        let counts_against_agent = end.outcome != Outcome::NoTicket
            && !was_evacuated
            && !job.broken_gangs.contains(&end.task.step)
            || end.outcome == Outcome::Failed;
        if counts_against_agent {
            job.avoided_agents.push(link);
        }
        let (is_durable, max_attempts) = (job.state.is_some(), job.route.attempts);
        let task = job.task(end.task.step, end.task.index);
        let failures = task.map_or(0, |task| task.failures);
        self.counters.retried += 1;
        info!(
            task = %end.task,
            outcome = ?end.outcome,
            failures,
            agent = self.fleet.name(link),
            evacuated = was_evacuated,
            "task is placed again"
        );
        if failures >= max_attempts {
            self.finish(id, Answer::Failed, now, out);
            return false;
        }
        is_durable || !self.withdraw(id, now, out)
    }

    /// Withdraws a job that missed its latency objective before any of its tasks started, to free
    /// capacity for jobs that can still meet theirs. Returns whether the job is withdrawn.
    pub(super) fn withdraw(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if job.has_started || now < job.start_by {
            return false;
        }
        let links = job.links();
        if links.is_empty() {
            let id = id.clone();
            self.give_up(&id, Refusal::Overloaded, now, out);
            return true;
        }
        if !job.is_withdrawn {
            job.is_withdrawn = true;
            for link in links {
                let frame = EntryFrame::Withdraw(id.clone());
                out.push(Action::Send { link, frame });
            }
        }
        true
    }
}

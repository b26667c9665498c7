//! Ends of tasks of durable jobs. Agents hold the ends until they are acknowledged, which happens
//! once they are in the store.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::info;

use super::durable_jobs::{DurableJobs, UnacknowledgedEnd, UnknownEnd};
use super::entry::Entry;
use super::job::{Job, TaskState};
use super::{Action, Answer};
use crate::epoch::epoch_of;
use crate::ledger::{Ledger, Status};
use crate::{EntryFrame, JobId, LinkNo, Outcome, TaskEnd, TaskRun};

/// The epoch of the first attempt of a gang.
const FIRST_GANG_EPOCH: u16 = 1;

impl Entry {
    /// Queues the write of the end of a task to the store.
    pub(super) fn store_task_end(
        ledger: &mut Ledger,
        durable: &mut DurableJobs,
        job: &mut Job,
        link: LinkNo,
        end: &TaskEnd,
    ) {
        let failures = job
            .task(end.task.step, end.task.index)
            .map_or(0, |task| task.failures);
        let is_gang = job.is_gang(end.task.step);
        let count = job.submission.steps[usize::from(end.task.step)].count;
        let Some(state) = &mut job.state else {
            return;
        };
        let Some(step) = state.steps.get_mut(usize::from(end.task.step)) else {
            return;
        };
        let is_done = end.outcome == Outcome::Done;
        if is_done && is_gang {
            (0..count).for_each(|index| step.set_done(index));
        } else if is_done {
            step.set_done(end.task.index);
        } else {
            state.record_failure(end, failures);
        }
        state.has_started = true;
        ledger.change(&end.task.job, state.clone());
        let pending = UnacknowledgedEnd {
            link,
            end: end.clone(),
        };
        let job_ends = durable
            .unacknowledged
            .entry(end.task.job.clone())
            .or_default();
        job_ends.push(pending);
    }

    /// Queues the write of the epoch of a gang's attempt, unless it is the first one. An attempt of the
    /// next owner then has another epoch, and none of its ends is taken for one of this attempt.
    pub(super) fn store_gang_epoch(&mut self, id: &JobId, job: &Job, step: u16) {
        let is_repeated = job
            .tasks
            .iter()
            .any(|task| task.step == step && task.epoch > FIRST_GANG_EPOCH);
        if let Some(state) = &job.state
            && is_repeated
        {
            self.ledger.change(id, state.clone());
        }
    }

    /// Handles ends that an agent holds because no entry has acknowledged them.
    pub(super) fn handle_unacknowledged_ends(
        &mut self,
        link: LinkNo,
        ends: &[TaskEnd],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let (mut acknowledged, mut superseded) = (Vec::new(), Vec::new());
        for end in ends {
            let run = TaskRun {
                task: end.task.clone(),
                run: end.run,
            };
            if self.is_failure_stored(end) || self.is_never_stored(&end.task.job) {
                acknowledged.push(run);
            } else if self.is_superseded(end) {
                superseded.push(run);
            } else if self
                .jobs
                .get(&end.task.job)
                .is_some_and(|job| job.state.is_some())
            {
                if self.is_stored(end) || self.is_from_long_running_task(end) {
                    acknowledged.push(run);
                } else {
                    self.handle_late_end(link, end, now, out);
                }
            } else if self.has_other_owner(&end.task.job) && self.is_stored(end)
                || self.has_ended(&end.task.job)
            {
                acknowledged.push(run);
            } else if self.ledger.state(&end.task.job).is_none() {
                self.confirm_unknown(link, run, now);
            } else {
                // The owner may have no link to this agent, so this entry writes the end for it.
                self.ledger.merge(end);
            }
        }
        if !acknowledged.is_empty() {
            let frame = EntryFrame::Acknowledge(acknowledged);
            out.push(Action::Send { link, frame });
        }
        if !superseded.is_empty() {
            let frame = EntryFrame::Superseded(superseded);
            out.push(Action::Send { link, frame });
        }
    }

    /// Returns whether a job in progress here is not durable, so that no end of it is stored.
    fn is_never_stored(&self, id: &JobId) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| !job.submission.is_durable) && self.ledger.state(id).is_none()
    }

    /// Returns whether an end comes from an earlier epoch: its task was placed again before the end
    /// was known.
    fn is_superseded(&self, end: &TaskEnd) -> bool {
        let epoch = epoch_of(end.run);
        let job = self.jobs.get(&end.task.job);
        if let Some(job) = job.filter(|job| job.state.is_some()) {
            let mut tasks = job.tasks.iter();
            let task =
                tasks.find(|task| task.step == end.task.step && task.index == end.task.index);
            // No run has started in an epoch that is not confirmed by the store, so the end counts.
            return task
                .is_some_and(|task| task.epoch > epoch && task.state != TaskState::Confirming);
        }
        let state = self.ledger.state(&end.task.job);
        let step = state.and_then(|state| state.steps.get(usize::from(end.task.step)));
        step.is_some_and(|step| step.epoch(end.task.index) > epoch)
    }

    /// Returns whether the store records the task of an end as done.
    fn is_stored(&self, end: &TaskEnd) -> bool {
        let state = self.ledger.state(&end.task.job);
        let step = state.and_then(|state| state.steps.get(usize::from(end.task.step)));
        step.is_some_and(|step| step.is_done(end.task.index))
    }

    /// Returns whether the store has counted the failure of a run, which an earlier owner may have
    /// written without an acknowledgement to the agent.
    fn is_failure_stored(&self, end: &TaskEnd) -> bool {
        let Some(state) = self.ledger.state(&end.task.job) else {
            return false;
        };
        // One failure counts for all members of a gang.
        let job = self.jobs.get(&end.task.job);
        let is_gang = job.is_some_and(|job| job.is_gang(end.task.step));
        let is_counted = if is_gang {
            state.has_counted_in_step(end.task.step, end.run)
        } else {
            state.has_counted(end)
        };
        end.outcome == Outcome::Failed && is_counted
    }

    /// Returns whether an end is that of a long-running task, which is started again in any case.
    fn is_from_long_running_task(&self, end: &TaskEnd) -> bool {
        let job = self.jobs.get(&end.task.job);
        job.is_some_and(|job| job.is_long_running(end.task.step))
    }

    /// Returns whether a job is owned by another entry.
    pub(super) fn has_other_owner(&self, id: &JobId) -> bool {
        let state = self.ledger.state(id);
        state.is_some_and(|state| state.owner != *self.ledger.owner())
    }

    /// Returns whether a job has ended and no write of it is pending, so that its ends are not needed.
    fn has_ended(&self, id: &JobId) -> bool {
        let is_over = self.ledger.state(id).is_some_and(|state| {
            state.status != Status::Open || self.ledger.is_series_cancelled(id)
        });
        is_over && !self.has_pending_writes(id)
    }

    fn has_pending_writes(&self, id: &JobId) -> bool {
        self.durable.pending_submissions.contains_key(id)
            || self.durable.unacknowledged.contains_key(id)
    }

    /// Notes an end of a job that is not in the cache, and requests a confirmation that it is not in
    /// the store either: another entry may have accepted it a moment ago.
    fn confirm_unknown(&mut self, link: LinkNo, run: TaskRun, now: Time) {
        let mut noted = self.durable.unknown_ends.iter();
        if !noted.any(|end| end.link == link && end.run == run) {
            let end = UnknownEnd {
                link,
                run,
                reported: now,
            };
            self.durable.unknown_ends.push(end);
        }
        self.ledger.request_confirmation();
    }

    /// Acknowledges the ends that were reported by `confirmed` and whose jobs are still not in the
    /// cache, which has all jobs that were stored then. A job is stored before any of its runs starts.
    pub(super) fn release_unknown_ends(&mut self, confirmed: Time, out: &mut Vec<Action>) {
        let unknown_ends = std::mem::take(&mut self.durable.unknown_ends);
        let (reported, later): (Vec<_>, Vec<_>) = unknown_ends
            .into_iter()
            .partition(|end| end.reported <= confirmed);
        self.durable.unknown_ends = later;
        let mut acknowledged: BTreeMap<LinkNo, Vec<TaskRun>> = BTreeMap::new();
        for end in reported {
            let id = &end.run.task.job;
            if self.ledger.state(id).is_none() && !self.has_pending_writes(id) {
                acknowledged.entry(end.link).or_default().push(end.run);
            }
        }
        for (link, runs) in acknowledged {
            let frame = EntryFrame::Acknowledge(runs);
            out.push(Action::Send { link, frame });
        }
    }

    /// Returns whether the runs and ends of a job are not needed any more: it has ended or does not
    /// exist, and no write of it is pending.
    pub(super) fn is_obsolete(&self, id: &JobId, now: Time) -> bool {
        match self.ledger.state(id) {
            Some(_) => self.has_ended(id),
            None => self.ledger.is_synced(now) && !self.has_pending_writes(id),
        }
    }

    /// Handles an end that was reported to an earlier owner, while the link was down, or after the run was
    /// reported as aborted because its endpoint did not answer.
    pub(super) fn handle_late_end(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let unacknowledged = self.durable.unacknowledged.get(&end.task.job);
        let is_pending = unacknowledged.is_some_and(|unacknowledged| {
            unacknowledged
                .iter()
                .any(|pending| pending.end.task == end.task && pending.end.run == end.run)
        });
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return;
        };
        let is_failure = end.outcome == Outcome::Failed;
        let is_counted = is_failure && task.failed_runs.contains(&end.run);
        if is_pending || is_counted || task.state == TaskState::Done {
            return;
        }
        let other_run_at = task.other_run_at(link, end.run);
        info!(
            task = %end.task,
            run = end.run,
            outcome = ?end.outcome,
            earlier = task.earlier_run,
            present_at = other_run_at.map(|present| self.fleet.name(present)),
            "late end taken note of"
        );
        // A run that is under way, or may be, is not over because an earlier one has failed.
        let may_run = other_run_at.is_some()
            || matches!(task.state, TaskState::Lost(_) | TaskState::Confirming);
        if is_failure && may_run {
            self.count_late_failure(link, end, now, out);
            return;
        }
        if let Some(present) = other_run_at {
            let frame = EntryFrame::Stop {
                job: end.task.job.clone(),
                tasks: vec![(end.task.step, end.task.index)],
                report: false,
            };
            out.push(Action::Send {
                link: present,
                frame,
            });
        }
        task.state = TaskState::Sent(link);
        self.handle_task_end(link, end, now, out);
    }

    /// Counts the failure of a run whose task has another run or is to be placed again later, and ends
    /// the job if the attempts are used up.
    fn count_late_failure(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        if job.is_gang(end.task.step) {
            job.propagate_member_end(end);
        }
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return;
        };
        task.last_run = task.last_run.max(end.run);
        task.count_failure(end.run);
        let failures = task.failures;
        let attempts = job.route.attempts;
        Self::store_task_end(&mut self.ledger, &mut self.durable, job, link, end);
        if failures >= attempts {
            self.finish(&end.task.job, Answer::Failed, now, out);
        }
    }
}

//! Ends of tasks of kept jobs, which agents hold until they are in the store.

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::Entry;
use super::job::{Job, TaskState};
use super::kept::{Kept, Unnoted};
use crate::epoch::epoch_of;
use crate::ledger::{Ledger, Status};
use crate::{EntryFrame, JobId, LinkNo, Outcome, TaskEnd, TaskRun};

impl Entry {
    /// Notes the end of a task in the store.
    pub(super) fn note_end(
        ledger: &mut Ledger,
        kept: &mut Kept,
        job: &mut Job,
        link: LinkNo,
        end: &TaskEnd,
    ) {
        let failures = job
            .task(end.task.step, end.task.index)
            .map_or(0, |task| task.failures);
        let gang = job.is_gang(end.task.step);
        let count = job.submission.steps[usize::from(end.task.step)].count;
        let Some(state) = &mut job.state else {
            return;
        };
        let Some(step) = state.steps.get_mut(usize::from(end.task.step)) else {
            return;
        };
        let done = end.outcome == Outcome::Done;
        if done && gang {
            (0..count).for_each(|index| step.set_done(index));
        } else if done {
            step.set_done(end.task.index);
        } else {
            step.set_failures(end.task.index, failures);
        }
        state.begun = true;
        ledger.change(&end.task.job, state.clone());
        let unnoted = Unnoted {
            link,
            run: TaskRun {
                task: end.task.clone(),
                run: end.run,
            },
            done,
            failures,
        };
        let of_job = kept.unnoted.entry(end.task.job.clone()).or_default();
        of_job.push(unnoted);
    }

    /// Takes ends that no entry has taken note of.
    pub(super) fn held(
        &mut self,
        link: LinkNo,
        ends: &[TaskEnd],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let (mut noted, mut obsolete, mut void) = (Vec::new(), Vec::new(), Vec::new());
        for end in ends {
            let run = TaskRun {
                task: end.task.clone(),
                run: end.run,
            };
            if self.is_void(end) {
                void.push(run);
            } else if self
                .jobs
                .get(&end.task.job)
                .is_some_and(|job| job.state.is_some())
            {
                if self.is_noted(end) || self.is_of_no_account(end) {
                    noted.push(run);
                } else {
                    self.late_end(link, end, now, out);
                }
            } else if self.is_foreign(&end.task.job) && self.is_noted(end) {
                noted.push(run);
            } else if self.is_obsolete(&end.task.job, now) {
                obsolete.push(run);
            } else {
                // The owner may not reach the agent.
                self.ledger.merge(end);
            }
        }
        if !noted.is_empty() {
            let frame = EntryFrame::Noted(noted);
            out.push(Action::Send { link, frame });
        }
        if !obsolete.is_empty() {
            let frame = EntryFrame::Obsolete(obsolete);
            out.push(Action::Send { link, frame });
        }
        if !void.is_empty() {
            let frame = EntryFrame::Void(void);
            out.push(Action::Send { link, frame });
        }
    }

    /// Returns whether the task of a run was placed again before its end was known.
    fn is_void(&self, end: &TaskEnd) -> bool {
        let epoch = epoch_of(end.run);
        let job = self.jobs.get(&end.task.job);
        if let Some(job) = job.filter(|job| job.state.is_some()) {
            let mut tasks = job.tasks.iter();
            let task =
                tasks.find(|task| task.step == end.task.step && task.index == end.task.index);
            // Nothing has started in an epoch that is not confirmed.
            return task
                .is_some_and(|task| task.epoch > epoch && task.state != TaskState::Confirming);
        }
        let state = self.ledger.state(&end.task.job);
        let step = state.and_then(|state| state.steps.get(usize::from(end.task.step)));
        step.is_some_and(|step| step.epoch(end.task.index) > epoch)
    }

    /// Returns whether the store has the end of a run.
    fn is_noted(&self, end: &TaskEnd) -> bool {
        let state = self.ledger.state(&end.task.job);
        let step = state.and_then(|state| state.steps.get(usize::from(end.task.step)));
        step.is_some_and(|step| step.is_done(end.task.index))
    }

    /// Returns whether an end is that of a task which is started again however it ends.
    fn is_of_no_account(&self, end: &TaskEnd) -> bool {
        let job = self.jobs.get(&end.task.job);
        job.is_some_and(|job| job.is_long_running(end.task.step))
    }

    /// Returns whether another entry owns a job.
    pub(super) fn is_foreign(&self, id: &JobId) -> bool {
        let state = self.ledger.state(id);
        state.is_some_and(|state| state.owner != *self.ledger.owner())
    }

    /// Returns whether nobody needs the tasks of a job any more.
    pub(super) fn is_obsolete(&self, id: &JobId, now: Time) -> bool {
        let waits = self.kept.pending.contains_key(id) || self.kept.unnoted.contains_key(id);
        match self.ledger.state(id) {
            Some(state) => state.status != Status::Open && !waits,
            None => self.ledger.is_synced(now) && !waits,
        }
    }

    /// Takes an end that was told to an earlier owner, or while the link was down.
    pub(super) fn late_end(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let waits = self.kept.unnoted.get(&end.task.job).is_some_and(|unnoted| {
            unnoted
                .iter()
                .any(|known| known.run.task == end.task && known.run.run == end.run)
        });
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return;
        };
        let counted = end.outcome == Outcome::Failed && task.failed_run >= end.run;
        if waits || counted || matches!(task.state, TaskState::Sent(other) if other != link) {
            return;
        }
        if task.state != TaskState::Done {
            info!(task = %end.task, run = end.run, outcome = ?end.outcome, "late end taken note of");
            task.state = TaskState::Sent(link);
        }
        self.ended(link, end, now, out);
    }
}

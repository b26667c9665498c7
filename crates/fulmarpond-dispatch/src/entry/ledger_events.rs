//! Calls to the store for durable jobs, and the handling of its replies.

use std::collections::BTreeMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::info;

use super::cancellations::Lookup;
use super::durable_jobs::UnacknowledgedEnd;
use super::entry::Entry;
use super::job::TaskState;
use super::submission::Submission;
use super::{Action, Answer, RequestNo};
use crate::configuration::Route;
use crate::directory::{Activity, StoreReply};
use crate::ledger::{Event, JobSpec, JobState, Status};
use crate::{EntryFrame, JobId, LinkNo, Outcome, Refusal, TaskRun};

impl Entry {
    /// Issues the store calls of the ledger that are due.
    pub(super) fn tick_ledger(&mut self, now: Time, out: &mut Vec<Action>) {
        self.record_started_jobs(now);
        let mut calls = Vec::new();
        self.ledger.tick(now, &mut calls);
        let calls = calls
            .into_iter()
            .map(|(activity, call, timeout)| Action::Store {
                activity,
                call,
                timeout,
            });
        out.extend(calls);
    }

    /// Handles the outcome of a call to the store. `None` means that there was no reply, an error
    /// that the call was refused without effect.
    pub fn handle_store_reply(
        &mut self,
        activity: Activity,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut events = Vec::new();
        self.ledger.handle_reply(activity, reply, now, &mut events);
        for event in events {
            self.handle_ledger_event(event, now, out);
        }
        self.tick_ledger(now, out);
    }

    fn handle_ledger_event(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        match event {
            Event::Stored(id) => self.handle_stored(&id, now, out),
            Event::NotStored(id) => {
                for request in self.take_waiting_requests(&id) {
                    info!(job = %id, reason = Refusal::NoStore.as_str(), "job refused");
                    self.refuse(request, Refusal::NoStore, out);
                }
            }
            Event::MaybeStored(id) => {
                let pending = self.durable.pending_submissions.get_mut(&id);
                let requests = pending.map(|pending| std::mem::take(&mut pending.requests));
                for request in requests.unwrap_or_default() {
                    info!(job = %id, "store did not reply, the job may have been stored");
                    let reason = Refusal::NoStore;
                    self.counters.refuse(reason);
                    Self::answer(request, Answer::MayHaveRun { reason }, out);
                }
            }
            Event::Written(id, state) => self.handle_written(&id, &state, now, out),
            Event::Lost(id) => self.handle_lost(&id, now, out),
            Event::Merged(id, state) => self.handle_merged(&id, &state, now, out),
            Event::Found(id) => self.handle_lookup(&id, Lookup::Found, now, out),
            Event::Missing(id) => self.handle_lookup(&id, Lookup::Missing, now, out),
            Event::LookupFailed(id) => self.handle_lookup(&id, Lookup::ReadFailed, now, out),
            Event::Confirmed(at) => self.release_unknown_ends(at, out),
            Event::SeriesCancelled(id) => self.end_cancelled_series(&id, now, out),
            Event::Owned(id, spec, state) => self.take_over(&id, *spec, state, now, out),
        }
    }

    /// Removes a submission whose first write was in flight, and returns the requests that wait for
    /// it.
    fn take_waiting_requests(&mut self, id: &JobId) -> Vec<RequestNo> {
        let pending = self.durable.pending_submissions.remove(id);
        pending.map_or_else(Vec::new, |pending| pending.requests)
    }

    fn handle_stored(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let Some(pending) = self.durable.pending_submissions.remove(id) else {
            return;
        };
        for request in pending.requests {
            Self::answer(request, Answer::Accepted, out);
        }
        let owned_state = self
            .ledger
            .state(id)
            .filter(|state| state.owner == *self.ledger.owner() && state.status == Status::Open);
        let Some(state) = owned_state.cloned() else {
            return;
        };
        if self.cancel_with_series(id) {
            return;
        }
        self.counters.accepted += 1;
        info!(
            job = %id,
            route = pending.route.name,
            tasks = pending.submission.steps.iter().map(|step| u32::from(step.count)).sum::<u32>(),
            version = self.version(),
            "job accepted"
        );
        if pending.submission.repeat.is_some() {
            self.run_series(id, &pending.route, pending.submission, state);
            return;
        }
        self.start_durable(id, &pending.route, pending.submission, state, now, now, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one job")]
    fn start_durable(
        &mut self,
        id: &JobId,
        route: &Rc<Route>,
        submission: Submission,
        state: JobState,
        hold_until: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut job = self.new_job(id, route, submission, now);
        for task in &mut job.tasks {
            let Some(step) = state.steps.get(usize::from(task.step)) else {
                continue;
            };
            task.failures = step.failures(task.index);
            task.failed_runs = state.failed_runs_of(task.step, task.index);
            task.last_run = task.failed_runs.iter().copied().max().unwrap_or_default();
            task.epoch = step.epoch(task.index);
            task.checkpoint = step.checkpoint(task.index).map(str::to_owned);
            let definition = &job.submission.steps[usize::from(task.step)];
            if step.is_done(task.index) && !definition.long_running {
                task.state = TaskState::Done;
            } else if hold_until > now {
                task.state = TaskState::Lost(hold_until);
            }
        }
        job.propagate_gang_failures();
        job.propagate_gang_completion();
        if hold_until > now {
            self.requeue_at(hold_until, id.clone());
        }
        job.has_started = state.has_started;
        job.hold_until = hold_until;
        job.state = Some(state);
        let is_done = job.is_done();
        self.jobs.insert(id.clone(), job);
        if is_done {
            self.finish(id, Answer::Completed, now, out);
        } else {
            self.place(id, now, out);
        }
    }

    fn handle_written(&mut self, id: &JobId, state: &JobState, now: Time, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(id);
        if job.is_some_and(|job| job.confirm(state)) {
            info!(job = %id, "tasks are placed again");
            self.place(id, now, out);
        }
        if state.status != Status::Open {
            for request in self.durable.pending_cancels.remove(id).unwrap_or_default() {
                Self::answer(request, Answer::Cancelled, out);
            }
        }
        let Some(unacknowledged) = self.durable.unacknowledged.remove(id) else {
            return;
        };
        let is_stored = |pending: &UnacknowledgedEnd| {
            let step = state.steps.get(usize::from(pending.end.task.step));
            match pending.end.outcome {
                Outcome::Done => step.is_some_and(|step| step.is_done(pending.end.task.index)),
                _ => state.has_counted(&pending.end),
            }
        };
        let (stored, remaining): (Vec<UnacknowledgedEnd>, Vec<UnacknowledgedEnd>) =
            unacknowledged.into_iter().partition(is_stored);
        if !remaining.is_empty() {
            self.durable.unacknowledged.insert(id.clone(), remaining);
        }
        let mut by_link: BTreeMap<LinkNo, Vec<TaskRun>> = BTreeMap::new();
        for UnacknowledgedEnd { link, end } in stored {
            let run = TaskRun {
                task: end.task,
                run: end.run,
            };
            by_link.entry(link).or_default().push(run);
        }
        for (link, runs) in by_link {
            let frame = EntryFrame::Acknowledge(runs);
            out.push(Action::Send { link, frame });
        }
    }

    /// Applies the ends of tasks that another entry has written into the state of a job.
    fn handle_merged(&mut self, id: &JobId, stored: &JobState, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for task in &mut job.tasks {
            let step = stored.steps.get(usize::from(task.step));
            let definition = &job.submission.steps[usize::from(task.step)];
            if definition.long_running || !step.is_some_and(|step| step.is_done(task.index)) {
                continue;
            }
            // This entry may have missed the end, or another run of the task may be in progress.
            if let TaskState::Sent(link) = task.state {
                let frame = EntryFrame::Stop {
                    job: id.clone(),
                    tasks: vec![(task.step, task.index)],
                    report: false,
                };
                out.push(Action::Send { link, frame });
            }
            task.state = TaskState::Done;
        }
        job.propagate_gang_completion();
        if let Some(state) = &mut job.state {
            state.merge(stored);
        }
        if job.is_done() {
            self.finish(id, Answer::Completed, now, out);
        } else {
            self.place(id, now, out);
        }
    }

    /// Handles a job of this entry that has ended or is owned by another entry now.
    fn handle_lost(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        self.durable.unacknowledged.remove(id);
        if self.series.remove(id) {
            info!(job = %id, "series has ended or has another owner");
        }
        for request in self.take_waiting_requests(id) {
            Self::answer(request, Answer::Accepted, out);
        }
        let has_ended = self
            .ledger
            .state(id)
            .is_none_or(|state| state.status != Status::Open);
        if has_ended {
            for request in self.durable.pending_cancels.remove(id).unwrap_or_default() {
                Self::answer(request, Answer::Cancelled, out);
            }
        }
        if self.jobs.get(id).is_none_or(|job| job.state.is_none()) {
            return;
        }
        if has_ended {
            info!(job = %id, "job has ended, stopping its runs");
            self.stop_job(id, "ended_elsewhere", now, out);
        } else {
            info!(job = %id, "job has another owner");
            self.release_job(id, out);
        }
    }

    fn take_over(
        &mut self,
        id: &JobId,
        spec: JobSpec,
        state: JobState,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let route = Rc::new(spec.route);
        if spec.submission.repeat.is_some() {
            self.run_series(id, &route, spec.submission, state);
            return;
        }
        if self.cancel_with_series(id) {
            return;
        }
        // Runs started by the previous owner may still be in progress, and agents report the ends
        // that were not acknowledged.
        let lease_times = self.options.lease_times;
        let hold = if spec.submission.is_long_running() {
            lease_times.adoption_ms()
        } else {
            lease_times.orphan_ms()
        };
        let hold_until = now.after_millis(hold);
        self.start_durable(id, &route, spec.submission, state, hold_until, now, out);
    }

    /// Returns the number of jobs in the ledger and the number of pending changes.
    pub fn ledger_counts(&self) -> (usize, usize) {
        self.ledger.counts()
    }
}

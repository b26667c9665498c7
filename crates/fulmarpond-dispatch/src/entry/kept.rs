//! Jobs that are kept in the store.
//!
//! The entry that owns a job runs it like any other, but writes the ends of its tasks into the
//! store, and only then lets the agents take note of them. It runs jobs only while its announcement
//! surely stands, since after that another entry takes them over.

use std::collections::HashMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_derive::value;
use tracing::{info, warn};

use super::configuration::Route;
use super::entry::Entry;
use super::job::{Job, TaskState};
use super::submission::Submission;
use super::{Action, Answer, RequestNo};
use crate::ledger::{JobSpec, JobState, Status, StepProgress};
use crate::{EntryFrame, JobId, LinkNo, Refusal, TaskRun};

/// How long a job runs before the store is told that it has begun, in milliseconds.
const BEGIN_MS: u64 = 800;

/// What a caller is told about a job.
#[value]
pub enum JobStatus {
    /// No task has started.
    Pending,
    /// Some task may have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// It is not known whether there is such a job.
    Unsure,
}

/// What the store told about a job that is not known here.
#[value]
pub(super) enum Lookup {
    Found,
    Missing,
    NotRead,
}

/// A submission whose first write is under way.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Option<RequestNo>,
    pub(super) route: Rc<Route>,
    pub(super) submission: Submission,
}

/// An end that waits to be written.
#[derive(Debug, Clone)]
pub(super) struct Unnoted {
    pub(super) link: LinkNo,
    pub(super) run: TaskRun,
    pub(super) done: bool,
    pub(super) failures: u32,
}

/// What an entry knows of its jobs in the store beside their records.
#[derive(Debug, Default)]
pub(super) struct Kept {
    pub(super) pending: HashMap<JobId, Pending>,
    pub(super) unnoted: HashMap<JobId, Vec<Unnoted>>,
    pub(super) cancels: HashMap<JobId, Vec<RequestNo>>,
    /// Requests that cancel jobs which are being looked up.
    pub(super) lookups: HashMap<JobId, Vec<RequestNo>>,
    /// Whether the announcement has lapsed or is not made yet.
    pub(super) fenced: bool,
    /// Whether the jobs are listed again after the announcement was renewed.
    reloading: bool,
    lease_end: Option<Time>,
    started: bool,
    next_begins: Time,
    /// Whether the process stops.
    pub(super) stopping: bool,
}

impl Kept {
    /// Returns whether tasks may be placed.
    pub(super) const fn runs(&self) -> bool {
        !self.fenced && !self.stopping
    }

    /// Returns how many callers wait for an answer of the store.
    pub(super) fn attended(&self) -> usize {
        let pending = self.pending.values();
        let waiting = pending.filter(|pending| pending.request.is_some()).count();
        let cancels = self.cancels.values().chain(self.lookups.values());
        waiting + cancels.map(Vec::len).sum::<usize>()
    }

    /// Returns whether the first write of a job is under way.
    pub(super) fn is_pending(&self, id: &JobId) -> bool {
        self.pending.contains_key(id)
    }

    /// Forgets the caller of a request.
    pub(super) fn abandoned(&mut self, request: RequestNo) {
        for pending in self.pending.values_mut() {
            if pending.request == Some(request) {
                pending.request = None;
            }
        }
        for requests in self.cancels.values_mut().chain(self.lookups.values_mut()) {
            requests.retain(|&known| known != request);
        }
    }
}

impl Entry {
    /// Takes a job that is kept.
    pub(super) fn submit_kept(
        &mut self,
        request: RequestNo,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = match submission.repeat {
            Some(_) => id.series(),
            None => id,
        };
        if self.ledger.state(&id).is_some() || self.jobs.contains_key(&id) {
            info!(job = %id, "request sent again, its job is kept");
            Self::answer(request, Answer::Accepted, out);
            return;
        }
        if let Some(pending) = self.kept.pending.get_mut(&id) {
            pending.request = Some(request);
            return;
        }
        if self.ledger.is_failing(now) {
            info!(job = %id, reason = Refusal::NoStore.as_str(), "job refused");
            self.refuse(request, Refusal::NoStore, out);
            return;
        }
        let known = self.fleet.has_service(&route.service);
        let fits = |step| self.step_fits(&route.service, step);
        if known && !submission.steps.iter().all(fits) {
            info!(job = %id, reason = Refusal::NeverFits.as_str(), "job refused");
            self.refuse(request, Refusal::NeverFits, out);
            return;
        }
        self.keep(id, route, submission, Some(request));
        self.tick_ledger(now, out);
    }

    /// Adds a job to the store.
    pub(super) fn keep(
        &mut self,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        request: Option<RequestNo>,
    ) {
        let steps = match submission.repeat {
            // The occurrences of a series count like tasks of one step.
            Some(_) => 1,
            None => submission.steps.len(),
        };
        let state = JobState {
            owner: if self.kept.stopping {
                self.ledger.owner().released()
            } else {
                self.ledger.owner().clone()
            },
            status: Status::Open,
            route: route.name.clone(),
            begun: false,
            steps: vec![StepProgress::default(); steps],
        };
        let spec = JobSpec {
            route: Route::clone(route),
            submission: submission.clone(),
        };
        self.ledger.keep(id.clone(), spec, state);
        let pending = Pending {
            request,
            route: Rc::clone(route),
            submission,
        };
        self.kept.pending.insert(id, pending);
    }

    pub(super) fn answer(request: RequestNo, answer: Answer, out: &mut Vec<Action>) {
        out.push(Action::Answer {
            request,
            answer,
            age: 0,
            wait: 0,
        });
    }

    /// Returns what a caller is told about a job.
    pub fn status_of(&self, id: &JobId, now: Time) -> JobStatus {
        if let Some(status) = self.series_status(id) {
            return status;
        }
        if let Some(job) = self.jobs.get(id) {
            return if job.begun {
                JobStatus::Running
            } else {
                JobStatus::Pending
            };
        }
        match self.ledger.state(id) {
            Some(state) => match state.status {
                Status::Open if state.begun => JobStatus::Running,
                Status::Open => JobStatus::Pending,
                Status::Completed => JobStatus::Completed,
                Status::Failed => JobStatus::Failed,
                Status::Cancelled => JobStatus::Cancelled,
            },
            None if self.ledger.is_synced(now) => JobStatus::Unknown,
            None => JobStatus::Unsure,
        }
    }

    /// Cancels a job; the answer follows when the store has it.
    pub fn cancel(&mut self, request: RequestNo, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let series = id.series();
        if self.ledger.state(&series).is_some() {
            self.series.remove(&series);
            self.cancel_kept(request, &series, now, out);
            self.cancel_occurrences(&series, now, out);
        } else {
            self.cancel_kept(request, id, now, out);
        }
    }

    fn cancel_kept(&mut self, request: RequestNo, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let open = self
            .ledger
            .state(id)
            .map(|state| state.status == Status::Open);
        if self.kept.is_pending(id) {
            // Its first write may still be made, and would run it.
            info!(job = %id, "job is being kept, its cancelling has to come again");
            self.refuse(request, Refusal::NoStore, out);
            return;
        }
        match open {
            Some(true) => {
                info!(job = %id, "job is being cancelled");
                self.kept
                    .cancels
                    .entry(id.clone())
                    .or_default()
                    .push(request);
                if self.jobs.contains_key(id) {
                    self.finish(id, Answer::Cancelled, now, out);
                } else {
                    self.ledger.cancel(id);
                }
                self.tick_ledger(now, out);
            }
            Some(false) => Self::answer(request, Answer::Cancelled, out),
            None => {
                info!(job = %id, "job is not known here, looking it up");
                let requests = self.kept.lookups.entry(id.clone()).or_default();
                requests.push(request);
                self.ledger.look_up(id);
                self.tick_ledger(now, out);
            }
        }
    }

    /// Goes on with requests whose job was looked up.
    pub(super) fn looked_up(
        &mut self,
        job: &JobId,
        found: Lookup,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = job.occurrence(0);
        let known = self.ledger.state(job).is_some();
        if found == Lookup::Missing && *job == id {
            // It may be a series.
            self.ledger.look_up(&id.series());
            return;
        }
        for request in self.kept.lookups.remove(&id).unwrap_or_default() {
            match found {
                Lookup::Found if known => self.cancel(request, &id, now, out),
                Lookup::Missing => Self::answer(request, Answer::Unknown, out),
                Lookup::Found | Lookup::NotRead => self.refuse(request, Refusal::NoStore, out),
            }
        }
    }

    /// Takes the end of the lease under which this entry is announced.
    pub fn set_lease(&mut self, end: Option<Time>) {
        self.kept.lease_end = end;
    }

    /// Stops the runs of jobs that are kept once the announcement may have lapsed, and goes on
    /// when it stands again and the jobs have been listed anew.
    pub(super) fn check_lease(&mut self, now: Time, out: &mut Vec<Action>) {
        let stands = self.kept.lease_end.is_some_and(|end| now < end);
        if !self.kept.started {
            // Nothing has run yet: the first list is enough.
            self.kept.started = true;
            self.kept.fenced = true;
            self.kept.reloading = true;
        }
        if !stands && !self.kept.fenced {
            warn!("announcement may have lapsed, stopping the jobs that are kept");
            self.kept.fenced = true;
            self.kept.reloading = false;
            self.stop_kept(now, out);
        }
        if stands && self.kept.fenced {
            if !self.kept.reloading {
                self.kept.reloading = true;
                self.ledger.reload(now);
            } else if self.ledger.is_loaded() {
                info!("announcement stands, running the jobs that are kept");
                self.kept.fenced = false;
                self.kept.reloading = false;
            }
        }
    }

    /// Gives jobs to the other entries when this one stops: those that run nothing but tasks which
    /// go on until they are stopped.
    pub(super) fn release_kept(&mut self, out: &mut Vec<Action>) {
        if !self.kept.stopping {
            return;
        }
        self.release_series();
        let idle = |job: &Job| job.state.is_some() && !job.has_ending_runs();
        let jobs = self.jobs.iter().filter(|(_, job)| idle(job));
        let released: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in released {
            let Some(job) = self.release_job(&id, out) else {
                continue;
            };
            if let Some(mut state) = job.state {
                info!(job = %id, "job released");
                state.owner = self.ledger.owner().released();
                self.ledger.change(&id, state);
            }
        }
    }

    fn stop_kept(&mut self, now: Time, out: &mut Vec<Action>) {
        let over = now.after_millis(self.options.bounds.orphan_ms());
        let over_long = now.after_millis(self.options.bounds.adoption_ms());
        let mut stopped = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.state.is_some()) {
            for link in job.links() {
                let frame = EntryFrame::Release(id.clone());
                out.push(Action::Send { link, frame });
                stopped.push((over, id.clone()));
                if job.lose_long_runs(link, self.fleet.name(link), over_long) {
                    stopped.push((over_long, id.clone()));
                }
            }
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Sent(_)) {
                    task.state = TaskState::Lost(over);
                }
            }
        }
        for (over, id) in stopped {
            self.wait_for_lost(over, id);
        }
    }

    /// Notes in the store which jobs have begun a while ago. Most jobs end before.
    pub(super) fn note_begins(&mut self, now: Time) {
        if now < self.kept.next_begins {
            return;
        }
        self.kept.next_begins = now.after_millis(BEGIN_MS);
        for (id, job) in &mut self.jobs {
            if job.begun
                && now.millis_since(job.arrived) >= BEGIN_MS
                && let Some(state) = &mut job.state
                && !state.begun
            {
                state.begun = true;
                self.ledger.change(id, state.clone());
            }
        }
    }

    /// Writes the end of a job.
    pub(super) fn end_kept(&mut self, id: &JobId, job: Job, answer: Answer) {
        let Some(mut state) = job.state else {
            return;
        };
        state.status = match answer {
            Answer::Completed => Status::Completed,
            Answer::Failed => Status::Failed,
            _ => Status::Cancelled,
        };
        self.ledger.change(id, state);
    }
}

//! Durable jobs: jobs that are stored in the key-value store so that they outlive their entry.
//!
//! The entry that owns a job runs it like any other, but acknowledges the end of a task to its
//! agent only once the end is in the store. It runs durable jobs only while its announcement is
//! certain to be valid, since another entry takes them over once the lease of the announcement has
//! expired.

use std::collections::HashMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_derive::value;
use tracing::{info, warn};

use super::entry::Entry;
use super::job::{Job, TaskState};
use super::submission::Submission;
use super::{Action, Answer, RequestNo};
use crate::configuration::Route;
use crate::ledger::{JobSpec, JobState, Status, StepProgress};
use crate::{EntryFrame, JobId, LinkNo, Refusal, TaskEnd, TaskRun};

/// How long a job is in progress before the store records that it has started, in milliseconds.
const RECORD_START_AFTER_MS: u64 = 800;

/// The status of a job as reported to callers.
#[value]
pub enum JobStatus {
    /// No task has started.
    Pending,
    /// Some task may have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed the maximum number of times.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job does not exist.
    Unknown,
    /// Whether the job exists cannot be determined, as the local copy of the store is not up to
    /// date.
    Indeterminate,
}

/// A submission whose first write is in flight.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    /// The requests that wait for the outcome of the write.
    pub(super) requests: Vec<RequestNo>,
    pub(super) route: Rc<Route>,
    pub(super) submission: Submission,
}

/// The end of a run that is not acknowledged to its agent yet, since its write is pending.
#[derive(Debug, Clone)]
pub(super) struct UnacknowledgedEnd {
    pub(super) link: LinkNo,
    pub(super) end: TaskEnd,
}

/// The end of a run that an agent holds, of a job that is not in the cache.
#[derive(Debug, Clone)]
pub(super) struct UnknownEnd {
    pub(super) link: LinkNo,
    pub(super) run: TaskRun,
    /// When it was reported.
    pub(super) reported: Time,
}

/// State of the durable jobs of an entry beside their records in the ledger.
#[derive(Debug, Default)]
pub(super) struct DurableJobs {
    pub(super) pending_submissions: HashMap<JobId, PendingSubmission>,
    pub(super) unacknowledged: HashMap<JobId, Vec<UnacknowledgedEnd>>,
    /// Ends of jobs that are not in the cache.
    pub(super) unknown_ends: Vec<UnknownEnd>,
    /// Requests that wait for the cancellation of a job to be stored.
    pub(super) pending_cancels: HashMap<JobId, Vec<RequestNo>>,
    /// Requests to cancel jobs that are being looked up.
    pub(super) pending_lookups: HashMap<JobId, Vec<RequestNo>>,
    /// Whether durable jobs must not run: the announcement may have lapsed or is not made yet.
    pub(super) is_fenced: bool,
    /// Whether the jobs are being listed again after the announcement was renewed.
    is_reloading: bool,
    lease_end: Option<Time>,
    is_started: bool,
    next_start_check: Time,
    /// Whether the process is stopping.
    pub(super) is_stopping: bool,
}

impl DurableJobs {
    /// Returns whether tasks of durable jobs may be placed.
    ///
    /// The lease of the announcement is compared with the current time, since it may have expired
    /// while the process was paused, before the check that fences the jobs.
    pub(super) fn can_place_tasks(&self, now: Time) -> bool {
        !self.is_fenced && !self.is_stopping && self.has_lease(now)
    }

    fn has_lease(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }

    /// Returns the number of requests whose answer depends on a pending call to the store.
    pub(super) fn waiting_requests(&self) -> usize {
        let pending = self.pending_submissions.values();
        let waiting: usize = pending.map(|pending| pending.requests.len()).sum();
        let cancels = self
            .pending_cancels
            .values()
            .chain(self.pending_lookups.values());
        waiting + cancels.map(Vec::len).sum::<usize>()
    }

    /// Returns whether the first write of a job is in flight.
    pub(super) fn is_pending(&self, id: &JobId) -> bool {
        self.pending_submissions.contains_key(id)
    }

    /// Drops a request whose caller has left.
    pub(super) fn drop_request(&mut self, request: RequestNo) {
        for pending in self.pending_submissions.values_mut() {
            pending.requests.retain(|&waiting| waiting != request);
        }
        for requests in self
            .pending_cancels
            .values_mut()
            .chain(self.pending_lookups.values_mut())
        {
            requests.retain(|&pending| pending != request);
        }
    }
}

impl Entry {
    /// Accepts a durable job for storing, or answers or refuses its request at once.
    pub(super) fn submit_durable(
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
            info!(job = %id, "duplicate request, its job is already stored");
            Self::answer(request, Answer::Accepted, out);
            return;
        }
        if let Some(pending) = self.durable.pending_submissions.get_mut(&id) {
            info!(job = %id, "duplicate request, the first write of its job is in flight");
            pending.requests.push(request);
            return;
        }
        if self.ledger.is_failing(now) {
            info!(job = %id, reason = Refusal::NoStore.as_str(), "job refused");
            self.refuse(request, Refusal::NoStore, out);
            return;
        }
        let is_service_known = self.fleet.has_service(&route.service);
        let fits = |step| self.step_fits(&route.service, step);
        if is_service_known && !submission.steps.iter().all(fits) {
            info!(job = %id, reason = Refusal::NeverFits.as_str(), "job refused");
            self.refuse(request, Refusal::NeverFits, out);
            return;
        }
        if let Err(reason) = self.admit_size(&submission) {
            self.refuse(request, reason, out);
            return;
        }
        self.store_job(id, route, submission, Some(request));
        self.tick_ledger(now, out);
    }

    /// Adds a job to the store.
    pub(super) fn store_job(
        &mut self,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        request: Option<RequestNo>,
    ) {
        let steps = match submission.repeat {
            // The occurrences of a series are recorded like the tasks of one step.
            Some(_) => 1,
            None => submission.steps.len(),
        };
        let state = JobState {
            owner: if self.durable.is_stopping {
                self.ledger.owner().released()
            } else {
                self.ledger.owner().clone()
            },
            status: Status::Open,
            route: route.name.clone(),
            has_started: false,
            steps: vec![StepProgress::default(); steps],
            failed_runs: Vec::new(),
        };
        let spec = JobSpec {
            route: Route::clone(route),
            submission: submission.clone(),
        };
        self.ledger.create(id.clone(), spec, state);
        let pending = PendingSubmission {
            requests: request.into_iter().collect(),
            route: Rc::clone(route),
            submission,
        };
        self.durable.pending_submissions.insert(id, pending);
    }

    pub(super) fn answer(request: RequestNo, answer: Answer, out: &mut Vec<Action>) {
        out.push(Action::Answer {
            request,
            answer,
            age: 0,
            wait: 0,
        });
    }

    /// Returns the status of a job.
    pub fn status_of(&self, id: &JobId, now: Time) -> JobStatus {
        if let Some(status) = self.series_status(id) {
            return status;
        }
        if let Some(job) = self.jobs.get(id) {
            return if job.has_started {
                JobStatus::Running
            } else {
                JobStatus::Pending
            };
        }
        match self.ledger.state(id) {
            Some(state) => match state.status {
                Status::Open if state.has_started => JobStatus::Running,
                Status::Open => JobStatus::Pending,
                Status::Completed => JobStatus::Completed,
                Status::Failed => JobStatus::Failed,
                Status::Cancelled => JobStatus::Cancelled,
            },
            None if self.ledger.is_synced(now) => JobStatus::Unknown,
            None => JobStatus::Indeterminate,
        }
    }

    /// Sets the expiry of the lease under which this entry is announced.
    pub fn set_lease(&mut self, end: Option<Time>) {
        self.durable.lease_end = end;
    }

    /// Stops the runs of durable jobs once the announcement may have lapsed, and resumes the jobs
    /// when it is valid again and they have been listed again.
    pub(super) fn check_lease(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_valid = self.durable.has_lease(now);
        if !self.durable.is_started {
            // Nothing has run yet, so the first listing suffices and no reload is needed.
            self.durable.is_started = true;
            self.durable.is_fenced = true;
            self.durable.is_reloading = true;
        }
        if !is_valid && !self.durable.is_fenced {
            warn!("announcement may have lapsed, stopping the jobs that are kept");
            self.durable.is_fenced = true;
            self.durable.is_reloading = false;
            self.stop_durable_runs(now, out);
        }
        if is_valid && self.durable.is_fenced {
            if !self.durable.is_reloading {
                self.durable.is_reloading = true;
                self.ledger.reload(now);
            } else if self.ledger.is_loaded() {
                info!("announcement stands, running the jobs that are kept");
                self.durable.is_fenced = false;
                self.durable.is_reloading = false;
            }
        }
    }

    /// Releases jobs to the other entries when this one is stopping: those whose running tasks, if
    /// any, are all long-running.
    pub(super) fn release_durable(&mut self, out: &mut Vec<Action>) {
        if !self.durable.is_stopping {
            return;
        }
        self.release_series();
        let can_release = |job: &Job| job.state.is_some() && !job.has_finite_runs();
        let jobs = self.jobs.iter().filter(|(_, job)| can_release(job));
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

    fn stop_durable_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let runs_expire = now.after_millis(self.options.lease_times.orphan_ms());
        let long_runs_expire = now.after_millis(self.options.lease_times.adoption_ms());
        let mut stopped = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.state.is_some()) {
            for link in job.links() {
                let frame = EntryFrame::Release(id.clone());
                out.push(Action::Send { link, frame });
                stopped.push((runs_expire, id.clone()));
                if job.mark_long_runs_lost(link, self.fleet.name(link), long_runs_expire) {
                    stopped.push((long_runs_expire, id.clone()));
                }
            }
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Sent(_)) {
                    task.state = TaskState::Lost(runs_expire);
                }
            }
        }
        for (expires, id) in stopped {
            self.requeue_at(expires, id);
        }
    }

    /// Records in the store that jobs have started. This is delayed, since most jobs end before and
    /// need no such write.
    pub(super) fn record_started_jobs(&mut self, now: Time) {
        if now < self.durable.next_start_check {
            return;
        }
        self.durable.next_start_check = now.after_millis(RECORD_START_AFTER_MS);
        for (id, job) in &mut self.jobs {
            if job.has_started
                && now.millis_since(job.arrived) >= RECORD_START_AFTER_MS
                && let Some(state) = &mut job.state
                && !state.has_started
            {
                state.has_started = true;
                self.ledger.change(id, state.clone());
            }
        }
    }

    /// Records the end of a durable job in the store.
    pub(super) fn store_job_end(&mut self, id: &JobId, job: Job, answer: Answer) {
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

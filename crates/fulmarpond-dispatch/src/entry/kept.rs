//! Jobs that are kept in the store.
//!
//! The entry that owns a job runs it like any other, but writes the ends of its tasks into the
//! store, and only then lets the agents take note of them. It runs jobs only while its announcement
//! surely stands, since after that another entry takes them over.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_derive::value;
use tracing::{info, warn};

use super::configuration::Route;
use super::entry::Entry;
use super::job::{Job, TaskState};
use super::submission::Submission;
use super::{Action, Answer, RequestNo};
use crate::directory::{Duty, StoreReply};
use crate::epoch::epoch_of;
use crate::ledger::{Event, JobSpec, JobState, Ledger, Owner, Status, StepProgress};
use crate::{EntryFrame, JobId, LinkNo, Outcome, Refusal, TaskEnd, TaskRun};

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

/// A submission whose first write is under way.
#[derive(Debug)]
struct Pending {
    request: Option<RequestNo>,
    route: Rc<Route>,
    submission: Submission,
}

/// An end that waits to be written.
#[derive(Debug, Clone)]
struct Unnoted {
    link: LinkNo,
    run: TaskRun,
    done: bool,
    failures: u32,
}

/// What an entry knows of its jobs in the store beside their records.
#[derive(Debug, Default)]
pub(super) struct Kept {
    pending: HashMap<JobId, Pending>,
    unnoted: HashMap<JobId, Vec<Unnoted>>,
    cancels: HashMap<JobId, Vec<RequestNo>>,
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
        waiting + self.cancels.values().map(Vec::len).sum::<usize>()
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
        for requests in self.cancels.values_mut() {
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
                Owner::none()
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

    fn answer(request: RequestNo, answer: Answer, out: &mut Vec<Action>) {
        out.push(Action::Answer {
            request,
            answer,
            age: 0,
            wait: 0,
        });
    }

    /// Returns what a caller is told about a job.
    pub fn status_of(&self, id: &JobId) -> JobStatus {
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
            None if self.ledger.is_loaded() => JobStatus::Unknown,
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
            None if self.ledger.is_loaded() => Self::answer(request, Answer::Unknown, out),
            None => self.refuse(request, Refusal::NoStore, out),
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

    /// Gives jobs without runs to the other entries, when this one stops.
    pub(super) fn release_kept(&mut self) {
        if !self.kept.stopping {
            return;
        }
        self.release_series();
        let idle = |job: &Job| job.state.is_some() && job.links().is_empty();
        let jobs = self.jobs.iter().filter(|(_, job)| idle(job));
        let released: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in released {
            let Some(job) = self.take_job(&id, &mut Vec::new()) else {
                continue;
            };
            if let Some(mut state) = job.state {
                info!(job = %id, "job released");
                state.owner = Owner::none();
                self.ledger.change(&id, state);
            }
        }
    }

    fn stop_kept(&mut self, now: Time, out: &mut Vec<Action>) {
        let over = now.after_millis(self.options.bounds.orphan_ms());
        let mut stopped = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.state.is_some()) {
            for link in job.links() {
                let frame = EntryFrame::Stop {
                    job: id.clone(),
                    tasks: Vec::new(),
                    report: false,
                };
                out.push(Action::Send { link, frame });
                stopped.push(id.clone());
            }
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Sent(_)) {
                    task.state = TaskState::Lost(over);
                }
            }
        }
        for id in stopped {
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
                if self.is_noted(end) {
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
        if let Some(job) = self.jobs.get(&end.task.job) {
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

    /// Returns whether another entry owns a job.
    fn is_foreign(&self, id: &JobId) -> bool {
        let state = self.ledger.state(id);
        state.is_some_and(|state| state.owner != *self.ledger.owner())
    }

    fn is_obsolete(&self, id: &JobId, now: Time) -> bool {
        let waits = self.kept.pending.contains_key(id) || self.kept.unnoted.contains_key(id);
        match self.ledger.state(id) {
            Some(state) => state.status != Status::Open && !waits,
            None => self.ledger.is_synced(now) && !waits,
        }
    }

    /// Takes an end that was told to an earlier owner, or while the link was down.
    fn late_end(&mut self, link: LinkNo, end: &TaskEnd, now: Time, out: &mut Vec<Action>) {
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

    /// Makes the ledger's calls that are due.
    pub(super) fn tick_ledger(&mut self, now: Time, out: &mut Vec<Action>) {
        self.note_begins(now);
        let mut calls = Vec::new();
        self.ledger.tick(now, &mut calls);
        let calls = calls
            .into_iter()
            .map(|(duty, call, timeout)| Action::Store {
                duty,
                call,
                timeout,
            });
        out.extend(calls);
    }

    /// Takes the outcome of a call to the store; `None` stands for a call without a reply, an
    /// error for one that was refused without an effect.
    pub fn store_answered(
        &mut self,
        duty: Duty,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut events = Vec::new();
        self.ledger.answered(duty, reply, now, &mut events);
        for event in events {
            self.ledger_event(event, now, out);
        }
        self.tick_ledger(now, out);
    }

    fn ledger_event(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        match event {
            Event::Kept(id) => self.is_kept(&id, now, out),
            Event::NotKept(id) => {
                if let Some(pending) = self.kept.pending.remove(&id)
                    && let Some(request) = pending.request
                {
                    info!(job = %id, reason = Refusal::NoStore.as_str(), "job refused");
                    self.refuse(request, Refusal::NoStore, out);
                }
            }
            Event::MayBeKept(id) => {
                let pending = self.kept.pending.get_mut(&id);
                if let Some(request) = pending.and_then(|pending| pending.request.take()) {
                    info!(job = %id, "store gave no answer, the job may be kept");
                    let reason = Refusal::NoStore;
                    self.counters.refuse(reason);
                    Self::answer(request, Answer::MayHaveRun { reason }, out);
                }
            }
            Event::Written(id, state) => self.is_written(&id, &state, now, out),
            Event::Lost(id) => self.is_lost(&id, now, out),
            Event::Merged(id, state) => self.merged(&id, &state, now, out),
            Event::Owned(id, spec, state) => self.take_over(&id, *spec, state, now, out),
        }
    }

    fn is_kept(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        let Some(pending) = self.kept.pending.remove(id) else {
            return;
        };
        if let Some(request) = pending.request {
            Self::answer(request, Answer::Accepted, out);
        }
        let own = self
            .ledger
            .state(id)
            .filter(|state| state.owner == *self.ledger.owner() && state.status == Status::Open);
        let Some(state) = own.cloned() else {
            return;
        };
        self.counters.accepted += 1;
        info!(
            job = %id,
            route = pending.route.name,
            tasks = pending.submission.steps.iter().map(|step| u32::from(step.count)).sum::<u32>(),
            version = self.version(),
            "job accepted"
        );
        if pending.submission.repeat.is_some() {
            self.own_series(id, &pending.route, pending.submission, state);
            return;
        }
        self.run_kept(id, &pending.route, pending.submission, state, now, now, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one job")]
    fn run_kept(
        &mut self,
        id: &JobId,
        route: &Rc<Route>,
        submission: Submission,
        state: JobState,
        hold_until: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut job = self.job(id, None, route, submission, now);
        for task in &mut job.tasks {
            let Some(step) = state.steps.get(usize::from(task.step)) else {
                continue;
            };
            task.failures = step.failures(task.index);
            task.epoch = step.epoch(task.index);
            task.checkpoint = step.checkpoint(task.index).map(str::to_owned);
            if step.is_done(task.index) {
                task.state = TaskState::Done;
            } else if hold_until > now {
                task.state = TaskState::Lost(hold_until);
            }
        }
        job.share_failures();
        job.share_done();
        if hold_until > now {
            self.wait_for_lost(hold_until, id.clone());
        }
        job.begun = state.begun;
        job.hold_until = hold_until;
        job.state = Some(state);
        let done = job.is_done();
        self.jobs.insert(id.clone(), job);
        if done {
            self.finish(id, Answer::Completed, now, out);
        } else {
            self.place(id, now, out);
        }
    }

    fn is_written(&mut self, id: &JobId, state: &JobState, now: Time, out: &mut Vec<Action>) {
        let job = self.jobs.get_mut(id);
        if job.is_some_and(|job| job.confirm(state)) {
            info!(job = %id, "tasks are placed again");
            self.place(id, now, out);
        }
        if state.status != Status::Open {
            for request in self.kept.cancels.remove(id).unwrap_or_default() {
                Self::answer(request, Answer::Cancelled, out);
            }
        }
        let Some(unnoted) = self.kept.unnoted.remove(id) else {
            return;
        };
        let written = |unnoted: &Unnoted| {
            let step = state.steps.get(usize::from(unnoted.run.task.step));
            let index = unnoted.run.task.index;
            step.is_some_and(|step| {
                if unnoted.done {
                    step.is_done(index)
                } else {
                    step.failures(index) >= unnoted.failures
                }
            })
        };
        let (noted, left): (Vec<Unnoted>, Vec<Unnoted>) = unnoted.into_iter().partition(written);
        if !left.is_empty() {
            self.kept.unnoted.insert(id.clone(), left);
        }
        let mut by_link: BTreeMap<LinkNo, Vec<TaskRun>> = BTreeMap::new();
        for unnoted in noted {
            by_link.entry(unnoted.link).or_default().push(unnoted.run);
        }
        for (link, runs) in by_link {
            let frame = EntryFrame::Noted(runs);
            out.push(Action::Send { link, frame });
        }
    }

    /// Takes over the ends that another entry has noted in the state of a job.
    fn merged(&mut self, id: &JobId, stored: &JobState, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for task in &mut job.tasks {
            let step = stored.steps.get(usize::from(task.step));
            if !step.is_some_and(|step| step.is_done(task.index)) {
                continue;
            }
            // The end may have been lost on the way here, or another run may go on.
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
        job.share_done();
        if let Some(state) = &mut job.state {
            state.merge(stored);
        }
        if job.is_done() {
            self.finish(id, Answer::Completed, now, out);
        } else {
            self.place(id, now, out);
        }
    }

    fn is_lost(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) {
        self.kept.unnoted.remove(id);
        if self.series.remove(id) {
            info!(job = %id, "series has ended or has another owner");
            let state = self.ledger.state(id);
            if state.is_some_and(|state| state.status == Status::Cancelled) {
                self.cancel_occurrences(id, now, out);
            }
        }
        if let Some(pending) = self.kept.pending.remove(id)
            && let Some(request) = pending.request
        {
            Self::answer(request, Answer::Accepted, out);
        }
        let ended = self
            .ledger
            .state(id)
            .is_none_or(|state| state.status != Status::Open);
        if ended {
            for request in self.kept.cancels.remove(id).unwrap_or_default() {
                Self::answer(request, Answer::Cancelled, out);
            }
        }
        if self.jobs.get(id).is_some_and(|job| job.state.is_some()) {
            info!(job = %id, "job has ended or has another owner, its runs are stopped");
            self.take_job(id, out);
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
            self.own_series(id, &route, spec.submission, state);
            return;
        }
        // Runs for the last owner may go on, and agents tell the ends that nobody took note of.
        let hold_until = now.after_millis(self.options.bounds.orphan_ms());
        self.run_kept(id, &route, spec.submission, state, hold_until, now, out);
    }

    /// Returns the size of the ledger: jobs, and changes that wait.
    pub fn ledger_size(&self) -> (usize, usize) {
        self.ledger.size()
    }
}

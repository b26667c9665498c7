//! Admission of new jobs.

use std::collections::BTreeSet;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::info;

use super::agent_selection::{fits_shared_capacity, fits_when_empty};
use super::departures::departure_wait_ms;
use super::entry::{Entry, ROUTINE, retry_after_s};
use super::gangs::gang_fits;
use super::job::Job;
use super::submission::{Step, Submission};
use super::{Action, Answer, Arrival, RequestNo};
use crate::configuration::Route;
use crate::{JobId, Refusal};

/// Time for the messages of a job, subtracted from its slack, in milliseconds.
const MESSAGE_OVERHEAD_MS: u64 = 20;

/// An answer is considered useful up to this multiple of the latency objective.
const USEFUL_OBJECTIVE_FACTOR: u64 = 3;

/// How long before the caller's timeout a job is given up, in milliseconds, so that the answer
/// still arrives.
pub(super) const GIVE_UP_MARGIN_MS: u64 = 30;

/// The number of endpoints assumed in a policy call, whose duration counts toward each step on the
/// critical path.
const ENDPOINTS_PER_ADVICE_CALL: usize = 30;

/// The share of its slack that a job may be expected to wait for capacity, by the priority of its
/// route.
const MAX_WAIT_SHARES: [f64; 3] = [0.9, 0.5, 0.4];

impl Entry {
    /// Refuses a request: counts and logs it, and answers the caller.
    pub fn refuse(&mut self, request: RequestNo, reason: Refusal, out: &mut Vec<Action>) {
        let retry = retry_after_s(reason);
        self.counters.refuse(reason);
        info!(
            request = request.0,
            reason = reason.as_str(),
            "request refused"
        );
        out.push(Action::Answer {
            request,
            answer: Answer::NotRun { reason, retry },
            age: 0,
            wait: 0,
        });
    }

    /// Refuses a request without a route, and logs by which version that was decided.
    ///
    /// `job` is the id that the request names if it is one for a job.
    pub fn refuse_unrouted(
        &mut self,
        request: RequestNo,
        host: &str,
        job: &str,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(
            job,
            host,
            version = self.version(),
            version_age_ms = self.configuration_age_ms(now),
            "no route"
        );
        self.refuse(request, Refusal::NoRoute, out);
    }

    /// Accepts or refuses a submitted job, and places its tasks if it is accepted.
    ///
    /// A duplicate of a request gets the answer of the first one, or waits for the same job.
    pub fn submit(
        &mut self,
        arrival: impl Into<Arrival>,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Arrival {
            request,
            max_age,
            held_back,
        } = arrival.into();
        if route.advice.is_some() && !self.options.advises {
            self.refuse(request, Refusal::Unsupported, out);
            return;
        }
        if submission.is_durable {
            self.submit_durable(request, id, route, submission, now, out);
            return;
        }
        if let Some(answered) = self.final_answers.get(&id) {
            info!(job = %id, "duplicate of an answered request");
            out.push(Action::Answer {
                request,
                answer: answered.answer,
                age: 0,
                wait: 0,
            });
            return;
        }
        if self.crash_log.is_guilty(&id) {
            self.answer_crashing(request, &id, out);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            info!(job = %id, "duplicate request, its job is in progress");
            job.requests.push(request);
            self.requests.insert(request, id);
            return;
        }
        if let Some(held) = self.held.get_mut(&id) {
            held.requests.push(request);
            held.is_repeated = true;
            let timeout_ms = submission.timeout_ms.saturating_sub(GIVE_UP_MARGIN_MS);
            held.deadline = held.deadline.max(now.after_millis(timeout_ms));
            let lease_times = self.options.lease_times;
            if held_back >= lease_times.unshared_ms() {
                let until = now.after_millis(lease_times.departure_ms());
                held.departure_until = held.departure_until.max(until);
            }
            return;
        }
        if max_age > self.options.lease_times.max_request_age_ms() {
            self.refuse_outdated(request, &id, max_age, out);
            return;
        }
        if let Err(reason) = self.admit_size(&submission) {
            self.refuse(request, reason, out);
            return;
        }
        self.workload
            .record_job(route, &submission, &self.estimates, now);
        let mut job = self.new_job(&id, route, submission, now);
        job.requests.push(request);
        job.sent_after = now.before_millis(max_age);
        let wait_ms = departure_wait_ms(&job, held_back, self.options.lease_times);
        let is_only_attempt = self.is_only_attempt(&id, now);
        if is_only_attempt && (wait_ms == 0 || self.check_servable(&job).is_err()) {
            self.admit(job, now, out);
            return;
        }
        let departure_until = now.after_millis(wait_ms);
        if is_only_attempt {
            self.await_departure(&job, departure_until, now);
        } else {
            self.hold(&job, departure_until, now, out);
        }
    }

    /// Places the tasks of a job that is not durable, or refuses it.
    pub(super) fn admit(&mut self, mut job: Job, now: Time, out: &mut Vec<Action>) {
        let id = job.id.clone();
        if let Err(reason) = self.check_servable(&job) {
            self.refuse_job(&id, &job, reason, now, out);
            return;
        }
        let plan = self.plan(&job, now);
        let wait = plan.wait + self.advice_wait(&job.route) as f64;
        job.planned_wait = wait as u64;
        let slack = job.start_by.remaining_millis(now) as f64;
        if wait > Self::max_wait_ms(&job, now) || plan.delay > slack {
            self.cancel_plan(&plan);
            self.refuse_job(&id, &job, Refusal::Overloaded, now, out);
            return;
        }
        self.counters.accepted += 1;
        info!(
            target: ROUTINE,
            job = %id,
            requests = ?job.requests,
            route = job.route.name,
            tasks = job.tasks.len(),
            planned_wait_ms = job.planned_wait,
            slack_ms = job.start_by.millis_since(now),
            version = self.version(),
            version_age_ms = self.configuration_age_ms(now),
            "job accepted"
        );
        for &request in &job.requests {
            self.requests.insert(request, id.clone());
        }
        self.execute_plan(&id, &mut job, plan, now, out);
        self.jobs.insert(id, job);
    }

    /// Creates a job and computes its deadlines.
    pub(super) fn new_job(
        &self,
        id: &JobId,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
    ) -> Job {
        let critical_path = self.critical_path_ms(route, &submission);
        let objective = route.target_ms + (route.stretch * critical_path as f64) as u64;
        let slack = objective.saturating_sub(critical_path + MESSAGE_OVERHEAD_MS);
        let timeout = submission.timeout_ms.saturating_sub(GIVE_UP_MARGIN_MS);
        let deadline = if submission.is_durable {
            Time::MAX
        } else {
            now.after_millis(timeout)
        };
        Job {
            id: id.clone(),
            requests: Vec::new(),
            state: None,
            hold_until: now,
            route: Rc::clone(route),
            tasks: Job::new_tasks(&submission),
            submission,
            arrived: now,
            sent_after: now,
            start_by: now.after_millis(slack),
            useful_until: now.after_millis(objective * USEFUL_OBJECTIVE_FACTOR),
            deadline,
            planned_wait: 0,
            last_start: now,
            first_sent: None,
            is_successor: false,
            has_started: false,
            is_withdrawn: false,
            broken_gangs: BTreeSet::new(),
            avoided_agents: Vec::new(),
        }
    }

    /// Returns the expected duration of the longest chain of dependent steps, in milliseconds.
    pub(super) fn critical_path_ms(&self, route: &Route, submission: &Submission) -> u64 {
        let advice = route
            .advice
            .map_or(0, |policy| policy.call_ms(ENDPOINTS_PER_ADVICE_CALL));
        let mut ends: Vec<u64> = Vec::with_capacity(submission.steps.len());
        for step in &submission.steps {
            let predecessors = step
                .after
                .iter()
                .filter_map(|&step| ends.get(usize::from(step)));
            let start = predecessors.copied().max().unwrap_or_default();
            let expected_ms = self.estimates.expected_run_ms(&route.name, step.estimate);
            ends.push(start + advice + u64::from(expected_ms));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether the endpoints of a service could hold a task of a step, or all of its tasks
    /// if it is a gang, when they are empty.
    pub(super) fn step_fits(&self, service: &str, step: &Step) -> bool {
        let fits = fits_when_empty(&self.fleet, service, step.needs);
        fits && (!step.gang || gang_fits(&self.fleet, service, step))
    }

    /// Checks that a job has endpoints which can hold its tasks.
    pub(super) fn check_servable(&self, job: &Job) -> Result<(), Refusal> {
        let service = &job.route.service;
        if !self.fleet.has_service(service) {
            let is_evacuated = self.fleet.is_service_evacuated(service);
            return Err(if is_evacuated {
                Refusal::Evacuated
            } else {
                Refusal::NoEndpoint
            });
        }
        if self.is_shut_out(job) {
            return Err(Refusal::Quarantined);
        }
        let steps = &job.submission.steps;
        if steps.iter().any(|step| !self.step_fits(service, step)) {
            return Err(Refusal::NeverFits);
        }
        if steps
            .iter()
            .any(|step| !self.step_fits_outside(service, step))
        {
            return Err(Refusal::Evacuated);
        }
        let fits_now = |step: &Step| fits_shared_capacity(&self.fleet, service, step.needs);
        if !steps.iter().all(fits_now) {
            return Err(Refusal::Overloaded);
        }
        Ok(())
    }

    /// Returns how long a job may be expected to wait for capacity, in milliseconds.
    ///
    /// The limit is lower for routes of lower priority, so that under load their jobs are refused
    /// first and capacity is left for the others.
    pub(super) fn max_wait_ms(job: &Job, now: Time) -> f64 {
        let slack = job.start_by.remaining_millis(now) as f64;
        let class = usize::from(job.route.priority).min(MAX_WAIT_SHARES.len() - 1);
        slack * MAX_WAIT_SHARES[class]
    }

    /// Refuses a job at admission: counts and logs it, and answers the caller.
    pub(super) fn refuse_job(
        &mut self,
        id: &JobId,
        job: &Job,
        reason: Refusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.refuse(reason);
        let age = self.oldest_status_age(&job.route.service, now);
        info!(
            job = %id,
            route = job.route.name,
            reason = reason.as_str(),
            version = self.version(),
            version_age_ms = self.configuration_age_ms(now),
            agents = self.fleet.views.len(),
            view_age_ms = age,
            planned_wait_ms = job.planned_wait,
            slack_ms = job.start_by.millis_since(now),
            "job refused"
        );
        let answer = if job.has_started {
            Answer::MayHaveRun { reason }
        } else {
            Answer::NotRun {
                reason,
                retry: retry_after_s(reason),
            }
        };
        for &request in &job.requests {
            out.push(Action::Answer {
                request,
                answer,
                age: 0,
                wait: 0,
            });
        }
    }

    /// Returns the age of the oldest status among the agents of a service, in milliseconds.
    pub(super) fn oldest_status_age(&self, service: &str, now: Time) -> u64 {
        let of_service = self
            .fleet
            .views
            .values()
            .filter(|view| view.service == service);
        let ages = of_service.map(|view| now.millis_since(view.last_status_at));
        ages.max().unwrap_or_default()
    }
}

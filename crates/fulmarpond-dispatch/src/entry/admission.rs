//! Decisions about new jobs.

use std::collections::BTreeSet;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::configuration::Route;
use super::entry::{Entry, RETRY_S, ROUTINE};
use super::gangs::gang_fits;
use super::job::Job;
use super::placement::{ever_fits, fits_beside};
use super::submission::{Step, Submission};
use super::{Action, Answer, RequestNo};
use crate::{JobId, Refusal};

/// Time for the messages of a job, kept from its objective, in milliseconds.
const OVERHEAD_MS: u64 = 20;

/// Up to this multiple of its objective an answer is of use.
const USEFUL_FACTOR: u64 = 3;

/// How long before the caller leaves a job is given up, in milliseconds.
const GIVE_UP_MS: u64 = 30;

/// The endpoints of one call for advice that counts as work of each step.
const CHAIN_ENDPOINTS: usize = 30;

/// The share of its slack that a job may be expected to wait, by the rank of its queue.
const PATIENCE: [f64; 3] = [0.9, 0.5, 0.4];

impl Entry {
    /// Counts and logs a request that is refused before it names a job.
    pub fn refuse(&mut self, request: RequestNo, reason: Refusal, out: &mut Vec<Action>) {
        let retry = match reason {
            Refusal::NoRoute | Refusal::Invalid | Refusal::Unsupported => 0,
            _ => RETRY_S,
        };
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

    /// Takes a job.
    pub fn submit(
        &mut self,
        request: RequestNo,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if route.advice.is_some() && !self.options.advises {
            self.refuse(request, Refusal::Unsupported, out);
            return;
        }
        if submission.kept {
            self.submit_kept(request, id, route, submission, now, out);
            return;
        }
        if let Some((answer, _)) = self.answers.get(&id) {
            debug!(job = %id, "late copy of an answered request");
            out.push(Action::Answer {
                request,
                answer: *answer,
                age: 0,
                wait: 0,
            });
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            info!(job = %id, "request sent again, its job goes on");
            if let Some(earlier) = job.request.replace(request) {
                self.requests.remove(&earlier);
            }
            self.requests.insert(request, id);
            return;
        }
        let mut job = self.job(&id, Some(request), route, submission, now);
        if let Err(reason) = self.admit(&job) {
            self.refuse_job(&id, &job, reason, now, out);
            return;
        }
        let plan = self.plan(&job, now);
        let wait = plan.wait + self.advice_wait(route) as f64;
        job.wait = wait as u64;
        if wait > Self::patience(&job, now) {
            self.drop_plan(&plan);
            self.refuse_job(&id, &job, Refusal::Overloaded, now, out);
            return;
        }
        self.counters.accepted += 1;
        info!(
            target: ROUTINE,
            job = %id,
            request = request.0,
            route = route.name,
            tasks = job.tasks.len(),
            planned_wait_ms = job.wait,
            slack_ms = job.start_by.millis_since(now),
            version = self.version(),
            "job accepted"
        );
        self.requests.insert(request, id.clone());
        self.carry_out(&id, &mut job, plan, now, out);
        self.jobs.insert(id, job);
    }

    pub(super) fn job(
        &self,
        id: &JobId,
        request: Option<RequestNo>,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
    ) -> Job {
        let chain = self.longest_chain(route, &submission);
        let objective = route.target_ms + (route.stretch * chain as f64) as u64;
        let slack = objective.saturating_sub(chain + OVERHEAD_MS);
        let patience = submission.patience.saturating_sub(GIVE_UP_MS);
        let deadline = if submission.kept {
            Time::MAX
        } else {
            now.after_millis(patience)
        };
        Job {
            id: id.clone(),
            request,
            state: None,
            hold_until: now,
            route: Rc::clone(route),
            tasks: Job::tasks_of(&submission),
            submission,
            arrived: now,
            start_by: now.after_millis(slack),
            useful_until: now.after_millis(objective * USEFUL_FACTOR),
            deadline,
            wait: 0,
            last_start: now,
            begun: false,
            withdrawn: false,
            broken: BTreeSet::new(),
            avoided: Vec::new(),
        }
    }

    /// Returns the expected time of the longest chain of steps, in milliseconds.
    pub(super) fn longest_chain(&self, route: &Route, submission: &Submission) -> u64 {
        let advice = route
            .advice
            .map_or(0, |policy| policy.call_ms(CHAIN_ENDPOINTS));
        let mut ends: Vec<u64> = Vec::with_capacity(submission.steps.len());
        for step in &submission.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&step| ends.get(usize::from(step)));
            let start = before.copied().max().unwrap_or_default();
            let expected = self.estimates.expect(&route.name, step.estimate);
            ends.push(start + advice + u64::from(expected));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether the empty endpoints of a service could hold what a step needs at once.
    pub(super) fn step_fits(&self, service: &str, step: &Step) -> bool {
        let fits = ever_fits(&self.fleet, service, step.needs);
        fits && (!step.gang || gang_fits(&self.fleet, service, step))
    }

    /// Decides whether a job can be served at all.
    pub(super) fn admit(&self, job: &Job) -> Result<(), Refusal> {
        let service = &job.route.service;
        if !self.fleet.has_service(service) {
            return Err(Refusal::NoEndpoint);
        }
        let steps = &job.submission.steps;
        if steps.iter().any(|step| !self.step_fits(service, step)) {
            return Err(Refusal::NeverFits);
        }
        let beside = |step: &Step| fits_beside(&self.fleet, service, step.needs);
        if !steps.iter().all(beside) {
            return Err(Refusal::Overloaded);
        }
        Ok(())
    }

    /// Returns how long a job may wait for room, in milliseconds.
    ///
    /// Under load, queues of lower rank are refused first, so that room is left for the others.
    pub(super) fn patience(job: &Job, now: Time) -> f64 {
        let slack = job.start_by.remaining_millis(now) as f64;
        let rank = usize::from(job.route.priority).min(PATIENCE.len() - 1);
        slack * PATIENCE[rank]
    }

    pub(super) fn refuse_job(
        &mut self,
        id: &JobId,
        job: &Job,
        reason: Refusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.refuse(reason);
        let age = self.view_age(&job.route.service, now);
        info!(
            job = %id,
            route = job.route.name,
            reason = reason.as_str(),
            version = self.version(),
            agents = self.fleet.views.len(),
            view_age_ms = age,
            planned_wait_ms = job.wait,
            slack_ms = job.start_by.millis_since(now),
            "job refused"
        );
        if let Some(request) = job.request {
            out.push(Action::Answer {
                request,
                answer: Answer::NotRun {
                    reason,
                    retry: RETRY_S,
                },
                age: 0,
                wait: 0,
            });
        }
    }

    /// Returns the age of the oldest status of a service's agents, in milliseconds.
    pub(super) fn view_age(&self, service: &str, now: Time) -> u64 {
        let of_service = self
            .fleet
            .views
            .values()
            .filter(|view| view.service == service);
        let ages = of_service.map(|view| now.millis_since(view.heard));
        ages.max().unwrap_or_default()
    }
}

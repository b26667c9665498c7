//! Placement advice for queues whose policy restricts which endpoints may run a step.
//!
//! An external service evaluates the policy and issues a ticket for each allowed endpoint. The
//! entry submits the endpoints that it would choose, one call at a time, and places the tasks of
//! the step only at endpoints for which it holds a valid ticket.

use std::collections::{BTreeMap, HashMap, VecDeque};

use fulmarpond_core::Time;
use thiserror::Error;
use tracing::{debug, info, warn};

use super::Action;
use super::entry::Entry;
use super::job::Job;
use crate::configuration::Route;
use crate::{EndpointId, Incarnation, JobId, LinkNo};

/// The maximum number of endpoints in a call. The service accepts 100, but each adds to the time of
/// the call.
const MAX_ENDPOINTS_PER_CALL: usize = 30;

/// Added to the call time stated by the policy to get the timeout of a call, in milliseconds.
const TIMEOUT_MARGIN_MS: u64 = 300;

/// The delay before the next call after a failed one, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// The share of a ticket's validity that is reserved for delivering the task to its endpoint, in
/// percent.
const DELIVERY_MARGIN_PERCENT: u64 = 20;

/// Identifies a step of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The number of the step.
    pub step: u16,
}

/// An endpoint that may run a step, with the ticket that proves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The ticket.
    pub ticket: String,
}

/// Why a call for advice failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdviceFailure {
    /// The service has too many pending calls.
    #[error("advice service is busy")]
    Busy,
    /// There was no reply, or an unreadable one.
    #[error("no readable reply from the advice service")]
    NoReply,
}

/// The decision of the policy for a step at an endpoint.
#[derive(Debug, Clone)]
enum Verdict {
    Ticket { value: String, expires: Time },
    Forbidden,
}

/// A call in flight.
#[derive(Debug)]
struct Call {
    step: StepKey,
    endpoints: Vec<Incarnation>,
    sent_at: Time,
    valid_ms: u64,
}

/// The decisions received so far, and the steps that need a call.
#[derive(Debug, Default)]
pub(super) struct Advice {
    verdicts: HashMap<StepKey, HashMap<Incarnation, Verdict>>,
    queue: VecDeque<StepKey>,
    in_flight: Option<Call>,
    /// The earliest time of the next call after a failed one.
    next_call: Time,
}

impl Advice {
    /// Returns the valid ticket of a step at an endpoint.
    pub(super) fn ticket(&self, step: &StepKey, endpoint: &Incarnation, now: Time) -> Option<&str> {
        match self.verdicts.get(step)?.get(endpoint)? {
            Verdict::Ticket { value, expires } if now < *expires => Some(value),
            _ => None,
        }
    }

    fn is_forbidden(&self, step: &StepKey, endpoint: &Incarnation) -> bool {
        let verdict = self
            .verdicts
            .get(step)
            .and_then(|verdicts| verdicts.get(endpoint));
        matches!(verdict, Some(Verdict::Forbidden))
    }

    /// Queues a call for a step, unless one is queued or in flight.
    pub(super) fn enqueue(&mut self, step: StepKey) {
        let is_in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|call| call.step == step);
        if !is_in_flight && !self.queue.contains(&step) {
            self.queue.push_back(step);
        }
    }

    /// Returns the number of steps whose call is queued or in flight.
    pub(super) fn pending_calls(&self) -> usize {
        self.queue.len() + usize::from(self.in_flight.is_some())
    }

    /// Discards a ticket that its endpoint did not accept.
    pub(super) fn discard_ticket(&mut self, step: &StepKey, endpoint: &Incarnation) {
        if let Some(verdicts) = self.verdicts.get_mut(step) {
            verdicts.remove(endpoint);
        }
    }

    pub(super) fn forget(&mut self, job: &JobId) {
        self.verdicts.retain(|step, _| step.job != *job);
        self.queue.retain(|step| step.job != *job);
    }
}

impl Entry {
    /// Returns whether the policy of its queue allows a step to be placed at an agent.
    pub(super) fn is_allowed(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> bool {
        job.route.advice.is_none() || self.ticket(job, step, link, now).is_some()
    }

    /// Returns the ticket of a step at an agent's endpoint.
    pub(super) fn ticket(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> Option<&str> {
        let view = self.fleet.views.get(&link)?;
        self.advice.ticket(&job.step_key(step), &view.endpoint, now)
    }

    /// Queues a call for advice about a step that could not be placed, if its queue has a policy.
    pub(super) fn queue_advice(&mut self, job: &Job, step: u16) {
        if job.route.advice.is_some() {
            self.advice.enqueue(job.step_key(step));
        }
    }

    /// Returns the expected wait for advice of a new job of a queue, in milliseconds.
    pub(super) fn advice_wait(&self, route: &Route) -> u64 {
        let call_ms = route
            .advice
            .map_or(0, |policy| policy.call_ms(MAX_ENDPOINTS_PER_CALL));
        call_ms * (self.advice.pending_calls() as u64 + u64::from(call_ms > 0))
    }

    /// Makes the next call for advice, if none is in flight.
    pub(super) fn request_advice(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.advice.in_flight.is_some() || now < self.advice.next_call {
            return;
        }
        while let Some(step) = self.advice.queue.pop_front() {
            let Some(job) = self.jobs.get(&step.job) else {
                continue;
            };
            let Some(policy) = job.route.advice else {
                continue;
            };
            let endpoints = self.advice_candidates(job, &step, now);
            if endpoints.is_empty() {
                continue;
            }
            let timeout = policy.call_ms(endpoints.len()) + TIMEOUT_MARGIN_MS;
            debug!(job = %step.job, step = step.step, endpoints = endpoints.len(), "asking for advice");
            out.push(Action::Advise {
                step: step.clone(),
                endpoints: endpoints.iter().map(|of| of.id.clone()).collect(),
                timeout,
            });
            self.advice.in_flight = Some(Call {
                step,
                endpoints,
                sent_at: now,
                valid_ms: u64::from(policy.valid_ms),
            });
            return;
        }
    }

    /// Returns the endpoints to request advice for, by ascending placement cost.
    fn advice_candidates(&self, job: &Job, step: &StepKey, now: Time) -> Vec<Incarnation> {
        let mut ranked: BTreeMap<(u64, LinkNo), Incarnation> = BTreeMap::new();
        for (&link, view) in &self.fleet.views {
            let is_decided = self.advice.is_forbidden(step, &view.endpoint)
                || self.advice.ticket(step, &view.endpoint, now).is_some();
            if is_decided {
                continue;
            }
            if let Some(cost) = self.cost(job, step.step, link, now) {
                ranked.insert((cost as u64, link), view.endpoint.clone());
            }
        }
        ranked.into_values().take(MAX_ENDPOINTS_PER_CALL).collect()
    }

    /// Handles the outcome of the call for advice that is in flight.
    pub fn handle_advice(
        &mut self,
        outcome: Result<Vec<Allowed>, AdviceFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.advice.in_flight.take() else {
            return;
        };
        let Call {
            step,
            endpoints,
            sent_at,
            valid_ms,
        } = call;
        let allowed = match outcome {
            Ok(allowed) => allowed,
            Err(error) => {
                warn!(job = %step.job, step = step.step, %error, "no advice");
                self.advice.next_call = now.after_millis(RETRY_DELAY_MS);
                self.advice.enqueue(step);
                return;
            }
        };
        info!(
            job = %step.job,
            step = step.step,
            asked = endpoints.len(),
            allowed = allowed.len(),
            "advice taken"
        );
        // A ticket may have been issued as early as the call was sent.
        let expires = sent_at.after_millis(valid_ms * (100 - DELIVERY_MARGIN_PERCENT) / 100);
        if !self.jobs.contains_key(&step.job) {
            return;
        }
        let verdicts = self.advice.verdicts.entry(step.clone()).or_default();
        // Endpoints that were not asked about are ignored: which incarnation is meant is not known.
        for endpoint in endpoints {
            let ticket = allowed.iter().find(|of| of.endpoint == endpoint.id);
            let verdict = ticket.map_or(Verdict::Forbidden, |of| Verdict::Ticket {
                value: of.ticket.clone(),
                expires,
            });
            verdicts.insert(endpoint, verdict);
        }
        self.place(&step.job, now, out);
        self.request_advice(now, out);
    }
}

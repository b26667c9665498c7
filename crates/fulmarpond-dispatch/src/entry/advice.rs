//! Queues whose policy allows only some endpoints to run a step.
//!
//! A service outside knows which endpoints these are, and gives a ticket for each. The entry asks it
//! for the endpoints that it would choose, one call at a time, and places the tasks of the step only
//! where it has a ticket that is still valid.

use std::collections::{BTreeMap, HashMap, VecDeque};

use fulmarpond_core::Time;
use fulmarpond_derive::message;
use thiserror::Error;
use tracing::{debug, info, warn};

use super::Action;
use super::configuration::Route;
use super::entry::Entry;
use super::job::Job;
use crate::{EndpointId, JobId, LinkNo};

/// How many endpoints a call names at most. The service takes 100; each costs time.
const MOST_ASKED: usize = 30;

/// How long a call may take beyond the time that the policy states, in milliseconds.
const REPLY_MS: u64 = 300;

/// The pause after a call that failed, in milliseconds.
const PAUSE_MS: u64 = 100;

/// The part of a ticket's validity that is left for the task's way to its endpoint, in percent.
const MARGIN_PERCENT: u64 = 20;

/// How long advice takes and lasts.
#[message]
#[derive(Copy, Eq)]
pub struct AdvicePolicy {
    /// The time of a call, in milliseconds.
    pub decide_ms: u32,
    /// The time for each endpoint that a call names, in microseconds.
    pub each_us: u32,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u32,
}

impl AdvicePolicy {
    /// Returns how long a call takes, in milliseconds.
    pub(super) fn call_ms(self, endpoints: usize) -> u64 {
        let each = u64::from(self.each_us) * endpoints as u64;
        u64::from(self.decide_ms) + each.div_ceil(1_000)
    }
}

/// Names a step of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The number of the step.
    pub step: u16,
}

/// An endpoint that may run a step, with the ticket that shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The ticket.
    pub ticket: String,
}

/// Why a call for advice gave none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdviceFailure {
    /// Too many calls wait at the service.
    #[error("the service is busy")]
    Busy,
    /// There is no reply, or none that can be read.
    #[error("no reply")]
    NoReply,
}

/// What is known about an endpoint and a step.
#[derive(Debug, Clone)]
enum Verdict {
    Ticket { value: String, until: Time },
    Forbidden,
}

/// A call that is under way.
#[derive(Debug)]
struct Call {
    step: StepKey,
    endpoints: Vec<EndpointId>,
    sent: Time,
    valid_ms: u64,
}

/// What an entry knows of the policies of its queues.
#[derive(Debug, Default)]
pub(super) struct Advice {
    verdicts: HashMap<StepKey, HashMap<EndpointId, Verdict>>,
    wanted: VecDeque<StepKey>,
    under_way: Option<Call>,
    /// When the next call may be made after one that failed.
    next: Time,
}

impl Advice {
    /// Returns the ticket of a step at an endpoint.
    pub(super) fn ticket(&self, step: &StepKey, endpoint: &EndpointId, now: Time) -> Option<&str> {
        match self.verdicts.get(step)?.get(endpoint)? {
            Verdict::Ticket { value, until } if now < *until => Some(value),
            _ => None,
        }
    }

    fn is_forbidden(&self, step: &StepKey, endpoint: &EndpointId) -> bool {
        let known = self
            .verdicts
            .get(step)
            .and_then(|known| known.get(endpoint));
        matches!(known, Some(Verdict::Forbidden))
    }

    /// Asks for advice about a step when its turn comes.
    pub(super) fn want(&mut self, step: StepKey) {
        let asked = self
            .under_way
            .as_ref()
            .is_some_and(|call| call.step == step);
        if !asked && !self.wanted.contains(&step) {
            self.wanted.push_back(step);
        }
    }

    /// Returns how many steps wait for advice.
    pub(super) fn waiting(&self) -> usize {
        self.wanted.len() + usize::from(self.under_way.is_some())
    }

    /// Forgets a ticket that its endpoint did not accept.
    pub(super) fn reject(&mut self, step: &StepKey, endpoint: &EndpointId) {
        if let Some(known) = self.verdicts.get_mut(step) {
            known.remove(endpoint);
        }
    }

    pub(super) fn forget(&mut self, job: &JobId) {
        self.verdicts.retain(|step, _| step.job != *job);
        self.wanted.retain(|step| step.job != *job);
    }
}

impl Entry {
    /// Returns whether a step may be placed at an agent as far as its queue's policy goes.
    pub(super) fn is_allowed(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> bool {
        job.route.advice.is_none() || self.ticket(job, step, link, now).is_some()
    }

    /// Returns the ticket of a step at an agent's endpoint.
    pub(super) fn ticket(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> Option<&str> {
        let view = self.fleet.views.get(&link)?;
        self.advice.ticket(&job.step_key(step), &view.endpoint, now)
    }

    /// Asks for advice about a step that found no agent, if its queue has a policy.
    pub(super) fn want_advice(&mut self, job: &Job, step: u16) {
        if job.route.advice.is_some() {
            self.advice.want(job.step_key(step));
        }
    }

    /// Returns how long a new job of a queue waits for advice, in milliseconds.
    pub(super) fn advice_wait(&self, route: &Route) -> u64 {
        let call = route.advice.map_or(0, |policy| policy.call_ms(MOST_ASKED));
        call * (self.advice.waiting() as u64 + u64::from(call > 0))
    }

    /// Makes the next call for advice, if none is under way.
    pub(super) fn ask_advice(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.advice.under_way.is_some() || now < self.advice.next {
            return;
        }
        while let Some(step) = self.advice.wanted.pop_front() {
            let Some(job) = self.jobs.get(&step.job) else {
                continue;
            };
            let Some(policy) = job.route.advice else {
                continue;
            };
            let endpoints = self.candidates(job, &step, now);
            if endpoints.is_empty() {
                continue;
            }
            let timeout = policy.call_ms(endpoints.len()) + REPLY_MS;
            debug!(job = %step.job, step = step.step, endpoints = endpoints.len(), "asking for advice");
            out.push(Action::Advise {
                step: step.clone(),
                endpoints: endpoints.clone(),
                timeout,
            });
            self.advice.under_way = Some(Call {
                step,
                endpoints,
                sent: now,
                valid_ms: u64::from(policy.valid_ms),
            });
            return;
        }
    }

    /// Returns the endpoints to ask about, the best first.
    fn candidates(&self, job: &Job, step: &StepKey, now: Time) -> Vec<EndpointId> {
        let mut ranked: BTreeMap<(u64, LinkNo), EndpointId> = BTreeMap::new();
        for (&link, view) in &self.fleet.views {
            let known = self.advice.is_forbidden(step, &view.endpoint)
                || self.advice.ticket(step, &view.endpoint, now).is_some();
            if known {
                continue;
            }
            if let Some(cost) = self.cost(job, step.step, link, now) {
                ranked.insert((cost as u64, link), view.endpoint.clone());
            }
        }
        ranked.into_values().take(MOST_ASKED).collect()
    }

    /// Takes the outcome of the call for advice that is under way.
    pub fn advised(
        &mut self,
        outcome: Result<Vec<Allowed>, AdviceFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.advice.under_way.take() else {
            return;
        };
        let Call {
            step,
            endpoints,
            sent,
            valid_ms,
        } = call;
        let allowed = match outcome {
            Ok(allowed) => allowed,
            Err(error) => {
                warn!(job = %step.job, step = step.step, %error, "no advice");
                self.advice.next = now.after_millis(PAUSE_MS);
                self.advice.want(step);
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
        // The ticket may have been issued as soon as the call was sent.
        let until = sent.after_millis(valid_ms * (100 - MARGIN_PERCENT) / 100);
        if !self.jobs.contains_key(&step.job) {
            return;
        }
        let known = self.advice.verdicts.entry(step.clone()).or_default();
        for endpoint in endpoints {
            known.insert(endpoint, Verdict::Forbidden);
        }
        for Allowed { endpoint, ticket } in allowed {
            let verdict = Verdict::Ticket {
                value: ticket,
                until,
            };
            known.insert(endpoint, verdict);
        }
        self.place(&step.job, now, out);
        self.ask_advice(now, out);
    }
}

//! The simulated advice service, which decides which endpoints may run a step and issues tickets.

use fulmarpond_dispatch::EndpointId;
use fulmarpond_dispatch::agent::EndpointCall;
use fulmarpond_dispatch::entry::{AdviceFailure, Allowed, StepKey};
use fulmarpond_dispatch::{JobId, TaskKey};
use rand::RngExt;

use super::simulation::{Event, Simulation};

impl Simulation {
    /// Returns whether the policy allows a job at an endpoint. Each job is allowed at every second
    /// endpoint.
    pub fn may_run(job: &JobId, agent: usize) -> bool {
        let last = job.0.bytes().last().unwrap_or_default();
        (usize::from(last) + agent).is_multiple_of(2)
    }

    pub(super) fn call_advice(&mut self, entry: usize, step: &StepKey, endpoints: &[EndpointId]) {
        let Some(policy) = self.options.advice else {
            return;
        };
        let generation = self.entries[entry].generation;
        let busy = self.rng.random_range(0..100) < self.options.advice_busy;
        let outcome = if busy {
            Err(AdviceFailure::Busy)
        } else {
            let good = endpoints.iter().filter_map(|id| self.ticket_for(step, id));
            Ok(good.collect())
        };
        let micros = policy.decide_ms * 1_000 + policy.each_us * endpoints.len() as u32;
        self.schedule_in_us(
            u64::from(micros),
            Event::AdviceAnswered(entry, generation, outcome),
        );
    }

    fn ticket_for(&self, step: &StepKey, id: &EndpointId) -> Option<Allowed> {
        let agent = self.endpoints.iter().position(|known| known.id() == *id)?;
        Self::may_run(&step.job, agent).then(|| Allowed {
            endpoint: id.clone(),
            ticket: format!("{}/{}/{id}/{}", step.job, step.step, self.elapsed_ms()),
        })
    }

    /// Returns whether a start lacks a ticket that is valid for its step and endpoint.
    pub(super) fn lacks_ticket(&self, agent: usize, call: &EndpointCall) -> bool {
        let (Some(policy), EndpointCall::Start { task, ticket, .. }) = (self.options.advice, call)
        else {
            return false;
        };
        let issued = ticket
            .as_deref()
            .and_then(|ticket| Self::issue_ms(ticket, task, &self.endpoints[agent].id()));
        issued.is_none_or(|issued| self.elapsed_ms() > issued + u64::from(policy.valid_ms))
    }

    fn issue_ms(ticket: &str, task: &TaskKey, id: &EndpointId) -> Option<u64> {
        let rest = ticket.strip_prefix(&format!("{}/{}/{id}/", task.job, task.step))?;
        rest.parse().ok()
    }
}

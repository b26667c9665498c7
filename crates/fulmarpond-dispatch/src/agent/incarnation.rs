//! Which incarnation of the endpoint is the present one.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::agent::{Agent, Purpose};
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::health::Health;
use super::run::{Phase, Then};
use super::{Action, CallFailure, EndpointCall, EndpointReply};
use crate::{EndpointState, Outcome, Registration, TaskKey};

impl Agent {
    /// Takes a heartbeat of an endpoint.
    pub fn beat(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            self.adopt(about, now, out);
            return;
        };
        if endpoint.about.id != about.id {
            // A delayed heartbeat of an earlier incarnation looks the same as the first of a new
            // one; only the endpoint itself can tell.
            self.probe(about, out);
            return;
        }
        let known = (endpoint.about.capacity, endpoint.about.state);
        if !endpoint.beat(about, now, self.options.beat_ms) {
            return;
        }
        if known != (endpoint.about.capacity, endpoint.about.state) {
            let id = &endpoint.about.id;
            info!(endpoint = %id, state = ?endpoint.about.state, "endpoint changed");
            let draining = endpoint.about.state == EndpointState::Draining;
            self.describe_to_all(out);
            if draining {
                self.return_queue(now);
            }
        }
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| !known.reachable || !known.settled)
        {
            self.hold(now, out);
        }
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Notes that an endpoint has ended.
    pub fn left(&mut self, id: &str, now: Time, out: &mut Vec<Action>) {
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| known.about.id.0 == id)
        {
            info!(endpoint = id, "endpoint left");
            self.lose_endpoint(now, out);
        }
    }

    pub(super) fn adopt(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        info!(endpoint = %about.id, service = about.service, cpu = about.capacity.cpu, "endpoint found");
        self.health = Health::new(now);
        self.endpoint = Some(Endpoint::new(about, now, self.options.beat_ms));
        self.describe_to_all(out);
        self.hold(now, out);
    }

    pub(super) fn probe(&mut self, about: Registration, out: &mut Vec<Action>) {
        let probing = |purpose: &Purpose| matches!(purpose, Purpose::Probe(_));
        if self.calls.values().any(probing) {
            return;
        }
        let number = self.fresh_call();
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: 0,
            lease: None,
            wait: 0,
        };
        out.push(Action::Call {
            number,
            to: about.id.clone(),
            addr: about.addr,
            call,
            timeout: HOLD_TIMEOUT_MS,
        });
        self.calls.insert(number, Purpose::Probe(about));
    }

    /// Forgets the endpoint: everything that ran there is over.
    pub(super) fn lose_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lost) = self.endpoint.take() else {
            return;
        };
        warn!(endpoint = %lost.about.id, runs = self.runs.len(), "endpoint lost");
        self.calls
            .retain(|_, purpose| matches!(purpose, Purpose::Probe(_)));
        self.numbers.clear();
        self.end_everything(now);
        self.describe_to_all(out);
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Reports the end of all tasks, when nothing can run at the endpoint any more.
    pub(super) fn end_everything(&mut self, now: Time) {
        self.return_queue(now);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            let report = match self.runs[&task].phase {
                Phase::Stopping {
                    then: Then::Forget, ..
                } => None,
                _ => Some(Outcome::Aborted),
            };
            self.finish(&task, report, 0);
        }
    }

    pub(super) fn probed(
        &mut self,
        about: Registration,
        outcome: &Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let present = matches!(
            outcome,
            Ok(EndpointReply::Held { .. } | EndpointReply::Refused { .. })
        );
        if present {
            self.lose_endpoint(now, out);
            self.adopt(about, now, out);
        } else {
            debug!(endpoint = %about.id, ?outcome, "heartbeat of another incarnation ignored");
        }
    }
}

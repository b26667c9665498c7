//! Tracking of the current incarnation of the endpoint.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::agent::{Agent, PendingCall, Purpose};
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::health::Health;
use super::run::{AfterStop, Phase};
use super::{Action, CallFailure, EndpointCall, EndpointReply};
use crate::{EndpointState, Outcome, Registration, TaskKey};

impl Agent {
    /// Handles a heartbeat of an endpoint.
    pub fn handle_heartbeat(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.close_expired_links(now, out);
        let cold_ms = registration.cold_remaining_ms;
        let Some(endpoint) = &mut self.endpoint else {
            self.attach_endpoint(registration, now, out);
            return;
        };
        if endpoint.registration.id != registration.id {
            // A delayed heartbeat of an earlier incarnation can't be told from the first one of a
            // new incarnation. Only a call to the endpoint shows which one is current.
            self.probe_incarnation(registration, now, out);
            return;
        }
        let previous = (endpoint.registration.capacity, endpoint.registration.state);
        if !endpoint.record_heartbeat(registration, now, self.options.heartbeat_interval_ms) {
            return;
        }
        if previous != (endpoint.registration.capacity, endpoint.registration.state) {
            let id = &endpoint.registration.id;
            info!(endpoint = %id, state = ?endpoint.registration.state, "endpoint changed");
            let is_draining = endpoint.registration.state == EndpointState::Draining;
            self.broadcast_endpoint(out);
            if is_draining {
                self.return_queued_tasks(now);
            }
        }
        self.record_cold(cold_ms, now, out);
        if self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| !endpoint.is_reachable || !endpoint.has_no_unknown_runs)
        {
            self.send_hold(now, out);
        }
        self.send_status(now, out);
        self.send_reports(out);
    }

    /// Handles the deregistration of an endpoint.
    pub fn handle_deregistration(&mut self, id: &str, now: Time, out: &mut Vec<Action>) {
        if self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.registration.id.0 == id)
        {
            info!(endpoint = id, "endpoint left");
            self.remove_endpoint(now, out);
        }
    }

    pub(super) fn attach_endpoint(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(endpoint = %registration.id, service = registration.service, cpu = registration.capacity.cpu, "endpoint found");
        self.health = Health::new(now);
        self.record_cold(registration.cold_remaining_ms, now, out);
        self.endpoint = Some(Endpoint::new(
            registration,
            now,
            self.options.heartbeat_interval_ms,
        ));
        self.broadcast_endpoint(out);
        self.send_hold(now, out);
    }

    /// Checks with a call whether a registration belongs to the current incarnation, unless such a
    /// check is pending.
    pub(super) fn probe_incarnation(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self.pending_calls.values().any(is_probe) {
            return;
        }
        let number = self.allocate_call_no();
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: 0,
            lease: None,
            wait: 0,
        };
        out.push(Action::Call {
            number,
            to: registration.id.clone(),
            addr: registration.addr,
            call,
            timeout: HOLD_TIMEOUT_MS,
        });
        let pending = PendingCall {
            purpose: Purpose::Probe(registration),
            sent: now,
            is_immediate: true,
        };
        self.pending_calls.insert(number, pending);
    }

    /// Removes the endpoint, whose runs have all ended with it.
    pub(super) fn remove_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lost) = self.endpoint.take() else {
            return;
        };
        warn!(endpoint = %lost.registration.id, runs = self.runs.len(), "endpoint lost");
        self.pending_calls.retain(|_, call| is_probe(call));
        self.last_run_numbers.clear();
        self.abort_all_tasks(now);
        self.broadcast_endpoint(out);
        self.send_status(now, out);
        self.send_reports(out);
    }

    /// Ends all tasks once nothing can run at the endpoint any more.
    pub(super) fn abort_all_tasks(&mut self, now: Time) {
        self.return_queued_tasks(now);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            let report = match self.runs[&task].phase {
                Phase::Stopping {
                    after_stop: AfterStop::Discard,
                    ..
                } => None,
                _ => Some(Outcome::Aborted),
            };
            self.finish_run(&task, report, 0);
        }
    }

    pub(super) fn handle_probe(
        &mut self,
        registration: Registration,
        outcome: &Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_current = matches!(
            outcome,
            Ok(EndpointReply::Held { .. } | EndpointReply::Refused { .. })
        );
        if is_current {
            self.remove_endpoint(now, out);
            self.attach_endpoint(registration, now, out);
        } else {
            debug!(endpoint = %registration.id, ?outcome, "heartbeat of another incarnation ignored");
        }
    }
}

const fn is_probe(call: &PendingCall) -> bool {
    matches!(call.purpose, Purpose::Probe(_))
}

//! Tracking of the current incarnation of the endpoint.
//!
//! An endpoint may restart under its id. Nothing that is known of the previous incarnation holds
//! then: its runs are over, and its sequence numbers, the numbers of its ends and its clock start
//! anew. Heartbeats are delayed, so they only give a reason to ask the endpoint which incarnation is
//! the current one.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::agent::{Agent, PendingCall, Purpose};
use super::crashes::Notice;
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::health::Health;
use super::run::{AfterStop, Phase, Reach};
use super::{Action, CallFailure, EndpointCall, EndpointReply};
use crate::{
    EndpointState, Incarnation, Outcome, Registration, RegistrationError, Resources, TaskKey,
};

/// The number of incarnations that are remembered as over. An older one is recognized by a call.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// The maximum number of pending calls that check which incarnation is the current one. Delayed
/// heartbeats of several earlier incarnations must not keep that of a new one from being checked.
const MAX_PROBES: usize = 4;

impl Agent {
    /// Handles a heartbeat of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails, without any effect, if the heartbeat contradicts earlier ones of its incarnation.
    pub fn handle_heartbeat(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Result<(), RegistrationError> {
        self.close_expired_links(now, out);
        let incarnation = registration.incarnation();
        if self.ended_incarnations.contains(&incarnation) {
            debug!(endpoint = %incarnation.id, born = incarnation.born, "heartbeat of an incarnation that is over ignored");
            return Ok(());
        }
        let Some(endpoint) = &self.endpoint else {
            self.attach_endpoint(registration, true, now, out);
            return Ok(());
        };
        if endpoint.registration.incarnation() != incarnation {
            // A delayed heartbeat of an earlier incarnation can't be told from the first one of a
            // new incarnation. Only a call to the endpoint shows which one is current.
            self.probe_incarnation(registration, now, out);
            return Ok(());
        }
        self.record_heartbeat(registration, now, out)
    }

    /// Records a heartbeat of the current incarnation.
    fn record_heartbeat(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Result<(), RegistrationError> {
        let Some(endpoint) = &mut self.endpoint else {
            return Ok(());
        };
        if endpoint.is_registered && endpoint.registration.service != registration.service {
            return Err(RegistrationError::ServiceChanged);
        }
        let none = Resources::default();
        if endpoint.is_registered
            && endpoint.registration.capacity != none
            && registration.capacity == none
        {
            return Err(RegistrationError::CapacityMissing);
        }
        let is_first = !endpoint.is_registered;
        let cold_ms = registration.cold_remaining_ms;
        let previous = (endpoint.registration.capacity, endpoint.registration.state);
        if !endpoint.record_heartbeat(registration, now, self.options.heartbeat_interval_ms) {
            return Ok(());
        }
        if is_first || previous != (endpoint.registration.capacity, endpoint.registration.state) {
            let id = &endpoint.registration.id;
            info!(endpoint = %id, state = ?endpoint.registration.state, "endpoint changed");
            let is_draining = endpoint.registration.state == EndpointState::Draining;
            self.broadcast_endpoint(out);
            if is_draining {
                self.return_queued_tasks(now);
            }
            self.return_blocked_tasks(now, out);
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
        Ok(())
    }

    /// Handles the deregistration of an endpoint.
    ///
    /// The endpoint gets no more tasks, and calls show whether it has ended: it ends some time after it
    /// has deregistered, and its runs go on until then. A deregistration that does not name its
    /// incarnation may be a delayed one of an earlier incarnation.
    pub fn handle_deregistration(
        &mut self,
        incarnation: &Incarnation,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let current = endpoint.registration.incarnation();
        if current.id != incarnation.id {
            return;
        }
        if incarnation.born != 0 && incarnation.born != current.born {
            return;
        }
        info!(endpoint = %current.id, "endpoint has deregistered, checking whether it has ended");
        endpoint.deregistered_at = Some(endpoint.registration.sequence);
        if current.born == incarnation.born {
            // Its delayed heartbeats don't bring it back.
            self.mark_ended(current);
        }
        self.return_queued_tasks(now);
        self.send_hold(now, out);
        self.send_status(now, out);
        self.send_reports(out);
    }

    /// Remembers that an incarnation is over, if it can be told from the next one.
    fn mark_ended(&mut self, incarnation: Incarnation) {
        if incarnation.born == 0 || self.ended_incarnations.contains(&incarnation) {
            return;
        }
        if self.ended_incarnations.len() == MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
        self.ended_incarnations.push_back(incarnation);
    }

    /// Sets the endpoint. `is_registered` tells whether the registration is one of the incarnation
    /// that it names, and not the last one of the previous incarnation.
    pub(super) fn attach_endpoint(
        &mut self,
        registration: Registration,
        is_registered: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(endpoint = %registration.id, born = registration.born, service = registration.service, cpu = registration.capacity.cpu, "endpoint found");
        if registration.born != 0 {
            // A start for an earlier incarnation that arrives after the first call is fenced off.
            self.fence = self.fence.saturating_add(1);
        }
        self.health = Health::new(now);
        self.record_cold(registration.cold_remaining_ms, now, out);
        let heartbeat_ms = self.options.heartbeat_interval_ms;
        self.endpoint = Some(Endpoint {
            is_registered,
            ..Endpoint::new(registration, now, heartbeat_ms)
        });
        self.broadcast_endpoint(out);
        self.send_hold(now, out);
    }

    /// Compares the start of the incarnation that has replied to a hold with that of the current
    /// one; returns whether the reply is not one of the current incarnation.
    pub(super) fn update_incarnation(
        &mut self,
        born: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(endpoint) = &mut self.endpoint else {
            return false;
        };
        let is_first = !std::mem::replace(&mut endpoint.has_replied, true);
        let current = endpoint.registration.incarnation();
        if born == 0 || born == current.born {
            return false;
        }
        if current.born == 0 && is_first {
            // The heartbeats do not say when the endpoint was started, only its replies do.
            endpoint.registration.born = born;
            self.broadcast_endpoint(out);
            return false;
        }
        let registration = Registration {
            born,
            sequence: 0,
            ..endpoint.registration.clone()
        };
        self.restart_endpoint(registration, false, now, out);
        true
    }

    /// Replaces the current incarnation by a later one with the same id.
    ///
    /// Runs that the previous incarnation has listed are over. The start of another one may have
    /// reached the new incarnation, so it is stopped there before its task is reported.
    fn restart_endpoint(
        &mut self,
        registration: Registration,
        is_registered: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.doubt_unlisted_runs();
        self.report_crash(&Notice::at("incarnation", now), now, out);
        let Some(previous) = self.endpoint.take() else {
            return;
        };
        warn!(
            endpoint = %registration.id,
            previous = previous.registration.born,
            born = registration.born,
            runs = self.runs.len(),
            "endpoint has restarted under its id"
        );
        self.counters.endpoint_restarts += 1;
        self.mark_ended(previous.registration.incarnation());
        let current = registration.incarnation();
        self.ended_incarnations.retain(|ended| *ended != current);
        self.pending_calls.retain(|_, call| is_probe(call));
        self.remember_run_numbers(now);
        self.stalled_until = now;
        self.return_queued_tasks(now);
        let (listed, unlisted): (Vec<_>, Vec<_>) = self
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.is_listed))
            .partition(|(_, is_listed)| *is_listed);
        for (task, _) in listed {
            self.abort_task(&task);
        }
        self.attach_endpoint(registration, is_registered, now, out);
        if let Some(endpoint) = &mut self.endpoint {
            // The host is drained, not the incarnation.
            endpoint.drained_until = previous.drained_until;
        }
        for (task, _) in unlisted {
            self.stop_at_new_incarnation(&task, now, out);
        }
        self.send_status(now, out);
        self.send_reports(out);
    }

    /// Records that only listed runs were surely at the previous incarnation: a reply to a start does not
    /// say which incarnation it comes from.
    fn doubt_unlisted_runs(&mut self) {
        let runs = self.runs.values_mut();
        for run in runs.filter(|run| !run.is_listed && run.reach == Reach::Confirmed) {
            run.reach = Reach::Unknown;
        }
    }

    /// Stops a run whose start may have reached the new incarnation.
    fn stop_at_new_incarnation(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let resend_at = self.resend_at(now);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        // How long the lease of a late start lasts at the new incarnation is not known.
        self.unwanted_runs.remove(&(run.over_by, task.clone()));
        run.over_by = Time::MAX;
        let after_stop = match run.phase {
            Phase::Stopping {
                after_stop: after_stop @ (AfterStop::Discard | AfterStop::Refuse),
                ..
            } => after_stop,
            _ => AfterStop::Report(Outcome::Aborted),
        };
        run.phase = Phase::Stopping {
            after_stop,
            resend_at,
            check_at: Time::MAX,
            ends_by: Time::MAX,
        };
        let number = run.number;
        self.send_stop(task, number, now, out);
    }

    /// Remembers the numbers of all runs at the endpoint, so that a run of the next incarnation is
    /// never taken for one of them.
    fn remember_run_numbers(&mut self, now: Time) {
        let at_endpoint = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase.uses_capacity());
        let numbers = at_endpoint.map(|(task, run)| (task.clone(), (run.number, now)));
        self.last_run_numbers.extend(numbers);
    }

    /// Checks with a call whether a registration belongs to the current incarnation, unless this is
    /// being checked.
    pub(super) fn probe_incarnation(
        &mut self,
        registration: Registration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let incarnation = registration.incarnation();
        let probes = self.pending_calls.values().filter_map(probed);
        let (mut pending, mut is_pending) = (0, false);
        for probed in probes {
            pending += 1;
            is_pending |= probed.incarnation() == incarnation;
        }
        if is_pending || pending >= MAX_PROBES {
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
            wait_ms: 0,
        };
        self.pending_calls.insert(number, pending);
    }

    /// Removes an endpoint that has ended without a deregistration.
    pub(super) fn lose_endpoint(&mut self, notice: &Notice, now: Time, out: &mut Vec<Action>) {
        self.report_crash(notice, now, out);
        self.remove_endpoint(now, out);
    }

    /// Removes the endpoint, whose runs have all ended with it.
    pub(super) fn remove_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lost) = self.endpoint.take() else {
            return;
        };
        warn!(endpoint = %lost.registration.id, runs = self.runs.len(), "endpoint lost");
        self.pending_calls.retain(|_, call| is_probe(call));
        if lost.registration.born == 0 {
            self.last_run_numbers.clear();
        } else {
            // The next incarnation may have the same id.
            self.remember_run_numbers(now);
        }
        if lost.deregistered_at.is_some() {
            self.mark_ended(lost.registration.incarnation());
        }
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
            self.abort_task(&task);
        }
    }

    /// Ends a task whose run is over.
    fn abort_task(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let phase = run.phase;
        if matches!(phase, Phase::Stopping { .. }) {
            self.log_stopped_end(task, "endpoint_lost");
        }
        match phase {
            Phase::Stopping {
                after_stop: after_stop @ (AfterStop::Discard | AfterStop::Refuse),
                ..
            } => self.finish_stopped_run(task, after_stop),
            _ => self.finish_run(task, Some(Outcome::Aborted), 0),
        }
    }

    /// Handles the outcome of a call that checks which incarnation is the current one.
    pub(super) fn handle_probe(
        &mut self,
        registration: Registration,
        outcome: &Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_same_id = self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.registration.id == registration.id);
        let born = match outcome {
            Ok(EndpointReply::Held { born, .. }) => *born,
            // A refusal shows which id is current, but not which incarnation.
            Ok(EndpointReply::Refused { .. }) if !is_same_id => 0,
            _ => {
                debug!(endpoint = %registration.id, ?outcome, "heartbeat of another incarnation ignored");
                return;
            }
        };
        let is_own = born == 0 || registration.born == 0 || born == registration.born;
        let replying = Incarnation {
            id: registration.id.clone(),
            born: if born == 0 { registration.born } else { born },
        };
        if self.ended_incarnations.contains(&replying) {
            return;
        }
        let registration = Registration {
            born: replying.born,
            sequence: if is_own { registration.sequence } else { 0 },
            ..registration
        };
        match &self.endpoint {
            Some(endpoint) if is_same_id => {
                let current = endpoint.registration.born;
                if replying.born == current {
                    if is_own && let Err(error) = self.record_heartbeat(registration, now, out) {
                        warn!(%error, "heartbeat ignored");
                    }
                } else if born != 0 || replying.born > current {
                    // Without the start in the reply, the later of the two is the current one.
                    self.restart_endpoint(registration, is_own, now, out);
                }
            }
            _ => {
                self.lose_endpoint(&Notice::at("probe", now), now, out);
                self.attach_endpoint(registration, is_own, now, out);
            }
        }
    }
}

const fn probed(call: &PendingCall) -> Option<&Registration> {
    match &call.purpose {
        Purpose::Probe(registration) => Some(registration),
        _ => None,
    }
}

const fn is_probe(call: &PendingCall) -> bool {
    probed(call).is_some()
}

//! Calls to the endpoint and the handling of their replies and failures.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::agent::{
    Agent, PendingCall, Purpose, RESEND_DELAY_MS, START_STOP_TIMEOUT_MS, StartCheck,
};
use super::crashes::Notice;
use super::run::AfterStop;
use super::{Action, CallFailure, CallNo, EndEntry, EndpointCall, EndpointReply};
use crate::{Outcome, Resources};

/// The minimum timeout of a hold in addition to its wait, in milliseconds.
pub(super) const HOLD_TIMEOUT_MS: u64 = 15;

/// The minimum and maximum time that a hold waits for an end at the endpoint, in milliseconds.
const HOLD_WAIT_RANGE_MS: (u64, u64) = (15, 80);

/// The maximum wait of a hold shortly after a call got no reply, in milliseconds. A hold whose reply
/// is lost hides all ends until its timeout.
const CAUTIOUS_HOLD_WAIT_MS: u64 = 20;

/// The wait of a hold as a percentage of the expected time until the next end. While a lost hold
/// has not timed out, no end is seen, so the wait is shorter the more often runs end.
const HOLD_WAIT_PERCENT: u64 = 100;

/// The time without an answer to a call after which an endpoint is unreachable, in milliseconds.
const UNREACHABLE_AFTER_MS: u64 = 500;

/// The pause after a hold that listed only known, unacknowledged ends, in milliseconds. Such a hold
/// returns at once.
const UNACKNOWLEDGED_PAUSE_MS: u64 = 10;

impl Agent {
    pub(super) const fn allocate_call_no(&mut self) -> CallNo {
        let number = CallNo(self.next_call);
        self.next_call += 1;
        number
    }

    /// Sends a call. It times out after its wait and the usual time until a reply, which is at
    /// least `min_timeout`, in milliseconds.
    pub(super) fn call_endpoint(
        &mut self,
        purpose: Purpose,
        call: EndpointCall,
        min_timeout: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let number = self.allocate_call_no();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if matches!(purpose, Purpose::Hold) {
            endpoint.pending_hold = Some(number);
        }
        endpoint.answer_deadline = endpoint
            .answer_deadline
            .min(now.after_millis(UNREACHABLE_AFTER_MS));
        let wait = call.wait_ms();
        let timeout = wait + endpoint.reply_times.timeout_ms(min_timeout);
        out.push(Action::Call {
            number,
            to: endpoint.registration.id.clone(),
            addr: endpoint.registration.addr,
            call,
            timeout,
        });
        let pending = PendingCall {
            purpose,
            sent: now,
            wait_ms: wait,
        };
        self.pending_calls.insert(number, pending);
    }

    /// Sends a hold, unless one is pending, none is needed or it is too early for the next one.
    pub(super) fn send_hold(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let is_needed = self.used_capacity != Resources::default()
            || !self.runs.is_empty()
            || !endpoint.has_no_unknown_runs
            || !endpoint.unacknowledged_ends.is_empty()
            || endpoint.had_unacknowledged
            || endpoint.hides_ends
            || !endpoint.is_reachable
            || endpoint.deregistered_at.is_some();
        if endpoint.pending_hold.is_some() || !is_needed || now < endpoint.next_hold {
            return;
        }
        let has_unacknowledged = !endpoint.unacknowledged_ends.is_empty();
        let acked = self.acknowledgeable_end(now);
        // The lease is not extended while runs of an earlier process are left, nor while the
        // endpoint does not answer: these runs must expire.
        // Without a link no entry may run tasks here, and a task whose run has ended may be run
        // elsewhere.
        let linked = !self.links.established.is_empty();
        let lets_lease_expire = endpoint
            .forced_expiry_at
            .is_some_and(|by| now >= by || self.runs.is_empty());
        let extends_lease =
            endpoint.has_no_unknown_runs && endpoint.is_reachable && linked && !lets_lease_expire;
        let max_wait = if now < endpoint.cautious_until {
            CAUTIOUS_HOLD_WAIT_MS
        } else {
            HOLD_WAIT_RANGE_MS.1
        };
        let has_lease = extends_lease && self.max_lease_ms(now) > 0;
        let lease = has_lease.then(|| self.extend_lease(now));
        let wait = self.expected_next_end_ms() * HOLD_WAIT_PERCENT / 100;
        let wait = if extends_lease {
            wait.clamp(HOLD_WAIT_RANGE_MS.0, max_wait)
        } else {
            0
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked,
            lease,
            wait,
        };
        self.call_endpoint(Purpose::Hold, call, HOLD_TIMEOUT_MS, now, out);
        if let Some(endpoint) = &mut self.endpoint {
            // After the last acknowledgement one more hold is needed to acknowledge the ends.
            endpoint.had_unacknowledged = has_unacknowledged;
        }
    }

    /// Handles the reply to a call, or its failure.
    pub fn handle_reply(
        &mut self,
        number: CallNo,
        outcome: Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.close_expired_links(now, out);
        let Some(call) = self.pending_calls.remove(&number) else {
            return;
        };
        let notice = Notice {
            by: call.as_str(),
            sent: call.sent,
        };
        let PendingCall {
            purpose,
            sent,
            wait_ms,
        } = call;
        if let Purpose::Probe(registration) = purpose {
            self.handle_probe(registration, &outcome, now, out);
            return;
        }
        if let Ok(EndpointReply::Held { born, .. }) = outcome
            && self.update_incarnation(born, now, out)
        {
            return;
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.pending_hold == Some(number) {
            endpoint.pending_hold = None;
        }
        if wait_ms == 0 && outcome.is_ok() {
            endpoint.reply_times.observe(now.millis_since(sent));
        }
        match (&purpose, &outcome) {
            (Purpose::Start(task, run), Err(CallFailure::NotSent)) => {
                self.record_unsent(task, *run);
            }
            (_, Err(CallFailure::Refused) | Ok(EndpointReply::OtherIncarnation)) => {
                self.record_refused(number, sent, now);
            }
            _ => {}
        }
        match outcome {
            Ok(EndpointReply::OtherIncarnation) | Err(CallFailure::Refused) => {
                self.lose_endpoint(&notice, now, out);
            }
            Ok(reply) => {
                let earliest_end = match (&reply, &mut self.endpoint) {
                    (EndpointReply::Held { clock, .. }, Some(endpoint)) => {
                        endpoint.record_lists(sent, wait_ms, *clock, now)
                    }
                    _ => now,
                };
                self.apply_reply(purpose, reply, sent, earliest_end, now, out);
            }
            Err(failure) => self.handle_missing_reply(purpose, sent, failure, now, out),
        }
        self.start_queued_tasks(now, out);
        self.send_hold(now, out);
        self.send_reports(out);
    }

    /// Applies the reply to a call that was sent at `sent`. Ends that are new in its lists occurred
    /// between `earliest_end` and now.
    fn apply_reply(
        &mut self,
        purpose: Purpose,
        reply: EndpointReply,
        sent: Time,
        earliest_end: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = &mut self.endpoint {
            let clock = match &reply {
                EndpointReply::Done { clock } | EndpointReply::Held { clock, .. } => Some(*clock),
                EndpointReply::Refused { clock, .. } => *clock,
                _ => None,
            };
            if let Some(clock) = clock {
                endpoint.clock.observe(clock, now);
            }
            endpoint.record_reply(sent, now);
            if !endpoint.is_reachable {
                info!(endpoint = %endpoint.registration.id, "endpoint answers again");
                endpoint.is_reachable = true;
                self.status_changed = true;
            }
        }
        match (purpose, reply) {
            (Purpose::Hold, EndpointReply::Held { running, ended, .. }) => {
                self.pause_hold(&ended, now);
                self.handle_ends(&ended, earliest_end, now, out);
                self.handle_running(&running, now, out);
            }
            (Purpose::Hold, EndpointReply::Refused { .. }) => self.raise_fencing_token(now),
            (Purpose::Hold, _) => self.back_off_hold(now),
            (Purpose::Start(task, run), EndpointReply::Done { .. }) => {
                self.start_confirmed(&task, run, now);
            }
            (Purpose::CheckStarted(check), reply) => {
                self.handle_started_check(&check, reply, earliest_end, now, out);
            }
            (Purpose::Start(task, run), EndpointReply::Refused { reason, .. }) => {
                self.start_refused(&task, run, reason, now, out);
            }
            (Purpose::Start(task, run), reply) => {
                if reply != EndpointReply::Unhealthy {
                    warn!(job = %task.job, %task, run, ?reply, "unexpected reply to a start");
                }
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.record_unhealthy(now);
                }
                self.health.record_failure();
                if reply != EndpointReply::Unexpected {
                    self.finish_unstarted(&task, run, Outcome::Unavailable);
                } else if self.is_starting(&task, run) {
                    // The run may have started, and the entry places the task elsewhere.
                    let after_stop = AfterStop::Report(Outcome::Unavailable);
                    self.end_run(&task, after_stop, now, out);
                }
                self.return_queued_tasks(now);
            }
            (Purpose::Stop(task, run), EndpointReply::Done { .. }) => {
                self.stop_confirmed(&task, run, now, out);
            }
            (Purpose::CheckStopped(task, run), EndpointReply::Held { running, ended, .. }) => {
                self.handle_ends(&ended, earliest_end, now, out);
                self.handle_stopped_check(&task, run, &running, sent, now);
            }
            (Purpose::Verify, EndpointReply::Held { ended, .. }) => {
                self.handle_ends(&ended, earliest_end, now, out);
            }
            (Purpose::Stop(..), EndpointReply::Refused { .. }) => self.raise_fencing_token(now),
            (
                Purpose::Stop(..)
                | Purpose::CheckStopped(..)
                | Purpose::StopUnknown
                | Purpose::Verify
                | Purpose::Probe(_),
                _,
            ) => {}
        }
    }

    /// Returns when a stop or a check that is sent now is sent again, unless its reply or its
    /// failure is reported before.
    pub(super) fn resend_at(&self, now: Time) -> Time {
        let timeout_ms = self.endpoint.as_ref().map_or(0, |endpoint| {
            endpoint.reply_times.timeout_ms(START_STOP_TIMEOUT_MS)
        });
        now.after_millis(timeout_ms + RESEND_DELAY_MS)
    }

    /// Handles a call without a reply, which may still be carried out.
    pub(super) fn handle_missing_reply(
        &mut self,
        purpose: Purpose,
        sent: Time,
        failure: CallFailure,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.unanswered += 1;
        if let Some(endpoint) = &mut self.endpoint {
            if matches!((&purpose, failure), (Purpose::Hold, CallFailure::Reset)) {
                endpoint.record_broken_hold(sent);
            }
            endpoint.record_missing_reply(failure, now);
        }
        match purpose {
            Purpose::Hold => self.back_off_hold(now),
            Purpose::Start(task, run) => {
                if self.is_starting(&task, run) {
                    info!(job = %task.job, %task, run, %failure, "start unanswered, checking the run");
                    let check = StartCheck {
                        task,
                        run,
                        start_sent: sent,
                        earlier_checks: 0,
                    };
                    self.request_lists(Purpose::CheckStarted(check), now, out);
                }
            }
            Purpose::CheckStarted(check) => self.repeat_started_check(check, now, out),
            Purpose::Stop(task, run) | Purpose::CheckStopped(task, run) => {
                if self.is_stopping(&task, run) {
                    self.back_off_stop(&task, now);
                }
            }
            Purpose::StopUnknown | Purpose::Verify | Purpose::Probe(_) => {}
        }
    }

    /// Delays the next hold if this one listed ends, but none that is new.
    pub(super) fn pause_hold(&mut self, ended: &[EndEntry], now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let has_new = ended
            .iter()
            .any(|end| end.sequence > endpoint.last_seen_end);
        if !has_new && !ended.is_empty() {
            endpoint.next_hold = now.after_millis(UNACKNOWLEDGED_PAUSE_MS);
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    pub(super) fn back_off_hold(&mut self, now: Time) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.next_hold = now.after_millis(endpoint.retry_backoff_ms());
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    /// Raises the fencing token after a refusal.
    ///
    /// Only the agent on this host calls the endpoint, so the higher token comes from an earlier
    /// process of this agent, whose wall clock was ahead.
    pub(super) fn raise_fencing_token(&mut self, now: Time) {
        self.fence = self.fence.saturating_add(self.fence_increment);
        self.fence_increment = self.fence_increment.saturating_mul(8);
        warn!(fence = self.fence, "fencing token raised");
        self.back_off_hold(now);
    }
}

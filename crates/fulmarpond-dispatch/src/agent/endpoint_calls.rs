//! Calls to the endpoint, and what their outcomes mean.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::agent::{Agent, Purpose};
use super::run::{Phase, Then};
use super::{Action, CallFailure, CallNo, EndEntry, EndpointCall, EndpointReply};
use crate::{Needs, Outcome};

/// How long a hold may go without a reply beyond its wait, in milliseconds.
pub(super) const HOLD_TIMEOUT_MS: u64 = 15;

/// The shortest and the longest wait of a hold for an end at the endpoint, in milliseconds.
const HOLD_WAIT_MS: (u64, u64) = (15, 80);

/// The wait of a hold as a multiple of the expected time until the next end, in percent. A hold
/// without a reply hides all ends until it times out, so its wait follows the rate of ends.
const HOLD_WAIT_PERCENT: u64 = 100;

/// An endpoint that answers no call for so long counts as unreachable, in milliseconds.
const SILENCE_MS: u64 = 500;

/// The pause after a hold that listed only ends that are held, in milliseconds.
const HELD_PAUSE_MS: u64 = 10;

impl Agent {
    pub(super) const fn fresh_call(&mut self) -> CallNo {
        let number = CallNo(self.next_call);
        self.next_call += 1;
        number
    }

    pub(super) fn call(
        &mut self,
        purpose: Purpose,
        call: EndpointCall,
        timeout: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let number = self.fresh_call();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if matches!(purpose, Purpose::Hold) {
            endpoint.hold = Some(number);
        }
        endpoint.answer_by = endpoint.answer_by.min(now.after_millis(SILENCE_MS));
        out.push(Action::Call {
            number,
            to: endpoint.about.id.clone(),
            addr: endpoint.about.addr,
            call,
            timeout,
        });
        self.calls.insert(number, purpose);
    }

    /// Sends a hold, unless one is under way or none is needed.
    pub(super) fn hold(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let needed = self.used != Needs::default()
            || !self.runs.is_empty()
            || !endpoint.settled
            || !endpoint.held.is_empty()
            || endpoint.held_before
            || !endpoint.reachable;
        if endpoint.hold.is_some() || !needed || now < endpoint.next_hold {
            return;
        }
        let holds_ends = !endpoint.held.is_empty();
        let acked = endpoint.acked();
        // Runs of an earlier process must lapse, and so must those at an endpoint that does not
        // answer: their lease is not extended.
        // Without a link nobody may run anything here, and what has ended may be run elsewhere.
        let linked = !self.links.up.is_empty();
        let lapses = endpoint
            .lapse_by
            .is_some_and(|by| now >= by || self.runs.is_empty());
        let extends = endpoint.settled && endpoint.reachable && linked && !lapses;
        let lease = extends.then(|| self.extend(now));
        let wait = self.next_end() * HOLD_WAIT_PERCENT / 100;
        let wait = if extends {
            wait.clamp(HOLD_WAIT_MS.0, HOLD_WAIT_MS.1)
        } else {
            0
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked,
            lease,
            wait,
        };
        self.call(Purpose::Hold, call, wait + HOLD_TIMEOUT_MS, now, out);
        if let Some(endpoint) = &mut self.endpoint {
            // One more hold takes note of ends that were held until now.
            endpoint.held_before = holds_ends;
        }
    }

    /// Takes the outcome of a call.
    pub fn answered(
        &mut self,
        number: CallNo,
        outcome: Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&number) else {
            return;
        };
        if let Purpose::Probe(about) = purpose {
            self.probed(about, &outcome, now, out);
            return;
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.hold == Some(number) {
            endpoint.hold = None;
        }
        match outcome {
            Ok(EndpointReply::OtherIncarnation) => self.lose_endpoint(now, out),
            Err(CallFailure::Refused) => self.lose_endpoint(now, out),
            Ok(reply) => self.replied(purpose, reply, now, out),
            Err(failure) => self.unanswered(purpose, failure, now, out),
        }
        self.fill(now, out);
        self.hold(now, out);
        self.send_news(out);
    }

    pub(super) fn replied(
        &mut self,
        purpose: Purpose,
        reply: EndpointReply,
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
            endpoint.replied();
            if !endpoint.reachable {
                info!(endpoint = %endpoint.about.id, "endpoint answers again");
                endpoint.reachable = true;
                self.changed = true;
            }
        }
        match (purpose, reply) {
            (Purpose::Hold, EndpointReply::Held { running, ended, .. }) => {
                self.pause_hold(&ended, now);
                self.ended(&ended, now, out);
                self.running(&running, now, out);
            }
            (Purpose::Hold, EndpointReply::Refused { .. }) => self.raise_fence(now),
            (Purpose::Hold, _) => self.delay_hold(now),
            (Purpose::Start(task, run), EndpointReply::Done { .. }) => {
                self.started(&task, run, now);
            }
            (Purpose::Start(task, run), EndpointReply::Refused { reason, .. }) => {
                self.start_refused(&task, run, reason, now, out);
            }
            (Purpose::Start(task, run), EndpointReply::Unhealthy) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.called_unhealthy(now);
                }
                self.health.failed();
                self.not_started(&task, run, Outcome::Unavailable);
                self.return_queue(now);
            }
            (Purpose::Start(task, run), reply) => {
                warn!(%task, ?reply, "endpoint did not understand a start");
                self.not_started(&task, run, Outcome::Failed);
            }
            (Purpose::Stop(task, run), EndpointReply::Done { .. }) => {
                self.stop_confirmed(&task, run, now, out);
            }
            (Purpose::Look(task, run), EndpointReply::Held { running, ended, .. }) => {
                self.ended(&ended, now, out);
                self.looked(&task, run, &running, now);
            }
            (Purpose::Stop(..), EndpointReply::Refused { .. }) => self.raise_fence(now),
            (
                Purpose::Stop(..) | Purpose::Look(..) | Purpose::StopOrphan | Purpose::Probe(_),
                _,
            ) => {}
        }
    }

    /// Takes note that a call has no reply: what it was to do may still happen.
    pub(super) fn unanswered(
        &mut self,
        purpose: Purpose,
        failure: CallFailure,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.unanswered += 1;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.missed_reply();
        }
        match purpose {
            Purpose::Hold => self.delay_hold(now),
            Purpose::Start(task, run) => {
                let Some(known) = self.runs.get(&task) else {
                    return;
                };
                if known.number != run || known.phase != Phase::Starting {
                    return;
                }
                info!(job = %task.job, %task, run, %failure, "start unanswered, stopping the run");
                // A member of a gang has the run number of the others and is not started again.
                let then = if known.gang {
                    Then::Report(Outcome::Aborted)
                } else {
                    Then::Restart
                };
                self.end_run(&task, then, now, out);
            }
            Purpose::Stop(task, run) | Purpose::Look(task, run) => {
                if self.is_stopping(&task, run) {
                    self.delay_stop(&task, now);
                }
            }
            Purpose::StopOrphan | Purpose::Probe(_) => {}
        }
    }

    /// Puts the next hold off if this one only listed ends that are held.
    pub(super) fn pause_hold(&mut self, ended: &[EndEntry], now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let news = ended.iter().any(|end| end.number > endpoint.seen);
        if !news && !ended.is_empty() {
            endpoint.next_hold = now.after_millis(HELD_PAUSE_MS);
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    pub(super) fn delay_hold(&mut self, now: Time) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.next_hold = now.after_millis(endpoint.retry_ms());
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    /// Raises the fencing token after a refusal.
    ///
    /// Only this host's process calls the endpoint, so a higher token was used by an earlier
    /// process of this agent, whose time of day was ahead.
    pub(super) fn raise_fence(&mut self, now: Time) {
        self.fence = self.fence.saturating_add(self.raise);
        self.raise = self.raise.saturating_mul(8);
        warn!(fence = self.fence, "fencing token raised");
        self.delay_hold(now);
    }
}

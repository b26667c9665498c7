//! The handling of replies to starts and stops of runs.

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::agent::{Agent, Purpose, StartCheck};
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::run::{AfterStop, Phase, Progress, Reach, Run};
use super::{Action, EndpointCall, EndpointReply, RunEntry, StartRefusal};
use crate::{Outcome, TaskKey};

/// The number of checks whether a run has started before it is stopped. Only the reply to its start
/// may be late or lost, and stopping the run would waste its work.
const MAX_START_CHECKS: u32 = 3;

impl Agent {
    pub(super) fn start_confirmed(&mut self, task: &TaskKey, run: u32, since: Time) {
        let is_sent = |known: &&mut Run| known.number == run && known.phase.uses_capacity();
        let Some(known) = self.runs.get_mut(task).filter(is_sent) else {
            return;
        };
        known.reach = Reach::Confirmed;
        if known.phase == Phase::Starting {
            known.phase = Phase::Running { since };
            known.progress = Progress::new(since);
            self.status_changed = true;
        }
    }

    /// Returns whether the start of a run is not confirmed yet.
    pub(super) fn is_starting(&self, task: &TaskKey, run: u32) -> bool {
        let known = self.runs.get(task);
        known.is_some_and(|known| known.number == run && known.phase == Phase::Starting)
    }

    /// Confirms a run that the endpoint lists, and stops one that it does not list, since its start
    /// may still arrive.
    pub(super) fn handle_started_check(
        &mut self,
        check: &StartCheck,
        reply: EndpointReply,
        earliest_end: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let StartCheck { task, run, .. } = check;
        if let EndpointReply::Held { running, ended, .. } = reply {
            self.handle_ends(&ended, earliest_end, now, out);
            let is_checked = |entry: &RunEntry| entry.run == *run && entry.task == *task;
            if running.iter().any(is_checked) {
                debug!(%task, run, "run has started, only the reply is missing");
                self.start_confirmed(task, *run, check.start_sent);
                if let Some(known) = self.runs.get_mut(task) {
                    known.is_listed |= known.number == *run;
                }
            }
        }
        self.stop_unconfirmed(task, *run, now, out);
    }

    /// Repeats a check that got no reply, or stops the run after [`MAX_START_CHECKS`] checks.
    pub(super) fn repeat_started_check(
        &mut self,
        check: StartCheck,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let earlier_checks = check.earlier_checks + 1;
        if earlier_checks >= MAX_START_CHECKS {
            self.stop_unconfirmed(&check.task, check.run, now, out);
        } else if self.is_starting(&check.task, check.run) {
            let check = StartCheck {
                earlier_checks,
                ..check
            };
            self.request_lists(Purpose::CheckStarted(check), now, out);
        }
    }

    /// Stops a run whose start is not confirmed.
    fn stop_unconfirmed(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        if !self.is_starting(task, run) {
            return;
        }
        info!(job = %task.job, %task, run, "start is not confirmed, stopping the run");
        // A restart would give a gang member another run number than the other members.
        let is_gang = self.runs.get(task).is_some_and(|known| known.is_gang);
        let after_stop = if is_gang {
            AfterStop::Report(Outcome::Aborted)
        } else {
            AfterStop::Restart
        };
        self.end_run(task, after_stop, now, out);
    }

    pub(super) fn start_refused(
        &mut self,
        task: &TaskKey,
        run: u32,
        reason: StartRefusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(job = %task.job, %task, run, ?reason, "start refused");
        let is_blocked = self.may_not_start(now);
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        if known.phase != Phase::Starting {
            // The run is being stopped, which a refused start makes unnecessary.
            self.finish_unstarted(task, run, Outcome::Aborted);
            return;
        }
        if known.is_gang {
            if reason == StartRefusal::Fenced {
                self.raise_fencing_token(now);
            }
            let outcome = if reason == StartRefusal::NoTicket {
                Outcome::NoTicket
            } else {
                Outcome::Aborted
            };
            self.finish_unstarted(task, run, outcome);
            return;
        }
        match reason {
            StartRefusal::OldRun | StartRefusal::LeasePassed if is_blocked => {
                self.requeue(task);
            }
            StartRefusal::OldRun | StartRefusal::LeasePassed => {
                known.number += 1;
                self.send_start(task, now, out);
            }
            StartRefusal::Fenced => {
                self.raise_fencing_token(now);
                self.requeue(task);
            }
            StartRefusal::NoRoom => {
                // The endpoint frees the capacity of an ended run only once it lists the end.
                self.finish_unstarted(task, run, Outcome::NoRoom);
            }
            StartRefusal::NoTicket => self.finish_unstarted(task, run, Outcome::NoTicket),
            StartRefusal::Other => self.finish_unstarted(task, run, Outcome::Unavailable),
        }
    }

    /// Ends a task whose run did not start.
    pub(super) fn finish_unstarted(&mut self, task: &TaskKey, run: u32, outcome: Outcome) {
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        match known.phase {
            Phase::Stopping { after_stop, .. } => self.finish_stopped_run(task, after_stop),
            _ => self.finish_run(task, Some(outcome), 0),
        }
    }

    pub(super) fn stop_confirmed(
        &mut self,
        task: &TaskKey,
        run: u32,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let stop_ms = self.options.lease_times.stop_ms;
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        let Phase::Stopping {
            resend_at,
            check_at,
            ends_by,
            ..
        } = &mut known.phase
        else {
            return;
        };
        if known.number != run || *resend_at == Time::MAX {
            return;
        }
        *resend_at = Time::MAX;
        *ends_by = now.after_millis(stop_ms);
        *check_at = *ends_by;
        self.next_check = self.next_check.min(*check_at);
        self.check_stopped(task, run, now, out);
    }

    pub(super) fn is_stopping(&self, task: &TaskKey, run: u32) -> bool {
        self.runs.get(task).is_some_and(|known| {
            known.number == run && matches!(known.phase, Phase::Stopping { .. })
        })
    }

    /// Asks the endpoint whether a stopped run has ended.
    pub(super) fn check_stopped(
        &mut self,
        task: &TaskKey,
        run: u32,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let purpose = Purpose::CheckStopped(task.clone(), run);
        self.request_lists(purpose, now, out);
    }

    /// Asks the endpoint for its lists of runs and ends, which it returns at once. The lease is not
    /// extended.
    pub(super) fn request_lists(&mut self, purpose: Purpose, now: Time, out: &mut Vec<Action>) {
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: self.acknowledgeable_end(now),
            lease: None,
            wait: 0,
        };
        self.call_endpoint(purpose, call, HOLD_TIMEOUT_MS, now, out);
    }

    /// Finishes a stopped run that a list, requested at `sent`, does not show as running. Until its stop
    /// has taken its longest time, the endpoint may list neither the run nor its end. If the list of
    /// ends is cut off, the run may have been done before the stop, so its end is awaited.
    pub(super) fn handle_stopped_check(
        &mut self,
        task: &TaskKey,
        run: u32,
        running: &[RunEntry],
        sent: Time,
        now: Time,
    ) {
        if self.hides_ends() {
            return;
        }
        let is_running = running
            .iter()
            .any(|entry| entry.run == run && entry.task == *task);
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if is_running || known.number != run {
            return;
        }
        if let Phase::Stopping {
            after_stop,
            ends_by,
            ..
        } = known.phase
            && (sent >= ends_by || known.restarts_unstarted())
        {
            self.log_stopped_end(task, "not_listed");
            self.last_run_numbers.insert(task.clone(), (run, now));
            self.finish_stopped_run(task, after_stop);
        }
    }

    /// Backs off the next stop of a run, or the next check whether it has ended.
    pub(super) fn back_off_stop(&mut self, task: &TaskKey, now: Time) {
        let backoff_ms = self.endpoint.as_ref().map_or(0, Endpoint::retry_backoff_ms);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if let Phase::Stopping {
            resend_at,
            check_at,
            ..
        } = &mut run.phase
        {
            let is_confirmed = *resend_at == Time::MAX;
            let next = if is_confirmed { check_at } else { resend_at };
            *next = now.after_millis(backoff_ms);
            self.next_check = self.next_check.min(*next);
        }
    }
}

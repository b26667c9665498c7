//! The handling of replies to starts and stops of runs.

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::agent::{Agent, Purpose};
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::run::{Phase, Progress};
use super::{Action, EndpointCall, RunEntry, StartRefusal};
use crate::{Outcome, TaskKey};

impl Agent {
    pub(super) fn start_confirmed(&mut self, task: &TaskKey, run: u32, now: Time) {
        if let Some(known) = self.runs.get_mut(task)
            && known.number == run
            && known.phase == Phase::Starting
        {
            known.phase = Phase::Running { since: now };
            known.progress = Progress::new(now);
            self.status_changed = true;
        }
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
            ..
        } = &mut known.phase
        else {
            return;
        };
        if known.number != run || *resend_at == Time::MAX {
            return;
        }
        *resend_at = Time::MAX;
        // By then the endpoint has listed the end.
        *check_at = now.after_millis(stop_ms);
        self.next_check = self.next_check.min(*check_at);
        // A run that never started has no end to wait for, and is already missing from the list.
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
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: endpoint.last_acknowledgeable_end(),
            lease: None,
            wait: 0,
        };
        let purpose = Purpose::CheckStopped(task.clone(), run);
        self.call_endpoint(purpose, call, HOLD_TIMEOUT_MS, now, out);
    }

    /// Finishes a stopped run if the endpoint no longer lists it as running.
    pub(super) fn handle_stopped_check(
        &mut self,
        task: &TaskKey,
        run: u32,
        running: &[RunEntry],
        now: Time,
    ) {
        let is_running = running
            .iter()
            .any(|entry| entry.run == run && entry.task == *task);
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if is_running || known.number != run {
            return;
        }
        if let Phase::Stopping { after_stop, .. } = known.phase {
            debug!(%task, run, "stopped run has ended");
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

//! What becomes of starts and stops of runs.

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::agent::{Agent, Purpose};
use super::endpoint::Endpoint;
use super::endpoint_calls::HOLD_TIMEOUT_MS;
use super::run::{Phase, Progress};
use super::{Action, EndpointCall, RunEntry, StartRefusal};
use crate::{Outcome, TaskKey};

impl Agent {
    pub(super) fn started(&mut self, task: &TaskKey, run: u32, now: Time) {
        if let Some(known) = self.runs.get_mut(task)
            && known.number == run
            && known.phase == Phase::Starting
        {
            known.phase = Phase::Running { since: now };
            known.progress = Progress::new(now);
            self.changed = true;
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
            // It is being stopped; a refused start needs no stop.
            self.not_started(task, run, Outcome::Aborted);
            return;
        }
        if known.gang {
            if reason == StartRefusal::Fenced {
                self.raise_fence(now);
            }
            let outcome = if reason == StartRefusal::NoTicket {
                Outcome::NoTicket
            } else {
                Outcome::Aborted
            };
            self.not_started(task, run, outcome);
            return;
        }
        match reason {
            StartRefusal::OldRun | StartRefusal::LeasePassed => {
                known.number += 1;
                self.send_start(task, now, out);
            }
            StartRefusal::Fenced => {
                self.raise_fence(now);
                self.requeue(task);
            }
            StartRefusal::NoRoom => {
                // Room that an end has freed is not free for the endpoint until it lists the end.
                self.not_started(task, run, Outcome::NoRoom);
            }
            StartRefusal::NoTicket => self.not_started(task, run, Outcome::NoTicket),
            StartRefusal::Other => self.not_started(task, run, Outcome::Unavailable),
        }
    }

    pub(super) fn not_started(&mut self, task: &TaskKey, run: u32, outcome: Outcome) {
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        match known.phase {
            Phase::Stopping { then, .. } => self.stopped(task, then),
            _ => self.finish(task, Some(outcome), 0),
        }
    }

    pub(super) fn stop_confirmed(
        &mut self,
        task: &TaskKey,
        run: u32,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let stop_ms = self.options.bounds.stop_ms;
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        let Phase::Stopping { resend, over, .. } = &mut known.phase else {
            return;
        };
        if known.number != run || *resend == Time::MAX {
            return;
        }
        *resend = Time::MAX;
        // The end is listed by then.
        *over = now.after_millis(stop_ms);
        self.next_check = self.next_check.min(*over);
        // A run that never began is missing in the lists at once.
        self.look(task, run, now, out);
    }

    pub(super) fn is_stopping(&self, task: &TaskKey, run: u32) -> bool {
        self.runs.get(task).is_some_and(|known| {
            known.number == run && matches!(known.phase, Phase::Stopping { .. })
        })
    }

    /// Looks whether a run that was stopped is over.
    pub(super) fn look(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: endpoint.acked(),
            lease: None,
            wait: 0,
        };
        let purpose = Purpose::Look(task.clone(), run);
        self.call(purpose, call, HOLD_TIMEOUT_MS, now, out);
    }

    /// Takes note that a stopped run is over if it is not among those that run.
    pub(super) fn looked(&mut self, task: &TaskKey, run: u32, running: &[RunEntry], now: Time) {
        let goes_on = running
            .iter()
            .any(|entry| entry.run == run && entry.task == *task);
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if goes_on || known.number != run {
            return;
        }
        if let Phase::Stopping { then, .. } = known.phase {
            debug!(%task, run, "stopped run is over");
            self.numbers.insert(task.clone(), (run, now));
            self.stopped(task, then);
        }
    }

    /// Puts the next stop of a run off, or the next look whether it is over.
    pub(super) fn delay_stop(&mut self, task: &TaskKey, now: Time) {
        let pause = self.endpoint.as_ref().map_or(0, Endpoint::retry_ms);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if let Phase::Stopping { resend, over, .. } = &mut run.phase {
            let confirmed = *resend == Time::MAX;
            let next = if confirmed { over } else { resend };
            *next = now.after_millis(pause);
            self.next_check = self.next_check.min(*next);
        }
    }
}

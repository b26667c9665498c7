//! Starts of queued tasks.

use fulmarpond_core::Time;

use super::agent::{Agent, Purpose, START_STOP_TIMEOUT_MS};
use super::run::{Phase, Reach, Run};
use super::shares::Need;
use super::{Action, CallNo, EndpointCall};
use crate::{LeaseTimes, TaskKey};

impl Agent {
    pub(super) fn is_ready(&self, now: Time) -> bool {
        let endpoint = self.endpoint.as_ref();
        let is_blocked =
            self.is_shutting_down || self.may_not_start(now) || self.is_end_window_full();
        !is_blocked && endpoint.is_some_and(|endpoint| endpoint.accepts_tasks(now))
    }

    /// Returns whether no run may start, since starts are blocked or the lease would be too short.
    pub(super) fn may_not_start(&self, now: Time) -> bool {
        self.is_start_blocked(now) || self.max_lease_ms(now) < LeaseTimes::MIN_LEASE_MS
    }

    /// Starts queued tasks while free capacity lasts, or returns them if the zone is evacuated.
    pub(super) fn start_queued_tasks(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_evacuated() {
            self.return_queued_tasks(now);
        }
        if self.may_not_start(now) {
            return;
        }
        loop {
            let turn = self.turns.turn(self.shares.has_sound(), now);
            let Some(endpoint) = &self.endpoint else {
                return;
            };
            if self.shares.is_empty() || !endpoint.accepts_tasks(now) || self.is_end_window_full() {
                return;
            }
            let capacity = endpoint.registration.capacity;
            let free = capacity.minus(self.used_capacity);
            let reserved = self.used_capacity.minus(self.shares.total_used());
            let shared = capacity.minus(reserved);
            let need = |task: &TaskKey| {
                let run = self.runs.get(task);
                run.map(|run| Need {
                    room: run.needs,
                    run_ms: run.expected_ms,
                })
            };
            let fits = |task: &&TaskKey| need(task).is_some_and(|need| need.room.fits(free));
            let overtaken = self.turns.overtaken(now).filter(fits).cloned();
            let next = overtaken.or_else(|| self.shares.next(turn, shared, free, now, need));
            let Some(task) = next else {
                break;
            };
            let is_suspected = self.runs.get(&task).is_some_and(Run::is_suspected);
            if is_suspected {
                self.turns.record_suspected(&task, now);
            }
            if let Some(until) = self.start_blocked_until(&task, now) {
                self.next_check = self.next_check.min(until);
                return;
            }
            if self.awaits_reply(&task, now) {
                self.verify_endpoint(now, out);
                return;
            }
            if !is_suspected {
                self.turns.record_sound_start();
            }
            self.start_run(&task, now, out);
        }
        self.preempt_runs(now, out);
    }

    pub(super) fn start_run(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        self.shares.remove(run.class, run.start_by, task);
        self.turns.remove(task);
        if !run.is_long_running {
            self.shares.occupy(run.class, run.needs);
        }
        self.used_capacity = self.used_capacity.plus(run.needs);
        run.number += 1;
        run.phase = Phase::Starting;
        run.started_at = now;
        run.is_listed = false;
        run.is_resumed = run.checkpoint.is_some();
        self.pending_starts
            .entry(run.link)
            .or_default()
            .push(task.clone());
        self.counters.started += 1;
        self.send_start(task, now, out);
    }

    pub(super) fn send_start(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let lease = self.extend_lease(now);
        let is_alive = self.is_probably_alive(now);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.verifications = 0;
        }
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        run.reach = if is_alive {
            Reach::Likely
        } else {
            Reach::Unknown
        };
        let call = EndpointCall::Start {
            task: task.clone(),
            run: run.number,
            spec: run.spec.to_string(),
            checkpoint: run.checkpoint.clone(),
            ticket: run.ticket.clone(),
            lease,
            fence: self.fence,
        };
        let purpose = Purpose::Start(task.clone(), run.number);
        run.start_call = Some(CallNo(self.next_call));
        self.call_endpoint(purpose, call, START_STOP_TIMEOUT_MS, now, out);
        self.send_hold(now, out);
    }
}

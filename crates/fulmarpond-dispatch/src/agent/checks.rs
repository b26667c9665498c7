//! What an agent does from time to time.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent::{Agent, LOST_OUTCOME_MS, ORDER_TIMEOUT_MS, STATUS_MS};
use super::run::{Phase, Then};
use crate::{AgentFrame, Backlog, EndpointState, EndpointStatus, Needs, Outcome, TaskKey};

/// How long run numbers of ended tasks are remembered, in milliseconds.
const NUMBER_MEMORY_MS: u64 = 20_000;

/// A run counts as overdue at this multiple of its expected time, plus [`OVERDUE_MS`].
const OVERDUE_FACTOR: u64 = 3;

/// How long runs may go on at an endpoint whose lease has to lapse, in milliseconds.
const LAPSE_WAIT_MS: u64 = 1_000;

/// The time until the next end if only runs are left that go on until they are stopped, in
/// milliseconds.
const NO_END_MS: u64 = 10_000;

/// See [`OVERDUE_FACTOR`], in milliseconds.
const OVERDUE_MS: u64 = 100;

impl Agent {
    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for addr in self.links.due(now) {
            out.push(Action::Dial { addr });
        }
        for link in self.links.expired(now) {
            warn!(?link, "entry is silent, closing its link");
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
        if now >= self.next_check {
            self.check(now, out);
        }
        self.hold(now, out);
        let age = now.millis_since(self.last_status);
        if age >= STATUS_MS.1 || (self.changed && age >= STATUS_MS.0) {
            self.send_status(now, out);
        }
    }

    /// The interval of checks of all runs, in milliseconds.
    pub(super) const CHECK_MS: u64 = 50;

    pub(super) fn check(&mut self, now: Time, out: &mut Vec<Action>) {
        self.next_check = now.after_millis(Self::CHECK_MS);
        self.health.decay(now);
        self.retire_links(now, out);
        self.check_endpoint(now, out);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.check_run(&task, now, out);
        }
        self.numbers
            .retain(|_, (_, at)| now.millis_since(*at) < NUMBER_MEMORY_MS);
        self.repeat_held(now, out);
        self.check_unowned(now, out);
        self.lapse_for_void(now);
        self.fill(now, out);
        self.send_news(out);
    }

    pub(super) fn check_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if now >= endpoint.beat_by && self.runs.is_empty() && endpoint.hold.is_none() {
            info!(endpoint = %endpoint.about.id, "no heartbeat for too long");
            self.lose_endpoint(now, out);
            return;
        }
        if endpoint.drained.is_some_and(|until| now >= until) {
            info!(endpoint = %endpoint.about.id, "host is not maintained, taking tasks again");
            endpoint.drained = None;
            self.changed = true;
        }
        if endpoint.reachable && now >= endpoint.answer_by {
            warn!(endpoint = %endpoint.about.id, "endpoint does not answer");
            endpoint.reachable = false;
            self.changed = true;
        }
        if !endpoint.reachable && now >= endpoint.lapse {
            self.end_everything(now);
        }
    }

    /// Closes links that are not needed any more and whose entries have no runs here.
    fn retire_links(&mut self, now: Time, out: &mut Vec<Action>) {
        let (due, new) = self.links.retire(now);
        self.changed |= new;
        for link in due {
            if self.tasks_of(link).is_empty() {
                info!(?link, "agent has enough links, closing one");
                out.push(Action::Close { link });
                self.link_down(link, now, out);
            }
        }
    }

    /// Lets the lease lapse once if ends are held whose tasks were placed again: a run that was done
    /// counts as taken note of, unless the lease lapsed before that.
    fn lapse_for_void(&mut self, now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if !endpoint.held.has_void() {
            return;
        }
        if endpoint.lapse_by.is_none() {
            warn!(endpoint = %endpoint.about.id, "ends came too late, letting the lease lapse");
            endpoint.lapse_by = Some(now.after_millis(LAPSE_WAIT_MS));
            self.return_queue(now);
        } else if now >= endpoint.lapse {
            info!(endpoint = %endpoint.about.id, "lease has lapsed");
            endpoint.held.drop_void();
            endpoint.lapse_by = None;
        }
        self.changed = true;
    }

    pub(super) fn check_run(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Stopping { over, .. } if now >= *over => {
                // The look was lost: without it, an end may be taken for none.
                *over = now.after_millis(ORDER_TIMEOUT_MS + LOST_OUTCOME_MS);
                let number = run.number;
                self.look(task, number, now, out);
            }
            Phase::Stopping { resend, .. } if now >= *resend => {
                *resend = now.after_millis(ORDER_TIMEOUT_MS + LOST_OUTCOME_MS);
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
            Phase::Stopping { .. } | Phase::Starting => {}
            Phase::Queued => {
                // The entry decides whether a task that missed its time is still of use.
                if now >= run.deadline || (now >= run.start_by && run.fresh) {
                    self.end_run(task, Then::Report(Outcome::Unavailable), now, out);
                }
            }
            Phase::Running { .. } if run.long_running => {}
            Phase::Running { since } => {
                let elapsed = now.millis_since(*since);
                let expected = u64::from(run.expected);
                let stuck = elapsed > u64::from(run.limit);
                if now >= run.deadline || stuck {
                    warn!(job = %task.job, %task, elapsed_ms = elapsed, expected_ms = expected, "run takes too long, stopping it");
                    self.health.failed();
                    self.end_run(task, Then::Report(Outcome::Aborted), now, out);
                } else if elapsed > OVERDUE_FACTOR * expected + OVERDUE_MS {
                    let expected = run.expected;
                    self.health.overdue(elapsed, expected);
                }
            }
        }
    }

    pub(super) fn send_status(&mut self, now: Time, out: &mut Vec<Action>) {
        self.last_status = now;
        self.changed = false;
        let load = self.status(now);
        for (&link, state) in &self.links.up {
            let load = EndpointStatus {
                ready: load.ready && state.retire.is_none(),
                ..load
            };
            out.push(Action::Send {
                link,
                frame: AgentFrame::Status {
                    sent: now.as_micros(),
                    orders: state.orders,
                    load,
                },
            });
        }
    }

    /// Returns the expected time until the next end of a run, in milliseconds.
    ///
    /// Run times vary so much that the time a run has taken says little about what is left.
    pub(super) fn next_end(&self) -> u64 {
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_room());
        let ending = at_endpoint.filter(|run| !run.long_running);
        let (count, work) = ending.fold((0_u64, 0_u64), |(count, work), run| {
            (count + 1, work + u64::from(run.expected))
        });
        if count == 0 && self.reserved() != Needs::default() {
            return NO_END_MS;
        }
        work / (count * count).max(1)
    }

    /// Returns the room of runs that go on until they are stopped.
    pub(super) fn reserved(&self) -> Needs {
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_room());
        let long = at_endpoint.filter(|run| run.long_running);
        long.fold(Needs::default(), |sum, run| sum.plus(run.needs))
    }

    /// Returns waiting tasks that can't find room beside the long-running ones here.
    pub(super) fn return_blocked(&mut self, now: Time, out: &mut Vec<Action>) {
        let reserved = self.reserved();
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        if reserved == Needs::default() {
            return;
        }
        let shared = endpoint.about.capacity.minus(reserved);
        let waiting = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Queued);
        let blocked = waiting.filter(|(_, run)| !run.needs.fits(shared));
        let blocked: Vec<TaskKey> = blocked.map(|(task, _)| task.clone()).collect();
        for task in blocked {
            info!(job = %task.job, %task, "task can't find room beside long-running ones");
            self.end_run(&task, Then::Report(Outcome::Unavailable), now, out);
        }
    }

    pub(super) fn status(&self, now: Time) -> EndpointStatus {
        let Some(endpoint) = &self.endpoint else {
            return EndpointStatus::default();
        };
        let mut backlog = Backlog::default();
        let (mut running, mut overdue) = (0_u32, 0_u32);
        for run in self.runs.values() {
            let expected = u64::from(run.expected);
            match run.phase {
                Phase::Queued => {
                    let work = expected * u64::from(run.needs.cpu) / 1_000;
                    backlog.add(run.start_by.remaining_millis(now), work);
                }
                Phase::Running { .. } if run.long_running => {}
                Phase::Running { since } => {
                    let elapsed = now.millis_since(since);
                    running += 1;
                    overdue += u32::from(elapsed > OVERDUE_FACTOR * expected + OVERDUE_MS);
                }
                Phase::Starting | Phase::Stopping { .. } => {}
            }
        }
        let next_end = self.next_end();
        EndpointStatus {
            ready: self.is_ready(now),
            free: endpoint.about.capacity.minus(self.used),
            backlog,
            next_end: u32::try_from(next_end).unwrap_or(u32::MAX),
            reserved: self.reserved(),
            draining: endpoint.about.state == EndpointState::Draining,
            stopping: self.leaving || endpoint.drained.is_some(),
            slowness: self.health.slowness_percent(),
            failures: self.health.failure_percent(),
            stalled: now < self.stalled_until || (overdue >= 2 && overdue * 2 >= running),
        }
    }
}

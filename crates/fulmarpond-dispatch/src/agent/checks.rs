//! The periodic work of an agent: checks, timeouts and status reports.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::Action;
use super::agent::{Agent, Purpose, STATUS_INTERVAL_MS};
use super::run::{AfterStop, Phase};
use crate::{
    AgentFrame, Backlog, Class, EndpointState, EndpointStatus, Outcome, Resources, TaskKey,
};

/// How long the run numbers of ended tasks are remembered, in milliseconds.
const RUN_NUMBER_TTL_MS: u64 = 20_000;

/// A run is overdue after this multiple of its expected run time plus [`OVERDUE_MS`].
const OVERDUE_FACTOR: u64 = 3;

/// How long runs may continue at an endpoint before its lease is forced to expire, in milliseconds.
const FORCED_EXPIRY_DELAY_MS: u64 = 1_000;

/// The expected time until the next end if only long-running tasks run, in milliseconds.
const NO_EXPECTED_END_MS: u64 = 10_000;

/// The age of the last reading of the endpoint's clock after which an idle endpoint is asked for it, in
/// milliseconds. The lease of the next start is shorter by two percent of this age.
const MAX_CLOCK_AGE_MS: u64 = 5_000;

/// The constant part of the time after which a run is overdue, in milliseconds. See
/// [`OVERDUE_FACTOR`].
const OVERDUE_MS: u64 = 100;

impl Agent {
    /// Carries out all work that is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for addr in self.links.take_due_dials(now) {
            out.push(Action::Dial { addr });
        }
        self.close_expired_links(now, out);
        self.tick_evacuation_watch(now, out);
        if now >= self.next_check {
            self.run_checks(now, out);
        }
        self.send_hold(now, out);
        let age = now.millis_since(self.last_status);
        if age >= STATUS_INTERVAL_MS.1 || (self.status_changed && age >= STATUS_INTERVAL_MS.0) {
            self.send_status(now, out);
        }
    }

    /// Closes the links whose lease has expired.
    ///
    /// This comes before each frame, reply and heartbeat: a process that was paused finds orders in
    /// the buffers of its sockets whose entry has placed the tasks elsewhere meanwhile.
    pub(super) fn close_expired_links(&mut self, now: Time, out: &mut Vec<Action>) {
        for link in self.links.expired(now) {
            warn!(?link, "entry is silent, closing its link");
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
    }

    /// The interval between checks of all runs, in milliseconds.
    pub(super) const CHECK_INTERVAL_MS: u64 = 50;

    pub(super) fn run_checks(&mut self, now: Time, out: &mut Vec<Action>) {
        self.next_check = now.after_millis(Self::CHECK_INTERVAL_MS);
        self.health.decay(now);
        self.retire_links(now, out);
        self.report_entries(out);
        self.request_configuration(now, out);
        self.check_endpoint(now, out);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.check_run(&task, now, out);
        }
        self.last_run_numbers
            .retain(|_, (_, at)| now.millis_since(*at) < RUN_NUMBER_TTL_MS);
        self.resend_unacknowledged_ends(now, out);
        self.check_orphaned(now, out);
        self.expire_lease_for_superseded(now);
        self.report_speed(out);
        if self.is_end_window_full() {
            // Its tasks may find room at another endpoint before an end here is acknowledged.
            self.return_queued_tasks(now);
        }
        self.start_queued_tasks(now, out);
        self.send_reports(out);
    }

    /// Tells the linked entries of each other, if they have changed.
    fn report_entries(&mut self, out: &mut Vec<Action>) {
        let Some(entries) = self.links.take_changed_entries() else {
            return;
        };
        for &link in self.links.established.keys() {
            let frame = AgentFrame::Entries(entries.clone());
            out.push(Action::Send { link, frame });
        }
    }

    pub(super) fn check_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if now >= endpoint.heartbeat_deadline
            && self.runs.is_empty()
            && endpoint.pending_hold.is_none()
        {
            info!(endpoint = %endpoint.registration.id, "endpoint sent no heartbeat in time");
            self.remove_endpoint(now, out);
            return;
        }
        if endpoint.drained_until.is_some_and(|until| now >= until) {
            info!(endpoint = %endpoint.registration.id, "host is not maintained, taking tasks again");
            endpoint.drained_until = None;
            self.status_changed = true;
        }
        if endpoint.is_reachable && now >= endpoint.answer_deadline {
            warn!(endpoint = %endpoint.registration.id, "endpoint does not answer");
            endpoint.is_reachable = false;
            self.status_changed = true;
        }
        if now >= endpoint.lease_expiry {
            if !endpoint.is_reachable {
                self.abort_all_tasks(now);
            }
            self.finish_expired_runs(now);
        }
        let clock_age_ms = self
            .endpoint
            .as_ref()
            .map(|endpoint| endpoint.clock.age_ms(now));
        if clock_age_ms > Some(MAX_CLOCK_AGE_MS) && self.pending_calls.is_empty() {
            self.request_lists(Purpose::Verify, now, out);
        }
    }

    /// Closes surplus links whose entries have no runs here.
    fn retire_links(&mut self, now: Time, out: &mut Vec<Action>) {
        let (due, has_new) = self.links.retire_surplus(now);
        self.status_changed |= has_new;
        for link in due {
            if self.owned_tasks(link).is_empty() {
                info!(?link, "closing a surplus link");
                out.push(Action::Close { link });
                self.link_down(link, now, out);
            }
        }
    }

    /// Lets the lease expire once if there are superseded ends. The endpoint treats a completed run
    /// as accepted when its end is acknowledged, unless the lease has expired before that.
    fn expire_lease_for_superseded(&mut self, now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if !endpoint.unacknowledged_ends.has_superseded() {
            // Entries may have acknowledged them meanwhile: their caches differ for a moment.
            self.status_changed |= endpoint.forced_expiry_at.take().is_some();
            return;
        }
        if endpoint.forced_expiry_at.is_none() {
            warn!(endpoint = %endpoint.registration.id, "ends came too late, letting the lease lapse");
            endpoint.forced_expiry_at = Some(now.after_millis(FORCED_EXPIRY_DELAY_MS));
            self.return_queued_tasks(now);
        } else if now >= endpoint.lease_expiry {
            info!(endpoint = %endpoint.registration.id, "lease has lapsed");
            endpoint.unacknowledged_ends.remove_superseded();
            endpoint.forced_expiry_at = None;
        }
        self.status_changed = true;
    }

    pub(super) fn check_run(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let resend = self.resend_at(now);
        // A run whose end is hidden looks as if it went on.
        let hides_ends = self.hides_ends();
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Stopping { check_at, .. } if now >= *check_at => {
                if hides_ends {
                    return;
                }
                // The previous check was lost. Without a new one, the end of the run may be missed.
                *check_at = resend;
                let number = run.number;
                self.check_stopped(task, number, now, out);
            }
            Phase::Stopping { resend_at, .. } if now >= *resend_at => {
                *resend_at = resend;
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
            Phase::Stopping { .. } | Phase::Starting => {}
            Phase::Queued => {
                // The entry decides whether a task that missed its latest start is still useful.
                if now >= run.deadline || (now >= run.start_by && run.has_start_deadline) {
                    self.end_run(task, AfterStop::Report(Outcome::Unavailable), now, out);
                }
            }
            Phase::Running { .. } if run.is_long_running || hides_ends => {}
            Phase::Running { since } => {
                let elapsed = now.millis_since(*since);
                let expected_ms = u64::from(run.expected_ms);
                let exceeds_limit = elapsed > u64::from(run.max_run_ms);
                if now >= run.deadline || exceeds_limit {
                    warn!(job = %task.job, %task, elapsed_ms = elapsed, expected_ms, "run takes too long, stopping it");
                    self.health.record_failure();
                    self.end_run(task, AfterStop::Report(Outcome::Aborted), now, out);
                } else if elapsed > OVERDUE_FACTOR * expected_ms + OVERDUE_MS {
                    let expected_ms = run.expected_ms;
                    self.health.record_overdue(&task.job, elapsed, expected_ms);
                }
            }
        }
    }

    pub(super) fn send_status(&mut self, now: Time, out: &mut Vec<Action>) {
        self.last_status = now;
        self.status_changed = false;
        let load = self.endpoint_status(now);
        for (&link, peer) in &self.links.established {
            let load = EndpointStatus {
                ready: load.ready && peer.retire_at.is_none(),
                ..load
            };
            out.push(Action::Send {
                link,
                frame: AgentFrame::Status {
                    sent: now.as_micros(),
                    orders: peer.received_orders,
                    load,
                },
            });
        }
    }

    /// Returns the expected time until the next end of a run, in milliseconds.
    ///
    /// The elapsed time of a run is ignored: run times vary so much that it says little about the
    /// remaining time.
    pub(super) fn expected_next_end_ms(&self) -> u64 {
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_capacity());
        let ending = at_endpoint.filter(|run| !run.is_long_running);
        let (count, work) = ending.fold((0_u64, 0_u64), |(count, work), run| {
            (count + 1, work + u64::from(run.expected_ms))
        });
        if count == 0 && self.reserved_capacity() != Resources::default() {
            return NO_EXPECTED_END_MS;
        }
        work / (count * count).max(1)
    }

    /// Returns the capacity that long-running tasks use.
    pub(super) fn reserved_capacity(&self) -> Resources {
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_capacity());
        let long_running = at_endpoint.filter(|run| run.is_long_running);
        long_running.fold(Resources::default(), |sum, run| sum.plus(run.needs))
    }

    /// Returns queued tasks to their entries if they do not fit the endpoint, beside the long-running
    /// tasks there.
    pub(super) fn return_blocked_tasks(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let shared = endpoint
            .registration
            .capacity
            .minus(self.reserved_capacity());
        let queued = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Queued);
        let blocked = queued.filter(|(_, run)| !run.needs.fits(shared));
        let blocked: Vec<TaskKey> = blocked.map(|(task, _)| task.clone()).collect();
        for task in blocked {
            info!(job = %task.job, %task, "task does not fit the endpoint any more, returning it");
            self.end_run(&task, AfterStop::Report(Outcome::Unavailable), now, out);
        }
    }

    /// Adds the room that the runs of each class use, and their mean expected run time.
    fn add_running(&self, backlog: &mut Backlog) {
        let mut sums = [(0_u64, 0_u64); Class::COUNT];
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_capacity());
        for run in at_endpoint.filter(|run| !run.is_long_running) {
            let (cpu, work) = &mut sums[run.class.index()];
            *cpu += u64::from(run.needs.cpu);
            *work += u64::from(run.needs.cpu) * u64::from(run.expected_ms);
        }
        for (class, (cpu, work)) in Class::ALL.into_iter().zip(sums) {
            let run_ms = work.checked_div(cpu).unwrap_or_default();
            let bounded = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            backlog.set_running(class, bounded(cpu), bounded(run_ms));
        }
    }

    pub(super) fn endpoint_status(&self, now: Time) -> EndpointStatus {
        let Some(endpoint) = &self.endpoint else {
            return EndpointStatus::default();
        };
        let mut backlog = Backlog::default();
        let (mut running, mut overdue) = (0_u32, 0_u32);
        for run in self.runs.values() {
            let expected_ms = u64::from(run.expected_ms);
            match run.phase {
                Phase::Queued => {
                    let work = expected_ms * u64::from(run.needs.cpu) / 1_000;
                    backlog.add(run.class, run.start_by.remaining_millis(now), work);
                }
                Phase::Running { .. } if run.is_long_running => {}
                Phase::Running { since } => {
                    let elapsed = now.millis_since(since);
                    running += 1;
                    overdue += u32::from(
                        !endpoint.hides_ends && elapsed > OVERDUE_FACTOR * expected_ms + OVERDUE_MS,
                    );
                }
                Phase::Starting | Phase::Stopping { .. } => {}
            }
        }
        if !backlog.is_empty() {
            self.add_running(&mut backlog);
        }
        let next_end_ms = self.expected_next_end_ms();
        EndpointStatus {
            ready: self.is_ready(now),
            free: endpoint.registration.capacity.minus(self.used_capacity),
            backlog,
            next_end_ms: u32::try_from(next_end_ms).unwrap_or(u32::MAX),
            reserved: self.reserved_capacity(),
            weights: self.shares.weights,
            draining: endpoint.is_registered
                && endpoint.registration.state == EndpointState::Draining,
            stopping: self.is_shutting_down
                || endpoint.drained_until.is_some()
                || self.is_evacuated(),
            slowness: self.health.slowness_percent(),
            failures: self.health.failure_percent(),
            stalled: now < self.stalled_until || (overdue >= 2 && overdue * 2 >= running),
        }
    }
}

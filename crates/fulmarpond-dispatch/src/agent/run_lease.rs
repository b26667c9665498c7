//! The lease of all runs at the endpoint, and the time by which unwanted runs must be over.
//!
//! The lease is one for all runs. A run that its entry no longer wants is stopped, but its stop may
//! get no reply, or be refused by an unhealthy endpoint. The lease must not keep such a run alive
//! beyond the time at which the caller of its job may send the job again, so it is extended only up
//! to that time until the run is over. So it is for the runs of durable jobs whose owner is lost or
//! has released them: they are placed again later than that. Long-running tasks wait for their adoption
//! first, and must be over before the entry that has lost them starts them again.

use fulmarpond_core::Time;
use tracing::warn;

use super::agent::Agent;
use super::links::Link;
use super::run::Phase;
use crate::{ATTEMPT_TARGET, LeaseTimes, TaskKey};

impl Agent {
    /// Extends the lease of the endpoint from now on; returns its end on the endpoint's clock.
    pub(super) fn extend_lease(&mut self, now: Time) -> i64 {
        let lease_ms = self.max_lease_ms(now);
        let Some(endpoint) = &mut self.endpoint else {
            return 0;
        };
        let expiry = now.after_millis(LeaseTimes::expiry_ms(lease_ms));
        endpoint.lease_expiry = endpoint.lease_expiry.max(expiry);
        let clock = endpoint.clock.at(now).unwrap_or_default();
        clock.saturating_add(i64::try_from(lease_ms).unwrap_or_default())
    }

    /// Returns the longest lease that the endpoint may have from now on, in milliseconds.
    pub(super) fn max_lease_ms(&self, now: Time) -> u64 {
        let lease_times = self.options.lease_times;
        match self.unwanted_runs.first() {
            Some((over_by, _)) => lease_times.lease_within_ms(over_by.millis_since(now)),
            None => lease_times.run_ms,
        }
    }

    /// Returns when the entry of a link was certainly alive, as far as this agent knows.
    pub(super) const fn last_heard(&self, link: &Link) -> Time {
        link.lease_expiry
            .before_millis(self.options.lease_times.link_ms)
    }

    /// Bounds a run that is being stopped because its entry, which was last heard from at `heard`,
    /// is lost or no longer wants it.
    pub(super) fn bound_unwanted_run(&mut self, task: &TaskKey, heard: Time) {
        if self.runs.get(task).is_some_and(|run| !run.is_long_running) {
            let over_by = heard.after_millis(self.options.lease_times.unwanted_ms());
            self.bound_stopping_run(task, over_by);
        }
    }

    /// Bounds an orphaned run that is being stopped since no entry has adopted it in time.
    pub(super) fn bound_orphaned_run(&mut self, task: &TaskKey) {
        let lease_times = self.options.lease_times;
        let stop_ms = lease_times.lease_expiry_ms() + lease_times.stop_ms;
        if let Some(until) = self.runs.get(task).and_then(|run| run.orphaned_until) {
            self.bound_stopping_run(task, until.after_millis(stop_ms));
        }
    }

    /// Sets the time by which a run that is being stopped must be over, unless it has an earlier one.
    fn bound_stopping_run(&mut self, task: &TaskKey, over_by: Time) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let is_stopping = matches!(run.phase, Phase::Stopping { .. });
        if !is_stopping || run.over_by <= over_by {
            return;
        }
        self.unwanted_runs.remove(&(run.over_by, task.clone()));
        run.over_by = over_by;
        self.unwanted_runs.insert((over_by, task.clone()));
    }

    /// Finishes the unwanted runs once the lease has expired, which has ended all runs. A start that
    /// arrives later is refused, since its lease has passed.
    pub(super) fn finish_expired_runs(&mut self, now: Time) {
        while let Some((_, task)) = self.unwanted_runs.pop_first() {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            warn!(target: ATTEMPT_TARGET, job = %task.job, %task, run = run.number, "stop is not confirmed, run has ended with its lease");
            self.recent_stops.record(&task, run.number, "lease_expired");
            self.last_run_numbers
                .insert(task.clone(), (run.number, now));
            if let Phase::Stopping { after_stop, .. } = run.phase {
                self.finish_stopped_run(&task, after_stop);
            }
        }
    }
}

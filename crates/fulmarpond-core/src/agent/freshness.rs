//! The age of an agent's roster, and the detection of pauses of its process.

use super::agent::Agent;
use crate::Time;

impl Agent {
    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.roster_confirmed_at
            .is_none_or(|confirmed| now.millis_since(confirmed) >= self.options.roster_window_ms)
    }

    pub(super) fn is_fresh(&self, now: Time) -> bool {
        let roster_fresh_ms = self.options.home.roster_fresh_ms;
        self.roster_confirmed_at
            .is_some_and(|confirmed| now.millis_since(confirmed) <= roster_fresh_ms)
    }

    /// Records the time of a step. A long gap since the last step indicates that the process was
    /// paused. Also drops outdated roster versions.
    pub(super) fn record_step(&mut self, now: Time) {
        let has_stepped = self.last_step_at > Time::default();
        if has_stepped
            && now.millis_since(self.last_step_at) > self.options.home.roster_fresh_ms / 3
        {
            self.resumed_at = Some(now);
        }
        self.last_step_at = now;
        let settle_ms = 2 * self.options.home.roster_fresh_ms;
        while self.roster_versions.len() > 1
            && now.millis_since(self.roster_versions[1].0) >= settle_ms
        {
            self.roster_versions.pop_front();
        }
    }

    /// Returns the latest roster version that was received long enough ago for all other processes
    /// to have it, or 0.
    pub(super) fn settled_roster_version(&self, now: Time) -> u64 {
        let settle_ms = 2 * self.options.home.roster_fresh_ms;
        self.roster_versions
            .front()
            .filter(|(received, _)| now.millis_since(*received) >= settle_ms)
            .map_or(0, |(_, version)| *version)
    }
}

//! The lease of all runs at the endpoint.

use fulmarpond_core::Time;

use super::agent::Agent;

impl Agent {
    /// Extends the lease of the endpoint from now on; returns its end on the endpoint's clock.
    pub(super) fn extend_lease(&mut self, now: Time) -> i64 {
        let lease_times = self.options.lease_times;
        let Some(endpoint) = &mut self.endpoint else {
            return 0;
        };
        endpoint.lease_expiry = now.after_millis(lease_times.lease_expiry_ms());
        let clock = endpoint.clock.at(now).unwrap_or_default();
        clock.saturating_add(i64::try_from(lease_times.run_ms).unwrap_or_default())
    }
}

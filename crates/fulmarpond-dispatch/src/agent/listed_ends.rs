//! The limit of the list of ends, the window that keeps the unacknowledged ends below it, and which ends
//! may be acknowledged.
//!
//! An endpoint lists only its oldest unacknowledged ends, and ends are acknowledged in order. One that
//! may not be acknowledged yet hides all ends beyond the limit. A run that is in neither list then may
//! have ended, in whatever way.

use fulmarpond_core::Time;
use tracing::warn;

use super::EndEntry;
use super::agent::Agent;
use super::endpoint::Endpoint;
use super::run::Run;

/// The number of ends that an endpoint lists at most.
const MAX_LISTED_ENDS: usize = 500;

/// The number of unacknowledged ends, and of runs that will end, from which no further run starts.
/// It leaves room for the runs that start while an earlier list is on its way.
const MAX_OPEN_ENDS: u64 = 480;

/// Returns whether a list may lack ends.
pub(super) const fn is_cut_off(ended: &[EndEntry]) -> bool {
    ended.len() >= MAX_LISTED_ENDS
}

impl Agent {
    /// Records whether a list of ends was cut off.
    pub(super) fn record_cut_off(&mut self, ended: &[EndEntry]) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let hides_ends = is_cut_off(ended);
        if hides_ends && !endpoint.hides_ends {
            warn!(endpoint = %endpoint.registration.id, first = ended[0].sequence, "endpoint has more ends than it lists");
        }
        self.status_changed |= hides_ends != endpoint.hides_ends;
        endpoint.hides_ends = hides_ends;
    }

    /// Returns the number of the last end that a call sent now may acknowledge.
    ///
    /// There is none while a durable run was started that no list has shown. The endpoint may have
    /// restarted under its id before that start, and a reply to a start does not say so. The next
    /// incarnation numbers its ends anew, and would forget the end of that run before anybody has seen it.
    pub(super) fn acknowledgeable_end(&self, now: Time) -> u64 {
        let is_unlisted = |run: &Run| {
            run.is_durable && run.phase.uses_capacity() && !run.is_listed && run.started_at < now
        };
        if self.runs.values().any(is_unlisted) {
            return 0;
        }
        let endpoint = self.endpoint.as_ref();
        endpoint.map_or(0, Endpoint::last_acknowledgeable_end)
    }

    /// Returns whether the endpoint has ended runs that it does not list.
    pub(super) fn hides_ends(&self) -> bool {
        let endpoint = self.endpoint.as_ref();
        endpoint.is_some_and(|endpoint| endpoint.hides_ends)
    }

    /// Returns whether the ends of further runs might be beyond the limit of the list.
    pub(super) fn is_end_window_full(&self) -> bool {
        let Some(endpoint) = &self.endpoint else {
            return false;
        };
        let unacknowledged = endpoint.last_seen_end - endpoint.last_acknowledgeable_end();
        if endpoint.hides_ends || unacknowledged >= MAX_OPEN_ENDS {
            return true;
        }
        if unacknowledged + (self.runs.len() as u64) < MAX_OPEN_ENDS {
            return false;
        }
        let at_endpoint = |run: &&Run| run.phase.uses_capacity();
        let runs = self.runs.values().filter(at_endpoint).count() as u64;
        unacknowledged + runs >= MAX_OPEN_ENDS
    }
}

//! Attempts go on only while all entries that could start another one know of them.
//!
//! The caller of an attempt may have lost its connection unseen and send its job again, to an entry that
//! this one can't reach. That entry starts the job unless it holds the attempt. So an attempt ends before
//! its caller may send it again, unless every other entry that agents are linked to has confirmed a list
//! that names it; and later, when the last such list is so old that the entry may hold it no longer.

use std::collections::BTreeSet;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::{CHECK_INTERVAL_MS, Entry};
use crate::{ATTEMPT_TARGET, JobId, Refusal};

impl Entry {
    /// Returns when a new or resumed process no longer awaits the lists of entries that are alive.
    pub(super) const fn settle_latest(&self, now: Time) -> Time {
        now.after_millis(self.options.lease_times.unreachable_ms())
    }

    /// Brings up to date which entries may start tasks, and holds the attempts of those that can't be
    /// reached.
    pub(super) fn update_members(&mut self, now: Time) {
        if self.membership.update(now) {
            self.peers.set_linked(self.membership.linked(), now);
        }
        let linked = self.membership.linked().keys().map(String::as_str);
        let cut_off = self.membership.cut_off();
        let cut_off = cut_off.filter(|name| self.peers.is_announced(name));
        let others = linked
            .chain(cut_off)
            .filter(|name| *name != self.options.name);
        let members: BTreeSet<&str> = others.collect();
        self.confirmations.set_members(&members, now);
        let until = now.after_millis(2 * CHECK_INTERVAL_MS);
        let is_unreachable = |name: &str| members.contains(name) && !self.peers.has_list_of(name);
        self.attempts.extend_lost(is_unreachable, until);
    }

    /// Ends the attempts that another entry may not know of, before it could start another one.
    pub(super) fn end_unshared(&mut self, now: Time, out: &mut Vec<Action>) {
        let lease_times = self.options.lease_times;
        let in_progress = self.jobs.values().filter(|job| job.state.is_none());
        let unshared = in_progress.filter_map(|job| {
            let entry = self
                .confirmations
                .unaware(job.sent_after, lease_times, now)?;
            let age_ms = now.millis_since(job.sent_after);
            info!(target: ATTEMPT_TARGET, job = %job.id, age_ms, entry, "attempt ends, another entry may not know of it");
            Some((job.id.clone(), age_ms, entry.to_owned()))
        });
        let unshared: Vec<(JobId, u64, String)> = unshared.collect();
        for (id, age_ms, entry) in unshared {
            let reason = Refusal::Unshared;
            self.give_up(&id, reason, now, out);
            self.recent
                .record_meeting(&id, reason.as_str(), age_ms, entry);
        }
    }
}

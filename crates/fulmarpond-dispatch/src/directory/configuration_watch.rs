//! The watch of what the operator writes, which is how a new configuration is noticed.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::{Action, OperatorChanges, StoreCall, StoredConfiguration};
use crate::pacing::Pacing;

/// The longest time that a watch waits for a change, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// The longest time that a watch waits after a failed call, in milliseconds. It returns at once what
/// the failed one has hidden, and otherwise shows soon that the store answers.
const RETRY_WAIT_MS: u64 = 100;

/// The timeout of a call beyond the time that it waits in the store, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 450;

/// The longest such timeout, in milliseconds. It grows with each failure in a row, so that a store
/// that answers later than that is heard as well; a store that answers nothing is tried again soon.
const MAX_REPLY_TIMEOUT_MS: u64 = 1_350;

/// The time without a reply after which the configuration is read, in milliseconds. A watch would
/// return every version that was written meanwhile.
const MAX_GAP_MS: u64 = 2_000;

/// The minimum interval between two comparisons of the version in force with the store, in
/// milliseconds. A watch without events confirms the version only as far as the store's history is
/// complete.
const MIN_COMPARISON_INTERVAL_MS: u64 = 10_000;

/// The traffic that comparisons may cause, in bytes per second.
const COMPARISON_BYTES_PER_S: u64 = 8 * 1_024;

/// The delay before a value that cannot be decoded is read again, in milliseconds.
const UNREADABLE_RETRY_MS: u64 = 2_000;

/// The first and the longest backoff after a failed call, in milliseconds. The bound for a new
/// version counts from its acknowledgement, whatever the store does next.
const BACKOFF_MS: (u64, u64) = (60, 600);

/// The longest backoff while no configuration has been read, in milliseconds: the entry refuses all
/// requests until then.
const INITIAL_MAX_BACKOFF_MS: u64 = 80;

/// Watches the keys that the operator writes, and compares the configuration with the store now and
/// then.
#[derive(Debug)]
pub(super) struct ConfigurationWatch {
    pub(super) pacing: Pacing,
    /// The revision to watch from; `None` if a full read is needed.
    revision: Option<u64>,
    has_configuration: bool,
    /// When the last reply arrived.
    replied_at: Option<Time>,
    next_comparison: Time,
    /// Whether the read in flight is a comparison, so that the revision to watch from is kept.
    is_comparing: bool,
    /// Whether events may have been missed since the last reply to a watch.
    has_gap: bool,
    /// The number of calls that have failed since the last reply.
    failures: u32,
}

impl ConfigurationWatch {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            pacing: Pacing::new(BACKOFF_MS, now),
            revision: None,
            has_configuration: false,
            replied_at: None,
            next_comparison: now,
            is_comparing: false,
            has_gap: false,
            failures: 0,
        }
    }

    /// Returns when the store last replied, and so confirmed that no newer version exists.
    pub(super) const fn replied_at(&self) -> Option<Time> {
        self.replied_at
    }

    /// Returns the next call and how long it waits in the store, in milliseconds.
    pub(super) fn next_call(&mut self, now: Time) -> (StoreCall, u64) {
        let is_due = now >= self.next_comparison && self.failures == 0;
        self.is_comparing = is_due && self.revision.is_some();
        match self.revision {
            Some(after) if !self.is_comparing => {
                let wait = if self.failures > 0 {
                    RETRY_WAIT_MS
                } else {
                    WAIT_MS
                };
                (StoreCall::WatchOperator { after, wait }, wait)
            }
            _ => (StoreCall::ReadConfiguration, 0),
        }
    }

    /// Returns the timeout of the next call beyond the time that it waits in the store, in
    /// milliseconds.
    pub(super) fn reply_timeout_ms(&self) -> u64 {
        let timeout_ms = REPLY_TIMEOUT_MS * u64::from(self.failures + 1);
        timeout_ms.min(MAX_REPLY_TIMEOUT_MS)
    }

    /// Schedules another attempt after a call that failed.
    pub(super) fn handle_failure(&mut self, now: Time) {
        self.pacing.record_failure(now);
        self.failures += 1;
        let age_ms = self.replied_at.map(|at| now.millis_since(at));
        if self.failures.is_power_of_two() {
            info!(
                failures = self.failures,
                age_ms, "configuration is not confirmed by the store"
            );
        }
        if age_ms.is_none_or(|age_ms| age_ms > MAX_GAP_MS) {
            self.revision = None;
            self.has_gap = true;
        }
        if !self.has_configuration {
            let due = &mut self.pacing.due;
            *due = (*due).min(now.after_millis(INITIAL_MAX_BACKOFF_MS));
        }
    }

    fn record_reply(&mut self, now: Time) {
        if self.failures > 1 {
            let age_ms = self.replied_at.map(|at| now.millis_since(at));
            info!(
                failures = self.failures,
                age_ms, "configuration is confirmed by the store again"
            );
        }
        self.failures = 0;
        self.replied_at = Some(now);
    }

    /// Handles a read of the configuration; returns the revision that other lists must have.
    pub(super) fn handle_read(
        &mut self,
        value: Option<StoredConfiguration>,
        at: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Option<u64> {
        self.record_reply(now);
        let is_comparison = std::mem::take(&mut self.is_comparing);
        if !is_comparison {
            self.revision = Some(at);
        }
        if std::mem::take(&mut self.has_gap) {
            out.push(Action::OperatorWrote);
        }
        self.accept(value, now, out);
        (!is_comparison).then_some(at)
    }

    /// Handles changes that a watch has returned.
    pub(super) fn handle_changes(
        &mut self,
        changes: OperatorChanges,
        at: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.record_reply(now);
        self.revision = Some(at);
        if changes.waves {
            out.push(Action::OperatorWrote);
        }
        if let Some(value) = changes.configuration {
            self.accept(value, now, out);
        }
    }

    /// Handles a watch that returned no changes.
    pub(super) fn handle_no_change(&mut self, at: u64, now: Time) {
        self.record_reply(now);
        self.revision = Some(at);
    }

    /// Handles a watch whose history was compacted.
    pub(super) fn handle_compaction(&mut self) {
        debug!("history of the configuration was compacted; reading again");
        self.revision = None;
        self.has_gap = true;
    }

    fn accept(&mut self, value: Option<StoredConfiguration>, now: Time, out: &mut Vec<Action>) {
        let Some(stored) = value else {
            warn!("configuration in the store can't be decoded, the last one stays in force");
            self.next_comparison = now.after_millis(UNREADABLE_RETRY_MS);
            return;
        };
        if stored.skipped_rows > 0 {
            warn!(
                version = stored.configuration.version,
                rows = stored.skipped_rows,
                "rows of the configuration can't be decoded and are left out"
            );
        }
        let pause_ms = stored.bytes as u64 * 1_000 / COMPARISON_BYTES_PER_S;
        self.next_comparison = now.after_millis(pause_ms.max(MIN_COMPARISON_INTERVAL_MS));
        self.has_configuration = true;
        out.push(Action::Configured(stored.configuration));
    }
}

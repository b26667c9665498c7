//! Ends that are not acknowledged to the endpoint until an entry acknowledges them as stored.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::warn;

use crate::{TaskEnd, TaskRun};

/// The interval at which unacknowledged ends are reported again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 250;

/// The minimum time before an end is dropped because an entry does not know its job, in
/// milliseconds. The job may have been accepted a moment ago.
const OBSOLETE_GRACE_MS: u64 = 3_000;

/// The age at which an unacknowledged end causes a warning, in milliseconds.
const WARN_AGE_MS: u64 = 5_000;

#[derive(Debug)]
struct UnacknowledgedEnd {
    end: TaskEnd,
    since: Time,
    /// When it is reported to all entries for the first time.
    report_at: Time,
    /// Whether its task was placed again before the entries knew of the end.
    is_superseded: bool,
}

/// The unacknowledged ends of one incarnation of the endpoint, by sequence number.
#[derive(Debug, Default)]
pub(super) struct UnacknowledgedEnds {
    ends: BTreeMap<u64, UnacknowledgedEnd>,
    next_resend: Time,
}

impl UnacknowledgedEnds {
    /// Adds an end. Most ends are acknowledged within the interval by the entry that ordered the run;
    /// one of an unknown run has been reported to no entry.
    pub(super) fn insert(&mut self, sequence: u64, end: TaskEnd, is_run_known: bool, now: Time) {
        let report_at = if is_run_known {
            now.after_millis(RESEND_INTERVAL_MS)
        } else {
            now
        };
        self.next_resend = if self.ends.is_empty() {
            report_at
        } else {
            self.next_resend.min(report_at)
        };
        self.ends.insert(
            sequence,
            UnacknowledgedEnd {
                end,
                since: now,
                report_at,
                is_superseded: false,
            },
        );
    }

    /// Returns the sequence number up to which ends may be acknowledged, given the last listed one.
    pub(super) fn last_acknowledgeable(&self, seen: u64) -> u64 {
        self.ends.keys().next().map_or(seen, |first| first - 1)
    }

    /// Removes ends that an entry has acknowledged as stored.
    pub(super) fn acknowledge(&mut self, runs: &[TaskRun]) {
        self.ends
            .retain(|_, pending| !contains_end(runs, &pending.end));
    }

    /// Removes ends that no entry needs, once they are older than [`OBSOLETE_GRACE_MS`].
    pub(super) fn remove_obsolete(&mut self, runs: &[TaskRun], now: Time) {
        self.ends.retain(|_, pending| {
            now.millis_since(pending.since) < OBSOLETE_GRACE_MS || !contains_end(runs, &pending.end)
        });
    }

    pub(super) fn mark_superseded(&mut self, runs: &[TaskRun]) {
        let ends = self.ends.values_mut();
        for pending in ends.filter(|pending| contains_end(runs, &pending.end)) {
            pending.is_superseded = true;
        }
    }

    pub(super) fn has_superseded(&self) -> bool {
        self.ends.values().any(|pending| pending.is_superseded)
    }

    pub(super) fn remove_superseded(&mut self) {
        self.ends.retain(|_, pending| !pending.is_superseded);
    }

    /// Returns the ends to report again if the interval has passed, and starts a new interval.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<TaskEnd> {
        if self.ends.is_empty() || now < self.next_resend {
            return Vec::new();
        }
        self.next_resend = now.after_millis(RESEND_INTERVAL_MS);
        let oldest = self.ends.values().next().filter(|pending| {
            let age = now.millis_since(pending.since);
            (WARN_AGE_MS..WARN_AGE_MS + RESEND_INTERVAL_MS).contains(&age)
        });
        if let Some(pending) = oldest {
            warn!(
                job = %pending.end.task.job,
                task = %pending.end.task,
                run = pending.end.run,
                outcome = ?pending.end.outcome,
                ends = self.ends.len(),
                "no entry takes note of an end"
            );
        }
        let due = self
            .ends
            .values()
            .filter(|pending| now >= pending.report_at);
        due.map(|pending| pending.end.clone()).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}

fn contains_end(runs: &[TaskRun], end: &TaskEnd) -> bool {
    runs.iter()
        .any(|run| run.run == end.run && run.task == end.task)
}

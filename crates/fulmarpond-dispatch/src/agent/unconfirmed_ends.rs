//! Ends that are not taken note of at the endpoint until they are in the store.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::warn;

use crate::{TaskEnd, TaskRun};

/// The interval at which held ends are told again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 250;

/// For how long an end is held although an entry knows nothing of its job, in milliseconds: the
/// job may have been accepted a moment ago.
const OBSOLETE_GRACE_MS: u64 = 3_000;

/// After this time an end that is still held is worth a warning, in milliseconds.
const WARN_AGE_MS: u64 = 5_000;

#[derive(Debug)]
struct UnconfirmedEnd {
    end: TaskEnd,
    since: Time,
    /// Whether its task was placed again before the end was known.
    is_superseded: bool,
}

/// The held ends of one incarnation of the endpoint, by their numbers.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedEnds {
    ends: BTreeMap<u64, UnconfirmedEnd>,
    next_resend: Time,
}

impl UnconfirmedEnds {
    pub(super) fn insert(&mut self, number: u64, end: TaskEnd, now: Time) {
        if self.ends.is_empty() {
            self.next_resend = now.after_millis(RESEND_INTERVAL_MS);
        }
        self.ends.insert(
            number,
            UnconfirmedEnd {
                end,
                since: now,
                is_superseded: false,
            },
        );
    }

    /// Returns the number of the last end that may be taken note of.
    pub(super) fn last_acknowledgeable(&self, seen: u64) -> u64 {
        self.ends.keys().next().map_or(seen, |first| first - 1)
    }

    pub(super) fn confirm(&mut self, runs: &[TaskRun]) {
        self.ends
            .retain(|_, pending| !contains_end(runs, &pending.end));
    }

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

    /// Returns the ends that are to be told again.
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
        let due = self.ends.values().filter(|pending| {
            // Most ends are noted by the entry that ordered the run before that.
            now.millis_since(pending.since) >= RESEND_INTERVAL_MS
        });
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

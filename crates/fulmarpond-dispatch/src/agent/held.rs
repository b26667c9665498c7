//! Ends that are not taken note of at the endpoint until they are in the store.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::warn;

use crate::{TaskEnd, TaskRun};

/// The interval at which held ends are told again, in milliseconds.
const REPEAT_MS: u64 = 250;

/// For how long an end is held although an entry knows nothing of its job, in milliseconds: the
/// job may have been accepted a moment ago.
const DOUBT_MS: u64 = 3_000;

/// After this time an end that is still held is worth a warning, in milliseconds.
const OLD_MS: u64 = 5_000;

#[derive(Debug)]
struct Held {
    end: TaskEnd,
    since: Time,
    /// Whether its task was placed again before the end was known.
    void: bool,
}

/// The held ends of one incarnation of the endpoint, by their numbers.
#[derive(Debug, Default)]
pub(super) struct HeldEnds {
    ends: BTreeMap<u64, Held>,
    next: Time,
}

impl HeldEnds {
    pub(super) fn hold(&mut self, number: u64, end: TaskEnd, now: Time) {
        if self.ends.is_empty() {
            self.next = now.after_millis(REPEAT_MS);
        }
        self.ends.insert(
            number,
            Held {
                end,
                since: now,
                void: false,
            },
        );
    }

    /// Returns the number of the last end that may be taken note of.
    pub(super) fn acked(&self, seen: u64) -> u64 {
        self.ends.keys().next().map_or(seen, |first| first - 1)
    }

    pub(super) fn noted(&mut self, runs: &[TaskRun]) {
        self.ends.retain(|_, held| !names(runs, &held.end));
    }

    pub(super) fn obsolete(&mut self, runs: &[TaskRun], now: Time) {
        self.ends
            .retain(|_, held| now.millis_since(held.since) < DOUBT_MS || !names(runs, &held.end));
    }

    pub(super) fn void(&mut self, runs: &[TaskRun]) {
        let ends = self.ends.values_mut();
        for held in ends.filter(|held| names(runs, &held.end)) {
            held.void = true;
        }
    }

    pub(super) fn has_void(&self) -> bool {
        self.ends.values().any(|held| held.void)
    }

    pub(super) fn drop_void(&mut self) {
        self.ends.retain(|_, held| !held.void);
    }

    /// Returns the ends that are to be told again.
    pub(super) fn due(&mut self, now: Time) -> Vec<TaskEnd> {
        if self.ends.is_empty() || now < self.next {
            return Vec::new();
        }
        self.next = now.after_millis(REPEAT_MS);
        let old = self.ends.values().next().filter(|held| {
            let age = now.millis_since(held.since);
            (OLD_MS..OLD_MS + REPEAT_MS).contains(&age)
        });
        if let Some(held) = old {
            warn!(
                job = %held.end.task.job,
                task = %held.end.task,
                run = held.end.run,
                outcome = ?held.end.outcome,
                ends = self.ends.len(),
                "no entry takes note of an end"
            );
        }
        let waiting = self.ends.values().filter(|held| {
            // Most ends are noted by the entry that ordered the run before that.
            now.millis_since(held.since) >= REPEAT_MS
        });
        waiting.map(|held| held.end.clone()).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}

fn names(runs: &[TaskRun], end: &TaskEnd) -> bool {
    runs.iter()
        .any(|run| run.run == end.run && run.task == end.task)
}

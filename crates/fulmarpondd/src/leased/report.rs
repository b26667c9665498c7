//! The report of a process on its last attempts and on dropped log lines.
//!
//! A record of a process may hold a few warnings only, from any part of its log. So one line names the
//! build, the last attempts and what was left out, whenever there is something new, and once more when
//! the process stops.

use std::fmt::Display;
use std::time::{Duration, Instant};

use fulmarpond_dispatch::ATTEMPT_TARGET;
use tracing::warn;

use super::line_limit::{LineClass, LineCounts};
use crate::BUILD;

/// The shortest time between two reports.
const INTERVAL: Duration = Duration::from_secs(10);

/// The time from a change to its report, in which the runs of an attempt may end.
const DELAY: Duration = Duration::from_secs(1);

/// When a report is due, and what the last one has told.
#[derive(Debug)]
pub(super) struct Report {
    started: Instant,
    /// When the next report may be written.
    earliest: Instant,
    /// When the next report is written, if there is something new.
    due: Option<Instant>,
    told_changes: u64,
    told_dropped: u64,
}

impl Report {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            started: now,
            earliest: now,
            due: None,
            told_changes: 0,
            told_dropped: 0,
        }
    }

    /// Writes a report if there is something new and the last one is old enough.
    pub(super) fn update(
        &mut self,
        recent: &impl Display,
        changes: u64,
        dropped: LineCounts,
        now: Instant,
    ) {
        if changes == self.told_changes && notable(dropped) == self.told_dropped {
            return;
        }
        let due = *self.due.get_or_insert((now + DELAY).max(self.earliest));
        if now >= due {
            self.write(recent, changes, dropped, now);
        }
    }

    /// Writes the last report of a process that stops, unless there was never anything to tell.
    pub(super) fn finish(
        &mut self,
        recent: &impl Display,
        changes: u64,
        dropped: LineCounts,
        now: Instant,
    ) {
        if changes > 0 || notable(dropped) > 0 {
            self.write(recent, changes, dropped, now);
        }
    }

    fn write(&mut self, recent: &impl Display, changes: u64, dropped: LineCounts, now: Instant) {
        self.due = None;
        self.earliest = now + INTERVAL;
        self.told_changes = changes;
        self.told_dropped = notable(dropped);
        warn!(
            target: ATTEMPT_TARGET,
            build = BUILD,
            uptime_s = now.duration_since(self.started).as_secs(),
            dropped = %dropped,
            recent = %recent,
            "report of attempts"
        );
    }
}

/// Returns the number of dropped lines that are worth a report. Those on successful requests are not.
fn notable(dropped: LineCounts) -> u64 {
    dropped.total() - dropped.get(LineClass::Routine)
}

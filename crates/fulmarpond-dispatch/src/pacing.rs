//! When a duty makes its next call.

use fulmarpond_core::Time;

/// The pace of a duty that has at most one call under way and pauses after failures.
#[derive(Debug)]
pub(crate) struct Pacing {
    pub(crate) busy: bool,
    /// When the next call may be made.
    pub(crate) due: Time,
    pause: u64,
    /// The first and the longest pause, in milliseconds.
    pauses: (u64, u64),
}

impl Pacing {
    pub(crate) const fn new(pauses: (u64, u64), now: Time) -> Self {
        Self {
            busy: false,
            due: now,
            pause: pauses.0,
            pauses,
        }
    }

    /// Pauses, each time twice as long.
    pub(crate) fn failed(&mut self, now: Time) {
        self.due = now.after_millis(self.pause);
        self.pause = (self.pause * 2).min(self.pauses.1);
    }

    /// Plans the next call after one that succeeded.
    pub(crate) const fn succeeded(&mut self, due: Time) {
        self.due = due;
        self.pause = self.pauses.0;
    }

    /// Returns whether the last call failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.pause > self.pauses.0
    }

    /// Returns when the next call is due, if none is under way.
    pub(crate) const fn wake(&self) -> Time {
        if self.busy { Time::MAX } else { self.due }
    }
}

//! The age of replies when they are read.
//!
//! An agent that was paused or is short of processor time reads replies long after they were sent. The
//! clock of the endpoint, which is part of each reply, tells how much later than others it was read.

use fulmarpond_core::Time;

/// How long a window of readings lasts, in milliseconds: so short that a clock that is some percent
/// slow loses little in it.
const WINDOW_MS: u64 = 100;

/// What a slow clock may lose in two windows, in milliseconds.
const MAX_DRIFT_MS: u64 = 4;

/// The largest differences between the endpoint's clock and the own one in the current window of
/// readings and in the previous one, those of the replies that were read fastest.
#[derive(Debug, Default)]
pub(super) struct ReplyAges {
    /// When the current window began.
    began_at: Time,
    current: Option<i64>,
    previous: Option<i64>,
}

impl ReplyAges {
    /// Adds the clock of a reply that is read now, in milliseconds, and returns how much later it was
    /// read than the fastest one; `None` if there are no others to compare it with.
    pub(super) fn observe(&mut self, clock_ms: i64, now: Time) -> Option<u64> {
        let now_ms = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let difference = clock_ms.saturating_sub(now_ms);
        let window_ms = now.millis_since(self.began_at);
        if window_ms >= WINDOW_MS {
            self.previous = self.current.take().filter(|_| window_ms < 2 * WINDOW_MS);
            self.began_at = now;
        }
        let known = self.current.max(self.previous);
        self.current = self.current.max(Some(difference));
        let late_ms = known?.saturating_sub(difference).max(0);
        let late_ms = u64::try_from(late_ms).ok()?;
        Some(late_ms.saturating_sub(MAX_DRIFT_MS))
    }
}

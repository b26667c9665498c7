//! The gradual return of a zone after its evacuation.
//!
//! All endpoints of the zone are idle at that moment, so every entry would send the work of the
//! next milliseconds there, before the first status shows the load of the others.

use fulmarpond_core::Time;

use crate::Resources;

/// How long after the end of an evacuation the zone has less room, in milliseconds.
const RETURN_MS: u64 = 1_000;

/// The share of the free room that counts at first, in percent.
const FIRST_SHARE_PERCENT: u64 = 25;

/// How far an endpoint has returned from an evacuation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ZoneReturn {
    /// When the evacuation ended, while the room is still limited.
    since: Option<Time>,
    /// The time until its full room counts, in milliseconds.
    remaining_ms: u64,
}

impl ZoneReturn {
    /// Returns the state at the end of an evacuation.
    pub(super) const fn begin(now: Time) -> Self {
        Self {
            since: Some(now),
            remaining_ms: RETURN_MS,
        }
    }

    /// Updates the time until the full room counts.
    pub(super) fn advance(&mut self, now: Time) {
        if let Some(since) = self.since {
            self.remaining_ms = RETURN_MS.saturating_sub(now.millis_since(since));
            if self.remaining_ms == 0 {
                self.since = None;
            }
        }
    }

    /// Returns the free room that counts.
    pub(super) fn limit(self, free: Resources) -> Resources {
        if self.remaining_ms == 0 {
            return free;
        }
        let elapsed_ms = RETURN_MS - self.remaining_ms;
        let percent = FIRST_SHARE_PERCENT + (100 - FIRST_SHARE_PERCENT) * elapsed_ms / RETURN_MS;
        let share = |amount: u32| {
            let share = u64::from(amount) * percent / 100;
            u32::try_from(share).unwrap_or(amount)
        };
        Resources {
            cpu: share(free.cpu),
            memory: share(free.memory),
            accelerators: share(free.accelerators),
        }
    }

    /// Returns the time until a task fits that lacks room only because the room is limited, in
    /// milliseconds.
    pub(super) fn wait_ms(self, needs: Resources, counted: Resources, free: Resources) -> f64 {
        if self.remaining_ms == 0 || needs.fits(counted) || !needs.fits(free) {
            return 0.0;
        }
        self.remaining_ms as f64
    }
}

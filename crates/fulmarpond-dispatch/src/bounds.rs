//! The times that keep two runs of one task apart.

use thiserror::Error;

/// Times of leases, in milliseconds.
///
/// A caller that lost its connection sends its job again after [`resend_ms`](Self::resend_ms). By
/// then no run of the first attempt may be left, whatever was killed, paused, cut or silenced:
///
/// ```text
/// link_ms + run_ms * (1 + drift) + stop_ms + margin_ms <= resend_ms
/// ```
///
/// An agent stops the runs of an entry that it has not heard of for `link_ms`. If the agent cannot
/// act either, the endpoint ends every run `run_ms` after the last extension, by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How long an agent keeps runs of an entry that it does not hear of.
    pub link_ms: u64,
    /// How far ahead an agent extends the lease of the runs at its endpoint.
    pub run_ms: u64,
    /// The longest time that an endpoint takes to stop a run.
    pub stop_ms: u64,
    /// The shortest time after which a caller sends a job again.
    pub resend_ms: u64,
}

/// Bounds that cannot keep two runs of one task apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a resend after {resend_ms} ms leaves no room for leases with stops of {stop_ms} ms")]
pub struct InvalidBounds {
    resend_ms: u64,
    stop_ms: u64,
}

impl Bounds {
    /// How much slower than this process's clock an endpoint's clock may run, in percent.
    const DRIFT_PERCENT: u64 = 2;

    /// Time for messages and for a process that gets the processor late.
    const MARGIN_MS: u64 = 60;

    /// The shortest lease that survives a lost renewal.
    const MIN_LEASE_MS: u64 = 200;

    /// Splits the time until a caller's resend into leases.
    ///
    /// # Errors
    ///
    /// Fails if the time is too short for two leases of at least 200 ms.
    pub fn new(resend_ms: u64, longest_run_ms: u64, stop_ms: u64) -> Result<Self, InvalidBounds> {
        let invalid = InvalidBounds { resend_ms, stop_ms };
        let room = resend_ms
            .checked_sub(stop_ms + Self::MARGIN_MS)
            .ok_or(invalid)?;
        // The larger part goes to the run's lease, since its renewals can be lost one by one.
        let run_ms = (room * 100 * 56 / 100 / (100 + Self::DRIFT_PERCENT)).min(longest_run_ms);
        let link_ms = (room * 44 / 100).min(Self::LONGEST_LINK_MS);
        if run_ms < Self::MIN_LEASE_MS || link_ms < Self::MIN_LEASE_MS {
            return Err(invalid);
        }
        Ok(Self {
            link_ms,
            run_ms,
            stop_ms,
            resend_ms,
        })
    }

    /// Returns the shortest usable leases, for a resend that leaves no room for longer ones.
    ///
    /// With them a second attempt may overlap with the first one while processes are paused.
    pub const fn shortest(resend_ms: u64, stop_ms: u64) -> Self {
        Self {
            link_ms: Self::MIN_LEASE_MS,
            run_ms: Self::MIN_LEASE_MS,
            stop_ms,
            resend_ms,
        }
    }

    /// A longer silence of a link delays the jobs on it more than a needless reconnect does.
    const LONGEST_LINK_MS: u64 = 2_000;

    /// Returns after what time a run is surely over once its lease is no longer extended.
    pub const fn lapse_ms(&self) -> u64 {
        self.run_ms * (100 + Self::DRIFT_PERCENT) / 100 + Self::MARGIN_MS / 2
    }

    /// How long a long-running task waits for the next owner of its job, in milliseconds: an entry
    /// that starts again is back within that, and so are the jobs that a stopping one gives away.
    pub(crate) const ADOPTION_MS: u64 = 3_000;

    /// Returns after what time a long-running task is surely over once its agent no longer hears its
    /// entry.
    pub const fn adoption_ms(&self) -> u64 {
        self.orphan_ms() + Self::ADOPTION_MS
    }

    /// Returns after what time a run is surely over once its agent no longer hears its entry.
    pub const fn orphan_ms(&self) -> u64 {
        self.link_ms + self.lapse_ms() + self.stop_ms + Self::MARGIN_MS / 2
    }
}

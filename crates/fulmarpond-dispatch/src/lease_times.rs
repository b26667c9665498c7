//! The lease durations that keep two runs of one task from overlapping.

use thiserror::Error;

/// Lease durations, in milliseconds.
///
/// A caller that lost its connection sends its job again after [`resend_ms`](Self::resend_ms). By
/// then no run of the first attempt may be left, even if processes were killed or paused, or
/// connections were cut or lost their messages:
///
/// ```text
/// link_ms + run_ms * (1 + drift) + stop_ms + margin_ms <= resend_ms
/// ```
///
/// An agent stops the runs of an entry from which it has received nothing for `link_ms`. If the
/// agent fails too, the endpoint ends every run `run_ms` after its last lease extension, by its own
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// The time after which an agent stops the runs of an entry that is silent.
    pub link_ms: u64,
    /// The duration by which an agent extends the lease of the runs at its endpoint.
    pub run_ms: u64,
    /// The maximum time that an endpoint takes to stop a run.
    pub stop_ms: u64,
    /// The minimum time after which a caller sends a job again.
    pub resend_ms: u64,
}

/// An error for a resend time that is too short to keep two runs of one task from overlapping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a resend after {resend_ms} ms leaves no room for leases with stops of {stop_ms} ms")]
pub struct InvalidLeaseTimes {
    resend_ms: u64,
    stop_ms: u64,
}

impl LeaseTimes {
    /// How much slower than the clock of this process an endpoint's clock may run, in percent.
    pub(crate) const MAX_DRIFT_PERCENT: u64 = 2;

    /// The margin for message latency and scheduling delays.
    const MARGIN_MS: u64 = 60;

    /// The minimum duration of a lease that survives one lost renewal.
    pub(crate) const MIN_LEASE_MS: u64 = 200;

    /// Divides the time until a caller's resend between the two leases.
    ///
    /// # Errors
    ///
    /// Fails if the time is too short for two leases of at least 200 ms.
    pub fn new(resend_ms: u64, max_run_ms: u64, stop_ms: u64) -> Result<Self, InvalidLeaseTimes> {
        let invalid = InvalidLeaseTimes { resend_ms, stop_ms };
        let budget_ms = resend_ms
            .checked_sub(stop_ms + Self::MARGIN_MS)
            .ok_or(invalid)?;
        // The run lease gets the larger share, since single renewals of it can be lost.
        let run_ms = (budget_ms * 100 * 56 / 100 / (100 + Self::MAX_DRIFT_PERCENT)).min(max_run_ms);
        let link_ms = (budget_ms * 44 / 100).min(Self::MAX_LINK_MS);
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

    /// The time that the shortest usable leases, the drift and the margin take, in milliseconds.
    pub const SHORTEST_MS: u64 = Self::MIN_LEASE_MS
        + Self::MIN_LEASE_MS * (100 + Self::MAX_DRIFT_PERCENT) / 100
        + Self::MARGIN_MS;

    /// Returns the shortest usable leases, for a resend time that [`new`](Self::new) rejects.
    ///
    /// They expire before the resend only if that comes [`SHORTEST_MS`](Self::SHORTEST_MS) after the
    /// longest stop or later. A second attempt may overlap with the first one otherwise, if processes
    /// are paused.
    pub const fn shortest(resend_ms: u64, stop_ms: u64) -> Self {
        Self {
            link_ms: Self::MIN_LEASE_MS,
            run_ms: Self::MIN_LEASE_MS,
            stop_ms,
            resend_ms,
        }
    }

    /// The maximum of `link_ms`. Waiting longer on a silent link delays its jobs more than an
    /// unnecessary reconnect does.
    const MAX_LINK_MS: u64 = 2_000;

    /// Returns the time after the last lease extension by which a run is definitely over.
    pub const fn lease_expiry_ms(&self) -> u64 {
        Self::expiry_ms(self.run_ms)
    }

    /// Returns the time after the extension by a lease of `lease_ms` milliseconds by which a run is
    /// definitely over.
    pub(crate) const fn expiry_ms(lease_ms: u64) -> u64 {
        lease_ms * (100 + Self::MAX_DRIFT_PERCENT) / 100 + Self::MARGIN_MS / 2
    }

    /// Returns the longest lease, in milliseconds, that has definitely expired after `within_ms`
    /// milliseconds.
    pub(crate) fn lease_within_ms(&self, within_ms: u64) -> u64 {
        let lease_ms =
            within_ms.saturating_sub(Self::MARGIN_MS / 2) * 100 / (100 + Self::MAX_DRIFT_PERCENT);
        lease_ms.min(self.run_ms)
    }

    /// Returns the time after an agent last heard from an entry by which a run that the entry no
    /// longer wants must be over: its caller may have been lost since, and sends the job again, or the
    /// entry, which has lost the agent, places the task again.
    pub const fn unwanted_ms(&self) -> u64 {
        let before_resend = self.resend_ms.saturating_sub(Self::MARGIN_MS);
        let before_retry = self.orphan_ms() - Self::MARGIN_MS / 2;
        if before_resend < before_retry {
            before_resend
        } else {
            before_retry
        }
    }

    /// How long an orphaned long-running task waits for the next owner of its job, in milliseconds.
    /// An entry restarts within this time, and jobs released by a stopping entry are taken over
    /// within it.
    pub(crate) const ADOPTION_MS: u64 = 3_000;

    /// Returns the age from which an entry tells the others about an attempt. Younger ones are over
    /// before their callers may send them again, or old enough by then.
    pub const fn list_age_ms(&self) -> u64 {
        self.resend_ms * 3 / 10
    }

    /// Returns the interval between two lists of attempts to another entry.
    pub const fn list_interval_ms(&self) -> u64 {
        self.resend_ms * 3 / 20
    }

    /// Returns by how much the ages of two attempts may differ if a list tells one of them and a message
    /// takes long: the order in which they began can't be told from the ages, in milliseconds.
    pub const fn tie_ms(&self) -> u64 {
        Self::MARGIN_MS
    }

    /// Returns how long the end of a connection may arrive after a request that the network has held back,
    /// in milliseconds.
    pub const fn departure_ms(&self) -> u64 {
        Self::MARGIN_MS / 2
    }

    /// Returns the age by which an attempt ends unless all other entries know of it, in milliseconds:
    /// its runs are over before its caller may send it again.
    pub const fn unshared_ms(&self) -> u64 {
        self.resend_ms
            .saturating_sub(self.stop_ms + 2 * Self::MARGIN_MS)
    }

    /// Returns how long after a list was sent the other entries that got it hold its attempts at least,
    /// in milliseconds: a lost entry's attempts are held for the time of its leases.
    pub const fn known_ms(&self) -> u64 {
        self.orphan_ms()
    }

    /// Returns the time after a stop by which the entry has the reports of all ends, or has lost the links
    /// of the agents that owe one, in milliseconds. A report that came later would be taken for that of a
    /// later run.
    pub(crate) const fn report_ms(&self) -> u64 {
        self.orphan_ms() + self.link_ms + Self::MARGIN_MS
    }

    /// Returns how long the attempts of a lost entry are held if it is alive and can't be reached, in
    /// milliseconds: it ends them when they are no longer known, and its agents may lose it meanwhile.
    pub const fn unreachable_ms(&self) -> u64 {
        self.known_ms() + self.link_ms + self.stop_ms + Self::MARGIN_MS
    }

    /// Returns the age up to which a request that waited unread is accepted: the other entries
    /// learn of its attempt before its caller may send it again, and an order that a pause holds up
    /// is refused by then.
    pub const fn max_request_age_ms(&self) -> u64 {
        self.resend_ms
            .saturating_sub(self.link_ms + self.list_interval_ms())
    }

    /// Returns the time after an agent last heard from an entry by which a long-running task of
    /// that entry is definitely over, unless another entry adopts it.
    pub const fn adoption_ms(&self) -> u64 {
        self.orphan_ms() + Self::ADOPTION_MS
    }

    /// Returns the time after an agent last heard from an entry by which a run of that entry is
    /// definitely over.
    pub const fn orphan_ms(&self) -> u64 {
        self.link_ms + self.lease_expiry_ms() + self.stop_ms + Self::MARGIN_MS / 2
    }
}

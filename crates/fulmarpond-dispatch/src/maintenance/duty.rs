//! Which entry has the duty to maintain hosts.

use fulmarpond_core::Time;
use tracing::info;

/// The lease of an entry's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The lease in the store.
    pub number: u64,
    /// Until when it surely lasts.
    pub end: Time,
}

/// The pause between two attempts to get the duty, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// The duty as this entry knows it.
#[derive(Debug)]
pub(super) struct Duty {
    held: Option<Held>,
    /// The lease and the token under which this entry had the duty last: the store may still have it
    /// if only its answers were missing.
    last: Option<(u64, u64)>,
    /// Whether another entry is known to have had the duty.
    inherited: bool,
    /// When the duty may be asked for again.
    retry: Time,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// The lease that the duty was taken under.
    lease: u64,
    /// The fencing token.
    fence: u64,
    /// From when on orders may be given: an earlier holder may have given one just before.
    from: Time,
}

impl Duty {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            held: None,
            last: None,
            inherited: false,
            retry: now,
        }
    }

    /// Returns the revision that the duty must have to be taken under a lease.
    pub(super) fn expected(&self, lease: u64) -> u64 {
        let own = self.last.filter(|(known, _)| *known == lease);
        own.map_or(0, |(_, fence)| fence)
    }

    /// Gives the duty up if the lease that it was taken under has ended or may have. Returns whether
    /// it was held until now.
    pub(super) fn check(&mut self, lease: Option<Lease>, now: Time) -> bool {
        let Some(held) = self.held else {
            return false;
        };
        let stands = lease.is_some_and(|lease| lease.number == held.lease && now < lease.end);
        if !stands {
            info!(fence = held.fence, "duty to maintain hosts is lost");
            self.held = None;
        }
        !stands
    }

    /// Returns whether the duty is to be asked for.
    pub(super) fn is_wanted(&self, now: Time) -> bool {
        self.held.is_none() && now >= self.retry
    }

    /// Returns whether no entry is known to have had the duty before.
    pub(super) const fn is_first(&self) -> bool {
        !self.inherited && self.last.is_none()
    }

    /// Returns the fencing token, if orders may be given.
    pub(super) fn fence(&self, now: Time) -> Option<u64> {
        let held = self.held.filter(|held| now >= held.from)?;
        Some(held.fence)
    }

    pub(super) fn taken(&mut self, lease: u64, fence: u64, from: Time) {
        info!(fence, "duty to maintain hosts is taken");
        self.held = Some(Held { lease, fence, from });
        self.last = Some((lease, fence));
    }

    /// Notes that the duty was not taken: another entry has it or has had it, or an earlier attempt
    /// under the own lease was made and its answer was lost.
    pub(super) fn refused(&mut self, lease: u64, holder: Option<(u64, u64)>, now: Time) {
        self.last = holder.filter(|(known, _)| *known == lease);
        let at_once = self.last.is_some() || (holder.is_none() && !self.inherited);
        self.inherited = true;
        if !at_once {
            self.missed(now);
        }
    }

    /// Notes that the store did not answer.
    pub(super) fn missed(&mut self, now: Time) {
        self.retry = now.after_millis(RETRY_MS);
    }

    /// Gives the duty up after an order was refused for a higher token.
    pub(super) fn fenced(&mut self, now: Time) {
        info!("an order was fenced, giving the duty up");
        self.held = None;
        self.missed(now);
    }
}

//! The maintenance duty: a lock in the store that allows one entry at a time to maintain hosts.

use fulmarpond_core::Time;
use tracing::info;

/// The lease of an entry's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The id of the lease in the store.
    pub number: u64,
    /// The time until which it is guaranteed to be valid.
    pub end: Time,
}

/// The interval between attempts to acquire the duty, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// The state of the maintenance duty as seen by this entry.
#[derive(Debug)]
pub(super) struct MaintenanceDuty {
    held: Option<Held>,
    /// The lease and the fencing token with which this entry last held the duty. The key may still
    /// be in the store, for example if only the replies to renewals of the lease were lost.
    last_held: Option<(u64, u64)>,
    /// Whether another entry, or a lost attempt of this one, may have held the duty.
    had_other_holder: bool,
    /// When the next attempt to acquire the duty is due.
    next_attempt: Time,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// The lease that the key of the duty is attached to.
    lease: u64,
    /// The fencing token.
    fence: u64,
    /// The time from which orders may be sent: the previous holder may have sent one shortly before
    /// it lost the duty.
    orders_from: Time,
}

impl MaintenanceDuty {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            held: None,
            last_held: None,
            had_other_holder: false,
            next_attempt: now,
        }
    }

    /// Returns the revision that the key of the duty must have for this entry to acquire it; 0 if
    /// the key must not exist.
    pub(super) fn expected_revision(&self, lease: u64) -> u64 {
        let own = self.last_held.filter(|(known, _)| *known == lease);
        own.map_or(0, |(_, fence)| fence)
    }

    /// Releases the duty if the lease that it depends on has expired or may have. Returns whether
    /// the duty was held until then.
    pub(super) fn release_if_expired(&mut self, lease: Option<Lease>, now: Time) -> bool {
        let Some(held) = self.held else {
            return false;
        };
        let is_valid = lease.is_some_and(|lease| lease.number == held.lease && now < lease.end);
        if !is_valid {
            info!(
                fence = held.fence,
                "duty to maintain hosts is lost: its lease is no longer valid"
            );
            self.held = None;
        }
        !is_valid
    }

    /// Returns whether an attempt to acquire the duty is due.
    pub(super) fn should_acquire(&self, now: Time) -> bool {
        self.held.is_none() && now >= self.next_attempt
    }

    /// Returns whether no entry is known to have held the duty before.
    pub(super) const fn is_first_holder(&self) -> bool {
        !self.had_other_holder && self.last_held.is_none()
    }

    /// Returns the fencing token if this entry may send orders.
    pub(super) fn fencing_token(&self, now: Time) -> Option<u64> {
        let held = self.held.filter(|held| now >= held.orders_from)?;
        Some(held.fence)
    }

    /// Records that the duty was acquired, with orders allowed from a given time.
    pub(super) fn record_acquired(&mut self, lease: u64, fence: u64, orders_from: Time) {
        info!(fence, "duty to maintain hosts is taken");
        self.held = Some(Held {
            lease,
            fence,
            orders_from,
        });
        self.last_held = Some((lease, fence));
    }

    /// Records that the duty was not acquired: another entry holds it or has held it, or an earlier
    /// attempt under this entry's lease succeeded and its reply was lost.
    pub(super) fn record_refused(&mut self, lease: u64, holder: Option<(u64, u64)>, now: Time) {
        self.last_held = holder.filter(|(known, _)| *known == lease);
        let retry_at_once =
            self.last_held.is_some() || (holder.is_none() && !self.had_other_holder);
        self.had_other_holder = true;
        if !retry_at_once {
            self.schedule_retry(now);
        }
    }

    /// Schedules the next attempt after the retry interval.
    pub(super) fn schedule_retry(&mut self, now: Time) {
        self.next_attempt = now.after_millis(RETRY_INTERVAL_MS);
    }

    /// Releases the duty after a write or an order was refused because its fencing token is stale.
    pub(super) fn release_fenced(&mut self, now: Time) {
        info!("duty to maintain hosts is lost: its fencing token is no longer valid");
        self.held = None;
        self.schedule_retry(now);
    }
}

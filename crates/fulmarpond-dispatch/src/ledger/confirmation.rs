//! Confirmations that the cache has every job that the store has.
//!
//! The watch lags behind, and its replies may be read late, so a job that is missing in the cache may
//! still be stored. A read of the changes that was sent later than the job was heard of shows it.

use fulmarpond_core::Time;

use super::ledger::{BACKOFF_MS, Event, Ledger, REPLY_TIMEOUT_MS};
use crate::directory::{Activity, StoreCall, StoreReply};
use crate::pacing::Pacing;

/// The minimum interval between two confirmations, in milliseconds.
const INTERVAL_MS: u64 = 50;

/// The requested confirmation, and the call in flight.
#[derive(Debug)]
pub(super) struct Confirmation {
    is_requested: bool,
    /// When the call in flight was sent; `None` if the cache was discarded since.
    sent: Option<Time>,
    pacing: Pacing,
}

impl Confirmation {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            is_requested: false,
            sent: None,
            pacing: Pacing::new(BACKOFF_MS, now),
        }
    }

    /// Returns when the next read is due.
    pub(super) fn next_wake(&self) -> Time {
        if self.is_requested {
            self.pacing.next_wake()
        } else {
            Time::MAX
        }
    }

    /// Discards the reply to the call in flight.
    pub(super) const fn invalidate(&mut self) {
        self.sent = None;
    }
}

impl Ledger {
    /// Requests a confirmation that the cache has all jobs that are stored by now.
    pub const fn request_confirmation(&mut self) {
        self.confirmation.is_requested = self.is_loaded();
    }

    pub(super) fn send_confirmation(
        &mut self,
        now: Time,
        out: &mut Vec<(Activity, StoreCall, u64)>,
    ) {
        let Some(after) = self.synced_revision else {
            self.confirmation.is_requested = false;
            return;
        };
        let confirmation = &mut self.confirmation;
        let is_due = !confirmation.pacing.in_flight && now >= confirmation.pacing.due;
        if !confirmation.is_requested || !is_due {
            return;
        }
        confirmation.is_requested = false;
        confirmation.pacing.in_flight = true;
        confirmation.sent = Some(now);
        let call = StoreCall::WatchJobs { after, wait: 0 };
        out.push((Activity::Confirmation, call, REPLY_TIMEOUT_MS));
    }

    /// Adds the jobs that have changed since the last watch to the cache, which then has all jobs that
    /// were stored when the call was sent.
    pub(super) fn handle_confirmation_reply(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.confirmation.pacing.in_flight = false;
        let sent = self.confirmation.sent.take();
        let Some(Ok(StoreReply::JobChanges { items, .. })) = reply else {
            self.confirmation.pacing.record_failure(now);
            return;
        };
        self.confirmation
            .pacing
            .record_success(now.after_millis(INTERVAL_MS));
        let Some(sent) = sent else {
            return;
        };
        for item in items {
            self.observe_item(item, now, out);
        }
        out.push(Event::Confirmed(sent));
    }
}

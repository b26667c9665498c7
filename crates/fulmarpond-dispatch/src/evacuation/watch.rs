//! The list and the watch of evacuations in the store, as an agent reads them.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::{Evacuations, ListReader};
use crate::directory::{StoreCall, StoreReply};
use crate::pacing::Pacing;
use crate::rendezvous;

/// The longest time that a watch waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// The share of the bound for evacuations that a watch may wait, in percent. A watch whose
/// connection has silently failed hides a change until its timeout, and the list has to be read
/// after that.
const WAIT_SHARE_PERCENT: u64 = 40;

/// The timeout of a call beyond the time that it waits in the store, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 450;

/// The first and the longest backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (60, 800);

/// An action for the driver to carry out, or a list that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAction {
    /// Call the store, and report the outcome with [`EvacuationWatch::handle_reply`].
    Call {
        /// The number of the call.
        number: u64,
        /// The call.
        call: StoreCall,
        /// The timeout of the call, in milliseconds.
        timeout: u64,
    },
    /// The list was read.
    Listed(Evacuations),
}

/// Reads the list of evacuated zones, and watches it for changes.
#[derive(Debug)]
pub struct EvacuationWatch {
    /// The name of the reader, from which the jitter of its backoff is derived.
    name: String,
    wait_ms: u64,
    pacing: Pacing,
    reader: ListReader,
    /// The revision to watch from; `None` if the list has to be read.
    revision: Option<u64>,
    /// The revision that the list must have at least; an older one is a stale read.
    required: u64,
    /// The number of the last call.
    last_call: u64,
    is_reachable: bool,
}

impl EvacuationWatch {
    /// Creates a watch that keeps the given bound, in milliseconds.
    pub fn new(name: String, bound_ms: u64, now: Time) -> Self {
        Self {
            name,
            wait_ms: (bound_ms * WAIT_SHARE_PERCENT / 100).min(MAX_WAIT_MS),
            pacing: Pacing::new(BACKOFF_MS, now),
            reader: ListReader::default(),
            revision: None,
            required: 0,
            last_call: 0,
            is_reachable: true,
        }
    }

    /// Returns when [`tick`](Self::tick) is due.
    pub fn next_wake(&self) -> Time {
        self.pacing.next_wake()
    }

    /// Reads the list anew and ignores the reply to a call in flight, which may be old.
    pub fn restart(&mut self, now: Time) {
        self.pacing.record_success(now);
        self.pacing.in_flight = false;
        self.reader.restart();
        self.revision = None;
        self.last_call += 1;
    }

    /// Emits the next call if it is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<WatchAction>) {
        if self.pacing.in_flight || now < self.pacing.due {
            return;
        }
        self.pacing.in_flight = true;
        self.last_call += 1;
        let (call, wait) = match self.revision {
            None => (self.reader.next_call(), 0),
            Some(after) => {
                let wait = self.wait_ms;
                (StoreCall::WatchEvacuations { after, wait }, wait)
            }
        };
        out.push(WatchAction::Call {
            number: self.last_call,
            call,
            timeout: wait + REPLY_TIMEOUT_MS,
        });
    }

    /// Handles the outcome of a call; `None` is a call that failed.
    pub fn handle_reply(
        &mut self,
        number: u64,
        reply: Option<StoreReply>,
        now: Time,
        out: &mut Vec<WatchAction>,
    ) {
        if number != self.last_call || !self.pacing.in_flight {
            return;
        }
        self.pacing.in_flight = false;
        let Some(reply) = reply else {
            self.record_failure(now);
            return;
        };
        self.pacing.record_success(now);
        if !self.is_reachable {
            info!("store answers again");
            self.is_reachable = true;
        }
        match reply {
            StoreReply::EvacuationPage { names, next, at } => {
                if let Some(list) = self.reader.add_page(names, next, at) {
                    if list.revision() < self.required {
                        debug!(
                            revision = list.revision(),
                            required = self.required,
                            "list of evacuations is outdated, reading it again"
                        );
                        self.back_off(now);
                    } else {
                        self.revision = Some(list.revision());
                    }
                    out.push(WatchAction::Listed(list));
                }
            }
            StoreReply::Changed { any: false, at } => {
                self.revision = self.revision.max(Some(at));
            }
            StoreReply::Changed { any: true, at } => {
                self.required = self.required.max(at);
                self.revision = None;
            }
            StoreReply::Compacted => self.revision = None,
            reply => {
                warn!(?reply, "unexpected reply from the store");
                self.record_failure(now);
            }
        }
    }

    /// Reads the list after a failed call, since a change may have been missed with it.
    fn record_failure(&mut self, now: Time) {
        if self.is_reachable {
            warn!("store does not answer, the last list of evacuations stays in force");
            self.is_reachable = false;
        }
        self.reader.restart();
        self.revision = None;
        self.back_off(now);
    }

    /// Delays the next call by up to half of its backoff less, so that the agents that lost the
    /// store together do not return to it together.
    fn back_off(&mut self, now: Time) {
        self.pacing.record_failure(now);
        let backoff_ms = self.pacing.due.remaining_millis(now);
        let weight = rendezvous::weight(&self.name, &self.last_call.to_string());
        let jitter_ms = weight % (backoff_ms / 2 + 1);
        self.pacing.due = now.after_millis(backoff_ms - jitter_ms);
    }
}

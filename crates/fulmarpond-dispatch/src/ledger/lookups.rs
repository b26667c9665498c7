//! Reads of jobs that a caller asks for and that are not in the local cache.
//!
//! The cache lags behind the writes of other entries, so a job that is missing in it may have been
//! accepted by another entry shortly before.

use std::collections::VecDeque;

use fulmarpond_core::Time;

use super::ledger::{BACKOFF_MS, Event, Ledger, REPLY_TIMEOUT_MS};
use crate::JobId;
use crate::directory::{Activity, StoreCall, StoreReply};
use crate::pacing::Pacing;

/// A queue of jobs to read, one at a time.
#[derive(Debug)]
pub(super) struct Lookups {
    queue: VecDeque<JobId>,
    pacing: Pacing,
}

impl Lookups {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            queue: VecDeque::new(),
            pacing: Pacing::new(BACKOFF_MS, now),
        }
    }

    /// Returns when the next read is due.
    pub(super) fn next_wake(&self) -> Time {
        if self.queue.is_empty() {
            Time::MAX
        } else {
            self.pacing.next_wake()
        }
    }
}

impl Ledger {
    /// Queues a read of the state of a job from the store.
    pub fn look_up(&mut self, job: &JobId) {
        if !self.lookups.queue.contains(job) {
            self.lookups.queue.push_back(job.clone());
        }
    }

    pub(super) fn send_lookup(&mut self, now: Time, out: &mut Vec<(Activity, StoreCall, u64)>) {
        let Some(job) = self.lookups.queue.front() else {
            return;
        };
        if self.lookups.pacing.in_flight || now < self.lookups.pacing.due {
            return;
        }
        self.lookups.pacing.in_flight = true;
        let call = StoreCall::ReadState { job: job.clone() };
        out.push((Activity::Lookup, call, REPLY_TIMEOUT_MS));
    }

    pub(super) fn handle_lookup_reply(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.lookups.pacing.in_flight = false;
        let Some(Ok(StoreReply::State(item))) = reply else {
            self.lookups.pacing.record_failure(now);
            // Fails all queued reads at once, since the store does not answer; the callers retry.
            let jobs = self.lookups.queue.drain(..);
            out.extend(jobs.map(Event::LookupFailed));
            return;
        };
        self.lookups.pacing.record_success(now);
        let Some(job) = self.lookups.queue.pop_front() else {
            return;
        };
        match item {
            Some(item) => {
                self.observe_item(item, now, out);
                out.push(Event::Found(job));
            }
            None => out.push(Event::Missing(job)),
        }
    }
}

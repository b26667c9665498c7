//! Jobs that a caller names and that are not known here.
//!
//! Changes of other entries are seen some time after they were made, so a job that is not known may
//! have been accepted a moment ago.

use std::collections::VecDeque;

use fulmarpond_core::Time;

use super::ledger::{Event, Ledger, PAUSE_MS, REPLY_MS};
use crate::JobId;
use crate::directory::{Duty, StoreCall, StoreReply};
use crate::pacing::Pacing;

/// The jobs to be read, one at a time.
#[derive(Debug)]
pub(super) struct Lookups {
    jobs: VecDeque<JobId>,
    pacing: Pacing,
}

impl Lookups {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            jobs: VecDeque::new(),
            pacing: Pacing::new(PAUSE_MS, now),
        }
    }

    /// Returns when the next job can be read.
    pub(super) fn wake(&self) -> Time {
        if self.jobs.is_empty() {
            Time::MAX
        } else {
            self.pacing.wake()
        }
    }
}

impl Ledger {
    /// Reads the state of a job from the store.
    pub fn look_up(&mut self, job: &JobId) {
        if !self.lookups.jobs.contains(job) {
            self.lookups.jobs.push_back(job.clone());
        }
    }

    pub(super) fn send_lookup(&mut self, now: Time, out: &mut Vec<(Duty, StoreCall, u64)>) {
        let Some(job) = self.lookups.jobs.front() else {
            return;
        };
        if self.lookups.pacing.in_flight || now < self.lookups.pacing.due {
            return;
        }
        self.lookups.pacing.in_flight = true;
        let call = StoreCall::ReadState { job: job.clone() };
        out.push((Duty::Lookup, call, REPLY_MS));
    }

    pub(super) fn lookup_answered(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.lookups.pacing.in_flight = false;
        let Some(Ok(StoreReply::State(item))) = reply else {
            self.lookups.pacing.record_failure(now);
            // Callers ask again; all of them are told at once.
            let jobs = self.lookups.jobs.drain(..);
            out.extend(jobs.map(Event::NotRead));
            return;
        };
        self.lookups.pacing.record_success(now);
        let Some(job) = self.lookups.jobs.pop_front() else {
            return;
        };
        match item {
            Some(item) => {
                self.see(item, now, out);
                out.push(Event::Found(job));
            }
            None => out.push(Event::Missing(job)),
        }
    }
}

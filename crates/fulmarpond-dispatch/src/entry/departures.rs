//! Requests that the network may have held back, whose callers may have left.
//!
//! A caller that got no answer leaves and sends its job again elsewhere. What holds its first request back (a
//! cut, a retransmission whose timer has grown, a front) delivers the request, and one round trip later
//! the end of the connection: a request that looks fresh would start its tasks beside those of the next
//! attempt, and stop them at once. So the first start of such a request waits for the time in which the end
//! of its connection would arrive.

use std::collections::BTreeSet;

use fulmarpond_core::Time;

use super::Action;
use super::entry::Entry;
use super::held_requests::{EndEvidence, HeldRequest};
use super::job::Job;
use crate::{JobId, LeaseTimes};

/// The share of its slack that a job waits at most, so that a short one pays little. It is more than a round
/// trip in a zone.
const SLACK_SHARE: u64 = 16;

/// Returns how long the first start of a job waits for the end of its caller's connection, in
/// milliseconds: not at all if the caller was heard of so short a time ago that it can't have sent the job
/// again before the runs are over.
pub(super) fn departure_wait_ms(job: &Job, held_back_ms: u64, lease_times: LeaseTimes) -> u64 {
    if held_back_ms < lease_times.unshared_ms() {
        return 0;
    }
    let slack_ms = job.start_by.millis_since(job.arrived);
    lease_times.departure_ms().min(slack_ms / SLACK_SHARE)
}

/// The jobs whose first start waits for the end of their callers' connections, by the end of the wait.
#[derive(Debug, Default)]
pub(super) struct Departures {
    due: BTreeSet<(Time, JobId)>,
}

impl Departures {
    fn add(&mut self, until: Time, job: JobId) {
        self.due.insert((until, job));
    }

    /// Returns when the first wait ends.
    pub(super) fn next_wake(&self) -> Time {
        self.due.first().map_or(Time::MAX, |(until, _)| *until)
    }

    /// Removes the waits that are over; returns whether there were any.
    fn remove_due(&mut self, now: Time) -> bool {
        let before = self.due.len();
        while self.due.first().is_some_and(|(until, _)| now >= *until) {
            self.due.pop_first();
        }
        self.due.len() < before
    }
}

impl Entry {
    /// Lets a job that has no earlier attempt wait for the end of its caller's connection.
    pub(super) fn await_departure(&mut self, job: &Job, until: Time, now: Time) {
        let held = HeldRequest {
            is_clear: true,
            ..HeldRequest::new(job, until, now)
        };
        self.held.insert(job.id.clone(), held);
        self.departures.add(until, job.id.clone());
    }

    /// Admits the jobs whose callers have not left within the wait.
    pub(super) fn start_undeparted(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.departures.remove_due(now) {
            self.release_held(EndEvidence::CallerStays, now, out);
        }
    }
}

//! The queue of changes to write to the store, and the calls in flight.

use std::collections::BTreeMap;

use fulmarpond_core::Time;

use super::record::{JobSpec, JobState};
use crate::JobId;
use crate::directory::Lane;
use crate::pacing::Pacing;

/// A change of the stored items of a job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Change {
    /// The specification, if the job is new.
    pub(super) spec: Option<JobSpec>,
    /// The new state, or `None` to remove the job.
    pub(super) state: Option<JobState>,
}

impl Change {
    /// Returns the number of operations that the change adds to a transaction: its condition, and
    /// the items that it writes or removes.
    const fn operations(&self) -> usize {
        let writes_both = self.spec.is_some() || self.state.is_none();
        if writes_both { 3 } else { 2 }
    }
}

/// The number of calls that one entry may have in flight. One is enough while the store answers
/// within the interval between calls; four let it take ten times as long.
const LANE_COUNT: usize = 4;

/// A lane for one call at a time, with its changes, which stay until their outcome is known.
#[derive(Debug)]
struct Call {
    changes: Vec<(JobId, Change)>,
    pacing: Pacing,
}

/// Changes by job. A newer change replaces a queued one of the same job.
#[derive(Debug)]
pub(super) struct CommitQueue {
    queued: BTreeMap<JobId, Change>,
    calls: [Call; LANE_COUNT],
}

impl CommitQueue {
    pub(super) fn new(backoff_ms: (u64, u64), now: Time) -> Self {
        Self {
            queued: BTreeMap::new(),
            calls: std::array::from_fn(|_| Call {
                changes: Vec::new(),
                pacing: Pacing::new(backoff_ms, now),
            }),
        }
    }

    pub(super) fn enqueue(&mut self, job: JobId, change: Change) {
        match self.queued.get_mut(&job) {
            // Only the state is replaced: the specification of a new job still has to be written.
            Some(queued) => queued.state = change.state,
            None => {
                self.queued.insert(job, change);
            }
        }
    }

    /// Returns a lane without a call in flight whose next call is due.
    pub(super) fn next_lane(&self, now: Time) -> Option<Lane> {
        let is_due = |call: &Call| self.has_work(call) && now >= call.pacing.due;
        let lane = self.calls.iter().position(is_due)?;
        u8::try_from(lane).ok().map(Lane)
    }

    /// Returns when the next call is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        let calls = self.calls.iter().filter(|call| self.has_work(call));
        calls.map(|call| call.pacing.due).min()
    }

    fn has_work(&self, call: &Call) -> bool {
        let has_changes =
            !call.changes.is_empty() || self.queued.keys().any(|job| !self.is_in_flight(job));
        has_changes && !call.pacing.in_flight
    }

    /// Returns whether the last call of every lane failed and all lanes are backing off.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        self.calls
            .iter()
            .all(|call| call.pacing.is_failing() && now < call.pacing.due)
    }

    /// Starts a call: moves queued changes into the lane, up to a number of operations per call.
    pub(super) fn start_call(&mut self, lane: Lane, max_operations: usize) -> &[(JobId, Change)] {
        let changes = self.call(lane).changes.iter();
        let mut operations: usize = changes.map(|(_, change)| change.operations()).sum();
        let mut next = Vec::new();
        for (job, change) in &self.queued {
            // A change builds on the previous one of the same job, whose outcome must be known
            // first.
            if self.is_in_flight(job) {
                continue;
            }
            operations += change.operations();
            if operations > max_operations {
                break;
            }
            next.push(job.clone());
        }
        let started: Vec<(JobId, Change)> = next
            .into_iter()
            .filter_map(|job| self.queued.remove_entry(&job))
            .collect();
        let call = self.call_mut(lane);
        call.pacing.in_flight = true;
        call.changes.extend(started);
        &call.changes
    }

    /// Completes an answered call; returns its changes.
    pub(super) fn complete(&mut self, lane: Lane, now: Time) -> Vec<(JobId, Change)> {
        let call = self.call_mut(lane);
        call.pacing.in_flight = false;
        call.pacing.record_success(now);
        std::mem::take(&mut call.changes)
    }

    /// Backs off after a failed call; returns its changes.
    pub(super) fn fail(&mut self, lane: Lane, now: Time) -> Vec<(JobId, Change)> {
        let call = self.call_mut(lane);
        call.pacing.in_flight = false;
        call.pacing.record_failure(now);
        std::mem::take(&mut call.changes)
    }

    /// Puts changes whose outcome is unknown back into their lane, to be sent again.
    pub(super) fn restore_in_flight(&mut self, lane: Lane, changes: Vec<(JobId, Change)>) {
        self.call_mut(lane).changes = changes;
    }

    /// Queues a change again. A newer queued change only takes over its specification.
    pub(super) fn retry(&mut self, job: JobId, change: Change) {
        match self.queued.get_mut(&job) {
            Some(queued) => queued.spec = change.spec,
            None => {
                self.queued.insert(job, change);
            }
        }
    }

    pub(super) fn discard(&mut self, job: &JobId) {
        self.queued.remove(job);
    }

    pub(super) fn take_queued(&mut self, job: &JobId) -> Option<Change> {
        self.queued.remove(job)
    }

    /// Returns whether a change of a job is queued or in flight.
    pub(super) fn has_change(&self, job: &JobId) -> bool {
        self.queued.contains_key(job) || self.is_in_flight(job)
    }

    /// Returns whether a change of a job is in flight, or its outcome is unknown.
    pub(super) fn is_in_flight(&self, job: &JobId) -> bool {
        let mut changes = self.calls.iter().flat_map(|call| &call.changes);
        changes.any(|(known, _)| known == job)
    }

    /// Returns the number of changes that are queued or in flight.
    pub(super) fn len(&self) -> usize {
        let in_flight: usize = self.calls.iter().map(|call| call.changes.len()).sum();
        self.queued.len() + in_flight
    }

    fn call(&self, lane: Lane) -> &Call {
        &self.calls[usize::from(lane.0)]
    }

    fn call_mut(&mut self, lane: Lane) -> &mut Call {
        &mut self.calls[usize::from(lane.0)]
    }
}

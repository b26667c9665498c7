//! Changes that wait to be written.

use std::collections::BTreeMap;

use fulmarpond_core::Time;

use super::record::{JobSpec, JobState};
use crate::JobId;
use crate::directory::Lane;
use crate::pacing::Pacing;

/// A change of a job's items.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Change {
    /// What was submitted, if the job is new.
    pub(super) spec: Option<JobSpec>,
    /// The state; nothing removes the job.
    pub(super) state: Option<JobState>,
}

impl Change {
    /// Returns how many entries of a call it takes: its condition, and the items that it writes or
    /// removes.
    const fn entries(&self) -> usize {
        let writes_both = self.spec.is_some() || self.state.is_none();
        if writes_both { 3 } else { 2 }
    }
}

/// How many calls of one entry may be under way. One is enough while the store answers within the
/// pause between calls; four let it take ten times as long.
const LANES: usize = 4;

/// A call with its changes, which stay until their outcome is known.
#[derive(Debug)]
struct Call {
    changes: Vec<(JobId, Change)>,
    pacing: Pacing,
}

/// Changes by job: a newer one replaces one that is not sent yet.
#[derive(Debug)]
pub(super) struct Commits {
    waiting: BTreeMap<JobId, Change>,
    calls: [Call; LANES],
}

impl Commits {
    pub(super) fn new(pauses: (u64, u64), now: Time) -> Self {
        Self {
            waiting: BTreeMap::new(),
            calls: std::array::from_fn(|_| Call {
                changes: Vec::new(),
                pacing: Pacing::new(pauses, now),
            }),
        }
    }

    pub(super) fn push(&mut self, job: JobId, change: Change) {
        match self.waiting.get_mut(&job) {
            // What was submitted must not get lost with a newer state.
            Some(known) => known.state = change.state,
            None => {
                self.waiting.insert(job, change);
            }
        }
    }

    /// Returns the lane of the next call, if one is due.
    pub(super) fn next_lane(&self, now: Time) -> Option<Lane> {
        let due = |call: &Call| self.has_work(call) && now >= call.pacing.due;
        let lane = self.calls.iter().position(due)?;
        u8::try_from(lane).ok().map(Lane)
    }

    /// Returns when the next call is due.
    pub(super) fn due(&self) -> Option<Time> {
        let calls = self.calls.iter().filter(|call| self.has_work(call));
        calls.map(|call| call.pacing.due).min()
    }

    fn has_work(&self, call: &Call) -> bool {
        let any = !call.changes.is_empty() || self.waiting.keys().any(|job| !self.is_sent(job));
        any && !call.pacing.in_flight
    }

    /// Returns whether no call is answered at present and none is due.
    pub(super) fn are_failing(&self, now: Time) -> bool {
        self.calls
            .iter()
            .all(|call| call.pacing.is_failing() && now < call.pacing.due)
    }

    /// Moves the next changes under way, up to a number of entries in one call.
    pub(super) fn begin(&mut self, lane: Lane, most: usize) -> &[(JobId, Change)] {
        let changes = self.call(lane).changes.iter();
        let mut used: usize = changes.map(|(_, change)| change.entries()).sum();
        let mut next = Vec::new();
        for (job, change) in &self.waiting {
            // A change is derived from the one before it, whose outcome has to be known.
            if self.is_sent(job) {
                continue;
            }
            used += change.entries();
            if used > most {
                break;
            }
            next.push(job.clone());
        }
        let moved: Vec<(JobId, Change)> = next
            .into_iter()
            .filter_map(|job| self.waiting.remove_entry(&job))
            .collect();
        let call = self.call_mut(lane);
        call.pacing.in_flight = true;
        call.changes.extend(moved);
        &call.changes
    }

    /// Takes note that a call was answered; returns the changes that were under way.
    pub(super) fn answered(&mut self, lane: Lane, now: Time) -> Vec<(JobId, Change)> {
        let call = self.call_mut(lane);
        call.pacing.in_flight = false;
        call.pacing.record_success(now);
        std::mem::take(&mut call.changes)
    }

    /// Takes note that a call failed; returns the changes that were under way.
    pub(super) fn failed(&mut self, lane: Lane, now: Time) -> Vec<(JobId, Change)> {
        let call = self.call_mut(lane);
        call.pacing.in_flight = false;
        call.pacing.record_failure(now);
        std::mem::take(&mut call.changes)
    }

    /// Keeps changes under way whose outcome is not known.
    pub(super) fn keep(&mut self, lane: Lane, changes: Vec<(JobId, Change)>) {
        self.call_mut(lane).changes = changes;
    }

    /// Puts a change back, unless a newer one waits.
    pub(super) fn retry(&mut self, job: JobId, change: Change) {
        match self.waiting.get_mut(&job) {
            Some(newer) => newer.spec = change.spec,
            None => {
                self.waiting.insert(job, change);
            }
        }
    }

    pub(super) fn forget(&mut self, job: &JobId) {
        self.waiting.remove(job);
    }

    pub(super) fn take_waiting(&mut self, job: &JobId) -> Option<Change> {
        self.waiting.remove(job)
    }

    pub(super) fn is_waiting(&self, job: &JobId) -> bool {
        self.waiting.contains_key(job) || self.is_sent(job)
    }

    /// Returns whether a change of a job is under way.
    pub(super) fn is_sent(&self, job: &JobId) -> bool {
        let mut changes = self.calls.iter().flat_map(|call| &call.changes);
        changes.any(|(known, _)| known == job)
    }

    pub(super) fn len(&self) -> usize {
        let sent: usize = self.calls.iter().map(|call| call.changes.len()).sum();
        self.waiting.len() + sent
    }

    fn call(&self, lane: Lane) -> &Call {
        &self.calls[usize::from(lane.0)]
    }

    fn call_mut(&mut self, lane: Lane) -> &mut Call {
        &mut self.calls[usize::from(lane.0)]
    }
}

//! Changes of jobs in the store, and what their outcomes mean.

use std::collections::HashMap;

use fulmarpond_core::Time;
use tracing::{debug, warn};

use super::commits::Change;
use super::ledger::{Event, Known, Ledger, REPLY_MS, read_item};
use super::record::Status;
use crate::directory::{CommitRow, Duty, JobItem, Lane, StoreCall, StoreReply};
use crate::{JobId, encode};

/// The most entries in one change of the store: conditions, writes and removals.
const MOST_ENTRIES: usize = 32;

/// The shortest pause between two calls, in milliseconds.
const COMMIT_MS: u64 = 25;

/// The share of the store's writes that all entries together use, in percent.
const WRITE_PERCENT: u64 = 50;

impl Ledger {
    /// Sends the changes that are due.
    pub(super) fn send_commits(&mut self, now: Time, out: &mut Vec<(Duty, StoreCall, u64)>) {
        if now < self.next_commit {
            return;
        }
        let Some(lane) = self.commits.next_lane(now) else {
            return;
        };
        self.next_commit = now.after_millis(self.commit_pause());
        out.push((Duty::Commit(lane), self.commit_call(lane), REPLY_MS));
    }

    fn commit_call(&mut self, lane: Lane) -> StoreCall {
        let changes = self.commits.begin(lane, MOST_ENTRIES);
        let rows = changes.iter().map(|(job, change)| CommitRow {
            job: job.clone(),
            expected: self.bases.get(job).copied().unwrap_or_default(),
            spec: change.spec.as_ref().map(encode),
            state: change.state.as_ref().map(encode),
        });
        StoreCall::CommitJobs {
            rows: rows.collect(),
        }
    }

    /// Returns the pause between changes that keeps all entries within the store's rate.
    pub(super) fn commit_pause(&self) -> u64 {
        let entries = self.entries.len().max(1) as u64;
        let share = (self.options.writes * WRITE_PERCENT / 100).max(1);
        (entries * 1_000 / share).max(COMMIT_MS)
    }

    pub(super) fn commit_answered(
        &mut self,
        lane: Lane,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        match reply {
            Some(Ok(StoreReply::Committed { revision })) => {
                for (job, change) in self.commits.answered(lane, now) {
                    self.written(job, change, revision, now, out);
                }
            }
            Some(Ok(StoreReply::Conflict { items })) => {
                let changes = self.commits.answered(lane, now);
                self.conflict(changes, items, now, out);
            }
            Some(refusal) => {
                warn!(
                    ?refusal,
                    changes = self.commits.len(),
                    "store refused a change of jobs"
                );
                self.refuse_fresh(lane, false, now, out);
            }
            // The change may have been made: the same one is sent again, and a conflict with
            // itself tells that it was.
            None => self.refuse_fresh(lane, true, now, out),
        }
    }

    /// Tells the callers of new jobs that these are not kept yet.
    ///
    /// A change that may have been made stays under way, since the job may be in the store.
    fn refuse_fresh(&mut self, lane: Lane, unsure: bool, now: Time, out: &mut Vec<Event>) {
        let mut left = Vec::new();
        for (job, change) in self.commits.failed(lane, now) {
            let fresh = self.fresh.contains(&job);
            // A refusal says nothing about an earlier attempt without an answer.
            if fresh && !unsure && !self.unsure.contains(&job) {
                self.fresh.remove(&job);
                self.commits.forget(&job);
                out.push(Event::NotKept(job));
                continue;
            }
            if fresh {
                self.unsure.insert(job.clone());
                out.push(Event::MayBeKept(job.clone()));
            }
            left.push((job, change));
        }
        self.commits.keep(lane, left);
        // Nothing is known to work now, and these were never sent.
        for job in self.fresh.clone() {
            if !self.commits.is_sent(&job) && !self.unsure.contains(&job) {
                self.fresh.remove(&job);
                self.commits.forget(&job);
                out.push(Event::NotKept(job));
            }
        }
    }

    pub(super) fn written(
        &mut self,
        job: JobId,
        change: Change,
        revision: u64,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let Some(state) = change.state else {
            self.jobs.remove(&job);
            self.bases.remove(&job);
            return;
        };
        if state.owner == self.options.owner && state.status == Status::Open {
            self.bases.insert(job.clone(), revision);
        } else if !self.commits.is_waiting(&job) {
            self.bases.remove(&job);
        }
        let ended = (state.status != Status::Open).then_some(now);
        let known = Known {
            state: state.clone(),
            revision,
            ended,
        };
        let newer = self
            .jobs
            .get(&job)
            .is_some_and(|present| present.revision > revision);
        if !newer {
            self.jobs.insert(job.clone(), known);
        }
        if self.settle(&job) {
            out.push(Event::Kept(job.clone()));
        }
        out.push(Event::Written(job, state));
    }

    /// Takes note that the first change of a job is made or can't be; returns whether that was open.
    fn settle(&mut self, job: &JobId) -> bool {
        self.unsure.remove(job);
        self.fresh.remove(job)
    }

    /// Sorts out a change that was refused because some state is another one.
    fn conflict(
        &mut self,
        changes: Vec<(JobId, Change)>,
        items: Vec<JobItem>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let present: HashMap<JobId, JobItem> = items
            .into_iter()
            .map(|item| (item.job.clone(), item))
            .collect();
        for (job, change) in changes {
            let known = present.get(&job).and_then(|item| read_item(item, now));
            let expected = self.bases.get(&job).copied().unwrap_or_default();
            let revision = known.as_ref().map_or(0, |known| known.revision);
            if revision == expected {
                self.commits.retry(job, change);
                continue;
            }
            let Some(known) = known else {
                // The job is gone, or its state can't be read.
                self.jobs.remove(&job);
                self.settle(&job);
                out.push(Event::Lost(job));
                continue;
            };
            if Some(&known.state) == change.state.as_ref() {
                debug!(%job, "an earlier attempt of this change was made");
                self.written(job, change, revision, now, out);
                continue;
            }
            debug!(%job, expected, revision, owner = known.state.owner.name, status = ?known.state.status, "state has changed in the store");
            let newer = self.commits.take_waiting(&job);
            self.bases.remove(&job);
            let was_fresh = self.settle(&job);
            let own = known.state.owner == self.options.owner;
            let open = known.state.status == Status::Open;
            let wanted = newer.as_ref().unwrap_or(&change).state.as_ref();
            let cancels = wanted.is_some_and(|state| state.status == Status::Cancelled);
            let state = known.state.clone();
            self.jobs.insert(job.clone(), known);
            if was_fresh {
                // Another entry has kept it, or an earlier attempt of this one.
                out.push(Event::Kept(job.clone()));
            } else if own && open {
                self.bases.insert(job.clone(), revision);
                if let Some(mut wanted) = newer.unwrap_or(change).state {
                    wanted.merge(&state);
                    self.change(&job, wanted);
                }
                out.push(Event::Merged(job, state));
            } else if cancels && open {
                self.cancel(&job);
            } else {
                out.push(Event::Lost(job));
            }
        }
    }
}

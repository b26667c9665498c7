//! Calls that write changes of jobs to the store, and the handling of their outcomes.

use std::collections::HashMap;

use fulmarpond_core::Time;
use tracing::{debug, warn};

use super::cache::decode_item;
use super::commit_queue::Change;
use super::ledger::{CachedJob, Event, Ledger, REPLY_TIMEOUT_MS};
use super::record::Status;
use crate::directory::{Activity, CommitRow, JobItem, Lane, StoreCall, StoreReply};
use crate::{JobId, encode};

/// The maximum number of operations in one transaction: conditions, writes and removals.
const MAX_OPERATIONS: usize = 32;

/// The minimum interval between two calls, in milliseconds.
const MIN_COMMIT_INTERVAL_MS: u64 = 25;

/// The share of the store's write rate that all entries may use together, in percent.
const WRITE_SHARE_PERCENT: u64 = 50;

impl Ledger {
    /// Sends the next commit if one is due.
    pub(super) fn send_commits(&mut self, now: Time, out: &mut Vec<(Activity, StoreCall, u64)>) {
        if now < self.next_commit {
            return;
        }
        let Some(lane) = self.commits.next_lane(now) else {
            return;
        };
        self.next_commit = now.after_millis(self.commit_interval_ms());
        out.push((
            Activity::Commit(lane),
            self.build_commit(lane),
            REPLY_TIMEOUT_MS,
        ));
    }

    fn build_commit(&mut self, lane: Lane) -> StoreCall {
        let changes = self.commits.start_call(lane, MAX_OPERATIONS);
        let rows = changes.iter().map(|(job, change)| CommitRow {
            job: job.clone(),
            expected: self.base_revisions.get(job).copied().unwrap_or_default(),
            spec: change.spec.as_ref().map(encode),
            state: change.state.as_ref().map(encode),
        });
        StoreCall::CommitJobs {
            rows: rows.collect(),
        }
    }

    /// Returns the interval between commits, in milliseconds, that keeps all entries together
    /// within their share of the store's write rate.
    pub(super) fn commit_interval_ms(&self) -> u64 {
        let entries = self.entries.len().max(1) as u64;
        let writes_per_second = (self.options.writes_per_second * WRITE_SHARE_PERCENT / 100).max(1);
        (entries * 1_000 / writes_per_second).max(MIN_COMMIT_INTERVAL_MS)
    }

    pub(super) fn handle_commit_reply(
        &mut self,
        lane: Lane,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        match reply {
            Some(Ok(StoreReply::Committed { revision })) => {
                for (job, change) in self.commits.complete(lane, now) {
                    self.record_written(job, change, revision, now, out);
                }
            }
            Some(Ok(StoreReply::Conflict { items })) => {
                let changes = self.commits.complete(lane, now);
                self.resolve_conflict(changes, items, now, out);
            }
            Some(refusal) => {
                warn!(
                    ?refusal,
                    changes = self.commits.len(),
                    "store refused a commit of jobs"
                );
                self.fail_new_jobs(lane, false, now, out);
            }
            // The commit may have been applied. Its changes are sent again; if it was applied, they
            // conflict with their own earlier write, which `resolve_conflict` recognises.
            None => self.fail_new_jobs(lane, true, now, out),
        }
    }

    /// Reports the new jobs of a failed commit as not stored or maybe stored.
    ///
    /// A change that may have been applied stays in its lane, since the job may be in the store.
    fn fail_new_jobs(&mut self, lane: Lane, maybe_written: bool, now: Time, out: &mut Vec<Event>) {
        let mut unresolved = Vec::new();
        for (job, change) in self.commits.fail(lane, now) {
            let is_new = self.new_jobs.contains(&job);
            // A refusal says nothing about an earlier attempt without a reply.
            if is_new && !maybe_written && !self.maybe_written.contains(&job) {
                self.new_jobs.remove(&job);
                self.commits.discard(&job);
                out.push(Event::NotStored(job));
                continue;
            }
            if is_new {
                self.maybe_written.insert(job.clone());
                out.push(Event::MaybeStored(job.clone()));
            }
            unresolved.push((job, change));
        }
        self.commits.restore_in_flight(lane, unresolved);
        // The store is failing and these jobs were never sent, so they are surely not stored.
        for job in self.new_jobs.clone() {
            if !self.commits.is_in_flight(&job) && !self.maybe_written.contains(&job) {
                self.new_jobs.remove(&job);
                self.commits.discard(&job);
                out.push(Event::NotStored(job));
            }
        }
    }

    /// Updates the cache after a change was written, and reports it.
    pub(super) fn record_written(
        &mut self,
        job: JobId,
        change: Change,
        revision: u64,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let Some(state) = change.state else {
            self.jobs.remove(&job);
            self.base_revisions.remove(&job);
            return;
        };
        if state.owner == self.options.owner && state.status == Status::Open {
            self.base_revisions.insert(job.clone(), revision);
        } else if !self.commits.has_change(&job) {
            self.base_revisions.remove(&job);
        }
        let ended = (state.status != Status::Open).then_some(now);
        let cached = CachedJob {
            state: state.clone(),
            revision,
            ended,
        };
        let has_newer = self
            .jobs
            .get(&job)
            .is_some_and(|known| known.revision > revision);
        if !has_newer {
            self.cache_job(job.clone(), cached, out);
        }
        if self.clear_new(&job) {
            out.push(Event::Stored(job.clone()));
        }
        out.push(Event::Written(job, state));
    }

    /// Removes a job from the new ones, since the outcome of its first write is known; returns
    /// whether it was one of them.
    fn clear_new(&mut self, job: &JobId) -> bool {
        self.maybe_written.remove(job);
        self.new_jobs.remove(job)
    }

    /// Handles a commit that was not applied because the revision of some state differs.
    fn resolve_conflict(
        &mut self,
        changes: Vec<(JobId, Change)>,
        items: Vec<JobItem>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let current_items: HashMap<JobId, JobItem> = items
            .into_iter()
            .map(|item| (item.job.clone(), item))
            .collect();
        for (job, change) in changes {
            let current = current_items
                .get(&job)
                .and_then(|item| decode_item(item, now));
            let expected = self.base_revisions.get(&job).copied().unwrap_or_default();
            let revision = current.as_ref().map_or(0, |current| current.revision);
            if revision == expected {
                self.commits.retry(job, change);
                continue;
            }
            let Some(current) = current else {
                // The job was removed, or its state cannot be decoded.
                self.jobs.remove(&job);
                self.clear_new(&job);
                out.push(Event::Lost(job));
                continue;
            };
            if Some(&current.state) == change.state.as_ref() {
                debug!(%job, "an earlier attempt of this commit was applied");
                self.record_written(job, change, revision, now, out);
                continue;
            }
            debug!(
                %job,
                expected,
                revision,
                owner = current.state.owner.name,
                status = ?current.state.status,
                "stored state has an unexpected revision"
            );
            let queued = self.commits.take_queued(&job);
            self.base_revisions.remove(&job);
            let was_new = self.clear_new(&job);
            let is_own = current.state.owner == self.options.owner;
            let is_open = current.state.status == Status::Open;
            let target = queued.as_ref().unwrap_or(&change).state.as_ref();
            let is_cancel = target.is_some_and(|state| state.status == Status::Cancelled);
            let state = current.state.clone();
            self.cache_job(job.clone(), current, out);
            if was_new {
                // Another entry has stored the job, or an earlier attempt of this one.
                out.push(Event::Stored(job.clone()));
            } else if is_own && is_open {
                self.base_revisions.insert(job.clone(), revision);
                if let Some(mut target) = queued.unwrap_or(change).state {
                    target.merge(&state);
                    self.change(&job, target);
                }
                out.push(Event::Merged(job, state));
            } else if is_cancel && is_open {
                self.cancel(&job);
            } else {
                out.push(Event::Lost(job));
            }
        }
    }
}

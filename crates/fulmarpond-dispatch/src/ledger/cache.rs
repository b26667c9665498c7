//! The cache of the jobs in the store: what lists and watches of the store change in it.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::ledger::{CachedJob, Event, Ledger, Listing};
use super::record::{JobState, Status};
use crate::JobId;
use crate::directory::{JobItem, StoreReply};

/// The pause after a watch that returned changes, in milliseconds. It batches changes of other
/// entries, which are not urgent, since each call loads the store.
const WATCH_PAUSE_MS: u64 = 120;

impl Ledger {
    /// Applies the reply to a list or a watch of the jobs.
    pub(super) fn handle_watch_reply(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.watch_pacing.in_flight = false;
        if std::mem::take(&mut self.is_call_outdated) {
            debug!("reply to a call from before the reload of the jobs ignored");
            self.watch_pacing.due = now;
            return;
        }
        match reply {
            Some(Ok(StoreReply::JobPage { items, more, at })) => {
                self.watch_pacing.record_success(now);
                self.apply_page(items, more, at, now, out);
            }
            Some(Ok(StoreReply::JobChanges { items, removed, at })) => {
                let is_empty = items.is_empty() && removed.is_empty();
                let answered_after = self.watch_call.answered_after(!is_empty, now);
                self.last_synced = self.last_synced.max(answered_after);
                let pause = if is_empty { 0 } else { WATCH_PAUSE_MS };
                self.watch_pacing.record_success(now.after_millis(pause));
                for item in items {
                    self.observe_item(item, now, out);
                }
                for job in removed {
                    self.remove_from_cache(job, out);
                }
                self.synced_revision = Some(at);
            }
            Some(Ok(StoreReply::Compacted)) => {
                debug!("watch revision of the jobs was compacted; listing them again");
                self.watch_pacing.record_success(now);
                self.synced_revision = None;
            }
            _ => self.watch_pacing.record_failure(now),
        }
    }

    fn apply_page(
        &mut self,
        items: Vec<JobItem>,
        more: bool,
        at: u64,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let mut listing = self.listing.take().unwrap_or(Listing {
            jobs: BTreeMap::new(),
            last_job: JobId(String::new()),
            revision: at,
            requested_at: self.watch_call.sent,
        });
        if let Some(last) = items.last() {
            listing.last_job = last.job.clone();
        }
        let is_empty = items.is_empty();
        for item in items {
            if let Some(cached) = decode_item(&item, now) {
                listing.jobs.insert(item.job, cached);
            }
        }
        if more && !is_empty {
            self.listing = Some(listing);
            return;
        }
        let Listing {
            jobs,
            revision,
            requested_at,
            ..
        } = listing;
        // A job that was written after the first page may be missing in the list.
        let is_removed = |job: &JobId, cached: &CachedJob| {
            cached.revision <= revision && !jobs.contains_key(job) && !self.commits.has_change(job)
        };
        let cached_jobs = self.jobs.iter();
        let removed: Vec<JobId> = cached_jobs
            .filter(|(job, cached)| is_removed(job, cached))
            .map(|(job, _)| job.clone())
            .collect();
        for job in removed {
            self.remove_from_cache(job, out);
        }
        for (job, cached) in jobs {
            self.update_cache(job, cached, out);
        }
        info!(jobs = self.jobs.len(), at = revision, "stored jobs listed");
        // The pages are not one snapshot: the watch delivers the changes since the first page.
        self.synced_revision = Some(revision);
        self.last_synced = requested_at;
        self.next_scan = now;
    }

    /// Removes a job that is no longer stored from the cache, and reports it unless a change of it
    /// is pending, whose outcome tells more.
    fn remove_from_cache(&mut self, job: JobId, out: &mut Vec<Event>) {
        if self.jobs.remove(&job).is_some() && !self.commits.has_change(&job) {
            out.push(Event::Lost(job));
        }
    }

    /// Updates the cache with an item read from the store.
    pub(super) fn observe_item(&mut self, item: JobItem, now: Time, out: &mut Vec<Event>) {
        if let Some(cached) = decode_item(&item, now) {
            self.update_cache(item.job, cached, out);
        }
    }

    /// Updates the cache unless the item is stale, and reports a job of this entry that another
    /// writer has changed.
    fn update_cache(&mut self, job: JobId, observed: CachedJob, out: &mut Vec<Event>) {
        let is_stale = self
            .jobs
            .get(&job)
            .is_some_and(|cached| cached.revision >= observed.revision);
        if is_stale {
            return;
        }
        let was_own = self
            .jobs
            .get(&job)
            .is_some_and(|cached| cached.state.owner == self.options.owner);
        let is_own = observed.state.owner == self.options.owner;
        if was_own && (!is_own || observed.state.status == Status::Cancelled) {
            out.push(Event::Lost(job.clone()));
        } else if was_own
            && observed.state.status == Status::Open
            && !self.commits.has_change(&job)
            && self
                .base_revisions
                .get(&job)
                .is_some_and(|&base| base != observed.revision)
        {
            self.base_revisions.insert(job.clone(), observed.revision);
            out.push(Event::Merged(job.clone(), observed.state.clone()));
        }
        self.cache_job(job, observed, out);
    }
}

/// Decodes the state of a durable job.
pub(super) fn decode_item(item: &JobItem, now: Time) -> Option<CachedJob> {
    // An item that does not decode was not written by an entry, and is ignored.
    let state = JobState::from_bytes(&item.state).ok()?;
    let ended = (state.status != Status::Open).then_some(now);
    Some(CachedJob {
        state,
        revision: item.revision,
        ended,
    })
}

//! Takeover of jobs whose owner has failed or released them, and removal of expired jobs.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::commit_queue::Change;
use super::ledger::{Event, Ledger};
use super::record::{JobSpec, Owner};
use crate::directory::StoreReply;
use crate::rendezvous::weight;
use crate::{JobId, decode};

impl Ledger {
    /// Scans all cached jobs for those to take over, and for ended ones whose retention is over.
    pub(super) fn scan(&mut self, now: Time) {
        self.next_scan = now.after_millis(Self::SCAN_INTERVAL_MS);
        if self.synced_revision.is_none() {
            return;
        }
        let mut removals = Vec::new();
        let mut takeovers = Vec::new();
        for (job, cached) in &self.jobs {
            let owner = &cached.state.owner;
            if let Some(ended) = cached.ended {
                let is_own = owner.name == self.options.owner.name;
                let is_orphaned = !self.entries.contains(&owner.name);
                if now.millis_since(ended) > self.options.retention_ms
                    && (is_own || is_orphaned)
                    && !self.holds_back_occurrences(job)
                {
                    removals.push(job.clone());
                }
                continue;
            }
            if self.should_take_over(job, now) {
                takeovers.push(job.clone());
            }
        }
        for cached in self.jobs.values().filter(|cached| cached.ended.is_none()) {
            let name = &cached.state.owner.name;
            let is_released = cached.state.owner.is_released();
            if !is_released && !self.entries.contains(name) && *name != self.options.owner.name {
                self.missing_since.entry(name.clone()).or_insert(now);
            }
        }
        for job in removals {
            if self.commits.has_change(&job) {
                continue;
            }
            let revision = self.jobs.get(&job).map_or(0, |cached| cached.revision);
            self.base_revisions.insert(job.clone(), revision);
            self.commits.enqueue(
                job,
                Change {
                    spec: None,
                    state: None,
                },
            );
        }
        for job in takeovers {
            if self.takeover_job.as_ref() != Some(&job) {
                self.takeover_queue.insert(job);
            }
        }
    }

    /// The interval between two scans of all cached jobs, in milliseconds.
    const SCAN_INTERVAL_MS: u64 = 500;

    /// Returns whether a job is released, or its owner has been missing for the takeover time, and
    /// this entry is the one that takes the job over.
    pub(super) fn is_takeover_due(&self, owner: &Owner, job: &JobId, now: Time) -> bool {
        let is_released = owner.is_released();
        let is_failed = self
            .missing_since
            .get(&owner.name)
            .is_some_and(|since| now.millis_since(*since) >= self.options.takeover_ms);
        if !is_released && !is_failed {
            return false;
        }
        // An entry that is stopping, or not announced itself, takes no jobs over.
        if !self.entries.contains(&self.options.owner.name) || self.is_stopping {
            return false;
        }
        // Rendezvous hashing spreads the jobs over the live entries. Entries with different views
        // of the list may pick the same job: the conditional write lets only one of them have it.
        // The entry that released a job stays announced until it has stopped, so it is left out.
        let own_weight = weight(&self.options.owner.name, &job.0);
        let mut others = self.entries.iter().filter(|entry| **entry != owner.name);
        others.all(|entry| weight(entry, &job.0) <= own_weight)
    }

    pub(super) fn handle_takeover_read(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.takeover_pacing.in_flight = false;
        let Some(job) = self.takeover_job.clone() else {
            return;
        };
        match reply {
            Some(Ok(StoreReply::Job { spec })) => {
                self.takeover_pacing.record_success(now);
                self.takeover_job = None;
                if self.should_take_over(&job, now) {
                    self.take_over(job, spec, out);
                } else {
                    info!(%job, "job has ended or has another owner; skipping the takeover");
                }
            }
            Some(Ok(_)) => self.takeover_job = None,
            _ => self.takeover_pacing.record_failure(now),
        }
    }

    /// Returns whether this entry should take a job over. This is checked again after the job was
    /// read, since its caller may have cancelled it or another entry may have taken it meanwhile.
    fn should_take_over(&self, job: &JobId, now: Time) -> bool {
        let Some(cached) = self.jobs.get(job) else {
            return false;
        };
        let owner = &cached.state.owner;
        let is_own = owner.name == self.options.owner.name && !self.is_stopping;
        cached.ended.is_none()
            && !self.commits.has_change(job)
            && *owner != self.options.owner
            && (is_own || self.is_takeover_due(owner, job, now))
    }

    pub(super) fn take_over(&mut self, job: JobId, spec: Option<Vec<u8>>, out: &mut Vec<Event>) {
        let Some(cached) = self.jobs.get(&job) else {
            return;
        };
        let spec = spec.and_then(|bytes| decode::<JobSpec>(&bytes).ok());
        let Some(spec) = spec else {
            warn!(%job, "cannot decode the specification of the job; skipping the takeover");
            return;
        };
        let mut state = cached.state.clone();
        self.base_revisions.insert(job.clone(), cached.revision);
        info!(%job, from = state.owner.name, life = state.owner.incarnation, "taking a job over");
        state.owner = self.options.owner.clone();
        self.change(&job, state.clone());
        out.push(Event::Owned(job, Box::new(spec), state));
    }
}

//! Jobs that are taken over from entries that are gone, and the end of what is kept.

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::commits::Change;
use super::ledger::{Event, Ledger};
use super::record::{JobSpec, Owner};
use crate::directory::StoreReply;
use crate::rendezvous::weight;
use crate::{JobId, decode};

impl Ledger {
    /// Looks for jobs to take over and for ended jobs to remove.
    pub(super) fn scan(&mut self, now: Time) {
        self.next_scan = now.after_millis(Self::SCAN_MS);
        if self.at.is_none() {
            return;
        }
        let mut removals = Vec::new();
        let mut wanted = Vec::new();
        for (job, known) in &self.jobs {
            let owner = &known.state.owner;
            if let Some(ended) = known.ended {
                let own = owner.name == self.options.owner.name;
                let orphaned = !self.entries.contains(&owner.name);
                if now.millis_since(ended) > self.options.keep_ms && (own || orphaned) {
                    removals.push(job.clone());
                }
                continue;
            }
            if self.may_take_over(job, now) {
                wanted.push(job.clone());
            }
        }
        for known in self.jobs.values().filter(|known| known.ended.is_none()) {
            let name = &known.state.owner.name;
            let released = known.state.owner.is_released();
            if !released && !self.entries.contains(name) && *name != self.options.owner.name {
                self.missing.entry(name.clone()).or_insert(now);
            }
        }
        for job in removals {
            if self.commits.is_waiting(&job) {
                continue;
            }
            let revision = self.jobs.get(&job).map_or(0, |known| known.revision);
            self.bases.insert(job.clone(), revision);
            self.commits.push(
                job,
                Change {
                    spec: None,
                    state: None,
                },
            );
        }
        for job in wanted {
            if self.reading.as_ref() != Some(&job) {
                self.wanted.insert(job);
            }
        }
    }

    /// The interval of looks at all jobs, in milliseconds.
    const SCAN_MS: u64 = 500;

    /// Returns whether a job's owner is away for so long that this entry takes the job over.
    pub(super) fn is_abandoned(&self, owner: &Owner, job: &JobId, now: Time) -> bool {
        let released = owner.is_released();
        let gone = self
            .missing
            .get(&owner.name)
            .is_some_and(|since| now.millis_since(*since) >= self.options.takeover_ms);
        if !released && !gone {
            return false;
        }
        // An entry that is about to stop takes nothing.
        if !self.entries.contains(&self.options.owner.name) || self.stopping {
            return false;
        }
        // Each live entry takes a part; which one does not matter, since a change is conditional.
        // The entry that gave a job away is announced until it has stopped, and does not count.
        let own = weight(&self.options.owner.name, &job.0);
        let mut others = self.entries.iter().filter(|entry| **entry != owner.name);
        others.all(|entry| weight(entry, &job.0) <= own)
    }

    pub(super) fn read_answered(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.read.in_flight = false;
        let Some(job) = self.reading.clone() else {
            return;
        };
        match reply {
            Some(Ok(StoreReply::Job { spec })) => {
                self.read.record_success(now);
                self.reading = None;
                if self.may_take_over(&job, now) {
                    self.take_over(job, spec, out);
                } else {
                    info!(%job, "job has ended or has another owner, it is not taken over");
                }
            }
            Some(Ok(_)) => self.reading = None,
            _ => self.read.record_failure(now),
        }
    }

    /// Returns whether a job is still to be taken over: while it was read, its caller may have
    /// cancelled it, or another entry may have taken it.
    fn may_take_over(&self, job: &JobId, now: Time) -> bool {
        let Some(known) = self.jobs.get(job) else {
            return false;
        };
        let owner = &known.state.owner;
        let own = owner.name == self.options.owner.name && !self.stopping;
        known.ended.is_none()
            && !self.commits.is_waiting(job)
            && *owner != self.options.owner
            && (own || self.is_abandoned(owner, job, now))
    }

    pub(super) fn take_over(&mut self, job: JobId, spec: Option<Vec<u8>>, out: &mut Vec<Event>) {
        let Some(known) = self.jobs.get(&job) else {
            return;
        };
        let spec = spec.and_then(|bytes| decode::<JobSpec>(&bytes).ok());
        let Some(spec) = spec else {
            warn!(%job, "what was submitted can't be read");
            return;
        };
        let mut state = known.state.clone();
        self.bases.insert(job.clone(), known.revision);
        info!(%job, from = state.owner.name, life = state.owner.life, "taking a job over");
        state.owner = self.options.owner.clone();
        self.change(&job, state.clone());
        out.push(Event::Owned(job, Box::new(spec), state));
    }
}

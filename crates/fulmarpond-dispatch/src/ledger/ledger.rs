//! The jobs in the store as an entry knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fulmarpond_core::Time;
use tracing::{debug, info};

use super::commits::{Change, Commits};
use super::lookups::Lookups;
use super::record::{JobSpec, JobState, Owner, Status};
use crate::directory::{Duty, JobItem, StoreCall, StoreReply};
use crate::epoch::epoch_of;
use crate::pacing::Pacing;
use crate::{JobId, Outcome, TaskEnd, decode};

/// How long a watch of the jobs waits, in milliseconds.
const WATCH_MS: u64 = 2_000;

/// After this time without an answer of a watch, jobs may be missing here, in milliseconds.
const SYNC_MS: u64 = WATCH_MS + 600;

/// The pause between a watch that brought changes and the next one, in milliseconds: each call has
/// its price, and changes of other entries are not urgent.
const WATCH_PAUSE_MS: u64 = 120;

/// How long the store may take to reply beyond a wait, in milliseconds.
pub(super) const REPLY_MS: u64 = 500;

/// The first and the longest pause after a failed call, in milliseconds.
pub(super) const PAUSE_MS: (u64, u64) = (40, 800);

/// How a ledger is set up.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerOptions {
    /// This entry in this life.
    pub owner: Owner,
    /// The writes a second that the store takes from all processes.
    pub writes: u64,
    /// How long an ended job is kept, in milliseconds.
    pub keep_ms: u64,
    /// After what time without an announcement the jobs of an entry are taken over, in
    /// milliseconds.
    pub takeover_ms: u64,
}

/// What the ledger found out.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A new job is kept, or was kept before.
    Kept(JobId),
    /// A new job was surely not kept.
    NotKept(JobId),
    /// It is not known whether a new job was kept.
    MayBeKept(JobId),
    /// A change of a job of this entry is written.
    Written(JobId, JobState),
    /// A job of this entry has another owner or has ended.
    Lost(JobId),
    /// Another entry has noted ends in the state of a job of this entry.
    Merged(JobId, JobState),
    /// A job that was looked up is in the store.
    Found(JobId),
    /// There is no such job in the store.
    Missing(JobId),
    /// The store did not tell whether there is such a job.
    NotRead(JobId),
    /// This entry is now the owner of a job.
    Owned(JobId, Box<JobSpec>, JobState),
}

#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) state: JobState,
    pub(super) revision: u64,
    /// When its end was seen.
    pub(super) ended: Option<Time>,
}

/// The pages of a list so far.
#[derive(Debug)]
struct Listing {
    found: BTreeMap<JobId, Known>,
    /// The last job of the last page.
    last: JobId,
    /// The revision of the first page: changes during the list come after it.
    at: u64,
}

/// The jobs in the store.
#[derive(Debug)]
pub struct Ledger {
    pub(super) options: LedgerOptions,
    pub(super) jobs: HashMap<JobId, Known>,
    pub(super) commits: Commits,
    /// The revisions that the waiting states are derived from.
    pub(super) bases: HashMap<JobId, u64>,
    /// New jobs whose first change is not written.
    pub(super) fresh: BTreeSet<JobId>,
    /// New jobs whose first change may have been made.
    pub(super) unsure: BTreeSet<JobId>,
    /// The revision up to which the jobs are known; nothing before the first full list.
    pub(super) at: Option<u64>,
    /// When the last list or watch was answered.
    pub(super) synced: Time,
    /// The list that is under way.
    listing: Option<Listing>,
    pub(super) watch: Pacing,
    /// When the next change may be sent.
    pub(super) next_commit: Time,
    pub(super) read: Pacing,
    /// Jobs to take over, and the one that is being read.
    pub(super) wanted: BTreeSet<JobId>,
    pub(super) reading: Option<JobId>,
    pub(super) lookups: Lookups,
    /// The live entries.
    pub(super) entries: BTreeSet<String>,
    /// Entries whose announcement is missing, since when.
    pub(super) missing: BTreeMap<String, Time>,
    pub(super) next_scan: Time,
    pub(super) stopping: bool,
}

impl Ledger {
    /// Creates a ledger that knows nothing.
    pub fn new(options: LedgerOptions, now: Time) -> Self {
        Self {
            options,
            jobs: HashMap::new(),
            commits: Commits::new(PAUSE_MS, now),
            bases: HashMap::new(),
            fresh: BTreeSet::new(),
            unsure: BTreeSet::new(),
            at: None,
            synced: now,
            listing: None,
            watch: Pacing::new(PAUSE_MS, now),
            next_commit: now,
            read: Pacing::new(PAUSE_MS, now),
            wanted: BTreeSet::new(),
            reading: None,
            lookups: Lookups::new(now),
            entries: BTreeSet::new(),
            missing: BTreeMap::new(),
            next_scan: now,
            stopping: false,
        }
    }

    /// Returns whether all jobs are known that were kept some seconds ago.
    pub fn is_synced(&self, now: Time) -> bool {
        self.at.is_some() && now.millis_since(self.synced) < SYNC_MS
    }

    /// Returns whether no change is written at present, and it is too early for the next attempt.
    pub fn is_failing(&self, now: Time) -> bool {
        self.commits.are_failing(now)
    }

    /// Returns whether all jobs are known.
    pub const fn is_loaded(&self) -> bool {
        self.at.is_some()
    }

    /// Returns how many jobs are known, and how many changes wait.
    pub fn size(&self) -> (usize, usize) {
        (self.jobs.len(), self.commits.len())
    }

    /// Returns the state of a job.
    pub fn state(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job).map(|known| &known.state)
    }

    /// Returns the jobs of a route that have begun no task.
    pub fn waiting(&self, route: &str) -> impl Iterator<Item = &JobId> {
        let of_route = self.jobs.iter().filter(move |(_, known)| {
            known.state.status == Status::Open && !known.state.begun && known.state.route == route
        });
        of_route.map(|(job, _)| job)
    }

    /// Returns the open occurrences of a series.
    pub fn occurrences(&self, series: &JobId) -> Vec<JobId> {
        let (id, _) = series.parts();
        let open = |known: &Known| known.state.status == Status::Open;
        let of_series = self
            .jobs
            .iter()
            .filter(|(job, known)| job.parts().0 == id && *job != series && open(known));
        of_series.map(|(job, _)| job.clone()).collect()
    }

    /// Returns the owner that this entry writes into states.
    pub const fn owner(&self) -> &Owner {
        &self.options.owner
    }

    /// Takes over no more jobs.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes the names of the announced entries.
    pub fn set_entries(&mut self, names: impl IntoIterator<Item = String>, now: Time) {
        self.entries = names.into_iter().collect();
        self.missing.retain(|name, _| !self.entries.contains(name));
        self.next_scan = now;
    }

    /// Keeps a new job.
    pub fn keep(&mut self, job: JobId, spec: JobSpec, state: JobState) {
        self.fresh.insert(job.clone());
        let change = Change {
            spec: Some(spec),
            state: Some(state),
        };
        self.commits.push(job, change);
    }

    /// Changes the state of a job of this entry.
    pub fn change(&mut self, job: &JobId, state: JobState) {
        let change = Change {
            spec: None,
            state: Some(state),
        };
        self.commits.push(job.clone(), change);
    }

    /// Ends a job of any entry as cancelled; returns whether it was open.
    pub fn cancel(&mut self, job: &JobId) -> bool {
        let Some(known) = self.jobs.get(job) else {
            return false;
        };
        if known.state.status != Status::Open {
            return false;
        }
        let mut state = known.state.clone();
        state.status = Status::Cancelled;
        // A change without an outcome is sent again under its own condition.
        if !self.commits.is_sent(job) {
            self.bases.insert(job.clone(), known.revision);
        }
        self.change(job, state);
        true
    }

    /// Notes the end of a task in the state of a job that another entry owns; returns whether the
    /// job is open and the end is not there yet.
    pub fn merge(&mut self, end: &TaskEnd) -> bool {
        let job = &end.task.job;
        let Some(known) = self.jobs.get(job) else {
            return false;
        };
        let foreign = known.state.owner != self.options.owner;
        if !foreign || known.state.status != Status::Open || self.commits.is_waiting(job) {
            return false;
        }
        let mut state = known.state.clone();
        let Some(step) = state.steps.get_mut(usize::from(end.task.step)) else {
            return false;
        };
        let counts = epoch_of(end.run) >= step.epoch(end.task.index);
        if end.outcome != Outcome::Done || step.is_done(end.task.index) || !counts {
            return false;
        }
        step.set_done(end.task.index);
        self.bases.insert(job.clone(), known.revision);
        self.change(&end.task.job, state);
        true
    }

    /// Begins a new full list: what was known may have changed unseen.
    pub fn reload(&mut self, now: Time) {
        self.at = None;
        self.listing = None;
        self.watch.due = now;
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn wake(&self) -> Time {
        let mut wake = self.next_scan;
        if !self.watch.in_flight {
            wake = wake.min(self.watch.due);
        }
        if let Some(due) = self.commits.due() {
            wake = wake.min(due.max(self.next_commit));
        }
        if !self.read.in_flight && !self.wanted.is_empty() {
            wake = wake.min(self.read.due);
        }
        wake.min(self.lookups.wake())
    }

    /// Makes the calls that are due, and looks for jobs without an owner.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(Duty, StoreCall, u64)>) {
        if now >= self.next_scan {
            self.scan(now);
        }
        if !self.watch.in_flight && now >= self.watch.due {
            self.watch.in_flight = true;
            out.push(self.next_watch());
        }
        self.send_commits(now, out);
        self.send_lookup(now, out);
        if !self.read.in_flight && now >= self.read.due && self.reading.is_none() {
            self.reading = self.wanted.pop_first();
        }
        if let Some(job) = &self.reading
            && !self.read.in_flight
            && now >= self.read.due
        {
            self.read.in_flight = true;
            out.push((Duty::Job, StoreCall::ReadJob { job: job.clone() }, REPLY_MS));
        }
    }

    fn next_watch(&self) -> (Duty, StoreCall, u64) {
        match (self.at, &self.listing) {
            (Some(after), _) => {
                let call = StoreCall::WatchJobs {
                    after,
                    wait: WATCH_MS,
                };
                (Duty::Jobs, call, WATCH_MS + REPLY_MS)
            }
            (None, listing) => {
                let after = listing.as_ref().map(|listing| listing.last.clone());
                (Duty::Jobs, StoreCall::ListJobs { after }, REPLY_MS)
            }
        }
    }

    /// Takes the outcome of a call; `None` stands for a call without a reply, `Some(Err)` for one
    /// that the store refused without an effect.
    pub fn answered(
        &mut self,
        duty: Duty,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        match duty {
            Duty::Jobs => self.watch_answered(reply, now, out),
            Duty::Commit(lane) => self.commit_answered(lane, reply, now, out),
            Duty::Job => self.read_answered(reply, now, out),
            Duty::Lookup => self.lookup_answered(reply, now, out),
            _ => {}
        }
    }

    fn watch_answered(
        &mut self,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        self.watch.in_flight = false;
        if matches!(reply, Some(Ok(_))) {
            self.synced = now;
        }
        match reply {
            Some(Ok(StoreReply::JobPage { items, more, at })) => {
                self.watch.record_success(now);
                self.take_page(items, more, at, now, out);
            }
            Some(Ok(StoreReply::JobChanges { items, removed, at })) => {
                let quiet = items.is_empty() && removed.is_empty();
                let pause = if quiet { 0 } else { WATCH_PAUSE_MS };
                self.watch.record_success(now.after_millis(pause));
                for item in items {
                    self.see(item, now, out);
                }
                for job in removed {
                    self.jobs.remove(&job);
                }
                self.at = Some(at);
            }
            Some(Ok(StoreReply::Compacted)) => {
                debug!("history of the jobs is gone, listing them again");
                self.watch.record_success(now);
                self.at = None;
            }
            _ => self.watch.record_failure(now),
        }
    }

    fn take_page(
        &mut self,
        items: Vec<JobItem>,
        more: bool,
        at: u64,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        let mut listing = self.listing.take().unwrap_or(Listing {
            found: BTreeMap::new(),
            last: JobId(String::new()),
            at,
        });
        if let Some(last) = items.last() {
            listing.last = last.job.clone();
        }
        let empty = items.is_empty();
        for item in items {
            if let Some(known) = read_item(&item, now) {
                listing.found.insert(item.job, known);
            }
        }
        if more && !empty {
            self.listing = Some(listing);
            return;
        }
        let Listing { found, at, .. } = listing;
        // What was written after the first page may be missing in the list.
        let is_gone = |job: &JobId, known: &Known| {
            known.revision <= at && !found.contains_key(job) && !self.commits.is_waiting(job)
        };
        let known = self.jobs.iter();
        let gone: Vec<JobId> = known
            .filter(|(job, known)| is_gone(job, known))
            .map(|(job, _)| job.clone())
            .collect();
        for job in gone {
            self.jobs.remove(&job);
            out.push(Event::Lost(job));
        }
        for (job, known) in found {
            self.learn(job, known, out);
        }
        info!(jobs = self.jobs.len(), at, "jobs in the store listed");
        // Pages are no snapshot: changes since the first page come with the watch.
        self.at = Some(at);
        self.next_scan = now;
    }

    pub(super) fn see(&mut self, item: JobItem, now: Time, out: &mut Vec<Event>) {
        if let Some(known) = read_item(&item, now) {
            self.learn(item.job, known, out);
        }
    }

    fn learn(&mut self, job: JobId, known: Known, out: &mut Vec<Event>) {
        let older = self
            .jobs
            .get(&job)
            .is_some_and(|present| present.revision >= known.revision);
        if older {
            return;
        }
        let was_own = self
            .jobs
            .get(&job)
            .is_some_and(|present| present.state.owner == self.options.owner);
        let is_own = known.state.owner == self.options.owner;
        if was_own && (!is_own || known.state.status == Status::Cancelled) {
            out.push(Event::Lost(job.clone()));
        } else if was_own
            && known.state.status == Status::Open
            && !self.commits.is_waiting(&job)
            && self
                .bases
                .get(&job)
                .is_some_and(|&base| base != known.revision)
        {
            self.bases.insert(job.clone(), known.revision);
            out.push(Event::Merged(job.clone(), known.state.clone()));
        }
        self.jobs.insert(job, known);
    }
}

pub(super) fn read_item(item: &JobItem, now: Time) -> Option<Known> {
    // An item of another writer names no job.
    let state: JobState = decode(&item.state).ok()?;
    let ended = (state.status != Status::Open).then_some(now);
    Some(Known {
        state,
        revision: item.revision,
        ended,
    })
}

//! The local cache of the durable jobs, kept up to date with a watch.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fulmarpond_core::Time;

use super::commit_queue::{Change, CommitQueue};
use super::confirmation::Confirmation;
use super::lookups::Lookups;
use super::record::{JobSpec, JobState, Owner, Status};
use crate::directory::{Activity, StoreCall, StoreReply};
use crate::epoch::epoch_of;
use crate::pacing::Pacing;
use crate::{JobId, Outcome, TaskEnd};

/// The longest time that a watch of the jobs waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// The age of its contents from which the cache counts as stale, in milliseconds.
const MAX_SYNC_AGE_MS: u64 = WATCH_WAIT_MS + 600;

/// The shortest time that a watch of the jobs waits for a change, in milliseconds.
const MIN_WATCH_WAIT_MS: u64 = 100;

/// The timeout of a call beyond the time that it waits in the store, in milliseconds.
pub(super) const REPLY_TIMEOUT_MS: u64 = 500;

/// The first and the longest backoff after a failed call, in milliseconds.
pub(super) const BACKOFF_MS: (u64, u64) = (40, 800);

/// The options of a [`Ledger`].
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerOptions {
    /// This incarnation of this entry.
    pub owner: Owner,
    /// The number of writes per second that the store accepts from all processes.
    pub writes_per_second: u64,
    /// The retention of ended jobs, in milliseconds.
    pub retention_ms: u64,
    /// The time without an announcement after which the jobs of an entry are taken over, in
    /// milliseconds.
    pub takeover_ms: u64,
}

/// An event that the ledger reports to its entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A new job is stored, now or by an earlier attempt.
    Stored(JobId),
    /// A new job is definitely not stored.
    NotStored(JobId),
    /// A new job may or may not be stored.
    MaybeStored(JobId),
    /// A change of a job by this entry is written.
    Written(JobId, JobState),
    /// A job of this entry was taken over, was ended by another entry, or is no longer stored.
    Lost(JobId),
    /// Another entry has recorded ended tasks in the state of a job of this entry.
    Merged(JobId, JobState),
    /// A job that was looked up is in the store.
    Found(JobId),
    /// A job that was looked up is not in the store.
    Missing(JobId),
    /// The lookup of a job failed.
    LookupFailed(JobId),
    /// The cache has all jobs that were stored at this time.
    Confirmed(Time),
    /// A series was cancelled, by whichever entry.
    SeriesCancelled(JobId),
    /// This entry is now the owner of a job.
    Owned(JobId, Box<JobSpec>, JobState),
}

/// A durable job as last read or written by this entry.
#[derive(Debug, Clone)]
pub(super) struct CachedJob {
    pub(super) state: JobState,
    pub(super) revision: u64,
    /// When this entry first saw that the job had ended.
    pub(super) ended: Option<Time>,
}

/// The pages of a list that were read so far.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) jobs: BTreeMap<JobId, CachedJob>,
    /// The last job of the latest page.
    pub(super) last_job: JobId,
    /// The revision of the first page, from which the watch starts.
    pub(super) revision: u64,
    /// When the first page was requested.
    pub(super) requested_at: Time,
}

/// A call that reads the list of the jobs or watches it.
#[derive(Debug, Clone, Copy)]
pub(super) struct WatchCall {
    pub(super) sent: Time,
    /// When it is answered at the earliest if nothing changes.
    wait_end: Time,
}

impl WatchCall {
    /// Returns the time from which on its reply is certain to have been sent. It may have waited in a
    /// buffer since, because of a pause of this process or a cut of the network.
    pub(super) fn answered_after(&self, has_changes: bool, now: Time) -> Time {
        if has_changes || now < self.wait_end {
            self.sent
        } else {
            self.wait_end
        }
    }
}

/// The durable jobs of all entries: a cache of their states, and the queue of changes to write.
#[derive(Debug)]
pub struct Ledger {
    pub(super) options: LedgerOptions,
    pub(super) jobs: BTreeMap<JobId, CachedJob>,
    pub(super) commits: CommitQueue,
    /// The revision on which the next change of each job is conditional.
    pub(super) base_revisions: HashMap<JobId, u64>,
    /// New jobs whose first write is not confirmed.
    pub(super) new_jobs: BTreeSet<JobId>,
    /// New jobs whose first write may have been applied.
    pub(super) maybe_written: BTreeSet<JobId>,
    /// The revision up to which the cache is complete; `None` until a full list was read.
    pub(super) synced_revision: Option<u64>,
    /// The time up to which the cache is complete: writes before it are certain to be in it.
    pub(super) last_synced: Time,
    /// The last list or watch.
    pub(super) watch_call: WatchCall,
    /// The list in progress.
    pub(super) listing: Option<Listing>,
    /// Whether the call in flight was sent before the last reload, so that its reply says nothing
    /// about the changes that may have been missed.
    pub(super) is_call_outdated: bool,
    pub(super) watch_pacing: Pacing,
    /// When the next commit may be sent.
    pub(super) next_commit: Time,
    pub(super) takeover_pacing: Pacing,
    /// Jobs to take over.
    pub(super) takeover_queue: BTreeSet<JobId>,
    /// The job to take over whose specification is being read.
    pub(super) takeover_job: Option<JobId>,
    pub(super) lookups: Lookups,
    pub(super) confirmation: Confirmation,
    /// The names of the announced entries.
    pub(super) entries: BTreeSet<String>,
    /// Owners of open jobs that are not announced, and since when.
    pub(super) missing_since: BTreeMap<String, Time>,
    pub(super) next_scan: Time,
    pub(super) is_stopping: bool,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(options: LedgerOptions, now: Time) -> Self {
        Self {
            options,
            jobs: BTreeMap::new(),
            commits: CommitQueue::new(BACKOFF_MS, now),
            base_revisions: HashMap::new(),
            new_jobs: BTreeSet::new(),
            maybe_written: BTreeSet::new(),
            synced_revision: None,
            last_synced: now,
            watch_call: WatchCall {
                sent: now,
                wait_end: now,
            },
            listing: None,
            is_call_outdated: false,
            watch_pacing: Pacing::new(BACKOFF_MS, now),
            next_commit: now,
            takeover_pacing: Pacing::new(BACKOFF_MS, now),
            takeover_queue: BTreeSet::new(),
            takeover_job: None,
            lookups: Lookups::new(now),
            confirmation: Confirmation::new(now),
            entries: BTreeSet::new(),
            missing_since: BTreeMap::new(),
            next_scan: now,
            is_stopping: false,
        }
    }

    /// Returns whether the cache has all writes but those of the last few seconds.
    pub fn is_synced(&self, now: Time) -> bool {
        self.synced_revision.is_some() && now.millis_since(self.last_synced) < MAX_SYNC_AGE_MS
    }

    /// Returns whether the latest commits have failed and no further attempt is due yet.
    pub fn is_failing(&self, now: Time) -> bool {
        self.commits.is_failing(now)
    }

    /// Returns whether a full list of the jobs was read.
    pub const fn is_loaded(&self) -> bool {
        self.synced_revision.is_some()
    }

    /// Returns the number of cached jobs, and the number of changes that are not confirmed.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.commits.len())
    }

    /// Returns the cached state of a job.
    pub fn state(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job).map(|cached| &cached.state)
    }

    /// Returns the open jobs of a route of which no task has started.
    pub fn waiting(&self, route: &str) -> impl Iterator<Item = &JobId> {
        let waiting = self.jobs.iter().filter(move |(_, cached)| {
            cached.state.status == Status::Open
                && !cached.state.has_started
                && cached.state.route == route
        });
        waiting.map(|(job, _)| job)
    }

    /// Returns the open occurrences of a series.
    pub fn occurrences(&self, series: &JobId) -> Vec<JobId> {
        let open = self.open_occurrences(series);
        open.map(|(job, _)| job.clone()).collect()
    }

    fn open_occurrences(&self, series: &JobId) -> impl Iterator<Item = (&JobId, &CachedJob)> {
        let (id, _) = series.parts();
        // Occurrence 0 has the id of which all others, and that of the series, are extensions.
        let extensions = self.jobs.range(series.occurrence(0)..);
        let extensions = extensions.take_while(move |(job, _)| job.0.starts_with(id));
        extensions.filter(move |(job, cached)| {
            job.parts().0 == id && !job.is_series() && cached.state.status == Status::Open
        })
    }

    /// Returns whether this entry owns a job, as far as the store has confirmed.
    pub fn is_own(&self, job: &JobId) -> bool {
        let state = self.state(job);
        state.is_some_and(|state| state.owner == self.options.owner)
    }

    /// Returns whether a job belongs to a series that was cancelled, so that nothing of it may start or go on,
    /// whatever its own state says.
    pub fn is_series_cancelled(&self, job: &JobId) -> bool {
        let series = self.state(&job.series());
        series.is_some_and(|series| series.status == Status::Cancelled)
    }

    /// Returns whether a cancelled series has occurrences whose own states are still open. Its state is kept as
    /// long, since it is what keeps them from running.
    pub(super) fn holds_back_occurrences(&self, job: &JobId) -> bool {
        job.is_series()
            && self.is_series_cancelled(job)
            && self.open_occurrences(job).next().is_some()
    }

    /// Adds a state to the cache, and reports a series that was cancelled.
    pub(super) fn cache_job(&mut self, job: JobId, cached: CachedJob, out: &mut Vec<Event>) {
        let is_cancelled = job.is_series() && cached.state.status == Status::Cancelled;
        if is_cancelled && !self.is_series_cancelled(&job) {
            out.push(Event::SeriesCancelled(job.clone()));
        }
        self.jobs.insert(job, cached);
    }

    /// Returns this entry as it appears as an owner in the states of jobs.
    pub const fn owner(&self) -> &Owner {
        &self.options.owner
    }

    /// Sets the number of writes per second that the store accepts from all processes.
    pub const fn set_write_rate(&mut self, writes_per_second: u64) {
        self.options.writes_per_second = writes_per_second;
    }

    /// Stops taking over jobs.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Sets the names of the announced entries.
    pub fn set_entries(&mut self, names: impl IntoIterator<Item = String>, now: Time) {
        self.entries = names.into_iter().collect();
        self.missing_since
            .retain(|name, _| !self.entries.contains(name));
        self.next_scan = now;
    }

    /// Queues a new job to be written.
    pub fn create(&mut self, job: JobId, spec: JobSpec, state: JobState) {
        self.new_jobs.insert(job.clone());
        let change = Change {
            spec: Some(spec),
            state: Some(state),
        };
        self.commits.enqueue(job, change);
    }

    /// Queues a new state of a job to be written.
    pub fn change(&mut self, job: &JobId, state: JobState) {
        let change = Change {
            spec: None,
            state: Some(state),
        };
        self.commits.enqueue(job.clone(), change);
    }

    /// Cancels a job of any entry; returns whether it was open.
    pub fn cancel(&mut self, job: &JobId) -> bool {
        let Some(cached) = self.jobs.get(job) else {
            return false;
        };
        if cached.state.status != Status::Open {
            return false;
        }
        let mut state = cached.state.clone();
        state.status = Status::Cancelled;
        // A change in flight may have to be sent again, and then needs its own base revision.
        if !self.commits.is_in_flight(job) {
            self.base_revisions.insert(job.clone(), cached.revision);
        }
        self.change(job, state);
        true
    }

    /// Queues a change that marks a task as done in a job that another entry owns. Returns `false`
    /// if there is nothing to record: the job is not open or has a pending change, the task is
    /// already done or did not succeed, or its run belongs to an earlier epoch.
    pub fn merge(&mut self, end: &TaskEnd) -> bool {
        let job = &end.task.job;
        let Some(cached) = self.jobs.get(job) else {
            return false;
        };
        let is_foreign = cached.state.owner != self.options.owner;
        if !is_foreign || cached.state.status != Status::Open || self.commits.has_change(job) {
            return false;
        }
        let mut state = cached.state.clone();
        let Some(step) = state.steps.get_mut(usize::from(end.task.step)) else {
            return false;
        };
        let is_current = epoch_of(end.run) >= step.epoch(end.task.index);
        if end.outcome != Outcome::Done || step.is_done(end.task.index) || !is_current {
            return false;
        }
        step.set_done(end.task.index);
        self.base_revisions.insert(job.clone(), cached.revision);
        self.change(&end.task.job, state);
        true
    }

    /// Starts a new full list, since changes may have been missed.
    pub fn reload(&mut self, now: Time) {
        self.synced_revision = None;
        self.confirmation.invalidate();
        self.listing = None;
        self.is_call_outdated = self.watch_pacing.in_flight;
        self.watch_pacing.due = now;
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn next_wake(&self) -> Time {
        let mut wake = self.next_scan;
        if !self.watch_pacing.in_flight {
            wake = wake.min(self.watch_pacing.due);
        }
        if let Some(due) = self.commits.next_due() {
            wake = wake.min(due.max(self.next_commit));
        }
        let has_takeover = self.takeover_job.is_some() || !self.takeover_queue.is_empty();
        if !self.takeover_pacing.in_flight && has_takeover {
            wake = wake.min(self.takeover_pacing.due);
        }
        wake.min(self.lookups.next_wake())
            .min(self.confirmation.next_wake())
    }

    /// Emits the calls that are due, and scans for jobs to take over when that is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(Activity, StoreCall, u64)>) {
        if now >= self.next_scan {
            self.scan(now);
        }
        if !self.watch_pacing.in_flight && now >= self.watch_pacing.due {
            self.watch_pacing.in_flight = true;
            out.push(self.next_watch_call(now));
        }
        self.send_commits(now, out);
        self.send_lookup(now, out);
        self.send_confirmation(now, out);
        if !self.takeover_pacing.in_flight
            && now >= self.takeover_pacing.due
            && self.takeover_job.is_none()
        {
            self.takeover_job = self.takeover_queue.pop_first();
        }
        if let Some(job) = &self.takeover_job
            && !self.takeover_pacing.in_flight
            && now >= self.takeover_pacing.due
        {
            self.takeover_pacing.in_flight = true;
            out.push((
                Activity::Job,
                StoreCall::ReadJob { job: job.clone() },
                REPLY_TIMEOUT_MS,
            ));
        }
    }

    fn next_watch_call(&mut self, now: Time) -> (Activity, StoreCall, u64) {
        let (call, wait) = match (self.synced_revision, &self.listing) {
            (Some(after), _) => {
                // A change says only that the cache is as new as the call. The reply to the next one
                // must come before the cache counts as stale.
                let wait_end = self.last_synced.after_millis(WATCH_WAIT_MS);
                let wait = wait_end.remaining_millis(now);
                let wait = wait.clamp(MIN_WATCH_WAIT_MS, WATCH_WAIT_MS);
                (StoreCall::WatchJobs { after, wait }, wait)
            }
            (None, listing) => {
                let after = listing.as_ref().map(|listing| listing.last_job.clone());
                (StoreCall::ListJobs { after }, 0)
            }
        };
        self.watch_call = WatchCall {
            sent: now,
            wait_end: now.after_millis(wait),
        };
        (Activity::Jobs, call, wait + REPLY_TIMEOUT_MS)
    }

    /// Handles the outcome of a call: `None` is a call without a reply, which may have been
    /// applied, and `Some(Err)` one that the store refused and did not apply.
    pub fn handle_reply(
        &mut self,
        activity: Activity,
        reply: Option<Result<StoreReply, u16>>,
        now: Time,
        out: &mut Vec<Event>,
    ) {
        match activity {
            Activity::Jobs => self.handle_watch_reply(reply, now, out),
            Activity::Commit(lane) => self.handle_commit_reply(lane, reply, now, out),
            Activity::Job => self.handle_takeover_read(reply, now, out),
            Activity::Lookup => self.handle_lookup_reply(reply, now, out),
            Activity::Confirmation => self.handle_confirmation_reply(reply, now, out),
            _ => {}
        }
    }
}

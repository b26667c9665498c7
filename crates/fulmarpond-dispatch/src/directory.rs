//! The configuration and the list of entries in the platform's key-value store.
//!
//! An entry announces its address under a lease, lists the other entries, and watches both the list
//! and the configuration. Watches have short timeouts, since a watch whose connection has silently
//! failed hides a new configuration until it times out.

use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use crate::JobId;
use crate::entry::Configuration;
use crate::evacuation::{Evacuations, ListReader};
use crate::maintenance::{Lease, Wave};
use crate::pacing::Pacing;

/// The longest time that a watch of the configuration waits for a change, in milliseconds.
const CONFIGURATION_WATCH_WAIT_MS: u64 = 1_000;

/// The longest time that a watch of the entries waits for a change, in milliseconds.
const ENTRIES_WATCH_WAIT_MS: u64 = 8_000;

/// The timeout of a call beyond the time that it waits in the store, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 450;

/// The first and the longest backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (60, 800);

/// The longest backoff after a failed read of the configuration while none has been read, in
/// milliseconds: the entry refuses all requests until then.
const INITIAL_MAX_BACKOFF_MS: u64 = 80;

/// The time to live of the lease of an announcement, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// The interval between renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_500;

/// How long before its expiry a lease counts as expired, in milliseconds: the store's clock may run
/// faster, and work that depends on the lease takes time to stop.
const LEASE_MARGIN_MS: u64 = 500;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the configuration.
    ReadConfiguration,
    /// Waits for a change of the keys that the operator writes, after a revision.
    WatchOperator {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Lists all announced entries.
    ListEntries,
    /// Waits for a change of the announced entries after a revision.
    WatchEntries {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Requests a lease.
    Grant {
        /// Its time to live, in milliseconds.
        ttl: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Writes the address of this entry under a lease.
    Announce {
        /// The lease.
        lease: u64,
    },
    /// Revokes a lease.
    End {
        /// The lease.
        lease: u64,
    },
    /// Lists the states of jobs after the given one.
    ListJobs {
        /// The last job of the previous page.
        after: Option<JobId>,
    },
    /// Waits for changes of jobs after a revision.
    WatchJobs {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Reads the state of a job.
    ReadState {
        /// The job.
        job: JobId,
    },
    /// Reads the specification of a job.
    ReadJob {
        /// The job.
        job: JobId,
    },
    /// Writes or removes jobs in one transaction.
    CommitJobs {
        /// The changes.
        rows: Vec<CommitRow>,
    },
    /// Lists the waves of maintenance that the operator has requested.
    ListWaves,
    /// Lists the completed waves.
    ListWaveStates,
    /// Acquires the maintenance duty unless another entry holds it.
    TakeDuty {
        /// The lease that its key is attached to.
        lease: u64,
        /// The revision at which this entry last acquired it, if the key may still exist; 0
        /// otherwise.
        expected: u64,
        /// Whether to acquire it only if no entry has held it before.
        first: bool,
    },
    /// Lists the evacuated zones after the given name.
    ListEvacuations {
        /// The last name of the previous page.
        after: Option<String>,
    },
    /// Waits for a change of the evacuated zones after a revision.
    WatchEvacuations {
        /// The revision.
        after: u64,
        /// The longest time to wait, in milliseconds.
        wait: u64,
    },
    /// Reports the progress of a wave to the operator if this entry still holds the duty.
    WriteWaveState {
        /// The number of the wave.
        wave: u64,
        /// Whether the wave is completed.
        completed: bool,
        /// The revision at which this entry acquired the duty.
        duty: u64,
    },
}

/// A change of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitRow {
    /// The job.
    pub job: JobId,
    /// The revision that its state must have; 0 if the job must not exist.
    pub expected: u64,
    /// The encoded specification, if the job is new.
    pub spec: Option<Vec<u8>>,
    /// The encoded state, or `None` to remove the job.
    pub state: Option<Vec<u8>>,
}

/// The state of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobItem {
    /// The job.
    pub job: JobId,
    /// Its encoded state.
    pub state: Vec<u8>,
    /// The revision of the state.
    pub revision: u64,
}

/// An announced entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncedEntry {
    /// The host name.
    pub name: String,
    /// The address for links from agents.
    pub addr: SocketAddr,
}

impl StoreCall {
    /// Returns the name of the call in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::ReadConfiguration => "read_configuration",
            Self::WatchOperator { .. } => "watch_operator",
            Self::ListWaves => "list_waves",
            Self::ListWaveStates => "list_wave_states",
            Self::ListEvacuations { .. } => "list_evacuations",
            Self::WatchEvacuations { .. } => "watch_evacuations",
            Self::TakeDuty { .. } => "take_duty",
            Self::WriteWaveState { .. } => "write_wave_state",
            Self::ListEntries => "list_entries",
            Self::WatchEntries { .. } => "watch_entries",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
            Self::Announce { .. } => "announce",
            Self::End { .. } => "end",
            Self::ListJobs { .. } => "list_jobs",
            Self::WatchJobs { .. } => "watch_jobs",
            Self::ReadState { .. } => "read_state",
            Self::ReadJob { .. } => "read_job",
            Self::CommitJobs { .. } => "commit_jobs",
        }
    }
}

/// A reply of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The configuration at a revision; `None` if there is none or it cannot be decoded.
    Configuration {
        /// The configuration.
        value: Option<Configuration>,
        /// The revision of the store.
        at: u64,
    },
    /// All announced entries at a revision.
    Entries {
        /// The entries.
        entries: Vec<AnnouncedEntry>,
        /// The revision of the store.
        at: u64,
    },
    /// The watched keys have changed, or the wait of the watch is over.
    Changed {
        /// Whether any key has changed.
        any: bool,
        /// The revision to continue from.
        at: u64,
    },
    /// The history that a watch needs was compacted.
    Compacted,
    /// A lease was granted or renewed.
    Leased {
        /// The lease.
        lease: u64,
    },
    /// The lease has expired or was revoked.
    NoLease,
    /// A write was done.
    Written,
    /// A page of jobs.
    JobPage {
        /// The jobs.
        items: Vec<JobItem>,
        /// Whether there are more pages.
        more: bool,
        /// The revision of the store.
        at: u64,
    },
    /// Changes of jobs.
    JobChanges {
        /// The jobs with their new states.
        items: Vec<JobItem>,
        /// The jobs that were removed.
        removed: Vec<JobId>,
        /// The revision to continue from.
        at: u64,
    },
    /// The state of a job; `None` if the job does not exist.
    State(Option<JobItem>),
    /// The specification of a job.
    Job {
        /// The encoded specification; `None` if the job does not exist.
        spec: Option<Vec<u8>>,
    },
    /// A page of the evacuated zones.
    EvacuationPage {
        /// The names in the keys, which are not checked.
        names: Vec<String>,
        /// The last name of the page, if there are more pages.
        next: Option<String>,
        /// The revision of the store.
        at: u64,
    },
    /// The waves of maintenance that the operator has requested.
    Waves(Vec<Wave>),
    /// The numbers of the completed waves.
    CompletedWaves(Vec<u64>),
    /// The maintenance duty was not acquired.
    DutyTaken {
        /// The lease of its holder and the revision at which it was acquired; `None` if nobody
        /// holds it.
        holder: Option<(u64, u64)>,
    },
    /// A conditional write was applied.
    Committed {
        /// The revision of the write.
        revision: u64,
    },
    /// A conditional write was not applied, since some item has another revision.
    Conflict {
        /// The current states of the jobs in the transaction.
        items: Vec<JobItem>,
    },
}

/// One of the lanes that write jobs concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub u8);

/// An activity that calls the store, with at most one call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Activity {
    /// Watches the configuration.
    Configuration,
    /// Reads the evacuated zones when the watch of the configuration reports a change.
    Evacuations,
    /// Watches the entries.
    Entries,
    /// Maintains the announcement of this entry.
    Announcement,
    /// Watches the durable jobs.
    Jobs,
    /// Writes jobs; each lane has its own call in flight.
    Commit(Lane),
    /// Reads the specifications of jobs that are taken over.
    Job,
    /// Looks up the states of jobs that are not in the local cache.
    Lookup,
    /// Maintains hosts.
    Maintenance,
}

impl Activity {
    /// The activities of the directory itself.
    const OWN: [Self; 4] = [
        Self::Configuration,
        Self::Evacuations,
        Self::Entries,
        Self::Announcement,
    ];
}

/// An action for the driver to carry out, or a value that was read.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the store, and report the outcome with [`Directory::handle_reply`].
    Call {
        /// The activity that makes the call.
        activity: Activity,
        /// The call.
        call: StoreCall,
        /// The timeout of the call, in milliseconds.
        timeout: u64,
    },
    /// The configuration was read.
    Configured(Configuration),
    /// The evacuated zones were read.
    Evacuated(Evacuations),
    /// The entries were listed.
    Listed(Vec<AnnouncedEntry>),
    /// Keys of the operator have changed, or may have.
    OperatorWrote,
}

/// The state of an activity.
#[derive(Debug)]
struct ActivityState {
    pacing: Pacing,
    /// The revision to watch from; `None` if a full read is needed.
    revision: Option<u64>,
}

impl ActivityState {
    const fn new(now: Time) -> Self {
        Self {
            pacing: Pacing::new(BACKOFF_MS, now),
            revision: None,
        }
    }
}

/// Maintains the announcement of an entry, and watches the configuration and the other entries.
#[derive(Debug)]
pub struct Directory {
    configuration: ActivityState,
    /// Whether a configuration has been read.
    has_configuration: bool,
    /// Its revision is that of the last list.
    evacuations: ActivityState,
    evacuation_list: ListReader,
    /// The revision that the list of evacuations must have at least. The watch of the configuration
    /// reports only later changes.
    evacuations_required: u64,
    entries: ActivityState,
    announcement: ActivityState,
    lease: Option<u64>,
    /// When the last grant or renewal of the lease was requested.
    lease_requested_at: Time,
    /// The time until which the lease is guaranteed to be valid.
    lease_end: Time,
    is_announced: bool,
    is_leaving: bool,
    is_reachable: bool,
    /// When the store last answered.
    last_reply_at: Time,
}

impl Directory {
    /// Creates a directory that has read nothing and is not announced.
    pub fn new(now: Time) -> Self {
        Self {
            configuration: ActivityState::new(now),
            has_configuration: false,
            evacuations: ActivityState::new(now),
            evacuation_list: ListReader::default(),
            evacuations_required: 0,
            entries: ActivityState::new(now),
            announcement: ActivityState::new(now),
            lease: None,
            lease_requested_at: now,
            lease_end: Time::from_micros(0),
            is_announced: false,
            is_leaving: false,
            is_reachable: true,
            last_reply_at: now,
        }
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn next_wake(&self) -> Time {
        let activities = [
            &self.configuration,
            &self.evacuations,
            &self.entries,
            &self.announcement,
        ];
        let wakes = activities.map(|state| state.pacing.next_wake());
        wakes.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Returns the time since the last reply of the store, in milliseconds.
    pub const fn age(&self, now: Time) -> u64 {
        now.millis_since(self.last_reply_at)
    }

    /// Returns the time until which no other entry takes over the jobs of this one; `None` if it is
    /// not announced.
    pub fn lease_end(&self) -> Option<Time> {
        self.is_announced.then_some(self.lease_end)
    }

    /// Returns the lease of the announcement while this entry is announced and not leaving.
    pub fn lease(&self) -> Option<Lease> {
        let number = self
            .lease
            .filter(|_| self.is_announced && !self.is_leaving)?;
        Some(Lease {
            number,
            end: self.lease_end,
        })
    }

    /// Withdraws the announcement.
    pub const fn leave(&mut self, now: Time) {
        self.is_leaving = true;
        self.announcement.pacing.due = now;
    }

    /// Emits the calls that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for activity in Activity::OWN {
            let state = self.state_mut(activity);
            if state.pacing.in_flight || now < state.pacing.due {
                continue;
            }
            let Some((call, wait)) = self.next_call(activity) else {
                if activity == Activity::Evacuations {
                    // Until the watch of the configuration requires another list.
                    self.evacuations.pacing.due = Time::MAX;
                    continue;
                }
                self.state_mut(activity).pacing.due = now.after_millis(RENEW_INTERVAL_MS);
                continue;
            };
            self.state_mut(activity).pacing.in_flight = true;
            if matches!(call, StoreCall::Grant { .. } | StoreCall::Renew { .. }) {
                self.lease_requested_at = now;
            }
            out.push(Action::Call {
                activity,
                call,
                timeout: wait + REPLY_TIMEOUT_MS,
            });
        }
    }

    const fn state_mut(&mut self, activity: Activity) -> &mut ActivityState {
        match activity {
            Activity::Configuration => &mut self.configuration,
            Activity::Evacuations => &mut self.evacuations,
            Activity::Entries => &mut self.entries,
            Activity::Announcement
            | Activity::Jobs
            | Activity::Commit(_)
            | Activity::Job
            | Activity::Lookup
            | Activity::Maintenance => &mut self.announcement,
        }
    }

    fn next_call(&self, activity: Activity) -> Option<(StoreCall, u64)> {
        match (activity, self.configuration.revision, self.entries.revision) {
            (Activity::Configuration, None, _) => Some((StoreCall::ReadConfiguration, 0)),
            (Activity::Configuration, Some(after), _) => {
                let wait = CONFIGURATION_WATCH_WAIT_MS;
                Some((StoreCall::WatchOperator { after, wait }, wait))
            }
            (Activity::Evacuations, _, _) => {
                let revision = self.evacuations.revision;
                let is_due = revision.is_none_or(|known| known < self.evacuations_required);
                is_due.then(|| (self.evacuation_list.next_call(), 0))
            }
            (Activity::Entries, _, None) => Some((StoreCall::ListEntries, 0)),
            (Activity::Entries, _, Some(after)) => {
                let wait = ENTRIES_WATCH_WAIT_MS;
                Some((StoreCall::WatchEntries { after, wait }, wait))
            }
            (Activity::Announcement, _, _) => self.next_announcement_call().map(|call| (call, 0)),
            (
                Activity::Jobs
                | Activity::Commit(_)
                | Activity::Job
                | Activity::Lookup
                | Activity::Maintenance,
                _,
                _,
            ) => None,
        }
    }

    const fn next_announcement_call(&self) -> Option<StoreCall> {
        match self.lease {
            Some(lease) if self.is_leaving => Some(StoreCall::End { lease }),
            None if self.is_leaving => None,
            None => Some(StoreCall::Grant { ttl: LEASE_MS }),
            Some(lease) if self.is_announced => Some(StoreCall::Renew { lease }),
            Some(lease) => Some(StoreCall::Announce { lease }),
        }
    }

    /// Handles the outcome of a call; `None` is a call that failed.
    pub fn handle_reply(
        &mut self,
        activity: Activity,
        reply: Option<StoreReply>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let state = self.state_mut(activity);
        state.pacing.in_flight = false;
        let Some(reply) = reply else {
            state.pacing.record_failure(now);
            if activity == Activity::Evacuations {
                self.evacuation_list.restart();
            }
            if activity == Activity::Configuration && !self.has_configuration {
                let due = &mut self.configuration.pacing.due;
                *due = (*due).min(now.after_millis(INITIAL_MAX_BACKOFF_MS));
            }
            self.record_unreachable(activity, now);
            return;
        };
        state.pacing.record_success(now);
        self.last_reply_at = now;
        if !self.is_reachable {
            info!("store answers again");
            self.is_reachable = true;
        }
        self.apply_reply(activity, reply, now, out);
    }

    /// Requires a list of evacuations that is not older than a revision.
    fn require_evacuations(&mut self, revision: u64, now: Time) {
        if revision > self.evacuations_required {
            self.evacuations_required = revision;
            let due = &mut self.evacuations.pacing.due;
            *due = (*due).min(now);
        }
    }

    fn record_unreachable(&mut self, activity: Activity, now: Time) {
        if self.is_reachable {
            warn!(duty = ?activity, age_ms = self.age(now), "store does not answer");
            self.is_reachable = false;
        }
    }

    fn apply_reply(
        &mut self,
        activity: Activity,
        reply: StoreReply,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        match (activity, reply) {
            (Activity::Configuration, StoreReply::Configuration { value, at }) => {
                self.configuration.revision = Some(at);
                self.require_evacuations(at, now);
                match value {
                    Some(value) => {
                        self.has_configuration = true;
                        out.push(Action::Configured(value));
                    }
                    None => warn!(at, "no readable configuration in the store"),
                }
            }
            (Activity::Evacuations, StoreReply::EvacuationPage { names, next, at }) => {
                let Some(list) = self.evacuation_list.add_page(names, next, at) else {
                    return;
                };
                if list.revision() < self.evacuations_required {
                    self.evacuations.pacing.record_failure(now);
                }
                self.evacuations.revision = Some(list.revision());
                out.push(Action::Evacuated(list));
            }
            (Activity::Entries, StoreReply::Entries { entries, at }) => {
                self.entries.revision = Some(at);
                out.push(Action::Listed(entries));
            }
            (Activity::Configuration | Activity::Entries, StoreReply::Changed { any, at }) => {
                if any && activity == Activity::Configuration {
                    out.push(Action::OperatorWrote);
                    self.require_evacuations(at, now);
                }
                // Both values are small, so a change triggers a full read.
                self.state_mut(activity).revision = if any { None } else { Some(at) };
            }
            (Activity::Configuration | Activity::Entries, StoreReply::Compacted) => {
                debug!(duty = ?activity, "watch revision was compacted; reading again");
                if activity == Activity::Configuration {
                    out.push(Action::OperatorWrote);
                }
                self.state_mut(activity).revision = None;
            }
            (Activity::Announcement, StoreReply::Leased { lease }) => {
                self.lease = Some(lease);
                // The store starts the lease when the call arrives, which is after it was sent.
                self.lease_end = self
                    .lease_requested_at
                    .after_millis(LEASE_MS - LEASE_MARGIN_MS);
                if self.is_announced {
                    self.announcement.pacing.due = now.after_millis(RENEW_INTERVAL_MS);
                }
            }
            (Activity::Announcement, StoreReply::Written) => {
                self.is_announced = !self.is_leaving;
                if self.is_leaving {
                    self.lease = None;
                }
                self.announcement.pacing.due = now.after_millis(RENEW_INTERVAL_MS);
            }
            (Activity::Announcement, StoreReply::NoLease) => {
                info!("announcement lapsed, announcing again");
                self.lease = None;
                self.is_announced = false;
            }
            (activity, reply) => {
                warn!(duty = ?activity, ?reply, "unexpected reply from the store");
                self.state_mut(activity).pacing.record_failure(now);
            }
        }
    }
}

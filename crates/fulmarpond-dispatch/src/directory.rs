//! The configuration and the list of entries in the platform's store.
//!
//! An entry announces its address under a lease, lists the others, and follows both the list and
//! the configuration with watches. A watch waits only shortly: one that went silent would hide a
//! new configuration until it times out.

use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use crate::JobId;
use crate::entry::Configuration;
use crate::maintenance::{Lease, Wave};
use crate::pacing::Pacing;

/// How long a watch of the configuration waits, in milliseconds.
const CONFIGURATION_WAIT_MS: u64 = 1_000;

/// How long a watch of the entries waits, in milliseconds.
const ENTRIES_WAIT_MS: u64 = 8_000;

/// How long a reply may take beyond the wait, in milliseconds.
const REPLY_MS: u64 = 450;

/// The first and the longest pause after a failed call, in milliseconds.
const PAUSE_MS: (u64, u64) = (60, 800);

/// The longest pause after a failed read of the configuration while there is none, in milliseconds:
/// the entry refuses everything until then.
const FIRST_PAUSE_MS: u64 = 80;

/// The time to live of an announcement, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// The interval of renewals, in milliseconds.
const RENEW_MS: u64 = 1_500;

/// How long before its end a lease no longer counts, in milliseconds: the store's clock may be
/// faster, and what the lease allows takes time to end.
const LEASE_MARGIN_MS: u64 = 500;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the configuration.
    ReadConfiguration,
    /// Waits for a change of what the operator writes after a revision.
    WatchOperator {
        /// The revision.
        after: u64,
        /// How long to wait, in milliseconds.
        wait: u64,
    },
    /// Reads all entries.
    ListEntries,
    /// Waits for a change of the entries after a revision.
    WatchEntries {
        /// The revision.
        after: u64,
        /// How long to wait, in milliseconds.
        wait: u64,
    },
    /// Asks for a lease.
    Grant {
        /// Its time to live, in milliseconds.
        ttl: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Writes the own address under a lease.
    Announce {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    End {
        /// The lease.
        lease: u64,
    },
    /// Lists the states of jobs after the given one.
    ListJobs {
        /// The last job of the page before.
        after: Option<JobId>,
    },
    /// Waits for changes of jobs after a revision.
    WatchJobs {
        /// The revision.
        after: u64,
        /// How long to wait, in milliseconds.
        wait: u64,
    },
    /// Reads the state of a job.
    ReadState {
        /// The job.
        job: JobId,
    },
    /// Reads what was submitted as a job.
    ReadJob {
        /// The job.
        job: JobId,
    },
    /// Writes or removes jobs, all or none of them.
    CommitJobs {
        /// The jobs.
        rows: Vec<CommitRow>,
    },
    /// Reads the waves of maintenance that the operator asks for.
    ListWaves,
    /// Reads which waves are over.
    ListWaveStates,
    /// Takes the duty to maintain hosts, if nobody else has it.
    TakeDuty {
        /// The lease that it ends with.
        lease: u64,
        /// The revision at which this entry took it last, if it may still have it; 0 otherwise.
        expected: u64,
        /// Whether no entry may have had it before.
        first: bool,
    },
    /// Tells the operator how far a wave is, if this entry still has the duty.
    WriteWaveState {
        /// The number of the wave.
        wave: u64,
        /// Whether it is over.
        completed: bool,
        /// The revision at which this entry took the duty.
        duty: u64,
    },
}

/// A change of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitRow {
    /// The job.
    pub job: JobId,
    /// The revision that its state must have; 0 if the job must be new.
    pub expected: u64,
    /// What was submitted, if the job is new.
    pub spec: Option<Vec<u8>>,
    /// Its state; nothing removes the job.
    pub state: Option<Vec<u8>>,
}

/// The state of a job in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobItem {
    /// The job.
    pub job: JobId,
    /// Its state as written.
    pub state: Vec<u8>,
    /// The revision of the state.
    pub revision: u64,
}

/// An entry that has announced itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Announced {
    /// The host name.
    pub name: String,
    /// Where agents link to it.
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

/// The reply of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The configuration at a revision; nothing if there is none or if it can't be read.
    Configuration {
        /// The configuration.
        value: Option<Configuration>,
        /// The revision of the store.
        at: u64,
    },
    /// All announced entries at a revision.
    Entries {
        /// The entries.
        entries: Vec<Announced>,
        /// The revision of the store.
        at: u64,
    },
    /// What a watch waited for has changed, or its time is over.
    Changed {
        /// Whether anything changed.
        any: bool,
        /// The revision to go on from.
        at: u64,
    },
    /// The history that a watch needs is gone.
    Compacted,
    /// A lease was granted or renewed.
    Leased {
        /// The lease.
        lease: u64,
    },
    /// The lease has ended.
    NoLease,
    /// A write was done.
    Written,
    /// A page of jobs.
    JobPage {
        /// The jobs.
        items: Vec<JobItem>,
        /// Whether there are more.
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
        /// The revision to go on from.
        at: u64,
    },
    /// The state of a job; nothing if there is no such job.
    State(Option<JobItem>),
    /// What was submitted as a job; nothing if it is gone.
    Job {
        /// The job as written.
        spec: Option<Vec<u8>>,
    },
    /// The waves of maintenance that the operator asks for.
    Waves(Vec<Wave>),
    /// The waves that are over.
    CompletedWaves(Vec<u64>),
    /// The duty to maintain hosts was not taken.
    DutyTaken {
        /// The lease of its holder and the revision at which it was taken; nothing if nobody has it.
        holder: Option<(u64, u64)>,
    },
    /// A conditional change was made.
    Committed {
        /// The revision of the change.
        revision: u64,
    },
    /// Nothing was written, since some item has another revision.
    Conflict {
        /// The present states of the jobs in the change.
        items: Vec<JobItem>,
    },
}

/// One of the calls that write jobs at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane(pub u8);

/// A duty of the directory; each has at most one call under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Follows the configuration.
    Configuration,
    /// Follows the entries.
    Entries,
    /// Keeps the own announcement.
    Announcement,
    /// Follows the jobs in the store.
    Jobs,
    /// Writes jobs; each lane has a call of its own under way.
    Commit(Lane),
    /// Reads jobs that are taken over.
    Job,
    /// Reads the states of jobs that are not known here.
    Lookup,
    /// Maintains hosts.
    Maintenance,
}

impl Duty {
    /// The duties that the directory does itself.
    const OWN: [Self; 3] = [Self::Configuration, Self::Entries, Self::Announcement];
}

/// What the directory wants done, or has learned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the store, and report the outcome with [`Directory::answered`].
    Call {
        /// For which duty.
        duty: Duty,
        /// The call.
        call: StoreCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// The configuration was read.
    Configured(Configuration),
    /// The entries were listed.
    Listed(Vec<Announced>),
    /// The operator has written something, or may have.
    OperatorWrote,
}

#[derive(Debug)]
struct Progress {
    pacing: Pacing,
    /// The revision to go on from; nothing if a full read is needed.
    at: Option<u64>,
}

impl Progress {
    const fn new(now: Time) -> Self {
        Self {
            pacing: Pacing::new(PAUSE_MS, now),
            at: None,
        }
    }
}

/// What an entry keeps and follows in the store.
#[derive(Debug)]
pub struct Directory {
    configuration: Progress,
    /// Whether a configuration was read.
    configured: bool,
    entries: Progress,
    announcement: Progress,
    lease: Option<u64>,
    /// When the last grant or renewal was sent.
    asked: Time,
    /// Until when the lease surely lasts.
    lease_end: Time,
    announced: bool,
    leaving: bool,
    reachable: bool,
    /// When the store last answered.
    confirmed: Time,
}

impl Directory {
    /// Creates a directory that knows nothing.
    pub const fn new(now: Time) -> Self {
        Self {
            configuration: Progress::new(now),
            configured: false,
            entries: Progress::new(now),
            announcement: Progress::new(now),
            lease: None,
            asked: now,
            lease_end: Time::from_micros(0),
            announced: false,
            leaving: false,
            reachable: true,
            confirmed: now,
        }
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn wake(&self) -> Time {
        let pacing = [&self.configuration, &self.entries, &self.announcement];
        let wakes = pacing.map(|progress| progress.pacing.wake());
        wakes.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Returns how long ago the store last answered, in milliseconds.
    pub const fn age(&self, now: Time) -> u64 {
        now.millis_since(self.confirmed)
    }

    /// Returns until when no other entry can take this one's jobs over; nothing if it is not
    /// announced.
    pub fn lease_end(&self) -> Option<Time> {
        self.announced.then_some(self.lease_end)
    }

    /// Returns the lease of the announcement, while this entry is announced and does not leave.
    pub fn lease(&self) -> Option<Lease> {
        let number = self.lease.filter(|_| self.announced && !self.leaving)?;
        Some(Lease {
            number,
            end: self.lease_end,
        })
    }

    /// Withdraws the announcement.
    pub const fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.announcement.pacing.due = now;
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for duty in Duty::OWN {
            let progress = self.progress(duty);
            if progress.pacing.busy || now < progress.pacing.due {
                continue;
            }
            let Some((call, wait)) = self.next_call(duty) else {
                self.progress(duty).pacing.due = now.after_millis(RENEW_MS);
                continue;
            };
            self.progress(duty).pacing.busy = true;
            if matches!(call, StoreCall::Grant { .. } | StoreCall::Renew { .. }) {
                self.asked = now;
            }
            out.push(Action::Call {
                duty,
                call,
                timeout: wait + REPLY_MS,
            });
        }
    }

    const fn progress(&mut self, duty: Duty) -> &mut Progress {
        match duty {
            Duty::Configuration => &mut self.configuration,
            Duty::Entries => &mut self.entries,
            Duty::Announcement
            | Duty::Jobs
            | Duty::Commit(_)
            | Duty::Job
            | Duty::Lookup
            | Duty::Maintenance => &mut self.announcement,
        }
    }

    fn next_call(&self, duty: Duty) -> Option<(StoreCall, u64)> {
        match (duty, self.configuration.at, self.entries.at) {
            (Duty::Configuration, None, _) => Some((StoreCall::ReadConfiguration, 0)),
            (Duty::Configuration, Some(after), _) => {
                let wait = CONFIGURATION_WAIT_MS;
                Some((StoreCall::WatchOperator { after, wait }, wait))
            }
            (Duty::Entries, _, None) => Some((StoreCall::ListEntries, 0)),
            (Duty::Entries, _, Some(after)) => {
                let wait = ENTRIES_WAIT_MS;
                Some((StoreCall::WatchEntries { after, wait }, wait))
            }
            (Duty::Announcement, _, _) => self.next_announcement().map(|call| (call, 0)),
            (Duty::Jobs | Duty::Commit(_) | Duty::Job | Duty::Lookup | Duty::Maintenance, _, _) => {
                None
            }
        }
    }

    const fn next_announcement(&self) -> Option<StoreCall> {
        match self.lease {
            Some(lease) if self.leaving => Some(StoreCall::End { lease }),
            None if self.leaving => None,
            None => Some(StoreCall::Grant { ttl: LEASE_MS }),
            Some(lease) if self.announced => Some(StoreCall::Renew { lease }),
            Some(lease) => Some(StoreCall::Announce { lease }),
        }
    }

    /// Takes the outcome of a call; `None` stands for a call that failed.
    pub fn answered(
        &mut self,
        duty: Duty,
        reply: Option<StoreReply>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let progress = self.progress(duty);
        progress.pacing.busy = false;
        let Some(reply) = reply else {
            progress.pacing.failed(now);
            if duty == Duty::Configuration && !self.configured {
                let due = &mut self.configuration.pacing.due;
                *due = (*due).min(now.after_millis(FIRST_PAUSE_MS));
            }
            self.lost(duty, now);
            return;
        };
        progress.pacing.succeeded(now);
        self.confirmed = now;
        if !self.reachable {
            info!("store answers again");
            self.reachable = true;
        }
        self.replied(duty, reply, now, out);
    }

    fn lost(&mut self, duty: Duty, now: Time) {
        if self.reachable {
            warn!(?duty, age_ms = self.age(now), "store does not answer");
            self.reachable = false;
        }
    }

    fn replied(&mut self, duty: Duty, reply: StoreReply, now: Time, out: &mut Vec<Action>) {
        match (duty, reply) {
            (Duty::Configuration, StoreReply::Configuration { value, at }) => {
                self.configuration.at = Some(at);
                match value {
                    Some(value) => {
                        self.configured = true;
                        out.push(Action::Configured(value));
                    }
                    None => warn!(at, "no readable configuration in the store"),
                }
            }
            (Duty::Entries, StoreReply::Entries { entries, at }) => {
                self.entries.at = Some(at);
                out.push(Action::Listed(entries));
            }
            (Duty::Configuration | Duty::Entries, StoreReply::Changed { any, at }) => {
                if any && duty == Duty::Configuration {
                    out.push(Action::OperatorWrote);
                }
                // Both values are small, so a change is read in full.
                self.progress(duty).at = if any { None } else { Some(at) };
            }
            (Duty::Configuration | Duty::Entries, StoreReply::Compacted) => {
                debug!(?duty, "history is gone, reading again");
                if duty == Duty::Configuration {
                    out.push(Action::OperatorWrote);
                }
                self.progress(duty).at = None;
            }
            (Duty::Announcement, StoreReply::Leased { lease }) => {
                self.lease = Some(lease);
                // The store counts from the arrival of the call, which is after its sending.
                self.lease_end = self.asked.after_millis(LEASE_MS - LEASE_MARGIN_MS);
                if self.announced {
                    self.announcement.pacing.due = now.after_millis(RENEW_MS);
                }
            }
            (Duty::Announcement, StoreReply::Written) => {
                self.announced = !self.leaving;
                if self.leaving {
                    self.lease = None;
                }
                self.announcement.pacing.due = now.after_millis(RENEW_MS);
            }
            (Duty::Announcement, StoreReply::NoLease) => {
                info!("announcement lapsed, announcing again");
                self.lease = None;
                self.announced = false;
            }
            (duty, reply) => {
                warn!(?duty, ?reply, "unexpected reply of the store");
                self.progress(duty).pacing.failed(now);
            }
        }
    }
}

//! The state machine that calls the store for an entry.

use std::collections::BTreeSet;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::configuration_watch::ConfigurationWatch;
use super::{Activity, AnnouncedEntry, StoreCall, StoreReply};
use crate::configuration::Configuration;
use crate::evacuation::{Evacuations, ListReader};
use crate::maintenance::Lease;
use crate::pacing::Pacing;

/// The longest time that a watch of the entries waits for a change, in milliseconds.
const ENTRIES_WATCH_WAIT_MS: u64 = 8_000;

/// The timeout of a call beyond the time that it waits in the store, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 450;

/// The first and the longest backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (60, 800);

/// The time to live of the lease of an announcement, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// The interval between renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_500;

/// How long before its expiry a lease counts as expired, in milliseconds: the store's clock may run
/// faster, and work that depends on the lease takes time to stop.
const LEASE_MARGIN_MS: u64 = 500;

/// The activities of the directory itself.
const ACTIVITIES: [Activity; 4] = [
    Activity::Configuration,
    Activity::Evacuations,
    Activity::Entries,
    Activity::Announcement,
];

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
    /// Waves of maintenance have changed, or may have.
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
    configuration: ConfigurationWatch,
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
    /// The activities whose last call has failed.
    failing: BTreeSet<Activity>,
    /// When the store last answered.
    last_reply_at: Time,
}

impl Directory {
    /// Creates a directory that has read nothing and is not announced.
    pub fn new(now: Time) -> Self {
        Self {
            configuration: ConfigurationWatch::new(now),
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
            failing: BTreeSet::new(),
            last_reply_at: now,
        }
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn next_wake(&self) -> Time {
        let activities = [
            &self.configuration.pacing,
            &self.evacuations.pacing,
            &self.entries.pacing,
            &self.announcement.pacing,
        ];
        let wakes = activities.map(Pacing::next_wake);
        wakes.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Returns when the store last confirmed that there is no newer configuration than the one it
    /// has returned.
    pub const fn configuration_confirmed_at(&self) -> Option<Time> {
        self.configuration.replied_at()
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
        for activity in ACTIVITIES {
            let pacing = self.pacing_mut(activity);
            if pacing.in_flight || now < pacing.due {
                continue;
            }
            let Some((call, wait)) = self.next_call(activity, now) else {
                if activity == Activity::Evacuations {
                    // Until the watch of the configuration requires another list.
                    self.evacuations.pacing.due = Time::MAX;
                    continue;
                }
                self.pacing_mut(activity).due = now.after_millis(RENEW_INTERVAL_MS);
                continue;
            };
            self.pacing_mut(activity).in_flight = true;
            if matches!(call, StoreCall::Grant { .. } | StoreCall::Renew { .. }) {
                self.lease_requested_at = now;
            }
            let reply_timeout_ms = match activity {
                Activity::Configuration => self.configuration.reply_timeout_ms(),
                _ => REPLY_TIMEOUT_MS,
            };
            out.push(Action::Call {
                activity,
                call,
                timeout: wait + reply_timeout_ms,
            });
        }
    }

    const fn pacing_mut(&mut self, activity: Activity) -> &mut Pacing {
        match activity {
            Activity::Configuration => &mut self.configuration.pacing,
            Activity::Evacuations => &mut self.evacuations.pacing,
            Activity::Entries => &mut self.entries.pacing,
            Activity::Announcement
            | Activity::Jobs
            | Activity::Commit(_)
            | Activity::Job
            | Activity::Lookup
            | Activity::Confirmation
            | Activity::Maintenance => &mut self.announcement.pacing,
        }
    }

    /// Returns the next call of an activity and how long it waits in the store, in milliseconds.
    fn next_call(&mut self, activity: Activity, now: Time) -> Option<(StoreCall, u64)> {
        match activity {
            Activity::Configuration => Some(self.configuration.next_call(now)),
            Activity::Evacuations => {
                let revision = self.evacuations.revision;
                let is_due = revision.is_none_or(|known| known < self.evacuations_required);
                is_due.then(|| (self.evacuation_list.next_call(), 0))
            }
            Activity::Entries => Some(match self.entries.revision {
                None => (StoreCall::ListEntries, 0),
                Some(after) => {
                    let wait = ENTRIES_WATCH_WAIT_MS;
                    (StoreCall::WatchEntries { after, wait }, wait)
                }
            }),
            Activity::Announcement => self.next_announcement_call().map(|call| (call, 0)),
            Activity::Jobs
            | Activity::Commit(_)
            | Activity::Job
            | Activity::Lookup
            | Activity::Confirmation
            | Activity::Maintenance => None,
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
        self.pacing_mut(activity).in_flight = false;
        let Some(reply) = reply else {
            self.handle_failure(activity, now);
            return;
        };
        self.pacing_mut(activity).record_success(now);
        if self.failing.remove(&activity) {
            info!(duty = ?activity, away_ms = self.age(now), "store answers again");
        }
        self.last_reply_at = now;
        self.apply_reply(activity, reply, now, out);
    }

    fn handle_failure(&mut self, activity: Activity, now: Time) {
        if activity == Activity::Configuration {
            self.configuration.handle_failure(now);
        } else {
            self.pacing_mut(activity).record_failure(now);
        }
        if activity == Activity::Evacuations {
            self.evacuation_list.restart();
        }
        if self.failing.insert(activity) {
            warn!(duty = ?activity, age_ms = self.age(now), "store does not answer");
        }
    }

    /// Requires a list of evacuations that is not older than a revision.
    fn require_evacuations(&mut self, revision: u64, now: Time) {
        if revision > self.evacuations_required {
            self.evacuations_required = revision;
            let due = &mut self.evacuations.pacing.due;
            *due = (*due).min(now);
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
                if let Some(revision) = self.configuration.handle_read(value, at, now, out) {
                    self.require_evacuations(revision, now);
                }
            }
            (Activity::Configuration, StoreReply::OperatorWrote { changes, at }) => {
                if changes.evacuations {
                    self.require_evacuations(at, now);
                }
                self.configuration.handle_changes(changes, at, now, out);
            }
            (Activity::Configuration, StoreReply::Changed { any: false, at }) => {
                self.configuration.handle_no_change(at, now);
            }
            (Activity::Configuration, StoreReply::Compacted) => {
                self.configuration.handle_compaction();
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
            (Activity::Entries, StoreReply::Changed { any, at }) => {
                // The list is small, so a change triggers a full read.
                self.entries.revision = if any { None } else { Some(at) };
            }
            (Activity::Entries, StoreReply::Compacted) => {
                debug!(duty = ?activity, "watch revision was compacted; reading again");
                self.entries.revision = None;
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
                self.pacing_mut(activity).record_failure(now);
            }
        }
    }
}

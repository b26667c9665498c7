//! The simulated key-value store: conditional writes, leases, watches and faults.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Configuration;
use fulmarpond_dispatch::directory::{
    AnnouncedEntry, CommitRow, JobItem, OperatorChanges, StoreCall, StoreReply, StoredConfiguration,
};
use fulmarpond_dispatch::maintenance::Wave;
use fulmarpond_dispatch::{JobId, decode, ledger};

/// Size of a route in a reply of the store, in bytes.
pub(super) const STORED_ROUTE_BYTES: usize = 240;

/// A fault at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    #[default]
    None,
    /// Calls are neither applied nor answered. Leases expire meanwhile only if `leases_expire` is
    /// set; otherwise they are extended by the length of the outage.
    Down { leases_expire: bool },
    /// Each reply is delayed by this time, in milliseconds.
    Slow(u64),
    /// This percentage of the writes is applied, but not answered.
    Lost(u32),
    /// This percentage of the writes is not answered, and applied some seconds later.
    Late(u32),
    /// Calls are refused and not applied.
    Refusing,
}

#[derive(Debug, Clone)]
struct Item {
    spec: Vec<u8>,
    state: Vec<u8>,
    revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    expires_at: Time,
    ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Change {
    Job(JobId),
    Entries,
    Configuration,
    Operator,
    Evacuations,
}

impl Change {
    const fn is_by_operator(&self) -> bool {
        matches!(
            self,
            Self::Configuration | Self::Operator | Self::Evacuations
        )
    }
}

#[derive(Debug, Default)]
pub struct Store {
    pub fault: StoreFault,
    configuration: Option<Configuration>,
    /// Number of routes of the configuration.
    routes: usize,
    jobs: BTreeMap<JobId, Item>,
    entries: BTreeMap<String, (AnnouncedEntry, u64)>,
    leases: BTreeMap<u64, Lease>,
    changes: Vec<(u64, Change)>,
    revision: u64,
    /// Changes up to this revision are compacted.
    compacted_revision: u64,
    next_lease: u64,
    pub waves: Vec<Wave>,
    /// The evacuated zones.
    evacuations: BTreeSet<String>,
    /// State of the waves by number: whether they are completed.
    pub wave_states: BTreeMap<u64, bool>,
    /// Lease and revision of the maintenance duty, while an entry holds it.
    duty: Option<(u64, u64)>,
    /// Whether an entry has ever held the duty.
    duty_ever_taken: bool,
}

impl Store {
    /// Applies a call and returns the reply, or `None` for a watch without a change so far.
    pub fn call(
        &mut self,
        from: &AnnouncedEntry,
        call: &StoreCall,
        now: Time,
    ) -> Option<StoreReply> {
        self.end_expired_leases(now);
        let at = self.revision;
        let reply = match call {
            StoreCall::ReadConfiguration => StoreReply::Configuration {
                value: self.stored_configuration(),
                at,
            },
            StoreCall::WatchOperator { after, .. } => self.operator_changes(*after)?,
            StoreCall::ListEvacuations { after } => self.evacuation_page(after.as_deref()),
            StoreCall::WatchEvacuations { after, .. } => {
                self.changes_after(*after, |change| *change == Change::Evacuations)?
            }
            StoreCall::ListWaves => StoreReply::Waves(self.waves.clone()),
            StoreCall::ListWaveStates => {
                let completed = self
                    .wave_states
                    .iter()
                    .filter(|(_, is_completed)| **is_completed);
                StoreReply::CompletedWaves(completed.map(|(number, _)| *number).collect())
            }
            StoreCall::TakeDuty {
                lease,
                expected,
                first,
            } => self.take_duty(*lease, *expected, *first),
            StoreCall::WriteWaveState {
                wave,
                completed,
                duty,
            } => self.write_wave_state(*wave, *completed, *duty),
            StoreCall::ListEntries => StoreReply::Entries {
                entries: self
                    .entries
                    .values()
                    .map(|(entry, _)| entry.clone())
                    .collect(),
                at,
            },
            StoreCall::WatchEntries { after, .. } => {
                self.changes_after(*after, |change| *change == Change::Entries)?
            }
            StoreCall::Grant { ttl } => self.grant(*ttl, now),
            StoreCall::Renew { lease } => self.renew(*lease, now),
            StoreCall::Announce { lease } => self.announce(from, *lease),
            StoreCall::End { lease } => {
                self.end_lease(*lease);
                StoreReply::Written
            }
            StoreCall::ListJobs { .. } => StoreReply::JobPage {
                items: self
                    .jobs
                    .keys()
                    .filter_map(|job| self.job_item(job))
                    .collect(),
                more: false,
                at,
            },
            StoreCall::WatchJobs { after, .. } => self.job_changes(*after)?,
            StoreCall::ReadState { job } => StoreReply::State(self.job_item(job)),
            StoreCall::ReadJob { job } => StoreReply::Job {
                spec: self.jobs.get(job).map(|item| item.spec.clone()),
            },
            StoreCall::CommitJobs { rows } => self.commit(rows),
        };
        Some(reply)
    }

    /// Returns the reply to a watch that timed out.
    pub fn watch_timeout_reply(&self, call: &StoreCall) -> StoreReply {
        let at = self.revision;
        match call {
            StoreCall::WatchJobs { .. } => StoreReply::JobChanges {
                items: Vec::new(),
                removed: Vec::new(),
                at,
            },
            _ => StoreReply::Changed { any: false, at },
        }
    }

    pub const fn is_write(call: &StoreCall) -> bool {
        matches!(
            call,
            StoreCall::CommitJobs { .. }
                | StoreCall::Announce { .. }
                | StoreCall::Grant { .. }
                | StoreCall::TakeDuty { .. }
                | StoreCall::WriteWaveState { .. }
        )
    }

    /// Revokes the lease under which an entry is announced, as a store does that rejects the
    /// entry's host.
    pub fn revoke_entry_lease(&mut self, name: &str) {
        if let Some((_, lease)) = self.entries.get(name) {
            let lease = *lease;
            self.end_lease(lease);
        }
    }

    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.changes.clear();
    }

    /// Extends all leases.
    pub fn extend_leases(&mut self, millis: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = lease.expires_at.after_millis(millis);
        }
    }

    pub fn state(&self, job: &JobId) -> Option<ledger::JobState> {
        self.jobs.get(job).and_then(|item| decode(&item.state).ok())
    }

    pub fn end_expired_leases(&mut self, now: Time) {
        if matches!(
            self.fault,
            StoreFault::Down {
                leases_expire: false
            }
        ) {
            return;
        }
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(&number, _)| number).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn record_changes(&mut self, changes: impl IntoIterator<Item = Change>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.changes
            .extend(changes.into_iter().map(|change| (revision, change)));
        revision
    }

    fn changes_after(&self, after: u64, wanted: impl Fn(&Change) -> bool) -> Option<StoreReply> {
        if after < self.compacted_revision {
            return Some(StoreReply::Compacted);
        }
        let mut later = self.changes.iter().filter(|(at, _)| *at > after);
        let any = later.any(|(_, change)| wanted(change));
        any.then_some(StoreReply::Changed {
            any,
            at: self.revision,
        })
    }

    fn stored_configuration(&self) -> Option<StoredConfiguration> {
        let configuration = self.configuration.clone()?;
        Some(StoredConfiguration {
            bytes: configuration.route_count() * STORED_ROUTE_BYTES,
            configuration,
            skipped_rows: 0,
        })
    }

    fn operator_changes(&self, after: u64) -> Option<StoreReply> {
        if self.changes_after(after, Change::is_by_operator)? == StoreReply::Compacted {
            return Some(StoreReply::Compacted);
        }
        let later = self.changes.iter().filter(|(at, _)| *at > after);
        let later: Vec<&Change> = later.map(|(_, change)| change).collect();
        let changes = OperatorChanges {
            configuration: later
                .contains(&&Change::Configuration)
                .then(|| self.stored_configuration()),
            evacuations: later.contains(&&Change::Evacuations),
            waves: later.contains(&&Change::Operator),
        };
        Some(StoreReply::OperatorWrote {
            changes,
            at: self.revision,
        })
    }

    fn job_changes(&self, after: u64) -> Option<StoreReply> {
        let wanted = |change: &Change| matches!(change, Change::Job(_));
        let StoreReply::Changed { .. } = self.changes_after(after, wanted)? else {
            return Some(StoreReply::Compacted);
        };
        let later = self.changes.iter().filter(|(at, _)| *at > after);
        let mut jobs: Vec<&JobId> = later
            .filter_map(|(_, change)| match change {
                Change::Job(job) => Some(job),
                Change::Entries
                | Change::Configuration
                | Change::Operator
                | Change::Evacuations => None,
            })
            .collect();
        jobs.sort();
        jobs.dedup();
        let (present, removed): (Vec<&JobId>, Vec<&JobId>) = jobs
            .into_iter()
            .partition(|job| self.jobs.contains_key(*job));
        Some(StoreReply::JobChanges {
            items: present
                .into_iter()
                .filter_map(|job| self.job_item(job))
                .collect(),
            removed: removed.into_iter().cloned().collect(),
            at: self.revision,
        })
    }

    fn grant(&mut self, ttl_ms: u64, now: Time) -> StoreReply {
        self.next_lease += 1;
        let expires_at = now.after_millis(ttl_ms);
        self.leases
            .insert(self.next_lease, Lease { expires_at, ttl_ms });
        StoreReply::Leased {
            lease: self.next_lease,
        }
    }

    fn renew(&mut self, number: u64, now: Time) -> StoreReply {
        match self.leases.get_mut(&number) {
            Some(lease) => {
                lease.expires_at = now.after_millis(lease.ttl_ms);
                StoreReply::Leased { lease: number }
            }
            None => StoreReply::NoLease,
        }
    }

    fn announce(&mut self, from: &AnnouncedEntry, lease: u64) -> StoreReply {
        if !self.leases.contains_key(&lease) {
            return StoreReply::NoLease;
        }
        self.entries
            .insert(from.name.clone(), (from.clone(), lease));
        self.record_changes([Change::Entries]);
        StoreReply::Written
    }

    /// Replaces the configuration, as an operator does.
    pub fn set_configuration(&mut self, configuration: Configuration) {
        self.routes = configuration.route_count();
        self.configuration = Some(configuration);
        self.record_changes([Change::Configuration]);
    }

    pub const fn route_count(&self) -> usize {
        self.routes
    }

    /// Returns the number of changes of the configuration after a revision.
    pub fn configuration_changes_after(&self, after: u64) -> u64 {
        let later = self.changes.iter().filter(|(at, _)| *at > after);
        later
            .filter(|(_, change)| *change == Change::Configuration)
            .count() as u64
    }

    /// Adds a wave, as an operator does.
    pub fn add_wave(&mut self, wave: Wave) {
        self.waves.push(wave);
        self.record_changes([Change::Operator]);
    }

    /// Begins or ends the evacuation of a zone, as an operator does.
    pub fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuations.insert(zone.to_owned());
        } else {
            self.evacuations.remove(zone);
        }
        self.record_changes([Change::Evacuations]);
    }

    /// Returns one name a page, so that lists of several zones have several pages.
    fn evacuation_page(&self, after: Option<&str>) -> StoreReply {
        let is_later = |name: &&String| after.is_none_or(|after| name.as_str() > after);
        let mut later = self.evacuations.iter().filter(is_later);
        let names: Vec<String> = later.next().cloned().into_iter().collect();
        let next = names.last().cloned().filter(|_| later.next().is_some());
        StoreReply::EvacuationPage {
            names,
            next,
            at: self.revision,
        }
    }

    fn take_duty(&mut self, lease: u64, expected: u64, first: bool) -> StoreReply {
        if !self.leases.contains_key(&lease) {
            return StoreReply::NoLease;
        }
        let present = self.duty.map_or(0, |(_, revision)| revision);
        if present != expected || (first && self.duty_ever_taken) {
            return StoreReply::DutyTaken { holder: self.duty };
        }
        let revision = self.record_changes([]);
        self.duty_ever_taken = true;
        self.duty = Some((lease, revision));
        StoreReply::Committed { revision }
    }

    fn write_wave_state(&mut self, wave: u64, completed: bool, duty: u64) -> StoreReply {
        if self.duty.is_none_or(|(_, revision)| revision != duty) {
            return StoreReply::Conflict { items: Vec::new() };
        }
        self.wave_states.insert(wave, completed);
        let revision = self.record_changes([]);
        StoreReply::Committed { revision }
    }

    fn end_lease(&mut self, number: u64) {
        self.leases.remove(&number);
        self.duty = self.duty.filter(|(lease, _)| *lease != number);
        let before = self.entries.len();
        self.entries.retain(|_, (_, lease)| *lease != number);
        if self.entries.len() != before {
            self.record_changes([Change::Entries]);
        }
    }

    fn commit(&mut self, rows: &[CommitRow]) -> StoreReply {
        let present = |job: &JobId| self.jobs.get(job).map_or(0, |item| item.revision);
        if rows.iter().any(|row| present(&row.job) != row.expected) {
            return StoreReply::Conflict {
                items: rows
                    .iter()
                    .filter_map(|row| self.job_item(&row.job))
                    .collect(),
            };
        }
        let changes: Vec<Change> = rows
            .iter()
            .map(|row| Change::Job(row.job.clone()))
            .collect();
        let revision = self.record_changes(changes);
        for row in rows {
            let Some(state) = &row.state else {
                self.jobs.remove(&row.job);
                continue;
            };
            let known = self.jobs.get(&row.job).map(|item| item.spec.clone());
            let spec = row.spec.clone().or(known).unwrap_or_default();
            let item = Item {
                spec,
                state: state.clone(),
                revision,
            };
            self.jobs.insert(row.job.clone(), item);
        }
        StoreReply::Committed { revision }
    }

    fn job_item(&self, job: &JobId) -> Option<JobItem> {
        let item = self.jobs.get(job)?;
        Some(JobItem {
            job: job.clone(),
            state: item.state.clone(),
            revision: item.revision,
        })
    }
}

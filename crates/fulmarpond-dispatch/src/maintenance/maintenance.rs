//! The course of the waves.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::call::{HostCall, HostReply, ListedHost, OrderRefusal};
use super::duty::{Duty, Lease};
use super::wave::{Progress, Step, Wave, Work};
use crate::EndpointId;
use crate::directory::{LEASE_MS, StoreCall, StoreReply};
use crate::pacing::Pacing;

/// How long a call to the store may take, in milliseconds.
const STORE_MS: u64 = 1_000;

/// How long a call to the service for hosts may take, in milliseconds.
const HOSTS_MS: u64 = 1_000;

/// The first and the longest pause after a failed call, in milliseconds.
const PAUSE_MS: (u64, u64) = (100, 2_000);

/// The interval of lists of the hosts while a wave runs, in milliseconds.
const LIST_MS: u64 = 500;

/// The interval at which agents are told that their host is drained, in milliseconds.
const DRAIN_MS: u64 = 500;

/// The pause after the service for hosts has refused a call as one too many, in milliseconds.
const TOO_MANY_MS: u64 = 1_000;

/// How long an earlier holder of the duty may still give orders, in milliseconds: its announcement may
/// have been taken away without its knowledge, and its last order may be on its way.
const LAST_ORDER_MS: u64 = LEASE_MS + HOSTS_MS;

/// How maintenance is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceOptions {
    /// The name of the entry.
    pub holder: String,
    /// How long a new holder of the duty waits at least before its first order, in milliseconds.
    pub handover: u64,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the store, and report the outcome with [`Maintenance::store_answered`].
    Store {
        /// The call.
        call: StoreCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// Call the service for hosts, and report the outcome with [`Maintenance::hosts_answered`].
    Hosts {
        /// The call.
        call: HostCall,
        /// How long to wait for a reply, in milliseconds.
        timeout: u64,
    },
    /// Let the agent of an endpoint take no new tasks for a while.
    Drain(EndpointId),
}

/// Pages of the list of hosts.
#[derive(Debug, Default)]
struct Listing {
    found: BTreeMap<String, ListedHost>,
    next: Option<String>,
    asked: Time,
}

/// The waves of maintenance in the store, and what this entry does for them.
#[derive(Debug)]
pub struct Maintenance {
    options: MaintenanceOptions,
    duty: Duty,
    store: Pacing,
    /// The call to the store that is under way.
    asked: Option<StoreCall>,
    /// Whether the waves have to be read.
    stale: bool,
    /// The waves that were read, until it is known which of them are over.
    read: Vec<Wave>,
    waves: BTreeMap<u64, Progress>,
    /// Waves that are over.
    completed: BTreeSet<u64>,
    service: Pacing,
    /// The order that is under way: the wave and the host.
    ordered: Option<(u64, String)>,
    listing: Option<Listing>,
    hosts: BTreeMap<String, ListedHost>,
    next_list: Time,
    next_drain: Time,
}

impl Maintenance {
    /// Creates a state that knows no wave.
    pub const fn new(options: MaintenanceOptions, now: Time) -> Self {
        Self {
            options,
            duty: Duty::new(now),
            store: Pacing::new(PAUSE_MS, now),
            asked: None,
            stale: true,
            read: Vec::new(),
            waves: BTreeMap::new(),
            completed: BTreeSet::new(),
            service: Pacing::new(PAUSE_MS, now),
            ordered: None,
            listing: None,
            hosts: BTreeMap::new(),
            next_list: now,
            next_drain: now,
        }
    }

    /// Notes that the operator has written something: the waves are read again.
    pub const fn operator_wrote(&mut self) {
        self.stale = true;
    }

    /// Returns whether there is anything to do.
    pub fn is_active(&self) -> bool {
        self.stale || !self.waves.is_empty()
    }

    /// Returns how many waves are not over.
    pub fn waves(&self) -> usize {
        self.waves.len()
    }

    /// Does what is due. `work` tells what an endpoint still runs.
    pub fn tick(
        &mut self,
        lease: Option<Lease>,
        work: impl Fn(&EndpointId) -> Work,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self.duty.check(lease, now) {
            self.lose_duty(now);
        }
        self.call_store(lease, now, out);
        if self.duty.fence(now).is_none() || self.waves.is_empty() {
            return;
        }
        for wave in self.waves.values_mut() {
            wave.drain_next(&self.hosts, now);
            let hosts = &self.hosts;
            wave.order_drained(now, |name| {
                let endpoint = hosts.get(name).and_then(|host| host.endpoint.as_ref());
                endpoint.map_or(Work::Ending, &work)
            });
        }
        self.drain(now, out);
        self.call_service(now, out);
    }

    fn lose_duty(&mut self, now: Time) {
        self.restart_waves(now);
        self.listing = None;
        self.stale = true;
    }

    /// Forgets how far the hosts are: another entry may have had the duty.
    fn restart_waves(&mut self, now: Time) {
        for wave in self.waves.values_mut() {
            wave.restart(now);
        }
        self.hosts.clear();
    }

    /// Tells the agents of hosts that are drained, again and again.
    fn drain(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_drain {
            return;
        }
        self.next_drain = now.after_millis(DRAIN_MS);
        for wave in self.waves.values() {
            let draining = wave.at(|step| matches!(step, Step::Draining(_) | Step::Ordered));
            let hosts = draining.iter().filter_map(|name| self.hosts.get(name));
            let endpoints = hosts.filter_map(|host| host.endpoint.clone());
            out.extend(endpoints.map(Action::Drain));
        }
    }

    // The store.

    fn call_store(&mut self, lease: Option<Lease>, now: Time, out: &mut Vec<Action>) {
        if self.store.in_flight || now < self.store.due {
            return;
        }
        let Some(call) = self.next_store_call(lease, now) else {
            return;
        };
        self.store.in_flight = true;
        self.asked = Some(call.clone());
        out.push(Action::Store {
            call,
            timeout: STORE_MS,
        });
    }

    fn next_store_call(&self, lease: Option<Lease>, now: Time) -> Option<StoreCall> {
        if !self.read.is_empty() {
            return Some(StoreCall::ListWaveStates);
        }
        if self.stale {
            return Some(StoreCall::ListWaves);
        }
        if self.waves.is_empty() {
            return None;
        }
        let Some(fence) = self.duty.fence(now) else {
            let lease = lease.filter(|lease| now < lease.end)?;
            let wanted = self.duty.is_wanted(now);
            return wanted.then(|| StoreCall::TakeDuty {
                lease: lease.number,
                expected: self.duty.expected(lease.number),
                first: self.duty.is_first(),
            });
        };
        let mut waves = self.waves.values();
        let untold = waves.find(|wave| !wave.announced || wave.is_done())?;
        Some(StoreCall::WriteWaveState {
            wave: untold.wave.number,
            completed: untold.is_done(),
            duty: fence,
        })
    }

    /// Takes the outcome of a call to the store; `None` stands for a call that failed.
    pub fn store_answered(&mut self, reply: Option<StoreReply>, now: Time) {
        self.store.in_flight = false;
        let Some(call) = self.asked.take() else {
            return;
        };
        let Some(reply) = reply else {
            self.store.record_failure(now);
            if matches!(call, StoreCall::TakeDuty { .. }) {
                self.duty.missed(now);
            }
            return;
        };
        self.store.record_success(now);
        match (call, reply) {
            (StoreCall::ListWaves, StoreReply::Waves(waves)) => self.waves_read(waves),
            (StoreCall::ListWaveStates, StoreReply::CompletedWaves(completed)) => {
                self.states_read(completed, now);
            }
            (
                StoreCall::TakeDuty {
                    lease,
                    expected,
                    first,
                },
                StoreReply::Committed { revision },
            ) => {
                let wait = if first || expected > 0 {
                    0
                } else {
                    self.options.handover.max(LAST_ORDER_MS)
                };
                self.duty.taken(lease, revision, now.after_millis(wait));
                self.restart_waves(now);
                self.next_list = now;
            }
            (StoreCall::TakeDuty { lease, .. }, StoreReply::DutyTaken { holder }) => {
                self.duty.refused(lease, holder, now);
                // The holder may have completed the waves.
                self.stale = true;
            }
            (
                StoreCall::WriteWaveState {
                    wave, completed, ..
                },
                StoreReply::Committed { .. },
            ) => self.state_written(wave, completed),
            (StoreCall::WriteWaveState { .. }, StoreReply::Conflict { .. }) => {
                self.duty.fenced(now);
                self.lose_duty(now);
            }
            // The announcement has lapsed; it is renewed first.
            (StoreCall::TakeDuty { .. }, StoreReply::NoLease) => self.duty.missed(now),
            (call, reply) => {
                warn!(?call, ?reply, "unexpected reply of the store");
                self.store.record_failure(now);
            }
        }
    }

    fn waves_read(&mut self, waves: Vec<Wave>) {
        self.stale = false;
        let open = waves
            .into_iter()
            .filter(|wave| !self.completed.contains(&wave.number));
        self.read = open.collect();
    }

    fn states_read(&mut self, completed: Vec<u64>, now: Time) {
        self.completed.extend(completed);
        for wave in std::mem::take(&mut self.read) {
            let number = wave.number;
            if self.completed.contains(&number) || self.waves.contains_key(&number) {
                continue;
            }
            info!(
                wave = number,
                hosts = wave.hosts.len(),
                most = wave.most,
                within_ms = wave.within,
                "wave of maintenance"
            );
            self.waves.insert(number, Progress::new(wave, now));
        }
        let completed = &self.completed;
        self.waves.retain(|number, _| !completed.contains(number));
    }

    fn state_written(&mut self, number: u64, completed: bool) {
        if completed {
            info!(wave = number, "wave of maintenance is completed");
            self.completed.insert(number);
            self.waves.remove(&number);
        } else if let Some(wave) = self.waves.get_mut(&number) {
            wave.announced = true;
        }
    }

    // The service for hosts.

    fn call_service(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.service.in_flight || now < self.service.due {
            return;
        }
        let Some(call) = self.next_order(now).or_else(|| self.next_page(now)) else {
            return;
        };
        self.service.in_flight = true;
        out.push(Action::Hosts {
            call,
            timeout: HOSTS_MS,
        });
    }

    fn next_order(&mut self, now: Time) -> Option<HostCall> {
        let fence = self.duty.fence(now)?;
        let ordered = |wave: &Progress| wave.at(|step| *step == Step::Ordered).into_iter().next();
        let mut waves = self.waves.iter();
        let (&number, host) = waves.find_map(|(number, wave)| Some((number, ordered(wave)?)))?;
        info!(wave = number, host, fence, "ordering maintenance");
        self.ordered = Some((number, host.clone()));
        Some(HostCall::Maintain {
            host,
            wave: number,
            holder: self.options.holder.clone(),
            fence,
        })
    }

    fn next_page(&mut self, now: Time) -> Option<HostCall> {
        if self.listing.is_none() {
            if now < self.next_list {
                return None;
            }
            self.next_list = now.after_millis(LIST_MS);
            self.listing = Some(Listing {
                asked: now,
                ..Listing::default()
            });
        }
        let listing = self.listing.as_ref()?;
        Some(HostCall::List {
            page: listing.next.clone(),
        })
    }

    /// Takes the outcome of a call to the service for hosts; `None` stands for one without a reply.
    pub fn hosts_answered(&mut self, reply: Option<HostReply>, now: Time) {
        self.service.in_flight = false;
        let ordered = self.ordered.take();
        match reply {
            Some(HostReply::TooMany) => {
                self.service.record_success(now.after_millis(TOO_MANY_MS));
            }
            Some(reply) => {
                self.service.record_success(now);
                match ordered {
                    Some((wave, host)) => self.order_answered(wave, &host, &reply, now),
                    None => self.page_read(reply),
                }
            }
            // An order without a reply may have been carried out; it is given again.
            None => self.service.record_failure(now),
        }
    }

    fn order_answered(&mut self, number: u64, host: &str, reply: &HostReply, now: Time) {
        info!(wave = number, host, ?reply, "maintenance answered");
        let endpoint = self.hosts.get(host).and_then(|host| host.endpoint.clone());
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        match reply {
            HostReply::Begun => wave.set(
                host,
                Step::Away {
                    since: now,
                    endpoint,
                },
            ),
            HostReply::Refused(OrderRefusal::Busy) => wave.put_off(host, now),
            HostReply::Refused(OrderRefusal::Unknown) => wave.set(host, Step::Done),
            HostReply::Refused(OrderRefusal::Fenced) => {
                self.duty.fenced(now);
                self.lose_duty(now);
            }
            HostReply::Hosts { .. } | HostReply::TooMany => {}
        }
    }

    fn page_read(&mut self, reply: HostReply) {
        let HostReply::Hosts { hosts, next } = reply else {
            return;
        };
        let Some(mut listing) = self.listing.take() else {
            return;
        };
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host));
        listing.found.extend(hosts);
        listing.next = next;
        if listing.next.is_some() {
            self.listing = Some(listing);
            return;
        }
        self.hosts = listing.found;
        for wave in self.waves.values_mut() {
            wave.listed(&self.hosts, listing.asked);
        }
    }
}

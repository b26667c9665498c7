//! The state machine that carries out the waves of maintenance.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::call::{HostCall, HostReply, ListedHost, OrderRefusal};
use super::duty::{Lease, MaintenanceDuty};
use super::wave::{Step, Wave, WaveProgress, Work};
use crate::EndpointId;
use crate::directory::{LEASE_MS, StoreCall, StoreReply};
use crate::pacing::Pacing;

/// The timeout of a call to the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// The timeout of a call to the host service, in milliseconds.
const HOSTS_TIMEOUT_MS: u64 = 1_000;

/// The first and the longest backoff after a failed call, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 2_000);

/// The interval between lists of the hosts while a wave is open, in milliseconds.
const LIST_INTERVAL_MS: u64 = 500;

/// The interval between drain requests to the agents of draining hosts, in milliseconds.
const DRAIN_INTERVAL_MS: u64 = 500;

/// The pause after the host service has reported its rate limit, in milliseconds.
const RATE_LIMIT_PAUSE_MS: u64 = 1_000;

/// How long orders of the previous holder of the duty may still take effect, in milliseconds: it
/// may not know yet that its lease was revoked, and its last order may be in flight.
const STALE_ORDER_MS: u64 = LEASE_MS + HOSTS_TIMEOUT_MS;

/// The options of [`Maintenance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceOptions {
    /// The name of this entry.
    pub holder: String,
    /// The minimum time that a new holder of the duty waits before its first order, in
    /// milliseconds.
    pub handover_ms: u64,
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the store, and report the outcome with [`Maintenance::handle_store_reply`].
    Store {
        /// The call.
        call: StoreCall,
        /// The timeout of the call, in milliseconds.
        timeout: u64,
    },
    /// Call the host service, and report the outcome with [`Maintenance::handle_host_reply`].
    Hosts {
        /// The call.
        call: HostCall,
        /// The timeout of the call, in milliseconds.
        timeout: u64,
    },
    /// Tell the agent of an endpoint to accept no new tasks for a while.
    Drain(EndpointId),
}

/// A list of the hosts in progress.
#[derive(Debug, Default)]
struct Listing {
    hosts: BTreeMap<String, ListedHost>,
    next_page: Option<String>,
    requested_at: Time,
}

/// The open waves of maintenance and, while this entry holds the duty, their progress.
#[derive(Debug)]
pub struct Maintenance {
    options: MaintenanceOptions,
    duty: MaintenanceDuty,
    store_pacing: Pacing,
    /// The call to the store that is in flight.
    store_call: Option<StoreCall>,
    /// Whether the waves have to be read again.
    needs_reload: bool,
    /// The waves that were read, until their states are read as well.
    unresolved: Vec<Wave>,
    waves: BTreeMap<u64, WaveProgress>,
    /// The numbers of completed waves.
    completed: BTreeSet<u64>,
    service_pacing: Pacing,
    /// The wave and the host of the order in flight.
    order: Option<(u64, String)>,
    listing: Option<Listing>,
    hosts: BTreeMap<String, ListedHost>,
    next_list: Time,
    next_drain: Time,
}

impl Maintenance {
    /// Creates a state without waves; they are read from the store first.
    pub const fn new(options: MaintenanceOptions, now: Time) -> Self {
        Self {
            options,
            duty: MaintenanceDuty::new(now),
            store_pacing: Pacing::new(BACKOFF_MS, now),
            store_call: None,
            needs_reload: true,
            unresolved: Vec::new(),
            waves: BTreeMap::new(),
            completed: BTreeSet::new(),
            service_pacing: Pacing::new(BACKOFF_MS, now),
            order: None,
            listing: None,
            hosts: BTreeMap::new(),
            next_list: now,
            next_drain: now,
        }
    }

    /// Schedules a reload of the waves after the operator has written to the store.
    pub const fn schedule_reload(&mut self) {
        self.needs_reload = true;
    }

    /// Returns whether waves are open or have to be read.
    pub fn is_active(&self) -> bool {
        self.needs_reload || !self.waves.is_empty()
    }

    /// Returns the number of open waves.
    pub fn waves(&self) -> usize {
        self.waves.len()
    }

    /// Emits the actions that are due. `work` returns what an endpoint still runs.
    pub fn tick(
        &mut self,
        lease: Option<Lease>,
        work: impl Fn(&EndpointId) -> Work,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self.duty.release_if_expired(lease, now) {
            self.reset_after_duty_loss(now);
        }
        self.call_store(lease, now, out);
        if self.duty.fencing_token(now).is_none() || self.waves.is_empty() {
            return;
        }
        for wave in self.waves.values_mut() {
            wave.drain_next(&self.hosts, now);
            let hosts = &self.hosts;
            wave.order_drained(hosts, now, |name| {
                let endpoint = hosts.get(name).and_then(|host| host.endpoint.as_ref());
                endpoint.map_or(Work::Ending, &work)
            });
        }
        self.send_drains(now, out);
        self.call_host_service(now, out);
    }

    /// Resets the waves after the duty was lost, and schedules a reload.
    fn reset_after_duty_loss(&mut self, now: Time) {
        self.reset_progress(now);
        self.listing = None;
        self.needs_reload = true;
    }

    /// Resets the progress of all hosts that are not done, since another entry may have held the
    /// duty.
    fn reset_progress(&mut self, now: Time) {
        for wave in self.waves.values_mut() {
            wave.reset_progress(now);
        }
        self.hosts.clear();
    }

    /// Sends drain requests to the agents of draining hosts, repeated at an interval.
    fn send_drains(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_drain {
            return;
        }
        self.next_drain = now.after_millis(DRAIN_INTERVAL_MS);
        for wave in self.waves.values() {
            let draining = wave.hosts_at(|step| matches!(step, Step::Draining(_) | Step::Ordered));
            let hosts = draining.iter().filter_map(|name| self.hosts.get(name));
            let endpoints = hosts.filter_map(|host| host.endpoint.clone());
            out.extend(endpoints.map(Action::Drain));
        }
    }

    // Calls to the store.

    fn call_store(&mut self, lease: Option<Lease>, now: Time, out: &mut Vec<Action>) {
        if self.store_pacing.in_flight || now < self.store_pacing.due {
            return;
        }
        let Some(call) = self.next_store_call(lease, now) else {
            return;
        };
        self.store_pacing.in_flight = true;
        self.store_call = Some(call.clone());
        out.push(Action::Store {
            call,
            timeout: STORE_TIMEOUT_MS,
        });
    }

    fn next_store_call(&self, lease: Option<Lease>, now: Time) -> Option<StoreCall> {
        if !self.unresolved.is_empty() {
            return Some(StoreCall::ListWaveStates);
        }
        if self.needs_reload {
            return Some(StoreCall::ListWaves);
        }
        if self.waves.is_empty() {
            return None;
        }
        let Some(fence) = self.duty.fencing_token(now) else {
            let lease = lease.filter(|lease| now < lease.end)?;
            let is_due = self.duty.should_acquire(now);
            return is_due.then(|| StoreCall::TakeDuty {
                lease: lease.number,
                expected: self.duty.expected_revision(lease.number),
                first: self.duty.is_first_holder(),
            });
        };
        let mut waves = self.waves.values();
        let unreported = waves.find(|wave| !wave.is_announced || wave.is_done())?;
        Some(StoreCall::WriteWaveState {
            wave: unreported.wave.number,
            completed: unreported.is_done(),
            duty: fence,
        })
    }

    /// Handles the outcome of a call to the store; `None` is a call that failed.
    pub fn handle_store_reply(&mut self, reply: Option<StoreReply>, now: Time) {
        self.store_pacing.in_flight = false;
        let Some(call) = self.store_call.take() else {
            return;
        };
        let Some(reply) = reply else {
            self.store_pacing.record_failure(now);
            if matches!(call, StoreCall::TakeDuty { .. }) {
                self.duty.schedule_retry(now);
            }
            return;
        };
        self.store_pacing.record_success(now);
        match (call, reply) {
            (StoreCall::ListWaves, StoreReply::Waves(waves)) => self.apply_waves(waves),
            (StoreCall::ListWaveStates, StoreReply::CompletedWaves(completed)) => {
                self.apply_wave_states(completed, now);
            }
            (
                StoreCall::TakeDuty {
                    lease,
                    expected,
                    first,
                },
                StoreReply::Committed { revision },
            ) => {
                let order_delay_ms = if first || expected > 0 {
                    0
                } else {
                    self.options.handover_ms.max(STALE_ORDER_MS)
                };
                self.duty
                    .record_acquired(lease, revision, now.after_millis(order_delay_ms));
                self.reset_progress(now);
                self.next_list = now;
            }
            (StoreCall::TakeDuty { lease, .. }, StoreReply::DutyTaken { holder }) => {
                self.duty.record_refused(lease, holder, now);
                // The holder may have completed some of the waves.
                self.needs_reload = true;
            }
            (
                StoreCall::WriteWaveState {
                    wave, completed, ..
                },
                StoreReply::Committed { .. },
            ) => self.apply_written_state(wave, completed),
            (StoreCall::WriteWaveState { .. }, StoreReply::Conflict { .. }) => {
                self.duty.release_fenced(now);
                self.reset_after_duty_loss(now);
            }
            // The lease of the announcement has expired; the directory announces the entry again.
            (StoreCall::TakeDuty { .. }, StoreReply::NoLease) => self.duty.schedule_retry(now),
            (call, reply) => {
                warn!(?call, ?reply, "unexpected reply from the store");
                self.store_pacing.record_failure(now);
            }
        }
    }

    fn apply_waves(&mut self, waves: Vec<Wave>) {
        self.needs_reload = false;
        let open = waves
            .into_iter()
            .filter(|wave| !self.completed.contains(&wave.number));
        self.unresolved = open.collect();
    }

    fn apply_wave_states(&mut self, completed: Vec<u64>, now: Time) {
        self.completed.extend(completed);
        for wave in std::mem::take(&mut self.unresolved) {
            let number = wave.number;
            if self.completed.contains(&number) || self.waves.contains_key(&number) {
                continue;
            }
            info!(
                wave = number,
                hosts = wave.hosts.len(),
                most = wave.max_out_of_service,
                within_ms = wave.within_ms,
                "wave of maintenance"
            );
            self.waves.insert(number, WaveProgress::new(wave, now));
        }
        let completed = &self.completed;
        self.waves.retain(|number, _| !completed.contains(number));
    }

    fn apply_written_state(&mut self, number: u64, completed: bool) {
        if completed {
            info!(wave = number, "wave of maintenance is completed");
            self.completed.insert(number);
            self.waves.remove(&number);
        } else if let Some(wave) = self.waves.get_mut(&number) {
            wave.is_announced = true;
        }
    }

    // Calls to the host service.

    fn call_host_service(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.service_pacing.in_flight || now < self.service_pacing.due {
            return;
        }
        let Some(call) = self.next_order(now).or_else(|| self.next_list_call(now)) else {
            return;
        };
        self.service_pacing.in_flight = true;
        out.push(Action::Hosts {
            call,
            timeout: HOSTS_TIMEOUT_MS,
        });
    }

    fn next_order(&mut self, now: Time) -> Option<HostCall> {
        let fence = self.duty.fencing_token(now)?;
        let next_host = |wave: &WaveProgress| {
            wave.hosts_at(|step| *step == Step::Ordered)
                .into_iter()
                .next()
        };
        let mut waves = self.waves.iter();
        let (&number, host) = waves.find_map(|(number, wave)| Some((number, next_host(wave)?)))?;
        info!(wave = number, host, fence, "ordering maintenance");
        self.order = Some((number, host.clone()));
        Some(HostCall::Maintain {
            host,
            wave: number,
            holder: self.options.holder.clone(),
            fence,
        })
    }

    fn next_list_call(&mut self, now: Time) -> Option<HostCall> {
        if self.listing.is_none() {
            if now < self.next_list {
                return None;
            }
            self.next_list = now.after_millis(LIST_INTERVAL_MS);
            self.listing = Some(Listing {
                requested_at: now,
                ..Listing::default()
            });
        }
        let listing = self.listing.as_ref()?;
        Some(HostCall::List {
            page: listing.next_page.clone(),
        })
    }

    /// Handles the outcome of a call to the host service; `None` is a call without a reply.
    pub fn handle_host_reply(&mut self, reply: Option<HostReply>, now: Time) {
        self.service_pacing.in_flight = false;
        let order = self.order.take();
        match reply {
            Some(HostReply::TooMany) => {
                self.service_pacing
                    .record_success(now.after_millis(RATE_LIMIT_PAUSE_MS));
            }
            Some(reply) => {
                self.service_pacing.record_success(now);
                match order {
                    Some((wave, host)) => self.handle_order_reply(wave, &host, &reply, now),
                    None => self.apply_page(reply),
                }
            }
            // An order without a reply may have been carried out; it is sent again.
            None => self.service_pacing.record_failure(now),
        }
    }

    fn handle_order_reply(&mut self, number: u64, host: &str, reply: &HostReply, now: Time) {
        info!(wave = number, host, ?reply, "maintenance answered");
        let endpoint = self.hosts.get(host).and_then(|host| host.endpoint.clone());
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        match reply {
            HostReply::Begun => wave.set_step(
                host,
                Step::Away {
                    since: now,
                    endpoint,
                },
            ),
            HostReply::Refused(OrderRefusal::Busy) => wave.postpone(host, now),
            HostReply::Refused(OrderRefusal::NotInWave | OrderRefusal::Unknown) => {
                wave.set_step(host, Step::Done);
            }
            HostReply::Refused(OrderRefusal::Fenced) => {
                self.duty.release_fenced(now);
                self.reset_after_duty_loss(now);
            }
            HostReply::Hosts { .. } | HostReply::TooMany => {}
        }
    }

    fn apply_page(&mut self, reply: HostReply) {
        let HostReply::Hosts { hosts, next } = reply else {
            return;
        };
        let Some(mut listing) = self.listing.take() else {
            return;
        };
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host));
        listing.hosts.extend(hosts);
        listing.next_page = next;
        if listing.next_page.is_some() {
            self.listing = Some(listing);
            return;
        }
        self.hosts = listing.hosts;
        for wave in self.waves.values_mut() {
            wave.apply_list(&self.hosts, listing.requested_at);
        }
    }
}

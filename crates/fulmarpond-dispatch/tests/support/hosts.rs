//! Simulated hosts, and the service that carries out their maintenance.

use std::collections::{HashMap, HashSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::EndpointId;
use fulmarpond_dispatch::directory::{Activity, Directory, StoreReply};
use fulmarpond_dispatch::maintenance::{
    Action, HostCall, HostReply, HostState, ListedHost, Maintenance, MaintenanceOptions,
    OrderRefusal, Wave,
};
use rand::RngExt;

use super::endpoint::EndpointFault;
use super::simulation::{Event, Fault, Simulation};
use super::store_calls::CallKey;

/// One-way delay between an entry and the service, in microseconds.
const SERVICE_DELAY_US: u64 = 2_000;

/// Duration of the maintenance of a host, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// Minimum time between the orders of successive holders of the maintenance duty, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// The last maintenance order for a host.
#[derive(Debug, Clone)]
struct LastOrder {
    holder: String,
    fence: u64,
    ordered_at: Time,
}

/// State of the host service.
#[derive(Debug, Default)]
pub struct HostService {
    orders: HashMap<usize, LastOrder>,
    /// Start of the maintenance of each host, by wave and host.
    maintenance_started: HashMap<(u64, usize), Time>,
    /// Percentage of the orders whose reply is lost.
    pub lost_reply_percent: u32,
    /// Whether the service is down and answers nothing.
    pub is_down: bool,
    /// Number of runs that were ended by the maintenance of their host.
    pub interrupted_runs: usize,
    answered_calls: HashSet<u64>,
}

impl Simulation {
    fn host_name(agent: usize) -> String {
        format!("host-{agent}")
    }

    /// Schedules a maintenance wave over the hosts of all endpoints.
    pub fn wave_at(&mut self, millis: u64, number: u64, max_out_of_service: usize) {
        let hosts = (0..self.options.agents).map(Self::host_name);
        let wave = Wave {
            number,
            hosts: hosts.collect(),
            within_ms: 20_000,
            max_out_of_service,
        };
        self.schedule_in_ms(millis, Event::AddWave(wave));
    }

    pub(super) fn add_wave(&mut self, wave: Wave) {
        self.store.add_wave(wave);
        self.answer_ready_watches();
    }

    pub(super) fn new_maintenance(&self, entry: usize) -> Option<Maintenance> {
        let options = MaintenanceOptions {
            holder: format!("entry-{entry}"),
            handover_ms: HANDOVER_MS,
        };
        self.options
            .hosts
            .then(|| Maintenance::new(options, self.now))
    }

    /// Returns the number of hosts whose maintenance for a wave has begun.
    pub fn maintained_count(&self, wave: u64) -> usize {
        let started = self.hosts.maintenance_started.keys();
        started.filter(|(known, _)| *known == wave).count()
    }

    /// Returns whether a wave is stored as completed.
    pub fn is_wave_completed(&self, wave: u64) -> bool {
        self.store.wave_states.get(&wave) == Some(&true)
    }

    pub(super) fn tick_maintenance(&mut self, entry: usize) {
        let now = self.now;
        let lease = self.directories[entry].as_ref().and_then(Directory::lease);
        let mut actions = Vec::new();
        if let (Some(maintenance), Some(core)) = (
            &mut self.maintenance[entry],
            self.entries[entry].core.as_ref(),
        ) {
            let work = |endpoint: &EndpointId| core.work_at(endpoint);
            maintenance.tick(lease, work, now, &mut actions);
        }
        for action in actions {
            match action {
                Action::Store { call, timeout } => {
                    self.call_store(entry, Activity::Maintenance, call, timeout);
                }
                Action::Hosts { call, timeout } => self.call_host_service(entry, call, timeout),
                Action::Drain(endpoint) => {
                    let mut out = Vec::new();
                    if let Some(core) = &self.entries[entry].core {
                        core.drain(&endpoint, &mut out);
                    }
                    for action in out {
                        self.entry_action(entry, action);
                    }
                }
            }
        }
    }

    pub(super) fn maintenance_answered(&mut self, entry: usize, reply: Option<StoreReply>) {
        let now = self.now;
        if let Some(maintenance) = &mut self.maintenance[entry] {
            maintenance.handle_store_reply(reply, now);
        }
    }

    fn call_host_service(&mut self, entry: usize, call: HostCall, timeout: u64) {
        self.last_id += 1;
        let by = CallKey {
            entry,
            generation: self.entries[entry].generation,
            number: self.last_id,
        };
        self.schedule_in_us(SERVICE_DELAY_US, Event::HostCallArrives(by, call));
        self.schedule_in_ms(timeout, Event::HostCallAnswered(by, None));
    }

    pub(super) fn host_call_arrives(&mut self, by: CallKey, call: &HostCall) {
        if self.hosts.is_down {
            return;
        }
        let reply = match call {
            HostCall::List { .. } => self.list_hosts(),
            HostCall::Maintain {
                host,
                wave,
                holder,
                fence,
            } => {
                let reply = self.maintain(host, *wave, holder, *fence);
                if self.rng.random_range(0..100) < self.hosts.lost_reply_percent {
                    return;
                }
                reply
            }
        };
        self.schedule_in_us(SERVICE_DELAY_US, Event::HostCallAnswered(by, Some(reply)));
    }

    pub(super) fn host_call_answered(&mut self, by: CallKey, reply: Option<HostReply>) {
        if self.entries[by.entry].generation != by.generation
            || self.hosts.answered_calls.contains(&by.number)
        {
            return;
        }
        let event = Event::HostCallAnswered(by, reply.clone());
        if self.postpone_if_paused(self.entries[by.entry].paused_until, &event) {
            return;
        }
        self.hosts.answered_calls.insert(by.number);
        let now = self.now;
        if let Some(maintenance) = &mut self.maintenance[by.entry] {
            maintenance.handle_host_reply(reply, now);
        }
        self.with_entry(by.entry, |_, _, _| {});
    }

    fn list_hosts(&self) -> HostReply {
        let hosts = self.endpoints.iter().enumerate();
        let hosts = hosts.map(|(agent, endpoint)| {
            let is_up = endpoint.fault != EndpointFault::Crashed;
            ListedHost {
                name: Self::host_name(agent),
                state: if is_up {
                    HostState::Up
                } else {
                    HostState::Away
                },
                endpoint: is_up.then(|| endpoint.id()),
            }
        });
        HostReply::Hosts {
            hosts: hosts.collect(),
            next: None,
        }
    }

    fn maintain(&mut self, host: &str, number: u64, holder: &str, fence: u64) -> HostReply {
        let agent = (0..self.options.agents).find(|&agent| Self::host_name(agent) == host);
        let wave = self.store.waves.iter().find(|wave| wave.number == number);
        let (Some(agent), Some(max_out_of_service)) =
            (agent, wave.map(|wave| wave.max_out_of_service))
        else {
            return HostReply::Refused(OrderRefusal::Unknown);
        };
        if self.is_fenced(agent, holder, fence) {
            return HostReply::Refused(OrderRefusal::Fenced);
        }
        if self
            .hosts
            .maintenance_started
            .contains_key(&(number, agent))
        {
            return HostReply::Begun;
        }
        if self.endpoints[agent].fault == EndpointFault::Crashed {
            return HostReply::Refused(OrderRefusal::Busy);
        }
        let is_over = |at: &Time| self.now >= at.after_millis(MAINTENANCE_MS);
        let of_wave = self
            .hosts
            .maintenance_started
            .iter()
            .filter(|((of, _), _)| *of == number);
        let in_maintenance = of_wave.filter(|(_, at)| !is_over(at)).count();
        if in_maintenance >= max_out_of_service {
            let text = format!(
                "maintenance of {host} began while {in_maintenance} others were in maintenance"
            );
            self.history.violations.push(text);
        }
        self.hosts
            .maintenance_started
            .insert((number, agent), self.now);
        let runs: Vec<_> = self.endpoints[agent].runs.keys().cloned().collect();
        for task in &runs {
            self.check_availability(agent, task);
        }
        self.hosts.interrupted_runs += runs.len();
        self.begin_fault(Fault::Endpoint(
            agent,
            EndpointFault::Crashed,
            MAINTENANCE_MS,
        ));
        HostReply::Begun
    }

    /// Returns whether the fencing token of an order is stale. Records a violation if two holders
    /// use the same token, or give orders within less than the handover time.
    fn is_fenced(&mut self, agent: usize, holder: &str, fence: u64) -> bool {
        let now = self.now;
        if let Some(last) = self.hosts.orders.get(&agent) {
            if fence < last.fence {
                return true;
            }
            let within_handover = now.millis_since(last.ordered_at) < HANDOVER_MS;
            if holder != last.holder && (fence == last.fence || within_handover) {
                let text = format!(
                    "{holder} and {} both give orders for host-{agent}",
                    last.holder
                );
                self.history.violations.push(text);
            }
        }
        let last = LastOrder {
            holder: holder.to_owned(),
            fence,
            ordered_at: now,
        };
        self.hosts.orders.insert(agent, last);
        false
    }

    /// Records a violation for each wave that is not completed, or that is stored as completed
    /// although some of its hosts were not maintained.
    pub fn check_waves(&mut self) {
        for wave in self.store.waves.clone() {
            let (number, hosts) = (wave.number, wave.hosts.len());
            let started = self.maintained_count(number);
            if started < hosts || !self.is_wave_completed(number) {
                let text = format!(
                    "wave {number} open or completed early: {started} of {hosts} hosts done"
                );
                self.history.violations.push(text);
            }
        }
    }
}

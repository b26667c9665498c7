//! Simulated hosts, and the service that carries out their maintenance.

use std::collections::{HashMap, HashSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::EndpointId;
use fulmarpond_dispatch::directory::{Directory, Duty, StoreReply};
use fulmarpond_dispatch::maintenance::{
    Action, HostCall, HostReply, HostState, ListedHost, Maintenance, MaintenanceOptions,
    OrderRefusal, Wave,
};
use rand::RngExt;

use super::endpoint::Trouble;
use super::stored::Caller;
use super::world::{Event, Fault, World};

/// One-way delay between an entry and the service, in microseconds.
const SERVICE_US: u64 = 2_000;

/// Duration of the maintenance of a host, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// Minimum time between the orders of successive holders of the maintenance duty, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// The last maintenance order for a host.
#[derive(Debug, Clone)]
struct LastOrder {
    holder: String,
    fence: u64,
    at: Time,
}

/// State of the host service.
#[derive(Debug, Default)]
pub struct Hosts {
    orders: HashMap<usize, LastOrder>,
    /// Start of the maintenance of each host, by wave and host.
    begun: HashMap<(u64, usize), Time>,
    /// Percentage of the orders whose reply is lost.
    pub lost: u32,
    /// Whether the service is down and answers nothing.
    pub away: bool,
    /// Number of runs that were ended by the maintenance of their host.
    pub cut: usize,
    answered: HashSet<u64>,
}

impl World {
    fn host_name(agent: usize) -> String {
        format!("host-{agent}")
    }

    /// Schedules a maintenance wave over the hosts of all endpoints.
    pub fn wave_at(&mut self, millis: u64, number: u64, most: usize) {
        let hosts = (0..self.options.agents).map(Self::host_name);
        let wave = Wave {
            number,
            hosts: hosts.collect(),
            within: 20_000,
            most,
        };
        self.after_ms(millis, Event::Wave(wave));
    }

    pub(super) fn begin_wave(&mut self, wave: Wave) {
        self.store.add_wave(wave);
        self.answer_watches();
    }

    pub(super) fn new_maintenance(&self, entry: usize) -> Option<Maintenance> {
        let options = MaintenanceOptions {
            holder: format!("entry-{entry}"),
            handover: HANDOVER_MS,
        };
        self.options
            .hosts
            .then(|| Maintenance::new(options, self.now))
    }

    /// Returns the number of hosts whose maintenance for a wave has begun.
    pub fn maintained(&self, wave: u64) -> usize {
        let begun = self.hosts.begun.keys();
        begun.filter(|(known, _)| *known == wave).count()
    }

    /// Returns whether a wave is stored as completed.
    pub fn is_completed(&self, wave: u64) -> bool {
        self.store.wave_states.get(&wave) == Some(&true)
    }

    pub(super) fn tick_maintenance(&mut self, entry: usize) {
        let now = self.now;
        let lease = self.directories[entry].as_ref().and_then(Directory::lease);
        let mut due = Vec::new();
        if let (Some(maintenance), Some(core)) = (
            &mut self.maintenance[entry],
            self.entries[entry].core.as_ref(),
        ) {
            let work = |endpoint: &EndpointId| core.work_at(endpoint);
            maintenance.tick(lease, work, now, &mut due);
        }
        for action in due {
            match action {
                Action::Store { call, timeout } => {
                    self.call_store(entry, Duty::Maintenance, call, timeout);
                }
                Action::Hosts { call, timeout } => self.call_hosts(entry, call, timeout),
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
            maintenance.store_answered(reply, now);
        }
    }

    fn call_hosts(&mut self, entry: usize, call: HostCall, timeout: u64) {
        self.next += 1;
        let by = Caller {
            entry,
            life: self.entries[entry].life,
            number: self.next,
        };
        self.after_us(SERVICE_US, Event::ToHosts(by, call));
        self.after_ms(timeout, Event::FromHosts(by, None));
    }

    pub(super) fn arrive_at_hosts(&mut self, by: Caller, call: &HostCall) {
        if self.hosts.away {
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
                if self.rng.random_range(0..100) < self.hosts.lost {
                    return;
                }
                reply
            }
        };
        self.after_us(SERVICE_US, Event::FromHosts(by, Some(reply)));
    }

    pub(super) fn hosts_reply(&mut self, by: Caller, reply: Option<HostReply>) {
        if self.entries[by.entry].life != by.life || self.hosts.answered.contains(&by.number) {
            return;
        }
        let event = Event::FromHosts(by, reply.clone());
        if self.put_off(self.entries[by.entry].paused, &event) {
            return;
        }
        self.hosts.answered.insert(by.number);
        let now = self.now;
        if let Some(maintenance) = &mut self.maintenance[by.entry] {
            maintenance.hosts_answered(reply, now);
        }
        self.with_entry(by.entry, |_, _, _| {});
    }

    fn list_hosts(&self) -> HostReply {
        let hosts = self.endpoints.iter().enumerate();
        let hosts = hosts.map(|(agent, endpoint)| {
            let up = endpoint.trouble != Trouble::Gone;
            ListedHost {
                name: Self::host_name(agent),
                state: if up { HostState::Up } else { HostState::Away },
                endpoint: up.then(|| endpoint.id()),
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
        let (Some(agent), Some(most)) = (agent, wave.map(|wave| wave.most)) else {
            return HostReply::Refused(OrderRefusal::Unknown);
        };
        if self.is_fenced(agent, holder, fence) {
            return HostReply::Refused(OrderRefusal::Fenced);
        }
        if self.hosts.begun.contains_key(&(number, agent)) {
            return HostReply::Begun;
        }
        if self.endpoints[agent].trouble == Trouble::Gone {
            return HostReply::Refused(OrderRefusal::Busy);
        }
        let over = |at: &Time| self.now >= at.after_millis(MAINTENANCE_MS);
        let of_wave = self.hosts.begun.iter().filter(|((of, _), _)| *of == number);
        let away = of_wave.filter(|(_, at)| !over(at)).count();
        if away >= most {
            let text =
                format!("maintenance of {host} began while {away} other hosts were maintained");
            self.history.broken.push(text);
        }
        self.hosts.begun.insert((number, agent), self.now);
        let runs: Vec<_> = self.endpoints[agent].runs.keys().cloned().collect();
        for task in &runs {
            self.check_available(agent, task);
        }
        self.hosts.cut += runs.len();
        self.fault(Fault::Endpoint(agent, Trouble::Gone, MAINTENANCE_MS));
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
            let soon = now.millis_since(last.at) < HANDOVER_MS;
            if holder != last.holder && (fence == last.fence || soon) {
                let text = format!(
                    "{holder} and {} both give orders for host-{agent}",
                    last.holder
                );
                self.history.broken.push(text);
            }
        }
        let last = LastOrder {
            holder: holder.to_owned(),
            fence,
            at: now,
        };
        self.hosts.orders.insert(agent, last);
        false
    }

    /// Records a violation for each wave that is not completed, or that is stored as completed
    /// although some of its hosts were not maintained.
    pub fn check_waves(&mut self) {
        for wave in self.store.waves.clone() {
            let (number, hosts) = (wave.number, wave.hosts.len());
            let begun = self.maintained(number);
            if begun < hosts || !self.is_completed(number) {
                let text =
                    format!("wave {number} open or completed early: {begun} of {hosts} hosts done");
                self.history.broken.push(text);
            }
        }
    }
}

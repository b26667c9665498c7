//! The processes of a case, the emulated platform, and the relays between entries and agents.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fulmarpond_dispatch::encode;
use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions, Relay};

use super::case::{Case, Fault, Shape};
use super::front::Front;
use super::process::Process;
use crate::leased_system::{configuration, free_addr, get, wait_until};

/// The processor capacity of an endpoint, in thousandths of a core.
const ENDPOINT_CPU: u32 = 16_000;

/// How fast the slowest clock of an endpoint may run, in percent of real time.
const SLOW_CLOCK_PERCENT: u32 = 98;

/// How long an endpoint takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(40);

const ZONES: [&str; 3] = ["Saga", "Kurume", "Omuta"];

/// What the first data of each connection to the store contain.
const ANY_STORE_CALL: &[u8] = b"/v1/kv-";

const TIMING: &str =
    "[timing]\nresend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = 300ms\ngrace = 6s\n";

/// How the store fails for a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreFault {
    /// It carries out no call for now and answers none.
    Silent,
    /// Connections break, and new ones are refused.
    Refused,
}

/// Entries and agents with an emulated platform. Agents reach each entry through its relay.
pub(super) struct Fleet {
    pub(super) shape: Shape,
    /// The entries, then the agents.
    pub(super) processes: Vec<Process>,
    /// The addresses at which callers reach the entries.
    pub(super) callers: Vec<SocketAddr>,
    /// The fronts of the entries, if the shape has them.
    pub(super) fronts: Vec<Front>,
    pub(super) relays: Vec<Relay>,
    /// The ways of each zone to the store, if the shape has fronts.
    stores: Vec<Relay>,
    pub(super) emulator: Emulator,
    /// The version of the newest configuration.
    version: AtomicU64,
}

impl Fleet {
    pub(super) fn start(case: &Case, folder: &Path) -> Self {
        let shape = case.shape;
        let controls: Vec<SocketAddr> = (0..shape.agents).map(|_| free_addr()).collect();
        let emulator = start_emulator(shape, &controls);
        let links: Vec<SocketAddr> = (0..shape.entries).map(|_| free_addr()).collect();
        let relays = links.iter().map(|&link| {
            let relay = Relay::bind(free_addr(), link).expect("the relay starts");
            emulator.translate(link, relay.addr());
            relay
        });
        let relays: Vec<Relay> = relays.collect();
        let seeds = relays.iter().map(|relay| relay.addr().to_string());
        let seeds = seeds.collect::<Vec<String>>().join(",");
        if case.has(Fault::Unlisted) {
            for executor in 0..shape.agents {
                emulator.set_lists_stopping(executor, false);
            }
        }
        let listen: Vec<SocketAddr> = (0..shape.entries).map(|_| free_addr()).collect();
        let fronts = start_fronts(case, &listen);
        let mut fleet = Self {
            shape,
            processes: Vec::new(),
            callers: if shape.has_fronts {
                fronts.iter().map(Front::addr).collect()
            } else {
                listen.clone()
            },
            fronts,
            relays,
            stores: start_store_relays(shape, emulator.store_addr()),
            emulator,
            version: AtomicU64::new(1),
        };
        let mut probes = Vec::new();
        for (entry, &link) in links.iter().enumerate() {
            let probe = (free_addr(), free_addr());
            let settings = fleet.entry_settings(entry, listen[entry], link, probe);
            let name = format!("entry-{entry}");
            fleet
                .processes
                .push(Process::start(&name, folder, &settings));
            probes.push(probe);
        }
        for (agent, &control) in controls.iter().enumerate() {
            let name = format!("agent-{agent}");
            let settings = fleet.agent_settings(agent, control, &seeds);
            fleet
                .processes
                .push(Process::start(&name, folder, &settings));
        }
        for probe in probes {
            wait_until_ready(shape, probe);
        }
        fleet
    }

    fn entry_settings(
        &self,
        entry: usize,
        callers: SocketAddr,
        link: SocketAddr,
        (readiness, metrics): (SocketAddr, SocketAddr),
    ) -> String {
        let zone = zone_of(self.shape, entry);
        let store = self.store_of(entry);
        format!(
            "[daemon]\nmode = leased\nrole = entry\nname = entry-{entry}\nzone = {zone}\n[listen]\n\
             callers = {callers}\nreadiness = {readiness}\nlink = {link}\nmetrics = {metrics}\n\
             [store]\naddr = {store}\n{TIMING}{}",
            log_settings()
        )
    }

    fn agent_settings(&self, agent: usize, control: SocketAddr, seeds: &str) -> String {
        let port = control.port();
        let zone = zone_of(self.shape, agent);
        let evacuation = if self.shape.has_fronts {
            let store = self.store_of(agent);
            format!("[evacuation]\nstore = {store}\nbound = 5000ms\n")
        } else {
            String::new()
        };
        format!(
            "[daemon]\nmode = leased\nrole = agent\nname = agent-{agent}\nzone = {zone}\n[listen]\n\
             heartbeats = {control}\n[cluster]\nseeds = {seeds}\nlink_port = {port}\n{evacuation}{TIMING}{}",
            log_settings()
        )
    }

    /// Returns the address of the store for an entry or agent.
    fn store_of(&self, number: usize) -> SocketAddr {
        let relay = self.stores.get(number % self.shape.zones);
        relay.map_or_else(|| self.emulator.store_addr(), Relay::addr)
    }

    /// Asks an entry to end, and starts the next process of its name at other addresses.
    pub(super) fn replace_entry(&self, entry: usize) {
        let Some(front) = self.fronts.get(entry) else {
            return;
        };
        let (callers, link) = (free_addr(), free_addr());
        let settings = self.entry_settings(entry, callers, link, (free_addr(), free_addr()));
        self.emulator.translate(link, self.relays[entry].addr());
        self.processes[entry].replace(&settings);
        self.relays[entry].set_target(link);
        front.set_entry(callers);
    }

    /// Closes the link of an agent to an entry.
    pub(super) fn close_link(&self, agent: usize, entry: usize) {
        self.relays[entry].close_clients(&[name_on_wire(&format!("agent-{agent}"))]);
    }

    /// Disturbs the way of a zone to the store.
    pub(super) fn set_zone_store(&self, zone: usize, fault: StoreFault) {
        let Some(relay) = self.stores.get(zone) else {
            return;
        };
        match fault {
            StoreFault::Silent => relay.hold_clients(vec![ANY_STORE_CALL.to_vec()]),
            StoreFault::Refused => {
                relay.refuse();
                relay.cut();
            }
        }
    }

    /// Clears the way of a zone to the store.
    pub(super) fn release_zone_store(&self, zone: usize) {
        if let Some(relay) = self.stores.get(zone) {
            relay.hold_clients(Vec::new());
            relay.allow().expect("the relay listens again");
        }
    }

    /// Writes the next configuration, with or without the route of the callers.
    pub(super) fn configure(&self, has_route: bool) {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        let prefix = if has_route { "/jobs/" } else { "/others/" };
        self.emulator.configure(&configuration(version, prefix));
    }

    pub(super) fn entries(&self) -> &[Process] {
        &self.processes[..self.shape.entries]
    }

    /// Holds the links between two entries.
    pub(super) fn hold_peers(&self, one: usize, other: usize) {
        self.relays[one].hold_clients(vec![name_on_wire(&format!("entry-{other}"))]);
        self.relays[other].hold_clients(vec![name_on_wire(&format!("entry-{one}"))]);
    }

    /// Holds the links of an entry to all others.
    pub(super) fn hold_all_peers(&self, entry: usize) {
        let name = |other| name_on_wire(&format!("entry-{other}"));
        for (number, relay) in self.relays.iter().enumerate() {
            relay.hold_clients(if number == entry {
                (0..self.shape.entries).map(name).collect()
            } else {
                vec![name(entry)]
            });
        }
    }

    /// Holds the links between a zone and the others.
    pub(super) fn cut_zone(&self, zone: usize) {
        let zones = self.shape.zones;
        for (number, relay) in self.relays.iter().enumerate() {
            let is_across = |other: usize| (other % zones == zone) != (number % zones == zone);
            let entries = (0..self.shape.entries).filter(|&other| is_across(other));
            let entries = entries.map(|other| format!("entry-{other}"));
            let names = (0..zones).filter(|&other| is_across(other));
            let names = names.map(|other| ZONES[other].to_owned());
            relay.hold_clients(
                entries
                    .chain(names)
                    .map(|name| name_on_wire(&name))
                    .collect(),
            );
        }
    }

    /// Lets all data of links pass again.
    pub(super) fn release_clients(&self) {
        for relay in &self.relays {
            relay.hold_clients(Vec::new());
        }
    }

    /// Evacuates a zone, or takes it back.
    pub(super) fn set_evacuated(&self, zone: usize, is_evacuated: bool) {
        self.emulator.set_evacuated(ZONES[zone], is_evacuated);
    }
}

/// Starts the fronts of entries that listen at the given addresses, if the shape has them.
fn start_fronts(case: &Case, listen: &[SocketAddr]) -> Vec<Front> {
    let entries = listen.iter().filter(|_| case.shape.has_fronts);
    let fronts = entries.enumerate().map(|(number, &entry)| {
        let seed = case.seed << 8 | number as u64;
        Front::start(free_addr(), entry, seed)
    });
    fronts.collect()
}

/// Starts the ways of the zones to the store, if the shape has them.
fn start_store_relays(shape: Shape, store: SocketAddr) -> Vec<Relay> {
    let zones = (0..shape.zones).filter(|_| shape.has_fronts);
    let relays = zones.map(|_| Relay::bind(free_addr(), store).expect("the relay starts"));
    relays.collect()
}

/// Returns the zone of an entry or agent.
const fn zone_of(shape: Shape, number: usize) -> &'static str {
    ZONES[number % shape.zones]
}

/// Returns a name as it stands in the first frame of a link, after its length.
fn name_on_wire(name: &str) -> Vec<u8> {
    encode(&name)
}

fn start_emulator(shape: Shape, controls: &[SocketAddr]) -> Emulator {
    let executors = controls.iter().enumerate();
    let executors = executors.map(|(agent, &control)| ExecutorOptions {
        listen: free_addr(),
        control,
        zone: zone_of(shape, agent).to_owned(),
        cpu: ENDPOINT_CPU,
    });
    let emulator = Emulator::start(EmulatorOptions {
        store: free_addr(),
        executors: executors.collect(),
        heartbeat: Duration::from_millis(300),
        configuration: configuration(1, "/jobs/"),
    })
    .expect("the emulator starts");
    for executor in 0..controls.len() {
        emulator.set_stop_time(executor, STOP_TIME);
        if executor % 2 == 1 {
            emulator.set_clock(executor, SLOW_CLOCK_PERCENT);
        }
    }
    emulator
}

/// Returns the settings of the log; with `FULMARPOND_TRACE`, everything is logged.
fn log_settings() -> &'static str {
    if std::env::var_os("FULMARPOND_TRACE").is_some() {
        "[log]\nlevel = trace\nlines = 100000\n"
    } else {
        "[log]\nlevel = info\n"
    }
}

/// Waits until an entry is ready and all agents accept tasks from it.
fn wait_until_ready(shape: Shape, (readiness, metrics): (SocketAddr, SocketAddr)) {
    let agents = shape.agents;
    let ready_agents = format!(r#"fulmarpond_level{{name="ready_agents"}} {agents}"#);
    wait_until("the entry is ready", || {
        let is_ready = get(readiness, "/v1/ready").is_some_and(|(status, _)| status == 200);
        let metrics = get(metrics, "/metrics");
        is_ready && metrics.is_some_and(|(_, text)| text.contains(&ready_agents))
    });
}

//! The processes of a case, the emulated platform, and the relays between entries and agents.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fulmarpond_dispatch::encode;
use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions, Relay};

use super::case::Shape;
use super::process::Process;
use crate::leased_system::{configuration, free_addr, get, wait_until};

/// The processor capacity of an endpoint, in thousandths of a core.
const ENDPOINT_CPU: u32 = 16_000;

/// How fast the slowest clock of an endpoint may run, in percent of real time.
const SLOW_CLOCK_PERCENT: u32 = 98;

/// How long an endpoint takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(40);

const ZONES: [&str; 3] = ["Saga", "Kurume", "Omuta"];

const TIMING: &str =
    "[timing]\nresend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = 300ms\ngrace = 6s\n";

/// Entries and agents with an emulated platform. Agents reach each entry through its relay.
pub(super) struct Fleet {
    pub(super) shape: Shape,
    /// The entries, then the agents.
    pub(super) processes: Vec<Process>,
    pub(super) callers: Vec<SocketAddr>,
    pub(super) relays: Vec<Relay>,
    pub(super) emulator: Emulator,
}

impl Fleet {
    pub(super) fn start(shape: Shape, folder: &Path) -> Self {
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
        let mut fleet = Self {
            shape,
            processes: Vec::new(),
            callers: (0..shape.entries).map(|_| free_addr()).collect(),
            relays,
            emulator,
        };
        let mut probes = Vec::new();
        for (entry, &link) in links.iter().enumerate() {
            let probe = (free_addr(), free_addr());
            let settings = fleet.entry_settings(entry, link, probe);
            let name = format!("entry-{entry}");
            fleet
                .processes
                .push(Process::start(&name, folder, &settings));
            probes.push(probe);
        }
        for (agent, &control) in controls.iter().enumerate() {
            let name = format!("agent-{agent}");
            let settings = agent_settings(&name, zone_of(shape, agent), control, &seeds);
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
        link: SocketAddr,
        (readiness, metrics): (SocketAddr, SocketAddr),
    ) -> String {
        let zone = zone_of(self.shape, entry);
        let callers = self.callers[entry];
        let store = self.emulator.store_addr();
        format!(
            "[daemon]\nmode = leased\nrole = entry\nname = entry-{entry}\nzone = {zone}\n[listen]\n\
             callers = {callers}\nreadiness = {readiness}\nlink = {link}\nmetrics = {metrics}\n\
             [store]\naddr = {store}\n{TIMING}{}",
            log_settings()
        )
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

fn agent_settings(name: &str, zone: &str, control: SocketAddr, seeds: &str) -> String {
    let port = control.port();
    format!(
        "[daemon]\nmode = leased\nrole = agent\nname = {name}\nzone = {zone}\n[listen]\n\
         heartbeats = {control}\n[cluster]\nseeds = {seeds}\nlink_port = {port}\n{TIMING}{}",
        log_settings()
    )
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

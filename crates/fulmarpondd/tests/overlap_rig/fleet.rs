//! The processes of a case, the emulated platform, and the relays between entries and agents.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions, Relay};

use super::process::Process;
use crate::leased_system::{configuration, free_addr, get, wait_until};

/// How many entries a case has.
pub(super) const ENTRIES: usize = 3;

/// How many agents, each with an endpoint, a case has.
pub(super) const AGENTS: usize = 5;

/// The processor capacity of an endpoint, in thousandths of a core.
const ENDPOINT_CPU: u32 = 16_000;

/// How fast the slowest clock of an endpoint may run, in percent of real time.
const SLOW_CLOCK_PERCENT: u32 = 98;

/// How long an endpoint takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(40);

const ZONES: [&str; 2] = ["Saga", "Kurume"];

const TIMING: &str =
    "[timing]\nresend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = 300ms\ngrace = 6s\n";

/// Entries and agents with an emulated platform. Agents reach each entry through its relay.
pub(super) struct Fleet {
    /// The entries, then the agents.
    pub(super) processes: Vec<Process>,
    pub(super) callers: Vec<SocketAddr>,
    pub(super) relays: Vec<Relay>,
    pub(super) emulator: Emulator,
}

impl Fleet {
    pub(super) fn start(folder: &Path) -> Self {
        let controls: Vec<SocketAddr> = (0..AGENTS).map(|_| free_addr()).collect();
        let emulator = start_emulator(&controls);
        let links: Vec<SocketAddr> = (0..ENTRIES).map(|_| free_addr()).collect();
        let relays = links.iter().map(|&link| {
            let relay = Relay::bind(free_addr(), link).expect("the relay starts");
            emulator.translate(link, relay.addr());
            relay
        });
        let relays: Vec<Relay> = relays.collect();
        let seeds = relays.iter().map(|relay| relay.addr().to_string());
        let seeds = seeds.collect::<Vec<String>>().join(",");
        let mut fleet = Self {
            processes: Vec::new(),
            callers: (0..ENTRIES).map(|_| free_addr()).collect(),
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
            let settings = agent_settings(&name, ZONES[agent % ZONES.len()], control, &seeds);
            fleet
                .processes
                .push(Process::start(&name, folder, &settings));
        }
        for probe in probes {
            wait_until_ready(probe);
        }
        fleet
    }

    fn entry_settings(
        &self,
        entry: usize,
        link: SocketAddr,
        (readiness, metrics): (SocketAddr, SocketAddr),
    ) -> String {
        let zone = ZONES[entry % ZONES.len()];
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
        &self.processes[..ENTRIES]
    }
}

fn start_emulator(controls: &[SocketAddr]) -> Emulator {
    let executors = controls.iter().enumerate();
    let executors = executors.map(|(agent, &control)| ExecutorOptions {
        listen: free_addr(),
        control,
        zone: ZONES[agent % ZONES.len()].to_owned(),
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
fn wait_until_ready((readiness, metrics): (SocketAddr, SocketAddr)) {
    let ready_agents = format!(r#"fulmarpond_level{{name="ready_agents"}} {AGENTS}"#);
    wait_until("the entry is ready", || {
        let is_ready = get(readiness, "/v1/ready").is_some_and(|(status, _)| status == 200);
        let metrics = get(metrics, "/metrics");
        is_ready && metrics.is_some_and(|(_, text)| text.contains(&ready_agents))
    });
}

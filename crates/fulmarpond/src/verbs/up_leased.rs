//! `up --leased`: runs leased mode on one host, as separate processes with an emulated platform.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions};
use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::up::start_failure;
use crate::output;
use crate::table::Table;
use crate::{Failure, Result};

/// Heartbeat interval of the endpoints in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// The configuration written by the emulated operator.
const CONFIGURATION: &str = include_str!("up_leased.json");

/// The `Host` header of requests that this configuration routes.
const ROUTED_HOST: &str = "desk";

/// Offset of each group of ports from the port of the first entry.
const READINESS_PORT_OFFSET: u16 = 100;
const LINK_PORT_OFFSET: u16 = 200;
const METRICS_PORT_OFFSET: u16 = 300;
const HEARTBEATS_PORT_OFFSET: u16 = 400;
const ENDPOINT_PORT_OFFSET: u16 = 500;
const STORE_PORT_OFFSET: u16 = 600;

/// Size of the system.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sizes {
    pub(super) entries: u16,
    pub(super) agents: u16,
    /// The port of the first entry; the other entries use the ports after it.
    pub(super) port: u16,
    /// CPU capacity of each endpoint in thousandths of a core.
    pub(super) cpu: u32,
}

/// The running processes and the directory with their settings and logs. Dropping it stops the
/// processes.
struct System {
    /// Stopped by its own drop, after the processes.
    _emulator: Emulator,
    children: Vec<Child>,
    directory: PathBuf,
}

/// Runs the system until Ctrl-C.
pub(super) fn run(sizes: Sizes) -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| start_failure(&error))?;
    let system = start(sizes)?;
    print(sizes, &system.directory)?;
    signals.forever().next();
    Ok(())
}

fn start(sizes: Sizes) -> Result<System> {
    let daemon = find_daemon()?;
    let directory = std::env::temp_dir().join(format!("fulmarpond-up-{}", std::process::id()));
    fs::create_dir_all(&directory).map_err(|error| start_failure(&error))?;
    let executors = (0..sizes.agents).map(|agent| ExecutorOptions {
        listen: loopback(sizes.port + ENDPOINT_PORT_OFFSET + agent),
        control: loopback(sizes.port + HEARTBEATS_PORT_OFFSET + agent),
        zone: zone(agent).to_owned(),
        cpu: sizes.cpu,
    });
    let emulator = Emulator::start(EmulatorOptions {
        store: loopback(sizes.port + STORE_PORT_OFFSET),
        executors: executors.collect(),
        heartbeat: Duration::from_millis(HEARTBEAT_MS),
        configuration: CONFIGURATION.to_owned(),
    });
    let mut system = System {
        _emulator: emulator.map_err(|error| start_failure(&error))?,
        children: Vec::new(),
        directory,
    };
    let entries =
        (0..sizes.entries).map(|entry| (format!("entry-{entry}"), entry_settings(sizes, entry)));
    let agents =
        (0..sizes.agents).map(|agent| (format!("agent-{agent}"), agent_settings(sizes, agent)));
    for (name, text) in entries.chain(agents) {
        let child = spawn(&daemon, &system.directory, &name, &text);
        system
            .children
            .push(child.map_err(|error| start_failure(&error))?);
    }
    Ok(system)
}

/// Returns the path of the daemon, which must be in the directory of this program.
fn find_daemon() -> Result<PathBuf> {
    let program = std::env::current_exe().map_err(|error| start_failure(&error))?;
    let daemon = program.with_file_name("fulmarpondd");
    if daemon.exists() {
        return Ok(daemon);
    }
    Err(Failure::usage(format!(
        "{} does not exist: build it with `cargo build --release -p fulmarpondd`",
        daemon.display()
    )))
}

fn spawn(daemon: &Path, directory: &Path, name: &str, settings: &str) -> std::io::Result<Child> {
    let path = directory.join(format!("{name}.ini"));
    fs::write(&path, settings)?;
    let log = File::create(directory.join(format!("{name}.log")))?;
    Command::new(daemon)
        .env("FULMARPOND_SETTINGS", &path)
        .stdout(Stdio::from(log))
        .spawn()
}

fn entry_settings(sizes: Sizes, entry: u16) -> String {
    format!(
        "[daemon]\nmode = leased\nrole = entry\nname = entry-{entry}\nzone = {}\n[listen]\n\
         callers = {}\nreadiness = {}\nlink = {}\nmetrics = {}\n[store]\naddr = {}\n{}",
        zone(entry),
        loopback(sizes.port + entry),
        loopback(sizes.port + READINESS_PORT_OFFSET + entry),
        loopback(sizes.port + LINK_PORT_OFFSET + entry),
        loopback(sizes.port + METRICS_PORT_OFFSET + entry),
        loopback(sizes.port + STORE_PORT_OFFSET),
        timing_settings(),
    )
}

/// The only seed is the first entry, from which agents learn the others.
fn agent_settings(sizes: Sizes, agent: u16) -> String {
    let seed = loopback(sizes.port + LINK_PORT_OFFSET);
    format!(
        "[daemon]\nmode = leased\nrole = agent\nname = agent-{agent}\nzone = {}\n[listen]\n\
         heartbeats = {}\n[cluster]\nseeds = {seed}\nlink_port = {}\n{}",
        zone(agent),
        loopback(sizes.port + HEARTBEATS_PORT_OFFSET + agent),
        seed.port(),
        timing_settings(),
    )
}

fn timing_settings() -> String {
    format!(
        "[timing]\nresend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = {HEARTBEAT_MS}ms\n\
         grace = 6s\n"
    )
}

const fn zone(number: u16) -> &'static str {
    match number % 4 {
        0 => "Fukuoka",
        1 => "Kitakyushu",
        2 => "Saga",
        _ => "Kurume",
    }
}

fn print(sizes: Sizes, directory: &Path) -> Result<()> {
    let mut table = Table::new(["ROLE", "NAME", "CALLERS", "METRICS"]);
    for entry in 0..sizes.entries {
        table.add_row([
            "entry".to_owned(),
            format!("entry-{entry}"),
            loopback(sizes.port + entry).to_string(),
            loopback(sizes.port + METRICS_PORT_OFFSET + entry).to_string(),
        ]);
    }
    output::print(&table.to_string())?;
    output::print(&format!(
        "{} agents; host `{ROUTED_HOST}`, queue `/jobs/`; logs and settings in {}\n\
         running; stop it with Ctrl-C",
        sizes.agents,
        directory.display()
    ))
}

impl Drop for System {
    /// Stops all processes, also those that were started before a later one failed to start.
    fn drop(&mut self) {
        for child in &self.children {
            // This fails if the process has already exited, which can be ignored.
            let _ = kill_process(Pid::from_child(child), Signal::TERM);
        }
        for child in &mut self.children {
            // The log of the process shows how it ended.
            let _ = child.wait();
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

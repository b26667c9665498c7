//! `up --leased`: leased mode on one machine, as separate processes beside an emulated platform.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions};
use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::up::started;
use crate::output;
use crate::table::Table;
use crate::{Failure, Result};

/// The interval of the endpoints' heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// The configuration that the emulated operator has written.
const CONFIGURATION: &str = include_str!("up_leased.json");

/// The host that requests name in this configuration.
const HOST: &str = "desk";

/// The offsets of the ports from the first caller port.
const READINESS: u16 = 100;
const LINK: u16 = 200;
const METRICS: u16 = 300;
const HEARTBEATS: u16 = 400;
const ENDPOINT: u16 = 500;
const STORE: u16 = 600;

/// Sizes of the system.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sizes {
    pub(super) entries: u16,
    pub(super) agents: u16,
    /// The port of the first entry; the others follow.
    pub(super) port: u16,
    /// Thousandths of a core of each endpoint.
    pub(super) cpu: u32,
}

/// The running processes and the folder with their settings and logs.
struct System {
    emulator: Emulator,
    children: Vec<Child>,
    folder: PathBuf,
}

/// Runs the system until Ctrl-C.
pub(super) fn run(sizes: Sizes) -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| started(&error))?;
    let system = start(sizes)?;
    print(sizes, &system.folder)?;
    signals.forever().next();
    stop(system);
    Ok(())
}

fn start(sizes: Sizes) -> Result<System> {
    let daemon = daemon()?;
    let folder = std::env::temp_dir().join(format!("fulmarpond-up-{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(|error| started(&error))?;
    let executors = (0..sizes.agents).map(|agent| ExecutorOptions {
        listen: local(sizes.port + ENDPOINT + agent),
        control: local(sizes.port + HEARTBEATS + agent),
        zone: zone(agent).to_owned(),
        cpu: sizes.cpu,
    });
    let emulator = Emulator::start(EmulatorOptions {
        store: local(sizes.port + STORE),
        executors: executors.collect(),
        heartbeat: Duration::from_millis(HEARTBEAT_MS),
        configuration: CONFIGURATION.to_owned(),
    });
    let mut system = System {
        emulator: emulator.map_err(|error| started(&error))?,
        children: Vec::new(),
        folder,
    };
    let entries =
        (0..sizes.entries).map(|entry| (format!("entry-{entry}"), entry_text(sizes, entry)));
    let agents =
        (0..sizes.agents).map(|agent| (format!("agent-{agent}"), agent_text(sizes, agent)));
    for (name, text) in entries.chain(agents) {
        let child = spawn(&daemon, &system.folder, &name, &text);
        system
            .children
            .push(child.map_err(|error| started(&error))?);
    }
    Ok(system)
}

/// Returns the daemon beside this program.
fn daemon() -> Result<PathBuf> {
    let program = std::env::current_exe().map_err(|error| started(&error))?;
    let daemon = program.with_file_name("fulmarpondd");
    if daemon.exists() {
        return Ok(daemon);
    }
    Err(Failure::usage(format!(
        "{} does not exist: build it with `cargo build --release -p fulmarpondd`",
        daemon.display()
    )))
}

fn spawn(daemon: &Path, folder: &Path, name: &str, settings: &str) -> std::io::Result<Child> {
    let path = folder.join(format!("{name}.ini"));
    fs::write(&path, settings)?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    Command::new(daemon)
        .env("FULMARPOND_SETTINGS", &path)
        .stdout(Stdio::from(log))
        .spawn()
}

fn entry_text(sizes: Sizes, entry: u16) -> String {
    format!(
        "[daemon]\nmode = leased\nrole = entry\nname = entry-{entry}\nzone = {}\n[listen]\n\
         callers = {}\nreadiness = {}\nlink = {}\nmetrics = {}\n[store]\naddr = {}\n{}",
        zone(entry),
        local(sizes.port + entry),
        local(sizes.port + READINESS + entry),
        local(sizes.port + LINK + entry),
        local(sizes.port + METRICS + entry),
        local(sizes.port + STORE),
        timing(),
    )
}

/// The seed names the first entry only; agents learn the others from it.
fn agent_text(sizes: Sizes, agent: u16) -> String {
    let seed = local(sizes.port + LINK);
    format!(
        "[daemon]\nmode = leased\nrole = agent\nname = agent-{agent}\nzone = {}\n[listen]\n\
         heartbeats = {}\n[cluster]\nseeds = {seed}\nlink_port = {}\n{}",
        zone(agent),
        local(sizes.port + HEARTBEATS + agent),
        seed.port(),
        timing(),
    )
}

fn timing() -> String {
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

fn print(sizes: Sizes, folder: &Path) -> Result<()> {
    let mut table = Table::new(["ROLE", "NAME", "CALLERS", "METRICS"]);
    for entry in 0..sizes.entries {
        table.row([
            "entry".to_owned(),
            format!("entry-{entry}"),
            local(sizes.port + entry).to_string(),
            local(sizes.port + METRICS + entry).to_string(),
        ]);
    }
    output::print(&table.to_string())?;
    output::print(&format!(
        "{} agents; host `{HOST}`, queue `/jobs/`; logs and settings in {}\n\
         running; stop it with Ctrl-C",
        sizes.agents,
        folder.display()
    ))
}

fn stop(mut system: System) {
    for child in &system.children {
        // A process that has ended needs no signal.
        let _ = kill_process(Pid::from_child(child), Signal::TERM);
    }
    for child in &mut system.children {
        // Its status is in its log.
        let _ = child.wait();
    }
    system.emulator.stop();
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

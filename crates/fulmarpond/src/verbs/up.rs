//! `up`: runs a complete system in one process, with stand-ins for the platform and the endpoints.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use fulmarpond_settings::{DaemonSettings, LogSettings};
use fulmarpond_standins::{Endpoint, EndpointLimits, EndpointOptions, KeyValue};
use fulmarpondd::{Daemon, init_logs};
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::up_leased::{self, Sizes};
use crate::cli::Options;
use crate::output::{self, cell};
use crate::table::Table;
use crate::{Failure, Result};

/// Timeout for the graceful stop of one daemon.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the agents to become members of the roster.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of connections that each endpoint accepts.
const MAX_ENDPOINT_CONNECTIONS: u32 = 64;

/// The deployment whose availability zones and host sizes the system uses.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum Deployment {
    /// The hunt desk of the Kyushu Prefectural Puzzle Hunt Office
    HuntDesk,
    /// The food cost ledger of Custódio & Filhos
    FoodLedger,
}

impl Deployment {
    fn zones(self) -> [&'static str; 4] {
        match self {
            Self::HuntDesk => ["Fukuoka", "Kitakyushu", "Saga", "Kurume"],
            Self::FoodLedger => ["Boa Viagem", "Casa Forte", "Olinda", "Jaboatão"],
        }
    }

    fn limits(self) -> EndpointLimits {
        let (processors, memory_gb) = match self {
            Self::HuntDesk => (64, 256),
            Self::FoodLedger => (32, 64),
        };
        EndpointLimits {
            memory_mb: memory_gb * 1_024,
            processors,
            accelerators: 1,
        }
    }
}

/// Arguments of `up`.
#[derive(Debug, Args)]
pub(crate) struct Up {
    /// Deployment whose availability zones and host sizes are used
    #[arg(long, value_enum, default_value = "hunt-desk")]
    deployment: Deployment,
    /// Number of entries
    // A field named `entries` would collide with the global option.
    #[arg(long = "entries", value_name = "N", default_value_t = 2)]
    entry_count: u16,
    /// Number of agents, each with an endpoint
    #[arg(long, default_value_t = 11)]
    agents: u16,
    /// Slots of each endpoint
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Port of the first entry; the other entries use the ports after it
    #[arg(long, default_value_t = 7100)]
    port: u16,
    /// Interval in milliseconds between two announcements of an agent
    #[arg(long, default_value_t = 500)]
    announce_ms: u64,
    /// Run leased mode, as separate processes with an emulated platform
    #[arg(long)]
    leased: bool,
}

/// A table row that describes a running process.
struct ProcessRow {
    role: &'static str,
    name: String,
    zone: String,
    http: SocketAddr,
    link: Option<SocketAddr>,
}

/// The components of the running system.
struct System {
    kv: KeyValue,
    entries: Vec<Daemon>,
    agents: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    rows: Vec<ProcessRow>,
}

impl Up {
    fn sizes(&self) -> Sizes {
        Sizes {
            entries: self.entry_count,
            agents: self.agents,
            port: self.port,
            cpu: self.deployment.limits().processors * 1_000,
        }
    }

    pub(super) fn run(&self, options: &Options) -> Result<()> {
        if self.leased {
            return up_leased::run(self.sizes());
        }
        let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| start_failure(&error))?;
        init_logs(&LogSettings::default());
        let system = self.start()?;
        let is_interrupted = system.wait_ready(&mut signals);
        if !is_interrupted {
            system.print(options)?;
            signals.forever().next();
        }
        if system.stop() {
            return Ok(());
        }
        Err(Failure::may_have_run(
            "the system was stopped with work in flight",
        ))
    }

    fn start(&self) -> Result<System> {
        let kv = KeyValue::start("127.0.0.1:0").map_err(|error| start_failure(&error))?;
        let mut system = System {
            rows: vec![ProcessRow {
                role: "key-value",
                name: "stand-in".to_owned(),
                zone: "-".to_owned(),
                http: kv.addr(),
                link: None,
            }],
            kv,
            entries: Vec::new(),
            agents: Vec::new(),
            endpoints: Vec::new(),
        };
        for number in 0..self.entry_count {
            self.add_entry(&mut system, number)?;
        }
        for number in 0..self.agents {
            self.add_agent(&mut system, number)?;
        }
        Ok(system)
    }

    fn zone(&self, number: u16) -> &'static str {
        let zones = self.deployment.zones();
        zones[usize::from(number) % zones.len()]
    }

    fn add_entry(&self, system: &mut System, number: u16) -> Result<()> {
        let name = format!("entry-{}", number + 1);
        let zone = self.zone(number);
        let http = loopback(self.port.saturating_add(number));
        let settings = DaemonSettings::entry(&name, zone, http, loopback(0), system.kv.addr());
        let daemon = Daemon::start(&self.with_announce_interval(settings))
            .map_err(|error| start_failure(&error))?;
        system.add_row("entry", name, zone, &daemon);
        system.entries.push(daemon);
        Ok(())
    }

    fn add_agent(&self, system: &mut System, number: u16) -> Result<()> {
        let name = format!("host-{}", number + 1);
        let zone = self.zone(number);
        let entries: Vec<SocketAddr> = system.entries.iter().map(Daemon::link_addr).collect();
        let settings = DaemonSettings::agent(&name, zone, loopback(0), loopback(0), entries);
        let daemon = Daemon::start(&self.with_announce_interval(settings))
            .map_err(|error| start_failure(&error))?;
        let endpoint = Endpoint::start(EndpointOptions {
            listen: loopback(0),
            agent: daemon.http_addr(),
            slots: self.slots,
            connections: MAX_ENDPOINT_CONNECTIONS,
            zone: zone.to_owned(),
            limits: self.deployment.limits(),
        })
        .map_err(|error| start_failure(&error))?;
        system.add_row("agent", name.clone(), zone, &daemon);
        system.rows.push(ProcessRow {
            role: "endpoint",
            name,
            zone: zone.to_owned(),
            http: endpoint.addr(),
            link: None,
        });
        system.agents.push(daemon);
        system.endpoints.push(endpoint);
        Ok(())
    }

    fn with_announce_interval(&self, settings: DaemonSettings) -> DaemonSettings {
        let timing = settings
            .timing
            .announce(Duration::from_millis(self.announce_ms));
        settings.timing(timing)
    }
}

impl System {
    fn add_row(&mut self, role: &'static str, name: String, zone: &str, daemon: &Daemon) {
        self.rows.push(ProcessRow {
            role,
            name,
            zone: zone.to_owned(),
            http: daemon.http_addr(),
            link: Some(daemon.link_addr()),
        });
    }

    /// Waits until all daemons are ready, a signal arrives or the timeout expires. Returns whether a
    /// signal has arrived.
    fn wait_ready(&self, signals: &mut Signals) -> bool {
        let ready = |addr: SocketAddr| ureq::get(format!("http://{addr}/readyz")).call().is_ok();
        let deadline = Instant::now() + READY_TIMEOUT;
        let daemons = || self.entries.iter().chain(&self.agents);
        while Instant::now() < deadline {
            if signals.pending().next().is_some() {
                return true;
            }
            if daemons().all(|daemon| ready(daemon.http_addr())) {
                return false;
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        false
    }

    fn print(&self, options: &Options) -> Result<()> {
        let rows: Vec<Value> = self.rows.iter().map(ProcessRow::to_json).collect();
        if options.json {
            return output::print(&json!(rows).to_string());
        }
        let mut table = Table::new(["ROLE", "NAME", "ZONE", "HTTP", "LINK"]);
        for row in &rows {
            table.add_row(["role", "name", "zone", "http", "link"].map(|field| cell(&row[field])));
        }
        output::print(&table.to_string())?;
        output::print("running; stop it with Ctrl-C")
    }

    /// Stops the system gracefully, entries first. Returns whether all work was finished.
    fn stop(self) -> bool {
        let entries = self.entries.iter().map(|entry| entry.stop(STOP_TIMEOUT));
        let entries = entries.fold(true, |all, finished| all & finished);
        for endpoint in &self.endpoints {
            endpoint.stop();
        }
        for agent in &self.agents {
            agent.drain();
        }
        // The entries have stopped, so the agents can't announce that they leave.
        for agent in &self.agents {
            agent.close();
        }
        self.kv.stop();
        entries
    }
}

impl ProcessRow {
    fn to_json(&self) -> Value {
        json!({
            "role": self.role, "name": self.name, "zone": self.zone,
            "http": self.http, "link": self.link,
        })
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Returns the failure of a start. It is a usage failure, since no job has been submitted and the
/// cause is an argument or the host.
pub(super) fn start_failure(error: &dyn std::fmt::Display) -> Failure {
    Failure::usage(format!("the system can't be started: {error}"))
}

//! Settings of an entry or agent in leased mode.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use super::LeasedLimits;
use crate::document::Document;
use crate::reader::{Reader, parse_name, suggestion};
use crate::{LogLevel, Result};

/// The sections and their keys.
const SCHEMA: &[(&str, &[&str])] = &[
    ("daemon", &["mode", "role", "name", "zone"]),
    (
        "listen",
        &["callers", "readiness", "heartbeats", "link", "metrics"],
    ),
    ("cluster", &["seeds", "link_port"]),
    ("store", &["addr", "writes"]),
    ("advice", &["addr"]),
    ("hosts", &["addr", "handover"]),
    ("evacuation", &["store", "bound"]),
    (
        "timing",
        &["resend", "hold_max", "stop", "heartbeat", "grace", "keep"],
    ),
    ("placement", &["far"]),
    ("sharing", &["weights", "preemption"]),
    ("log", &["level", "lines"]),
    ("limits", &["memory", "descriptors"]),
];

/// The value of `daemon.mode` that selects these settings.
const LEASED_MODE: &str = "leased";

/// The default of `writes` in section `[store]`.
const DEFAULT_WRITES_PER_SECOND: u64 = 400;

/// The default of `handover` in section `[hosts]`.
const DEFAULT_HANDOVER: Duration = Duration::from_secs(3);

// Defaults of section `[timing]`.
const DEFAULT_RESEND: Duration = Duration::from_millis(1_300);
const DEFAULT_MAX_RUN_LEASE: Duration = Duration::from_secs(1);
const DEFAULT_STOP: Duration = Duration::from_millis(50);
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_500);
const DEFAULT_GRACE: Duration = Duration::from_secs(6);
const DEFAULT_JOB_RETENTION: Duration = Duration::from_secs(120);

/// The default of `lines` in section `[log]`.
const DEFAULT_LOG_LINES_PER_SECOND: u32 = 1_000;

/// The minimum of `lines` in section `[log]`. With fewer lines, refusals would leave no trace.
const MIN_LOG_LINES_PER_SECOND: u32 = 10;

/// The minimum of `bound` in section `[evacuation]`.
const MIN_EVACUATION_BOUND: Duration = Duration::from_secs(2);

/// The maximum of `far` in section `[placement]`.
const MAX_REMOTE_FACTOR: f64 = 1_000.0;

/// The default of `weights` in section `[sharing]`.
const DEFAULT_WEIGHTS: [u16; 3] = [4, 2, 1];

/// The maximum of a weight in section `[sharing]`.
const MAX_WEIGHT: u16 = 1_000;

/// The maximum rate per second.
const MAX_RATE: f64 = 1e9;

/// The role of a daemon in leased mode, with its role-specific settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasedRole {
    /// Accepts jobs of callers.
    Entry {
        /// The listen address for callers.
        callers: SocketAddr,
        /// The listen address for readiness checks of the load balancer.
        readiness: SocketAddr,
        /// The listen address for links from agents.
        link: SocketAddr,
        /// The address of the platform's store.
        store: SocketAddr,
        /// The writes per second that the store accepts from all processes together.
        store_writes_per_second: u64,
        /// The address of the service that provides the policies of queues, if the platform has
        /// one.
        advice: Option<SocketAddr>,
        /// The address of the service that maintains hosts, if the platform has one.
        hosts: Option<SocketAddr>,
        /// The minimum time that an entry waits before its first order after it becomes responsible
        /// for the maintenance of hosts.
        handover: Duration,
    },
    /// Runs next to an endpoint and sends tasks to it.
    Agent {
        /// The listen address for heartbeats of the endpoint.
        heartbeats: SocketAddr,
        /// The link addresses of some entries, through which the agent joins the cluster.
        seeds: Vec<SocketAddr>,
        /// How the agent reads evacuations of zones, if the platform asks for a bound.
        evacuation: Option<EvacuationSettings>,
        /// How the classes of priority share the endpoint.
        sharing: LeasedSharing,
    },
}

/// How an agent reads evacuations of zones from the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationSettings {
    /// The address of the store.
    pub store: SocketAddr,
    /// The time after which nothing may start in an evacuated zone.
    pub bound: Duration,
}

/// How the classes of priority share an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedSharing {
    /// The weights of the guaranteed shares of the priorities 0, 1, and 2 and below.
    pub weights: [u16; 3],
    /// Whether runs of lower classes may be stopped for urgent tasks of priority 0.
    pub preemption: bool,
}

/// Time limits and intervals of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedTiming {
    /// The minimum time after which a caller resends a job.
    pub resend: Duration,
    /// The maximum lease of a run.
    pub max_run_lease: Duration,
    /// The maximum time that an endpoint takes to stop a run.
    pub stop: Duration,
    /// The interval of the endpoint's heartbeats.
    pub heartbeat: Duration,
    /// The time between the request to shut down and the forced kill of the process.
    pub grace: Duration,
    /// The retention period of the state of an ended job.
    pub job_retention: Duration,
}

/// Settings of the daemon in leased mode.
#[derive(Debug, Clone, PartialEq)]
pub struct LeasedSettings {
    /// The role, with its role-specific settings.
    pub role: LeasedRole,
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The listen address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Time limits and intervals of the platform.
    pub timing: LeasedTiming,
    /// The factor by which a task runs longer when it is not placed near its data.
    pub remote_factor: f64,
    /// The minimum severity of the log lines that are written.
    pub level: LogLevel,
    /// The maximum number of log lines per second.
    pub max_log_lines_per_second: u32,
    /// What the machine gives the process.
    pub limits: LeasedLimits,
}

impl LeasedSettings {
    /// Returns whether the document selects leased mode.
    pub fn is_leased(document: &Document) -> bool {
        document
            .get("daemon", "mode")
            .is_some_and(|entry| entry.value == LEASED_MODE)
    }
}

impl TryFrom<&Document> for LeasedSettings {
    type Error = crate::SettingsErrors;

    /// Validates the settings of a file.
    ///
    /// # Errors
    ///
    /// Returns the errors in the file. Values that depend on an invalid role or link port are not
    /// checked.
    fn try_from(document: &Document) -> Result<Self> {
        let mut reader = Reader::new(document);
        check_keys(document, &mut reader);
        let settings = read_settings(&mut reader);
        reader.finish(settings)
    }
}

fn read_settings(reader: &mut Reader<'_>) -> Option<LeasedSettings> {
    let role = reader.read_required("daemon", "role", |text| match text {
        "entry" | "agent" => Ok(text.to_owned()),
        _ => Err(format!("expected `entry` or `agent`, got `{text}`")),
    });
    let name = reader.read_required("daemon", "name", parse_name);
    let zone = reader.read_required("daemon", "zone", parse_zone);
    let metrics = reader.read_optional("listen", "metrics", parse_value);
    let timing = read_timing(reader);
    let remote_factor = reader
        .read_optional("placement", "far", parse_remote_factor)
        .unwrap_or(1.0);
    let level = reader.read_optional("log", "level", parse_value::<LogLevel>);
    let max_log_lines_per_second = reader.read_optional("log", "lines", parse_log_lines);
    let limits = LeasedLimits::read(reader);
    let role = match role?.as_str() {
        "entry" => read_entry(reader),
        _ => read_agent(reader),
    };
    Some(LeasedSettings {
        role: role?,
        name: name?,
        zone: zone?,
        metrics,
        timing,
        remote_factor,
        level: level.unwrap_or(LogLevel::Info),
        max_log_lines_per_second: max_log_lines_per_second.unwrap_or(DEFAULT_LOG_LINES_PER_SECOND),
        limits,
    })
}

fn read_entry(reader: &mut Reader<'_>) -> Option<LeasedRole> {
    let callers = reader.read_required("listen", "callers", parse_value);
    let readiness = reader.read_required("listen", "readiness", parse_value);
    let link = reader.read_required("listen", "link", parse_value);
    let store = reader.read_required("store", "addr", parse_value);
    let store_writes_per_second = reader.read_optional("store", "writes", parse_rate);
    let advice = reader.read_optional("advice", "addr", parse_value);
    let hosts = reader.read_optional("hosts", "addr", parse_value);
    let handover = reader.read_optional("hosts", "handover", parse_fractional_duration);
    Some(LeasedRole::Entry {
        callers: callers?,
        readiness: readiness?,
        link: link?,
        store: store?,
        store_writes_per_second: store_writes_per_second.unwrap_or(DEFAULT_WRITES_PER_SECOND),
        advice,
        hosts,
        handover: handover.unwrap_or(DEFAULT_HANDOVER),
    })
}

fn read_agent(reader: &mut Reader<'_>) -> Option<LeasedRole> {
    let heartbeats = reader.read_required("listen", "heartbeats", parse_value);
    let port = reader.read_required("cluster", "link_port", parse_value::<u16>);
    // The seeds are checked also if the port is invalid, so that all faults are reported at once.
    let seeds = reader.read_required("cluster", "seeds", |text| {
        parse_seeds(text, port.unwrap_or_default())
    });
    let evacuation = read_evacuation(reader);
    let weights = reader.read_optional("sharing", "weights", parse_weights);
    let preemption = reader.read_optional("sharing", "preemption", parse_switch);
    port?;
    Some(LeasedRole::Agent {
        heartbeats: heartbeats?,
        seeds: seeds?,
        evacuation: evacuation?,
        sharing: LeasedSharing {
            weights: weights.unwrap_or(DEFAULT_WEIGHTS),
            preemption: preemption.unwrap_or(true),
        },
    })
}

/// Reads section `[evacuation]`, which is absent if the platform doesn't specify a bound. Returns
/// `None` if it is invalid.
fn read_evacuation(reader: &mut Reader<'_>) -> Option<Option<EvacuationSettings>> {
    if !reader.has_section("evacuation") {
        return Some(None);
    }
    let store = reader.read_required("evacuation", "store", parse_value);
    let bound = reader.read_required("evacuation", "bound", parse_evacuation_bound);
    Some(Some(EvacuationSettings {
        store: store?,
        bound: bound?,
    }))
}

/// Parses the bound for evacuations. A shorter one than the minimum cannot be kept, since a lost
/// call to the store alone may take that long.
fn parse_evacuation_bound(text: &str) -> Result<Duration, String> {
    let bound = parse_fractional_duration(text)?;
    if bound < MIN_EVACUATION_BOUND {
        return Err(format!(
            "expected at least {} ms, got `{text}`",
            MIN_EVACUATION_BOUND.as_millis()
        ));
    }
    Ok(bound)
}

/// Parses a comma-separated list of addresses and replaces their ports with `port`, the port for
/// links.
fn parse_seeds(text: &str, port: u16) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim);
    let addrs = parts.filter(|part| !part.is_empty()).map(|part| {
        let mut addr: SocketAddr = parse_value(part)?;
        addr.set_port(port);
        Ok(addr)
    });
    addrs.collect()
}

/// Reads section `[timing]`. A key is absent if the platform doesn't specify the value; its default
/// is used then.
fn read_timing(reader: &mut Reader<'_>) -> LeasedTiming {
    let mut read_or_default = |key, default| {
        let value = reader.read_optional("timing", key, parse_fractional_duration);
        value.unwrap_or(default)
    };
    LeasedTiming {
        resend: read_or_default("resend", DEFAULT_RESEND),
        max_run_lease: read_or_default("hold_max", DEFAULT_MAX_RUN_LEASE),
        stop: read_or_default("stop", DEFAULT_STOP),
        heartbeat: read_or_default("heartbeat", DEFAULT_HEARTBEAT),
        grace: read_or_default("grace", DEFAULT_GRACE),
        job_retention: read_or_default("keep", DEFAULT_JOB_RETENTION),
    }
}

/// Parses a duration that may have a fraction, such as `1.5s`, because the platform specifies some
/// durations with a fraction.
fn parse_fractional_duration(text: &str) -> Result<Duration, String> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let seconds = match &text[digits.len()..] {
        "ms" => digits.parse::<f64>().ok().map(|millis| millis / 1_000.0),
        "s" => digits.parse().ok(),
        "" => return Err(format!("`{text}` lacks a unit: `ms` or `s`")),
        _ => None,
    };
    seconds
        .filter(|seconds| *seconds > 0.0)
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .ok_or_else(|| format!("expected a duration above 0 in `ms` or `s`, got `{text}`"))
}

/// Parses the name of an availability zone, which the platform chooses.
fn parse_zone(text: &str) -> Result<String, String> {
    let is_printable = |c: char| !c.is_whitespace() && !c.is_control();
    if text.is_empty() || !text.chars().all(is_printable) {
        return Err(format!("expected a name without spaces, got `{text}`"));
    }
    Ok(text.to_owned())
}

/// Parses the factor by which tasks run longer away from their data. The platform gives 0 where
/// distance has no effect.
fn parse_remote_factor(text: &str) -> Result<f64, String> {
    let factor: f64 = parse_value(text)?;
    match factor {
        0.0 => Ok(1.0),
        factor if (1.0..=MAX_REMOTE_FACTOR).contains(&factor) => Ok(factor),
        _ => Err(format!(
            "expected a factor from 1 to {MAX_REMOTE_FACTOR}, got `{text}`"
        )),
    }
}

/// Parses a rate per second, which may have a fraction.
fn parse_rate(text: &str) -> Result<u64, String> {
    let rate: f64 = parse_value(text)?;
    if !(1.0..=MAX_RATE).contains(&rate) {
        return Err(format!(
            "expected a rate per second from 1 to {MAX_RATE}, got `{text}`"
        ));
    }
    Ok(rate as u64)
}

/// Parses the weights of the classes. A weight of 0 would let its class starve.
fn parse_weights(text: &str) -> Result<[u16; 3], String> {
    let parsed: Vec<u16> = text
        .split(',')
        .map(|part| part.trim().parse().unwrap_or_default())
        .collect();
    let is_valid = parsed
        .iter()
        .all(|weight| (1..=MAX_WEIGHT).contains(weight));
    <[u16; 3]>::try_from(parsed)
        .ok()
        .filter(|_| is_valid)
        .ok_or_else(|| {
            format!("expected three weights from 1 to {MAX_WEIGHT}, such as `4,2,1`, got `{text}`")
        })
}

fn parse_switch(text: &str) -> Result<bool, String> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(format!("expected `on` or `off`, got `{text}`")),
    }
}

fn parse_log_lines(text: &str) -> Result<u32, String> {
    let lines: u32 = parse_value(text)?;
    if lines < MIN_LOG_LINES_PER_SECOND {
        return Err(format!(
            "expected at least {MIN_LOG_LINES_PER_SECOND} lines per second, got `{text}`"
        ));
    }
    Ok(lines)
}

fn parse_value<T: FromStr>(text: &str) -> Result<T, String>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| format!("`{text}`: {error}"))
}

fn check_keys(document: &Document, reader: &mut Reader<'_>) {
    reader.report_duplicate_keys();
    for header in document.sections() {
        if !SCHEMA.iter().any(|(section, _)| *section == header.name) {
            let suggestion = suggestion(&header.name, SCHEMA.iter().map(|(section, _)| *section));
            reader.report_at_header(
                header,
                format!("unknown section [{}]{suggestion}", header.name),
            );
        }
    }
    for entry in document.entries() {
        let Some((_, keys)) = SCHEMA.iter().find(|(section, _)| *section == entry.section) else {
            continue;
        };
        if !keys.contains(&entry.key.as_str()) {
            let suggestion = suggestion(&entry.key, keys.iter().copied());
            reader.report_at_entry(entry, format!("unknown key `{}`{suggestion}", entry.key));
        }
    }
}

//! Settings of a leased entry or agent.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::document::Document;
use crate::reader::{Reader, hint, name};
use crate::{LogLevel, Result};

/// The sections with their keys.
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
    (
        "timing",
        &["resend", "hold_max", "stop", "heartbeat", "grace", "keep"],
    ),
    ("placement", &["far"]),
    ("log", &["level", "lines"]),
];

/// The value of `daemon.mode` that selects these settings.
const MODE: &str = "leased";

/// The writes a second that the store takes, if the settings do not say.
const DEFAULT_WRITES: u64 = 400;

/// How long a new holder of the duty to maintain hosts waits, if the settings do not say.
const DEFAULT_HANDOVER: Duration = Duration::from_secs(3);

/// Times that hold if the settings do not say.
const DEFAULT_RESEND: Duration = Duration::from_millis(1_300);
const DEFAULT_HOLD_MAX: Duration = Duration::from_secs(1);
const DEFAULT_STOP: Duration = Duration::from_millis(50);
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_500);
const DEFAULT_GRACE: Duration = Duration::from_secs(6);
const DEFAULT_KEEP: Duration = Duration::from_secs(120);

/// The most log lines a second, if the settings do not say.
const DEFAULT_LINES: u32 = 1_000;

/// The settings that only one role has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasedRole {
    /// Takes jobs of callers.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where the load balancer asks whether the entry takes connections.
        readiness: SocketAddr,
        /// Where agents link to the entry.
        link: SocketAddr,
        /// The platform's store.
        store: SocketAddr,
        /// The writes a second that the store takes from all processes.
        writes: u64,
        /// The service that knows the policies of queues, if there is one.
        advice: Option<SocketAddr>,
        /// The service that maintains hosts, if there is one.
        hosts: Option<SocketAddr>,
        /// How long a new holder of the duty to maintain hosts waits before its first order.
        handover: Duration,
    },
    /// Stands beside an endpoint.
    Agent {
        /// Where the endpoint sends its heartbeats.
        heartbeats: SocketAddr,
        /// Link addresses of some entries.
        seeds: Vec<SocketAddr>,
    },
}

/// Times that the platform states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedTiming {
    /// The shortest time after which a caller sends a job again.
    pub resend: Duration,
    /// The longest lease of a run.
    pub hold_max: Duration,
    /// The longest time that an endpoint takes to stop a run.
    pub stop: Duration,
    /// The interval of the endpoint's heartbeats.
    pub heartbeat: Duration,
    /// The time from the request to stop until the process is killed.
    pub grace: Duration,
    /// How long the state of an ended job is kept.
    pub keep: Duration,
}

/// Settings of the daemon in leased mode.
#[derive(Debug, Clone, PartialEq)]
pub struct LeasedSettings {
    /// The role.
    pub role: LeasedRole,
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Times that the platform states.
    pub timing: LeasedTiming,
    /// How many times as long a task takes away from its data.
    pub far: f64,
    /// The least severe lines that are written.
    pub level: LogLevel,
    /// The most log lines a second.
    pub lines: u32,
}

impl LeasedSettings {
    /// Returns whether a document asks for leased mode.
    pub fn is_leased(document: &Document) -> bool {
        document
            .get("daemon", "mode")
            .is_some_and(|entry| entry.value == MODE)
    }
}

impl TryFrom<&Document> for LeasedSettings {
    type Error = crate::SettingsErrors;

    fn try_from(document: &Document) -> Result<Self> {
        let mut reader = Reader::new(document);
        check(document, &mut reader);
        let settings = read(&mut reader);
        reader.finish(settings)
    }
}

fn read(reader: &mut Reader<'_>) -> Option<LeasedSettings> {
    let role = reader.required("daemon", "role", |text| match text {
        "entry" | "agent" => Ok(text.to_owned()),
        _ => Err(format!("expected `entry` or `agent`, got `{text}`")),
    });
    let name = reader.required("daemon", "name", name);
    let zone = reader.required("daemon", "zone", |text| Ok(text.to_owned()));
    let metrics = reader.optional("listen", "metrics", parse);
    let timing = timing(reader);
    let far = reader.optional("placement", "far", parse).unwrap_or(1.0);
    let level = reader.optional("log", "level", parse::<LogLevel>);
    let lines = reader.optional("log", "lines", parse);
    let role = match role?.as_str() {
        "entry" => entry(reader),
        _ => agent(reader),
    };
    Some(LeasedSettings {
        role: role?,
        name: name?,
        zone: zone?,
        metrics,
        timing,
        far,
        level: level.unwrap_or(LogLevel::Info),
        lines: lines.unwrap_or(DEFAULT_LINES),
    })
}

fn entry(reader: &mut Reader<'_>) -> Option<LeasedRole> {
    let callers = reader.required("listen", "callers", parse);
    let readiness = reader.required("listen", "readiness", parse);
    let link = reader.required("listen", "link", parse);
    let store = reader.required("store", "addr", parse);
    let writes = reader.optional("store", "writes", parse::<f64>);
    let advice = reader.optional("advice", "addr", parse);
    let hosts = reader.optional("hosts", "addr", parse);
    let handover = reader.optional("hosts", "handover", fraction);
    Some(LeasedRole::Entry {
        callers: callers?,
        readiness: readiness?,
        link: link?,
        store: store?,
        writes: writes.map_or(DEFAULT_WRITES, |writes| writes as u64),
        advice,
        hosts,
        handover: handover.unwrap_or(DEFAULT_HANDOVER),
    })
}

fn agent(reader: &mut Reader<'_>) -> Option<LeasedRole> {
    let heartbeats = reader.required("listen", "heartbeats", parse);
    let port = reader.required("cluster", "link_port", parse::<u16>)?;
    let seeds = reader.required("cluster", "seeds", |text| seeds(text, port));
    Some(LeasedRole::Agent {
        heartbeats: heartbeats?,
        seeds: seeds?,
    })
}

/// Reads a list of addresses, and replaces their ports with the one of the links.
fn seeds(text: &str, port: u16) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim);
    let addrs = parts.filter(|part| !part.is_empty()).map(|part| {
        let mut addr: SocketAddr = parse(part)?;
        addr.set_port(port);
        Ok(addr)
    });
    addrs.collect()
}

/// Reads the times; a platform that does not state one leaves its key out.
fn timing(reader: &mut Reader<'_>) -> LeasedTiming {
    let mut read = |key, default| {
        let value = reader.optional("timing", key, fraction);
        value.unwrap_or(default)
    };
    LeasedTiming {
        resend: read("resend", DEFAULT_RESEND),
        hold_max: read("hold_max", DEFAULT_HOLD_MAX),
        stop: read("stop", DEFAULT_STOP),
        heartbeat: read("heartbeat", DEFAULT_HEARTBEAT),
        grace: read("grace", DEFAULT_GRACE),
        keep: read("keep", DEFAULT_KEEP),
    }
}

/// Reads a duration that may have a fraction, such as `1.5s`: the platform states some so.
fn fraction(text: &str) -> Result<Duration, String> {
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

fn parse<T: FromStr>(text: &str) -> Result<T, String>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| format!("`{text}`: {error}"))
}

fn check(document: &Document, reader: &mut Reader<'_>) {
    reader.duplicates();
    for header in document.sections() {
        if !SCHEMA.iter().any(|(section, _)| *section == header.name) {
            let hint = hint(&header.name, SCHEMA.iter().map(|(section, _)| *section));
            reader.at_header(header, format!("unknown section [{}]{hint}", header.name));
        }
    }
    for entry in document.entries() {
        let Some((_, keys)) = SCHEMA.iter().find(|(section, _)| *section == entry.section) else {
            continue;
        };
        if !keys.contains(&entry.key.as_str()) {
            let hint = hint(&entry.key, keys.iter().copied());
            reader.at(entry, format!("unknown key `{}`{hint}", entry.key));
        }
    }
}

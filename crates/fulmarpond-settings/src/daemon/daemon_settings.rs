//! The settings of a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use fulmarpond_core::zone::Zone;

use super::combinations::{Conflict, address_conflicts, find_zero, timing_conflicts};
use super::{
    AgentSettings, EntrySettings, InvalidSetting, LimitSettings, LogSettings, Role, TimingSettings,
    schema,
};
use crate::document::Document;
use crate::reader::{Reader, parse_name};
use crate::units::{parse_duration, parse_size};

/// The settings of a daemon.
///
/// # Examples
///
/// ```
/// use fulmarpond_settings::{DaemonSettings, Document, Role};
///
/// let text = "
/// [daemon]
/// role = agent
/// name = saga-1
/// zone = Saga
/// [listen]
/// http = 127.0.0.1:7201
/// link = 127.0.0.1:7202
/// [cluster]
/// entries = 127.0.0.1:7102
/// ";
/// let document = Document::parse("agent.ini", text).unwrap();
/// let settings = DaemonSettings::try_from(&document).unwrap();
/// assert!(matches!(settings.role, Role::Agent(agent) if agent.entries.len() == 1));
/// assert_eq!(settings.advertise, settings.link);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The role, with its role-specific settings.
    pub role: Role,
    /// The host name: 1 to 64 characters of `A-Z a-z 0-9 . _ -`.
    pub name: String,
    /// The availability zone.
    pub zone: Zone,
    /// The HTTP listen address. An entry serves callers there; an agent serves its endpoint,
    /// metrics and health checks.
    pub http: SocketAddr,
    /// The listen address for links. An entry accepts links from agents; an agent accepts links
    /// from entries and other agents.
    pub link: SocketAddr,
    /// The address at which other processes connect to `link`.
    pub advertise: SocketAddr,
    /// The path of the file with the secret shared by entries and agents, as written in the file.
    pub secret_file: Option<PathBuf>,
    /// Log output.
    pub log: LogSettings,
    /// Limits.
    pub limits: LimitSettings,
    /// Intervals and windows.
    pub timing: TimingSettings,
}

impl DaemonSettings {
    /// Creates the default settings of an entry; `kv` is the address of the platform's key-value
    /// service.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpond_settings::{DaemonSettings, LimitSettings};
    ///
    /// let settings = DaemonSettings::entry(
    ///     "entry-1",
    ///     "Saga",
    ///     "127.0.0.1:7101".parse().unwrap(),
    ///     "127.0.0.1:7102".parse().unwrap(),
    ///     "127.0.0.1:7001".parse().unwrap(),
    /// )
    /// .limits(LimitSettings::default().callers(32))
    /// .checked()
    /// .unwrap();
    /// assert_eq!(settings.limits.callers, 32);
    /// ```
    pub fn entry(
        name: &str,
        zone: &str,
        http: SocketAddr,
        link: SocketAddr,
        kv: SocketAddr,
    ) -> Self {
        Self::new(name, zone, http, link, Role::Entry(EntrySettings::new(kv)))
    }

    /// Creates the default settings of an agent; `entries` are the link addresses of the entries.
    pub fn agent(
        name: &str,
        zone: &str,
        http: SocketAddr,
        link: SocketAddr,
        entries: Vec<SocketAddr>,
    ) -> Self {
        Self::new(
            name,
            zone,
            http,
            link,
            Role::Agent(AgentSettings { entries }),
        )
    }

    fn new(name: &str, zone: &str, http: SocketAddr, link: SocketAddr, role: Role) -> Self {
        Self {
            role,
            name: name.to_owned(),
            zone: Zone::new(zone),
            http,
            link,
            advertise: link,
            secret_file: None,
            log: LogSettings::default(),
            limits: LimitSettings::default(),
            timing: TimingSettings::default(),
        }
    }

    /// Sets the role, with its role-specific settings.
    #[must_use]
    pub fn role(mut self, role: Role) -> Self {
        self.role = role;
        self
    }

    /// Sets the address at which other processes connect to `link`.
    #[must_use]
    pub fn advertise(mut self, advertise: SocketAddr) -> Self {
        self.advertise = advertise;
        self
    }

    /// Sets the path of the file with the secret shared by entries and agents.
    #[must_use]
    pub fn secret_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.secret_file = Some(path.into());
        self
    }

    /// Sets the log output.
    #[must_use]
    pub fn log(mut self, log: LogSettings) -> Self {
        self.log = log;
        self
    }

    /// Sets the limits.
    #[must_use]
    pub fn limits(mut self, limits: LimitSettings) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the intervals and windows.
    #[must_use]
    pub fn timing(mut self, timing: TimingSettings) -> Self {
        self.timing = timing;
        self
    }

    /// Validates settings that were built in code by the same rules as settings of a file.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn checked(self) -> super::Result<Self> {
        let invalid = |section, key, message| InvalidSetting {
            section,
            key,
            message,
        };
        parse_name(&self.name).map_err(|message| invalid("daemon", "name", message))?;
        parse_zone(self.zone.as_str()).map_err(|message| invalid("daemon", "zone", message))?;
        if matches!(&self.role, Role::Agent(agent) if agent.entries.is_empty()) {
            let message = "expected at least one IP:port".to_owned();
            return Err(invalid("cluster", "entries", message));
        }
        if let Some(error) = find_zero(&self) {
            return Err(error);
        }
        let conflict = timing_conflicts(&self.limits, &self.timing)
            .into_iter()
            .chain(address_conflicts(self.http, self.link, self.advertise))
            .next();
        if let Some(conflict) = conflict {
            let (section, key) = conflict.keys[0];
            return Err(invalid(section, key, conflict.message));
        }
        Ok(self)
    }
}

impl TryFrom<&Document> for DaemonSettings {
    type Error = crate::SettingsErrors;

    /// Validates the settings of a file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    fn try_from(document: &Document) -> crate::Result<Self> {
        let mut reader = Reader::new(document);
        let role = reader.read_required("daemon", "role", parse_role);
        schema::check_keys(document, role, &mut reader);
        let name = reader.read_required("daemon", "name", parse_name);
        let zone = reader.read_required("daemon", "zone", parse_zone);
        let http = reader.read_required("listen", "http", parse_address);
        let link = reader.read_required("listen", "link", parse_address);
        let advertise = reader
            .read_optional("listen", "advertise", parse_remote_address)
            .or(link);
        let secret_file = reader.read_optional("cluster", "secret_file", parse_path);
        let log = read_log(&mut reader);
        let limits = read_limits(&mut reader);
        let timing = read_timing(&mut reader);
        let role = match role {
            Some("entry") => read_entry(&mut reader).map(Role::Entry),
            Some(_) => read_agent(&mut reader).map(Role::Agent),
            None => {
                check_role_specific_values(&mut reader);
                None
            }
        };
        report_conflicts(timing_conflicts(&limits, &timing), document, &mut reader);
        if let (Some(http), Some(link), Some(advertise)) = (http, link, advertise) {
            let conflicts = address_conflicts(http, link, advertise);
            report_conflicts(conflicts, document, &mut reader);
        }
        let settings = (|| {
            Some(Self {
                role: role?,
                name: name?,
                zone: zone?,
                http: http?,
                link: link?,
                advertise: advertise?,
                secret_file,
                log,
                limits,
                timing,
            })
        })();
        reader.finish(settings)
    }
}

/// Reports each conflict at the first of its keys that is set in the file.
///
/// A conflict that involves a key with an invalid value is skipped, because it was computed with
/// the default of that key.
fn report_conflicts(conflicts: Vec<Conflict>, document: &Document, reader: &mut Reader<'_>) {
    for conflict in conflicts {
        if conflict.keys.iter().any(|(s, k)| reader.has_error(s, k)) {
            continue;
        }
        let entry = conflict.keys.iter().find_map(|(s, k)| document.get(s, k));
        if let Some(entry) = entry {
            reader.report_at_entry(entry, conflict.message);
        }
    }
}

/// Checks the values of role-specific keys in a file that has no valid role.
fn check_role_specific_values(reader: &mut Reader<'_>) {
    reader.read_optional("cluster", "entries", parse_remote_addresses);
    reader.read_optional("platform", "kv", parse_remote_address);
    reader.read_optional("platform", "timeout", parse_duration);
}

fn read_agent(reader: &mut Reader<'_>) -> Option<AgentSettings> {
    let entries = reader.read_required("cluster", "entries", parse_remote_addresses)?;
    Some(AgentSettings { entries })
}

fn read_entry(reader: &mut Reader<'_>) -> Option<EntrySettings> {
    let kv = reader.read_required("platform", "kv", parse_remote_address);
    let timeout = reader.read_optional("platform", "timeout", parse_duration);
    let callers_file = reader.read_optional("auth", "callers_file", parse_path);
    let operators_file = reader.read_optional("auth", "operators_file", parse_path);
    let mut settings = EntrySettings::new(kv?);
    settings.timeout = timeout.unwrap_or(settings.timeout);
    settings.callers_file = callers_file;
    settings.operators_file = operators_file;
    Some(settings)
}

fn read_log(reader: &mut Reader<'_>) -> LogSettings {
    let mut log = LogSettings::default();
    read_into(reader, "log", "level", &mut log.level, FromStr::from_str);
    read_into(reader, "log", "format", &mut log.format, FromStr::from_str);
    log
}

fn read_limits(reader: &mut Reader<'_>) -> LimitSettings {
    let mut limits = LimitSettings::default();
    read_into(reader, "limits", "body", &mut limits.body, parse_size);
    read_into(reader, "limits", "tasks", &mut limits.tasks, parse_count);
    read_into(
        reader,
        "limits",
        "deadline",
        &mut limits.deadline,
        parse_duration,
    );
    read_into(
        reader,
        "limits",
        "callers",
        &mut limits.callers,
        parse_count,
    );
    read_into(
        reader,
        "limits",
        "headers",
        &mut limits.headers,
        parse_count,
    );
    limits
}

fn read_timing(reader: &mut Reader<'_>) -> TimingSettings {
    let mut timing = TimingSettings::default();
    for (key, field) in [
        ("announce", &mut timing.announce),
        ("silence", &mut timing.silence),
        ("roster_window", &mut timing.roster_window),
        ("memory_window", &mut timing.memory_window),
        ("answer_margin", &mut timing.answer_margin),
        ("lease", &mut timing.lease),
        ("keepalive", &mut timing.keepalive),
        ("link_timeout", &mut timing.link_timeout),
        ("drain", &mut timing.drain),
    ] {
        read_into(reader, "timing", key, field, parse_duration);
    }
    timing
}

/// Reads an optional key into `field`, which keeps its default if the key is absent or its value is
/// invalid.
fn read_into<T>(
    reader: &mut Reader<'_>,
    section: &str,
    key: &str,
    field: &mut T,
    parse: impl FnOnce(&str) -> crate::Result<T, String>,
) {
    if let Some(value) = reader.read_optional(section, key, parse) {
        *field = value;
    }
}

fn parse_role(text: &str) -> crate::Result<&'static str, String> {
    match text {
        "entry" => Ok("entry"),
        "agent" => Ok("agent"),
        _ => Err(format!("expected `entry` or `agent`, got `{text}`")),
    }
}

fn parse_zone(text: &str) -> crate::Result<Zone, String> {
    if text.is_empty() || text.len() > 64 || text.chars().any(char::is_control) {
        return Err(format!(
            "expected 1 to 64 bytes without control characters, got `{text}`"
        ));
    }
    Ok(Zone::new(text))
}

fn parse_address(text: &str) -> crate::Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("expected IP:port, got `{text}`"))
}

/// Parses an address to which a process connects: neither its IP address nor its port may be
/// unspecified.
fn parse_remote_address(text: &str) -> crate::Result<SocketAddr, String> {
    let addr = parse_address(text)?;
    if addr.ip().is_unspecified() || addr.port() == 0 {
        return Err(format!("no process can connect to {addr}"));
    }
    Ok(addr)
}

fn parse_remote_addresses(text: &str) -> crate::Result<Vec<SocketAddr>, String> {
    let mut addrs = Vec::new();
    for part in text.split(',') {
        let addr = parse_remote_address(part.trim())?;
        if addrs.contains(&addr) {
            return Err(format!("{addr} is listed twice"));
        }
        addrs.push(addr);
    }
    Ok(addrs)
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "passed as a parser, which may fail"
)]
fn parse_path(text: &str) -> crate::Result<PathBuf, String> {
    Ok(PathBuf::from(text))
}

fn parse_count(text: &str) -> crate::Result<usize, String> {
    match text.parse() {
        Ok(0) | Err(_) => Err(format!("expected a whole number above 0, got `{text}`")),
        Ok(count) => Ok(count),
    }
}

//! The settings of a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use fulmarpond_core::zone::Zone;

use super::combinations::{Conflict, address_conflicts, timing_conflicts, zero};
use super::{
    AgentSettings, EntrySettings, InvalidSetting, LimitSettings, LogSettings, Role, TimingSettings,
    schema,
};
use crate::document::Document;
use crate::reader::{Reader, name};
use crate::units::{duration, size};

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
    /// The role with the settings that only this role has.
    pub role: Role,
    /// The host name: 1 to 64 characters of `A-Z a-z 0-9 . _ -`.
    pub name: String,
    /// The availability zone.
    pub zone: Zone,
    /// Where HTTP is served: callers at an entry; the endpoint, metrics and health at an agent.
    pub http: SocketAddr,
    /// Where links are accepted: from agents at an entry; from entries and agents at an agent.
    pub link: SocketAddr,
    /// The address by which other processes reach `link`.
    pub advertise: SocketAddr,
    /// The file with the shared secret of the system's own processes, as written.
    pub secret_file: Option<PathBuf>,
    /// Log output.
    pub log: LogSettings,
    /// Limits.
    pub limits: LimitSettings,
    /// Intervals and windows.
    pub timing: TimingSettings,
}

impl DaemonSettings {
    /// Creates the settings of an entry with defaults; `kv` is the platform's key-value service.
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

    /// Creates the settings of an agent with defaults; `entries` are the entries' link listeners.
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

    /// Sets the role with the settings that only this role has.
    #[must_use]
    pub fn role(mut self, role: Role) -> Self {
        self.role = role;
        self
    }

    /// Sets the address by which other processes reach `link`.
    #[must_use]
    pub fn advertise(mut self, advertise: SocketAddr) -> Self {
        self.advertise = advertise;
        self
    }

    /// Sets the file with the shared secret of the system's own processes.
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

    /// Checks settings that were built without a file by the rules that hold for files.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is not valid.
    pub fn checked(self) -> super::Result<Self> {
        let invalid = |section, key, message| InvalidSetting {
            section,
            key,
            message,
        };
        name(&self.name).map_err(|message| invalid("daemon", "name", message))?;
        zone(self.zone.as_str()).map_err(|message| invalid("daemon", "zone", message))?;
        if matches!(&self.role, Role::Agent(agent) if agent.entries.is_empty()) {
            let message = "expected at least one IP:port".to_owned();
            return Err(invalid("cluster", "entries", message));
        }
        if let Some(error) = zero(&self) {
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

    /// Checks the settings of a file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    fn try_from(document: &Document) -> crate::Result<Self> {
        let mut reader = Reader::new(document);
        let role = reader.required("daemon", "role", role);
        schema::check(document, role, &mut reader);
        let name = reader.required("daemon", "name", name);
        let zone = reader.required("daemon", "zone", zone);
        let http = reader.required("listen", "http", address);
        let link = reader.required("listen", "link", address);
        let advertise = reader.optional("listen", "advertise", remote).or(link);
        let secret_file = reader.optional("cluster", "secret_file", path);
        let log = log(&mut reader);
        let limits = limits(&mut reader);
        let timing = timing(&mut reader);
        let role = match role {
            Some("entry") => entry(&mut reader).map(Role::Entry),
            Some(_) => agent(&mut reader).map(Role::Agent),
            None => {
                check_roles(&mut reader);
                None
            }
        };
        report(timing_conflicts(&limits, &timing), document, &mut reader);
        if let (Some(http), Some(link), Some(advertise)) = (http, link, advertise) {
            let conflicts = address_conflicts(http, link, advertise);
            report(conflicts, document, &mut reader);
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

/// Reports conflicts at the first of their keys that the file sets.
///
/// A conflict with a faulty key is left out, because it compares the key's default.
fn report(conflicts: Vec<Conflict>, document: &Document, reader: &mut Reader<'_>) {
    for conflict in conflicts {
        if conflict.keys.iter().any(|(s, k)| reader.is_faulty(s, k)) {
            continue;
        }
        let entry = conflict.keys.iter().find_map(|(s, k)| document.get(s, k));
        if let Some(entry) = entry {
            reader.at(entry, conflict.message);
        }
    }
}

/// Checks the values that only one role has, for a file that states no valid role.
fn check_roles(reader: &mut Reader<'_>) {
    reader.optional("cluster", "entries", addresses);
    reader.optional("platform", "kv", remote);
    reader.optional("platform", "timeout", duration);
}

fn agent(reader: &mut Reader<'_>) -> Option<AgentSettings> {
    let entries = reader.required("cluster", "entries", addresses)?;
    Some(AgentSettings { entries })
}

fn entry(reader: &mut Reader<'_>) -> Option<EntrySettings> {
    let kv = reader.required("platform", "kv", remote);
    let timeout = reader.optional("platform", "timeout", duration);
    let callers_file = reader.optional("auth", "callers_file", path);
    let operators_file = reader.optional("auth", "operators_file", path);
    let mut settings = EntrySettings::new(kv?);
    settings.timeout = timeout.unwrap_or(settings.timeout);
    settings.callers_file = callers_file;
    settings.operators_file = operators_file;
    Some(settings)
}

fn log(reader: &mut Reader<'_>) -> LogSettings {
    let mut log = LogSettings::default();
    set(reader, "log", "level", &mut log.level, FromStr::from_str);
    set(reader, "log", "format", &mut log.format, FromStr::from_str);
    log
}

fn limits(reader: &mut Reader<'_>) -> LimitSettings {
    let mut limits = LimitSettings::default();
    set(reader, "limits", "body", &mut limits.body, size);
    set(reader, "limits", "tasks", &mut limits.tasks, count);
    set(reader, "limits", "deadline", &mut limits.deadline, duration);
    set(reader, "limits", "callers", &mut limits.callers, count);
    set(reader, "limits", "headers", &mut limits.headers, count);
    limits
}

fn timing(reader: &mut Reader<'_>) -> TimingSettings {
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
        set(reader, "timing", key, field, duration);
    }
    timing
}

/// Reads an optional key into `field`, which keeps its default if the key is absent or faulty.
fn set<T>(
    reader: &mut Reader<'_>,
    section: &str,
    key: &str,
    field: &mut T,
    parse: impl FnOnce(&str) -> crate::Result<T, String>,
) {
    if let Some(value) = reader.optional(section, key, parse) {
        *field = value;
    }
}

fn role(text: &str) -> crate::Result<&'static str, String> {
    match text {
        "entry" => Ok("entry"),
        "agent" => Ok("agent"),
        _ => Err(format!("expected `entry` or `agent`, got `{text}`")),
    }
}

fn zone(text: &str) -> crate::Result<Zone, String> {
    if text.is_empty() || text.len() > 64 || text.chars().any(char::is_control) {
        return Err(format!(
            "expected 1 to 64 bytes without control characters, got `{text}`"
        ));
    }
    Ok(Zone::new(text))
}

fn address(text: &str) -> crate::Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("expected IP:port, got `{text}`"))
}

/// Reads an address that other processes connect to.
fn remote(text: &str) -> crate::Result<SocketAddr, String> {
    let addr = address(text)?;
    if addr.ip().is_unspecified() || addr.port() == 0 {
        return Err(format!("no process can connect to {addr}"));
    }
    Ok(addr)
}

fn addresses(text: &str) -> crate::Result<Vec<SocketAddr>, String> {
    let mut addrs = Vec::new();
    for part in text.split(',') {
        let addr = remote(part.trim())?;
        if addrs.contains(&addr) {
            return Err(format!("{addr} is listed twice"));
        }
        addrs.push(addr);
    }
    Ok(addrs)
}

#[expect(clippy::unnecessary_wraps, reason = "passed where a check can fail")]
fn path(text: &str) -> crate::Result<PathBuf, String> {
    Ok(PathBuf::from(text))
}

fn count(text: &str) -> crate::Result<usize, String> {
    match text.parse() {
        Ok(0) | Err(_) => Err(format!("expected a whole number above 0, got `{text}`")),
        Ok(count) => Ok(count),
    }
}

//! Reloading of the settings file while a process runs.
//!
//! A process applies the settings that it reads at each use, and names those that it reads only at
//! its start.

use std::path::{Path, PathBuf};

use fulmarpond_core::Time;
use fulmarpond_settings::{Document, LeasedRole, LeasedSettings};
use tracing::{info, warn};

/// The interval between checks of the file, in milliseconds. The file may change without a signal.
const CHECK_INTERVAL_MS: u64 = 5_000;

/// A settings file that is checked for changes at regular intervals.
#[derive(Debug)]
pub(super) struct SettingsFile {
    path: PathBuf,
    text: String,
    next_check: Time,
}

impl SettingsFile {
    pub(super) fn new(path: &Path, now: Time) -> Self {
        Self {
            path: path.to_owned(),
            text: std::fs::read_to_string(path).unwrap_or_default(),
            next_check: now.after_millis(CHECK_INTERVAL_MS),
        }
    }

    /// Returns the settings if the file has changed and is valid.
    ///
    /// `is_requested` forces a check before the interval has elapsed.
    pub(super) fn check(&mut self, is_requested: bool, now: Time) -> Option<LeasedSettings> {
        if !is_requested && now < self.next_check {
            return None;
        }
        self.next_check = now.after_millis(CHECK_INTERVAL_MS);
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                warn!(%error, "cannot read the settings file, keeping the current settings");
                return None;
            }
        };
        if text == self.text {
            if is_requested {
                info!("reload: settings are unchanged");
            }
            return None;
        }
        self.text = text;
        let name = self.path.display().to_string();
        let parsed = Document::parse(&name, &self.text)
            .and_then(|document| LeasedSettings::try_from(&document));
        match parsed {
            Ok(settings) => Some(settings),
            Err(error) => {
                warn!(%error, "the settings file is invalid, keeping the current settings");
                None
            }
        }
    }
}

/// Logs that changed settings are applied, and which of them wait for the next start.
pub(super) fn log_reload(old: &LeasedSettings, new: &LeasedSettings) {
    let deferred = deferred_changes(old, new);
    if deferred.is_empty() {
        info!("reload: settings are in force");
    } else {
        warn!(
            ?deferred,
            "reload: settings are in force except those that need a restart"
        );
    }
}

/// Returns the keys with changes that take effect only at the next start.
fn deferred_changes(old: &LeasedSettings, new: &LeasedSettings) -> Vec<&'static str> {
    let mut changes = vec![
        ("daemon.name", old.name != new.name),
        ("daemon.zone", old.zone != new.zone),
        ("listen.metrics", old.metrics != new.metrics),
        ("timing", old.timing != new.timing),
        ("log.level", old.level != new.level),
        ("limits", old.limits != new.limits),
    ];
    match (&old.role, &new.role) {
        (
            LeasedRole::Entry {
                callers,
                readiness,
                link,
                hosts,
                handover,
                ..
            },
            LeasedRole::Entry {
                callers: new_callers,
                readiness: new_readiness,
                link: new_link,
                hosts: new_hosts,
                handover: new_handover,
                ..
            },
        ) => changes.extend([
            ("listen.callers", callers != new_callers),
            ("listen.readiness", readiness != new_readiness),
            ("listen.link", link != new_link),
            ("hosts", (hosts, handover) != (new_hosts, new_handover)),
        ]),
        (
            LeasedRole::Agent {
                heartbeats,
                evacuation,
                ..
            },
            LeasedRole::Agent {
                heartbeats: new_heartbeats,
                evacuation: new_evacuation,
                ..
            },
        ) => changes.extend([
            ("listen.heartbeats", heartbeats != new_heartbeats),
            ("evacuation", evacuation != new_evacuation),
        ]),
        _ => changes.push(("daemon.role", true)),
    }
    let changed = changes.into_iter().filter(|(_, is_changed)| *is_changed);
    changed.map(|(key, _)| key).collect()
}

//! Reloading of the settings file while a process runs.

use std::path::{Path, PathBuf};

use fulmarpond_core::Time;
use fulmarpond_settings::{Document, LeasedSettings};
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
            Ok(settings) => {
                info!("reload: settings are in force");
                Some(settings)
            }
            Err(error) => {
                warn!(%error, "the settings file is invalid, keeping the current settings");
                None
            }
        }
    }
}

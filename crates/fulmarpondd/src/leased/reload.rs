//! Changes of the settings file while a process runs.

use std::path::{Path, PathBuf};

use fulmarpond_core::Time;
use fulmarpond_settings::{Document, LeasedSettings};
use tracing::{info, warn};

/// The interval of looks at the file, in milliseconds; it may change without a signal.
const INTERVAL_MS: u64 = 5_000;

/// A settings file that is read again from time to time.
#[derive(Debug)]
pub(super) struct Reload {
    path: PathBuf,
    text: String,
    next: Time,
}

impl Reload {
    pub(super) fn new(path: &Path, now: Time) -> Self {
        Self {
            path: path.to_owned(),
            text: std::fs::read_to_string(path).unwrap_or_default(),
            next: now.after_millis(INTERVAL_MS),
        }
    }

    /// Returns the settings if the file has changed and holds valid ones.
    pub(super) fn check(&mut self, asked: bool, now: Time) -> Option<LeasedSettings> {
        if !asked && now < self.next {
            return None;
        }
        self.next = now.after_millis(INTERVAL_MS);
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                warn!(%error, "settings can't be read, the last ones stay in force");
                return None;
            }
        };
        if text == self.text {
            if asked {
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
                warn!(%error, "settings are faulty, the last ones stay in force");
                None
            }
        }
    }
}

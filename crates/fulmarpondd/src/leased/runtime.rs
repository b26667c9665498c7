//! The parts of the event loop that entries and agents share.

use std::fmt::Display;
use std::io;
use std::path::Path;
use std::time::Instant;

use fulmarpond_core::Time;
use fulmarpond_settings::LeasedSettings;

use super::clock::BootClock;
use super::line_limit::LineCounts;
use super::log::Log;
use super::metrics::Metrics;
use super::reload::{SettingsFile, log_reload};
use super::report::Report;
use super::signals::Signals;

/// The signals, settings file, metrics and log of a process.
#[derive(Debug)]
pub(super) struct Runtime {
    signals: Signals,
    settings_file: SettingsFile,
    settings: LeasedSettings,
    pub(super) metrics: Metrics,
    log: Log,
    report: Report,
    next_flush: Instant,
    /// The time at which the process was asked to stop.
    pub(super) stop_requested_at: Option<Time>,
}

impl Runtime {
    pub(super) fn new(
        settings: &LeasedSettings,
        path: &Path,
        log: Log,
        now: Time,
    ) -> io::Result<Self> {
        Ok(Self {
            signals: Signals::new()?,
            settings_file: SettingsFile::new(path, now),
            settings: settings.clone(),
            metrics: Metrics::new(),
            log,
            report: Report::new(Instant::now()),
            next_flush: Instant::now(),
            stop_requested_at: None,
        })
    }

    /// Returns the time until which the event loop may wait for events.
    pub(super) fn poll_deadline(&self, wake: Time, now: Time) -> Instant {
        BootClock::to_instant(wake, now).min(self.next_flush)
    }

    /// Returns `true` once after the process was asked to stop.
    pub(super) fn take_stop_request(&mut self, now: Time) -> bool {
        let is_new_request = self.signals.is_stop_requested() && self.stop_requested_at.is_none();
        if is_new_request {
            self.stop_requested_at = Some(now);
        }
        is_new_request
    }

    /// Returns the new settings if the file has changed, and applies those of the log.
    pub(super) fn reload_settings(&mut self, now: Time) -> Option<LeasedSettings> {
        let is_requested = self.signals.take_reload_request();
        let new = self.settings_file.check(is_requested, now)?;
        self.log.set_limit(new.max_log_lines_per_second);
        log_reload(&self.settings, &new);
        self.settings = new.clone();
        Some(new)
    }

    /// Returns the number of dropped log lines, by class.
    pub(super) fn dropped_lines(&self) -> LineCounts {
        self.log.dropped()
    }

    /// Passes the collected log lines to the writer thread if the flush interval has elapsed, with a
    /// report of what is recent if it is due.
    pub(super) fn flush_log(&mut self, recent: &impl Display, changes: u64) {
        let now = Instant::now();
        if now >= self.next_flush {
            self.next_flush = now + Log::flush_interval();
            let dropped = self.log.dropped();
            self.report.update(recent, changes, dropped, now);
            self.log.flush();
        }
    }

    /// Writes the last report and flushes the log before the process exits.
    pub(super) fn finish_log(&mut self, recent: &impl Display, changes: u64) {
        let dropped = self.log.dropped();
        self.report.finish(recent, changes, dropped, Instant::now());
        self.log.finish();
    }
}

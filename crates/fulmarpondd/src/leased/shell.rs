//! What both processes of leased mode have around their decisions.

use std::io;
use std::path::Path;
use std::time::Instant;

use fulmarpond_core::Time;
use fulmarpond_settings::LeasedSettings;

use super::clock::BootClock;
use super::log::Log;
use super::metrics::Metrics;
use super::reload::Reload;
use super::signals::Signals;

/// Signals, settings, metrics and the log of a process.
#[derive(Debug)]
pub(super) struct Shell {
    signals: Signals,
    reload: Reload,
    pub(super) metrics: Metrics,
    log: Log,
    next_flush: Instant,
    /// When the process was asked to stop.
    pub(super) stopping: Option<Time>,
}

impl Shell {
    pub(super) fn new(path: &Path, log: Log, now: Time) -> io::Result<Self> {
        Ok(Self {
            signals: Signals::new()?,
            reload: Reload::new(path, now),
            metrics: Metrics::new(),
            log,
            next_flush: Instant::now(),
            stopping: None,
        })
    }

    /// Returns until when events may be waited for.
    pub(super) fn until(&self, wake: Time, now: Time) -> Instant {
        BootClock::instant(wake, now).min(self.next_flush)
    }

    /// Returns whether the process was asked to stop since the last call.
    pub(super) fn asked_to_stop(&mut self, now: Time) -> bool {
        let asked = self.signals.stop() && self.stopping.is_none();
        if asked {
            self.stopping = Some(now);
        }
        asked
    }

    /// Returns new settings, if the file has changed.
    pub(super) fn new_settings(&mut self, now: Time) -> Option<LeasedSettings> {
        let asked = self.signals.take_reload();
        self.reload.check(asked, now)
    }

    /// Returns how many log lines were left out.
    pub(super) fn dropped_lines(&self) -> u64 {
        self.log.dropped()
    }

    /// Hands log lines over if it is time.
    pub(super) fn flush_log(&mut self) {
        let now = Instant::now();
        if now >= self.next_flush {
            self.next_flush = now + Log::interval();
            self.log.flush();
        }
    }

    /// Hands the last log lines over.
    pub(super) fn finish(&self) {
        self.log.finish();
    }
}

//! Signals to the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// What signals have asked for.
#[derive(Debug)]
pub(super) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    pub(super) fn new() -> io::Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        flag::register(SIGTERM, Arc::clone(&signals.stop))?;
        flag::register(SIGINT, Arc::clone(&signals.stop))?;
        flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Returns whether the process was asked to stop.
    pub(super) fn stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether a reload was asked for since the last call.
    pub(super) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

//! Signal handling of the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Flags that the signal handlers set.
#[derive(Debug)]
pub(super) struct Signals {
    stop_requested: Arc<AtomicBool>,
    reload_requested: Arc<AtomicBool>,
}

impl Signals {
    pub(super) fn new() -> io::Result<Self> {
        let signals = Self {
            stop_requested: Arc::default(),
            reload_requested: Arc::default(),
        };
        flag::register(SIGTERM, Arc::clone(&signals.stop_requested))?;
        flag::register(SIGINT, Arc::clone(&signals.stop_requested))?;
        flag::register(SIGHUP, Arc::clone(&signals.reload_requested))?;
        Ok(signals)
    }

    /// Returns whether the process was asked to stop.
    pub(super) fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Returns whether a reload was requested since the last call.
    pub(super) fn take_reload_request(&self) -> bool {
        self.reload_requested.swap(false, Ordering::Relaxed)
    }
}

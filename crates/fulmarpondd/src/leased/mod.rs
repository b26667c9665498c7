//! The daemon in leased mode.
//!
//! One thread runs the event loop: it serves requests, makes calls and takes the decisions of the
//! entry or the agent. A second thread writes the log. A process stores nothing locally, so it has
//! no state to load at startup.

mod agent_process;
mod clock;
mod entry_actions;
mod entry_calls;
mod entry_process;
mod entry_requests;
mod host_maintenance;
mod line_limit;
mod log;
mod machine_limits;
mod metrics;
mod reload;
mod report;
mod runtime;
mod signals;

use std::io;
use std::path::Path;

use fulmarpond_dispatch::LeaseTimes;
use fulmarpond_settings::{LeasedRole, LeasedSettings, LeasedTiming};
use thiserror::Error;
use tracing::{info, warn};

use crate::BUILD;
use agent_process::AgentProcess;
use entry_process::EntryProcess;
pub use line_limit::{LineClass, LineCounts, LineLimit};

/// An error that ends a process in leased mode.
#[derive(Debug, Error)]
pub enum Error {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Result of running a process in leased mode.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs the configured role until the process is asked to stop.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if polling for events fails.
pub fn run(settings: &LeasedSettings, path: &Path) -> Result<()> {
    let log = log::init(settings.level, settings.max_log_lines_per_second)?;
    info!(
        name = settings.name,
        zone = settings.zone,
        version = env!("CARGO_PKG_VERSION"),
        build = BUILD,
        "start"
    );
    match &settings.role {
        LeasedRole::Entry { .. } => EntryProcess::new(settings, path, log)?.run()?,
        LeasedRole::Agent { .. } => AgentProcess::new(settings, path, log)?.run()?,
    }
    Ok(())
}

/// Returns the durations of leases.
///
/// If the resend time of callers is too short for safe leases, this logs a warning and returns the
/// shortest usable ones, since serving with short leases is better than not serving.
fn lease_times(timing: &LeasedTiming) -> LeaseTimes {
    let millis = |duration: std::time::Duration| duration.as_millis() as u64;
    let (resend_ms, stop_ms) = (millis(timing.resend), millis(timing.stop));
    let lease_times = LeaseTimes::new(resend_ms, millis(timing.max_run_lease), stop_ms).unwrap_or_else(|error| {
        warn!(%error, "the resend time is too short for safe leases, using the shortest leases");
        LeaseTimes::shortest(resend_ms, stop_ms)
    });
    info!(
        link_ms = lease_times.link_ms,
        run_ms = lease_times.run_ms,
        "leases"
    );
    lease_times
}

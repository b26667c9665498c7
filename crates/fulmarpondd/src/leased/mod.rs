//! The daemon in leased mode.
//!
//! One thread serves, calls and decides; a second one writes the log. A process keeps nothing
//! beyond its own life, so there is nothing to load at its start.

mod agent_process;
mod clock;
mod entry_process;
mod host_maintenance;
mod log;
mod metrics;
mod reload;
mod shell;
mod signals;

use std::io;
use std::path::Path;

use fulmarpond_dispatch::Bounds;
use fulmarpond_settings::{LeasedRole, LeasedSettings, LeasedTiming};
use thiserror::Error;
use tracing::{info, warn};

use agent_process::AgentProcess;
use entry_process::EntryProcess;

/// Why a process in leased mode can't go on.
#[derive(Debug, Error)]
pub enum Error {
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Result of running a process in leased mode.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs a role until it is asked to stop.
///
/// # Errors
///
/// Fails if an address can't be bound, or if the event queue of the system fails.
pub fn run(settings: &LeasedSettings, path: &Path) -> Result<()> {
    let log = log::init(settings.level, settings.lines)?;
    info!(
        name = settings.name,
        zone = settings.zone,
        version = env!("CARGO_PKG_VERSION"),
        "start"
    );
    match &settings.role {
        LeasedRole::Entry { .. } => EntryProcess::new(settings, path, log)?.run()?,
        LeasedRole::Agent { .. } => AgentProcess::new(settings, path, log)?.run()?,
    }
    Ok(())
}

/// Returns the times of leases; a resend that is too short for them is warned of, since serving
/// with short leases is better than not serving.
fn bounds(timing: &LeasedTiming) -> Bounds {
    let millis = |duration: std::time::Duration| duration.as_millis() as u64;
    let (resend, stop) = (millis(timing.resend), millis(timing.stop));
    let bounds = Bounds::new(resend, millis(timing.hold_max), stop).unwrap_or_else(|error| {
        warn!(%error, "leases are as short as they can be");
        Bounds::shortest(resend, stop)
    });
    info!(link_ms = bounds.link_ms, run_ms = bounds.run_ms, "leases");
    bounds
}

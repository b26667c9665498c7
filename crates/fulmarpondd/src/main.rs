//! Runs one role of the fulmarpond dispatcher, as described by a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use fulmarpond_settings::{DaemonSettings, Document, LeasedSettings};
use fulmarpondd::{Daemon, VERSION, init_logs, leased};
use miette::{IntoDiagnostic, Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

/// Runs one role of the fulmarpond dispatcher.
#[derive(Debug, Parser)]
#[command(version = VERSION, about)]
struct Options {
    /// The settings file.
    #[arg(long, value_name = "FILE", env = "FULMARPOND_SETTINGS")]
    settings: PathBuf,
    /// Check the settings file and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let options = Options::parse();
    let name = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    let document = Document::parse(&name, &text)?;
    if LeasedSettings::is_leased(&document) {
        return run_leased(&options, &document);
    }
    let settings = DaemonSettings::try_from(&document)?;
    if options.check {
        println!("{name}: ok, role {}", settings.role.as_str());
        return Ok(ExitCode::SUCCESS);
    }
    init_logs(&settings.log);
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    let daemon = Daemon::start(&settings).into_diagnostic()?;
    println!("http {} link {}", daemon.http_addr(), daemon.link_addr());
    if let Some(signal) = signals.forever().next() {
        info!(signal, "stopping gracefully");
    }
    if daemon.stop(settings.timing.drain) {
        return Ok(ExitCode::SUCCESS);
    }
    warn!(limit = ?settings.timing.drain, "stopped with work in flight");
    Ok(ExitCode::FAILURE)
}

fn run_leased(options: &Options, document: &Document) -> Result<ExitCode> {
    let settings = LeasedSettings::try_from(document)?;
    if options.check {
        println!("{}: ok, leased mode", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    leased::run(&settings, &options.settings).into_diagnostic()?;
    Ok(ExitCode::SUCCESS)
}

//! The fulmarpond command-line tool: submits and watches jobs, changes the configuration and
//! generates load.
//!
//! Every subcommand sends HTTP requests to the entries given by `--entry`. The exit code reports
//! whether the request ran, see [`Failure::code`].

mod answer;
mod cli;
mod client;
mod events;
mod failure;
pub mod load;
mod output;
mod patch_file;
mod progress;
mod table;
pub mod timeline;
mod verbs;

use std::process::ExitCode;

use clap::Parser;

pub use cli::Cli;
pub use failure::{Failure, Result};

/// Parses the arguments of the process, runs the subcommand and reports a failure on standard
/// error.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.code();
            eprintln!("{:?}", miette::Report::new(failure));
            ExitCode::from(code)
        }
    }
}

/// Runs one command. Output goes to standard output.
///
/// # Errors
///
/// Returns the failure that determines the exit code of the process.
pub fn run(cli: &Cli) -> Result<()> {
    verbs::run(cli)
}

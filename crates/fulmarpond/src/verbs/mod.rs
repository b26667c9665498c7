//! Subcommands of the tool, one module each.

mod answer;
mod cancel;
mod completions;
mod config;
mod endpoints;
mod load;
mod roster;
mod status;
mod submit;
mod teams;
mod up;
mod up_leased;
mod watch;
mod why;

use clap::Subcommand;

use crate::{Cli, Result};

/// A subcommand.
#[derive(Debug, Subcommand)]
pub(crate) enum Verb {
    /// Submit a job and print its answer
    Submit(submit::Submit),
    /// Show the state of a job
    Status(status::Status),
    /// Print the answer to a job
    Answer(answer::Answer),
    /// Print the events of a job until it ends
    Watch(watch::Watch),
    /// Print all scheduling decisions about a job
    Why(why::Why),
    /// Cancel a job and print its final answer
    Cancel(cancel::Cancel),
    /// Show and change the configuration
    Config(config::Config),
    /// List the endpoints
    Endpoints(endpoints::Endpoints),
    /// List the members of the roster
    Roster(roster::Roster),
    /// List the teams with their quotas
    Teams(teams::Teams),
    /// Run a whole system on this machine until Ctrl-C, with stand-ins for platform and endpoints
    Up(up::Up),
    /// Generate load and measure response times
    Load(load::Load),
    /// Print completions for a shell
    Completions(completions::Completions),
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the failure of the subcommand.
pub(crate) fn run(cli: &Cli) -> Result<()> {
    match &cli.verb {
        Verb::Submit(verb) => verb.run(&cli.options),
        Verb::Status(verb) => verb.run(&cli.options),
        Verb::Answer(verb) => verb.run(&cli.options),
        Verb::Watch(verb) => verb.run(&cli.options),
        Verb::Why(verb) => verb.run(&cli.options),
        Verb::Cancel(verb) => verb.run(&cli.options),
        Verb::Config(verb) => verb.run(&cli.options),
        Verb::Endpoints(verb) => verb.run(&cli.options),
        Verb::Roster(verb) => verb.run(&cli.options),
        Verb::Teams(verb) => verb.run(&cli.options),
        Verb::Up(verb) => verb.run(&cli.options),
        Verb::Load(verb) => verb.run(&cli.options),
        Verb::Completions(verb) => verb.run(),
    }
}

/// Validates a job id, which is inserted into request paths.
fn parse_job_id(text: &str) -> std::result::Result<String, String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > 64 || !text.bytes().all(allowed) {
        return Err("a job id has 1 to 64 characters of A-Z a-z 0-9 . _ -".to_owned());
    }
    Ok(text.to_owned())
}

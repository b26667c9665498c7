//! `config`: shows and changes the configuration.

mod apply;
mod check;
mod diff;
mod log;
mod show;
mod snapshot;

use clap::{Args, Subcommand};

use crate::Result;
use crate::cli::Options;
use crate::client::Client;

/// Arguments of `config`.
#[derive(Debug, Args)]
pub(crate) struct Config {
    #[command(subcommand)]
    verb: ConfigVerb,
}

/// A subcommand of `config`.
#[derive(Debug, Subcommand)]
enum ConfigVerb {
    /// Print the values of a version
    Show(show::Show),
    /// Print the changes from one version to another
    Diff(diff::Diff),
    /// List the newest versions
    Log(log::Log),
    /// Apply a patch file; safe to repeat
    Apply(apply::Apply),
    /// Check a patch file against the version in force without applying it
    Check(check::Check),
}

impl Config {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        match &self.verb {
            ConfigVerb::Show(verb) => verb.run(&client, options),
            ConfigVerb::Diff(verb) => verb.run(&client, options),
            ConfigVerb::Log(verb) => verb.run(&client, options),
            ConfigVerb::Apply(verb) => verb.run(&client, options),
            ConfigVerb::Check(verb) => verb.run(&client, options),
        }
    }
}

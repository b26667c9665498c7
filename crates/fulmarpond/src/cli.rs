//! Command-line arguments.

use std::path::PathBuf;

use clap::{Args, Parser};

use crate::verbs::Verb;

/// Submits, watches, configures and measures a fulmarpond system.
#[derive(Debug, Parser)]
#[command(
    name = "fulmarpond",
    version,
    after_help = "Exit codes: 0 fine, 2 usage, 3 refused (not run), 4 failed (may have run), \
                  5 no entry reachable."
)]
pub struct Cli {
    #[command(flatten)]
    pub(crate) options: Options,
    #[command(subcommand)]
    pub(crate) verb: Verb,
}

/// Options that all subcommands share.
#[derive(Debug, Clone, Args)]
pub(crate) struct Options {
    /// Address of an entry; repeatable
    #[arg(
        long = "entry",
        global = true,
        value_name = "ADDR",
        env = "FULMARPOND_ENTRY",
        value_delimiter = ',',
        default_value = "127.0.0.1:7100"
    )]
    pub(crate) entries: Vec<String>,
    /// File with the bearer token of the caller
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,
    /// Team of the job, unless the token determines it
    #[arg(long, global = true, env = "FULMARPOND_TEAM")]
    pub(crate) team: Option<String>,
    /// Print JSON instead of tables
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

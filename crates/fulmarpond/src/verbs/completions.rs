//! `completions`: prints a shell completion script.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::output;
use crate::{Cli, Failure, Result};

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct Completions {
    /// Shell for which to generate completions
    shell: Shell,
}

impl Completions {
    pub(super) fn run(&self) -> Result<()> {
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut Cli::command(), "fulmarpond", &mut script);
        let script = String::from_utf8(script).map_err(|error| {
            Failure::usage(format!("the completion script is not valid UTF-8: {error}"))
        })?;
        output::print(&script)
    }
}

//! `config diff`: prints the changes between two versions.

use clap::Args;
use fulmarpond_core::policy::Version;

use super::snapshot::{Snapshot, change_json, change_lines};
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output;

/// Arguments of `config diff`.
#[derive(Debug, Args)]
pub(super) struct Diff {
    /// Old version
    #[arg(value_name = "A")]
    old: u64,
    /// New version
    #[arg(value_name = "B")]
    new: u64,
}

impl Diff {
    pub(super) fn run(&self, client: &Client, options: &Options) -> Result<()> {
        let old = Snapshot::read(client, Version(self.old))?;
        let new = Snapshot::read(client, Version(self.new))?;
        let changes = fulmarpond_settings::diff(&old.values, &new.values);
        if options.json {
            output::print_json(&change_json(&changes))
        } else if changes.is_empty() {
            Ok(())
        } else {
            output::print(&change_lines(&changes))
        }
    }
}

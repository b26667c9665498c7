//! `config show`: prints the values of a version.

use clap::Args;
use fulmarpond_core::policy::Version;

use super::snapshot::Snapshot;
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output;

/// Arguments of `config show`.
#[derive(Debug, Args)]
pub(super) struct Show {
    /// Version to show; the one in force by default
    #[arg(value_name = "N")]
    version: Option<u64>,
}

impl Show {
    pub(super) fn run(&self, client: &Client, options: &Options) -> Result<()> {
        let snapshot = match self.version {
            Some(version) => Snapshot::read(client, Version(version))?,
            None => Snapshot::current(client)?,
        };
        if options.json {
            return output::print_json(&serde_json::to_value(&snapshot).unwrap_or_default());
        }
        let mut text = format!("version {}\n", snapshot.version);
        for (name, value) in [("patch", &snapshot.patch), ("author", &snapshot.author)] {
            if let Some(value) = value.as_ref().filter(|value| !value.is_empty()) {
                text.push_str(&format!("{name} {value}\n"));
            }
        }
        let width = snapshot.values.keys().map(String::len).max().unwrap_or(0);
        for (key, value) in &snapshot.values {
            text.push_str(&format!("{key:<width$} = {value}\n"));
        }
        output::print(&text)
    }
}

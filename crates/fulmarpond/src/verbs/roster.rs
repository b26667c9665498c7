//! `roster`: lists the agents that can be home agents of jobs.

use clap::Args;

use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output::{self, cell, rows};
use crate::table::Table;

/// Arguments of `roster`.
#[derive(Debug, Args)]
pub(crate) struct Roster {}

impl Roster {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let roster = Client::new(options, 1)?.get_json("roster", "/v1/roster")?;
        if options.json {
            return output::print_json(&roster);
        }
        let mut table = Table::new(["AGENT", "ADDR", "ZONE", "JOINED", "LEFT", "HEIR"]);
        for row in rows(&roster["members"]) {
            table.add_row(
                ["agent", "addr", "zone", "joined", "left", "heir"].map(|field| cell(&row[field])),
            );
        }
        output::print(&format!("version {}\n{table}", cell(&roster["version"])))
    }
}

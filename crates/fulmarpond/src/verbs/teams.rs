//! `teams`: lists the teams and their quotas.

use clap::Args;

use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output::{self, cell, rows};
use crate::table::Table;

/// Arguments of `teams`.
#[derive(Debug, Args)]
pub(crate) struct Teams {}

impl Teams {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let teams = Client::new(options, 1)?.get_json("teams", "/v1/teams")?;
        if options.json {
            return output::print_json(&teams);
        }
        let mut table = Table::new(["TEAM", "QUOTA", "IN FLIGHT"]);
        for row in rows(&teams) {
            table.add_row(["team", "quota", "in_flight"].map(|field| cell(&row[field])));
        }
        output::print(&table.to_string())
    }
}

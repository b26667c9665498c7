//! `endpoints`: lists the endpoints of all agents.

use clap::Args;

use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output::{self, cell, rows};
use crate::table::Table;

/// Arguments of `endpoints`.
#[derive(Debug, Args)]
pub(crate) struct Endpoints {}

impl Endpoints {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let endpoints = Client::new(options, 1)?.get_json("endpoints", "/v1/endpoints")?;
        if options.json {
            return output::print_json(&endpoints);
        }
        let mut table = Table::new(["AGENT", "ADDR", "ZONE", "SLOTS", "FREE", "QUEUED", "STATE"]);
        for row in rows(&endpoints) {
            table.add_row(
                ["agent", "addr", "zone", "slots", "free", "queued", "state"]
                    .map(|field| cell(&row[field])),
            );
        }
        output::print(&table.to_string())
    }
}

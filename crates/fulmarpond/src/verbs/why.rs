//! `why`: all decisions about a job.

use std::time::Duration;

use clap::Args;
use serde_json::Value;

use super::job_id;
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::events::Page;
use crate::output;
use crate::table::Table;

/// Arguments of `why`.
#[derive(Debug, Args)]
pub(crate) struct Why {
    /// Id of the job
    #[arg(value_parser = job_id)]
    id: String,
}

impl Why {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let mut raw: Vec<Value> = Vec::new();
        let mut table = Table::new(["NUMBER", "AT MS", "KIND", "TASK", "AGENT", "DETAIL"]);
        let mut from = 0;
        loop {
            let page = Page::read(&client, &self.id, from, Duration::ZERO)?;
            for event in page.events()? {
                let [task, agent, detail] = event.cells();
                table.row([
                    event.number.to_string(),
                    event.at_ms.to_string(),
                    event.kind,
                    task,
                    agent,
                    detail,
                ]);
            }
            raw.extend_from_slice(page.raw());
            // The job may still run: everything decided so far was read.
            if page.ended || page.raw().is_empty() || page.next <= from {
                break;
            }
            from = page.next;
        }
        if options.json {
            output::print_json(&raw.into())
        } else {
            output::print(&table.to_string())
        }
    }
}

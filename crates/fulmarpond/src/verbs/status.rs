//! `status`: shows the state of a job.

use clap::Args;

use super::parse_job_id;
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::output::{self, cell};
use crate::table::Table;

/// Arguments of `status`.
#[derive(Debug, Args)]
pub(crate) struct Status {
    /// Id of the job
    #[arg(value_parser = parse_job_id)]
    id: String,
}

impl Status {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let status = client.get_json(
            &format!("job {}", self.id),
            &client.job_path(&self.id, "", &[]),
        )?;
        if options.json {
            return output::print_json(&status);
        }
        let mut table = Table::new(["ID", "STATE", "TASKS", "WAITING", "SENT", "DONE", "HOME"]);
        table.add_row(
            ["id", "state", "tasks", "waiting", "sent", "done", "home"]
                .map(|field| cell(&status[field])),
        );
        output::print(&table.to_string())
    }
}

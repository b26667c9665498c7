//! `why`: prints all scheduling decisions about a job.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use serde_json::Value;

use super::parse_job_id;
use crate::cli::Options;
use crate::client::Client;
use crate::events::EventPage;
use crate::output;
use crate::table::Table;
use crate::timeline::Timeline;
use crate::{Failure, Result};

/// Arguments of `why`.
#[derive(Debug, Args)]
pub(crate) struct Why {
    /// Id of the job
    #[arg(value_parser = parse_job_id)]
    id: String,
    /// Read the logs of processes in leased mode instead of querying an entry; `-` for standard
    /// input
    #[arg(long, value_name = "FILE", num_args = 1..)]
    logs: Vec<PathBuf>,
}

impl Why {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        if self.logs.is_empty() {
            self.show_events(options)
        } else {
            self.show_logs(options)
        }
    }

    /// Fetches the events of the job from an entry and prints them.
    fn show_events(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let mut raw: Vec<Value> = Vec::new();
        let mut table = Table::new(["NUMBER", "AT MS", "KIND", "TASK", "AGENT", "DETAIL"]);
        let mut from = 0;
        loop {
            let page = EventPage::fetch(&client, &self.id, from, Duration::ZERO)?;
            for event in page.events()? {
                let [task, agent, detail] = event.cells();
                table.add_row([
                    event.number.to_string(),
                    event.at_ms.to_string(),
                    event.kind,
                    task,
                    agent,
                    detail,
                ]);
            }
            raw.extend_from_slice(page.raw_events());
            // The job may still run; all events so far have been read.
            if page.ended || page.raw_events().is_empty() || page.next <= from {
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

    /// Prints the timeline of the job from log files.
    fn show_logs(&self, options: &Options) -> Result<()> {
        let mut timeline = Timeline::default();
        for path in &self.logs {
            let text = read_log(path)?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            timeline.add_log(&self.id, &name, &text);
        }
        timeline.sort();
        if options.json {
            let lines = timeline.lines.into_iter().map(|line| line.raw);
            return output::print_json(&lines.collect());
        }
        let mut table = Table::new(["TIME", "PROCESS", "WHAT", "TASK", "DETAIL"]);
        for line in &timeline.lines {
            table.add_row([
                line.time.clone(),
                line.process.clone(),
                line.message.clone(),
                line.task.clone(),
                line.detail.clone(),
            ]);
        }
        let gaps = timeline.gaps();
        let missing = gaps.iter().map(|gap| format!("missing: {gap}\n"));
        output::print(&format!("{table}{}", missing.collect::<String>()))
    }
}

fn read_log(path: &Path) -> Result<String> {
    let result = if path == Path::new("-") {
        let mut bytes = Vec::new();
        std::io::stdin()
            .lock()
            .read_to_end(&mut bytes)
            .map(|_| bytes)
    } else {
        std::fs::read(path)
    };
    // A log can be truncated within a character; the rest of it is still usable.
    let text = result.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    text.map_err(|error| Failure::usage(format!("{} can't be read: {error}", path.display())))
}

//! `watch`: prints the events of a job as they occur.

use std::io::{self, IsTerminal};
use std::thread;
use std::time::Duration;

use clap::Args;

use super::parse_job_id;
use crate::Result;
use crate::cli::Options;
use crate::client::Client;
use crate::events::{Event, EventPage};
use crate::output;
use crate::progress::Progress;

/// Long-poll wait for the next event.
const EVENT_WAIT: Duration = Duration::from_secs(10);

/// Pause after a page without events, which avoids a busy loop if an entry replies before the wait
/// is over.
const EMPTY_PAGE_PAUSE: Duration = Duration::from_millis(50);

/// Arguments of `watch`.
#[derive(Debug, Args)]
#[command(
    after_help = "With --json, each event is one line. The exit code does not depend on the \
                  verdict of the job; see `answer`."
)]
pub(crate) struct Watch {
    /// Id of the job
    #[arg(value_parser = parse_job_id)]
    id: String,
}

impl Watch {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let mut progress = self.progress(&client);
        let mut from = 0;
        loop {
            let page = EventPage::fetch(&client, &self.id, from, EVENT_WAIT)?;
            let events = page.events()?;
            if let Some(progress) = &mut progress {
                progress.clear();
            }
            for (event, raw) in events.iter().zip(page.raw_events()) {
                if options.json {
                    output::print(&raw.to_string())?;
                } else {
                    output::print(&format_event(event))?;
                }
            }
            if page.ended {
                return Ok(());
            }
            if let Some(progress) = &mut progress {
                progress.count_events(&events);
                progress.draw();
            }
            if events.is_empty() {
                thread::sleep(EMPTY_PAGE_PAUSE);
            }
            from = page.next.max(from);
        }
    }

    /// Returns the progress line if standard error is a terminal.
    fn progress(&self, client: &Client) -> Option<Progress> {
        io::stderr().is_terminal().then(|| {
            // If the number of tasks is not available, the line shows only the counts.
            let status = client.get_json("status", &client.job_path(&self.id, "", &[]));
            Progress::new(status.ok().and_then(|status| status["tasks"].as_u64()))
        })
    }
}

fn format_event(event: &Event) -> String {
    let [task, agent, detail] = event.cells();
    let Event { at_ms, kind, .. } = event;
    format!("{at_ms:>8} ms  {kind:<8}  {task:>4}  {agent:<16}  {detail}")
}

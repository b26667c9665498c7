//! Progress line on standard error.

use std::collections::HashSet;

use crate::events::Event;

/// Counts the tasks of a job by their latest event and shows the counts in one line.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    total: Option<u64>,
    running: HashSet<u64>,
    done: HashSet<u64>,
    refused: u64,
}

impl Progress {
    /// Creates the progress of a job. `total` is its number of tasks, if known.
    pub(crate) fn new(total: Option<u64>) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Updates the counts with new events.
    pub(crate) fn count_events(&mut self, events: &[Event]) {
        for event in events {
            let Some(task) = event.task else {
                continue;
            };
            match event.kind.as_str() {
                "sent" | "started" => {
                    self.running.insert(task);
                }
                "done" => {
                    self.running.remove(&task);
                    self.done.insert(task);
                }
                "refused" => {
                    self.running.remove(&task);
                    self.refused += 1;
                }
                _ => {}
            }
        }
    }

    /// Erases the line, so that other output can be printed.
    pub(crate) fn clear(&self) {
        eprint!("\r\x1b[K");
    }

    /// Draws the line in place of the previous one.
    pub(crate) fn draw(&self) {
        let total = self
            .total
            .map_or_else(String::new, |total| format!("/{total}"));
        eprint!(
            "\r\x1b[K{}{total} tasks done, {} sent, {} refusals",
            self.done.len(),
            self.running.len(),
            self.refused
        );
    }
}

//! Events of a job as returned by an entry.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::client::{Client, Method, REPLY_MARGIN};
use crate::output::cell;
use crate::{Failure, Result};

/// One event of a job.
///
/// The kind is kept as text, so that the tool can show kinds that it does not know.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Event {
    /// Position in the event list of the job.
    pub(crate) number: u64,
    /// Milliseconds since the home agent accepted the job.
    pub(crate) at_ms: u64,
    /// What happened.
    pub(crate) kind: String,
    /// Number of the task, if the event concerns one.
    #[serde(default)]
    pub(crate) task: Option<u64>,
    /// Id of the agent, if the event concerns one.
    #[serde(default)]
    agent: Value,
    /// Reason or further information.
    #[serde(default)]
    detail: Value,
}

impl Event {
    /// Returns the task, agent and detail as table cells.
    pub(crate) fn cells(&self) -> [String; 3] {
        let task = self
            .task
            .map_or_else(|| "-".to_owned(), |task| task.to_string());
        [task, cell(&self.agent), cell(&self.detail)]
    }
}

/// One page of the events of a job.
#[derive(Debug, Deserialize)]
pub(crate) struct EventPage {
    /// The events as received.
    events: Vec<Value>,
    /// Number of the first event after this page.
    pub(crate) next: u64,
    /// Whether the job has ended and this page contains its last event.
    pub(crate) ended: bool,
}

impl EventPage {
    /// Fetches the events of job `id` from number `from`. The entry waits up to `wait` for an
    /// event.
    ///
    /// # Errors
    ///
    /// Returns a failure if no entry replied or if the reply is not a page of events.
    pub(crate) fn fetch(client: &Client, id: &str, from: u64, wait: Duration) -> Result<Self> {
        let subject = format!("events of job {id}");
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let path = client.job_path(id, "/events", &[("from", from), ("wait_ms", wait_ms)]);
        let reply = client.request_any(Method::Get, &path, None, wait + REPLY_MARGIN)?;
        serde_json::from_value(reply.success_json(&subject)?)
            .map_err(|error| Failure::may_have_run(format!("{subject}: {error}")))
    }

    /// Returns the events as received.
    pub(crate) fn raw_events(&self) -> &[Value] {
        &self.events
    }

    /// Parses the events.
    ///
    /// # Errors
    ///
    /// Returns a failure if an event does not have the expected fields.
    pub(crate) fn events(&self) -> Result<Vec<Event>> {
        self.events
            .iter()
            .map(|event| {
                Event::deserialize(event)
                    .map_err(|error| Failure::may_have_run(format!("event {event}: {error}")))
            })
            .collect()
    }
}

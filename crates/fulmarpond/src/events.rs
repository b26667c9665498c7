//! Events of a job, as an entry sends them.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::client::{Client, Method, REPLY_MARGIN};
use crate::output::cell;
use crate::{Failure, Result};

/// One event of a job.
///
/// Kinds are kept as text, so that the tool can show those that it does not know.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Event {
    /// The position in the job's list of events.
    pub(crate) number: u64,
    /// Milliseconds since the home accepted the job.
    pub(crate) at_ms: u64,
    /// What happened.
    pub(crate) kind: String,
    /// The task concerned.
    #[serde(default)]
    pub(crate) task: Option<u64>,
    /// The agent concerned.
    #[serde(default)]
    agent: Value,
    /// Why it happened.
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

/// A part of the events of a job.
#[derive(Debug, Deserialize)]
pub(crate) struct EventPage {
    /// The events as they came.
    events: Vec<Value>,
    /// The number of the first event that is not on this page.
    pub(crate) next: u64,
    /// Whether the job has ended and this page has its last event.
    pub(crate) ended: bool,
}

impl EventPage {
    /// Reads the events of job `id` from number `from`, and waits up to `wait` for one.
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

    /// Returns the events as they came.
    pub(crate) fn raw_events(&self) -> &[Value] {
        &self.events
    }

    /// Returns the events.
    ///
    /// # Errors
    ///
    /// Returns a failure if an event has another form.
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

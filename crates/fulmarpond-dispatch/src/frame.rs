//! Frames exchanged between entries and agents.
//!
//! The clocks of two processes are unrelated, so times are sent as remaining or elapsed
//! milliseconds.

use std::net::SocketAddr;

use fulmarpond_derive::{message, value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::Configuration;
use crate::{EndpointId, JobId, Resources, TaskKey};

/// An error for a frame that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unreadable frame: {0}")]
pub struct FrameError(postcard::Error);

/// Encodes a frame or a stored record.
///
/// # Panics
///
/// Panics if the type has a sequence of unknown length, which no frame or record has. An empty
/// frame or record in its place would be lost at its reader.
pub fn encode<T: Serialize>(frame: &T) -> Vec<u8> {
    postcard::to_stdvec(frame).expect("frames and records have no sequence of unknown length")
}

/// Decodes a frame or a stored record.
///
/// # Errors
///
/// Returns an error if the bytes do not encode a value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(bytes).map_err(FrameError)
}

/// A frame from an agent to an entry.
#[message]
pub enum AgentFrame {
    /// The first frame on a link.
    Hello {
        /// The host name.
        name: String,
        /// The availability zone.
        zone: String,
        /// The version of the configuration that the agent has stored; 0 for none.
        version: u64,
    },
    /// A stored configuration that is newer than that of the entry.
    Configuration(Configuration),
    /// A change of the endpoint, or its absence.
    Endpoint {
        /// The incarnation of the endpoint; empty if there is none.
        id: EndpointId,
        /// The service of the endpoint; empty if there is none.
        service: String,
        /// Its total capacity.
        capacity: Resources,
        /// Its labels, such as kind and rack.
        labels: Vec<String>,
    },
    /// The current load, sent regularly. The entry renews its lease by returning `sent`.
    Status {
        /// The send time on the agent's clock, in microseconds.
        sent: u64,
        /// The number of orders received on this link that the load includes.
        orders: u64,
        /// The load.
        load: EndpointStatus,
    },
    /// Tasks of this entry that may have started.
    Started(Vec<TaskKey>),
    /// New checkpoints of tasks of this entry.
    Saved(Vec<Checkpoint>),
    /// Long-running tasks of this entry that are now working, or no longer are.
    Working(Vec<Working>),
    /// Results of tasks of this entry.
    Ended(Vec<TaskEnd>),
    /// Results that no entry has acknowledged yet.
    UnacknowledgedEnds(Vec<TaskEnd>),
    /// All orphaned tasks at this agent: long-running ones that wait for the next owner of their
    /// jobs.
    Orphaned(Vec<TaskKey>),
    /// The lasting speed of the endpoint, sent when it changes and when a link opens.
    Speed(EndpointSpeed),
}

/// The lasting speed of an endpoint, as its run times show it.
#[message]
#[derive(Copy, Eq, Default)]
pub struct EndpointSpeed {
    /// The ratio of run times to those expected on a nominal endpoint, in thousandths. A slow
    /// endpoint has more than 1,000.
    pub run_permille: u32,
    /// The number of jobs that the ratio was measured with; 0 if it is unknown.
    pub samples: u32,
}

/// The load of an endpoint.
#[message]
#[derive(Copy, Default)]
pub struct EndpointStatus {
    /// Whether new tasks are accepted.
    pub ready: bool,
    /// The free capacity.
    pub free: Resources,
    /// The work that is queued at the agent.
    pub backlog: Backlog,
    /// The expected time until the next run ends, in milliseconds.
    pub next_end_ms: u32,
    /// The ratio of observed to expected run time, in percent.
    pub slowness: u32,
    /// The share of recent runs that failed, in percent.
    pub failures: u32,
    /// Whether runs are overdue and none has ended.
    pub stalled: bool,
    /// The capacity used by runs that continue until they are stopped.
    pub reserved: Resources,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Whether the agent is stopping, or its host is drained for maintenance.
    pub stopping: bool,
}

/// Queued work in core-milliseconds, in classes of slack: the time left until it has to start.
#[message]
#[derive(Copy, Default)]
pub struct Backlog([u32; SLACK_BOUNDS_MS.len()]);

/// The inclusive upper bounds of the slack classes of a [`Backlog`], in milliseconds.
const SLACK_BOUNDS_MS: [u64; 7] = [0, 30, 60, 120, 240, 480, u64::MAX];

impl Backlog {
    /// Adds work, in core-milliseconds, that has to start within `slack_ms` milliseconds.
    pub fn add(&mut self, slack_ms: u64, work: u64) {
        let class = SLACK_BOUNDS_MS.iter().position(|&bound| slack_ms <= bound);
        let class = class.unwrap_or(SLACK_BOUNDS_MS.len() - 1);
        let work = u32::try_from(work).unwrap_or(u32::MAX);
        self.0[class] = self.0[class].saturating_add(work);
    }

    /// Returns the work that starts before a task with `slack_ms` milliseconds left, including all
    /// work of the same class.
    pub fn work_ahead(&self, slack_ms: u64) -> u64 {
        let classes = self.0.iter().enumerate();
        let earlier =
            classes.take_while(|(class, _)| *class == 0 || SLACK_BOUNDS_MS[class - 1] < slack_ms);
        earlier.map(|(_, work)| u64::from(*work)).sum()
    }

    /// Returns whether no work is queued.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|&work| work == 0)
    }
}

/// A frame from an entry to an agent.
#[message]
pub enum EntryFrame {
    /// The first frame on a link.
    Hello {
        /// The host name.
        name: String,
        /// The version of the configuration in force; 0 for none.
        version: u64,
    },
    /// The configuration in force. The agent stores it for entries that start while the store is
    /// unreachable.
    Configuration(Configuration),
    /// Renews the lease of this entry's runs.
    Renew {
        /// The `sent` time of the latest status from the agent, in microseconds.
        sent: u64,
    },
    /// Orders the agent to start tasks of one job.
    Start(Order),
    /// Stops tasks of one job.
    Stop {
        /// The job.
        job: JobId,
        /// The step and the index of each task; empty for all tasks of the job.
        tasks: Vec<(u16, u16)>,
        /// Whether the agent reports their results.
        report: bool,
    },
    /// Withdraws the queued tasks of a job, which the agent reports as unavailable.
    Withdraw(JobId),
    /// Releases a job that another entry will take over: its long-running tasks wait for the new
    /// owner, and its other tasks are stopped.
    Release(JobId),
    /// Makes this entry the owner of long-running tasks.
    Adopt(Vec<TaskKey>),
    /// Acknowledges the results of runs, which are now stored.
    Acknowledge(Vec<TaskRun>),
    /// Discards the results of runs, which are no longer needed.
    Obsolete(Vec<TaskRun>),
    /// Marks unacknowledged results of runs whose tasks were placed again before the results were
    /// known. The agent may acknowledge them to the endpoint only after the endpoint's lease has
    /// expired.
    Superseded(Vec<TaskRun>),
    /// The link addresses of all entries.
    Entries(Vec<SocketAddr>),
    /// Drains the host before its maintenance: the agent starts no tasks for a while.
    Drain,
}

/// An order to start tasks of one step.
#[message]
pub struct Order {
    /// The job.
    pub job: JobId,
    /// The step.
    pub step: u16,
    /// The indexes of the tasks within the step.
    pub indexes: Vec<u16>,
    /// The service whose endpoints may run them.
    pub service: String,
    /// The task specification as submitted by the caller.
    pub spec: String,
    /// The resources that each task needs.
    pub needs: Resources,
    /// The expected run time of a task at this endpoint, in milliseconds.
    pub expected_ms: u32,
    /// The expected run time of a task on a nominal endpoint, in milliseconds; 0 if the run says
    /// nothing about the speed of the endpoint, because it is far from its data.
    pub nominal_ms: u32,
    /// How long the tasks may wait for free capacity without missing their objective, in
    /// milliseconds.
    pub slack_ms: u32,
    /// The time until the deadline of the caller, in milliseconds; `u32::MAX` for none.
    pub remaining_ms: u32,
    /// The maximum run time, after which a run is stopped, in milliseconds.
    pub max_run_ms: u32,
    /// Whether the agent holds the results until they are stored.
    pub is_durable: bool,
    /// The epoch of the runs.
    pub epoch: u16,
    /// The checkpoints to resume from, by task index.
    pub checkpoints: Vec<(u16, String)>,
    /// Whether the tasks are a gang: all of them start together with the same run number, and none
    /// is queued.
    pub gang: bool,
    /// Whether the tasks run until they are stopped. None of them is queued.
    pub long_running: bool,
    /// The ticket that authorises the endpoint to run the step, if its queue has a policy.
    pub ticket: Option<String>,
}

/// How a task ended.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to completion.
    Done,
    /// It ran and failed.
    Failed,
    /// It started but did not complete: it was stopped, its lease expired, or its endpoint was
    /// lost.
    Aborted,
    /// It was not started: the endpoint is draining, absent or part of another service.
    Unavailable,
    /// It was not started: the endpoint lacks the capacity.
    NoRoom,
    /// It was not started: the endpoint rejected its ticket.
    NoTicket,
}

/// A checkpoint of a task.
#[message]
#[derive(Eq)]
pub struct Checkpoint {
    /// The task.
    pub task: TaskKey,
    /// The checkpoint as sent by the endpoint.
    pub value: String,
}

/// A change of whether a long-running task is working.
#[message]
#[derive(Eq)]
pub struct Working {
    /// The task.
    pub task: TaskKey,
    /// Whether it is working.
    pub working: bool,
}

/// The result of a task at an agent.
#[message]
pub struct TaskEnd {
    /// The task.
    pub task: TaskKey,
    /// How it ended.
    pub outcome: Outcome,
    /// The number of the run; 0 if it did not start.
    pub run: u32,
    /// The run time, in milliseconds; 0 if it did not run from start to end.
    pub elapsed: u32,
}

/// A run of a task.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct TaskRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
}

//! Messages between entries and agents.
//!
//! Times are remaining or elapsed milliseconds, since the clocks of two processes are unrelated.

use std::net::SocketAddr;

use fulmarpond_derive::{message, value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::Configuration;
use crate::{EndpointId, JobId, Needs, TaskKey};

/// A frame that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unreadable frame: {0}")]
pub struct FrameError(postcard::Error);

/// Encodes a frame.
pub fn encode<T: Serialize>(frame: &T) -> Vec<u8> {
    // Encoding into a growing vector fails only for types of unknown length, which no frame has.
    postcard::to_stdvec(frame).unwrap_or_default()
}

/// Decodes a frame.
///
/// # Errors
///
/// Fails if the bytes are not such a frame.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(bytes).map_err(FrameError)
}

/// What an agent tells an entry.
#[message]
pub enum AgentFrame {
    /// The first frame on a link.
    Hello {
        /// The host name.
        name: String,
        /// The availability zone.
        zone: String,
        /// The version of the configuration that the agent keeps; 0 for none.
        version: u64,
    },
    /// A configuration that is newer than the entry's.
    Configuration(Configuration),
    /// The endpoint changed, or there is none.
    Endpoint {
        /// The incarnation; empty without an endpoint.
        id: EndpointId,
        /// The service; empty without an endpoint.
        service: String,
        /// Its room.
        capacity: Needs,
        /// Its kind and its rack.
        labels: Vec<String>,
    },
    /// The present load, sent regularly. The entry returns `sent` and so renews its lease.
    Status {
        /// The time of sending on the agent's clock, in microseconds.
        sent: u64,
        /// How many orders of this link it reflects.
        orders: u64,
        /// The load.
        load: EndpointStatus,
    },
    /// Tasks of this entry may have begun.
    Started(Vec<TaskKey>),
    /// Tasks of this entry have saved their progress.
    Saved(Vec<Checkpoint>),
    /// Long-running tasks of this entry are at work now, or are not any more.
    Working(Vec<Working>),
    /// Tasks of this entry ended.
    Ended(Vec<TaskEnd>),
    /// Ends that no entry has taken note of yet.
    Held(Vec<TaskEnd>),
    /// All long-running tasks here that wait for the next owner of their jobs.
    Unowned(Vec<TaskKey>),
}

/// The load of an endpoint.
#[message]
#[derive(Copy, Default)]
pub struct EndpointStatus {
    /// Whether new tasks are taken.
    pub ready: bool,
    /// The room that is not in use.
    pub free: Needs,
    /// The work that waits at the agent.
    pub backlog: Backlog,
    /// The expected time until the next end of a run, in milliseconds.
    pub next_end: u32,
    /// Observed over expected run time, in percent.
    pub slowness: u32,
    /// The share of recent runs that failed, in percent.
    pub failures: u32,
    /// Whether runs are overdue without any end.
    pub stalled: bool,
    /// The room of runs that go on until they are stopped.
    pub reserved: Needs,
    /// Whether the endpoint is about to leave.
    pub draining: bool,
    /// Whether the agent is about to stop.
    pub stopping: bool,
}

/// Waiting work by the time that is left until it has to start, in core-milliseconds.
#[message]
#[derive(Copy, Default)]
pub struct Backlog([u32; SLACK_BOUNDS.len()]);

/// The upper bounds of the classes of a [`Backlog`], in milliseconds.
const SLACK_BOUNDS: [u64; 7] = [0, 30, 60, 120, 240, 480, u64::MAX];

impl Backlog {
    /// Adds work that has to start within `slack` milliseconds.
    pub fn add(&mut self, slack: u64, work: u64) {
        let class = SLACK_BOUNDS.iter().position(|&bound| slack <= bound);
        let class = class.unwrap_or(SLACK_BOUNDS.len() - 1);
        let work = u32::try_from(work).unwrap_or(u32::MAX);
        self.0[class] = self.0[class].saturating_add(work);
    }

    /// Returns the work that goes before a task with `slack` milliseconds left. All work of the
    /// class that the task belongs to counts.
    pub fn ahead(&self, slack: u64) -> u64 {
        let classes = self.0.iter().enumerate();
        let earlier =
            classes.take_while(|(class, _)| *class == 0 || SLACK_BOUNDS[class - 1] < slack);
        earlier.map(|(_, work)| u64::from(*work)).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_clear(&self) -> bool {
        self.0.iter().all(|&work| work == 0)
    }
}

/// What an entry tells an agent.
#[message]
pub enum EntryFrame {
    /// The first frame on a link.
    Hello {
        /// The host name.
        name: String,
        /// The version of the configuration in force; 0 for none.
        version: u64,
    },
    /// The configuration in force, to be kept for entries that start while they can't reach the
    /// store.
    Configuration(Configuration),
    /// Renews the lease of this entry's runs.
    Renew {
        /// The agent's own time of its latest status, in microseconds.
        sent: u64,
    },
    /// Starts tasks of one job.
    Start(Order),
    /// Ends tasks of one job.
    Stop {
        /// The job.
        job: JobId,
        /// The steps and numbers of the tasks; empty for all of the job.
        tasks: Vec<(u16, u16)>,
        /// Whether their ends are to be told.
        report: bool,
    },
    /// Returns the tasks of a job that have not begun.
    Withdraw(JobId),
    /// Another entry will run this job: its long-running tasks wait for it, and the others end.
    Release(JobId),
    /// This entry owns the long-running tasks from now on.
    Adopt(Vec<TaskKey>),
    /// The ends of these runs are in the store.
    Noted(Vec<TaskRun>),
    /// Nobody needs the ends of these runs.
    Obsolete(Vec<TaskRun>),
    /// The tasks of these runs were placed again before their ends were known: the ends may be
    /// taken note of only after the lease of the endpoint has lapsed.
    Void(Vec<TaskRun>),
    /// The link addresses of all entries.
    Entries(Vec<SocketAddr>),
    /// The host is about to be maintained: no task is to start there for a while.
    Drain,
}

/// Tasks of one step that an agent is to start.
#[message]
pub struct Order {
    /// The job.
    pub job: JobId,
    /// The step.
    pub step: u16,
    /// The numbers of the tasks within the step.
    pub indexes: Vec<u16>,
    /// The service that may run them.
    pub service: String,
    /// What the tasks do, as the caller wrote it.
    pub spec: String,
    /// What each of them needs.
    pub needs: Needs,
    /// The expected run time, in milliseconds.
    pub expected: u32,
    /// How long they may wait for room without missing their objective, in milliseconds.
    pub slack: u32,
    /// When the caller has its answer or leaves, in milliseconds; `u32::MAX` for never.
    pub remaining: u32,
    /// The run time after which a run is given up, in milliseconds.
    pub limit: u32,
    /// Whether the ends are held until they are in the store.
    pub kept: bool,
    /// The epoch of the runs.
    pub epoch: u16,
    /// Where tasks go on that have saved their progress, by their numbers.
    pub checkpoints: Vec<(u16, String)>,
    /// Whether the tasks work only together: then all have the same run number, and none waits.
    pub gang: bool,
    /// Whether the tasks run until they are stopped. None of them waits.
    pub long_running: bool,
    /// What shows that the endpoint may run the step, if its queue has a policy.
    pub ticket: Option<String>,
}

/// How a task ended.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was started and ended before it was done: stopped, lapsed or lost with its endpoint.
    Aborted,
    /// It was not started: the endpoint leaves, is away or belongs to another service.
    Unavailable,
    /// It was not started: the endpoint cannot hold it.
    NoRoom,
    /// It was not started: the endpoint did not accept its ticket.
    NoTicket,
}

/// The saved progress of a task.
#[message]
#[derive(Eq)]
pub struct Checkpoint {
    /// The task.
    pub task: TaskKey,
    /// What the endpoint gave.
    pub value: String,
}

/// Whether a long-running task is at work.
#[message]
#[derive(Eq)]
pub struct Working {
    /// The task.
    pub task: TaskKey,
    /// Whether it is at work.
    pub working: bool,
}

/// The end of a task at an agent.
#[message]
pub struct TaskEnd {
    /// The task.
    pub task: TaskKey,
    /// How it ended.
    pub outcome: Outcome,
    /// The number of the run; 0 if it did not start.
    pub run: u32,
    /// The run time, in milliseconds; 0 if it did not run from its beginning to its end.
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

//! Frames exchanged between entries and agents.
//!
//! The clocks of two processes are unrelated, so times are sent as remaining or elapsed
//! milliseconds.

use std::net::SocketAddr;

use fulmarpond_derive::{message, value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::configuration::ConfigurationUpdate;
use crate::evacuation::Evacuations;
use crate::{Class, EndpointId, JobId, PeerFrame, Resources, TaskKey, Weights};

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
    /// What the entry has requested: a newer configuration that the agent holds.
    Configuration {
        /// What has changed, or the whole.
        update: ConfigurationUpdate,
        /// The time since an entry last gave or offered it to the agent, in milliseconds.
        age_ms: u64,
    },
    /// A change of the endpoint, or its absence.
    Endpoint {
        /// The id of the endpoint; empty if there is none.
        id: EndpointId,
        /// When its incarnation was started, in Unix milliseconds; 0 if unknown.
        born: u64,
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
    /// The evacuated zones, for entries whose list is older.
    Evacuations(Evacuations),
    /// The time until the endpoint is warm, in milliseconds; sent while it is cold.
    Cold(u32),
    /// The lasting speed of the endpoint, sent when it changes and when a link opens.
    Speed(EndpointSpeed),
    /// A crash of the endpoint, sent when it is noticed, and when a link opens later.
    Crashed(EndpointCrash),
    /// The version of the configuration that the agent now holds.
    ConfigurationVersion(u64),
    /// Requests a configuration newer than this version, which the agent holds; 0 for none.
    RequestConfiguration(u64),
    /// A frame from another entry, which opens its links at the same address.
    Peer(PeerFrame),
    /// The entries that the agent is linked to, and which can thus place tasks there; sent when they
    /// change.
    Entries(Vec<LinkedEntry>),
}

/// An entry that an agent is linked to.
#[message]
#[derive(Eq)]
pub struct LinkedEntry {
    /// The host name.
    pub name: String,
    /// The address for links.
    pub addr: SocketAddr,
}

/// A crash of an endpoint: an end that it has not announced, with the runs that were lost.
#[message]
#[derive(Eq)]
pub struct EndpointCrash {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// When the incarnation that crashed was started, in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// The service of the endpoint.
    pub service: String,
    /// The time since the crash, in milliseconds.
    pub ago_ms: u32,
    /// How much earlier the crash may have been, as nothing was heard of the endpoint, in milliseconds.
    pub silent_ms: u32,
    /// The runs that were lost. Any of them may have caused the crash, or none.
    pub runs: Vec<LostRun>,
}

/// A run that was lost in a crash.
#[message]
#[derive(Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The name of the route of its job.
    pub route: String,
    /// The time from the start of the run to the crash, in milliseconds.
    pub age_ms: u32,
    /// Whether the run was surely at the endpoint when it crashed: its start was confirmed, and no end
    /// was unseen for long before the crash.
    pub is_certain: bool,
    /// Whether the run was probably there: its start was sent just after a sign of life, or ends were
    /// unseen for a short while. Always set if it was certainly there.
    pub is_likely: bool,
    /// Whether the run was being watched, so that no run of another job was as young.
    pub is_watched: bool,
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
    /// The weights of the shares of the classes.
    pub weights: Weights,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Whether the agent is stopping, or its host is drained for maintenance.
    pub stopping: bool,
}

/// The work that waits at an agent in core-milliseconds, by class and by slack: the time left until
/// it has to start; and what the runs of each class use while work waits.
///
/// It is sent as a list of the values that are not 0, so an empty one takes a single byte.
#[message]
#[derive(Copy, Default)]
#[serde(try_from = "Vec<(u8, u32)>", into = "Vec<(u8, u32)>")]
pub struct Backlog([[u32; VALUES_PER_CLASS]; Class::COUNT]);

/// The inclusive upper bounds of the slack ranges of a [`Backlog`], in milliseconds.
const SLACK_BOUNDS_MS: [u64; 7] = [0, 30, 60, 120, 240, 480, u64::MAX];

/// The position of the CPU used by the runs of a class, in thousandths of a core.
const USED_CPU: usize = SLACK_BOUNDS_MS.len();

/// The position of the mean expected run time of the runs of a class, in milliseconds.
const RUN_MS: usize = USED_CPU + 1;

const VALUES_PER_CLASS: usize = RUN_MS + 1;

impl Backlog {
    /// Adds work of a class, in core-milliseconds, that has to start within `slack_ms` milliseconds.
    pub fn add(&mut self, class: Class, slack_ms: u64, work: u64) {
        let range = SLACK_BOUNDS_MS.iter().position(|&bound| slack_ms <= bound);
        let range = range.unwrap_or(SLACK_BOUNDS_MS.len() - 1);
        let work = u32::try_from(work).unwrap_or(u32::MAX);
        let sum = &mut self.0[class.index()][range];
        *sum = sum.saturating_add(work);
    }

    /// Sets the CPU that the runs of a class use, in thousandths of a core, and their mean expected
    /// run time, in milliseconds.
    pub fn set_running(&mut self, class: Class, cpu: u32, run_ms: u32) {
        self.0[class.index()][USED_CPU] = cpu;
        self.0[class.index()][RUN_MS] = run_ms;
    }

    /// Returns the CPU that the runs of a class use, and their mean expected run time.
    pub const fn running(&self, class: Class) -> (u32, u32) {
        let values = &self.0[class.index()];
        (values[USED_CPU], values[RUN_MS])
    }

    /// Returns the work of a class that starts before a task of it with `slack_ms` milliseconds
    /// left, including all work of the same range of slack.
    pub fn work_ahead(&self, class: Class, slack_ms: u64) -> u64 {
        let ranges = self.work(class).iter().enumerate();
        let earlier =
            ranges.take_while(|(range, _)| *range == 0 || SLACK_BOUNDS_MS[range - 1] < slack_ms);
        earlier.map(|(_, work)| u64::from(*work)).sum()
    }

    /// Returns whether work of a class waits.
    pub fn has_work(&self, class: Class) -> bool {
        self.work(class).iter().any(|&work| work > 0)
    }

    /// Returns whether no work is queued.
    pub fn is_empty(&self) -> bool {
        Class::ALL.into_iter().all(|class| !self.has_work(class))
    }

    fn work(&self, class: Class) -> &[u32] {
        &self.0[class.index()][..SLACK_BOUNDS_MS.len()]
    }
}

impl From<Backlog> for Vec<(u8, u32)> {
    fn from(backlog: Backlog) -> Self {
        let values = (0..).zip(backlog.0.as_flattened().iter().copied());
        values.filter(|(_, value)| *value != 0).collect()
    }
}

impl TryFrom<Vec<(u8, u32)>> for Backlog {
    type Error = InvalidBacklog;

    fn try_from(values: Vec<(u8, u32)>) -> Result<Self, InvalidBacklog> {
        let mut backlog = Self::default();
        for (position, value) in values {
            let known = backlog.0.as_flattened_mut().get_mut(usize::from(position));
            *known.ok_or(InvalidBacklog(position))? = value;
        }
        Ok(backlog)
    }
}

/// An error for a backlog with an unknown value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a backlog has no value {0}")]
pub struct InvalidBacklog(u8);

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
    /// What the agent has requested: a newer configuration that is in force at the entry.
    Configuration(ConfigurationUpdate),
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
    /// The evacuated zones, sent when they change and to an agent whose list is older.
    Evacuations(Evacuations),
    /// The version of the configuration in force, for an agent that is to hold it for entries that
    /// cannot read it from the store.
    ConfigurationVersion(u64),
    /// Requests a configuration newer than this version, which is in force; 0 for none.
    RequestConfiguration(u64),
    /// A frame to another entry, which has opened the link.
    Peer(PeerFrame),
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
    /// The name of the route of the job.
    pub route: String,
    /// The task specification as submitted by the caller.
    pub spec: String,
    /// The resources that each task needs.
    pub needs: Resources,
    /// The priority of the route; 0 is the highest.
    pub priority: u8,
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
    /// How long a run is watched because it may crash the endpoint, in milliseconds; 0 if it is not.
    /// While it is watched, no run of another job starts, and it starts only when no run of another
    /// job is as young as that.
    pub watch_ms: u32,
    /// Whether the route is quarantined: its tasks start only where no short run of another route is
    /// left that they could take down.
    pub is_quarantined: bool,
    /// The maximum run time, after which a run is stopped, in milliseconds.
    pub max_run_ms: u32,
    /// Whether the agent holds the results until they are stored.
    pub is_durable: bool,
    /// The epoch of the runs.
    pub epoch: u16,
    /// The last run in this epoch, wherever it was, of each task that has run in it, by task index.
    /// The next one has a higher number.
    pub last_runs: Vec<(u16, u32)>,
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

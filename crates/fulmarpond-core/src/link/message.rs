//! Requests and responses between own processes.
//!
//! Every request is sent in an [`Envelope`] that names the incarnation it is meant for, so that a
//! new process at the same address refuses what was meant for its predecessor. Times are remaining
//! milliseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fulmarpond_derive::message;
use serde_json::Value;

use crate::contract::{Answer, Event, JobId, Refusal, Status, Submission, Task};
use crate::machine::{AgentId, Load};
use crate::policy::{Patch, Values, Version};
use crate::zone::{Delta, Zone};

/// A request with the incarnation that it is meant for.
#[message]
pub struct Envelope {
    /// The incarnation that the request is meant for. Requests to entries name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<AgentId>,
    /// The request.
    #[serde(flatten)]
    pub request: Request,
}

/// A request to an agent or an entry. The tag is the JSON-RPC method.
#[message]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum Request {
    /// Agent to entry, periodically.
    Announce(Box<Announce>),
    /// Stopped agent to entry.
    Leave(Leave),
    /// Entry to home.
    Submit(Box<Submit>),
    /// Entry to candidate: the answer of a job.
    Fetch(Fetch),
    /// Entry to candidate: the state of a job.
    Status(StatusRequest),
    /// Entry to candidate: the events of a job.
    Events(Events),
    /// Entry to candidate.
    Cancel(Cancel),
    /// Home to agent.
    Run(Batch),
    /// Home to agent, long poll: free slots for waiting tasks.
    Reserve(Reserve),
    /// Home to agent: drop tasks that did not start.
    Withdraw(Withdraw),
    /// Home to agent: what became of a batch.
    Ask(Ask),
    /// Home to candidate.
    Seal(Seal),
    /// Stopping agent to its heir.
    Handover(Handover),
}

impl Request {
    /// The JSON-RPC methods.
    pub const METHODS: [&'static str; 13] = [
        "announce", "leave", "submit", "fetch", "status", "events", "cancel", "run", "reserve",
        "withdraw", "ask", "seal", "handover",
    ];

    /// Returns the JSON-RPC method.
    pub const fn method(&self) -> &'static str {
        match self {
            Self::Announce(_) => "announce",
            Self::Leave(_) => "leave",
            Self::Submit(_) => "submit",
            Self::Fetch(_) => "fetch",
            Self::Status(_) => "status",
            Self::Events(_) => "events",
            Self::Cancel(_) => "cancel",
            Self::Run(_) => "run",
            Self::Reserve(_) => "reserve",
            Self::Withdraw(_) => "withdraw",
            Self::Ask(_) => "ask",
            Self::Seal(_) => "seal",
            Self::Handover(_) => "handover",
        }
    }
}

/// The response to the request of the same name.
#[message]
#[serde(tag = "kind", content = "body", rename_all = "snake_case")]
pub enum Response {
    /// To [`Request::Announce`].
    Announce(Box<AnnounceReply>),
    /// To [`Request::Submit`].
    Submit(SubmitReply),
    /// To [`Request::Fetch`] and [`Request::Cancel`].
    Fetch(FetchReply),
    /// To [`Request::Status`]; `None` if the job is not known.
    Status(Option<Status>),
    /// To [`Request::Events`]; `None` if the job is not known.
    Events(Option<EventsReply>),
    /// To [`Request::Run`] and [`Request::Ask`].
    Run(BatchReport),
    /// To [`Request::Reserve`].
    Grant(Grant),
    /// To [`Request::Withdraw`].
    Withdrawn(Withdrawn),
    /// To [`Request::Seal`].
    Seal(SealReply),
    /// To [`Request::Leave`] and [`Request::Handover`].
    Done,
    /// The request was refused and had no effect.
    Refused(Refusal),
}

/// What an agent tells an entry.
#[message]
pub struct Announce {
    /// The incarnation.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its load.
    pub load: Load,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// What its endpoint offers to one task.
    pub limits: crate::contract::Needs,
    /// The roster version that it has.
    pub roster: u64,
    /// The configuration version that it has in force.
    pub config: Version,
    /// The tasks in flight of the jobs that it is home of.
    pub usage: Usage,
}

/// Tasks in flight by team and by the entry that forwarded them.
#[message]
#[derive(Default)]
pub struct Usage {
    /// Team, then entry, then the number of tasks.
    pub teams: BTreeMap<String, BTreeMap<String, u64>>,
}

/// What an entry tells an agent.
#[message]
pub struct AnnounceReply {
    /// The name of the entry.
    pub entry: String,
    /// The changes of the roster since the version that the agent has.
    pub roster: Delta,
    /// Milliseconds since the entry last confirmed its roster with the platform's service.
    pub age_ms: u64,
    /// The configuration, if it is newer than the agent's.
    pub config: Option<VersionedConfig>,
    /// The loads of other agents.
    pub peers: Vec<Peer>,
    /// Milliseconds until the next announcement is wanted.
    pub next_ms: u64,
}

/// One configuration version.
#[message]
pub struct VersionedConfig {
    /// The version.
    pub version: Version,
    /// The patch that made it.
    pub patch: Patch,
    /// All values in force.
    pub values: Values,
}

/// The load of an agent as an entry last heard it.
#[message]
pub struct Peer {
    /// The agent.
    pub agent: AgentId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its load.
    pub load: Load,
    /// What its endpoint offers to one task.
    pub limits: crate::contract::Needs,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Milliseconds since it was heard.
    pub age_ms: u64,
}

/// An agent has stopped.
#[message]
pub struct Leave {
    /// The agent.
    pub agent: AgentId,
    /// The agent that received its memory.
    pub heir: Option<AgentId>,
}

/// A job for its home.
#[message]
pub struct Submit {
    /// The job.
    pub submission: Submission,
    /// The name of the entry that forwards it.
    pub entry: String,
    /// The roster version by which the entry chose the home.
    pub roster: u64,
    /// Whether the entry could not reach a better candidate.
    pub skipped: bool,
    /// Whether the caller waits for the answer. Otherwise the reply comes with the acceptance.
    pub wait: bool,
    /// Why the job is to be refused unless it is known. A resubmission over the quota of its team
    /// still gets the answer of its earlier attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
}

/// The outcome of a submit.
#[message]
#[serde(rename_all = "snake_case")]
pub enum SubmitReply {
    /// The final answer.
    Answer(Answer),
    /// The job was accepted, and the caller did not want to wait.
    Accepted,
    /// Another agent holds the job or its seal.
    Redirect {
        /// The agent.
        agent: AgentId,
    },
    /// The agent did not accept the job and will not run it.
    Refused(Refusal),
}

/// Asks for the answer of a job.
#[message]
pub struct Fetch {
    /// The job.
    pub job: JobId,
    /// Milliseconds to wait for the answer.
    pub wait_ms: u64,
}

/// The answer of a job as far as the agent knows it.
#[message]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// The final answer.
    Answer(Answer),
    /// The job has no answer yet.
    Pending,
    /// The agent accepted the job or inherited its id, but no longer has its record.
    Forgotten,
    /// Another agent holds the job or its seal.
    Redirect {
        /// The agent.
        agent: AgentId,
    },
    /// The agent knows nothing of the job.
    Unknown,
}

/// Asks for the state of a job.
#[message]
pub struct StatusRequest {
    /// The job.
    pub job: JobId,
}

/// Asks for the events of a job.
#[message]
pub struct Events {
    /// The job.
    pub job: JobId,
    /// The number of the first event wanted.
    pub from: u64,
    /// Milliseconds to wait for an event.
    pub wait_ms: u64,
}

/// The events of a job.
#[message]
pub struct EventsReply {
    /// The events.
    pub events: Vec<Event>,
    /// The number of the next event.
    pub next: u64,
    /// Whether the job has its final answer and no event will follow.
    pub ended: bool,
}

/// Cancels a job.
#[message]
pub struct Cancel {
    /// The job.
    pub job: JobId,
}

/// The number of a batch at its home.
#[fulmarpond_derive::value]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct BatchId(pub u64);

/// Tasks of one job for one agent.
#[message]
pub struct Batch {
    /// The home that sends it.
    pub home: AgentId,
    /// Its number at the home.
    pub batch: BatchId,
    /// The job.
    pub job: JobId,
    /// Milliseconds until the job's deadline.
    pub remaining_ms: u64,
    /// The positions of the tasks in the job, and the tasks.
    pub tasks: Vec<(u32, Task)>,
}

/// What became of the tasks of a batch.
#[message]
pub struct BatchReport {
    /// The batch.
    pub batch: BatchId,
    /// Whether tasks are still waiting or running.
    pub running: bool,
    /// The tasks that ended since the last report, and those that were refused.
    pub tasks: Vec<TaskReport>,
    /// The load of the agent.
    pub load: Load,
}

/// What became of one task.
#[message]
pub struct TaskReport {
    /// The position of the task in the job.
    pub task: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// The outcome of one task at an agent.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task ran and has a result.
    Done {
        /// The result.
        result: Value,
        /// The run time in microseconds.
        run_us: u64,
    },
    /// The task did not start and will not start.
    NotStarted(Refusal),
    /// The task started and failed, or its fate is not known.
    Failed(Refusal),
}

/// Asks for free slots.
#[message]
pub struct Reserve {
    /// The home that has waiting tasks.
    pub home: AgentId,
    /// The number of slots wanted.
    pub want: u32,
    /// Milliseconds to wait for a free slot.
    pub wait_ms: u64,
}

/// Slots that are held for a home for a short time.
#[message]
pub struct Grant {
    /// The number of slots, 0 if none became free in time.
    pub slots: u32,
    /// The load of the agent.
    pub load: Load,
}

/// Drops tasks that did not start.
#[message]
pub struct Withdraw {
    /// The home.
    pub home: AgentId,
    /// The batches.
    pub batches: Vec<BatchId>,
}

/// The tasks that were dropped before they started.
#[message]
pub struct Withdrawn {
    /// The batches with the tasks that did not start and will not.
    pub dropped: Vec<(BatchId, Vec<u32>)>,
}

/// Asks what became of a batch.
#[message]
pub struct Ask {
    /// The home.
    pub home: AgentId,
    /// The batch.
    pub batch: BatchId,
    /// Whether an earlier report may be lost, so that all outcomes are wanted again.
    pub repeat: bool,
}

/// Asks for the seal of a job.
#[message]
pub struct Seal {
    /// The job.
    pub job: JobId,
    /// The agent that will hold the seal.
    pub holder: AgentId,
    /// Milliseconds for which the seal must be remembered.
    pub keep_ms: u64,
}

/// The reply to a request for a seal.
#[message]
#[serde(rename_all = "snake_case")]
pub enum SealReply {
    /// The agent did not accept the job and will not.
    Granted,
    /// The agent has the job.
    Known,
    /// The agent accepted the job or inherited its id, but no longer has its record.
    Forgotten,
    /// Another agent holds the seal.
    Held {
        /// The holder.
        holder: AgentId,
    },
}

/// The memory of a stopping agent.
#[message]
pub struct Handover {
    /// The stopping agent.
    pub from: AgentId,
    /// The ids that it accepted or sealed.
    pub memory: Vec<Keepsake>,
    /// The answers that it still kept.
    pub answers: Vec<Answer>,
}

/// One remembered id.
#[message]
pub struct Keepsake {
    /// The digest of the id.
    #[serde(with = "digest")]
    pub digest: u128,
    /// What is remembered.
    pub memory: Tombstone,
    /// Milliseconds for which it must be remembered.
    pub keep_ms: u64,
}

/// What an agent remembers of an id.
#[message]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Tombstone {
    /// The agent accepted the job.
    Accepted,
    /// The agent granted the seal.
    Sealed {
        /// The holder.
        holder: AgentId,
    },
}

/// A digest as hexadecimal text, since JSON numbers do not hold 128 bits.
mod digest {
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(
        digest: &u128,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{digest:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(de::Error::custom)
    }
}

//! Requests and responses between the processes of the dispatcher.
//!
//! Every request is sent in an [`Envelope`]. Requests to agents are addressed to an incarnation, so
//! that a new process at the same address refuses the requests to its predecessor. Deadlines are
//! sent as remaining milliseconds, because the clocks of two processes are not comparable.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fulmarpond_derive::message;
use serde_json::Value;

use crate::contract::{Answer, Event, JobId, Refusal, Status, Submission, Task};
use crate::machine::{AgentId, Load};
use crate::policy::{Patch, Values, Version};
use crate::zone::{Delta, Zone};

/// A request with the agent incarnation that it is addressed to.
#[message]
pub struct Envelope {
    /// The incarnation that the request is addressed to, or `None` if the receiver is an entry.
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
    /// Agent to entry, periodically: the state of the agent.
    Announce(Box<Announce>),
    /// Stopped agent to entry: removes the agent from the roster.
    Leave(Leave),
    /// Entry to home: a job.
    Submit(Box<Submit>),
    /// Entry to candidate: asks for the answer to a job.
    Fetch(Fetch),
    /// Entry to candidate: asks for the state of a job.
    Status(StatusRequest),
    /// Entry to candidate: asks for the events of a job.
    Events(Events),
    /// Entry to candidate: cancels a job.
    Cancel(Cancel),
    /// Home to agent: tasks to run.
    Run(Batch),
    /// Home to agent, long poll: asks for free slots for waiting tasks.
    Reserve(Reserve),
    /// Home to agent: drops tasks that have not started.
    Withdraw(Withdraw),
    /// Home to agent: asks for the outcomes of a batch.
    Ask(Ask),
    /// Home to candidate: asks for the seal of a job.
    Seal(Seal),
    /// Stopping agent to its heir: tombstones and answers.
    Handover(Handover),
}

impl Request {
    /// The JSON-RPC methods, in the order of the variants.
    pub const METHODS: [&'static str; 13] = [
        "announce", "leave", "submit", "fetch", "status", "events", "cancel", "run", "reserve",
        "withdraw", "ask", "seal", "handover",
    ];

    /// Returns the JSON-RPC method of the request.
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

/// The response to a request.
#[message]
#[serde(tag = "kind", content = "body", rename_all = "snake_case")]
pub enum Response {
    /// To [`Request::Announce`].
    Announce(Box<AnnounceReply>),
    /// To [`Request::Submit`].
    Submit(SubmitReply),
    /// To [`Request::Fetch`] and [`Request::Cancel`].
    Fetch(FetchReply),
    /// To [`Request::Status`]; `None` if the agent has no record of the job.
    Status(Option<Status>),
    /// To [`Request::Events`]; `None` if the agent has no record of the job.
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
    /// The request was refused without any effect.
    Refused(Refusal),
}

/// The state of an agent, sent periodically to each entry.
#[message]
pub struct Announce {
    /// The incarnation of the agent.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its load.
    pub load: Load,
    /// Whether it accepts no new tasks.
    pub leaving: bool,
    /// The resources that its endpoint offers to one task.
    pub limits: crate::contract::Resources,
    /// The version of its roster.
    pub roster: u64,
    /// The version of the configuration that it has applied.
    pub config: Version,
    /// The number of tasks in flight of the jobs that it is the home of.
    pub usage: Usage,
}

/// Numbers of tasks in flight, by team and by the entry that forwarded the job.
#[message]
#[derive(Default)]
pub struct Usage {
    /// Number of tasks by team and then by entry.
    pub teams: BTreeMap<String, BTreeMap<String, u64>>,
}

/// The reply of an entry to an announcement.
#[message]
pub struct AnnounceReply {
    /// The name of the entry.
    pub entry: String,
    /// The changes of the roster since the agent's version.
    pub roster: Delta,
    /// Milliseconds since the entry last confirmed its roster with the platform's service, or
    /// [`u64::MAX`] if it never did.
    pub age_ms: u64,
    /// The configuration, if the entry has a newer version than the agent.
    pub config: Option<VersionedConfig>,
    /// The last announced state of other agents, a random selection in a large fleet.
    pub peers: Vec<Peer>,
    /// Milliseconds until the agent should send its next announcement.
    pub next_ms: u64,
}

/// One version of the configuration.
#[message]
pub struct VersionedConfig {
    /// The version.
    pub version: Version,
    /// The patch that created this version.
    pub patch: Patch,
    /// All values of this version, including unchanged ones.
    pub values: Values,
}

/// The state of an agent, as last announced to an entry.
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
    /// The resources that its endpoint offers to one task.
    pub limits: crate::contract::Resources,
    /// Whether it accepts no new tasks.
    pub leaving: bool,
    /// Milliseconds since the entry received the announcement.
    pub age_ms: u64,
}

/// Reports that an agent has stopped.
#[message]
pub struct Leave {
    /// The agent that has stopped.
    pub agent: AgentId,
    /// The agent that took over its tombstones and answers, if any.
    pub heir: Option<AgentId>,
}

/// A job that an entry forwards to its home.
#[message]
pub struct Submit {
    /// The job.
    pub submission: Submission,
    /// The name of the entry that forwards it.
    pub entry: String,
    /// The roster version from which the entry chose the home.
    pub roster: u64,
    /// Whether the entry skipped a candidate of higher rank, for example because it was
    /// unreachable. The home then obtains the seals of the other candidates before it accepts the
    /// job.
    pub skipped: bool,
    /// Whether the caller waits for the answer. Otherwise the home replies once it has accepted the
    /// job.
    pub wait: bool,
    /// The refusal to reply with if the home does not know the job. A resubmission that exceeds the
    /// quota of its team still gets the answer to its earlier attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
}

/// The reply to a [`Submit`].
#[message]
#[serde(rename_all = "snake_case")]
pub enum SubmitReply {
    /// The final answer.
    Answer(Answer),
    /// The job was accepted, and the caller does not wait for the answer.
    Accepted,
    /// Another agent holds the job or its seal.
    Redirect {
        /// The agent to ask instead.
        agent: AgentId,
    },
    /// The agent did not accept the job and will not run it.
    Refused(Refusal),
}

/// Asks for the answer to a job.
#[message]
pub struct Fetch {
    /// The job.
    pub job: JobId,
    /// Milliseconds to wait for the answer, 0 to reply at once.
    pub wait_ms: u64,
}

/// The reply to a [`Fetch`] or [`Cancel`].
#[message]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// The final answer.
    Answer(Answer),
    /// The job has no answer yet.
    Pending,
    /// The agent has a tombstone of the accepted job, its own or inherited, but no record of it.
    Forgotten,
    /// Another agent holds the job or its seal.
    Redirect {
        /// The agent to ask instead.
        agent: AgentId,
    },
    /// The agent has no record of the job and knows of no other agent that may have one.
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
    /// The number of the first event to return.
    pub from: u64,
    /// Milliseconds to wait for an event, 0 to reply at once.
    pub wait_ms: u64,
}

/// The reply to an [`Events`] request.
#[message]
pub struct EventsReply {
    /// The events from the requested number on.
    pub events: Vec<Event>,
    /// The number from which to request the following events.
    pub next: u64,
    /// Whether the job has its final answer, so that no more events will follow.
    pub ended: bool,
}

/// Cancels a job.
#[message]
pub struct Cancel {
    /// The job.
    pub job: JobId,
}

/// The number of a batch, unique within the home incarnation that sends it.
#[fulmarpond_derive::value]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct BatchId(pub u64);

/// Tasks of one job that a home sends to one agent.
#[message]
pub struct Batch {
    /// The home that sends it.
    pub home: AgentId,
    /// The number of the batch.
    pub batch: BatchId,
    /// The job.
    pub job: JobId,
    /// Milliseconds until the job's deadline.
    pub remaining_ms: u64,
    /// The tasks, each with its zero-based index in the job.
    pub tasks: Vec<(u32, Task)>,
}

/// The reply to a [`Batch`] or [`Ask`]: the outcomes of the tasks of a batch.
#[message]
pub struct BatchReport {
    /// The batch.
    pub batch: BatchId,
    /// Whether tasks of the batch are still waiting or running.
    pub running: bool,
    /// The outcomes since the last report, including refusals, or all outcomes if a repetition was
    /// requested.
    pub tasks: Vec<TaskReport>,
    /// The load of the agent.
    pub load: Load,
}

/// The outcome of one task, with the index of the task.
#[message]
pub struct TaskReport {
    /// The zero-based index of the task in the job.
    pub task: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// The outcome of one task at an agent.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task ran and returned a result.
    Done {
        /// The result.
        result: Value,
        /// The run time in microseconds.
        run_us: u64,
    },
    /// The task did not start and will not start.
    NotStarted(Refusal),
    /// The task started and failed, or its outcome is unknown.
    Failed(Refusal),
}

/// Asks for free slots.
#[message]
pub struct Reserve {
    /// The home that has waiting tasks.
    pub home: AgentId,
    /// The number of requested slots. The agent treats 0 as 1.
    pub want: u32,
    /// Milliseconds to wait for a free slot.
    pub wait_ms: u64,
}

/// Slots that the agent holds for a home until the home uses them or the hold expires.
#[message]
pub struct Grant {
    /// The number of slots, 0 if none became free in time.
    pub slots: u32,
    /// The load of the agent.
    pub load: Load,
}

/// Drops tasks that have not started. A batch that the agent does not know is refused if it arrives
/// later.
#[message]
pub struct Withdraw {
    /// The home that sent the batches.
    pub home: AgentId,
    /// The batches to withdraw.
    pub batches: Vec<BatchId>,
}

/// The reply to a [`Withdraw`].
#[message]
pub struct Withdrawn {
    /// The known batches, each with the zero-based indexes of the tasks that did not start and will
    /// not start.
    pub dropped: Vec<(BatchId, Vec<u32>)>,
}

/// Asks for the outcomes of a batch. A batch that the agent does not know is refused, also if it
/// arrives later.
#[message]
pub struct Ask {
    /// The home that sent the batch.
    pub home: AgentId,
    /// The batch.
    pub batch: BatchId,
    /// Whether to report all outcomes again, because an earlier report may be lost.
    pub repeat: bool,
}

/// Asks a candidate for the seal of a job.
#[message]
pub struct Seal {
    /// The job.
    pub job: JobId,
    /// The agent that will hold the seal.
    pub holder: AgentId,
    /// Milliseconds for which the candidate must at least keep the tombstone of the seal.
    pub keep_ms: u64,
}

/// The reply to a [`Seal`] request.
#[message]
#[serde(rename_all = "snake_case")]
pub enum SealReply {
    /// The agent has not accepted the job and will not accept it.
    Granted,
    /// The agent has a record of the job, which is running or has ended.
    Known,
    /// The agent has a tombstone of the accepted job, its own or inherited, but no record of it.
    Forgotten,
    /// Another agent holds the seal.
    Held {
        /// The agent that holds the seal.
        holder: AgentId,
    },
}

/// The tombstones and answers that a stopping agent hands over to its heir.
#[message]
pub struct Handover {
    /// The stopping agent.
    pub from: AgentId,
    /// The tombstones of the ids that it accepted or sealed.
    pub memory: Vec<TombstoneRecord>,
    /// The answers that it has not discarded yet.
    pub answers: Vec<Answer>,
}

/// A tombstone with the id that it belongs to and its remaining lifetime.
#[message]
pub struct TombstoneRecord {
    /// The [digest](JobId::digest) of the id, written as 32 hexadecimal digits.
    #[serde(with = "digest")]
    pub digest: u128,
    /// The tombstone.
    pub memory: Tombstone,
    /// Milliseconds for which the tombstone must be kept.
    pub keep_ms: u64,
}

/// What an agent retains of a job id, independently of the record of the job.
#[message]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Tombstone {
    /// The agent accepted the job.
    Accepted,
    /// The agent granted the seal of the job.
    Sealed {
        /// The agent that holds the seal.
        holder: AgentId,
    },
}

/// Serializes a digest as hexadecimal text, because JSON numbers do not reliably hold 128 bits.
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

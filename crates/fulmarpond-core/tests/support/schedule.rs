//! Generators of schedules: timed actions of callers and operators, and faults.

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The maximum number of agents. Agents use the process slots `0..AGENTS`.
pub const AGENTS: usize = 5;
/// The number of entries. They use the process slots after those of the agents.
pub const ENTRIES: usize = 2;
/// The number of jobs that callers can submit.
pub const JOBS: usize = 3;

/// A fault of one message about a job.
#[derive(Debug, Clone, Copy)]
pub enum MessageFault {
    /// It is delayed by some milliseconds. Later messages can overtake it.
    Delayed(u64),
    /// It is lost, and the sender gets an error that leaves open whether it arrived.
    Lost,
    /// It is lost, and the sender gets an error that says that it did not arrive.
    NotSent,
    /// It arrives, and a duplicate arrives some milliseconds later.
    Duplicated(u64),
    /// It arrives after some milliseconds, and its sender has got the same error as for a loss.
    DelayedAfterError(u64),
}

/// A fault of one call to the key-value service.
#[derive(Debug, Clone, Copy)]
pub enum StoreFault {
    /// The reply is lost after the call took effect.
    ReplyLost,
    /// The request is lost, and the caller can't tell that the call had no effect.
    RequestLost,
    /// The call takes effect after some milliseconds.
    Delayed(u64),
}

/// An action of a caller or an operator, or a fault.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A caller submits a job through an entry: the first time as a first attempt, after that as
    /// an unresolved one.
    Submit { job: usize, entry: usize },
    /// A caller fetches the answer of a job and waits for it for up to `wait_ms`.
    Fetch {
        job: usize,
        entry: usize,
        wait_ms: u64,
    },
    /// A caller cancels a job.
    Cancel { job: usize, entry: usize },
    /// An operator submits a configuration patch.
    Patch { entry: usize },
    /// A process crashes.
    Kill(usize),
    /// A new incarnation starts in a slot. If the old one still runs, it is killed first.
    Start(usize),
    /// A process pauses for some milliseconds.
    Pause(usize, u64),
    /// An agent stops gracefully.
    Drain(usize),
    /// An endpoint announces that it leaves, or takes tasks again.
    Endpoint { agent: usize, is_leaving: bool },
    /// The tasks at an endpoint fail from now on, or succeed again.
    Failing { agent: usize, is_failing: bool },
    /// A network partition separates two processes for some milliseconds.
    Partition(usize, usize, u64),
    /// A network partition separates an entry from the key-value service for some milliseconds.
    StorePartition { entry: usize, ms: u64 },
    /// The key-value service is unavailable for some milliseconds.
    StoreOutage(u64),
}

/// How a task ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// It returns a result.
    Done,
    /// It fails.
    Failed,
    /// The endpoint refuses it.
    Refused,
    /// It runs until its deadline.
    Hangs,
}

/// A job that callers can submit.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// The run time in milliseconds and the end of each task.
    pub tasks: Vec<(u64, TaskEnd)>,
    /// The time from the submission of an attempt to its deadline.
    pub deadline_ms: u64,
    /// Whether callers wait for the answer.
    pub is_waiting: bool,
}

/// The input of one simulated run.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The seed of the network and the processes.
    pub seed: u64,
    /// The number of agents that run from the beginning.
    pub agents: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The initial configuration.
    pub values: &'static [(&'static str, &'static str)],
    /// The jobs that callers can submit.
    pub jobs: Vec<JobSpec>,
    /// The steps, each with its delay after the previous one in milliseconds.
    pub steps: Vec<(u64, Step)>,
    /// Faults of messages, by the number of the message among all messages about jobs.
    pub message_faults: BTreeMap<u32, MessageFault>,
    /// Faults of calls to the key-value service, by the number of the call.
    pub store_faults: BTreeMap<u32, StoreFault>,
}

impl Schedule {
    /// Returns a schedule without faults of messages or store calls, whose jobs have one short task
    /// each.
    pub fn without_call_faults(agents: usize, steps: &[(u64, Step)]) -> Self {
        let job = JobSpec {
            tasks: vec![(1, TaskEnd::Done)],
            deadline_ms: 1_000,
            is_waiting: true,
        };
        Self {
            seed: 0,
            agents,
            slots: 1,
            values: &[],
            jobs: vec![job; JOBS],
            steps: steps.to_vec(),
            message_faults: BTreeMap::new(),
            store_faults: BTreeMap::new(),
        }
    }

    /// Sets the seed.
    fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Placement weighted by messages, with a low queue limit.
const QUEUED_CONFIG: &[(&str, &str)] = &[("placement.weigh", "messages"), ("limits.queue", "3")];
/// Low limits, so that queues fill up and endpoints are ejected within a schedule.
const LOW_LIMITS_CONFIG: &[(&str, &str)] = &[
    ("placement.policy", "two_choices"),
    ("limits.waiting", "3"),
    ("limits.queue", "2"),
    ("health.failures", "2"),
];

fn message_fault() -> impl Strategy<Value = MessageFault> {
    prop_oneof![
        (1..2_000_u64).prop_map(MessageFault::Delayed),
        Just(MessageFault::Lost),
        Just(MessageFault::NotSent),
        (0..1_500_u64).prop_map(MessageFault::Duplicated),
        (1..1_500_u64).prop_map(MessageFault::DelayedAfterError),
    ]
}

fn store_fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        Just(StoreFault::ReplyLost),
        Just(StoreFault::RequestLost),
        (1..3_000_u64).prop_map(StoreFault::Delayed),
    ]
}

/// Returns the duration of a pause, partition or outage in milliseconds: mostly short, sometimes
/// longer than all deadlines.
fn fault_duration() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 10..1_500_u64, 1 => 1_500..12_000_u64]
}

fn job_spec() -> impl Strategy<Value = JobSpec> {
    let end = prop_oneof![
        12 => Just(TaskEnd::Done),
        1 => Just(TaskEnd::Failed),
        1 => Just(TaskEnd::Refused),
        1 => Just(TaskEnd::Hangs),
    ];
    let run_ms = prop_oneof![3 => 1..200_u64, 1 => 200..1_500_u64];
    (
        vec((run_ms, end), 1..5),
        200..4_000_u64,
        prop::bool::weighted(0.9),
    )
        .prop_map(|(tasks, deadline_ms, is_waiting)| JobSpec {
            tasks,
            deadline_ms,
            is_waiting,
        })
}

fn random_step() -> impl Strategy<Value = Step> {
    let entry = || 0..ENTRIES;
    let agent = || 0..AGENTS;
    let slot = || 0..AGENTS + ENTRIES;
    prop_oneof![
        12 => (0..JOBS, entry()).prop_map(|(job, entry)| Step::Submit { job, entry }),
        2 => (0..JOBS, entry(), prop_oneof![Just(0), 1..2_000_u64])
            .prop_map(|(job, entry, wait_ms)| Step::Fetch { job, entry, wait_ms }),
        2 => (0..JOBS, entry()).prop_map(|(job, entry)| Step::Cancel { job, entry }),
        1 => entry().prop_map(|entry| Step::Patch { entry }),
        2 => slot().prop_map(Step::Kill),
        3 => slot().prop_map(Step::Start),
        3 => (slot(), fault_duration()).prop_map(|(slot, ms)| Step::Pause(slot, ms)),
        1 => agent().prop_map(Step::Drain),
        1 => (agent(), any::<bool>()).prop_map(|(agent, is_leaving)| Step::Endpoint { agent, is_leaving }),
        1 => (agent(), any::<bool>()).prop_map(|(agent, is_failing)| Step::Failing { agent, is_failing }),
        3 => (slot(), slot(), fault_duration()).prop_map(|(one, other, ms)| Step::Partition(one, other, ms)),
        1 => (entry(), fault_duration()).prop_map(|(entry, ms)| Step::StorePartition { entry, ms }),
        1 => fault_duration().prop_map(Step::StoreOutage),
    ]
}

/// Returns schedules in which attempts of one job compete while partitions separate processes.
pub fn competing_attempts() -> impl Strategy<Value = Schedule> {
    let slot = || 0..AGENTS + ENTRIES;
    let entry = || 0..ENTRIES;
    let step = prop_oneof![
        6 => entry().prop_map(|entry| Step::Submit { job: 0, entry }),
        4 => (AGENTS..AGENTS + ENTRIES, 0..AGENTS, fault_duration())
            .prop_map(|(one, other, ms)| Step::Partition(one, other, ms)),
        2 => (0..AGENTS, 0..AGENTS, fault_duration()).prop_map(|(one, other, ms)| Step::Partition(one, other, ms)),
        2 => (slot(), fault_duration()).prop_map(|(slot, ms)| Step::Pause(slot, ms)),
        1 => (0..AGENTS).prop_map(Step::Kill),
        1 => (0..AGENTS).prop_map(Step::Drain),
        1 => entry().prop_map(|entry| Step::Cancel { job: 0, entry }),
    ];
    let delay_ms = prop_oneof![2 => Just(0), 3 => 1..20_u64, 2 => 20..400_u64, 1 => 400..3_000_u64];
    (
        any::<u64>(),
        2..5_usize,
        vec(job_spec(), JOBS),
        vec((delay_ms, step), 3..14),
        btree_map(0..50_u32, message_fault(), 0..14),
    )
        .prop_map(|(seed, agents, jobs, steps, message_faults)| Schedule {
            jobs,
            message_faults,
            ..Schedule::without_call_faults(agents, &steps).with_seed(seed)
        })
}

/// Returns schedules of random steps with all kinds of faults.
pub fn random_schedules() -> impl Strategy<Value = Schedule> {
    let delay_ms =
        prop_oneof![1 => Just(0), 3 => 1..60_u64, 2 => 60..1_500_u64, 1 => 1_500..6_000_u64];
    let values = prop_oneof![
        2 => Just(&[] as &[(&str, &str)]),
        1 => Just(QUEUED_CONFIG),
        1 => Just(LOW_LIMITS_CONFIG),
    ];
    (
        any::<u64>(),
        1..=AGENTS,
        1..4_u32,
        values,
        vec(job_spec(), JOBS),
        vec((delay_ms, random_step()), 1..30),
        btree_map(0..150_u32, message_fault(), 0..12),
        btree_map(0..30_u32, store_fault(), 0..3),
    )
        .prop_map(
            |(seed, agents, slots, values, jobs, steps, message_faults, store_faults)| Schedule {
                seed,
                agents,
                slots,
                values,
                jobs,
                steps,
                message_faults,
                store_faults,
            },
        )
}

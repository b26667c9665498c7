//! Generated schedules: what callers, operators and faults do, and when.

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The most agents and entries of one world. Agents have the first slots.
pub const AGENTS: usize = 5;
/// The entries.
pub const ENTRIES: usize = 2;
/// The jobs that callers may submit.
pub const JOBS: usize = 3;

/// What becomes of one message about a job.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    /// It arrives later. Later messages overtake it.
    Late(u64),
    /// It is lost, and the sender learns that it may have arrived.
    Lost,
    /// It is lost, and the sender learns that it did not arrive.
    NotSent,
    /// It arrives, and once more after some milliseconds.
    Twice(u64),
    /// It arrives later, after the sender learned that it may have arrived.
    Orphaned(u64),
}

/// What becomes of one call to the key-value service.
#[derive(Debug, Clone, Copy)]
pub enum StoreFate {
    /// The reply is lost after the call took effect.
    ReplyLost,
    /// The call is lost, and the caller does not learn that it had no effect.
    Lost,
    /// It takes effect later.
    Late(u64),
}

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A caller submits a job through an entry: first once, then as unresolved.
    Submit { job: usize, entry: usize },
    /// A caller asks for an answer.
    Fetch { job: usize, entry: usize, wait: u64 },
    /// A caller cancels a job.
    Cancel { job: usize, entry: usize },
    /// An operator changes the configuration.
    Patch { entry: usize },
    /// A process ends without notice.
    Kill(usize),
    /// A new incarnation starts in a slot, in place of the old one if that still runs.
    Start(usize),
    /// A process pauses for some milliseconds.
    Freeze(usize, u64),
    /// An agent stops gracefully.
    Drain(usize),
    /// An endpoint announces that it leaves, or is back.
    Endpoint { agent: usize, leaves: bool },
    /// The tasks at an endpoint fail from now on, or work again.
    Failing { agent: usize, fails: bool },
    /// Two processes can't reach each other for some milliseconds.
    Split(usize, usize, u64),
    /// An entry can't reach the key-value service for some milliseconds.
    CutOff { entry: usize, ms: u64 },
    /// The key-value service is out for some milliseconds.
    Outage(u64),
}

/// The end of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It has a result.
    Done,
    /// It fails.
    Failed,
    /// The endpoint refuses it.
    Refused,
    /// It never ends.
    Never,
}

/// A job that callers may submit.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// The run time in milliseconds and the end of each task.
    pub tasks: Vec<(u64, End)>,
    /// The time that each attempt has, in milliseconds.
    pub deadline: u64,
    /// Whether callers wait for the answer.
    pub wait: bool,
}

/// Everything that happens in one run.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The seed of all random choices of the processes.
    pub seed: u64,
    /// The agents that run from the beginning.
    pub agents: usize,
    /// The slots of each endpoint.
    pub slots: u32,
    /// The configuration from the beginning.
    pub values: &'static [(&'static str, &'static str)],
    /// The jobs.
    pub jobs: Vec<JobSpec>,
    /// What happens, each with the milliseconds since the step before.
    pub steps: Vec<(u64, Step)>,
    /// The fates of messages about jobs, by their position among them.
    pub fates: BTreeMap<u32, Fate>,
    /// The fates of calls to the key-value service, by their position among them.
    pub store: BTreeMap<u32, StoreFate>,
}

impl Schedule {
    /// Returns a schedule without faults, of jobs with one short task.
    pub fn calm(agents: usize, steps: &[(u64, Step)]) -> Self {
        let job = JobSpec {
            tasks: vec![(1, End::Done)],
            deadline: 1_000,
            wait: true,
        };
        Self {
            seed: 0,
            agents,
            slots: 1,
            values: &[],
            jobs: vec![job; JOBS],
            steps: steps.to_vec(),
            fates: BTreeMap::new(),
            store: BTreeMap::new(),
        }
    }

    /// Sets the seed.
    fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

const QUEUES: &[(&str, &str)] = &[("placement.weigh", "messages"), ("limits.queue", "3")];
const SMALL: &[(&str, &str)] = &[
    ("placement.policy", "two_choices"),
    ("limits.waiting", "3"),
    ("limits.queue", "2"),
    ("health.failures", "2"),
];

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        (1..2_000_u64).prop_map(Fate::Late),
        Just(Fate::Lost),
        Just(Fate::NotSent),
        (0..1_500_u64).prop_map(Fate::Twice),
        (1..1_500_u64).prop_map(Fate::Orphaned),
    ]
}

fn store_fate() -> impl Strategy<Value = StoreFate> {
    prop_oneof![
        Just(StoreFate::ReplyLost),
        Just(StoreFate::Lost),
        (1..3_000_u64).prop_map(StoreFate::Late),
    ]
}

/// A pause or cut: mostly short, at times longer than all deadlines.
fn span() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 10..1_500_u64, 1 => 1_500..12_000_u64]
}

fn job() -> impl Strategy<Value = JobSpec> {
    let end = prop_oneof![
        12 => Just(End::Done),
        1 => Just(End::Failed),
        1 => Just(End::Refused),
        1 => Just(End::Never),
    ];
    let run = prop_oneof![3 => 1..200_u64, 1 => 200..1_500_u64];
    (
        vec((run, end), 1..5),
        200..4_000_u64,
        prop::bool::weighted(0.9),
    )
        .prop_map(|(tasks, deadline, wait)| JobSpec {
            tasks,
            deadline,
            wait,
        })
}

fn step() -> impl Strategy<Value = Step> {
    let entry = || 0..ENTRIES;
    let agent = || 0..AGENTS;
    let slot = || 0..AGENTS + ENTRIES;
    prop_oneof![
        12 => (0..JOBS, entry()).prop_map(|(job, entry)| Step::Submit { job, entry }),
        2 => (0..JOBS, entry(), prop_oneof![Just(0), 1..2_000_u64])
            .prop_map(|(job, entry, wait)| Step::Fetch { job, entry, wait }),
        2 => (0..JOBS, entry()).prop_map(|(job, entry)| Step::Cancel { job, entry }),
        1 => entry().prop_map(|entry| Step::Patch { entry }),
        2 => slot().prop_map(Step::Kill),
        3 => slot().prop_map(Step::Start),
        3 => (slot(), span()).prop_map(|(slot, ms)| Step::Freeze(slot, ms)),
        1 => agent().prop_map(Step::Drain),
        1 => (agent(), any::<bool>()).prop_map(|(agent, leaves)| Step::Endpoint { agent, leaves }),
        1 => (agent(), any::<bool>()).prop_map(|(agent, fails)| Step::Failing { agent, fails }),
        3 => (slot(), slot(), span()).prop_map(|(one, other, ms)| Step::Split(one, other, ms)),
        1 => (entry(), span()).prop_map(|(entry, ms)| Step::CutOff { entry, ms }),
        1 => span().prop_map(Step::Outage),
    ]
}

/// Returns schedules of competing attempts for one job while some processes can't reach others.
pub fn races() -> impl Strategy<Value = Schedule> {
    let slot = || 0..AGENTS + ENTRIES;
    let entry = || 0..ENTRIES;
    let step = prop_oneof![
        6 => entry().prop_map(|entry| Step::Submit { job: 0, entry }),
        4 => (AGENTS..AGENTS + ENTRIES, 0..AGENTS, span())
            .prop_map(|(one, other, ms)| Step::Split(one, other, ms)),
        2 => (0..AGENTS, 0..AGENTS, span()).prop_map(|(one, other, ms)| Step::Split(one, other, ms)),
        2 => (slot(), span()).prop_map(|(slot, ms)| Step::Freeze(slot, ms)),
        1 => (0..AGENTS).prop_map(Step::Kill),
        1 => (0..AGENTS).prop_map(Step::Drain),
        1 => entry().prop_map(|entry| Step::Cancel { job: 0, entry }),
    ];
    let delay = prop_oneof![2 => Just(0), 3 => 1..20_u64, 2 => 20..400_u64, 1 => 400..3_000_u64];
    (
        any::<u64>(),
        2..5_usize,
        vec(job(), JOBS),
        vec((delay, step), 3..14),
        btree_map(0..50_u32, fate(), 0..14),
    )
        .prop_map(|(seed, agents, jobs, steps, fates)| Schedule {
            jobs,
            fates,
            ..Schedule::calm(agents, &steps).seed(seed)
        })
}

/// Returns schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let delay =
        prop_oneof![1 => Just(0), 3 => 1..60_u64, 2 => 60..1_500_u64, 1 => 1_500..6_000_u64];
    let values = prop_oneof![
        2 => Just(&[] as &[(&str, &str)]),
        1 => Just(QUEUES),
        1 => Just(SMALL),
    ];
    (
        any::<u64>(),
        1..=AGENTS,
        1..4_u32,
        values,
        vec(job(), JOBS),
        vec((delay, step()), 1..30),
        btree_map(0..150_u32, fate(), 0..12),
        btree_map(0..30_u32, store_fate(), 0..3),
    )
        .prop_map(
            |(seed, agents, slots, values, jobs, steps, fates, store)| Schedule {
                seed,
                agents,
                slots,
                values,
                jobs,
                steps,
                fates,
                store,
            },
        )
}

//! Durable jobs under random faults of the store, the entries, the agents and the endpoints.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use proptest::prelude::*;
use support::{
    Demand, EndpointFault, Fault, Regression, Simulation, StoreFault, proptest_config,
    with_trace_log,
};

const SHORT_JOB: Demand = Demand {
    tasks: 3,
    ..Demand::SHORT_TASK
};

const SMALL_JOB: Demand = Demand {
    route: 1,
    cpu: 500,
    ..Demand::SHORT_TASK
};

const LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 600,
    ..Demand::SHORT_TASK
};

/// Runs longer than a cancellation takes to stop it.
const VERY_LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 6_000,
    ..Demand::SHORT_TASK
};

/// How long jobs are submitted and faults occur, in milliseconds.
const TRAFFIC_MS: u64 = 6_000;

/// How long after that all accepted jobs have ended, in milliseconds: an announcement of 6 s
/// expires, the jobs are taken over, and each runs twice.
const SETTLE_MS: u64 = 24_000;

fn any_store_fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        any::<bool>().prop_map(|leases_expire| StoreFault::Down { leases_expire }),
        (50..300_u64).prop_map(StoreFault::Slow),
        (10..60_u32).prop_map(StoreFault::Lost),
        (10..60_u32).prop_map(StoreFault::Late),
        Just(StoreFault::Refusing),
    ]
}

fn any_endpoint_fault() -> impl Strategy<Value = EndpointFault> {
    prop_oneof![
        Just(EndpointFault::Hang),
        Just(EndpointFault::Fail),
        (5..40_u32).prop_map(EndpointFault::DelayedCalls),
        (5..40_u32).prop_map(EndpointFault::LostReplies),
        (20..100_u32).prop_map(EndpointFault::Reset),
        Just(EndpointFault::Silent),
        Just(EndpointFault::Crashed),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (any_store_fault(), 300..5_000_u64)
            .prop_map(|(fault, ms)| Fault::Store(fault, ms)),
        2 => (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreUnreachable(entry, ms, revoke)),
        1 => Just(Fault::CompactStore),
        2 => (0..3_usize).prop_map(Fault::KillEntry),
        1 => (0..3_usize).prop_map(Fault::PowerOffEntry),
        2 => (0..3_usize, 50..9_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        1 => (0..4_usize).prop_map(Fault::KillAgent),
        1 => (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        2 => (0..4_usize, 0..3_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        1 => (0..4_usize, 0..3_usize).prop_map(|(agent, entry)| Fault::SilenceLinks(agent, entry)),
        2 => (0..4_usize, any_endpoint_fault(), 300..4_000_u64)
            .prop_map(|(agent, fault, ms)| Fault::Endpoint(agent, fault, ms)),
        1 => (0..4_usize, prop_oneof![Just(0), 1..1_500_u64], 0..2_000_u64)
            .prop_map(|(agent, down, late)| Fault::RestartEndpoint(agent, down, late)),
    ]
}

fn submit_traffic(sim: &mut Simulation) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for at in (0..TRAFFIC_MS).step_by(110) {
        jobs.push(sim.submit_at(at, SHORT_JOB));
    }
    for at in (0..TRAFFIC_MS).step_by(400) {
        jobs.push(sim.submit_at(at, LONG_JOB));
    }
    jobs
}

fn play_schedule(seed: u64, faults: &[(u64, Fault)]) -> Simulation {
    with_trace_log(|| run_schedule(seed, faults))
}

fn run_schedule(seed: u64, faults: &[(u64, Fault)]) -> Simulation {
    let mut sim = Simulation::with_store(seed);
    submit_traffic(&mut sim);
    for &(at, fault) in faults {
        sim.fault_at(at, fault);
    }
    sim.run_ms(TRAFFIC_MS + SETTLE_MS);
    sim.history.check_refusals();
    sim.check_durable_jobs();
    sim
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against a durable job that is lost or stored with a wrong state, and against a task
    /// with two concurrent runs or a run after its end was recorded, when writes are lost or late
    /// and entries, agents and endpoints fail at random times.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 1..6),
    ) {
        let sim = play_schedule(seed, &faults);
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

/// Guards against a job that continues after its cancellation was acknowledged: the request reaches
/// an entry that has not received the job from the store yet and takes it for unknown.
#[test]
fn cancellation_through_any_entry_reaches_the_job() {
    for entry in 0..3 {
        let mut sim = Simulation::with_store(1);
        let jobs: Vec<JobId> = (0..10)
            .map(|n| sim.submit_at(n * 200, VERY_LONG_JOB))
            .collect();
        for (n, job) in jobs.iter().enumerate() {
            // An entry receives the changes of other entries within 120 ms.
            sim.cancel_at_ms(n as u64 * 200 + 60, job, entry);
        }
        sim.run_ms(10_000);
        sim.check_durable_jobs();
        assert_eq!(sim.history.violations, Vec::<String>::new());
        assert_eq!(sim.history.cancel_acked_at.len(), jobs.len());
    }
}

proptest! {
    #![proptest_config(proptest_config(16))]

    /// Guards against a job that continues after its cancellation was acknowledged, when the owner,
    /// the store or an agent fails before the cancellation takes effect.
    #[test]
    fn cancelled_jobs_end_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 1..6),
    ) {
        let sim = play_cancellations(seed, &faults);
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

/// Plays a schedule in which long jobs are cancelled through all entries.
fn play_cancellations(seed: u64, faults: &[(u64, Fault)]) -> Simulation {
    with_trace_log(|| {
        let mut sim = Simulation::with_store(seed);
        let long_jobs = (0..TRAFFIC_MS).step_by(500);
        let long_jobs: Vec<JobId> = long_jobs
            .map(|at| sim.submit_at(at, VERY_LONG_JOB))
            .collect();
        submit_traffic(&mut sim);
        for (n, job) in long_jobs.iter().enumerate() {
            let delay = [30, 60, 400, 2_500][n % 4];
            sim.cancel_at_ms(sim.ms_until_first_attempt(job) + delay, job, n % 3);
        }
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(TRAFFIC_MS + SETTLE_MS);
        sim.check_durable_jobs();
        sim
    })
}

/// Guards against regressions of a failure that random schedules with cancellations found.
#[test]
fn cancelled_jobs_end_in_regression_schedules() {
    let cases = [Regression {
        cause: "a cancellation gave the first write of its job the expected revision of another state",
        seed: 14_442_333_707_024_354_729,
        faults: &[
            (2_007, Fault::Endpoint(2, EndpointFault::Hang, 476)),
            (5_155, Fault::StoreUnreachable(2, 2_127, false)),
            (2_573, Fault::KillEntry(1)),
        ],
    }];
    for case in cases {
        let sim = play_cancellations(case.seed, case.faults);
        assert_eq!(
            sim.history.violations,
            Vec::<String>::new(),
            "{}",
            case.cause
        );
    }
}

/// Guards against a simulation that accepts no jobs: every guarantee holds then, and the other
/// tests check nothing.
#[test]
fn all_jobs_are_accepted_and_end_without_faults() {
    let mut sim = Simulation::with_store(1);
    let jobs = submit_traffic(&mut sim);
    sim.run_ms(TRAFFIC_MS + SETTLE_MS);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
    assert_eq!(sim.history.accepted.len(), jobs.len());
}

/// Guards against regressions of failures that random schedules found; each case names its cause.
#[test]
fn guarantees_hold_in_regression_schedules() {
    let cases = [
        Regression {
            cause: "a task was placed again while an agent still held its unacknowledged end",
            seed: 1_634_228_432_693_196_346,
            faults: &[
                (3_295, Fault::SilenceLinks(1, 2)),
                (1_385, Fault::PauseAgent(0, 1_493)),
            ],
        },
        Regression {
            cause: "a first write whose reply was lost was found committed, and its job never ran",
            seed: 1_069_083_221_099_843_393,
            faults: &[(0, Fault::Store(StoreFault::Lost(10), 517))],
        },
        Regression {
            cause: "a first write without a reply was abandoned when its retry was refused",
            seed: 5_183_486_641_878_567_240,
            faults: &[
                (2_017, Fault::Store(StoreFault::Refusing, 540)),
                (772, Fault::Store(StoreFault::Lost(23), 770)),
            ],
        },
        Regression {
            cause: "the owner ignored a merged end while it waited for lost runs to expire",
            seed: 6_218_650_198_685_373_493,
            faults: &[
                (
                    2_339,
                    Fault::Store(
                        StoreFault::Down {
                            leases_expire: false,
                        },
                        300,
                    ),
                ),
                (2_060, Fault::BlockLinks(1, 1, 1_135)),
            ],
        },
        Regression {
            cause: "a delayed first write was committed after its job was refused",
            seed: 5_475_467_748_200_388_189,
            faults: &[
                (4_169, Fault::PauseEntry(2, 1_160)),
                (1_746, Fault::Store(StoreFault::Late(32), 2_928)),
            ],
        },
    ];
    for case in cases {
        let sim = play_schedule(case.seed, case.faults);
        assert_eq!(
            sim.history.violations,
            Vec::<String>::new(),
            "{}",
            case.cause
        );
    }
}

/// Guards against callers that wait until their deadline while the store is slow: with one change
/// in flight at a time, an entry accepted only about 25 jobs per second.
#[test]
fn jobs_are_accepted_in_time_while_the_store_is_slow() {
    let mut sim = Simulation::with_store(1);
    sim.fault_at(0, Fault::Store(StoreFault::Slow(240), 60_000));
    // 100 jobs per second at three entries.
    let jobs: Vec<JobId> = (0..600)
        .map(|n| sim.submit_at(500 + n * 10, SMALL_JOB))
        .collect();
    sim.run_ms(12_000);
    let accepted = jobs.iter().filter(|job| {
        let reply = sim.reply(job);
        reply.is_some_and(|reply| reply.answer == Answer::Accepted && reply.age_ms <= 1_500)
    });
    assert!(accepted.count() >= 590);
}

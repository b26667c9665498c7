//! Jobs that are kept, under random faults of the store, the entries, the agents and the endpoints.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use proptest::prelude::*;
use support::{Demand, Fault, Regression, StoreTrouble, Trouble, World, schedules, traced};

const PLATE: Demand = Demand {
    tasks: 3,
    ..Demand::PLAIN
};

const SMALL: Demand = Demand {
    route: 1,
    cpu: 500,
    ..Demand::PLAIN
};

const STOCK: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 600,
    ..Demand::PLAIN
};

/// Is still at work when its cancelling has to be in force.
const BULK: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 6_000,
    ..Demand::PLAIN
};

/// How long traffic goes on, in milliseconds.
const LENGTH_MS: u64 = 6_000;

/// By when all accepted jobs have ended after that: an announcement of 6 s lapses, the jobs are
/// taken over, and run twice over.
const FINISH_MS: u64 = 24_000;

fn store_trouble() -> impl Strategy<Value = StoreTrouble> {
    prop_oneof![
        any::<bool>().prop_map(|lapse| StoreTrouble::Down { lapse }),
        (50..300_u64).prop_map(StoreTrouble::Slow),
        (10..60_u32).prop_map(StoreTrouble::Lost),
        (10..60_u32).prop_map(StoreTrouble::Late),
        Just(StoreTrouble::Refusing),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        Just(Trouble::Hang),
        Just(Trouble::Fail),
        (5..40_u32).prop_map(Trouble::LateOrders),
        (5..40_u32).prop_map(Trouble::LostReplies),
        (20..100_u32).prop_map(Trouble::Reset),
        Just(Trouble::Silent),
        Just(Trouble::Gone),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (store_trouble(), 300..5_000_u64)
            .prop_map(|(trouble, ms)| Fault::Store(trouble, ms)),
        2 => (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreCut(entry, ms, revoke)),
        1 => Just(Fault::Compact),
        2 => (0..3_usize).prop_map(Fault::KillEntry),
        1 => (0..3_usize).prop_map(Fault::PowerOffEntry),
        2 => (0..3_usize, 50..9_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        1 => (0..4_usize).prop_map(Fault::KillAgent),
        1 => (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        2 => (0..4_usize, 0..3_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::Cut(agent, entry, ms)),
        1 => (0..4_usize, 0..3_usize).prop_map(|(agent, entry)| Fault::Silence(agent, entry)),
        2 => (0..4_usize, trouble(), 300..4_000_u64)
            .prop_map(|(agent, trouble, ms)| Fault::Endpoint(agent, trouble, ms)),
    ]
}

fn submit(world: &mut World) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for at in (0..LENGTH_MS).step_by(110) {
        jobs.push(world.submit_at(at, PLATE));
    }
    for at in (0..LENGTH_MS).step_by(400) {
        jobs.push(world.submit_at(at, STOCK));
    }
    jobs
}

fn play(seed: u64, faults: &[(u64, Fault)]) -> World {
    traced(|| schedule(seed, faults))
}

fn schedule(seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::with_store(seed);
    submit(&mut world);
    for &(at, fault) in faults {
        world.fault_at(at, fault);
    }
    world.run_ms(LENGTH_MS + FINISH_MS);
    world.history.check_refusals();
    world.check_kept();
    world
}

proptest! {
    #![proptest_config(schedules(24))]

    /// Guards against a kept job that is lost, shown with a wrong state, or whose task runs twice
    /// or again after its end was noted.
    #[test]
    fn promises_hold(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..LENGTH_MS, fault()), 1..6),
    ) {
        let world = play(seed, &faults);
        prop_assert!(world.history.broken.is_empty(), "{:?}", world.history.broken);
    }
}

/// Guards against a cancelling that is acknowledged by an entry which has not heard of the job yet,
/// while the job runs on.
#[test]
fn cancelling_reaches_the_job_through_any_entry() {
    for entry in 0..3 {
        let mut world = World::with_store(1);
        let jobs: Vec<JobId> = (0..10).map(|n| world.submit_at(n * 200, BULK)).collect();
        for (n, job) in jobs.iter().enumerate() {
            // Changes of other entries are seen within 120 ms.
            world.cancel_later(n as u64 * 200 + 60, job, entry);
        }
        world.run_ms(10_000);
        world.check_kept();
        assert_eq!(world.history.broken, Vec::<String>::new());
        assert_eq!(world.history.cancels.len(), jobs.len());
    }
}

proptest! {
    #![proptest_config(schedules(16))]

    /// Guards against a job that runs on after its cancelling was acknowledged.
    #[test]
    fn cancelled_jobs_end(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..LENGTH_MS, fault()), 1..6),
    ) {
        let world = play_cancels(seed, &faults);
        prop_assert!(world.history.broken.is_empty(), "{:?}", world.history.broken);
    }
}

/// Plays a schedule in which jobs that take long are cancelled through all entries.
fn play_cancels(seed: u64, faults: &[(u64, Fault)]) -> World {
    traced(|| {
        let mut world = World::with_store(seed);
        let bulk = (0..LENGTH_MS).step_by(500);
        let bulk: Vec<JobId> = bulk.map(|at| world.submit_at(at, BULK)).collect();
        submit(&mut world);
        for (n, job) in bulk.iter().enumerate() {
            let delay = [30, 60, 400, 2_500][n % 4];
            world.cancel_later(world.first_ms(job) + delay, job, n % 3);
        }
        for &(at, fault) in faults {
            world.fault_at(at, fault);
        }
        world.run_ms(LENGTH_MS + FINISH_MS);
        world.check_kept();
        world
    })
}

/// Guards against the return of faults that the schedules of cancellings have found.
#[test]
fn schedules_of_cancellings_that_once_failed_hold() {
    let cases = [Regression {
        cause: "a cancelling gave the first write of its job the condition of another state",
        seed: 14_442_333_707_024_354_729,
        faults: &[
            (2_007, Fault::Endpoint(2, Trouble::Hang, 476)),
            (5_155, Fault::StoreCut(2, 2_127, false)),
            (2_573, Fault::KillEntry(1)),
        ],
    }];
    for case in cases {
        let world = play_cancels(case.seed, case.faults);
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.cause);
    }
}

/// Guards against a stand-in that accepts nothing, under which every promise holds.
#[test]
fn calm_schedule_completes_all_jobs() {
    let mut world = World::with_store(1);
    let jobs = submit(&mut world);
    world.run_ms(LENGTH_MS + FINISH_MS);
    world.check_kept();
    assert_eq!(world.history.broken, Vec::<String>::new());
    assert_eq!(world.history.accepted.len(), jobs.len());
}

/// Guards against the return of faults that the schedules have found.
#[test]
fn schedules_that_once_failed_hold() {
    let cases = [
        Regression {
            cause: "a task was placed again although its end was held at an agent",
            seed: 1_634_228_432_693_196_346,
            faults: &[
                (3_295, Fault::Silence(1, 2)),
                (1_385, Fault::PauseAgent(0, 1_493)),
            ],
        },
        Regression {
            cause: "a first write whose answer was lost was found made, and its job never ran",
            seed: 1_069_083_221_099_843_393,
            faults: &[(0, Fault::Store(StoreTrouble::Lost(10), 517))],
        },
        Regression {
            cause: "a first write without an answer was given up when the next attempt was refused",
            seed: 5_183_486_641_878_567_240,
            faults: &[
                (2_017, Fault::Store(StoreTrouble::Refusing, 540)),
                (772, Fault::Store(StoreTrouble::Lost(23), 770)),
            ],
        },
        Regression {
            cause: "a merged end was passed over while the owner waited for lost runs",
            seed: 6_218_650_198_685_373_493,
            faults: &[
                (
                    2_339,
                    Fault::Store(StoreTrouble::Down { lapse: false }, 300),
                ),
                (2_060, Fault::Cut(1, 1, 1_135)),
            ],
        },
        Regression {
            cause: "a late first write of a job that was refused",
            seed: 5_475_467_748_200_388_189,
            faults: &[
                (4_169, Fault::PauseEntry(2, 1_160)),
                (1_746, Fault::Store(StoreTrouble::Late(32), 2_928)),
            ],
        },
    ];
    for case in cases {
        let world = play(case.seed, case.faults);
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.cause);
    }
}

/// Guards against callers that wait for their deadline when the store takes long for each answer:
/// one change at a time limited an entry to some 25 jobs a second.
#[test]
fn slow_store_accepts_what_its_rate_allows() {
    let mut world = World::with_store(1);
    world.fault_at(0, Fault::Store(StoreTrouble::Slow(240), 60_000));
    // 100 jobs a second at three entries.
    let jobs: Vec<JobId> = (0..600)
        .map(|n| world.submit_at(500 + n * 10, SMALL))
        .collect();
    world.run_ms(12_000);
    let accepted = jobs.iter().filter(|job| {
        let reply = world.reply(job);
        reply.is_some_and(|reply| reply.answer == Answer::Accepted && reply.age_ms <= 1_500)
    });
    assert!(accepted.count() >= 590);
}

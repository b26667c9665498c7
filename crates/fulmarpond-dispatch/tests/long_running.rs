//! Tasks that run until their job is cancelled.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::JobStatus;
use proptest::prelude::*;
use support::{Demand, Fault, Regression, StoreTrouble, Trouble, World, schedules, traced};

/// Takes half of the room of the stand-in.
const SERVER: Demand = Demand {
    tasks: 4,
    cpu: 4_000,
    run_ms: 300,
    long_running: true,
    ..Demand::PLAIN
};

const SHORT: Demand = Demand {
    route: 1,
    tasks: 2,
    ..Demand::PLAIN
};

/// How long faults happen, in milliseconds.
const LENGTH_MS: u64 = 6_000;

/// By when all tasks run again after that, in milliseconds: an announcement of 6 s lapses, and the
/// job is taken over.
const FINISH_MS: u64 = 24_000;

fn with_server(seed: u64) -> (World, JobId) {
    let mut world = World::with_store(seed);
    let job = world.submit_at(0, SERVER);
    world.run_ms(2_000);
    assert_eq!(world.history.running(&job, SERVER.tasks), 4);
    (world, job)
}

/// Guards against a job that is shown as ended, or that goes on after its cancelling.
#[test]
fn job_runs_until_it_is_cancelled() {
    let (mut world, job) = with_server(1);
    world.run_ms(20_000);
    assert_eq!(world.status(&job), JobStatus::Running);
    assert_eq!(world.history.starts_of(&job), 4);
    world.cancel(&job);
    world.run_ms(500);
    assert_eq!(world.status(&job), JobStatus::Cancelled);
    assert_eq!(world.history.running(&job, SERVER.tasks), 0);
    world.run_ms(5_000);
    assert_eq!(world.history.starts_of(&job), 4);
    world.check_kept();
    assert_eq!(world.history.broken, Vec::<String>::new());
}

/// Guards against short tasks that wait behind tasks which never end, and against estimates that
/// the latter spoil.
#[test]
fn short_jobs_run_beside_long_running_tasks() {
    let (mut world, _) = with_server(1);
    let jobs: Vec<JobId> = (0..100).map(|n| world.submit_at(n * 60, SHORT)).collect();
    world.run_ms(10_000);
    world.check_kept();
    assert_eq!(world.history.broken, Vec::<String>::new());
    for job in jobs {
        assert_eq!(world.status(&job), JobStatus::Completed);
    }
}

struct Loss {
    name: &'static str,
    fault: Fault,
    /// Within this time all tasks run again, in milliseconds.
    within: u64,
}

/// Guards against a task that stays away after its end, or is given up after some failures. The
/// platform asks for a task that has room to run again within 9 s of its last run.
#[test]
fn tasks_are_back_after_each_loss() {
    let cases = [
        Loss {
            name: "runs failed",
            fault: Fault::FailRuns(1),
            within: 200,
        },
        Loss {
            name: "runs fail at each start",
            fault: Fault::Endpoint(1, Trouble::Fail, 3_000),
            within: 9_000,
        },
        Loss {
            name: "endpoint gone",
            fault: Fault::Endpoint(1, Trouble::Gone, 3_000),
            within: 9_000,
        },
        Loss {
            name: "agent killed",
            fault: Fault::KillAgent(1),
            within: 9_000,
        },
        Loss {
            name: "agent paused",
            fault: Fault::PauseAgent(1, 2_000),
            within: 9_000,
        },
        Loss {
            name: "entry killed",
            fault: Fault::KillEntry(0),
            within: 9_000,
        },
        Loss {
            name: "entry without power",
            fault: Fault::PowerOffEntry(1),
            within: 9_000,
        },
    ];
    for case in &cases {
        for seed in 1..5 {
            let (mut world, job) = with_server(seed);
            world.fault_at(0, case.fault);
            world.run_ms(case.within);
            let running = world.history.running(&job, SERVER.tasks);
            assert_eq!(running, 4, "{} with seed {seed}", case.name);
            world.run_ms(20_000);
            world.check_kept();
            assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.name);
        }
    }
}

struct Absence {
    name: &'static str,
    fault: fn(usize) -> Fault,
}

/// Guards against tasks that are stopped because their entry is away for a moment.
#[test]
fn tasks_go_on_while_their_entry_is_away() {
    let cases = [
        Absence {
            name: "killed",
            fault: Fault::KillEntry,
        },
        Absence {
            name: "without power",
            fault: Fault::PowerOffEntry,
        },
        Absence {
            name: "paused",
            fault: |entry| Fault::PauseEntry(entry, 2_000),
        },
        Absence {
            name: "replaced",
            fault: Fault::RollEntry,
        },
        Absence {
            name: "link silent",
            fault: |entry| Fault::Silence(1, entry),
        },
        Absence {
            name: "link cut",
            fault: |entry| Fault::Cut(2, entry, 1_000),
        },
    ];
    for Absence { name, fault } in cases {
        for seed in 1..4 {
            let (mut world, job) = with_server(seed);
            // One of them owns the job.
            for entry in 0..3_u64 {
                world.fault_at(entry * 8_000, fault(entry as usize));
            }
            world.run_ms(30_000);
            assert_eq!(world.history.starts_of(&job), 4, "{name} with seed {seed}");
            world.check_kept();
            assert_eq!(world.history.broken, Vec::<String>::new(), "{name}");
        }
    }
}

/// Has two tasks at each endpoint, and room for two more.
const FLEET: Demand = Demand {
    tasks: 8,
    cpu: 2_000,
    may_miss: Some(1),
    ..SERVER
};

/// Guards against an agent that stops all of its tasks at once when it is replaced: only so many of
/// a job may be away at a time.
#[test]
fn tasks_of_a_stopping_agent_are_moved_one_by_one() {
    for seed in 1..4 {
        let mut world = World::with_store(seed);
        let job = world.submit_at(0, FLEET);
        for agent in 0..4_u64 {
            world.fault_at(2_000 + agent * 8_000, Fault::RollAgent(agent as usize));
        }
        for step in 0..70 {
            world.run_ms(500);
            let running = world.history.running(&job, FLEET.tasks);
            assert!(step < 4 || running >= 7, "{running} tasks run, seed {seed}");
        }
        world.check_kept();
        assert_eq!(world.history.broken, Vec::<String>::new());
    }
}

/// Guards against tasks that stay at an endpoint until it has left.
#[test]
fn tasks_are_moved_away_from_an_endpoint_that_leaves() {
    let mut world = World::with_store(1);
    let job = world.submit_at(0, FLEET);
    world.run_ms(2_000);
    let there = world.endpoints[1].runs.len();
    world.fault_at(0, Fault::Drain(1));
    // The endpoint says so with its next heartbeat, and serves on for 2 s.
    world.run_ms(1_500 + 1_000);
    assert!(there > 0 && world.endpoints[1].runs.is_empty());
    assert_eq!(world.history.running(&job, FLEET.tasks), 8);
    assert_eq!(world.history.starts_of(&job), 8 + there as u32);
}

/// Guards against tasks that are stopped at an endpoint that leaves although no other has room.
#[test]
fn tasks_stay_where_they_are_without_room_elsewhere() {
    let mut world = World::with_store(1);
    let full = Demand { tasks: 16, ..FLEET };
    let job = world.submit_at(0, full);
    world.fault_at(2_000, Fault::Drain(1));
    world.run_ms(6_000);
    assert_eq!(world.history.running(&job, full.tasks), 16);
    assert_eq!(world.history.starts_of(&job), 16);
}

/// Guards against tasks that go on although their job was cancelled while nobody owned them.
#[test]
fn tasks_of_a_cancelled_job_end_without_their_entry() {
    for entry in 0..3 {
        let (mut world, job) = with_server(1);
        world.fault_at(0, Fault::PowerOffEntry(entry));
        world.run_ms(300);
        world.cancel_at(&job, (entry + 1) % 3);
        // The bound of the platform is 3 s.
        world.run_ms(3_000);
        assert_eq!(world.history.running(&job, SERVER.tasks), 0);
    }
}

/// Guards against a task that fails at each start and is started without a pause.
#[test]
fn task_that_fails_at_each_start_is_paced() {
    let (mut world, job) = with_server(1);
    for agent in 0..4 {
        world.fault_at(0, Fault::Endpoint(agent, Trouble::Fail, 10_000));
        world.fault_at(0, Fault::FailRuns(agent));
    }
    world.run_ms(10_000);
    // 4 first starts, and for each task at most 5 in the first 1.6 s and one in each 1.6 s after.
    let starts = world.history.starts_of(&job);
    assert!((12..=4 + 4 * 12).contains(&starts), "{starts} starts");
    world.run_ms(5_000);
    assert_eq!(world.history.running(&job, SERVER.tasks), 4);
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::KillEntry),
        (0..3_usize).prop_map(Fault::PowerOffEntry),
        (0..3_usize).prop_map(Fault::RollEntry),
        (0..3_usize, 50..8_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize).prop_map(Fault::RollAgent),
        (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..3_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::Cut(agent, entry, ms)),
        (0..4_usize, 0..3_usize).prop_map(|(agent, entry)| Fault::Silence(agent, entry)),
        (0..4_usize).prop_map(Fault::FailRuns),
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            Trouble::Gone,
            ms
        )),
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            Trouble::Fail,
            ms
        )),
        (0..4_usize, 5..40_u32, 300..3_000_u64).prop_map(|(agent, percent, ms)| Fault::Endpoint(
            agent,
            Trouble::LateOrders(percent),
            ms
        )),
        (0..4_usize, 5..40_u32, 300..3_000_u64).prop_map(|(agent, percent, ms)| Fault::Endpoint(
            agent,
            Trouble::LostReplies(percent),
            ms
        )),
        (10..60_u32, 300..4_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreTrouble::Lost(percent), ms)),
        (300..4_000_u64).prop_map(|ms| Fault::Store(StoreTrouble::Down { lapse: true }, ms)),
        (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreCut(entry, ms, revoke)),
    ]
}

fn play(seed: u64, faults: &[(u64, Fault)]) -> Vec<String> {
    traced(|| {
        let mut world = World::with_store(seed);
        let cancelled = world.submit_at(0, SERVER);
        let long = Demand {
            tasks: 2,
            cpu: 2_000,
            ..SERVER
        };
        for at in (0..LENGTH_MS).step_by(2_000) {
            world.submit_at(at, long);
        }
        for at in (0..LENGTH_MS).step_by(300) {
            world.submit_at(at, SHORT);
        }
        for &(at, fault) in faults {
            world.fault_at(at, fault);
        }
        world.run_ms(LENGTH_MS);
        world.cancel(&cancelled);
        world.run_ms(FINISH_MS);
        world.history.check_refusals();
        world.check_kept();
        std::mem::take(&mut world.history.broken)
    })
}

proptest! {
    #![proptest_config(schedules(24))]

    /// Guards against a long-running task that runs twice at a time, stays away, or goes on after
    /// its job was cancelled, under random faults.
    #[test]
    fn promises_hold(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..LENGTH_MS, fault()), 1..5),
    ) {
        let broken = play(seed, &faults);
        prop_assert!(broken.is_empty(), "{broken:?}");
    }
}

/// Guards against the return of faults that the schedules have found.
#[test]
fn schedules_that_once_failed_hold() {
    let cases = [
        Regression {
            cause: "short tasks waited at an agent whose room long-running ones had taken",
            seed: 9_168_222_374_174_629_139,
            faults: &[(32, Fault::RollAgent(2))],
        },
        Regression {
            cause: "a job was taken over after it was cancelled",
            seed: 12_372_486_958_856_833_502,
            faults: &[
                (
                    4_448,
                    Fault::Store(StoreTrouble::Down { lapse: true }, 1_183),
                ),
                (3_881, Fault::RollEntry(1)),
            ],
        },
    ];
    for case in cases {
        let broken = play(case.seed, case.faults);
        assert_eq!(broken, Vec::<String>::new(), "{}", case.cause);
    }
}

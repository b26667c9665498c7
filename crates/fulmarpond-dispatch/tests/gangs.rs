//! Tasks that work only together.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use proptest::prelude::*;
use support::{Demand, Fault, Options, Trouble, World, schedules, traced};

/// Takes six of the eight places that the stand-in has for such tasks.
const GANG: Demand = Demand {
    tasks: 6,
    cpu: 4_000,
    run_ms: 400,
    gang: true,
    ..Demand::PLAIN
};

const SINGLE: Demand = Demand {
    tasks: 2,
    ..Demand::PLAIN
};

const LENGTH_MS: u64 = 5_000;

fn started(seed: u64, kept: bool) -> World {
    let mut world = World::new(Options {
        seed,
        kept,
        patience_ms: if kept { 4_000 } else { 30_000 },
        ..Options::default()
    });
    world.run_ms(1_000);
    world
}

fn completed(world: &World, jobs: &[JobId]) -> usize {
    let answers = jobs.iter().filter_map(|job| world.reply(job));
    answers
        .filter(|reply| reply.answer == Answer::Completed)
        .count()
}

/// Guards against members that wait for others: gangs of two entries want more room than there is,
/// beside other work.
#[test]
fn gangs_that_compete_run_one_after_the_other() {
    let mut world = started(1, true);
    for n in 0..6 {
        world.submit_at(n * 3, GANG);
    }
    for n in 0..40 {
        world.submit_at(n * 40, SINGLE);
    }
    world.run_ms(20_000);
    world.check_kept();
    assert_eq!(world.history.broken, Vec::<String>::new());
    assert_eq!(world.history.alone, 0);
}

/// Guards against a gang that no room can ever hold and that waits for its deadline.
#[test]
fn gang_that_never_fits_is_refused_at_once() {
    let mut world = started(1, false);
    let large = Demand { tasks: 9, ..GANG };
    let job = world.submit_at(0, large);
    world.run_ms(20);
    let reply = world.reply(&job).expect("an answer");
    assert!(matches!(reply.answer, Answer::NotRun { .. }), "{reply:?}");
}

struct Loss {
    name: &'static str,
    fault: Fault,
}

/// Guards against a gang that goes on without a member, or is given up with one.
#[test]
fn gang_that_loses_a_member_runs_again() {
    let cases = [
        Loss {
            name: "agent killed",
            fault: Fault::KillAgent(1),
        },
        Loss {
            name: "agent paused",
            fault: Fault::PauseAgent(1, 1_500),
        },
        Loss {
            name: "endpoint gone",
            fault: Fault::Endpoint(1, Trouble::Gone, 500),
        },
        Loss {
            name: "link silent",
            fault: Fault::Silence(1, 0),
        },
    ];
    for kept in [false, true] {
        for case in &cases {
            let mut world = started(2, kept);
            let long = Demand {
                run_ms: 1_200,
                ..GANG
            };
            let jobs = [world.submit_at(0, long), world.submit_at(1, long)];
            world.fault_at(300, case.fault);
            world.run_ms(20_000);
            if kept {
                world.check_kept();
            } else {
                assert!(completed(&world, &jobs) >= 1, "{}", case.name);
            }
            assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.name);
        }
    }
}

fn play(seed: u64, faults: &[(u64, Fault)]) -> Vec<String> {
    traced(|| {
        let mut world = started(seed, true);
        for at in (0..LENGTH_MS).step_by(700) {
            world.submit_at(at, GANG);
            world.submit_at(at + 300, SINGLE);
        }
        for &(at, fault) in faults {
            world.fault_at(at, fault);
        }
        world.run_ms(LENGTH_MS + 30_000);
        world.check_kept();
        std::mem::take(&mut world.history.broken)
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::KillEntry),
        (0..2_usize, 50..3_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 50..3_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..2_usize, 100..3_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::Cut(agent, entry, ms)),
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
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            Trouble::Gone,
            ms
        )),
    ]
}

proptest! {
    #![proptest_config(schedules(24))]

    /// Guards against gangs whose members run twice at a time, or that never end, under random
    /// faults.
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
    let cases: [(u64, &[(u64, Fault)]); 1] = [(
        11_536_336_220_224_221_253,
        &[
            (2_180, Fault::Cut(0, 0, 2_307)),
            (2_104, Fault::PauseEntry(1, 2_767)),
            (4_720, Fault::KillAgent(0)),
            (1_470, Fault::Endpoint(1, Trouble::LostReplies(5), 628)),
        ],
    )];
    for (seed, faults) in cases {
        assert_eq!(play(seed, faults), Vec::<String>::new());
    }
}

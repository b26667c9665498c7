//! Random schedules of faults against the promises to callers.

mod support;

use proptest::prelude::*;
use support::{Demand, Fault, Options, Trouble, World, schedules};

const PLATE: Demand = Demand {
    tasks: 4,
    ..Demand::PLAIN
};

const STOCK: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 600,
    ..Demand::PLAIN
};

/// How long traffic goes on, in milliseconds.
const LENGTH_MS: u64 = 9_000;

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        Just(Trouble::Hang),
        Just(Trouble::Fail),
        (2..8_u32).prop_map(Trouble::Slow),
        (5..40_u32).prop_map(Trouble::LateOrders),
        (5..40_u32).prop_map(Trouble::LostReplies),
        (20..100_u32).prop_map(Trouble::Reset),
        Just(Trouble::Silent),
        Just(Trouble::Gone),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::KillEntry),
        (0..2_usize).prop_map(Fault::PowerOffEntry),
        (0..2_usize, 50..4_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..2_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::Cut(agent, entry, ms)),
        (0..4_usize, 0..2_usize).prop_map(|(agent, entry)| Fault::Silence(agent, entry)),
        (0..4_usize, trouble(), 300..4_000_u64)
            .prop_map(|(agent, trouble, ms)| Fault::Endpoint(agent, trouble, ms)),
        (0..4_usize).prop_map(Fault::Drain),
    ]
}

fn play(seed: u64, faults: &[(u64, Fault)]) -> World {
    let mut world = World::new(Options {
        seed,
        ..Options::default()
    });
    world.run_ms(500);
    for at in (0..LENGTH_MS).step_by(60) {
        world.submit_at(at, PLATE);
    }
    for at in (0..LENGTH_MS).step_by(350) {
        world.submit_at(at, STOCK);
    }
    for &(at, fault) in faults {
        world.fault_at(at, fault);
    }
    world.run_ms(LENGTH_MS + 8_000);
    world.history.check_refusals();
    world
}

proptest! {
    #![proptest_config(schedules(40))]

    /// Guards against two runs of one task at a time, answers without the work, untrue refusals
    /// and starts at an endpoint that leaves.
    #[test]
    fn promises_hold(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..LENGTH_MS, fault()), 1..7),
    ) {
        let world = play(seed, &faults);
        prop_assert!(world.history.broken.is_empty(), "{:?}", world.history.broken);
    }
}

/// Guards against a stand-in that serves nothing, under which every promise holds.
#[test]
fn calm_schedule_serves_all_jobs_in_time() {
    let mut world = World::new(Options::default());
    world.run_ms(500);
    let jobs: Vec<_> = (0..100).map(|n| world.submit_at(n * 60, PLATE)).collect();
    world.run_ms(8_000);
    assert_eq!(world.history.broken, Vec::<String>::new());
    assert!(world.on_time(&jobs) > 0.99, "{}", world.on_time(&jobs));
}

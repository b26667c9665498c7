//! Changes of the configuration in virtual time, judged by the answers to callers.

mod support;

use fulmarpond_dispatch::JobId;
use proptest::prelude::*;
use support::{Demand, EntrySize, Fault, Options, Simulation, StoreFault, proptest_config};

/// Routes of a large change.
const MANY_ROUTES: usize = 1_400;

const JOB: Demand = Demand {
    tasks: 2,
    ..Demand::SHORT_TASK
};

/// Returns a simulation of entries on small machines whose configuration has many routes.
fn simulation(seed: u64, entries: usize, agents: usize) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        entries,
        agents,
        entry_size: Some(EntrySize::SMALL),
        changes_configuration: true,
        ..Options::default()
    });
    sim.change_configuration_at(0, MANY_ROUTES);
    sim.run_ms(8_000);
    sim
}

fn submit_jobs(sim: &mut Simulation, duration_ms: u64) -> Vec<JobId> {
    let times = (0..duration_ms).step_by(20);
    times.map(|at| sim.submit_at(at, JOB)).collect()
}

/// Guards against requests that fail while changes come in series after a large one, beside a calm
/// store: every entry sent each version whole to each agent of its zone, which filled its link, so
/// that leases ran out, links broke, and each new link brought the whole configuration again.
#[test]
fn series_of_changes_after_a_large_one_costs_callers_nothing() {
    let mut sim = simulation(1, 4, 40);
    for number in 0..18 {
        sim.change_configuration_at(number * 330, 0);
    }
    sim.probe_configurations(12_000);
    let jobs = submit_jobs(&mut sim, 12_000);
    sim.run_ms(16_000);
    assert_eq!(sim.history.violations, Vec::<String>::new());
    assert_eq!(sim.links_lost(), 0, "links lost");
    let share = sim.on_time_share(&jobs);
    assert!(share > 0.99, "{share} of the jobs are on time");
}

/// Guards against a version that is in force late although nothing is wrong: it took a watch and
/// then a second read of everything.
#[test]
fn version_is_in_force_within_a_second_on_a_calm_store() {
    for routes in [0, MANY_ROUTES, 3_000] {
        let mut sim = simulation(2, 4, 20);
        sim.change_configuration_at(500, routes);
        sim.change_configuration_at(3_500, 0);
        sim.probe_configurations(6_000);
        sim.run_ms(7_000);
        assert_eq!(sim.history.violations, Vec::<String>::new());
        let delay_ms = sim.configurations.max_delay_ms;
        assert!(
            delay_ms <= 1_000,
            "{routes} routes more: {delay_ms} ms after the acknowledgement"
        );
        assert!(sim.configurations.checked > 800, "too few answers");
    }
}

/// Guards against an entry that the store turns away and that answers by an older version, although
/// every other entry has the newer one.
#[test]
fn entry_that_the_store_turns_away_gets_versions_from_others() {
    let mut sim = simulation(3, 4, 12);
    sim.fault_at(0, Fault::StoreUnreachable(0, 12_000, false));
    for number in 0..4 {
        sim.change_configuration_at(500 + number * 2_500, 0);
    }
    sim.probe_configurations(12_000);
    sim.run_ms(13_000);
    assert_eq!(sim.history.violations, Vec::<String>::new());
    let delay_ms = sim.configurations.max_delay_ms;
    assert!(delay_ms <= 1_000, "{delay_ms} ms");
}

/// Guards against entries that serve nothing for as long as the store is slow: after a loss of all
/// processes nobody else has the configuration, and each read of it failed before its reply came.
#[test]
fn entries_start_beside_a_slow_store() {
    for slow_ms in [300, 700, 1_200] {
        let mut sim = simulation(4, 3, 6);
        sim.fault_at(0, Fault::Store(StoreFault::Slow(slow_ms), 30_000));
        for agent in 0..6 {
            sim.fault_at(10, Fault::KillAgent(agent));
        }
        for entry in 0..3 {
            sim.fault_at(10, Fault::KillEntry(entry));
        }
        sim.run_ms(810 + 8_000);
        for entry in 0..3 {
            assert!(
                sim.is_ready(entry),
                "entry-{entry}, replies take {slow_ms} ms"
            );
        }
    }
}

/// How long changes are made and faults occur, in milliseconds.
const TROUBLE_MS: u64 = 12_000;

fn any_fault() -> impl Strategy<Value = Fault> {
    let store = prop_oneof![
        any::<bool>().prop_map(|leases_expire| StoreFault::Down { leases_expire }),
        (50..600_u64).prop_map(StoreFault::Slow),
        (10..60_u32).prop_map(StoreFault::Lost),
        (10..60_u32).prop_map(StoreFault::Late),
        Just(StoreFault::Refusing),
    ];
    prop_oneof![
        (store, 300..4_000_u64).prop_map(|(fault, ms)| Fault::Store(fault, ms)),
        // The other entries reach the store, so the version is known to somebody.
        (0..2_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreUnreachable(entry, ms, revoke)),
        Just(Fault::CompactStore),
        (0..4_usize).prop_map(Fault::KillEntry),
        (0..4_usize, 50..2_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..8_usize).prop_map(Fault::KillAgent),
    ]
}

fn any_change() -> impl Strategy<Value = (u64, usize)> {
    let routes = prop_oneof![4 => Just(0), 1 => Just(MANY_ROUTES)];
    (0..TROUBLE_MS, routes)
}

fn play_schedule(seed: u64, changes: &[(u64, usize)], faults: &[(u64, Fault)]) -> Simulation {
    let mut sim = simulation(seed, 4, 8);
    for &(at, routes) in changes {
        sim.change_configuration_at(at, routes);
    }
    for &(at, fault) in faults {
        sim.fault_at(at, fault);
    }
    sim.probe_configurations(TROUBLE_MS + 10_000);
    sim.run_ms(TROUBLE_MS + 10_500);
    sim
}

proptest! {
    #![proptest_config(proptest_config(16))]

    /// Guards against answers by versions that are no longer in force, and against an entry that
    /// returns to an older one, when the store and processes fail while changes of both sizes come.
    #[test]
    fn versions_are_in_force_under_random_faults(
        seed in any::<u64>(),
        changes in proptest::collection::vec(any_change(), 1..9),
        faults in proptest::collection::vec((0..TROUBLE_MS, any_fault()), 0..5),
    ) {
        let sim = play_schedule(seed, &changes, &faults);
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

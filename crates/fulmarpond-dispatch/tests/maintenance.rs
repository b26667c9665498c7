//! Waves of host maintenance that the operator requests.

mod support;

use fulmarpond_dispatch::JobId;
use proptest::prelude::*;
use support::{Demand, Fault, Options, Simulation, StoreFault, proptest_config, with_trace_log};

/// Submitted every 100 ms, a load that the fleet can serve without one of its hosts.
const SHORT_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    ..Demand::SHORT_TASK
};

/// Runs so long that a drain has to wait for it.
const LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 900,
    ..Demand::SHORT_TASK
};

const LONG_RUNNING_JOB: Demand = Demand {
    tasks: 8,
    long_running: true,
    may_miss: Some(1),
    ..Demand::SHORT_TASK
};

/// The duration of a wave over four hosts one at a time, in milliseconds: each takes a drain of at
/// most 2.5 s and 2 s of maintenance.
const WAVE_MS: u64 = 4 * 4_500 + 2_000;

fn started_simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        entries: 3,
        is_durable: true,
        hosts: true,
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

fn submit_traffic(sim: &mut Simulation, duration_ms: u64) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for at in (0..duration_ms).step_by(100) {
        jobs.push(sim.submit_at(at, SHORT_JOB));
    }
    for at in (0..duration_ms).step_by(500) {
        jobs.push(sim.submit_at(at, LONG_JOB));
    }
    jobs
}

/// Guards against a wave that skips a host, maintains more hosts at a time than allowed, or
/// maintains a host before its drain has ended, so that its tasks are interrupted.
#[test]
fn hosts_are_drained_and_maintained_one_at_a_time() {
    for seed in 1..4 {
        let mut sim = started_simulation(seed);
        let long_running_job = sim.submit_at(0, LONG_RUNNING_JOB);
        submit_traffic(&mut sim, WAVE_MS);
        sim.wave_at(2_000, 1, 1);
        sim.run_ms(2_000 + WAVE_MS);
        assert_eq!(sim.maintained_count(1), 4);
        assert!(sim.is_wave_completed(1));
        assert_eq!(sim.hosts.interrupted_runs, 0);
        sim.run_ms(10_000);
        assert_eq!(
            sim.history
                .running_count(&long_running_job, LONG_RUNNING_JOB.tasks),
            8
        );
        sim.check_durable_jobs();
        assert_eq!(sim.history.violations, Vec::<String>::new());
    }
}

/// Guards against a wave that takes too long: hosts are maintained one at a time although the wave
/// allows more.
#[test]
fn wave_maintains_as_many_hosts_at_a_time_as_allowed() {
    let mut sim = started_simulation(1);
    sim.wave_at(1_000, 1, 2);
    sim.run_ms(1_000 + 2 * 3_500);
    assert_eq!(sim.maintained_count(1), 4);
}

struct Loss {
    name: &'static str,
    fault: fn(usize) -> Fault,
}

/// Guards against a wave that stops when the entry that leads it fails, and against two entries
/// that lead it: the former one continues while its successor has the duty.
#[test]
fn wave_is_continued_by_another_entry() {
    let losses = [
        Loss {
            name: "entry killed",
            fault: Fault::KillEntry,
        },
        Loss {
            name: "entry loses power",
            fault: Fault::PowerOffEntry,
        },
        Loss {
            name: "entry paused",
            fault: |entry| Fault::PauseEntry(entry, 9_000),
        },
        Loss {
            name: "entry is cut off from the store",
            fault: |entry| Fault::StoreUnreachable(entry, 9_000, true),
        },
    ];
    for Loss { name, fault } in losses {
        let mut sim = started_simulation(2);
        sim.wave_at(1_000, 1, 1);
        for entry in 0..3 {
            sim.fault_at(5_000 + entry * 3_000, fault(entry as usize));
        }
        sim.run_ms(70_000);
        sim.check_waves();
        assert_eq!(sim.history.violations, Vec::<String>::new(), "{name}");
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::KillEntry),
        (0..3_usize).prop_map(Fault::PowerOffEntry),
        (0..3_usize).prop_map(Fault::RestartEntry),
        (0..3_usize, 50..9_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 0..3_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        (10..60_u32, 300..6_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreFault::Lost(percent), ms)),
        (10..60_u32, 300..6_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreFault::Late(percent), ms)),
        (300..8_000_u64, any::<bool>())
            .prop_map(|(ms, leases_expire)| Fault::Store(StoreFault::Down { leases_expire }, ms)),
        (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreUnreachable(entry, ms, revoke)),
        Just(Fault::CompactStore),
        (20..100_u32, 300..6_000_u64).prop_map(|(percent, ms)| Fault::HostReplies(percent, ms)),
        (300..6_000_u64).prop_map(Fault::HostService),
    ]
}

proptest! {
    #![proptest_config(proptest_config(16))]

    /// Guards against a wave that is never completed, is reported as completed too early, or is led
    /// by two entries, when entries, agents, links, the store and the host service fail at random
    /// times.
    #[test]
    fn waves_are_completed_under_random_faults(
        seed in any::<u64>(),
        max_concurrent in 1..3_usize,
        faults in proptest::collection::vec((0..15_000_u64, any_fault()), 1..5),
    ) {
        let violations = play_schedule(seed, max_concurrent, &faults);
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

fn play_schedule(seed: u64, max_concurrent: usize, faults: &[(u64, Fault)]) -> Vec<String> {
    with_trace_log(|| {
        let mut sim = started_simulation(seed);
        submit_traffic(&mut sim, 10_000);
        sim.wave_at(500, 1, max_concurrent);
        sim.wave_at(6_000, 2, 1);
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(110_000);
        sim.check_waves();
        std::mem::take(&mut sim.history.violations)
    })
}

/// Guards against regressions of failures that random schedules found.
#[test]
fn waves_are_completed_in_regression_schedules() {
    let store_down = Fault::Store(
        StoreFault::Down {
            leases_expire: false,
        },
        5_451,
    );
    assert_eq!(
        play_schedule(0, 1, &[(510, store_down)]),
        Vec::<String>::new()
    );
    // An entry held the duty without knowing it: the reply to its acquisition was lost.
    let faults = [
        (7_102, Fault::Store(StoreFault::Lost(36), 2_480)),
        (4_595, Fault::KillEntry(0)),
    ];
    let violations = play_schedule(14_181_691_481_574_726_592, 1, &faults);
    assert_eq!(violations, Vec::<String>::new());
    let faults = [
        (3_410, Fault::Store(StoreFault::Late(56), 1_136)),
        (609, Fault::Store(StoreFault::Lost(40), 1_938)),
        (7_552, Fault::StoreUnreachable(0, 300, true)),
    ];
    let violations = play_schedule(12_016_300_072_250_709_888, 1, &faults);
    assert_eq!(violations, Vec::<String>::new());
    // An entry continued although its key was revoked and another entry held the duty.
    let store_unreachable = Fault::StoreUnreachable(0, 2_890, true);
    let violations = play_schedule(956_071_661_017_630_009, 1, &[(891, store_unreachable)]);
    assert_eq!(violations, Vec::<String>::new());
    // A holder that acquired the duty again did not count the host that was still in maintenance.
    let store_down = Fault::Store(
        StoreFault::Down {
            leases_expire: false,
        },
        5_351,
    );
    let faults = [
        (3_083, Fault::HostReplies(59, 3_880)),
        (8_125, store_down),
        (5_904, Fault::KillEntry(1)),
    ];
    let violations = play_schedule(5_498_047_531_061_683_690, 2, &faults);
    assert_eq!(violations, Vec::<String>::new());
}

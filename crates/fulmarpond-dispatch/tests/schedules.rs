//! The guarantees to callers under random schedules of faults.

mod support;

use proptest::prelude::*;
use support::{Demand, EndpointFault, Fault, Options, Regression, Simulation, proptest_config};

const SHORT_JOB: Demand = Demand {
    tasks: 4,
    ..Demand::SHORT_TASK
};

const LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 600,
    ..Demand::SHORT_TASK
};

/// How long jobs are submitted and faults occur, in milliseconds.
const TRAFFIC_MS: u64 = 9_000;

fn any_endpoint_fault() -> impl Strategy<Value = EndpointFault> {
    prop_oneof![
        Just(EndpointFault::Hang),
        Just(EndpointFault::Fail),
        (2..8_u32).prop_map(EndpointFault::Slow),
        (5..40_u32).prop_map(EndpointFault::DelayedCalls),
        (5..40_u32).prop_map(EndpointFault::LostReplies),
        (20..100_u32).prop_map(EndpointFault::Reset),
        Just(EndpointFault::Silent),
        Just(EndpointFault::Crashed),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::KillEntry),
        (0..2_usize).prop_map(Fault::PowerOffEntry),
        (0..2_usize, 50..4_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..2_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        (0..4_usize, 0..2_usize).prop_map(|(agent, entry)| Fault::SilenceLinks(agent, entry)),
        (0..4_usize, any_endpoint_fault(), 300..4_000_u64)
            .prop_map(|(agent, fault, ms)| Fault::Endpoint(agent, fault, ms)),
        (0..4_usize, prop_oneof![Just(0), 1..1_500_u64], 0..2_000_u64)
            .prop_map(|(agent, down, late)| Fault::RestartEndpoint(agent, down, late)),
        (0..4_usize).prop_map(Fault::Drain),
    ]
}

fn play_schedule(seed: u64, faults: &[(u64, Fault)]) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        ..Options::default()
    });
    sim.run_ms(500);
    for at in (0..TRAFFIC_MS).step_by(60) {
        sim.submit_at(at, SHORT_JOB);
    }
    for at in (0..TRAFFIC_MS).step_by(350) {
        sim.submit_at(at, LONG_JOB);
    }
    for &(at, fault) in faults {
        sim.fault_at(at, fault);
    }
    sim.run_ms(TRAFFIC_MS + 8_000);
    sim.history.check_refusals();
    sim
}

proptest! {
    #![proptest_config(proptest_config(40))]

    /// Guards against concurrent runs of one task, completed answers without the work, refusals of
    /// jobs that have run, and starts at a draining endpoint, when entries, agents, links and
    /// endpoints fail at random times.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 1..7),
    ) {
        let sim = play_schedule(seed, &faults);
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

/// Guards against a simulation that serves no jobs: every guarantee holds then, and the random
/// schedules check nothing.
#[test]
fn jobs_are_on_time_without_faults() {
    let mut sim = Simulation::new(Options::default());
    sim.run_ms(500);
    let jobs: Vec<_> = (0..100).map(|n| sim.submit_at(n * 60, SHORT_JOB)).collect();
    sim.run_ms(8_000);
    assert_eq!(sim.history.violations, Vec::<String>::new());
    assert!(
        sim.on_time_share(&jobs) > 0.99,
        "{}",
        sim.on_time_share(&jobs)
    );
}

/// Guards against regressions of failures that random schedules found; each case names its cause.
#[test]
fn guarantees_hold_in_regression_schedules() {
    let cases = [Regression {
        cause: "an agent that was paused started a task by an order in its socket's buffer",
        seed: 3_701_603_400_764_599_171,
        faults: &[(485, Fault::PauseAgent(2, 1_815))],
    }];
    for case in cases {
        let sim = play_schedule(case.seed, case.faults);
        let violations = &sim.history.violations;
        assert_eq!(*violations, Vec::<String>::new(), "{}", case.cause);
    }
}

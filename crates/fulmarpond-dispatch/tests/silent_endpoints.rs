//! Durable jobs beside endpoints that carry out calls and answer none of them for a moment, while
//! their runs end.

mod support;

use proptest::prelude::*;
use support::{Demand, EndpointFault, Fault, Options, Simulation, proptest_config, with_trace_log};

/// How long jobs are submitted and endpoints fall silent, in milliseconds.
const TRAFFIC_MS: u64 = 12_000;

/// How long after that all accepted jobs have ended, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Its tasks can never be done, so every run of them ends as failed.
const HOPELESS_JOB: Demand = Demand {
    tasks: 4,
    run_ms: 900,
    failing_runs: u32::MAX,
    ..Demand::SHORT_TASK
};

/// Each task fails twice before it is done.
const FAILING_JOB: Demand = Demand {
    failing_runs: 2,
    ..HOPELESS_JOB
};

const SOUND_JOB: Demand = Demand {
    failing_runs: 0,
    ..HOPELESS_JOB
};

/// Two steps at the same time.
const TWO_STEP_JOB: Demand = Demand {
    second_label: Some(""),
    ..FAILING_JOB
};

const JOBS: [Demand; 4] = [SOUND_JOB, FAILING_JOB, HOPELESS_JOB, TWO_STEP_JOB];

/// Plays jobs of all kinds beside faults, and returns the violations.
fn play_schedule(seed: u64, faults: &[(u64, Fault)]) -> Vec<String> {
    with_trace_log(|| {
        let mut sim = Simulation::new(Options {
            seed,
            entries: 3,
            is_durable: true,
            max_run_time_factor: 2.0,
            ..Options::default()
        });
        sim.run_ms(1_000);
        for (at, demand) in (0..TRAFFIC_MS).step_by(250).zip(JOBS.into_iter().cycle()) {
            sim.submit_at(at, demand);
        }
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(TRAFFIC_MS + SETTLE_MS);
        sim.check_durable_jobs();
        sim.history.violations
    })
}

fn silence(endpoint: usize, millis: u64) -> Fault {
    Fault::Endpoint(endpoint, EndpointFault::LostReplies(100), millis)
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => (0..4_usize, 500..1_800_u64).prop_map(|(endpoint, ms)| silence(endpoint, ms)),
        1 => (0..3_usize).prop_map(Fault::KillEntry),
        1 => (0..3_usize).prop_map(Fault::RestartEntry),
        1 => (0..4_usize).prop_map(Fault::KillAgent),
        1 => (0..4_usize, 700..1_600_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        1 => (0..4_usize, 0..3_usize, 100..1_500_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
    ]
}

/// Guards against a task that runs twice at a time: the end of an earlier run, which its agent reads
/// only when the endpoint answers again, is taken for that of the present run at the same agent.
#[test]
fn end_read_after_a_silence_does_not_end_the_present_run() {
    for seed in 1..=6 {
        let rounds = (0..TRAFFIC_MS / 2_200).map(|round| {
            let millis = 1_000 + round * 97 % 300;
            (400 + round * 2_200, silence(0, millis))
        });
        let violations = play_schedule(seed, &rounds.collect::<Vec<_>>());
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against a task that runs twice at a time, a failure that isn't counted and a job that is
    /// lost, when endpoints fall silent in series beside other faults of the processes.
    #[test]
    fn guarantees_hold_beside_silent_endpoints(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 3..14),
    ) {
        let violations = play_schedule(seed, &faults);
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

//! Gangs: steps whose tasks have to run at the same time.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use proptest::prelude::*;
use support::{Demand, EndpointFault, Fault, Options, Simulation, proptest_config, with_trace_log};

/// Takes six of the eight slots that the simulated endpoints have for tasks of this size.
const GANG_JOB: Demand = Demand {
    tasks: 6,
    cpu: 4_000,
    run_ms: 400,
    gang: true,
    ..Demand::SHORT_TASK
};

const PLAIN_JOB: Demand = Demand {
    tasks: 2,
    ..Demand::SHORT_TASK
};

/// How long jobs are submitted and faults occur, in milliseconds.
const TRAFFIC_MS: u64 = 5_000;

fn started_simulation(seed: u64, is_durable: bool) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        is_durable,
        timeout_ms: if is_durable { 4_000 } else { 30_000 },
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

fn completed_count(sim: &Simulation, jobs: &[JobId]) -> usize {
    let replies = jobs.iter().filter_map(|job| sim.reply(job));
    replies
        .filter(|reply| reply.answer == Answer::Completed)
        .count()
}

/// Guards against a deadlock of gangs: two entries place gangs that together exceed the capacity,
/// next to other work, and members of each hold slots while they wait for the others.
#[test]
fn competing_gangs_run_one_after_the_other() {
    let mut sim = started_simulation(1, true);
    for n in 0..6 {
        sim.submit_at(n * 3, GANG_JOB);
    }
    for n in 0..40 {
        sim.submit_at(n * 40, PLAIN_JOB);
    }
    sim.run_ms(20_000);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
    assert_eq!(sim.history.incomplete_gang_runs, 0);
}

/// Guards against a gang that waits until its deadline although it exceeds the capacity of the
/// whole fleet and can never start.
#[test]
fn gang_that_never_fits_is_refused_immediately() {
    let mut sim = started_simulation(1, false);
    let large = Demand {
        tasks: 9,
        ..GANG_JOB
    };
    let job = sim.submit_at(0, large);
    sim.run_ms(20);
    let reply = sim.reply(&job).expect("an answer");
    assert!(matches!(reply.answer, Answer::NotRun { .. }), "{reply:?}");
}

struct Loss {
    name: &'static str,
    fault: Fault,
}

/// Guards against a gang that continues without a lost member, or fails with it: an agent, endpoint
/// or link is lost while the gang runs, so all members have to be stopped and started again.
#[test]
fn gang_that_loses_a_member_is_restarted() {
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
            name: "endpoint crashed",
            fault: Fault::Endpoint(1, EndpointFault::Crashed, 500),
        },
        Loss {
            name: "link goes silent",
            fault: Fault::SilenceLinks(1, 0),
        },
    ];
    for is_durable in [false, true] {
        for case in &cases {
            let mut sim = started_simulation(2, is_durable);
            let long = Demand {
                run_ms: 1_200,
                ..GANG_JOB
            };
            let jobs = [sim.submit_at(0, long), sim.submit_at(1, long)];
            sim.fault_at(300, case.fault);
            sim.run_ms(20_000);
            if is_durable {
                sim.check_durable_jobs();
            } else {
                assert_eq!(completed_count(&sim, &jobs), jobs.len(), "{}", case.name);
            }
            assert_eq!(
                sim.history.violations,
                Vec::<String>::new(),
                "{}",
                case.name
            );
        }
    }
}

fn play_schedule(seed: u64, faults: &[(u64, Fault)]) -> Vec<String> {
    with_trace_log(|| {
        let mut sim = started_simulation(seed, true);
        for at in (0..TRAFFIC_MS).step_by(700) {
            sim.submit_at(at, GANG_JOB);
            sim.submit_at(at + 300, PLAIN_JOB);
        }
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(TRAFFIC_MS + 30_000);
        sim.check_durable_jobs();
        std::mem::take(&mut sim.history.violations)
    })
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::KillEntry),
        (0..2_usize, 50..3_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 50..3_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..2_usize, 100..3_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        (0..4_usize, prop_oneof![Just(0), 1..1_500_u64], 0..2_000_u64)
            .prop_map(|(agent, down, late)| Fault::RestartEndpoint(agent, down, late)),
        (0..4_usize, 5..40_u32, 300..3_000_u64).prop_map(|(agent, percent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::DelayedCalls(percent),
            ms
        )),
        (0..4_usize, 5..40_u32, 300..3_000_u64).prop_map(|(agent, percent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::LostReplies(percent),
            ms
        )),
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::Crashed,
            ms
        )),
    ]
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against members of a gang with two concurrent runs, and against gangs that never end,
    /// when entries, agents, links and endpoints fail at random times.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 1..5),
    ) {
        let violations = play_schedule(seed, &faults);
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

/// Guards against regressions of a failure that random schedules found.
#[test]
fn guarantees_hold_in_regression_schedules() {
    let cases: [(u64, &[(u64, Fault)]); 2] = [
        (
            11_536_336_220_224_221_253,
            &[
                (2_180, Fault::BlockLinks(0, 0, 2_307)),
                (2_104, Fault::PauseEntry(1, 2_767)),
                (4_720, Fault::KillAgent(0)),
                (
                    1_470,
                    Fault::Endpoint(1, EndpointFault::LostReplies(5), 628),
                ),
            ],
        ),
        // A member of a suspected gang waited for a reply of its endpoint, and was returned each time.
        (
            71_426_920_625_128_736,
            &[(4_911, Fault::Endpoint(0, EndpointFault::Crashed, 1_800))],
        ),
    ];
    for (seed, faults) in cases {
        assert_eq!(play_schedule(seed, faults), Vec::<String>::new());
    }
}

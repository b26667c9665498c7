//! Long-running tasks, which run until their job is cancelled.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::JobStatus;
use proptest::prelude::*;
use support::{
    Demand, EndpointFault, Fault, Regression, Simulation, StoreFault, proptest_config,
    with_trace_log,
};

/// Takes half of the capacity of the simulated endpoints.
const LONG_RUNNING_JOB: Demand = Demand {
    tasks: 4,
    cpu: 4_000,
    run_ms: 300,
    long_running: true,
    ..Demand::SHORT_TASK
};

const SHORT_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    ..Demand::SHORT_TASK
};

/// How long jobs are submitted and faults occur, in milliseconds.
const TRAFFIC_MS: u64 = 6_000;

/// How long after that all tasks run again, in milliseconds: an announcement of 6 s expires, and
/// the job is taken over.
const SETTLE_MS: u64 = 24_000;

fn simulation_with_running_job(seed: u64) -> (Simulation, JobId) {
    let mut sim = Simulation::with_store(seed);
    let job = sim.submit_at(0, LONG_RUNNING_JOB);
    sim.run_ms(2_000);
    assert_eq!(sim.history.running_count(&job, LONG_RUNNING_JOB.tasks), 4);
    (sim, job)
}

/// Guards against a long-running job that is reported as ended while its tasks run, and against
/// tasks that continue or are started again after the cancellation of their job.
#[test]
fn job_runs_until_it_is_cancelled() {
    let (mut sim, job) = simulation_with_running_job(1);
    sim.run_ms(20_000);
    assert_eq!(sim.status(&job), JobStatus::Running);
    assert_eq!(sim.history.start_count(&job), 4);
    sim.cancel(&job);
    sim.run_ms(500);
    assert_eq!(sim.status(&job), JobStatus::Cancelled);
    assert_eq!(sim.history.running_count(&job, LONG_RUNNING_JOB.tasks), 0);
    sim.run_ms(5_000);
    assert_eq!(sim.history.start_count(&job), 4);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
}

/// Guards against short tasks that wait behind long-running tasks, which never end, and against run
/// time estimates that long-running tasks distort.
#[test]
fn short_jobs_complete_next_to_long_running_tasks() {
    let (mut sim, _) = simulation_with_running_job(1);
    let jobs: Vec<JobId> = (0..100).map(|n| sim.submit_at(n * 60, SHORT_JOB)).collect();
    sim.run_ms(10_000);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
    for job in jobs {
        assert_eq!(sim.status(&job), JobStatus::Completed);
    }
}

struct Loss {
    name: &'static str,
    fault: Fault,
    /// When all tasks have to run again, in milliseconds after the fault.
    recovery_ms: u64,
}

/// Guards against a long-running task that is not restarted after its run is lost, or fails
/// permanently after its maximum number of failures. The platform requires that a task runs again
/// within 9 s of its last run if there is capacity for it.
#[test]
fn tasks_are_restarted_after_each_loss() {
    let cases = [
        Loss {
            name: "runs fail once",
            fault: Fault::FailRuns(1),
            recovery_ms: 200,
        },
        Loss {
            name: "runs fail at each start",
            fault: Fault::Endpoint(1, EndpointFault::Fail, 3_000),
            recovery_ms: 9_000,
        },
        Loss {
            name: "endpoint crashed",
            fault: Fault::Endpoint(1, EndpointFault::Crashed, 3_000),
            recovery_ms: 9_000,
        },
        Loss {
            name: "agent killed",
            fault: Fault::KillAgent(1),
            recovery_ms: 9_000,
        },
        Loss {
            name: "agent paused",
            fault: Fault::PauseAgent(1, 2_000),
            recovery_ms: 9_000,
        },
        Loss {
            name: "entry killed",
            fault: Fault::KillEntry(0),
            recovery_ms: 9_000,
        },
        Loss {
            name: "entry loses power",
            fault: Fault::PowerOffEntry(1),
            recovery_ms: 9_000,
        },
    ];
    for case in &cases {
        for seed in 1..5 {
            let (mut sim, job) = simulation_with_running_job(seed);
            sim.fault_at(0, case.fault);
            sim.run_ms(case.recovery_ms);
            let running = sim.history.running_count(&job, LONG_RUNNING_JOB.tasks);
            assert_eq!(running, 4, "{}, seed {seed}", case.name);
            sim.run_ms(20_000);
            sim.check_durable_jobs();
            assert_eq!(
                sim.history.violations,
                Vec::<String>::new(),
                "{}",
                case.name
            );
        }
    }
}

struct Outage {
    name: &'static str,
    fault: fn(usize) -> Fault,
}

/// Guards against long-running tasks that are stopped because the entry that owns them is killed,
/// paused, replaced or unreachable for a short time.
#[test]
fn tasks_continue_while_their_entry_is_unavailable() {
    let cases = [
        Outage {
            name: "entry killed",
            fault: Fault::KillEntry,
        },
        Outage {
            name: "entry loses power",
            fault: Fault::PowerOffEntry,
        },
        Outage {
            name: "entry paused",
            fault: |entry| Fault::PauseEntry(entry, 2_000),
        },
        Outage {
            name: "entry replaced",
            fault: Fault::RestartEntry,
        },
        Outage {
            name: "link goes silent",
            fault: |entry| Fault::SilenceLinks(1, entry),
        },
        Outage {
            name: "link cut",
            fault: |entry| Fault::BlockLinks(2, entry, 1_000),
        },
    ];
    for Outage { name, fault } in cases {
        for seed in 1..4 {
            let (mut sim, job) = simulation_with_running_job(seed);
            // Every entry fails once, since any of them may own the job.
            for entry in 0..3_u64 {
                sim.fault_at(entry * 8_000, fault(entry as usize));
            }
            sim.run_ms(30_000);
            assert_eq!(sim.history.start_count(&job), 4, "{name}, seed {seed}");
            sim.check_durable_jobs();
            assert_eq!(sim.history.violations, Vec::<String>::new(), "{name}");
        }
    }
}

/// Runs two tasks at each endpoint and leaves capacity for two more there.
const SPREAD_JOB: Demand = Demand {
    tasks: 8,
    cpu: 2_000,
    may_miss: Some(1),
    ..LONG_RUNNING_JOB
};

/// Guards against an agent that stops all tasks of a job at the same time when it is replaced: at
/// most `may_miss` tasks of a job may be stopped at a time.
#[test]
fn tasks_of_a_stopping_agent_are_moved_one_at_a_time() {
    for seed in 1..4 {
        let mut sim = Simulation::with_store(seed);
        let job = sim.submit_at(0, SPREAD_JOB);
        for agent in 0..4_u64 {
            sim.fault_at(2_000 + agent * 8_000, Fault::RestartAgent(agent as usize));
        }
        for step in 0..70 {
            sim.run_ms(500);
            let running = sim.history.running_count(&job, SPREAD_JOB.tasks);
            assert!(
                step < 4 || running >= 7,
                "{running} of 8 tasks run, seed {seed}"
            );
        }
        sim.check_durable_jobs();
        assert_eq!(sim.history.violations, Vec::<String>::new());
    }
}

/// Guards against long-running tasks that stay at a draining endpoint until it terminates and their
/// runs are lost.
#[test]
fn tasks_are_moved_away_from_a_draining_endpoint() {
    let mut sim = Simulation::with_store(1);
    let job = sim.submit_at(0, SPREAD_JOB);
    sim.run_ms(2_000);
    let run_count = sim.endpoints[1].runs.len();
    sim.fault_at(0, Fault::Drain(1));
    // The endpoint reports the drain in its next heartbeat and continues to serve for 2 s.
    sim.run_ms(1_500 + 1_000);
    assert!(run_count > 0 && sim.endpoints[1].runs.is_empty());
    assert_eq!(sim.history.running_count(&job, SPREAD_JOB.tasks), 8);
    assert_eq!(sim.history.start_count(&job), 8 + run_count as u32);
}

/// Guards against long-running tasks that are stopped at a draining endpoint although no other
/// endpoint has free capacity for them.
#[test]
fn tasks_stay_at_a_draining_endpoint_without_capacity_elsewhere() {
    let mut sim = Simulation::with_store(1);
    let full_capacity_job = Demand {
        tasks: 16,
        ..SPREAD_JOB
    };
    let job = sim.submit_at(0, full_capacity_job);
    sim.fault_at(2_000, Fault::Drain(1));
    sim.run_ms(6_000);
    assert_eq!(sim.history.running_count(&job, full_capacity_job.tasks), 16);
    assert_eq!(sim.history.start_count(&job), 16);
}

/// Guards against orphaned tasks of a cancelled job: their entry loses power, and the cancellation
/// reaches another entry before the job has a new owner.
#[test]
fn orphaned_tasks_of_a_cancelled_job_are_stopped() {
    for entry in 0..3 {
        let (mut sim, job) = simulation_with_running_job(1);
        sim.fault_at(0, Fault::PowerOffEntry(entry));
        sim.run_ms(300);
        sim.cancel_through_entry(&job, (entry + 1) % 3);
        // The platform's bound is 3 s.
        sim.run_ms(3_000);
        assert_eq!(sim.history.running_count(&job, LONG_RUNNING_JOB.tasks), 0);
    }
}

/// Guards against a restart loop: a long-running task that fails at each start is started again
/// without a delay.
#[test]
fn task_that_fails_at_each_start_is_restarted_with_backoff() {
    let (mut sim, job) = simulation_with_running_job(1);
    for agent in 0..4 {
        sim.fault_at(0, Fault::Endpoint(agent, EndpointFault::Fail, 10_000));
        sim.fault_at(0, Fault::FailRuns(agent));
    }
    sim.run_ms(10_000);
    // 4 initial starts, and for each task at most 5 in the first 1.6 s and one in each 1.6 s after.
    let starts = sim.history.start_count(&job);
    assert!((12..=4 + 4 * 12).contains(&starts), "{starts} starts");
    sim.run_ms(5_000);
    assert_eq!(sim.history.running_count(&job, LONG_RUNNING_JOB.tasks), 4);
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::KillEntry),
        (0..3_usize).prop_map(Fault::PowerOffEntry),
        (0..3_usize).prop_map(Fault::RestartEntry),
        (0..3_usize, 50..8_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize).prop_map(Fault::RestartAgent),
        (0..4_usize, 50..4_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..3_usize, 100..4_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        (0..4_usize, 0..3_usize).prop_map(|(agent, entry)| Fault::SilenceLinks(agent, entry)),
        (0..4_usize).prop_map(Fault::FailRuns),
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::Crashed,
            ms
        )),
        (0..4_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::Fail,
            ms
        )),
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
        (10..60_u32, 300..4_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreFault::Lost(percent), ms)),
        (300..4_000_u64).prop_map(|ms| Fault::Store(
            StoreFault::Down {
                leases_expire: true
            },
            ms
        )),
        (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreUnreachable(entry, ms, revoke)),
    ]
}

fn play_schedule(seed: u64, faults: &[(u64, Fault)]) -> Vec<String> {
    with_trace_log(|| {
        let mut sim = Simulation::with_store(seed);
        let cancelled_job = sim.submit_at(0, LONG_RUNNING_JOB);
        let smaller_job = Demand {
            tasks: 2,
            cpu: 2_000,
            ..LONG_RUNNING_JOB
        };
        for at in (0..TRAFFIC_MS).step_by(2_000) {
            sim.submit_at(at, smaller_job);
        }
        for at in (0..TRAFFIC_MS).step_by(300) {
            sim.submit_at(at, SHORT_JOB);
        }
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(TRAFFIC_MS);
        sim.cancel(&cancelled_job);
        sim.run_ms(SETTLE_MS);
        sim.history.check_refusals();
        sim.check_durable_jobs();
        std::mem::take(&mut sim.history.violations)
    })
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against a long-running task that has two concurrent runs, is not restarted, or
    /// continues after its job was cancelled, when the store, entries, agents, links and endpoints
    /// fail at random times.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 1..5),
    ) {
        let violations = play_schedule(seed, &faults);
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

/// Guards against regressions of failures that random schedules found; each case names its cause.
#[test]
fn guarantees_hold_in_regression_schedules() {
    let cases = [
        Regression {
            cause: "short tasks were queued at an agent whose capacity long-running tasks occupied",
            seed: 9_168_222_374_174_629_139,
            faults: &[(32, Fault::RestartAgent(2))],
        },
        Regression {
            cause: "a job was taken over after it was cancelled",
            seed: 12_372_486_958_856_833_502,
            faults: &[
                (
                    4_448,
                    Fault::Store(
                        StoreFault::Down {
                            leases_expire: true,
                        },
                        1_183,
                    ),
                ),
                (3_881, Fault::RestartEntry(1)),
            ],
        },
    ];
    for case in cases {
        let violations = play_schedule(case.seed, case.faults);
        assert_eq!(violations, Vec::<String>::new(), "{}", case.cause);
    }
}

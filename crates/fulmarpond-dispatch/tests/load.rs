//! Jobs on time and refusals under load below and above the capacity.

mod support;

use fulmarpond_dispatch::entry::Answer;
use fulmarpond_dispatch::{JobId, Refusal};
use support::{Demand, EndpointFault, Fault, Options, Simulation};

const LONG_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    run_ms: 200,
    ..Demand::SHORT_TASK
};

const SHORT_JOB: Demand = Demand {
    tasks: 4,
    ..Demand::SHORT_TASK
};

/// The number and the run time of the tasks of jobs that compete for the capacity, in the order of
/// their priority, and their shares of the load.
const COMPETING_JOBS: [(u16, u32, f64); 3] = [(8, 60, 0.21), (2, 200, 0.51), (4, 900, 0.28)];

/// Returns the work of a job, in core-milliseconds.
fn work_core_ms(demand: Demand) -> f64 {
    f64::from(demand.cpu) / 1_000.0 * f64::from(demand.run_ms) * f64::from(demand.tasks)
}

/// Submits jobs of one kind for `duration_ms` at a share of the capacity.
fn submit_load(
    sim: &mut Simulation,
    demand: Demand,
    capacity_share: f64,
    duration_ms: u64,
) -> Vec<JobId> {
    submit_load_for(sim, Options::default(), demand, capacity_share, duration_ms)
}

fn submit_load_for(
    sim: &mut Simulation,
    options: Options,
    demand: Demand,
    capacity_share: f64,
    duration_ms: u64,
) -> Vec<JobId> {
    let cores = f64::from(options.cpu) / 1_000.0 * options.agents as f64;
    let interval_ms = work_core_ms(demand) / (cores * capacity_share);
    let count = (duration_ms as f64 / interval_ms) as u64;
    let at = |number: u64| (number as f64 * interval_ms) as u64;
    (0..count)
        .map(|number| sim.submit_at(at(number), demand))
        .collect()
}

struct Case {
    name: &'static str,
    demand: Demand,
    capacity_share: f64,
    fault: EndpointFault,
    /// The minimum share of the jobs that must be on time.
    min_on_time: f64,
}

/// Guards against capacity that stays idle while jobs are late: below the capacity jobs are served
/// on time, also when calls to endpoints are delayed or their replies are lost.
#[test]
fn load_below_the_capacity_is_served_on_time() {
    let cases = [
        Case {
            name: "half of the capacity",
            demand: LONG_JOB,
            capacity_share: 0.5,
            fault: EndpointFault::None,
            min_on_time: 0.99,
        },
        Case {
            name: "four fifths of the capacity",
            demand: LONG_JOB,
            capacity_share: 0.8,
            fault: EndpointFault::None,
            min_on_time: 0.95,
        },
        Case {
            name: "short tasks at four fifths of the capacity",
            demand: SHORT_JOB,
            capacity_share: 0.8,
            fault: EndpointFault::None,
            min_on_time: 0.95,
        },
        // A lost hold call delayed the ends of all runs at its endpoint by 350 ms.
        Case {
            name: "one call in twenty is delayed",
            demand: LONG_JOB,
            capacity_share: 0.7,
            fault: EndpointFault::DelayedCalls(5),
            min_on_time: 0.9,
        },
        Case {
            name: "one reply in twenty is lost",
            demand: LONG_JOB,
            capacity_share: 0.7,
            fault: EndpointFault::LostReplies(5),
            min_on_time: 0.9,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(Options::default());
        sim.run_ms(500);
        for agent in 0..4 {
            sim.fault_at(0, Fault::Endpoint(agent, case.fault, 60_000));
        }
        let jobs = submit_load(&mut sim, case.demand, case.capacity_share, 5_000);
        sim.run_ms(9_000);
        let share = sim.on_time_share(&jobs);
        assert!(
            share >= case.min_on_time,
            "{}: share on time is {share}",
            case.name
        );
        assert_eq!(
            sim.history.violations,
            Vec::<String>::new(),
            "{}",
            case.name
        );
    }
}

/// Guards against tasks that are late because an endpoint has become slow: it was noticed only by
/// the late ends of the first runs, and all tasks placed there meanwhile were late too.
#[test]
fn jobs_at_an_endpoint_that_becomes_slow_are_moved_in_time() {
    let mut sim = Simulation::new(Options::default());
    sim.run_ms(500);
    sim.fault_at(1_000, Fault::Endpoint(0, EndpointFault::Slow(6), 3_000));
    let jobs = submit_load(&mut sim, LONG_JOB, 0.6, 4_000);
    sim.run_ms(8_000);
    let during_onset = &jobs[jobs.len() / 4..jobs.len() / 2];
    let share = sim.on_time_share(during_onset);
    assert!(share >= 0.9, "share on time after the onset is {share}");
    assert_eq!(sim.history.violations, Vec::<String>::new());
}

/// Guards against congestion collapse: entries accept more than can be finished in time, and
/// capacity is spent on late jobs. At twice the capacity, jobs worth nine tenths of it are on time.
#[test]
fn load_of_twice_the_capacity_is_served_up_to_the_capacity() {
    let mut sim = Simulation::new(Options::default());
    sim.run_ms(500);
    let jobs = submit_load(&mut sim, LONG_JOB, 2.0, 6_000);
    sim.run_ms(10_000);
    let delivered = sim.on_time_share(&jobs) * 2.0;
    assert!(
        delivered >= 0.9,
        "jobs worth {delivered} of the capacity are on time"
    );
}

/// Guards against refusals that come only after the job has waited, and against callers that retry
/// immediately because the refusal has no retry delay.
#[test]
fn refusals_are_immediate_and_carry_a_retry_delay() {
    let mut sim = Simulation::new(Options::default());
    sim.run_ms(500);
    let jobs = submit_load(&mut sim, LONG_JOB, 2.0, 3_000);
    sim.run_ms(6_000);
    let mut ages_ms: Vec<u64> = Vec::new();
    for job in &jobs {
        let reply = sim.reply(job).expect("an answer");
        if let Answer::NotRun { reason, retry } = reply.answer {
            assert_eq!(reason, Refusal::Overloaded);
            assert!(retry > 0);
            ages_ms.push(reply.age_ms);
        }
    }
    ages_ms.sort_unstable();
    assert!(!ages_ms.is_empty(), "no job was refused");
    // Nine in ten are refused on arrival; the others are withdrawn from a queue later.
    let p90_ms = ages_ms[ages_ms.len() * 9 / 10];
    assert!(p90_ms <= 20, "p90 of the time to a refusal is {p90_ms} ms");
}

/// Guards against a queue that remains after a burst above the capacity and makes the jobs of the
/// lower load after it late.
#[test]
fn jobs_after_a_burst_are_on_time() {
    let mut sim = Simulation::new(Options::default());
    sim.run_ms(500);
    submit_load(&mut sim, LONG_JOB, 1.6, 2_000);
    sim.run_ms(2_500);
    let after_burst = submit_load(&mut sim, LONG_JOB, 0.6, 3_000);
    sim.run_ms(7_000);
    let share = sim.on_time_share(&after_burst);
    assert!(share >= 0.95, "share on time after the burst is {share}");
}

/// Returns the shares of the jobs of each class that were on time, refused and neither under a load
/// by [`COMPETING_JOBS`], as the mean of three seeds.
fn shares_under_overload(load: f64) -> [[f64; 3]; 3] {
    const SEEDS: [u64; 3] = [1, 2, 3];
    let mut shares = [[0.0; 3]; 3];
    for seed in SEEDS {
        let options = Options {
            seed,
            cpu: 16_000,
            timeout_ms: 1_500,
            ..Options::default()
        };
        let mut sim = Simulation::new(options);
        sim.run_ms(500);
        let submit = |(route, (tasks, run_ms, share))| {
            let demand = Demand {
                route,
                tasks,
                cpu: 1_600,
                run_ms,
                ..Demand::SHORT_TASK
            };
            submit_load_for(&mut sim, options, demand, load * share, 8_000)
        };
        let jobs: Vec<Vec<JobId>> = (0..).zip(COMPETING_JOBS).map(submit).collect();
        sim.run_ms(12_000);
        assert_eq!(sim.history.violations, Vec::<String>::new());
        for (class, jobs) in jobs.iter().enumerate() {
            let is_refused = |job: &&JobId| {
                let reply = sim.reply(job);
                reply.is_some_and(|reply| matches!(reply.answer, Answer::NotRun { .. }))
            };
            let refused = jobs.iter().filter(is_refused).count() as f64 / jobs.len() as f64;
            let on_time = sim.on_time_share(jobs);
            for (sum, share) in
                (shares[class].iter_mut()).zip([on_time, refused, 1.0 - on_time - refused])
            {
                *sum += share / SEEDS.len() as f64;
            }
        }
    }
    for (class, [on_time, refused, late]) in shares.iter().enumerate() {
        println!("load {load}, priority {class}: {on_time:.3} / {refused:.3} / {late:.3}");
    }
    shares
}

/// Guards against an overload of which the work of the highest priority suffers most: its fresh
/// tasks waited behind nearly overdue ones of lower priority, and entries expected too short waits.
#[test]
fn an_overload_of_several_priorities_spares_the_highest() {
    let [urgent, middle, low] = shares_under_overload(1.3);
    assert!(urgent[0] >= 0.9, "priority 0 on time: {urgent:?}");
    assert!(urgent[2] <= 0.1, "priority 0 late: {urgent:?}");
    assert!(middle[0] >= 0.6, "priority 1 on time: {middle:?}");
    assert!(low[0] >= 0.25, "priority 2 on time: {low:?}");
    assert!(low[2] <= 0.15, "priority 2 late: {low:?}");
}

//! Placement advice for queues whose policy allows only some endpoints.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::configuration::AdvicePolicy;
use fulmarpond_dispatch::entry::Answer;
use support::{Demand, EndpointFault, Fault, Options, Simulation};

const POLICY: AdvicePolicy = AdvicePolicy {
    decide_ms: 2,
    each_us: 200,
    valid_ms: 3_000,
};

const JOB: Demand = Demand {
    tasks: 3,
    ..Demand::SHORT_TASK
};

const LONG_JOB: Demand = Demand {
    run_ms: 600,
    cpu: 4_000,
    ..JOB
};

fn started_simulation(options: Options) -> Simulation {
    let mut sim = Simulation::new(options);
    sim.run_ms(1_000);
    sim
}

fn completed_count(sim: &Simulation, jobs: &[JobId]) -> usize {
    let replies = jobs.iter().filter_map(|job| sim.reply(job));
    replies
        .filter(|reply| reply.answer == Answer::Completed)
        .count()
}

/// Guards against starts without a valid ticket, which endpoints reject at a cost, and against
/// advice calls that make jobs late under moderate load.
#[test]
fn tasks_start_only_at_endpoints_allowed_by_the_policy() {
    let mut sim = started_simulation(Options {
        advice: Some(POLICY),
        ..Options::default()
    });
    let jobs: Vec<_> = (0..100).map(|n| sim.submit_at(n * 40, JOB)).collect();
    sim.run_ms(6_000);
    assert_eq!(sim.history.starts_without_ticket, 0);
    assert!(
        sim.on_time_share(&jobs) >= 0.99,
        "{}",
        sim.on_time_share(&jobs)
    );
    assert_eq!(sim.history.violations, Vec::<String>::new());
}

struct Case {
    name: &'static str,
    options: Options,
    fault: Option<Fault>,
    /// The minimum share of the jobs that must be completed.
    min_completed: f64,
}

/// Guards against jobs that are never answered: the advice service refuses calls, tickets expire
/// before the tasks start, or the tickets are for an earlier incarnation of an endpoint.
#[test]
fn jobs_are_answered_when_advice_fails() {
    let policy = |valid_ms| Some(AdvicePolicy { valid_ms, ..POLICY });
    let cases = [
        Case {
            name: "advice service refuses calls",
            options: Options {
                advice: Some(POLICY),
                advice_busy: 30,
                ..Options::default()
            },
            fault: None,
            min_completed: 0.9,
        },
        Case {
            name: "tickets expire early",
            options: Options {
                advice: policy(40),
                timeout_ms: 20_000,
                ..Options::default()
            },
            fault: None,
            min_completed: 0.5,
        },
        Case {
            name: "endpoint restarts as a new incarnation",
            options: Options {
                advice: Some(POLICY),
                timeout_ms: 20_000,
                ..Options::default()
            },
            fault: Some(Fault::Endpoint(1, EndpointFault::Crashed, 300)),
            min_completed: 0.9,
        },
    ];
    for case in cases {
        let mut sim = started_simulation(case.options);
        let jobs: Vec<_> = (0..10).map(|n| sim.submit_at(n * 300, LONG_JOB)).collect();
        if let Some(fault) = case.fault {
            sim.fault_at(500, fault);
        }
        sim.run_ms(25_000);
        let share = completed_count(&sim, &jobs) as f64 / jobs.len() as f64;
        assert!(share >= case.min_completed, "{}: {share}", case.name);
        let answered = jobs.iter().filter(|job| sim.reply(job).is_some()).count();
        assert_eq!(answered, jobs.len(), "{}", case.name);
        assert_eq!(
            sim.history.violations,
            Vec::<String>::new(),
            "{}",
            case.name
        );
    }
}

/// Guards against a growing queue of advice calls in which callers wait until their deadline: a job
/// that the service cannot decide in time is refused immediately.
#[test]
fn jobs_beyond_the_advice_rate_are_refused_immediately() {
    let mut sim = started_simulation(Options {
        advice: Some(AdvicePolicy {
            decide_ms: 20,
            each_us: 0,
            valid_ms: 3_000,
        }),
        ..Options::default()
    });
    // 400 jobs per second; the two entries together get 100 decisions per second.
    let small = Demand {
        tasks: 1,
        cpu: 200,
        ..JOB
    };
    let jobs: Vec<_> = (0..800).map(|n| sim.submit_at(n * 5 / 2, small)).collect();
    sim.run_ms(5_000);
    let refused = jobs.iter().filter_map(|job| sim.reply(job));
    let late_refusals =
        refused.filter(|reply| matches!(reply.answer, Answer::NotRun { .. }) && reply.age_ms > 20);
    assert!(late_refusals.count() <= 8);
    assert!(completed_count(&sim, &jobs) >= 180);
}

/// Guards against a durable job that never runs after a takeover: tickets are not stored, so the
/// new owner has to request its own.
#[test]
fn durable_jobs_with_an_advice_policy_survive_the_loss_of_their_entry() {
    let mut sim = started_simulation(Options {
        advice: Some(POLICY),
        is_durable: true,
        ..Options::default()
    });
    for n in 0..20 {
        sim.submit_at(n * 30, LONG_JOB);
    }
    sim.fault_at(400, Fault::KillEntry(0));
    sim.run_ms(20_000);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
}

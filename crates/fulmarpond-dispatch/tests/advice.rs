//! Queues whose policy allows only some endpoints.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::{AdvicePolicy, Answer};
use support::{Demand, Fault, Options, Trouble, World};

const POLICY: AdvicePolicy = AdvicePolicy {
    decide_ms: 2,
    each_us: 200,
    valid_ms: 3_000,
};

const JOB: Demand = Demand {
    tasks: 3,
    ..Demand::PLAIN
};

const LONG: Demand = Demand {
    run_ms: 600,
    cpu: 4_000,
    ..JOB
};

fn started(options: Options) -> World {
    let mut world = World::new(options);
    world.run_ms(1_000);
    world
}

fn completed(world: &World, jobs: &[JobId]) -> usize {
    let replies = jobs.iter().filter_map(|job| world.reply(job));
    replies
        .filter(|reply| reply.answer == Answer::Completed)
        .count()
}

/// Guards against starts without a valid ticket, which have their price, and against a policy that
/// makes calm work late.
#[test]
fn tasks_start_only_where_the_policy_allows() {
    let mut world = started(Options {
        advice: Some(POLICY),
        ..Options::default()
    });
    let jobs: Vec<_> = (0..100).map(|n| world.submit_at(n * 40, JOB)).collect();
    world.run_ms(6_000);
    assert_eq!(world.history.rejected, 0);
    assert!(world.on_time(&jobs) >= 0.99, "{}", world.on_time(&jobs));
    assert_eq!(world.history.broken, Vec::<String>::new());
}

struct Case {
    name: &'static str,
    options: Options,
    fault: Option<Fault>,
    /// The least share of the jobs that are completed.
    least: f64,
}

/// Guards against jobs that wait for ever: for a busy service, with tickets that have lapsed, or
/// with tickets for an incarnation that is gone.
#[test]
fn jobs_end_although_advice_fails() {
    let policy = |valid_ms| Some(AdvicePolicy { valid_ms, ..POLICY });
    let cases = [
        Case {
            name: "busy service",
            options: Options {
                advice: Some(POLICY),
                advice_busy: 30,
                ..Options::default()
            },
            fault: None,
            least: 0.9,
        },
        Case {
            name: "tickets that lapse soon",
            options: Options {
                advice: policy(40),
                patience_ms: 20_000,
                ..Options::default()
            },
            fault: None,
            least: 0.5,
        },
        Case {
            name: "new incarnation",
            options: Options {
                advice: Some(POLICY),
                patience_ms: 20_000,
                ..Options::default()
            },
            fault: Some(Fault::Endpoint(1, Trouble::Gone, 300)),
            least: 0.9,
        },
    ];
    for case in cases {
        let mut world = started(case.options);
        let jobs: Vec<_> = (0..10).map(|n| world.submit_at(n * 300, LONG)).collect();
        if let Some(fault) = case.fault {
            world.fault_at(500, fault);
        }
        world.run_ms(25_000);
        let share = completed(&world, &jobs) as f64 / jobs.len() as f64;
        assert!(share >= case.least, "{}: {share}", case.name);
        let answered = jobs.iter().filter(|job| world.reply(job).is_some()).count();
        assert_eq!(answered, jobs.len(), "{}", case.name);
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against a queue of calls for advice that callers wait in until they leave: what the
/// service can't decide in time is refused at once.
#[test]
fn jobs_beyond_the_rate_of_advice_are_refused_at_once() {
    let mut world = started(Options {
        advice: Some(AdvicePolicy {
            decide_ms: 20,
            each_us: 0,
            valid_ms: 3_000,
        }),
        ..Options::default()
    });
    // 400 jobs a second; the two entries get 100 decisions a second.
    let small = Demand {
        tasks: 1,
        cpu: 200,
        ..JOB
    };
    let jobs: Vec<_> = (0..800)
        .map(|n| world.submit_at(n * 5 / 2, small))
        .collect();
    world.run_ms(5_000);
    let refused = jobs.iter().filter_map(|job| world.reply(job));
    let late =
        refused.filter(|reply| matches!(reply.answer, Answer::NotRun { .. }) && reply.age_ms > 20);
    assert!(late.count() <= 8);
    assert!(completed(&world, &jobs) >= 180);
}

/// Guards against a kept job whose new owner has no tickets.
#[test]
fn kept_jobs_with_a_policy_survive_their_entry() {
    let mut world = started(Options {
        advice: Some(POLICY),
        kept: true,
        ..Options::default()
    });
    for n in 0..20 {
        world.submit_at(n * 30, LONG);
    }
    world.fault_at(400, Fault::KillEntry(0));
    world.run_ms(20_000);
    world.check_kept();
    assert_eq!(world.history.broken, Vec::<String>::new());
}

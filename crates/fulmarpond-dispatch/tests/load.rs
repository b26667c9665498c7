//! Patterns of load, and what callers get under them.

mod support;

use fulmarpond_dispatch::entry::Answer;
use fulmarpond_dispatch::{JobId, Refusal};
use support::{Demand, Fault, Options, Trouble, World};

const CHECK: Demand = Demand {
    route: 1,
    tasks: 2,
    run_ms: 200,
    ..Demand::PLAIN
};

const PLATE: Demand = Demand {
    tasks: 4,
    ..Demand::PLAIN
};

/// Core-milliseconds of a job.
fn work(demand: Demand) -> f64 {
    f64::from(demand.cpu) / 1_000.0 * f64::from(demand.run_ms) * f64::from(demand.tasks)
}

/// Submits jobs of one kind for `length` milliseconds at a share of the capacity.
fn load(world: &mut World, demand: Demand, share: f64, length: u64) -> Vec<JobId> {
    let options = Options::default();
    let cores = f64::from(options.cpu) / 1_000.0 * options.agents as f64;
    let interval = work(demand) / (cores * share);
    let count = (length as f64 / interval) as u64;
    let at = |number: u64| (number as f64 * interval) as u64;
    (0..count)
        .map(|number| world.submit_at(at(number), demand))
        .collect()
}

struct Case {
    name: &'static str,
    demand: Demand,
    share: f64,
    trouble: Trouble,
    /// The least share of the jobs that must be on time.
    on_time: f64,
}

/// Guards against idle room: what fits is served on time, also while orders get lost.
#[test]
fn load_below_the_capacity_is_served_on_time() {
    let cases = [
        Case {
            name: "half load",
            demand: CHECK,
            share: 0.5,
            trouble: Trouble::None,
            on_time: 0.99,
        },
        Case {
            name: "four fifths",
            demand: CHECK,
            share: 0.8,
            trouble: Trouble::None,
            on_time: 0.95,
        },
        Case {
            name: "short tasks at four fifths",
            demand: PLATE,
            share: 0.8,
            trouble: Trouble::None,
            on_time: 0.95,
        },
        // A lost hold used to hide all ends at an endpoint for 350 ms.
        Case {
            name: "one order in twenty is late",
            demand: CHECK,
            share: 0.7,
            trouble: Trouble::LateOrders(5),
            on_time: 0.9,
        },
        Case {
            name: "one reply in twenty is lost",
            demand: CHECK,
            share: 0.7,
            trouble: Trouble::LostReplies(5),
            on_time: 0.9,
        },
    ];
    for case in cases {
        let mut world = World::new(Options::default());
        world.run_ms(500);
        for agent in 0..4 {
            world.fault_at(0, Fault::Endpoint(agent, case.trouble, 60_000));
        }
        let jobs = load(&mut world, case.demand, case.share, 5_000);
        world.run_ms(9_000);
        let share = world.on_time(&jobs);
        assert!(share >= case.on_time, "{}: {share} on time", case.name);
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against a fleet that starts more than it can finish: at twice the capacity it delivers
/// nine tenths of what its capacity allows, on time.
#[test]
fn twice_the_capacity_still_delivers_what_fits() {
    let mut world = World::new(Options::default());
    world.run_ms(500);
    let jobs = load(&mut world, CHECK, 2.0, 6_000);
    world.run_ms(10_000);
    let delivered = world.on_time(&jobs) * 2.0;
    assert!(delivered >= 0.9, "{delivered} of the capacity on time");
}

/// Guards against refusals that come late or do not say when to come back.
#[test]
fn refusals_come_at_once_and_say_when_to_return() {
    let mut world = World::new(Options::default());
    world.run_ms(500);
    let jobs = load(&mut world, CHECK, 2.0, 3_000);
    world.run_ms(6_000);
    let mut ages: Vec<u64> = Vec::new();
    for job in &jobs {
        let reply = world.reply(job).expect("an answer");
        if let Answer::NotRun { reason, retry } = reply.answer {
            assert_eq!(reason, Refusal::Overloaded);
            assert!(retry > 0);
            ages.push(reply.age_ms);
        }
    }
    ages.sort_unstable();
    assert!(!ages.is_empty(), "nothing was refused");
    // Nine of ten are refused on arrival; the others were called back from a queue.
    let usual = ages[ages.len() * 9 / 10];
    assert!(usual <= 20, "{usual} ms until a refusal");
}

/// Guards against a burst that leaves a queue behind: the load after it is served on time.
#[test]
fn burst_leaves_no_queue_behind() {
    let mut world = World::new(Options::default());
    world.run_ms(500);
    load(&mut world, CHECK, 1.6, 2_000);
    world.run_ms(2_500);
    let after = load(&mut world, CHECK, 0.6, 3_000);
    world.run_ms(7_000);
    let share = world.on_time(&after);
    assert!(share >= 0.95, "{share} on time after the burst");
}

//! Durable jobs that wait beside others that cannot be placed.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::JobStatus;
use support::{Demand, EndpointFault, Fault, Kind, Options, Simulation};

const COMMON: Kind = Kind {
    label: "common",
    run_factor: 1.0,
    size: 1.0,
};

/// The kind of the last endpoint, which is lost.
const RARE: Kind = Kind {
    label: "rare",
    ..COMMON
};

const LOST_ENDPOINT: usize = 3;

/// When the endpoint is lost, in milliseconds.
const LOSS_MS: u64 = 600;

/// When the jobs that any endpoint can run are submitted, in milliseconds.
const PLAIN_MS: u64 = 6_000;

const PLAIN_JOBS: usize = 60;

/// More of them than there is room for at once: all endpoints need 1.25 s for them.
const PLAIN_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    run_ms: 250,
    ..Demand::SHORT_TASK
};

/// Time in which a job with room starts, in milliseconds.
const START_MS: u64 = 3_000;

/// Time in which the work of all plain jobs is done, in milliseconds.
const WORK_MS: u64 = 1_500;

/// Jobs that cannot be placed once the endpoint is lost.
struct Stuck {
    name: &'static str,
    demand: Demand,
    count: u64,
    /// Time in which they are submitted, in milliseconds.
    within_ms: u64,
}

fn started_simulation() -> Simulation {
    let mut sim = Simulation::new(Options {
        entries: 3,
        is_durable: true,
        kinds: &[COMMON, COMMON, COMMON, RARE],
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

/// Guards against accepted jobs that never run, with all room free, because an entry goes through the
/// waiting jobs in their order and stops after some that cannot be placed.
#[test]
fn jobs_run_behind_others_that_cannot_be_placed() {
    let labelled = Demand {
        label: Some("rare"),
        ..Demand::SHORT_TASK
    };
    // The gang takes all endpoints.
    let gang = Demand {
        tasks: 8,
        cpu: 4_000,
        gang: true,
        ..Demand::SHORT_TASK
    };
    let cases = [
        Stuck {
            name: "an endpoint of their kind is lost",
            demand: labelled,
            count: 150,
            within_ms: 4_000,
        },
        Stuck {
            name: "thousands of them",
            demand: labelled,
            count: 4_000,
            within_ms: 4_000,
        },
        Stuck {
            name: "gangs that fit no more",
            demand: gang,
            count: 150,
            within_ms: 500,
        },
    ];
    for Stuck {
        name,
        demand,
        count,
        within_ms,
    } in cases
    {
        let mut sim = started_simulation();
        let stuck: Vec<JobId> = (0..count)
            .map(|number| sim.submit_at(number * within_ms / count, demand))
            .collect();
        let lost = Fault::Endpoint(LOST_ENDPOINT, EndpointFault::Crashed, 60_000);
        sim.fault_at(LOSS_MS, lost);
        let plain: Vec<JobId> = (0..PLAIN_JOBS)
            .map(|_| sim.submit_at(PLAIN_MS, PLAIN_JOB))
            .collect();
        sim.run_ms(PLAIN_MS + START_MS + WORK_MS);
        let is_open = |job: &&JobId| {
            let status = sim.status(job);
            status == JobStatus::Pending || status == JobStatus::Running
        };
        let waiting = stuck.iter().filter(is_open).count();
        assert!(
            waiting as u64 > count / 2,
            "{name}: only {waiting} jobs wait"
        );
        let unfinished = plain.iter().filter(is_open).count();
        assert_eq!(unfinished, 0, "{name}");
        assert_eq!(sim.history.violations, Vec::<String>::new(), "{name}");
    }
}

/// Guards against a step that does not start, with room for it, because the task of another step has
/// to wait.
#[test]
fn step_starts_beside_one_that_has_to_wait() {
    let mut sim = started_simulation();
    let filler = Demand {
        label: Some("rare"),
        cpu: 8_000,
        run_ms: 8_000,
        ..Demand::SHORT_TASK
    };
    sim.submit_at(0, filler);
    let job = sim.submit_at(
        500,
        Demand {
            label: Some("rare"),
            second_label: Some("common"),
            ..Demand::SHORT_TASK
        },
    );
    sim.run_ms(500 + START_MS);
    assert_eq!(sim.history.start_count(&job), 1);
    assert_eq!(sim.history.violations, Vec::<String>::new());
}

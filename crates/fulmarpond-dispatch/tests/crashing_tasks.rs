//! Tasks that crash each endpoint that starts them.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use proptest::prelude::*;
use support::{Demand, EndpointFault, Fault, Options, Simulation, proptest_config};

/// Time from the start of a task until it crashes its endpoint, in milliseconds.
const CRASH_AFTER_MS: u64 = 20;

const SHORT_JOB: Demand = Demand {
    route: 0,
    tasks: 8,
    cpu: 3_100,
    ..Demand::SHORT_TASK
};

const DEADLY_JOB: Demand = Demand {
    crash_after_ms: Some(CRASH_AFTER_MS),
    ..SHORT_JOB
};

const MEDIUM_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    cpu: 3_100,
    run_ms: 200,
    ..Demand::SHORT_TASK
};

const LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 4,
    cpu: 3_100,
    run_ms: 900,
    ..Demand::SHORT_TASK
};

/// Returns a simulation of eleven endpoints that has run for a second.
fn eleven_endpoints(seed: u64) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        entries: 4,
        agents: 11,
        cpu: 32_000,
        timeout_ms: 1_500,
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

/// The jobs of a load that uses seven tenths of eleven endpoints, by route.
struct Load {
    short: Vec<JobId>,
    medium: Vec<JobId>,
    long: Vec<JobId>,
}

/// Time from the beginning of a load until its first deadly job, in milliseconds.
const CALM_MS: u64 = 3_000;

/// Submits a load for `duration_ms` milliseconds. After [`CALM_MS`], one of `deadly_every` short jobs
/// is deadly; 0 for none.
fn submit_load(sim: &mut Simulation, duration_ms: u64, deadly_every: u64) -> Load {
    let mut load = Load {
        short: Vec::new(),
        medium: Vec::new(),
        long: Vec::new(),
    };
    for number in 0..duration_ms / 29 {
        let at = number * 29;
        let is_deadly = deadly_every > 0 && at >= CALM_MS && number % deadly_every == 0;
        if is_deadly {
            sim.submit_at(at, DEADLY_JOB);
        } else {
            load.short.push(sim.submit_at(at, SHORT_JOB));
        }
    }
    for number in 0..duration_ms / 10 {
        load.medium.push(sim.submit_at(number * 10, MEDIUM_JOB));
    }
    for number in 0..duration_ms / 160 {
        load.long.push(sim.submit_at(number * 160, LONG_JOB));
    }
    load
}

fn failed_jobs(sim: &Simulation, jobs: &[JobId]) -> usize {
    let failed = |id: &&JobId| {
        sim.reply(id)
            .is_some_and(|reply| reply.answer == Answer::Failed)
    };
    jobs.iter().filter(failed).count()
}

/// Guards against a task that is lost with its endpoint and placed again without being counted: it
/// crashed all endpoints, one after the other.
#[test]
fn a_task_that_crashes_endpoints_is_given_up_after_two() {
    for seed in 1..=5 {
        let mut sim = eleven_endpoints(seed);
        let load = submit_load(&mut sim, 6_000, 0);
        let deadly = sim.submit_at(2_000, DEADLY_JOB);
        sim.run_ms(8_000);
        let reply = sim.reply(&deadly).expect("an answer to the deadly job");
        assert_eq!(reply.answer, Answer::Failed, "seed {seed}");
        assert_eq!(sim.history.crash_count(), 2, "seed {seed}");
        assert!(reply.age_ms < 600, "seed {seed}: after {} ms", reply.age_ms);
        for jobs in [&load.short, &load.medium, &load.long] {
            assert_eq!(failed_jobs(&sim, jobs), 0, "seed {seed}");
        }
        assert_eq!(sim.history.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The seeds over which a storm is averaged, since single endpoints matter.
const STORM_SEEDS: [u64; 4] = [1, 2, 3, 4];

struct Storm {
    name: &'static str,
    /// One of this many short jobs is deadly.
    deadly_every: u64,
}

/// Guards against the loss of all routes to the tasks of one: each crash takes an endpoint away for
/// seconds, and everything that ran beside the task with it.
#[test]
fn other_routes_are_served_while_one_crashes_endpoints() {
    let storms = [
        Storm {
            name: "one in ten",
            deadly_every: 10,
        },
        Storm {
            name: "one in fifty",
            deadly_every: 50,
        },
    ];
    for storm in storms {
        let name = storm.name;
        let (mut medium, mut long) = (0.0, 0.0);
        for seed in STORM_SEEDS {
            let mut sim = eleven_endpoints(seed);
            let load = submit_load(&mut sim, 13_000, storm.deadly_every);
            sim.run_ms(15_000);
            medium += sim.on_time_share(&load.medium) / STORM_SEEDS.len() as f64;
            long += sim.on_time_share(&load.long) / STORM_SEEDS.len() as f64;
            for jobs in [&load.short, &load.medium, &load.long] {
                assert_eq!(failed_jobs(&sim, jobs), 0, "{name}, seed {seed}");
            }
            let violations = &sim.history.violations;
            assert_eq!(*violations, Vec::<String>::new(), "{name}, seed {seed}");
        }
        assert!(medium >= 0.9, "{name}: medium jobs on time: {medium}");
        assert!(long >= 0.9, "{name}: long jobs on time: {long}");
    }
}

/// Guards against a count of crashes that is lost with the entry: the caller sends the job again to
/// another entry, which must not begin anew.
#[test]
fn crashes_are_counted_across_entries() {
    for seed in 1..=6 {
        let mut sim = eleven_endpoints(seed);
        submit_load(&mut sim, 6_000, 0);
        let deadly = sim.submit_at(2_000, DEADLY_JOB);
        for entry in 0..4 {
            // The first crash is noticed by then, and the second has not happened yet.
            sim.fault_at(2_035, Fault::KillEntry(entry));
        }
        sim.run_ms(9_000);
        let crashes = sim.history.crash_count();
        assert!(crashes <= 3, "seed {seed}: {crashes} crashes");
        let answer = sim.reply(&deadly).map(|reply| reply.answer);
        let is_refused = matches!(answer, Some(Answer::NotRun { .. }));
        assert!(
            is_refused || answer == Some(Answer::Failed),
            "seed {seed}: {answer:?}"
        );
        assert_eq!(sim.history.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a durable job that crashes endpoint after endpoint across owners and epochs.
#[test]
fn durable_jobs_that_crash_endpoints_are_given_up() {
    for seed in 1..=6 {
        let mut sim = Simulation::with_store(seed);
        let deadly = sim.submit_at(100, DEADLY_JOB);
        sim.submit_at(120, MEDIUM_JOB);
        if seed % 2 == 0 {
            sim.fault_at(200, Fault::KillEntry(0));
            sim.fault_at(400, Fault::KillEntry(1));
        }
        sim.run_ms(30_000);
        let crashes = sim.history.crash_count();
        assert!((2..=3).contains(&crashes), "seed {seed}: {crashes} crashes");
        assert!(sim.history.accepted.contains(&deadly), "seed {seed}");
        assert_eq!(sim.history.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// How long jobs are submitted and faults occur in a random schedule, in milliseconds.
const TRAFFIC_MS: u64 = 7_000;

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::KillEntry),
        (0..2_usize).prop_map(Fault::PowerOffEntry),
        (0..2_usize, 50..3_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..5_usize).prop_map(Fault::KillAgent),
        (0..5_usize, 50..3_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..5_usize, 0..2_usize, 100..3_000_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
        (0..5_usize, 300..3_000_u64).prop_map(|(agent, ms)| Fault::Endpoint(
            agent,
            EndpointFault::Crashed,
            ms
        )),
        (0..5_usize, 5..40_u32, 300..3_000_u64).prop_map(|(agent, percent, ms)| {
            Fault::Endpoint(agent, EndpointFault::LostReplies(percent), ms)
        }),
        (0..5_usize, 1..1_500_u64, 0..2_000_u64)
            .prop_map(|(agent, down, late)| Fault::RestartEndpoint(agent, down, late)),
        (0..5_usize).prop_map(Fault::Drain),
    ]
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against tasks that go on crashing endpoints, innocent jobs that are given up, and
    /// broken guarantees, when endpoints crash for both reasons beside other faults.
    #[test]
    fn guarantees_hold_under_faults_beside_crashing_tasks(
        seed in any::<u64>(),
        crash_after_ms in 1..120_u64,
        deadly in proptest::collection::vec(0..TRAFFIC_MS, 1..6),
        faults in proptest::collection::vec((0..TRAFFIC_MS, any_fault()), 0..6),
    ) {
        let mut sim = Simulation::new(Options { seed, agents: 5, cpu: 16_000, ..Options::default() });
        sim.run_ms(500);
        let mut sound = Vec::new();
        for at in (0..TRAFFIC_MS).step_by(60) {
            sound.push(sim.submit_at(at, Demand { tasks: 4, cpu: 1_000, ..SHORT_JOB }));
        }
        for at in (0..TRAFFIC_MS).step_by(200) {
            sound.push(sim.submit_at(at, MEDIUM_JOB));
        }
        for at in deadly {
            let demand = Demand { crash_after_ms: Some(crash_after_ms), run_ms: 200, ..SHORT_JOB };
            sim.submit_at(at, demand);
        }
        for (at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(TRAFFIC_MS + 8_000);
        sim.history.check_refusals();
        prop_assert_eq!(failed_jobs(&sim, &sound), 0);
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

/// Guards against a task that goes on crashing endpoints because its start is never answered: such a
/// start says little, as the endpoint may have been down before, but a third one must not.
#[test]
fn a_task_that_crashes_endpoints_at_once_is_given_up() {
    for seed in 1..=6 {
        let mut sim = eleven_endpoints(seed);
        let load = submit_load(&mut sim, 6_000, 0);
        let demand = Demand {
            crash_after_ms: Some(0),
            ..SHORT_JOB
        };
        let deadly = sim.submit_at(2_000, demand);
        sim.run_ms(8_000);
        let reply = sim.reply(&deadly).expect("an answer to the deadly job");
        assert_eq!(reply.answer, Answer::Failed, "seed {seed}");
        let crashes = sim.history.crash_count();
        assert!((2..=3).contains(&crashes), "seed {seed}: {crashes} crashes");
        for jobs in [&load.short, &load.medium, &load.long] {
            assert_eq!(failed_jobs(&sim, jobs), 0, "seed {seed}");
        }
        assert_eq!(sim.history.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a job that is given up although one endpoint has crashed under it: the next start of
/// its task is refused, because the endpoint has been down for a while and nobody has noticed.
#[test]
fn a_refused_start_is_no_crash_under_a_task() {
    for seed in 1..=6 {
        for age_ms in [2, 12, 40] {
            let mut sim = Simulation::new(Options {
                seed,
                agents: 6,
                timeout_ms: 1_500,
                ..Options::default()
            });
            sim.run_ms(1_000);
            // All endpoints have replied lately.
            for number in 0..60 {
                sim.submit_at(number, Demand::SHORT_TASK);
            }
            let sound = sim.submit_at(350, MEDIUM_JOB);
            sim.run_ms(351 + age_ms);
            let is_busy = |endpoint: &usize| !sim.endpoints[*endpoint].runs.is_empty();
            let (busy, idle): (Vec<usize>, Vec<usize>) = (0..6).partition(is_busy);
            let down = |endpoint| Fault::Endpoint(endpoint, EndpointFault::Crashed, 600);
            sim.fault_at(0, down(busy[0]));
            for &endpoint in &idle[1..] {
                sim.fault_at(4, down(endpoint));
            }
            sim.run_ms(4_000);
            let case = format!("seed {seed}, {age_ms} ms");
            assert_eq!(sim.history.violations, Vec::<String>::new(), "{case}");
            let answer = sim.reply(&sound).map(|reply| reply.answer);
            assert_eq!(answer, Some(Answer::Completed), "{case}");
        }
    }
}

/// Time between two crashes of many endpoints, in milliseconds.
const ROUND_MS: u64 = 3_500;

/// Guards against a job that is given up although at most one endpoint has crashed under it: when many
/// endpoints crash at one moment, its tasks are sent to others that are down and not known to be.
#[test]
fn sound_jobs_outlast_the_crash_of_many_endpoints() {
    const ENDPOINTS: usize = 24;
    for seed in 1..=12 {
        let mut sim = Simulation::new(Options {
            seed,
            entries: 4,
            agents: ENDPOINTS,
            cpu: 32_000,
            timeout_ms: 1_500,
            ..Options::default()
        });
        sim.run_ms(1_000);
        let load = submit_load(&mut sim, 4 * ROUND_MS, 0);
        for round in 0..4 {
            let at = 700 + round * ROUND_MS;
            // More than half of them, others in each round.
            for number in 0..ENDPOINTS * 11 / 20 {
                let endpoint = (number * 5 + seed as usize + round as usize) % ENDPOINTS;
                sim.fault_at(at, Fault::Endpoint(endpoint, EndpointFault::Crashed, 2_500));
            }
        }
        sim.run_ms(4 * ROUND_MS + 2_000);
        assert_eq!(sim.history.violations, Vec::<String>::new(), "seed {seed}");
        let failed = [&load.short, &load.medium, &load.long].map(|jobs| failed_jobs(&sim, jobs));
        assert_eq!(failed, [0; 3], "seed {seed}");
    }
}

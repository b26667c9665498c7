//! Single faults, each with the harm that it once did.

mod support;

use fulmarpond_dispatch::JobId;
use fulmarpond_dispatch::entry::Answer;
use support::{Demand, Fault, Options, Trouble, World};

const JOB: Demand = Demand {
    tasks: 4,
    ..Demand::PLAIN
};

const LONG: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 600,
    ..Demand::PLAIN
};

fn steady(world: &mut World, from: u64, until: u64) -> Vec<JobId> {
    let times = (from..until).step_by(40);
    times.map(|at| world.submit_at(at, JOB)).collect()
}

fn started() -> World {
    let mut world = World::new(Options::default());
    world.run_ms(500);
    world
}

/// Guards against waiting for a start that never gets its reply.
#[test]
fn unanswered_start_is_tried_again_within_its_objective() {
    let mut world = started();
    for agent in 0..4 {
        world.fault_at(0, Fault::Endpoint(agent, Trouble::LateOrders(20), 60_000));
    }
    let jobs: Vec<_> = (0..40)
        .map(|n| world.submit_at(10 + n * 100, LONG))
        .collect();
    world.run_ms(9_000);
    assert!(world.on_time(&jobs) >= 0.95, "{}", world.on_time(&jobs));
    assert_eq!(world.history.broken, Vec::<String>::new());
}

struct Loss {
    name: &'static str,
    fault: Fault,
    /// When service has to be as before, in milliseconds after the fault.
    back: u64,
}

/// The interval of jobs that measure when service is as before, in milliseconds.
const PROBE_MS: u64 = 20;

/// Returns after what time all jobs were served in time again, in milliseconds after the faults.
fn recovery_ms(seed: u64, faults: &[Fault]) -> u64 {
    let mut world = World::new(Options {
        seed,
        ..Options::default()
    });
    world.run_ms(500);
    for &fault in faults {
        world.fault_at(0, fault);
    }
    let times = (0..6_000).step_by(PROBE_MS as usize);
    let jobs: Vec<_> = times.map(|at| (at, world.submit_at(at, JOB))).collect();
    world.run_ms(16_000);
    assert_eq!(world.history.broken, Vec::<String>::new());
    let in_time = |job: &JobId| world.on_time(std::slice::from_ref(job)) == 1.0;
    let mut jobs = jobs.iter();
    let late = jobs.rfind(|(_, job)| !in_time(job));
    late.map_or(0, |(at, _)| at + PROBE_MS)
}

/// Guards against a fleet that does not serve as before after the loss of a zone or of all power.
///
/// `--nocapture` prints the times.
#[test]
fn service_returns_after_larger_losses() {
    let host = |agent| {
        let crash = Fault::Endpoint(agent, Trouble::Gone, 2_000);
        [Fault::KillAgent(agent), crash]
    };
    let zone: Vec<Fault> = [0, 2].into_iter().flat_map(host).collect();
    let zone = [vec![Fault::PowerOffEntry(0)], zone].concat();
    let all: Vec<Fault> = (0..4).flat_map(host).collect();
    let all = [vec![Fault::PowerOffEntry(0), Fault::PowerOffEntry(1)], all].concat();
    // The platform's bound is 12 s after the machines are back, which takes 2 s here.
    let losses = [
        ("one entry", vec![Fault::KillEntry(0)], 1_500),
        ("one agent", vec![Fault::KillAgent(1)], 2_500),
        ("one host with its endpoint", host(1).to_vec(), 4_500),
        ("a zone", zone, 4_500),
        ("all power", all, 4_500),
    ];
    for (name, faults, bound) in losses {
        let times: Vec<u64> = (1..6).map(|seed| recovery_ms(seed, &faults)).collect();
        println!("{name}: {times:?} ms");
        assert!(
            times.iter().all(|&time| time <= bound),
            "{name}: {times:?} ms"
        );
    }
}

/// Guards against a slow return: service is as before soon after each kind of loss.
#[test]
fn service_returns_after_each_loss() {
    let losses = [
        Loss {
            name: "entry killed",
            fault: Fault::KillEntry(0),
            back: 1_500,
        },
        Loss {
            name: "entry without power",
            fault: Fault::PowerOffEntry(0),
            back: 1_500,
        },
        Loss {
            name: "entry paused",
            fault: Fault::PauseEntry(0, 1_000),
            back: 1_500,
        },
        Loss {
            name: "agent killed",
            fault: Fault::KillAgent(1),
            back: 2_500,
        },
        Loss {
            name: "agent paused",
            fault: Fault::PauseAgent(1, 1_000),
            back: 1_500,
        },
        Loss {
            name: "link silent",
            fault: Fault::Silence(1, 0),
            back: 1_000,
        },
        Loss {
            name: "endpoint hangs",
            fault: Fault::Endpoint(1, Trouble::Hang, 6_000),
            back: 2_000,
        },
        Loss {
            name: "endpoint fails all",
            fault: Fault::Endpoint(1, Trouble::Fail, 6_000),
            back: 2_000,
        },
        Loss {
            name: "endpoint slow",
            fault: Fault::Endpoint(1, Trouble::Slow(7), 6_000),
            back: 2_000,
        },
        Loss {
            name: "endpoint silent",
            fault: Fault::Endpoint(1, Trouble::Silent, 6_000),
            back: 2_000,
        },
        Loss {
            name: "endpoint crashed",
            fault: Fault::Endpoint(1, Trouble::Gone, 1_000),
            back: 1_500,
        },
        Loss {
            name: "endpoint leaves",
            fault: Fault::Drain(1),
            back: 1_000,
        },
    ];
    for loss in losses {
        let mut world = started();
        world.fault_at(0, loss.fault);
        steady(&mut world, 0, loss.back);
        let after = steady(&mut world, loss.back, loss.back + 2_000);
        world.run_ms(loss.back + 6_000);
        let share = world.on_time(&after);
        assert!(share >= 0.9, "{}: {share} on time", loss.name);
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", loss.name);
    }
}

/// Guards against a job that is run once more than its caller asks for while the first run goes
/// on: the entry that holds it dies, and the caller sends it again.
#[test]
fn job_of_a_killed_entry_is_answered_by_another() {
    let mut world = started();
    let jobs: Vec<_> = (0..20).map(|n| world.submit_at(n * 10, LONG)).collect();
    world.fault_at(250, Fault::KillEntry(0));
    world.run_ms(9_000);
    for job in jobs {
        let reply = world.reply(&job).expect("an answer");
        assert_eq!(reply.answer, Answer::Completed, "{job}");
    }
    assert_eq!(world.history.broken, Vec::<String>::new());
}

/// Guards against an agent that keeps trying a host without power: both entries return together
/// and are used at once.
#[test]
fn entries_without_power_are_linked_soon_after_their_return() {
    let mut world = started();
    world.fault_at(0, Fault::PowerOffEntry(0));
    world.fault_at(0, Fault::PowerOffEntry(1));
    // The stand-in starts a process again 800 ms after its loss.
    world.run_ms(1_300);
    assert!(world.is_ready(0) && world.is_ready(1));
}

/// Guards against a restarted agent that makes its endpoint's tasks run on: those of its
/// predecessor are stopped before anything is started.
#[test]
fn restarted_agent_stops_the_runs_of_its_predecessor() {
    let mut world = started();
    let jobs: Vec<_> = (0..8).map(|n| world.submit_at(n * 5, LONG)).collect();
    for agent in 0..4 {
        world.fault_at(200, Fault::KillAgent(agent));
    }
    world.run_ms(9_000);
    assert_eq!(world.history.broken, Vec::<String>::new());
    for job in jobs {
        assert!(world.reply(&job).is_some(), "{job} has no answer");
    }
}

/// Guards against tasks that wait for the limit of their run at an endpoint that stands still: the
/// endpoint tells no progress, and they run elsewhere a moment later.
#[test]
fn standing_runs_are_noticed_by_their_progress() {
    let mut world = started();
    world.fault_at(0, Fault::Endpoint(1, Trouble::Hang, 20_000));
    let jobs: Vec<_> = (0..20)
        .map(|n| world.submit_at(10 + n * 50, LONG))
        .collect();
    world.run_ms(9_000);
    for job in jobs {
        let reply = world.reply(&job).expect("an answer");
        assert_eq!(reply.answer, Answer::Completed, "{job}");
        // Two runs of at most 780 ms, and 250 ms until the first is noticed, stopped and replaced.
        assert!(reply.age_ms <= 1_810, "{job}: {} ms", reply.age_ms);
    }
    assert_eq!(world.history.broken, Vec::<String>::new());
}

/// Guards against a call that is repeated without a pause when its connection is reset: each new
/// connection has its price, and thousands a second were opened.
#[test]
fn calls_to_an_endpoint_that_resets_connections_are_paced() {
    for percent in [40, 100] {
        let mut world = started();
        world.fault_at(0, Fault::Endpoint(1, Trouble::Reset(percent), 4_000));
        steady(&mut world, 0, 3_000);
        world.run_ms(20);
        let before = world.endpoints[1].calls;
        world.run_ms(2_980);
        let calls = world.endpoints[1].calls - before;
        // An endpoint without trouble gets some 100 calls a second in this load.
        assert!(calls <= 900, "{percent} %: {calls} calls in 3 s");
        assert_eq!(world.history.broken, Vec::<String>::new());
    }
}

const SAVING: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 3_000,
    saves: true,
    ..Demand::PLAIN
};

struct Interruption {
    name: &'static str,
    fault: Fault,
    /// How long an interrupted task takes at most, in milliseconds.
    within: u64,
}

/// Guards against work that is done again although the task has saved it: an interrupted task goes
/// on from its checkpoint.
#[test]
fn interrupted_tasks_go_on_from_their_checkpoints() {
    // 3,000 ms of work, 200 ms of it not saved, 100 ms to restore, and the time until the loss is
    // noticed and the lost runs are over.
    let cases = [
        Interruption {
            name: "agent killed",
            fault: Fault::KillAgent(1),
            within: 3_300 + 1_400,
        },
        Interruption {
            name: "endpoint hangs",
            fault: Fault::Endpoint(1, Trouble::Hang, 1_000),
            within: 3_300 + 1_000,
        },
        Interruption {
            name: "endpoint gone",
            fault: Fault::Endpoint(1, Trouble::Gone, 10_000),
            within: 3_300 + 700,
        },
    ];
    for case in cases {
        let mut world = World::new(Options {
            patience_ms: 20_000,
            ..Options::default()
        });
        world.run_ms(500);
        let jobs: Vec<_> = (0..4).map(|_| world.submit_at(0, SAVING)).collect();
        world.fault_at(2_000, case.fault);
        world.run_ms(12_000);
        for job in jobs {
            let reply = world.reply(&job).expect("an answer");
            assert_eq!(reply.answer, Answer::Completed, "{}: {job}", case.name);
            let age = reply.age_ms;
            assert!(age <= case.within, "{}: {job} took {age} ms", case.name);
        }
        assert_eq!(world.history.broken, Vec::<String>::new(), "{}", case.name);
    }
}

//! Attempts of one best-effort job at entries that can't reach each other, beside breaks that only the
//! callers saw: cut zones, entries that the store does not announce, and deployments of many processes.

mod support;

use fulmarpond_dispatch::JobId;
use proptest::prelude::*;
use support::{
    AttemptFault, Demand, Departure, Fault, Options, PeerFault, Sides, Simulation, StoreFault,
    proptest_config, with_trace_log,
};

/// Runs longer than a caller waits before it sends the job again.
const LONG_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 2_500,
    best_effort: true,
    ..Demand::SHORT_TASK
};

/// Runs for 900 ms on average, and for 3,600 ms at most.
const SPREAD_JOB: Demand = Demand {
    run_ms: 900,
    max_run_ms: Some(3_600),
    ..LONG_JOB
};

/// Delay before a caller sends a job again, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// Time after the last fault until all attempts are over, in milliseconds.
const SETTLE_MS: u64 = 12_000;

/// How long jobs are submitted and faults occur in a random schedule, in milliseconds.
const TRAFFIC_MS: u64 = 6_000;

const ZONES: usize = 3;

fn started_simulation(seed: u64, entries: usize, agents: usize) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        entries,
        agents,
        is_durable: true,
        resend_ms: RESEND_MS,
        timeout_ms: 4_000,
        ..Options::default()
    });
    sim.run_ms(1_500);
    sim
}

/// Submits a job whose first attempt goes to entry `first` and the second one to entry `second`.
fn submit_by_turns(sim: &mut Simulation, at_ms: u64, first: usize, second: usize) -> JobId {
    let job = sim.submit_at(at_ms, LONG_JOB);
    sim.send_attempt_to(&job, 1, first);
    sim.send_attempt_to(&job, 2, second);
    job
}

/// Returns the faults that cut the processes of a zone off from the others for some time. Process
/// numbers take turns over the zones.
fn zone_cut(zone: usize, entries: usize, agents: usize, millis: u64) -> Vec<Fault> {
    let is_across = |one: usize, other: usize| (one % ZONES == zone) != (other % ZONES == zone);
    let mut faults = Vec::new();
    for entry in 0..entries {
        let later = (entry + 1..entries).filter(|&other| is_across(entry, other));
        faults.extend(later.map(|other| Fault::Peer(PeerFault::Block(entry, other, millis))));
        let beyond = (0..agents).filter(|&agent| is_across(entry, agent));
        faults.extend(beyond.map(|agent| Fault::BlockLinks(agent, entry, millis)));
    }
    faults
}

/// Guards against an attempt in each of two zones that are cut off from each other, while callers reach
/// both: no agent of one side sees the entries of the other.
#[test]
fn runs_do_not_overlap_if_a_zone_is_cut_off() {
    for (first, second) in [(0, 1), (1, 0)] {
        for cut_ms in [100, 700, 1_100, 1_500, 1_900, 2_300] {
            let mut sim = started_simulation(1, 3, 6);
            let job = submit_by_turns(&mut sim, 1_000, first, second);
            for fault in zone_cut(0, 3, 6, 5_000) {
                sim.fault_at(cut_ms, fault);
            }
            sim.break_connection_at(1_100_000, &job, Sides::Caller);
            with_trace_log(|| sim.run_ms(SETTLE_MS));
            let found = &sim.history.violations;
            assert!(found.is_empty(), "{first}, cut at {cut_ms} ms: {found:?}");
            assert!(sim.history.start_count(&job) >= 2);
        }
    }
}

/// Guards against an entry that knows of no other one, since it was started while the store does not
/// answer, or does not announce another one: nobody opens a link between the two.
#[test]
fn runs_do_not_overlap_if_entries_start_while_the_store_is_down() {
    for (killed, first, second) in [(0, 0, 1), (0, 1, 0), (1, 0, 1), (1, 1, 0)] {
        let mut sim = started_simulation(1, 2, 4);
        let down = StoreFault::Down {
            leases_expire: true,
        };
        sim.fault_at(0, Fault::Store(down, 14_000));
        sim.fault_at(100, Fault::KillEntry(killed));
        let job = submit_by_turns(&mut sim, 7_000, first, second);
        sim.break_connection_at(7_100_000, &job, Sides::Caller);
        with_trace_log(|| sim.run_ms(7_000 + SETTLE_MS));
        let found = &sim.history.violations;
        assert!(found.is_empty(), "{killed}, {first}, {second}: {found:?}");
        assert!(sim.history.start_count(&job) >= 2);
    }
}

struct CalmCase {
    name: &'static str,
    faults: &'static [(u64, Fault)],
}

/// Guards against long jobs that are ended for entries which can't start them: on calm days, beside an
/// entry that dies, is away or has just started, and beside links that are replaced at once.
#[test]
fn long_jobs_are_not_ended_for_entries_that_are_gone() {
    let cases = [
        CalmCase {
            name: "calm",
            faults: &[],
        },
        CalmCase {
            name: "killed entry",
            faults: &[(300, Fault::KillEntry(1)), (1_500, Fault::KillEntry(2))],
        },
        CalmCase {
            name: "entry without power",
            faults: &[(600, Fault::PowerOffEntry(1))],
        },
        CalmCase {
            name: "paused entry",
            faults: &[(700, Fault::PauseEntry(1, 2_000))],
        },
        CalmCase {
            name: "killed agent before a killed entry",
            faults: &[(0, Fault::KillAgent(5)), (2_000, Fault::KillEntry(2))],
        },
        CalmCase {
            name: "closed links between entries",
            faults: &[
                (800, Fault::Peer(PeerFault::Cut(0, 1))),
                (1_600, Fault::Peer(PeerFault::Cut(0, 2))),
            ],
        },
        CalmCase {
            name: "store down",
            faults: &[(
                0,
                Fault::Store(
                    StoreFault::Down {
                        leases_expire: true,
                    },
                    9_000,
                ),
            )],
        },
    ];
    for case in cases {
        let mut sim = started_simulation(1, 3, 6);
        for &(at, fault) in case.faults {
            sim.fault_at(at, fault);
        }
        let jobs: Vec<JobId> = (0..8)
            .map(|number| {
                let job = sim.submit_at(300 * number, LONG_JOB);
                sim.send_attempt_to(&job, 1, 0);
                job
            })
            .collect();
        with_trace_log(|| sim.run_ms(2_400 + SETTLE_MS));
        for job in jobs {
            let is_completed = sim.history.all_completed(&job, LONG_JOB.tasks);
            assert!(is_completed, "{}", case.name);
            // The endpoint of a killed agent goes on; only what it ran is started again.
            let lost = if case.name.starts_with("killed agent") {
                2
            } else {
                0
            };
            let starts = sim.history.start_count(&job);
            let expected = u32::from(LONG_JOB.tasks);
            assert!(
                (expected..=expected + lost).contains(&starts),
                "{}",
                case.name
            );
        }
    }
}

/// Guards against two attempts that look equally fresh: the network holds a request back until its caller
/// has left and sent the job again to another entry.
#[test]
fn runs_do_not_overlap_if_the_network_holds_a_request_back() {
    for delay_ms in [300, 900, 1_500, 1_600, 1_700, 1_800, 2_100] {
        let mut sim = started_simulation(1, 3, 6);
        let delay = AttemptFault::DelayRequests(0, delay_ms);
        sim.fault_at(0, Fault::Attempt(delay));
        let job = submit_by_turns(&mut sim, 100, 0, 1);
        sim.break_connection_at(200_000, &job, Sides::Caller);
        with_trace_log(|| sim.run_ms(SETTLE_MS));
        let found = &sim.history.violations;
        assert!(found.is_empty(), "{delay_ms} ms: {found:?}");
    }
}

/// Guards against tasks that start and are stopped at once, beside those of the next attempt: the network
/// holds a request and the end of its connection back, and delivers one a round trip after the other.
#[test]
fn runs_do_not_overlap_if_the_network_holds_a_connection_back() {
    let mut found = Vec::new();
    for delay_ms in [300, 900, 1_400, 1_500, 1_510, 1_600, 1_800] {
        for round_trip_ms in [0, 1, 5] {
            let mut sim = started_simulation(1, 3, 6);
            let departure = Departure::SeenAfter(round_trip_ms);
            let delay = AttemptFault::DelayConnections(0, delay_ms, departure);
            sim.fault_at(0, Fault::Attempt(delay));
            let job = submit_by_turns(&mut sim, 100, 0, 1);
            sim.break_connection_at(200_000, &job, Sides::Both);
            with_trace_log(|| sim.run_ms(SETTLE_MS));
            assert!(sim.history.start_count(&job) >= 2, "{delay_ms} ms");
            if !sim.history.violations.is_empty() {
                let violations = &sim.history.violations;
                found.push(format!("{delay_ms} ms, {round_trip_ms} ms: {violations:?}"));
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// A fault of a random schedule.
#[derive(Debug, Clone)]
enum Trouble {
    One(Fault),
    ZoneCut(usize, u64),
}

const GROWN_ENTRIES: usize = 8;

const GROWN_AGENTS: usize = 51;

fn any_trouble() -> impl Strategy<Value = Trouble> {
    let entry = 0..GROWN_ENTRIES;
    let agent = 0..GROWN_AGENTS;
    let pair = (entry.clone(), 1..GROWN_ENTRIES)
        .prop_map(|(one, step)| (one, (one + step) % GROWN_ENTRIES));
    let breaks = (entry.clone(), 20..=100_u32)
        .prop_map(|(entry, percent)| Fault::Attempt(AttemptFault::BreakCallers(entry, percent)));
    let peers = (pair, 200..6_000_u64)
        .prop_map(|((one, other), ms)| Fault::Peer(PeerFault::Block(one, other, ms)));
    let process = prop_oneof![
        entry.clone().prop_map(Fault::KillEntry),
        entry.clone().prop_map(Fault::PowerOffEntry),
        (entry.clone(), 50..3_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        agent.clone().prop_map(Fault::KillAgent),
        (agent.clone(), entry.clone(), 100..5_500_u64)
            .prop_map(|(agent, entry, ms)| Fault::BlockLinks(agent, entry, ms)),
    ];
    let store = prop_oneof![
        (1_000..9_000_u64).prop_map(|ms| {
            let down = StoreFault::Down {
                leases_expire: true,
            };
            Fault::Store(down, ms)
        }),
        (entry, 1_000..9_000_u64).prop_map(|(entry, ms)| Fault::StoreUnreachable(entry, ms, true)),
        (0..ZONES, 500..5_000_u64).prop_map(|(zone, ms)| Fault::Evacuate(zone, ms, false)),
    ];
    prop_oneof![
        3 => breaks.prop_map(Trouble::One),
        2 => peers.prop_map(Trouble::One),
        2 => process.prop_map(Trouble::One),
        1 => store.prop_map(Trouble::One),
        1 => (0..ZONES, 1_000..6_000_u64).prop_map(|(zone, ms)| Trouble::ZoneCut(zone, ms)),
    ]
}

fn play_grown(seed: u64, troubles: &[(u64, Trouble)]) -> Simulation {
    let mut sim = started_simulation(seed, GROWN_ENTRIES, GROWN_AGENTS);
    for at in (0..TRAFFIC_MS).step_by(40) {
        sim.submit_at(at, SPREAD_JOB);
    }
    for (at, trouble) in troubles {
        match *trouble {
            Trouble::One(fault) => sim.fault_at(*at, fault),
            Trouble::ZoneCut(zone, ms) => {
                for fault in zone_cut(zone, GROWN_ENTRIES, GROWN_AGENTS, ms) {
                    sim.fault_at(*at, fault);
                }
            }
        }
    }
    sim.run_ms(TRAFFIC_MS + SETTLE_MS);
    sim
}

proptest! {
    #![proptest_config(proptest_config(8))]

    /// Guards against overlapping runs of one task in a deployment of 8 entries and 51 agents in three
    /// zones: breaks that only callers see, beside entries, agents and zones that are cut off, processes
    /// that fail, and a store that is away.
    #[test]
    fn runs_do_not_overlap_in_a_grown_deployment(
        seed in any::<u64>(),
        troubles in proptest::collection::vec((0..TRAFFIC_MS, any_trouble()), 2..12),
    ) {
        let sim = with_trace_log(|| play_grown(seed, &troubles));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

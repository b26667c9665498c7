//! Days of a large deployment with the troubles of a record in which two tasks of one job ran twice at a
//! time: best-effort jobs beside entries that stop, are replaced or killed, agents that are linked to some
//! entries only, endpoints that answer with errors, evacuations, and callers that leave.

mod support;

use fulmarpond_dispatch::JobId;
use proptest::prelude::*;
use support::{
    AttemptFault, Demand, EndpointFault, Fault, Options, PeerFault, Sides, Simulation,
    proptest_config, with_trace_log,
};

const ENTRIES: usize = 8;

const AGENTS: usize = 51;

const ZONES: usize = 3;

/// Delay before a caller sends a job again, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// Time that most callers wait, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Time that a patient caller waits, in milliseconds.
const PATIENCE_MS: u64 = 5_000;

/// Bound for evacuations, in milliseconds.
const EVACUATION_MS: u64 = 5_000;

/// Grace period of a stopping entry, in milliseconds.
const GRACE_MS: u64 = 3_000;

/// Time after the last job until all attempts are over, in milliseconds.
const SETTLE_MS: u64 = 9_000;

/// How long jobs are submitted in a random schedule, in milliseconds.
const TRAFFIC_MS: u64 = 6_000;

/// Interval between jobs at a load that the endpoints can bear, and in a burst that they can't, in
/// milliseconds.
const CALM_INTERVAL_MS: usize = 25;
const BURST_INTERVAL_MS: usize = 4;

/// Length of a burst, in milliseconds.
const BURST_MS: u64 = 500;

const SHORT_JOB: Demand = Demand {
    route: 2,
    tasks: 8,
    run_ms: 60,
    best_effort: true,
    max_attempts: 4,
    ..Demand::SHORT_TASK
};

const MIDDLE_JOB: Demand = Demand {
    route: 1,
    tasks: 2,
    run_ms: 200,
    ..SHORT_JOB
};

const LONG_JOB: Demand = Demand {
    route: 0,
    tasks: 4,
    run_ms: 900,
    max_run_ms: Some(3_600),
    ..SHORT_JOB
};

const PATIENT_JOB: Demand = Demand {
    patience_ms: Some(PATIENCE_MS),
    ..LONG_JOB
};

/// A job of two tasks that run longer than a caller waits before it sends the job again.
const PAIR_JOB: Demand = Demand {
    tasks: 2,
    run_ms: 2_500,
    max_run_ms: None,
    patience_ms: Some(PATIENCE_MS),
    ..LONG_JOB
};

/// Demands of successive jobs.
const DEMANDS: [Demand; 8] = [
    SHORT_JOB,
    LONG_JOB,
    MIDDLE_JOB,
    SHORT_JOB,
    PATIENT_JOB,
    PATIENT_JOB,
    MIDDLE_JOB,
    SHORT_JOB,
];

fn options(seed: u64) -> Options {
    Options {
        seed,
        entries: ENTRIES,
        has_replacements: true,
        agents: AGENTS,
        zones: ZONES,
        cpu: 2_000,
        resend_ms: RESEND_MS,
        timeout_ms: TIMEOUT_MS,
        is_durable: true,
        evacuation_ms: Some(EVACUATION_MS),
        ..Options::default()
    }
}

/// Submits jobs of all kinds over some time.
fn submit_jobs(sim: &mut Simulation, begin_ms: u64, end_ms: u64, interval_ms: usize) {
    let times = (begin_ms..end_ms).step_by(interval_ms);
    for (at, demand) in times.zip(DEMANDS.iter().cycle()) {
        sim.submit_at(at, *demand);
    }
}

/// Faults at times in milliseconds.
type Timed = Vec<(u64, Fault)>;

/// Returns the faults of calls at every third endpoint from one on.
fn grey_endpoints(at: u64, first: usize, fault: EndpointFault, millis: u64) -> Timed {
    let endpoints = (first..AGENTS).step_by(ZONES + 1);
    endpoints
        .map(|agent| (at, Fault::Endpoint(agent, fault, millis)))
        .collect()
}

/// Returns the faults that close the links of an agent to entries from one on; they come back one by one.
fn partial_links(at: u64, agent: usize, first: usize, count: usize, back_ms: u64) -> Timed {
    let entries = (first..first + count).map(|entry| entry % ENTRIES);
    let closed = entries.zip(1..).map(|(entry, number)| {
        let fault = Fault::CloseLinks(agent, entry, number * back_ms);
        (at, fault)
    });
    closed.collect()
}

/// Returns the faults by which the store is silent for the entries of a zone.
fn store_silence(at: u64, zone: usize, millis: u64) -> Timed {
    let entries = (zone..ENTRIES).step_by(ZONES);
    entries
        .map(|entry| (at, Fault::StoreUnreachable(entry, millis, false)))
        .collect()
}

/// Returns the troubles of the record in their order. Entries 0, 3 and 6 are in the first zone, 1, 4 and 7
/// in the second one.
fn troubles_of_record() -> Timed {
    let leave = |at, entry| (at, Fault::Attempt(AttemptFault::LeaveEarly(entry, 25)));
    let break_off = |at, entry| (at, Fault::Attempt(AttemptFault::BreakCallers(entry, 40)));
    let mut faults = partial_links(500, 7, 7, 1, 1_000);
    faults.extend(grey_endpoints(900, 0, EndpointFault::Refuses(9), 4_000));
    faults.extend(grey_endpoints(900, 1, EndpointFault::Refuses(14), 4_000));
    faults.extend(grey_endpoints(1_200, 2, EndpointFault::Fail, 300));
    faults.extend([
        (1_000, Fault::HideRoutes(7, 500)),
        (1_100, Fault::HideRoutes(2, 300)),
        (1_300, Fault::Evacuate(0, 2_500, false)),
    ]);
    faults.extend(partial_links(2_230, 49, 0, 2, 700));
    faults.extend((0..ENTRIES).map(|entry| leave(1_500 + 310 * entry as u64, entry)));
    faults.extend((0..ENTRIES).map(|entry| break_off(1_650 + 310 * entry as u64, entry)));
    faults.extend([
        (4_400, Fault::HideRoutes(0, 300)),
        (4_470, Fault::HideRoutes(3, 500)),
        (5_800, Fault::HideRoutes(3, 200)),
        (6_000, Fault::DrainEntry(1, GRACE_MS, 400)),
        (6_900, Fault::DrainEntry(4, GRACE_MS, 400)),
        (7_800, Fault::DrainEntry(7, GRACE_MS, 400)),
        (8_000, Fault::KillEntryFor(5, 60)),
    ]);
    faults.extend((0..ENTRIES).map(|entry| break_off(7_000 + 190 * entry as u64, entry)));
    faults.extend([
        (9_500, Fault::KillAgent(19)),
        (12_400, Fault::KillAgent(15)),
    ]);
    faults.extend((0..ENTRIES).map(|entry| break_off(11_000 + 190 * entry as u64, entry)));
    faults.extend(store_silence(13_500, 0, 363));
    faults
}

fn play_record(seed: u64) -> Simulation {
    let mut sim = Simulation::new(options(seed));
    // Some agents find only some entries at the start.
    for agent in (0..AGENTS).step_by(5) {
        for (at, fault) in partial_links(0, agent, agent, 3, 600) {
            sim.fault_at(at, fault);
        }
    }
    sim.run_ms(1_500);
    submit_jobs(&mut sim, 0, 14_500, CALM_INTERVAL_MS);
    for at in [1_300, 2_600, 3_900, 9_000] {
        submit_jobs(&mut sim, at, at + BURST_MS, BURST_INTERVAL_MS);
    }
    for (at, fault) in troubles_of_record() {
        sim.fault_at(at, fault);
    }
    sim.run_ms(14_500 + SETTLE_MS);
    sim
}

/// Guards against overlapping runs beside the troubles of the record in their order.
#[test]
fn runs_do_not_overlap_on_the_day_of_the_record() {
    let sim = with_trace_log(|| play_record(1));
    let found = &sim.history.violations;
    assert!(found.is_empty(), "{found:?}");
    assert!(sim.history.completed > 200, "{}", sim.history.completed);
}

/// Callers of one or several entries that leave, seen by the entry or not.
fn any_attempt_trouble() -> impl Strategy<Value = Timed> {
    let entries = (0..ENTRIES, 1..=ENTRIES, 0..300_u64);
    let kind = (20..=100_u32, 0..3_u32);
    (entries, kind).prop_map(|((first, count, apart_ms), (percent, kind))| {
        let entries = (first..first + count).zip(0..);
        let leave = |(entry, number): (usize, u64)| {
            let fault = if kind == 0 {
                AttemptFault::LeaveEarly(entry % ENTRIES, percent)
            } else {
                AttemptFault::BreakCallers(entry % ENTRIES, percent)
            };
            (number * apart_ms, Fault::Attempt(fault))
        };
        entries.map(leave).collect()
    })
}

/// An entry whose links to one or several others are closed, or blocked for some time.
fn any_peer_trouble() -> impl Strategy<Value = Timed> {
    (0..ENTRIES, 1..ENTRIES, 0..5_000_u64).prop_map(|(one, count, ms)| {
        let others = (1..=count).map(|step| (one + step) % ENTRIES);
        let cut = |other| {
            if ms < 200 {
                PeerFault::Cut(one, other)
            } else {
                PeerFault::Block(one, other, ms)
            }
        };
        others.map(|other| (0, Fault::Peer(cut(other)))).collect()
    })
}

fn any_entry_trouble() -> impl Strategy<Value = Timed> {
    let entry = 0..ENTRIES;
    let drains = (entry.clone(), 1..4_usize, 100..1_500_u64, 20..900_u64).prop_map(
        |(first, count, apart_ms, down_ms)| {
            let entries = (first..first + count).zip(0..);
            let drain = |(entry, number): (usize, u64)| {
                let fault = Fault::DrainEntry(entry % ENTRIES, GRACE_MS, down_ms);
                (number * apart_ms, fault)
            };
            entries.map(drain).collect()
        },
    );
    prop_oneof![
        2 => drains,
        2 => any_peer_trouble(),
        1 => (entry.clone(), 10..400_u64).prop_map(|(entry, ms)| vec![(0, Fault::KillEntryFor(entry, ms))]),
        1 => (entry, 50..2_500_u64).prop_map(|(entry, ms)| vec![(0, Fault::PauseEntry(entry, ms))]),
    ]
}

fn any_agent_trouble() -> impl Strategy<Value = Timed> {
    let agent = 0..AGENTS;
    prop_oneof![
        3 => (agent.clone(), 0..ENTRIES, 1..=ENTRIES, 20..900_u64)
            .prop_map(|(agent, first, count, ms)| partial_links(0, agent, first, count, ms)),
        1 => (agent.clone(), 0..ENTRIES, 100..3_000_u64)
            .prop_map(|(agent, entry, ms)| vec![(0, Fault::BlockLinks(agent, entry, ms))]),
        1 => agent.clone().prop_map(|agent| vec![(0, Fault::KillAgent(agent))]),
        1 => (agent, 50..1_500_u64).prop_map(|(agent, ms)| vec![(0, Fault::PauseAgent(agent, ms))]),
    ]
}

fn any_endpoint_trouble() -> impl Strategy<Value = Timed> {
    let share = 5..20_u32;
    let fault = prop_oneof![
        share.clone().prop_map(EndpointFault::Refuses),
        share.clone().prop_map(EndpointFault::DelayedCalls),
        share.clone().prop_map(EndpointFault::LostReplies),
        share.prop_map(EndpointFault::Reset),
        Just(EndpointFault::CrashAfter(1)),
    ];
    let grey = (0..ZONES, fault, 500..4_000_u64)
        .prop_map(|(first, fault, ms)| grey_endpoints(0, first, fault, ms));
    let flaps = (0..AGENTS, 2..6_u64, 50..600_u64, 50..400_u64).prop_map(
        |(agent, count, up_ms, down_ms)| {
            let flap = |number| {
                let fault = Fault::Endpoint(agent, EndpointFault::Crashed, down_ms);
                (number * (up_ms + down_ms), fault)
            };
            (0..count).map(flap).collect()
        },
    );
    prop_oneof![3 => grey, 1 => flaps]
}

fn any_platform_trouble() -> impl Strategy<Value = Timed> {
    let routes = (0..ENTRIES, 1..=ENTRIES, 0..200_u64, 100..900_u64).prop_map(
        |(first, count, apart_ms, ms)| {
            let entries = (first..first + count).zip(0..);
            let hide = |(entry, number): (usize, u64)| {
                let fault = Fault::HideRoutes(entry % ENTRIES, ms + number * 70);
                (number * apart_ms, fault)
            };
            entries.map(hide).collect()
        },
    );
    prop_oneof![
        routes,
        (0..ZONES, 500..4_000_u64)
            .prop_map(|(zone, ms)| vec![(0, Fault::Evacuate(zone, ms, false))]),
        (0..ZONES, 200..7_000_u64).prop_map(|(zone, ms)| store_silence(0, zone, ms)),
    ]
}

/// A second process of an entry that starts under its name, beside the first one.
fn any_replacement() -> impl Strategy<Value = Timed> {
    (0..ENTRIES, 0..2_000_u64)
        .prop_map(|(entry, overlap_ms)| vec![(0, Fault::ReplaceEntry(entry, overlap_ms, GRACE_MS))])
}

/// Requests that wait where their entry does or doesn't see it, with the end of the connection right behind.
fn any_held_requests() -> impl Strategy<Value = Timed> {
    let held = (0..ENTRIES, 100..2_500_u64, 0..=10_u64);
    held.prop_map(|(entry, ms, end_ms)| {
        let fault = AttemptFault::DelayToEnd(entry, ms, end_ms);
        vec![(0, Fault::Attempt(fault))]
    })
}

fn any_trouble() -> impl Strategy<Value = (u64, Timed)> {
    let trouble = prop_oneof![
        3 => any_attempt_trouble().boxed(),
        2 => any_entry_trouble().boxed(),
        2 => any_agent_trouble().boxed(),
        2 => any_endpoint_trouble().boxed(),
        1 => any_platform_trouble().boxed(),
    ];
    (0..TRAFFIC_MS, trouble)
}

fn play_day(options: Options, burst_ms: u64, troubles: &[(u64, Timed)]) -> Simulation {
    let mut sim = Simulation::new(options);
    sim.run_ms(1_500);
    submit_jobs(&mut sim, 0, TRAFFIC_MS, CALM_INTERVAL_MS);
    submit_jobs(&mut sim, burst_ms, burst_ms + BURST_MS, BURST_INTERVAL_MS);
    for (begin, faults) in troubles {
        for (at, fault) in faults {
            sim.fault_at(begin + at, *fault);
        }
    }
    sim.run_ms(TRAFFIC_MS + SETTLE_MS);
    sim
}

proptest! {
    #![proptest_config(proptest_config(4))]

    /// Guards against overlapping runs on days with all troubles of the record in any order, but for held
    /// back requests and replaced entries.
    #[test]
    fn runs_do_not_overlap_on_random_days(
        seed in any::<u64>(),
        burst_ms in 0..TRAFFIC_MS,
        troubles in proptest::collection::vec(any_trouble(), 4..16),
    ) {
        let sim = with_trace_log(|| play_day(options(seed), burst_ms, &troubles));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against the same beside entries that start while an earlier process of their name still has
    /// callers and runs.
    #[test]
    fn runs_do_not_overlap_beside_replaced_entries(
        seed in any::<u64>(),
        burst_ms in 0..TRAFFIC_MS,
        mut troubles in proptest::collection::vec(any_trouble(), 2..10),
        replaced in proptest::collection::vec((0..TRAFFIC_MS, any_replacement()), 1..4),
    ) {
        troubles.extend(replaced);
        let sim = with_trace_log(|| play_day(options(seed), burst_ms, &troubles));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against the same beside requests that the network holds back.
    #[test]
    fn runs_do_not_overlap_beside_held_back_requests(
        seed in any::<u64>(),
        burst_ms in 0..TRAFFIC_MS,
        mut troubles in proptest::collection::vec(any_trouble(), 2..10),
        held in proptest::collection::vec((0..TRAFFIC_MS, any_held_requests()), 1..4),
    ) {
        troubles.extend(held);
        let sim = with_trace_log(|| play_day(options(seed), burst_ms, &troubles));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

fn started_simulation(options: Options) -> Simulation {
    let mut sim = Simulation::new(Options {
        entries: 3,
        agents: 6,
        cpu: 8_000,
        ..options
    });
    sim.run_ms(1_500);
    sim
}

/// Submits a job of two tasks whose first attempts go to two entries.
fn submit_pair(sim: &mut Simulation, at_ms: u64, first: usize, second: usize) -> JobId {
    let job = sim.submit_at(at_ms, PAIR_JOB);
    sim.send_attempt_to(&job, 1, first);
    sim.send_attempt_to(&job, 2, second);
    // Both attempts would otherwise be placed at the same agents, of which each starts a task once.
    for agent in (first % ZONES..6).step_by(ZONES) {
        sim.fault_at(at_ms + 100, Fault::Drain(agent));
    }
    job
}

/// Guards against a process that takes its own earlier one, which still stops, for itself: the caller of the
/// earlier process has left unseen, and sends its job to the new one.
#[test]
fn runs_do_not_overlap_if_an_entry_is_replaced_beside_itself() {
    for overlap_ms in [0, 500, 1_500] {
        let mut sim = started_simulation(options(1));
        let job = submit_pair(&mut sim, 100, 0, 3);
        sim.fault_at(300, Fault::ReplaceEntry(0, overlap_ms, 5_000));
        sim.break_connection_at(400_000, &job, Sides::Caller);
        with_trace_log(|| sim.run_ms(SETTLE_MS));
        let found = &sim.history.violations;
        assert!(found.is_empty(), "{overlap_ms} ms: {found:?}");
        assert!(sim.history.start_count(&job) > u32::from(PAIR_JOB.tasks));
    }
}

/// Guards against two processes of one name at a third entry, which gets the second attempt: the list of the
/// new process must not replace that of the one that stops.
#[test]
fn runs_do_not_overlap_beside_two_processes_of_one_name() {
    for overlap_ms in [0, 500, 1_500] {
        for replaced_ms in [300, 900, 1_400] {
            let mut sim = started_simulation(options(1));
            let job = submit_pair(&mut sim, 100, 0, 1);
            sim.fault_at(replaced_ms, Fault::ReplaceEntry(0, overlap_ms, 5_000));
            sim.break_connection_at(400_000, &job, Sides::Caller);
            with_trace_log(|| sim.run_ms(SETTLE_MS));
            let found = &sim.history.violations;
            assert!(
                found.is_empty(),
                "{replaced_ms}, {overlap_ms} ms: {found:?}"
            );
            assert!(sim.history.start_count(&job) > u32::from(PAIR_JOB.tasks));
        }
    }
}

/// Guards against a stopping entry that is no longer counted among those that may run a job.
#[test]
fn runs_do_not_overlap_beside_a_stopping_entry() {
    for stopped_ms in [50, 300, 900, 1_400] {
        for grace_ms in [1_500, 3_000, 5_000] {
            let mut sim = started_simulation(options(1));
            let job = submit_pair(&mut sim, 100, 0, 1);
            sim.fault_at(stopped_ms, Fault::DrainEntry(0, grace_ms, 100));
            sim.break_connection_at(400_000, &job, Sides::Caller);
            with_trace_log(|| sim.run_ms(SETTLE_MS));
            let found = &sim.history.violations;
            assert!(found.is_empty(), "{stopped_ms}, {grace_ms} ms: {found:?}");
            assert!(sim.history.start_count(&job) > u32::from(PAIR_JOB.tasks));
        }
    }
}

/// Guards against two attempts that look equally fresh: the network holds a request back until its caller has
/// left and sent the job to another entry, and the end of its connection arrives right behind it.
#[test]
fn runs_do_not_overlap_if_a_held_back_request_ends_at_once() {
    for released_ms in [
        1_100, 1_300, 1_450, 1_499, 1_500, 1_501, 1_550, 1_700, 1_900,
    ] {
        for end_ms in [0, 2, 5, 10] {
            let mut sim = started_simulation(options(1));
            let delay = AttemptFault::DelayToEnd(0, released_ms, end_ms);
            sim.fault_at(0, Fault::Attempt(delay));
            let job = submit_pair(&mut sim, 100, 0, 1);
            sim.break_connection_at(200_000, &job, Sides::Both);
            with_trace_log(|| sim.run_ms(SETTLE_MS));
            let found = &sim.history.violations;
            assert!(found.is_empty(), "{released_ms}, {end_ms} ms: {found:?}");
        }
    }
}

/// Guards against a start that is taken for not carried out, since its reply has a status that the platform
/// does not define for it, while the run has begun.
#[test]
fn runs_do_not_overlap_after_replies_with_an_undefined_status() {
    let mut sim = started_simulation(options(1));
    let odd = EndpointFault::OddReplies(30);
    sim.fault_at(0, Fault::Endpoint(0, odd, 2_000));
    for at in (100..2_000).step_by(100) {
        sim.submit_at(at, LONG_JOB);
    }
    with_trace_log(|| sim.run_ms(SETTLE_MS));
    let found = &sim.history.violations;
    assert!(found.is_empty(), "{found:?}");
}

/// Guards against a run that is taken for over since its endpoint lists it no longer, though it has not
/// listed its end: the next attempt at another entry starts while the run is still being stopped.
#[test]
fn runs_do_not_overlap_if_stopped_runs_are_not_listed() {
    for seed in 1..=8 {
        let mut sim = started_simulation(Options {
            unlists_stopped: true,
            ..options(seed)
        });
        let job = submit_pair(&mut sim, 100, 0, 1);
        sim.break_connection_at(400_000, &job, Sides::Caller);
        with_trace_log(|| sim.run_ms(SETTLE_MS));
        let found = &sim.history.violations;
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

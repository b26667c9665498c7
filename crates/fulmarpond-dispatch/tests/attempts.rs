//! Attempts of one best-effort job that meet: the connection of its caller broke, and the job is sent
//! again through another entry while the first attempt may go on.

mod support;

use fulmarpond_dispatch::JobId;
use proptest::prelude::*;
use support::{
    AgentEffect, AttemptFault, Demand, Departure, EntryEffect, Fault, Options, PeerFault, Sides,
    Simulation, Stall, proptest_config, with_trace_log,
};

/// Runs longer than a caller waits before it sends the job again.
const LONG_JOB: Demand = Demand {
    route: 2,
    run_ms: 3_000,
    best_effort: true,
    ..Demand::SHORT_TASK
};

/// Runs for 900 ms on average, and for 3,600 ms at most.
const SPREAD_JOB: Demand = Demand {
    route: 2,
    tasks: 2,
    run_ms: 900,
    max_run_ms: Some(3_600),
    best_effort: true,
    ..Demand::SHORT_TASK
};

const SHORT_JOB: Demand = Demand {
    tasks: 3,
    best_effort: true,
    ..Demand::SHORT_TASK
};

/// Delay before a caller sends a job again, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// How long callers wait for an answer: longer than the resend delay, and longer than most runs, in
/// milliseconds.
const TIMEOUTS_MS: [u64; 2] = [1_500, 4_000];

/// How long jobs are submitted and faults occur, in milliseconds.
const TRAFFIC_MS: u64 = 9_000;

/// Time after the last submission until all attempts are over, in milliseconds.
const SETTLE_MS: u64 = 12_000;

fn started_simulation(seed: u64, timeout_ms: u64) -> Simulation {
    let mut sim = Simulation::new(Options {
        seed,
        entries: 3,
        is_durable: true,
        resend_ms: RESEND_MS,
        timeout_ms,
        ..Options::default()
    });
    sim.run_ms(1_000);
    sim
}

/// Submits a job whose first attempt goes to entry 0 and the second one to entry 1.
fn submit_by_turns(sim: &mut Simulation, at_ms: u64) -> JobId {
    let job = sim.submit_at(at_ms, LONG_JOB);
    sim.send_attempt_to(&job, 1, 0);
    sim.send_attempt_to(&job, 2, 1);
    job
}

/// The violations in each case that had any.
#[derive(Default)]
struct Violations(Vec<String>);

impl Violations {
    fn collect(&mut self, sim: &Simulation, case: &str) {
        if !sim.history.violations.is_empty() {
            let found = sim.history.violations.join("; ");
            self.0.push(format!("{case}: {found}"));
        }
    }
}

/// Plays all cases of a table, and checks that none has violations.
fn check_all<T>(cases: &[T], play: impl Fn(&T, &mut Violations)) {
    let mut found = Violations::default();
    with_trace_log(|| cases.iter().for_each(|case| play(case, &mut found)));
    assert!(found.0.is_empty(), "{:#?}", found.0);
}

struct Break {
    name: &'static str,
    sides: Sides,
    /// When the connection breaks, in milliseconds after the submission.
    after_ms: u64,
}

fn play_break(case: &Break, found: &mut Violations) {
    for timeout_ms in TIMEOUTS_MS {
        let mut sim = started_simulation(1, timeout_ms);
        let job = submit_by_turns(&mut sim, 0);
        sim.break_connection_at(case.after_ms * 1_000, &job, case.sides);
        sim.run_ms(SETTLE_MS);
        assert!(sim.history.start_count(&job) >= 2, "{}", case.name);
        found.collect(&sim, &format!("{}, timeout {timeout_ms} ms", case.name));
    }
}

/// Guards against runs that go on until the next attempt although their entry saw that the caller
/// left: before these, no run of a schedule outlived the resend.
#[test]
fn runs_of_a_caller_that_left_are_over_before_its_next_attempt() {
    let cases = [
        Break {
            name: "both sides see the break at once",
            sides: Sides::Both,
            after_ms: 10,
        },
        Break {
            name: "both sides see the break when the run has started",
            sides: Sides::Both,
            after_ms: 170,
        },
    ];
    check_all(&cases, play_break);
}

/// Guards against two runs of one task at a time when a connection breaks on the caller's side only:
/// its entry sees an open connection, goes on, and renews its leases.
#[test]
fn runs_do_not_overlap_if_only_the_caller_sees_the_break() {
    let cases = [
        Break {
            name: "break at once",
            sides: Sides::Caller,
            after_ms: 1,
        },
        Break {
            name: "break when the run has started",
            sides: Sides::Caller,
            after_ms: 170,
        },
    ];
    check_all(&cases, play_break);
}

struct LostPeer {
    name: &'static str,
    fault: PeerFault,
}

/// Guards against two runs of one task at a time when the entry of the next attempt has lost its link
/// to the entry of the first one, or does not hear from it, while only the caller saw the break.
#[test]
fn runs_do_not_overlap_if_entries_have_lost_each_other() {
    let cases = [
        LostPeer {
            name: "closed links",
            fault: PeerFault::Cut(0, 1),
        },
        LostPeer {
            name: "silent links",
            fault: PeerFault::Silence(0, 1),
        },
        LostPeer {
            name: "no links for a second",
            fault: PeerFault::Block(0, 1, 1_000),
        },
        LostPeer {
            name: "no links for six seconds",
            fault: PeerFault::Block(0, 1, 6_000),
        },
    ];
    check_all(&cases, |case, found| {
        for fault_ms in [100, 800, 1_000, 1_300, 1_700, 2_200] {
            let mut sim = started_simulation(1, TIMEOUTS_MS[1]);
            let job = submit_by_turns(&mut sim, 1_000);
            sim.fault_at(fault_ms, Fault::Peer(case.fault));
            sim.break_connection_at(1_100_000, &job, Sides::Caller);
            sim.run_ms(SETTLE_MS);
            assert!(sim.history.start_count(&job) >= 1, "{}", case.name);
            found.collect(&sim, &format!("{} at {fault_ms} ms", case.name));
        }
    });
}

struct LateRead {
    name: &'static str,
    fault: fn(u64, Departure) -> AttemptFault,
    departure: Departure,
}

/// Guards against two runs of one task at a time when an entry reads a request after the caller left
/// and has sent it again elsewhere.
#[test]
fn runs_do_not_overlap_if_a_request_is_read_after_its_caller_left() {
    let paused = |ms, departure| AttemptFault::PauseEntry(0, ms, departure);
    let listening = |ms, departure| AttemptFault::HoldRequests(0, ms, departure);
    let cases = [
        LateRead {
            name: "paused entry, departure never seen",
            fault: paused,
            departure: Departure::Unseen,
        },
        LateRead {
            name: "paused entry, departure seen at once",
            fault: paused,
            departure: Departure::SeenAfter(0),
        },
        LateRead {
            name: "paused entry, departure seen late",
            fault: paused,
            departure: Departure::SeenAfter(80),
        },
        LateRead {
            name: "entry whose links live, departure never seen",
            fault: listening,
            departure: Departure::Unseen,
        },
        LateRead {
            name: "entry whose links live, departure seen late",
            fault: listening,
            departure: Departure::SeenAfter(80),
        },
    ];
    check_all(&cases, play_late_read);
}

fn play_late_read(case: &LateRead, found: &mut Violations) {
    for timeout_ms in TIMEOUTS_MS {
        let mut sim = started_simulation(1, timeout_ms);
        let fault = (case.fault)(2_000, case.departure);
        sim.fault_at(0, Fault::Attempt(fault));
        let job = submit_by_turns(&mut sim, 100);
        sim.break_connection_at(200_000, &job, Sides::Both);
        sim.run_ms(SETTLE_MS);
        assert_eq!(sim.accept_queues.read_late, 1, "{}", case.name);
        found.collect(&sim, &format!("{}, timeout {timeout_ms} ms", case.name));
    }
}

/// Guards against two runs of one task at a time when two entries read its attempts within a
/// millisecond, so that neither can know of the other one.
#[test]
fn runs_do_not_overlap_if_two_entries_read_the_attempts_within_a_millisecond() {
    let play = |offset_us: &u64, found: &mut Violations| {
        let mut sim = started_simulation(1, TIMEOUTS_MS[1]);
        let held = AttemptFault::HoldRequests(0, 2_000, Departure::Unseen);
        sim.fault_at(0, Fault::Attempt(held));
        let job = submit_by_turns(&mut sim, 100);
        let break_us = (2_000 - RESEND_MS - 1) * 1_000 + *offset_us;
        sim.break_connection_at(break_us, &job, Sides::Caller);
        sim.run_ms(SETTLE_MS);
        assert_eq!(sim.accept_queues.read_late, 1, "offset {offset_us} us");
        found.collect(&sim, &format!("offset {offset_us} us"));
    };
    let offsets_us = [100, 700, 999, 1_000, 1_001, 1_300, 1_900];
    check_all(&offsets_us, play);
}

struct StallCase {
    name: &'static str,
    stalls: fn(u64) -> Vec<Stall>,
    /// When both sides see the connection break, in milliseconds after the submission.
    break_ms: u64,
}

/// Guards against two runs of one task at a time when a process is paused after a decision and
/// before its effect: an order, a call or a report that leaves late.
#[test]
fn runs_do_not_overlap_if_a_process_is_paused_before_an_effect() {
    let cases = [
        StallCase {
            name: "entry before an order",
            stalls: |ms| vec![Stall::Entry(0, EntryEffect::Order, ms)],
            break_ms: 10,
        },
        StallCase {
            name: "entry before the frames that stop the job",
            stalls: |ms| vec![Stall::Entry(0, EntryEffect::Stop, ms)],
            break_ms: 170,
        },
        StallCase {
            name: "agent before a start",
            stalls: |ms| at_all_agents(AgentEffect::Start, ms),
            break_ms: 10,
        },
        StallCase {
            name: "agent before a stop",
            stalls: |ms| at_all_agents(AgentEffect::Stop, ms),
            break_ms: 170,
        },
        StallCase {
            name: "agent before a report",
            stalls: |ms| at_all_agents(AgentEffect::Frame, ms),
            break_ms: 170,
        },
    ];
    check_all(&cases, play_stall);
}

fn at_all_agents(effect: AgentEffect, ms: u64) -> Vec<Stall> {
    (0..4)
        .map(|agent| Stall::Agent(agent, effect, ms))
        .collect()
}

fn play_stall(case: &StallCase, found: &mut Violations) {
    for stall_ms in [50, 300, 600, 1_250, 1_400, 2_500] {
        let mut sim = started_simulation(1, TIMEOUTS_MS[1]);
        for stall in (case.stalls)(stall_ms) {
            sim.fault_at(0, Fault::Stall(stall));
        }
        let job = submit_by_turns(&mut sim, 0);
        sim.break_connection_at(case.break_ms * 1_000, &job, Sides::Both);
        sim.run_ms(SETTLE_MS);
        assert!(sim.stalls.begun > 0, "{}", case.name);
        found.collect(&sim, &format!("{}, {stall_ms} ms", case.name));
    }
}

/// Guards against an answer that an entry sends late, after the caller has sent the job again: the
/// next attempt must not run beside the first one.
#[test]
fn runs_do_not_overlap_if_an_entry_is_paused_before_an_answer() {
    check_all(&TIMEOUTS_MS, |&timeout_ms, found| {
        for stall_ms in [50, 600, 1_400, 2_500, 5_000] {
            let mut sim = started_simulation(1, timeout_ms);
            let stall = Stall::Entry(0, EntryEffect::Answer, stall_ms);
            sim.fault_at(0, Fault::Stall(stall));
            submit_by_turns(&mut sim, 0);
            sim.run_ms(SETTLE_MS);
            assert_eq!(sim.stalls.begun, 1, "timeout {timeout_ms} ms");
            found.collect(&sim, &format!("timeout {timeout_ms} ms, {stall_ms} ms"));
        }
    });
}

fn any_departure() -> impl Strategy<Value = Departure> {
    prop_oneof![
        Just(Departure::Unseen),
        (0..400_u64).prop_map(Departure::SeenAfter),
    ]
}

fn any_stall() -> impl Strategy<Value = Stall> {
    let entry_effect = prop_oneof![
        Just(EntryEffect::Order),
        Just(EntryEffect::Answer),
        Just(EntryEffect::Stop),
        Just(EntryEffect::Frame),
    ];
    let agent_effect = prop_oneof![
        Just(AgentEffect::Start),
        Just(AgentEffect::Stop),
        Just(AgentEffect::Frame),
    ];
    prop_oneof![
        (0..3_usize, entry_effect, 20..3_000_u64)
            .prop_map(|(entry, effect, ms)| Stall::Entry(entry, effect, ms)),
        (0..4_usize, agent_effect, 20..3_000_u64)
            .prop_map(|(agent, effect, ms)| Stall::Agent(agent, effect, ms)),
    ]
}

fn any_process_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::KillEntry),
        (0..3_usize).prop_map(Fault::PowerOffEntry),
        (0..3_usize, 50..3_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..4_usize).prop_map(Fault::KillAgent),
        (0..4_usize, 50..3_000_u64).prop_map(|(agent, ms)| Fault::PauseAgent(agent, ms)),
        (0..4_usize, 0..3_usize).prop_map(|(agent, entry)| Fault::SilenceLinks(agent, entry)),
    ]
}

fn any_peer_fault() -> impl Strategy<Value = Fault> {
    let pair = || prop_oneof![Just((0_usize, 1_usize)), Just((0, 2)), Just((1, 2))];
    prop_oneof![
        pair().prop_map(|(one, other)| PeerFault::Cut(one, other)),
        pair().prop_map(|(one, other)| PeerFault::Silence(one, other)),
        (pair(), 50..4_000_u64).prop_map(|((one, other), ms)| PeerFault::Block(one, other, ms)),
    ]
    .prop_map(Fault::Peer)
}

fn any_break() -> impl Strategy<Value = Fault> {
    (0..3_usize, 20..=100_u32)
        .prop_map(|(entry, percent)| Fault::Attempt(AttemptFault::BreakCallers(entry, percent)))
}

fn any_late_read() -> impl Strategy<Value = Fault> {
    let pause = (0..3_usize, 50..3_000_u64, any_departure());
    let hold = (0..3_usize, 50..3_000_u64, any_departure());
    prop_oneof![
        pause.prop_map(|(entry, ms, seen)| AttemptFault::PauseEntry(entry, ms, seen)),
        hold.prop_map(|(entry, ms, seen)| AttemptFault::HoldRequests(entry, ms, seen)),
    ]
    .prop_map(Fault::Attempt)
}

/// A schedule of faults, with the times at which they begin in milliseconds.
type Schedule = Vec<(u64, Fault)>;

fn any_schedule(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = Schedule> {
    proptest::collection::vec((0..TRAFFIC_MS, fault), 1..9)
}

fn any_timeout() -> impl Strategy<Value = u64> {
    prop_oneof![Just(TIMEOUTS_MS[0]), Just(TIMEOUTS_MS[1])]
}

fn play_schedule(seed: u64, timeout_ms: u64, faults: &[(u64, Fault)]) -> Simulation {
    let mut sim = started_simulation(seed, timeout_ms);
    for at in (0..TRAFFIC_MS).step_by(80) {
        sim.submit_at(at, SHORT_JOB);
    }
    for at in (0..TRAFFIC_MS).step_by(150) {
        sim.submit_at(at, SPREAD_JOB);
    }
    for &(at, fault) in faults {
        sim.fault_at(at, fault);
    }
    sim.run_ms(TRAFFIC_MS + SETTLE_MS);
    sim.history.check_refusals();
    sim
}

proptest! {
    #![proptest_config(proptest_config(20))]

    /// Guards against overlapping runs of one task when processes fail beside runs that outlive the
    /// resend; all callers and entries see the same breaks.
    #[test]
    fn long_runs_do_not_overlap_under_random_faults(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(any_process_fault()),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against overlapping runs of one task when connections break on the side of callers
    /// only, at random times and beside failing processes.
    #[test]
    fn runs_do_not_overlap_under_random_breaks(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(prop_oneof![2 => any_break(), 1 => any_process_fault()]),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against overlapping runs of one task when entries read requests late, at random times
    /// and beside failing processes.
    #[test]
    fn runs_do_not_overlap_under_random_late_reads(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(prop_oneof![2 => any_late_read(), 1 => any_process_fault()]),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against overlapping runs of one task when processes are paused between a decision and
    /// its effect, at random times and beside failing processes.
    #[test]
    fn runs_do_not_overlap_under_random_stalls(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(prop_oneof![
            2 => any_stall().prop_map(Fault::Stall),
            1 => any_process_fault(),
        ]),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against overlapping runs of one task when connections break on the side of callers only
    /// while entries lose each other.
    #[test]
    fn runs_do_not_overlap_under_random_losses_of_entries(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(prop_oneof![2 => any_break(), 1 => any_peer_fault()]),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }

    /// Guards against overlapping runs of one task under any mix of these faults.
    #[test]
    fn runs_do_not_overlap_under_all_random_faults(
        seed in any::<u64>(),
        timeout_ms in any_timeout(),
        faults in any_schedule(prop_oneof![
            any_break(),
            any_late_read(),
            any_stall().prop_map(Fault::Stall),
            any_process_fault(),
        ]),
    ) {
        let sim = with_trace_log(|| play_schedule(seed, timeout_ms, &faults));
        prop_assert!(sim.history.violations.is_empty(), "{:?}", sim.history.violations);
    }
}

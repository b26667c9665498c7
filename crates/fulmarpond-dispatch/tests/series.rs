//! Series: jobs that run several times, each occurrence at its due time.

mod support;

use fulmarpond_dispatch::entry::JobStatus;
use proptest::prelude::*;
use support::{Demand, Fault, Regression, Simulation, StoreFault, proptest_config, with_trace_log};

/// Five occurrences at intervals of 800 ms, the first 1 s after the job is submitted.
const SERIES_JOB: Demand = Demand {
    tasks: 2,
    run_ms: 100,
    repetition: Some((5, 1_000, 800)),
    ..Demand::SHORT_TASK
};

/// Six occurrences that overlap: each runs longer than the interval.
const OVERLAPPING_SERIES_JOB: Demand = Demand {
    run_ms: 900,
    repetition: Some((6, 0, 300)),
    ..SERIES_JOB
};

/// Guards against occurrences that start early, late or not at all, and against a series that is
/// reported as running before its first occurrence or as completed before its last one.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut sim = Simulation::with_store(1);
    let job = sim.submit_at(0, SERIES_JOB);
    let overlapping_job = sim.submit_at(100, OVERLAPPING_SERIES_JOB);
    sim.run_ms(500);
    assert_eq!(sim.status(&job), JobStatus::Pending);
    sim.run_ms(1_500);
    assert_eq!(sim.status(&job), JobStatus::Running);
    sim.run_ms(8_000);
    assert_eq!(sim.status(&job), JobStatus::Completed);
    assert_eq!(sim.status(&overlapping_job), JobStatus::Completed);
    sim.check_durable_jobs();
    assert_eq!(sim.history.violations, Vec::<String>::new());
    // The platform's bound for credit is the objective; accepting a job takes up to 100 ms.
    assert!(
        sim.history.max_start_delay_ms <= 100,
        "an occurrence started {} ms late",
        sim.history.max_start_delay_ms
    );
}

/// Guards against occurrences that start after their series was cancelled because they are already
/// scheduled.
#[test]
fn cancelled_series_starts_no_further_occurrences() {
    let mut sim = Simulation::with_store(1);
    let job = sim.submit_at(0, SERIES_JOB);
    sim.run_ms(1_500);
    let starts_before = sim.history.start_count(&job);
    sim.cancel(&job);
    sim.run_ms(200);
    assert_eq!(sim.status(&job), JobStatus::Cancelled);
    sim.run_ms(6_000);
    assert_eq!(sim.history.start_count(&job), starts_before);
}

/// Two occurrences, the first 4 s after the job is submitted. They run longer than a cancellation takes to
/// stop them.
const LONG_SERIES_JOB: Demand = Demand {
    tasks: 1,
    cpu: 100,
    run_ms: 12_000,
    repetition: Some((2, DUE_MS, 800)),
    ..Demand::SHORT_TASK
};

/// Its first occurrence is due at once, and the others while its owner is being replaced.
const DUE_SERIES_JOB: Demand = Demand {
    tasks: 1,
    repetition: Some((30, 0, 500)),
    ..LONG_SERIES_JOB
};

/// How many series are cancelled beside their due time in a test.
const CANCELLED_SERIES: u64 = 60;

/// When they are due, in milliseconds.
const DUE_MS: u64 = 4_000;

/// The times of the cancellations, from 80 ms before the series are due to 250 ms after, or nearly at once.
const BESIDE_DUE_MS: (u64, u64) = (DUE_MS - 80, 330);
const IN_A_BURST_MS: (u64, u64) = (DUE_MS + 200, 10);

struct Cancellation {
    name: &'static str,
    /// The time of the first cancellation, and how long they take, in milliseconds.
    span: (u64, u64),
    /// The fault, and when it begins after the due time, in milliseconds.
    fault: Option<(u64, Fault)>,
}

/// Plays series that are cancelled through all entries within a span of time, and returns the violations and
/// the number of acknowledged cancellations.
fn play_cancellations(
    seed: u64,
    (first_ms, span_ms): (u64, u64),
    faults: &[(u64, Fault)],
) -> (Vec<String>, usize) {
    with_trace_log(|| {
        let mut sim = Simulation::with_store(seed);
        for number in 0..CANCELLED_SERIES {
            let job = sim.submit_at(0, LONG_SERIES_JOB);
            let entry = (number % 3) as usize;
            let at = first_ms + number * span_ms / CANCELLED_SERIES;
            sim.cancel_at_ms(at, &job, entry);
        }
        for &(at, fault) in faults {
            sim.fault_at(at, fault);
        }
        sim.run_ms(60_000);
        sim.check_durable_jobs();
        let acknowledged = sim.history.cancel_acked_at.len();
        (std::mem::take(&mut sim.history.violations), acknowledged)
    })
}

/// Guards against an occurrence that goes on, or begins again under its next owner, after the cancelling of
/// its series was acknowledged: it was not in the cache of the entry that cancelled the series, or its own
/// record was still open when that entry was lost.
#[test]
fn nothing_of_a_cancelled_series_starts_or_goes_on() {
    let cases = [
        Cancellation {
            name: "no fault",
            span: BESIDE_DUE_MS,
            fault: None,
        },
        Cancellation {
            name: "an entry is killed while the cancellations are written",
            span: IN_A_BURST_MS,
            fault: Some((250, Fault::KillEntry(0))),
        },
        Cancellation {
            name: "an entry loses its power while the cancellations are written",
            span: IN_A_BURST_MS,
            fault: Some((270, Fault::PowerOffEntry(1))),
        },
        Cancellation {
            name: "an entry stops while the cancellations are written",
            span: IN_A_BURST_MS,
            fault: Some((260, Fault::RestartEntry(2))),
        },
        Cancellation {
            name: "an entry is killed after the last acknowledgement",
            span: BESIDE_DUE_MS,
            fault: Some((300, Fault::KillEntry(0))),
        },
        Cancellation {
            name: "an entry is killed between the cancellations",
            span: BESIDE_DUE_MS,
            fault: Some((100, Fault::KillEntry(1))),
        },
        Cancellation {
            name: "an entry loses its power",
            span: BESIDE_DUE_MS,
            fault: Some((200, Fault::PowerOffEntry(2))),
        },
        Cancellation {
            name: "an entry stops gracefully",
            span: BESIDE_DUE_MS,
            fault: Some((60, Fault::RestartEntry(0))),
        },
        Cancellation {
            name: "an entry stands still",
            span: BESIDE_DUE_MS,
            fault: Some((20, Fault::PauseEntry(1, 900))),
        },
        Cancellation {
            name: "writes are carried out late",
            span: BESIDE_DUE_MS,
            fault: Some((0, Fault::Store(StoreFault::Late(40), 600))),
        },
        Cancellation {
            name: "replies to writes are lost",
            span: BESIDE_DUE_MS,
            fault: Some((0, Fault::Store(StoreFault::Lost(40), 600))),
        },
    ];
    let mut failures = Vec::new();
    for case in &cases {
        for seed in 1..=3 {
            let fault = case.fault.map(|(after, fault)| (DUE_MS + after, fault));
            let (violations, acknowledged) = play_cancellations(seed, case.span, fault.as_slice());
            assert!(acknowledged > 20, "{}: {acknowledged}", case.name);
            if let Some(first) = violations.first() {
                let count = violations.len();
                failures.push(format!("{}, seed {seed}: {count}, {first}", case.name));
            }
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}

/// Guards against regressions of a failure that random schedules found.
#[test]
fn cancelled_series_end_in_regression_schedules() {
    let case = Regression {
        cause: "the write that makes an entry the owner of an occurrence was under way when it heard that the \
                series was cancelled",
        seed: 3_326_115_031_071_679_081,
        faults: &[
            (3_700, Fault::Store(StoreFault::Late(44), 1_792)),
            (4_683, Fault::KillEntry(1)),
        ],
    };
    let (violations, _) = play_cancellations(case.seed, BESIDE_DUE_MS, case.faults);
    assert_eq!(violations, Vec::<String>::new(), "{}", case.cause);
}

/// Guards against occurrences that start under the next owner of a cancelled series: the entry that cancelled
/// it looked the job up, found the first occurrence under its id, and cancelled that one only.
#[test]
fn series_that_is_looked_up_is_cancelled_as_a_whole() {
    let mut failures = Vec::new();
    for seed in 1..=4 {
        for killed in 0..3 {
            let mut sim = Simulation::with_store(seed);
            for number in 0..30 {
                let job = sim.submit_at(number * 10, DUE_SERIES_JOB);
                sim.cancel_at_ms(number * 10 + 70, &job, (number % 3) as usize);
            }
            sim.fault_at(400, Fault::KillEntry(killed));
            sim.run_ms(40_000);
            sim.check_durable_jobs();
            assert!(sim.history.cancel_acked_at.len() > 15);
            if let Some(first) = sim.history.violations.first() {
                failures.push(format!("seed {seed}, entry {killed} is killed: {first}"));
            }
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::RestartEntry),
        (0..3_usize).prop_map(Fault::KillEntry),
        (0..3_usize).prop_map(Fault::PowerOffEntry),
        (0..3_usize, 50..8_000_u64).prop_map(|(entry, ms)| Fault::PauseEntry(entry, ms)),
        (0..3_usize, 300..9_000_u64, any::<bool>())
            .prop_map(|(entry, ms, revoke)| Fault::StoreUnreachable(entry, ms, revoke)),
        (10..60_u32, 300..4_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreFault::Lost(percent), ms)),
        (10..60_u32, 300..4_000_u64)
            .prop_map(|(percent, ms)| Fault::Store(StoreFault::Late(percent), ms)),
        (300..4_000_u64).prop_map(|ms| Fault::Store(
            StoreFault::Down {
                leases_expire: true
            },
            ms
        )),
        (0..4_usize).prop_map(Fault::KillAgent),
    ]
}

proptest! {
    #![proptest_config(proptest_config(24))]

    /// Guards against an occurrence that is lost or runs twice when another entry takes the series
    /// over, under random faults of the entries, the store and the agents.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((0..5_000_u64, any_fault()), 1..5),
    ) {
        let violations = with_trace_log(|| {
            let mut sim = Simulation::with_store(seed);
            for at in (0..3_000).step_by(500) {
                sim.submit_at(at, SERIES_JOB);
                sim.submit_at(at + 100, OVERLAPPING_SERIES_JOB);
            }
            for &(at, fault) in &faults {
                sim.fault_at(at, fault);
            }
            sim.run_ms(36_000);
            sim.check_durable_jobs();
            std::mem::take(&mut sim.history.violations)
        });
        prop_assert!(violations.is_empty(), "{violations:?}");
    }

    /// Guards against an occurrence that goes on after the cancelling of its series was acknowledged, under
    /// random faults beside the due time.
    #[test]
    fn cancelled_series_end_under_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((DUE_MS - 300..DUE_MS + 700, any_fault()), 1..4),
    ) {
        let (violations, _) = play_cancellations(seed, BESIDE_DUE_MS, &faults);
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}

//! Series: jobs that run several times, each occurrence at its due time.

mod support;

use fulmarpond_dispatch::entry::JobStatus;
use proptest::prelude::*;
use support::{Demand, Fault, Simulation, StoreFault, proptest_config, with_trace_log};

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

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
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
}

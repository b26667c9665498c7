//! The lease inequality that prevents two concurrent runs of one task.

use fulmarpond_dispatch::LeaseTimes;

struct Case {
    resend_ms: u64,
    hold_max_ms: u64,
    stop_ms: u64,
    /// Whether leases of the minimum length fit before the resend.
    is_valid: bool,
}

/// Guards against two concurrent runs of one task: a caller resends a job after a lost connection
/// while a lease of the first attempt still lets its runs continue.
#[test]
fn leases_expire_before_a_caller_resends() {
    let cases = [
        Case {
            resend_ms: 1_300,
            hold_max_ms: 1_000,
            stop_ms: 50,
            is_valid: true,
        },
        Case {
            resend_ms: 10_000,
            hold_max_ms: 1_000,
            stop_ms: 50,
            is_valid: true,
        },
        Case {
            resend_ms: 700,
            hold_max_ms: 1_000,
            stop_ms: 50,
            is_valid: true,
        },
        Case {
            resend_ms: 500,
            hold_max_ms: 1_000,
            stop_ms: 50,
            is_valid: false,
        },
        Case {
            resend_ms: 100,
            hold_max_ms: 1_000,
            stop_ms: 500,
            is_valid: false,
        },
    ];
    for case in cases {
        let lease_times = LeaseTimes::new(case.resend_ms, case.hold_max_ms, case.stop_ms);
        assert_eq!(
            lease_times.is_ok(),
            case.is_valid,
            "resend after {} ms",
            case.resend_ms
        );
        let Ok(lease_times) = lease_times else {
            continue;
        };
        // An endpoint's clock may run 2 % slow; 60 ms are reserved for messages.
        let longest_ms = lease_times.link_ms + lease_times.run_ms * 102 / 100 + case.stop_ms + 60;
        assert!(
            longest_ms <= case.resend_ms,
            "runs last {longest_ms} ms, resend after {} ms",
            case.resend_ms
        );
        assert!(lease_times.run_ms <= case.hold_max_ms);
        assert!(lease_times.orphan_ms() >= longest_ms);
    }
}

/// Guards against two runs of one task at a time: an entry places a lost task again when the leases of its
/// agent have expired, while a run whose stop was not confirmed might last until the caller's resend.
#[test]
fn unwanted_runs_are_over_before_lost_tasks_are_placed_again() {
    for resend_ms in [700, 1_300, 2_000, 3_000, 10_000] {
        for hold_max_ms in [300, 1_000, 3_000] {
            let lease_times = LeaseTimes::new(resend_ms, hold_max_ms, 50);
            let lease_times = lease_times.expect("valid lease times");
            let unwanted_ms = lease_times.unwanted_ms();
            let names = format!("resend after {resend_ms} ms, leases of {hold_max_ms} ms at most");
            assert!(unwanted_ms < resend_ms, "{names}");
            assert!(
                unwanted_ms < lease_times.orphan_ms(),
                "{names}: over after {unwanted_ms} ms, placed again after {} ms",
                lease_times.orphan_ms()
            );
            // The last lease that the agent has extended before it has lost the entry.
            let last_ms = lease_times.link_ms + lease_times.lease_expiry_ms();
            assert!(unwanted_ms >= last_ms, "{names}: lasts {last_ms} ms");
        }
    }
}

/// Guards against an unnoticed overlap of attempts: leases of the minimum length expire in time only from
/// a certain resend time on.
#[test]
fn shortest_leases_expire_before_a_late_enough_resend() {
    for stop_ms in [0, 50, 500] {
        let resend_ms = stop_ms + LeaseTimes::SHORTEST_MS;
        let shortest = LeaseTimes::shortest(resend_ms, stop_ms);
        let longest_ms = shortest.link_ms + shortest.run_ms * 102 / 100 + stop_ms + 60;
        assert_eq!(longest_ms, resend_ms, "stops of {stop_ms} ms");
    }
}

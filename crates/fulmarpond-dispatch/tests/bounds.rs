//! The inequality that keeps two runs of one task apart.

use fulmarpond_dispatch::Bounds;

struct Case {
    resend: u64,
    hold_max: u64,
    stop: u64,
    /// Whether there is room for leases.
    room: bool,
}

/// Guards against leases that last longer than a caller waits before it sends a job again.
#[test]
fn leases_are_over_before_a_caller_sends_again() {
    let cases = [
        Case {
            resend: 1_300,
            hold_max: 1_000,
            stop: 50,
            room: true,
        },
        Case {
            resend: 10_000,
            hold_max: 1_000,
            stop: 50,
            room: true,
        },
        Case {
            resend: 700,
            hold_max: 1_000,
            stop: 50,
            room: true,
        },
        Case {
            resend: 500,
            hold_max: 1_000,
            stop: 50,
            room: false,
        },
        Case {
            resend: 100,
            hold_max: 1_000,
            stop: 500,
            room: false,
        },
    ];
    for case in cases {
        let bounds = Bounds::new(case.resend, case.hold_max, case.stop);
        assert_eq!(bounds.is_ok(), case.room, "resend {}", case.resend);
        let Ok(bounds) = bounds else {
            continue;
        };
        // An endpoint's clock may be 2 % slower; 60 ms are left for messages.
        let longest = bounds.link_ms + bounds.run_ms * 102 / 100 + case.stop + 60;
        assert!(longest <= case.resend, "{longest} of {}", case.resend);
        assert!(bounds.run_ms <= case.hold_max);
        assert!(bounds.orphan_ms() >= longest);
    }
}

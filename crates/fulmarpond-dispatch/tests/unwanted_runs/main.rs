//! Runs that their entry no longer wants, at an endpoint that does not confirm their stops.

mod host;

use host::{
    Host, KEPT_JOB, KEPT_LINK, LATER_JOB, LOST_LINK, Loss, RESEND_MS, StopReply, UNWANTED_JOB, key,
};

/// When the entry of the unwanted run is lost, in milliseconds.
const LOSS_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    loss: Loss,
    stops: StopReply,
    /// Whether the start of the unwanted run gets no reply.
    is_start_unanswered: bool,
}

const CASES: [Case; 9] = [
    Case {
        name: "link reset, stops get no reply",
        loss: Loss::Reset,
        stops: StopReply::Nothing,
        is_start_unanswered: false,
    },
    Case {
        name: "link reset, unhealthy endpoint",
        loss: Loss::Reset,
        stops: StopReply::Unhealthy,
        is_start_unanswered: false,
    },
    Case {
        name: "link reset, run goes on after its stop",
        loss: Loss::Reset,
        stops: StopReply::Late,
        is_start_unanswered: false,
    },
    Case {
        name: "link silent, stops get no reply",
        loss: Loss::Silent,
        stops: StopReply::Nothing,
        is_start_unanswered: false,
    },
    Case {
        name: "link silent, unhealthy endpoint",
        loss: Loss::Silent,
        stops: StopReply::Unhealthy,
        is_start_unanswered: false,
    },
    Case {
        name: "caller left, stops get no reply",
        loss: Loss::Stop,
        stops: StopReply::Nothing,
        is_start_unanswered: false,
    },
    Case {
        name: "caller left, unhealthy endpoint",
        loss: Loss::Stop,
        stops: StopReply::Unhealthy,
        is_start_unanswered: false,
    },
    Case {
        name: "stopped with a report, stops get no reply",
        loss: Loss::StopWithReport,
        stops: StopReply::Nothing,
        is_start_unanswered: false,
    },
    Case {
        name: "link reset, neither start nor stops get a reply",
        loss: Loss::Reset,
        stops: StopReply::Nothing,
        is_start_unanswered: true,
    },
];

/// Guards against two runs of one task at a time: the lease that was extended for the runs of other
/// entries kept a run alive whose stop was not confirmed, and its caller sent the job again.
#[test]
fn unwanted_run_is_over_before_its_job_is_sent_again() {
    let mut failures = Vec::new();
    for case in CASES {
        let mut host = Host::new();
        host.order(KEPT_LINK, KEPT_JOB);
        if case.is_start_unanswered {
            host.run_ms(LOSS_MS - 60);
            host.stops = case.stops;
            host.hides_starts = true;
        }
        host.order(LOST_LINK, UNWANTED_JOB);
        host.answer_calls();
        host.hides_starts = false;
        host.run_ms(50);
        host.run_ms(LOSS_MS + 50 - host.elapsed.min(LOSS_MS + 50));
        assert!(host.is_running(UNWANTED_JOB), "{}", case.name);
        host.stops = case.stops;
        let heard = host.lose(case.loss);
        while host.is_running(UNWANTED_JOB) && host.elapsed < heard + 2 * RESEND_MS {
            let was_reported = host
                .reports
                .iter()
                .any(|(_, job, _)| *job == key(UNWANTED_JOB).job);
            assert!(
                !was_reported,
                "{}: end reported before the run has ended",
                case.name
            );
            host.run_ms(1);
        }
        if host.elapsed >= heard + RESEND_MS {
            let age_ms = host.elapsed - heard;
            failures.push(format!("{}: over after {age_ms} ms or never", case.name));
            continue;
        }
        // The lease is extended again, and tasks are taken.
        host.run_ms(300);
        host.order(KEPT_LINK, LATER_JOB);
        host.run_ms(3_000);
        assert!(host.is_ready, "{}", case.name);
        assert!(host.is_running(LATER_JOB), "{}", case.name);
        let reports = host.reports.iter();
        let ends = reports.filter(|(_, job, _)| *job == key(UNWANTED_JOB).job);
        let expected = usize::from(case.loss == Loss::StopWithReport);
        assert_eq!(ends.count(), expected, "{}", case.name);
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against runs of other entries that end, and starts that wait, although the endpoint
/// confirms the stops at once.
#[test]
fn confirmed_stop_has_no_effect_on_other_runs() {
    for loss in [Loss::Reset, Loss::Silent, Loss::Stop, Loss::StopWithReport] {
        let mut host = Host::new();
        host.order(KEPT_LINK, KEPT_JOB);
        host.order(LOST_LINK, UNWANTED_JOB);
        host.run_ms(LOSS_MS);
        host.lose(loss);
        for _ in 0..2 * RESEND_MS {
            host.run_ms(1);
            assert!(host.is_running(KEPT_JOB), "{loss:?}, {} ms", host.elapsed);
            assert!(host.is_ready, "{loss:?}, {} ms", host.elapsed);
        }
        assert!(!host.is_running(UNWANTED_JOB), "{loss:?}");
    }
}

//! Runs that their entry no longer wants, at an endpoint that does not confirm their stops.

mod ends;
mod host;
mod known_tasks;
mod long_running;
mod starts;

use fulmarpond_dispatch::{LinkNo, Order, Outcome};

use host::{
    Host, KEPT_JOB, KEPT_LINK, LATER_JOB, LOST_LINK, Loss, RESEND_MS, StopReply, UNWANTED_JOB, key,
    lease_times, order,
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

/// Plays a case, and returns what was found if the unwanted run was not over in time.
fn play(case: &Case, is_durable: bool) -> Result<(), String> {
    let mut host = Host::new();
    host.order(KEPT_LINK, KEPT_JOB);
    if case.is_start_unanswered {
        host.run_ms(LOSS_MS - 60);
        host.stops = case.stops;
        host.hides_starts = true;
    }
    let unwanted = Order {
        is_durable,
        ..order(UNWANTED_JOB)
    };
    host.send_order(LOST_LINK, unwanted);
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
        return Err(format!("{}: over after {age_ms} ms or never", case.name));
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
    Ok(())
}

/// Guards against two runs of one task at a time: the lease that was extended for the runs of other
/// entries kept a run alive whose stop was not confirmed, and its caller sent the job again.
#[test]
fn unwanted_run_is_over_before_its_job_is_sent_again() {
    let plays = CASES.iter().map(|case| play(case, false));
    let failures: Vec<String> = plays.filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against two runs of a durable task at a time: the run of a lost owner lived on with a stop that
/// was not confirmed, and the owner or the next one placed the task again.
#[test]
fn durable_run_of_a_lost_owner_is_over_before_its_task_is_placed_again() {
    let lost = |case: &&Case| matches!(case.loss, Loss::Reset | Loss::Silent);
    let plays = CASES.iter().filter(lost).map(|case| play(case, true));
    let failures: Vec<String> = plays.filter_map(Result::err).collect();
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

/// Guards against two runs of one task at a time: a stopped run that the endpoint listed no more was
/// reported as over while its stop still took its time, and the next attempt of the job began.
#[test]
fn stopped_run_that_is_not_listed_is_over_when_its_stop_has_taken_its_time() {
    for is_start_unanswered in [false, true] {
        let mut host = Host::new();
        host.order(KEPT_LINK, KEPT_JOB);
        host.run_ms(500);
        host.hides_starts = is_start_unanswered;
        host.order(LOST_LINK, UNWANTED_JOB);
        host.answer_calls();
        host.stops = StopReply::Unlisted;
        host.lose(Loss::StopWithReport);
        while host.is_running(UNWANTED_JOB) {
            assert_eq!(
                host.reports,
                [],
                "reported while it runs, {is_start_unanswered}"
            );
            host.run_ms(1);
        }
        host.run_ms(100);
        let aborted = (LOST_LINK, key(UNWANTED_JOB).job, Outcome::Aborted);
        assert_eq!(host.reports, [aborted], "{is_start_unanswered}");
    }
}

/// What becomes of a run while an order for its task from another entry waits.
struct KnownTask {
    name: &'static str,
    /// The link that the first order comes over.
    first: LinkNo,
    /// Whether the run is being stopped when the second order arrives.
    is_stopping: bool,
    /// Whether the endpoint takes no tasks when the second order arrives.
    is_draining: bool,
    is_durable: bool,
}

/// Guards against two runs of one task at a time: an agent that ran the task for another entry refused
/// it at once, and the entry placed it elsewhere while the earlier run went on.
#[test]
fn known_task_is_refused_only_when_its_run_has_ended() {
    let plain = KnownTask {
        name: "run of another entry",
        first: KEPT_LINK,
        is_stopping: false,
        is_draining: false,
        is_durable: false,
    };
    let cases = [
        KnownTask {
            name: "run of another entry that is being stopped",
            is_stopping: true,
            ..plain
        },
        KnownTask {
            name: "earlier run of the same entry that is being stopped",
            first: LOST_LINK,
            is_stopping: true,
            ..plain
        },
        KnownTask {
            name: "run of another entry at an endpoint that drains",
            is_draining: true,
            ..plain
        },
        KnownTask {
            name: "run of a durable job",
            is_durable: true,
            ..plain
        },
        plain,
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut host = Host::new();
        let order = Order {
            is_durable: case.is_durable,
            ..order(UNWANTED_JOB)
        };
        host.send_order(case.first, order.clone());
        host.run_ms(500);
        host.stops = StopReply::Late;
        if case.is_stopping {
            host.stop(case.first, UNWANTED_JOB);
        }
        if case.is_draining {
            host.drain();
        }
        host.run_ms(20);
        host.send_order(LOST_LINK, order);
        host.run_ms(30);
        assert!(host.is_running(UNWANTED_JOB), "{}", case.name);
        if !host.reports.is_empty() {
            failures.push(format!("{}: refused while it runs", case.name));
            continue;
        }
        host.end_run(UNWANTED_JOB);
        host.run_ms(30);
        let refused = (LOST_LINK, key(UNWANTED_JOB).job, Outcome::Unavailable);
        assert_eq!(host.reports, [refused], "{}", case.name);
        // Else the next run might have the same number at another agent.
        assert_eq!(host.reported_runs, [1], "{}", case.name);
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against runs that outlast an agent that is gone: the estimate of a slow clock was ahead of it
/// after the endpoint had been idle, so that the lease of the next run was too long.
#[test]
fn first_lease_after_an_idle_time_is_no_longer_than_others() {
    for idle_ms in [500, 5_000, 30_000, 120_000] {
        let mut host = Host::new();
        host.run_ms(idle_ms);
        host.order(KEPT_LINK, KEPT_JOB);
        host.run_ms(1);
        assert!(host.is_running(KEPT_JOB), "idle for {idle_ms} ms");
        let mut age_ms = 1;
        while host.is_running(KEPT_JOB) {
            host.run_without_agent_ms(1);
            age_ms += 1;
        }
        let longest_ms = lease_times().lease_expiry_ms() + 1;
        assert!(
            age_ms <= longest_ms,
            "idle for {idle_ms} ms: runs for {age_ms} ms"
        );
    }
}

/// Guards against two runs of one task at a time: the runs of an endpoint that had deregistered were
/// reported as over, although it ends later.
#[test]
fn runs_of_an_endpoint_that_leaves_are_over_when_it_has_ended() {
    let mut host = Host::new();
    host.order(KEPT_LINK, KEPT_JOB);
    host.run_ms(500);
    host.deregister();
    host.run_ms(900);
    assert_eq!(host.reports, [], "reported while it runs");
    assert!(host.is_running(KEPT_JOB));
    assert!(!host.is_ready);
    host.has_ended = true;
    host.run_ms(100);
    let aborted = (KEPT_LINK, key(KEPT_JOB).job, Outcome::Aborted);
    assert_eq!(host.reports, [aborted]);
}

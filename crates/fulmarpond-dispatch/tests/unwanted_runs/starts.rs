//! Starts that the endpoint has carried out although its reply does not say so.

use fulmarpond_dispatch::Outcome;
use fulmarpond_dispatch::agent::EndpointReply;

use crate::host::{Host, KEPT_JOB, KEPT_LINK, LOST_LINK, Loss, StopReply, UNWANTED_JOB, key};

/// A start that is carried out and answered with an unexpected status.
struct OddStart {
    name: &'static str,
    stops: StopReply,
    /// Whether the entry stops the run before the start is answered.
    is_unwanted: bool,
    outcome: Outcome,
}

/// Guards against two runs of one task at a time: a start that was answered with a status outside the
/// protocol was reported as not carried out, and the entry placed the task elsewhere while it ran.
#[test]
fn start_with_an_unexpected_status_is_reported_when_its_run_has_ended() {
    let plain = OddStart {
        name: "stop confirmed",
        stops: StopReply::Done,
        is_unwanted: false,
        outcome: Outcome::Unavailable,
    };
    let cases = [
        OddStart {
            name: "run goes on after its stop",
            stops: StopReply::Late,
            ..plain
        },
        OddStart {
            name: "stops get no reply",
            stops: StopReply::Nothing,
            ..plain
        },
        OddStart {
            name: "stops find the endpoint unhealthy",
            stops: StopReply::Unhealthy,
            ..plain
        },
        OddStart {
            name: "caller left before the reply",
            stops: StopReply::Nothing,
            is_unwanted: true,
            outcome: Outcome::Aborted,
        },
        plain,
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut host = Host::new();
        host.order(KEPT_LINK, KEPT_JOB);
        host.run_ms(500);
        host.stops = case.stops;
        host.start_reply = Some(EndpointReply::Unexpected);
        host.order(LOST_LINK, UNWANTED_JOB);
        if case.is_unwanted {
            host.lose(Loss::StopWithReport);
        }
        host.answer_calls();
        host.start_reply = None;
        for _ in 0..300 {
            if host.is_running(UNWANTED_JOB) && !host.reports.is_empty() {
                failures.push(format!("{}: {:?} while it runs", case.name, host.reports));
                break;
            }
            host.run_ms(1);
        }
        host.stops = StopReply::Done;
        host.end_run(UNWANTED_JOB);
        host.run_ms(600);
        let expected = (LOST_LINK, key(UNWANTED_JOB).job, case.outcome);
        if host.reports != [expected] {
            failures.push(format!("{}: reports {:?}", case.name, host.reports));
        }
        assert_eq!(host.reported_runs, [1], "{}", case.name);
        assert!(host.is_running(KEPT_JOB), "{}", case.name);
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

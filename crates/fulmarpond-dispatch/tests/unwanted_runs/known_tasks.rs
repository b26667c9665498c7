//! Orders for tasks that the agent runs for another entry.

use fulmarpond_dispatch::Order;

use crate::host::{
    Host, KEPT_JOB, KEPT_LINK, LOST_LINK, Loss, RESEND_MS, StopReply, UNWANTED_JOB, order,
};

/// An order for the task of another entry, which then no longer wants its run.
struct TakenTask {
    name: &'static str,
    /// How the first entry stops wanting its run; `None` if it goes on wanting it.
    loss: Option<Loss>,
    stops: StopReply,
    is_durable: bool,
}

/// Guards against two runs of one task at a time: a run that was stopped since another entry had ordered
/// its task lived on, if its stop was not confirmed, although its own entry had placed the task again.
#[test]
fn run_of_a_task_that_another_entry_orders_is_over_in_time() {
    let plain = TakenTask {
        name: "first entry wants it, stops get no reply",
        loss: None,
        stops: StopReply::Nothing,
        is_durable: false,
    };
    let cases = [
        TakenTask {
            name: "first entry is lost, stops get no reply",
            loss: Some(Loss::Reset),
            ..plain
        },
        TakenTask {
            name: "first entry is silent, unhealthy endpoint",
            loss: Some(Loss::Silent),
            stops: StopReply::Unhealthy,
            ..plain
        },
        TakenTask {
            name: "caller of the first entry left, run goes on after its stop",
            loss: Some(Loss::StopWithReport),
            stops: StopReply::Late,
            ..plain
        },
        TakenTask {
            name: "owner of a durable job is lost, stops get no reply",
            loss: Some(Loss::Reset),
            is_durable: true,
            ..plain
        },
        plain,
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut host = Host::new();
        host.order(KEPT_LINK, KEPT_JOB);
        let taken = Order {
            is_durable: case.is_durable,
            ..order(UNWANTED_JOB)
        };
        host.send_order(LOST_LINK, taken.clone());
        host.run_ms(500);
        host.stops = case.stops;
        let heard = host.elapsed;
        host.send_order(KEPT_LINK, taken);
        if let Some(loss) = case.loss {
            host.lose(loss);
        }
        while host.is_running(UNWANTED_JOB) && host.elapsed < heard + 2 * RESEND_MS {
            host.run_ms(1);
            let is_refused = !host.reports.is_empty();
            assert!(
                !is_refused || !host.is_running(UNWANTED_JOB),
                "{}",
                case.name
            );
        }
        if host.elapsed >= heard + RESEND_MS {
            let age_ms = host.elapsed - heard;
            failures.push(format!("{}: over after {age_ms} ms or never", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

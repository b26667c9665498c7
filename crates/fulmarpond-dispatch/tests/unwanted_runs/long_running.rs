//! Long-running runs that are being stopped when their entry is lost.

use fulmarpond_dispatch::{EntryFrame, LinkNo, Order, Outcome};

use crate::host::{
    Host, KEPT_JOB, KEPT_LINK, LOST_LINK, Loss, StopReply, UNWANTED_JOB, key, lease_times, order,
};

/// The link over which an entry adopts runs.
const NEW_LINK: LinkNo = LinkNo(3);

/// The time that an orphaned run waits for an owner, in milliseconds.
const ADOPTION_MS: u64 = 3_000;

/// Guards against two runs of a long-running task at a time: the list of orphaned runs lacked those that
/// were being stopped when their entry was lost, and the entry starts again at once what is not listed.
#[test]
fn long_run_that_is_being_stopped_is_listed_as_orphaned_until_it_has_ended() {
    for loss in [Loss::Stop, Loss::StopWithReport] {
        for is_adopted in [false, true] {
            let name = format!("{loss:?}, adopted {is_adopted}");
            let mut host = Host::new();
            let long_running = Order {
                long_running: true,
                is_durable: false,
                ..order(UNWANTED_JOB)
            };
            host.send_order(LOST_LINK, long_running);
            host.run_ms(500);
            host.stops = StopReply::Late;
            host.lose(loss);
            host.run_ms(10);
            host.lose(Loss::Reset);
            host.act(|agent, now, out| agent.link_up(NEW_LINK, now, out));
            host.renewed.push(NEW_LINK);
            host.run_ms(20);
            assert!(host.is_running(UNWANTED_JOB), "{name}");
            assert_eq!(host.orphaned, [key(UNWANTED_JOB)], "{name}");
            if is_adopted {
                host.act(|agent, now, out| {
                    let frame = EntryFrame::Adopt(vec![key(UNWANTED_JOB)]);
                    agent.handle_frame(NEW_LINK, frame, now, out);
                });
            }
            host.run_ms(300);
            assert!(host.reports.is_empty(), "{name}: {:?}", host.reports);
            host.end_run(UNWANTED_JOB);
            host.run_ms(300);
            let aborted = (NEW_LINK, key(UNWANTED_JOB).job, Outcome::Aborted);
            let expected = if is_adopted {
                vec![aborted]
            } else {
                Vec::new()
            };
            assert_eq!(host.reports, expected, "{name}");
            host.act(|agent, now, out| agent.link_up(LinkNo(4), now, out));
            assert!(host.orphaned.is_empty(), "{name}");
        }
    }
}

/// Guards against two runs of a long-running task at a time: the entry starts a task again when its lost run
/// must have been adopted or stopped, but a run whose stop was not confirmed lived on.
#[test]
fn orphaned_run_is_over_before_its_task_is_started_again() {
    let mut failures = Vec::new();
    for stops in [StopReply::Late, StopReply::Nothing, StopReply::Unhealthy] {
        for loss in [Loss::Reset, Loss::Silent] {
            // The agent may notice the loss of a silent entry late.
            for pause_ms in [0, 400] {
                let mut host = Host::new();
                host.order(KEPT_LINK, KEPT_JOB);
                let long_running = Order {
                    long_running: true,
                    ..order(UNWANTED_JOB)
                };
                host.send_order(LOST_LINK, long_running);
                host.run_ms(500);
                host.stops = stops;
                let heard = host.lose(loss);
                host.run_ms(450);
                host.run_without_agent_ms(pause_ms);
                let over_ms = lease_times().orphan_ms() + ADOPTION_MS;
                while host.is_running(UNWANTED_JOB) && host.elapsed < heard + over_ms {
                    host.run_ms(1);
                }
                let name = format!("{stops:?}, {loss:?}, paused for {pause_ms} ms");
                if host.is_running(UNWANTED_JOB) {
                    failures.push(format!("{name}: runs after {over_ms} ms"));
                } else if host.elapsed < heard + ADOPTION_MS {
                    let age_ms = host.elapsed - heard;
                    failures.push(format!(
                        "{name}: over after {age_ms} ms, which is too early"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

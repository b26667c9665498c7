//! Long-running runs that are being stopped when their entry is lost.

use fulmarpond_dispatch::{EntryFrame, LinkNo, Order, Outcome};

use crate::host::{Host, LOST_LINK, Loss, StopReply, UNWANTED_JOB, key, order};

/// The link over which an entry adopts runs.
const NEW_LINK: LinkNo = LinkNo(3);

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

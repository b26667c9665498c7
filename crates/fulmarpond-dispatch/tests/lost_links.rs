//! What an entry does with a task of a job that is not durable when the link to its agent ends and the
//! agent comes back over another one.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Configuration;
use fulmarpond_dispatch::entry::{Action, Entry, RequestNo, Step, Submission};
use fulmarpond_dispatch::{
    AgentFrame, EndpointStatus, EntryFrame, JobId, LinkNo, Outcome, Resources, TaskEnd, TaskKey,
};

const START: Time = Time::from_millis(10_000);
const ROOM: Resources = Resources {
    cpu: 8_000,
    memory: 1_000,
    accelerators: 0,
};

/// The link to the agent that runs the task.
const FIRST: LinkNo = LinkNo(1);

/// The link to another agent.
const OTHER: LinkNo = LinkNo(2);

/// A link that the first agent opens after it has lost its link.
const FIRST_AGAIN: LinkNo = LinkNo(3);

/// How far time advances with each step of a test, in milliseconds.
const STEP_MS: u64 = 10;

/// What happens after the loss of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// Nothing but the return of the agent.
    Nothing,
    /// The agent reports the end of the run over its new link, with this outcome and number.
    Report(Outcome, u32),
    /// The caller leaves, and sends the job again to this entry at once.
    Resend,
}

/// An entry with a job of one task that the first agent runs.
struct Site {
    entry: Entry,
    now: Time,
    links: Vec<LinkNo>,
    /// The links of the orders that were sent.
    orders: Vec<LinkNo>,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            entry: Entry::new(entry_setup::options(), START),
            now: START,
            links: Vec::new(),
            orders: Vec::new(),
        };
        let configuration = Configuration::new(1, vec![entry_setup::route()], None);
        site.act(|entry, now, out| entry.configure(configuration, now, out));
        site.connect(FIRST);
        site.submit(1);
        assert_eq!(site.orders, [FIRST]);
        site.run_ms(100);
        site
    }

    fn act(&mut self, act: impl FnOnce(&mut Entry, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.entry, self.now, &mut out);
        for action in out {
            if let Action::Send {
                link,
                frame: EntryFrame::Start(_),
            } = action
            {
                self.orders.push(link);
            }
        }
    }

    fn connect(&mut self, link: LinkNo) {
        let now = self.now;
        entry_setup::link_agent(&mut self.entry, link, ROOM, idle(), now);
        self.links.push(link);
    }

    fn submit(&mut self, request: u64) {
        let step = Step {
            estimate: 500,
            ..entry_setup::step()
        };
        let submission = Submission {
            timeout_ms: 8_000,
            ..entry_setup::submission(step)
        };
        let route = Rc::new(entry_setup::route());
        self.act(|entry, now, out| {
            entry.submit(RequestNo(request), job(), &route, submission, now, out);
        });
    }

    /// Lets time pass, with a status of each linked agent in each step.
    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now = self.now.after_millis(STEP_MS);
            for link in self.links.clone() {
                let status = AgentFrame::Status {
                    sent: 0,
                    orders: u64::MAX,
                    load: idle(),
                };
                self.act(|entry, now, out| entry.handle_frame(link, status, now, out));
            }
            self.act(Entry::tick);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Nothing => {}
            Event::Report(outcome, run) => {
                let end = TaskEnd {
                    task: TaskKey {
                        job: job(),
                        step: 0,
                        index: 0,
                    },
                    outcome,
                    run,
                    elapsed: 0,
                };
                let frame = AgentFrame::Ended(vec![end]);
                self.act(|entry, now, out| entry.handle_frame(FIRST_AGAIN, frame, now, out));
            }
            Event::Resend => {
                self.act(|entry, now, out| {
                    entry.handle_caller_disconnect(RequestNo(1), now, out);
                });
                self.submit(2);
            }
        }
    }
}

fn idle() -> EndpointStatus {
    EndpointStatus {
        ready: true,
        free: ROOM,
        slowness: 100,
        ..EndpointStatus::default()
    }
}

fn job() -> JobId {
    JobId("0000000000000001".to_owned())
}

/// Guards against two runs of one task at a time: the link to the agent of a run ends, and the agent is back
/// at once, perhaps with a report that belongs to nobody, or the caller sends the job again. The run may go
/// on until its leases have expired. Guards also against a task that waits for longer.
#[test]
fn task_of_a_lost_link_is_sent_again_when_its_leases_have_expired() {
    let orphan_ms = entry_setup::options().lease_times.orphan_ms();
    let events = [
        Event::Nothing,
        Event::Report(Outcome::Unavailable, 0),
        Event::Report(Outcome::Aborted, 1),
        Event::Report(Outcome::NoRoom, 0),
        Event::Resend,
    ];
    for event in events {
        for back_ms in [0, 50, 600] {
            let name = format!("{event:?}, back after {back_ms} ms");
            let mut site = Site::new();
            site.links.clear();
            site.act(|entry, now, out| entry.link_down(FIRST, now, out));
            site.connect(OTHER);
            site.run_ms(back_ms);
            site.connect(FIRST_AGAIN);
            site.happen(event);
            site.run_ms(orphan_ms - back_ms - STEP_MS);
            assert_eq!(site.orders, [FIRST], "{name}");
            site.run_ms(5 * STEP_MS);
            assert_eq!(site.orders.len(), 2, "{name}");
        }
    }
}

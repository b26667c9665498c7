//! Requests that the network may have held back: their callers may have left, and their tasks start when
//! the end of the connection would have arrived.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Configuration;
use fulmarpond_dispatch::entry::{Action, Answer, Arrival, Entry, RequestNo, Step};
use fulmarpond_dispatch::{EndpointStatus, EntryFrame, JobId, LinkNo, Resources};

const AGENT: LinkNo = LinkNo(1);

const REQUEST: RequestNo = RequestNo(1);

const ROOM: Resources = Resources {
    cpu: 16_000,
    memory: 64_000,
    accelerators: 0,
};

/// An entry with one agent.
struct Desk {
    now: Time,
    entry: Entry,
    out: Vec<Action>,
}

impl Desk {
    fn new() -> Self {
        Self::with_room(ROOM)
    }

    fn with_room(room: Resources) -> Self {
        let now = Time::from_millis(10_000);
        let mut entry = Entry::new(entry_setup::options(), now);
        let configuration = Configuration::new(1, vec![entry_setup::route()], None);
        entry.configure(configuration, now, &mut Vec::new());
        let load = EndpointStatus {
            ready: true,
            free: room,
            slowness: 100,
            ..EndpointStatus::default()
        };
        entry_setup::link_agent(&mut entry, AGENT, room, load, now);
        Self {
            now,
            entry,
            out: Vec::new(),
        }
    }

    fn submit(&mut self, held_back: u64, estimate: u32) {
        self.submit_as(REQUEST, held_back, estimate);
    }

    fn submit_as(&mut self, request: RequestNo, held_back: u64, estimate: u32) {
        let arrival = Arrival {
            request,
            max_age: 0,
            held_back,
        };
        let submission = entry_setup::submission(Step {
            estimate,
            ..entry_setup::step()
        });
        let route = Rc::new(entry_setup::route());
        let job = JobId("0000000000000001".to_owned());
        let (now, out) = (self.now, &mut self.out);
        self.entry
            .submit(arrival, job, &route, submission, now, out);
    }

    /// Lets time pass, and calls the entry whenever it asks for it.
    fn run_ms(&mut self, millis: u64) {
        let end = self.now.after_millis(millis);
        while self.now < end {
            self.now = self
                .entry
                .next_wake()
                .max(self.now.after_micros(100))
                .min(end);
            self.entry.tick(self.now, &mut self.out);
        }
    }

    fn leave(&mut self) {
        let (now, out) = (self.now, &mut self.out);
        self.entry.handle_caller_disconnect(REQUEST, now, out);
    }

    fn starts(&self) -> usize {
        let is_start = |action: &&Action| {
            let Action::Send { frame, .. } = action else {
                return false;
            };
            matches!(frame, EntryFrame::Start(_))
        };
        self.out.iter().filter(is_start).count()
    }

    fn answers(&self) -> Vec<Answer> {
        let answers = self.out.iter().filter_map(|action| match action {
            Action::Answer { answer, .. } => Some(*answer),
            _ => None,
        });
        answers.collect()
    }
}

struct Case {
    name: &'static str,
    /// For how long the network may have held the request back, in milliseconds.
    held_back: u64,
    /// How long the task takes, in milliseconds.
    estimate: u32,
    /// Until when no task has started, and when it has if the caller stays, in milliseconds after the request.
    start_ms: (u64, u64),
}

const CASES: [Case; 5] = [
    Case {
        name: "first request of a connection",
        held_back: u64::MAX,
        estimate: 1_000,
        start_ms: (29, 31),
    },
    Case {
        name: "connection that was idle for long",
        held_back: 5_000,
        estimate: 1_000,
        start_ms: (29, 31),
    },
    Case {
        name: "short job on such a connection",
        held_back: 5_000,
        estimate: 60,
        start_ms: (3, 5),
    },
    Case {
        name: "connection that was idle for a second",
        held_back: 1_000,
        estimate: 1_000,
        start_ms: (0, 0),
    },
    Case {
        name: "connection that was not idle",
        held_back: 0,
        estimate: 60,
        start_ms: (0, 0),
    },
];

/// Guards against tasks that start although the end of the connection of their caller is on its way, and
/// against requests that wait although it can't be.
#[test]
fn tasks_start_when_the_end_of_a_held_back_connection_would_have_arrived() {
    for case in CASES {
        let (before_ms, start_ms) = case.start_ms;
        let mut desk = Desk::new();
        desk.submit(case.held_back, case.estimate);
        if start_ms > 0 {
            desk.run_ms(before_ms);
            assert_eq!(desk.starts(), 0, "{}", case.name);
            desk.run_ms(start_ms - before_ms);
        }
        assert_eq!(desk.starts(), 1, "{}", case.name);
        assert_eq!(desk.answers(), [], "{}", case.name);
    }
}

/// Guards against a run beside that of the next attempt, for a caller that has left.
#[test]
fn tasks_of_a_caller_that_left_do_not_start() {
    for case in CASES.iter().filter(|case| case.start_ms.1 > 0) {
        let mut desk = Desk::new();
        desk.submit(case.held_back, case.estimate);
        desk.run_ms(2);
        desk.leave();
        desk.run_ms(200);
        assert_eq!(desk.starts(), 0, "{}", case.name);
        assert_eq!(desk.answers(), [], "{}", case.name);
        assert_eq!(desk.entry.waiting_requests(), 0, "{}", case.name);
    }
}

/// Guards against a caller that waits for a refusal that is certain when its request is read.
#[test]
fn request_that_no_endpoint_fits_is_refused_at_once() {
    let room = Resources {
        cpu: 1,
        ..Resources::default()
    };
    let mut desk = Desk::with_room(room);
    desk.submit(u64::MAX, 1_000);
    let answers = desk.answers();
    assert!(
        matches!(answers[..], [Answer::NotRun { .. }]),
        "{answers:?}"
    );
}

/// Guards against a request that joins a waiting job and whose caller has left as well: the end of its
/// connection comes later than that of the first one.
#[test]
fn request_that_joins_a_waiting_job_is_waited_for_too() {
    let mut desk = Desk::new();
    desk.submit(u64::MAX, 1_000);
    desk.run_ms(27);
    desk.submit_as(RequestNo(2), u64::MAX, 1_000);
    desk.leave();
    desk.run_ms(29);
    assert_eq!(desk.starts(), 0);
    desk.run_ms(30);
    assert_eq!(desk.starts(), 1);
}

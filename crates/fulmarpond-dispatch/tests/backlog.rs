//! The backlog by class in the status of an agent, and the wait that an entry expects from it.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::entry::{Action, Entry, RequestNo};
use fulmarpond_dispatch::{
    Backlog, Class, EndpointStatus, EntryFrame, JobId, LinkNo, Resources, decode, encode,
};

const NOW: Time = Time::from_millis(10_000);
const CORES: u32 = 8;

fn route(priority: u8) -> Route {
    Route {
        priority,
        ..entry_setup::route()
    }
}

/// Returns an entry with one agent whose endpoint is full.
fn entry(backlog: Backlog) -> Entry {
    let options = entry_setup::options();
    let mut entry = Entry::new(options, NOW);
    entry.configure(
        Configuration::new(1, vec![route(0)], None),
        NOW,
        &mut Vec::new(),
    );
    let capacity = Resources {
        cpu: CORES * 1_000,
        memory: 1_000,
        accelerators: 0,
    };
    let load = EndpointStatus {
        ready: true,
        slowness: 100,
        backlog,
        ..EndpointStatus::default()
    };
    entry_setup::link_agent(&mut entry, LinkNo(1), capacity, load, NOW);
    entry
}

/// Submits a job of one task with a slack of 100 ms; returns whether it is accepted.
fn accepts(entry: &mut Entry, priority: u8) -> bool {
    let submission = entry_setup::submission(entry_setup::step());
    let mut out = Vec::new();
    let (request, id) = (RequestNo(1), JobId("1".to_owned()));
    let route = Rc::new(route(priority));
    entry.submit(request, id, &route, submission, NOW, &mut out);
    let is_start = |action: &Action| {
        let Action::Send { frame, .. } = action else {
            return false;
        };
        matches!(frame, EntryFrame::Start(_))
    };
    out.iter().any(is_start)
}

struct WaitCase {
    name: &'static str,
    /// Priority and core-milliseconds of the waiting work.
    waiting: (u8, u64),
    /// Priority and run time of the runs that fill the endpoint.
    running: (u8, u32),
    /// The priority of the submitted job, and whether it is accepted.
    submitted: (u8, bool),
}

/// Guards against urgent jobs that are refused because of work behind them, against those that are
/// accepted though the room ahead becomes free too slowly, and against lower classes that are
/// refused room which their share guarantees.
#[test]
fn the_expected_wait_follows_the_order_of_the_agent() {
    let cases = [
        WaitCase {
            name: "lower work is behind an urgent job",
            waiting: (2, 80_000),
            running: (2, 100),
            submitted: (0, true),
        },
        WaitCase {
            name: "the same work is ahead of a job of its class",
            waiting: (2, 80_000),
            running: (2, 100),
            submitted: (2, false),
        },
        WaitCase {
            name: "work of four tasks behind long runs waits longer than its share of the cores",
            waiting: (0, 400),
            running: (2, 2_000),
            submitted: (0, false),
        },
        WaitCase {
            name: "a class without runs gets its share first",
            waiting: (0, 80_000),
            running: (0, 50),
            submitted: (2, true),
        },
        WaitCase {
            name: "a class with its share waits for its own runs",
            waiting: (2, 400),
            running: (2, 2_000),
            submitted: (2, false),
        },
    ];
    for case in cases {
        let (waiting, work) = case.waiting;
        let (running, run_ms) = case.running;
        let mut backlog = Backlog::default();
        backlog.add(Class::of(waiting), 50, work);
        backlog.set_running(Class::of(running), CORES * 1_000, run_ms);
        let (priority, is_accepted) = case.submitted;
        let accepted = accepts(&mut entry(backlog), priority);
        assert_eq!(accepted, is_accepted, "{}", case.name);
    }
}

/// Guards against statuses that grow, since they are sent every 5 ms on each link: without waiting
/// work one had 20 bytes before backlogs had classes.
#[test]
fn a_status_is_small_and_survives_its_encoding() {
    let idle = EndpointStatus::default();
    assert!(encode(&idle).len() <= 20, "{} bytes", encode(&idle).len());
    let mut backlog = Backlog::default();
    backlog.add(Class::of(0), 20, 480);
    backlog.add(Class::of(7), 10_000, u64::MAX);
    backlog.set_running(Class::of(1), 64_000, 200);
    let busy = EndpointStatus { backlog, ..idle };
    assert_eq!(decode::<EndpointStatus>(&encode(&busy)), Ok(busy));
}

/// Guards against a crash by a backlog with a position that does not exist.
#[test]
fn a_backlog_with_an_unknown_value_cannot_be_decoded() {
    let bytes = encode(&vec![(27_u8, 1_u32)]);
    assert!(decode::<Backlog>(&bytes).is_err());
}

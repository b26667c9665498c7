//! Submissions to a single entry: duplicates of a request, what it learns from the first run, and
//! the choice between two endpoints.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{Activity, Lane, StoreReply};
use fulmarpond_dispatch::entry::{Action, Answer, Entry, RequestNo, Submission};
use fulmarpond_dispatch::{
    AgentFrame, EndpointSpeed, EndpointStatus, EntryFrame, JobId, LinkNo, Order, Outcome,
    Resources, TaskEnd, TaskKey,
};

const NOW: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);
const OTHER_LINK: LinkNo = LinkNo(2);
const CAPACITY: Resources = Resources {
    cpu: 8_000,
    memory: 1_000,
    accelerators: 0,
};

/// Returns an entry without agents.
fn bare_entry() -> Entry {
    let options = entry_setup::options();
    let mut entry = Entry::new(options, NOW);
    entry.configure(
        Configuration::new(1, vec![route()], None),
        NOW,
        &mut Vec::new(),
    );
    entry
}

/// Returns an entry with one agent whose endpoint is idle.
fn entry() -> Entry {
    let mut entry = bare_entry();
    add_agent(&mut entry, LINK, idle_endpoint());
    entry
}

fn idle_endpoint() -> EndpointStatus {
    EndpointStatus {
        ready: true,
        free: CAPACITY,
        slowness: 100,
        ..EndpointStatus::default()
    }
}

fn add_agent(entry: &mut Entry, link: LinkNo, load: EndpointStatus) {
    entry_setup::link_agent(entry, link, CAPACITY, load, NOW);
}

fn route() -> Route {
    entry_setup::route()
}

fn job_id(number: u32) -> JobId {
    JobId(format!("{number:016x}"))
}

fn submit(entry: &mut Entry, request: u64, job: u32, is_durable: bool, out: &mut Vec<Action>) {
    let step = entry_setup::step();
    let submission = Submission {
        spec: String::new(),
        steps: vec![step],
        timeout_ms: 1_500,
        is_durable,
        repeat: None,
    };
    let route = Rc::new(route());
    entry.submit(
        RequestNo(request),
        job_id(job),
        &route,
        submission,
        NOW,
        out,
    );
}

fn report_done(entry: &mut Entry, job: u32, elapsed: u32, out: &mut Vec<Action>) {
    let end = TaskEnd {
        task: TaskKey {
            job: job_id(job),
            step: 0,
            index: 0,
        },
        outcome: Outcome::Done,
        run: 1,
        elapsed,
    };
    entry.handle_frame(LINK, AgentFrame::Ended(vec![end]), NOW, out);
}

fn answers(out: &[Action]) -> Vec<(u64, Answer)> {
    let answers = out.iter().filter_map(|action| match action {
        Action::Answer {
            request, answer, ..
        } => Some((request.0, *answer)),
        _ => None,
    });
    answers.collect()
}

fn orders(out: &[Action]) -> Vec<&Order> {
    let orders = out.iter().filter_map(|action| match action {
        Action::Send {
            frame: EntryFrame::Start(order),
            ..
        } => Some(order),
        _ => None,
    });
    orders.collect()
}

/// Guards against a caller that waits until its timeout although the result is there: its request
/// was sent twice, and only the second one was answered.
#[test]
fn all_requests_for_a_job_are_answered() {
    let mut entry = entry();
    let mut out = Vec::new();
    submit(&mut entry, 1, 7, false, &mut out);
    submit(&mut entry, 2, 7, false, &mut out);
    assert_eq!(orders(&out).len(), 1, "one order for both requests");
    out.clear();
    report_done(&mut entry, 7, 100, &mut out);
    let completed = Answer::Completed;
    assert_eq!(answers(&out), [(1, completed), (2, completed)]);
    assert_eq!(entry.waiting_requests(), 0);
}

/// Guards against a job that is stopped while a caller waits for it, because another connection
/// with the same request was closed, and against one that runs on for nobody.
#[test]
fn job_is_stopped_only_when_no_request_waits_for_it() {
    let mut entry = entry();
    submit(&mut entry, 1, 7, false, &mut Vec::new());
    submit(&mut entry, 2, 7, false, &mut Vec::new());
    let mut out = Vec::new();
    entry.handle_caller_disconnect(RequestNo(1), NOW, &mut out);
    assert_eq!((entry.jobs(), out.as_slice()), (1, [].as_slice()));
    entry.handle_caller_disconnect(RequestNo(2), NOW, &mut out);
    let is_stopped = out.iter().any(|action| {
        matches!(
            action,
            Action::Send {
                frame: EntryFrame::Stop { .. },
                ..
            }
        )
    });
    assert_eq!((entry.jobs(), is_stopped), (0, true));
}

/// Guards against a caller without an answer: the request for a durable job arrives again while its
/// first write is in flight.
#[test]
fn all_requests_for_a_durable_job_are_answered_after_its_first_write() {
    let mut entry = entry();
    let mut out = Vec::new();
    submit(&mut entry, 1, 7, true, &mut out);
    submit(&mut entry, 2, 7, true, &mut out);
    assert_eq!(answers(&out), []);
    assert_eq!(entry.waiting_requests(), 2);
    out.clear();
    let stored = StoreReply::Committed { revision: 5 };
    entry.handle_store_reply(Activity::Commit(Lane(0)), Some(Ok(stored)), NOW, &mut out);
    let accepted = Answer::Accepted;
    assert_eq!(answers(&out), [(1, accepted), (2, accepted)]);
}

/// Guards against an estimate that ignores the first run of a route: on a route with few jobs, the
/// correction comes one job late.
#[test]
fn first_run_of_a_route_corrects_its_estimate() {
    let mut entry = entry();
    submit(&mut entry, 1, 1, false, &mut Vec::new());
    report_done(&mut entry, 1, 300, &mut Vec::new());
    let mut out = Vec::new();
    submit(&mut entry, 2, 2, false, &mut out);
    let expected_ms = orders(&out)[0].expected_ms;
    assert!(expected_ms > 100, "expected run time is {expected_ms} ms");
}

struct FailureCase {
    name: &'static str,
    /// The share of failures of the idle endpoint, in percent.
    failures: u32,
    /// How long the other endpoint is full, in milliseconds.
    wait_ms: u32,
    chosen: LinkNo,
}

/// Guards against capacity that stays idle for seconds after each task that fails by its own fault,
/// and against an endpoint that goes on getting tasks while it fails them.
#[test]
fn a_single_failure_does_not_keep_tasks_from_an_endpoint() {
    let cases = [
        FailureCase {
            name: "one run has failed",
            failures: 20,
            wait_ms: 15,
            chosen: LINK,
        },
        FailureCase {
            name: "two runs in a row have failed",
            failures: 36,
            wait_ms: 15,
            chosen: OTHER_LINK,
        },
        FailureCase {
            name: "most runs fail",
            failures: 60,
            wait_ms: 90,
            chosen: OTHER_LINK,
        },
    ];
    for case in cases {
        let mut entry = bare_entry();
        let failing = EndpointStatus {
            failures: case.failures,
            ..idle_endpoint()
        };
        let busy = EndpointStatus {
            free: Resources::default(),
            next_end_ms: case.wait_ms,
            ..idle_endpoint()
        };
        add_agent(&mut entry, LINK, failing);
        add_agent(&mut entry, OTHER_LINK, busy);
        let mut out = Vec::new();
        submit(&mut entry, 1, 1, false, &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::Send {
                link,
                frame: EntryFrame::Start(_),
            } => Some(*link),
            _ => None,
        });
        assert_eq!(sent, Some(case.chosen), "{}", case.name);
    }
}

/// Reports speeds that are measured well, and lets the entry derive those of the endpoints.
fn report_speeds(entry: &mut Entry, speeds: &[(LinkNo, u32)]) {
    for &(link, run_permille) in speeds {
        let speed = EndpointSpeed {
            run_permille,
            samples: 512,
        };
        entry.handle_frame(link, AgentFrame::Speed(speed), NOW, &mut Vec::new());
    }
    entry.tick(NOW, &mut Vec::new());
}

struct UnevenCase {
    name: &'static str,
    /// The reported speeds of both endpoints, in thousandths.
    speeds: [u32; 2],
    /// How long the first endpoint is full, in milliseconds.
    wait_ms: u32,
    chosen: LinkNo,
    /// The bounds of the expected run time in the order; the nominal one is 100 ms.
    expected_ms: (u32, u32),
}

/// Guards against tasks that wait for a fast endpoint although they would end earlier at a slow
/// one, against those that go to the slow one although the fast one is free earlier than they would
/// end, and against choices that change where speeds are equal.
#[test]
fn tasks_go_where_they_end_first_by_the_lasting_speed() {
    let cases = [
        UnevenCase {
            name: "the fast endpoint is idle",
            speeds: [1_000, 2_000],
            wait_ms: 0,
            chosen: LINK,
            expected_ms: (100, 100),
        },
        UnevenCase {
            name: "the wait is shorter than the longer run time",
            speeds: [1_000, 2_000],
            wait_ms: 30,
            chosen: LINK,
            expected_ms: (100, 100),
        },
        UnevenCase {
            name: "the task needs no fast endpoint while these are full",
            speeds: [1_000, 1_350],
            wait_ms: 15,
            chosen: OTHER_LINK,
            expected_ms: (120, 135),
        },
        UnevenCase {
            name: "the wait is longer than the longer run time",
            speeds: [1_000, 1_700],
            wait_ms: 80,
            chosen: OTHER_LINK,
            expected_ms: (150, 170),
        },
        UnevenCase {
            name: "speeds are equal",
            speeds: [1_000, 1_090],
            wait_ms: 15,
            chosen: OTHER_LINK,
            expected_ms: (100, 100),
        },
    ];
    for case in cases {
        let mut entry = bare_entry();
        let busy = EndpointStatus {
            free: Resources::default(),
            next_end_ms: case.wait_ms,
            ..idle_endpoint()
        };
        let first = if case.wait_ms > 0 {
            busy
        } else {
            idle_endpoint()
        };
        add_agent(&mut entry, LINK, first);
        add_agent(&mut entry, OTHER_LINK, idle_endpoint());
        let speeds = [(LINK, case.speeds[0]), (OTHER_LINK, case.speeds[1])];
        report_speeds(&mut entry, &speeds);
        let mut out = Vec::new();
        submit(&mut entry, 1, 1, false, &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::Send {
                link,
                frame: EntryFrame::Start(order),
            } => Some((*link, order)),
            _ => None,
        });
        let (link, order) = sent.expect("an order");
        let (low, high) = case.expected_ms;
        assert_eq!(link, case.chosen, "{}", case.name);
        assert_eq!(order.nominal_ms, 100, "{}", case.name);
        assert!(
            (low..=high).contains(&order.expected_ms),
            "{}: expected {} ms",
            case.name,
            order.expected_ms
        );
    }
}

/// Guards against a route factor that depends on the endpoints that ran its tasks: estimates are
/// learned for the nominal endpoint.
#[test]
fn run_times_at_a_slow_endpoint_do_not_change_the_estimate() {
    let mut entry = entry();
    let others = [LinkNo(3), LinkNo(4)];
    for link in others {
        add_agent(&mut entry, link, EndpointStatus::default());
    }
    let speeds = [(LINK, 1_900), (others[0], 1_000), (others[1], 1_000)];
    report_speeds(&mut entry, &speeds);
    for job in 1..20 {
        let mut out = Vec::new();
        submit(&mut entry, u64::from(job), job, false, &mut out);
        let order = orders(&out)[0].clone();
        assert!((150..=190).contains(&order.expected_ms));
        assert!((95..=105).contains(&order.nominal_ms));
        report_done(&mut entry, job, order.expected_ms, &mut Vec::new());
        let status = AgentFrame::Status {
            sent: 0,
            orders: u64::from(job),
            load: idle_endpoint(),
        };
        entry.handle_frame(LINK, status, NOW, &mut Vec::new());
    }
}

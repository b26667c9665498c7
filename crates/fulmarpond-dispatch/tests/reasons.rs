//! The log line that explains each refusal and failure to the operator.

mod entry_setup;

use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::entry::{Action, Answer, Entry, RequestNo, Step, Submission};
use fulmarpond_dispatch::{
    AgentFrame, EndpointStatus, JobId, LinkNo, Outcome, Refusal, Resources, TaskEnd, TaskKey,
};

const NOW: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);
const JOB: &str = "5c0e7a21d94b36f8";

/// Collects the log output of a case.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("log buffer").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn entry() -> Entry {
    let options = entry_setup::options();
    let route = Route {
        attempts: 1,
        ..entry_setup::route()
    };
    let mut entry = Entry::new(options, NOW);
    entry.configure(
        Configuration::new(1, vec![route], None),
        NOW,
        &mut Vec::new(),
    );
    entry
}

/// Connects an agent with an endpoint of 8 cores, which is fully occupied for `next_end_ms` unless
/// that is 0.
fn connect_agent(entry: &mut Entry, next_end_ms: u32) {
    let capacity = Resources {
        cpu: 8_000,
        memory: 1_000,
        accelerators: 0,
    };
    let is_full = next_end_ms > 0;
    let load = EndpointStatus {
        ready: true,
        free: if is_full {
            Resources::default()
        } else {
            capacity
        },
        next_end_ms,
        slowness: 100,
        ..EndpointStatus::default()
    };
    entry_setup::link_agent(entry, LINK, capacity, load, NOW);
}

fn submit(entry: &mut Entry, cpu: u32, out: &mut Vec<Action>) {
    let step = Step {
        needs: Resources {
            cpu,
            memory: 1,
            accelerators: 0,
        },
        ..entry_setup::step()
    };
    let submission = Submission {
        spec: String::new(),
        steps: vec![step],
        timeout_ms: 1_000,
        is_durable: false,
        repeat: None,
    };
    let configuration = entry.configuration().expect("a configuration");
    let (route, _) = configuration.route("desk", "/jobs/1").expect("a route");
    let route: Rc<Route> = route;
    entry.submit(
        RequestNo(7),
        JobId(JOB.to_owned()),
        &route,
        submission,
        NOW,
        out,
    );
}

fn ended_frame(outcome: Outcome) -> AgentFrame {
    let task = TaskKey {
        job: JobId(JOB.to_owned()),
        step: 0,
        index: 0,
    };
    AgentFrame::Ended(vec![TaskEnd {
        task,
        outcome,
        run: 1,
        elapsed: 0,
    }])
}

struct Case {
    name: &'static str,
    scenario: fn(&mut Entry, &mut Vec<Action>),
    /// The texts that one log line has to contain.
    expected_texts: &'static [&'static str],
    /// Whether the answer states that the job has not run.
    is_not_run: bool,
}

fn run_case(case: &Case) -> (String, Vec<Action>) {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(move || writer.clone())
        .finish();
    let mut out = Vec::new();
    tracing::subscriber::with_default(subscriber, || (case.scenario)(&mut entry(), &mut out));
    let text = buffer.0.lock().expect("log buffer").clone();
    (String::from_utf8(text).expect("text"), out)
}

fn refuse_request(reason: Refusal, out: &mut Vec<Action>) {
    entry().refuse(RequestNo(7), reason, out);
}

/// Guards against a refusal or failure whose cause an operator cannot find in the log, and against
/// an answer that states that a job has not run although it may have.
#[test]
fn each_refusal_and_failure_is_explained_by_a_log_line() {
    let cases = [
        Case {
            name: "no configuration",
            scenario: |_, out| refuse_request(Refusal::NoConfiguration, out),
            expected_texts: &["request refused", "no_configuration"],
            is_not_run: true,
        },
        Case {
            name: "no route",
            scenario: |_, out| refuse_request(Refusal::NoRoute, out),
            expected_texts: &["request refused", "no_route"],
            is_not_run: true,
        },
        Case {
            name: "invalid",
            scenario: |_, out| refuse_request(Refusal::Invalid, out),
            expected_texts: &["request refused", "invalid"],
            is_not_run: true,
        },
        Case {
            name: "unsupported",
            scenario: |_, out| refuse_request(Refusal::Unsupported, out),
            expected_texts: &["request refused", "unsupported"],
            is_not_run: true,
        },
        Case {
            name: "no store",
            scenario: |_, out| refuse_request(Refusal::NoStore, out),
            expected_texts: &["request refused", "no_store"],
            is_not_run: true,
        },
        Case {
            name: "no endpoint",
            scenario: |entry, out| submit(entry, 1_000, out),
            expected_texts: &["job refused", JOB, "no_endpoint", "agents", "version"],
            is_not_run: true,
        },
        Case {
            name: "never fits",
            scenario: |entry, out| {
                connect_agent(entry, 0);
                submit(entry, 9_000, out);
            },
            expected_texts: &["job refused", JOB, "never_fits"],
            is_not_run: true,
        },
        Case {
            name: "overloaded",
            scenario: |entry, out| {
                connect_agent(entry, 5_000);
                submit(entry, 1_000, out);
            },
            expected_texts: &[
                "job refused",
                JOB,
                "overloaded",
                "planned_wait_ms",
                "slack_ms",
                "view_age_ms",
            ],
            is_not_run: true,
        },
        Case {
            name: "deadline passed",
            scenario: |entry, out| {
                connect_agent(entry, 0);
                submit(entry, 1_000, out);
                let status = AgentFrame::Status {
                    sent: 0,
                    orders: 1,
                    load: EndpointStatus::default(),
                };
                let after_deadline = NOW.after_millis(1_100);
                entry.handle_frame(LINK, status, after_deadline, out);
                entry.tick(after_deadline, out);
            },
            expected_texts: &[
                "job given up",
                JOB,
                "deadline_passed",
                "may_have_run\":true",
            ],
            is_not_run: false,
        },
        Case {
            name: "runs lost",
            scenario: |entry, out| {
                connect_agent(entry, 0);
                submit(entry, 1_000, out);
                entry.link_down(LINK, NOW, out);
            },
            expected_texts: &["job given up", JOB, "runs_lost", "may_have_run\":true"],
            is_not_run: false,
        },
        Case {
            name: "stopping",
            scenario: |entry, out| {
                connect_agent(entry, 0);
                submit(entry, 1_000, out);
                entry.give_up_all(NOW, out);
            },
            expected_texts: &["job given up", JOB, "stopping", "may_have_run\":true"],
            is_not_run: false,
        },
        Case {
            name: "maximum number of failures reached",
            scenario: |entry, out| {
                connect_agent(entry, 0);
                submit(entry, 1_000, out);
                entry.handle_frame(LINK, ended_frame(Outcome::Failed), NOW, out);
            },
            expected_texts: &["job failed", JOB],
            is_not_run: false,
        },
    ];
    for case in cases {
        let (text, out) = run_case(&case);
        let is_logged = text
            .lines()
            .any(|line| case.expected_texts.iter().all(|part| line.contains(part)));
        assert!(is_logged, "{}: no matching line in {text}", case.name);
        let answer = out.iter().find_map(|action| match action {
            Action::Answer { answer, .. } => Some(*answer),
            _ => None,
        });
        let is_not_run = matches!(answer, Some(Answer::NotRun { .. }));
        assert_eq!(is_not_run, case.is_not_run, "{}: {answer:?}", case.name);
    }
}

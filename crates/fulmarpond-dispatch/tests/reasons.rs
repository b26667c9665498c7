//! The line in the log that explains each refusal and failure.

use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use fulmarpond_core::Time;
use fulmarpond_dispatch::entry::{
    Action, Answer, Configuration, Entry, EntryOptions, RequestNo, Route, Step, Submission,
};
use fulmarpond_dispatch::{
    AgentFrame, Bounds, EndpointId, EndpointStatus, JobId, LinkNo, Needs, Outcome, Refusal,
    TaskEnd, TaskKey,
};

const NOW: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);
const JOB: &str = "5c0e7a21d94b36f8";

/// What was logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn entry() -> Entry {
    let options = EntryOptions {
        name: "entry-1".to_owned(),
        zone: "Saga".to_owned(),
        bounds: Bounds::new(1_300, 1_000, 50).expect("room for leases"),
        far: 1.0,
        life: 1,
        writes: 400,
        keep_ms: 120_000,
        advises: false,
    };
    let route = Route {
        name: "r".to_owned(),
        host: "desk".to_owned(),
        prefix: "/jobs/".to_owned(),
        service: "service".to_owned(),
        priority: 0,
        attempts: 1,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    };
    let mut entry = Entry::new(options, NOW);
    entry.configure(Configuration::new(1, vec![route], None), &mut Vec::new());
    entry
}

/// Links an agent with an endpoint of 8 cores and some work that waits.
fn agent(entry: &mut Entry, next_end: u32) {
    let hello = AgentFrame::Hello {
        name: "agent-1".to_owned(),
        zone: "Saga".to_owned(),
        version: 1,
    };
    let capacity = Needs {
        cpu: 8_000,
        memory: 1_000,
        accelerators: 0,
    };
    let endpoint = AgentFrame::Endpoint {
        id: EndpointId("i-1".to_owned()),
        service: "service".to_owned(),
        capacity,
        labels: Vec::new(),
    };
    let full = next_end > 0;
    let load = EndpointStatus {
        ready: true,
        free: if full { Needs::default() } else { capacity },
        next_end,
        slowness: 100,
        ..EndpointStatus::default()
    };
    let status = AgentFrame::Status {
        sent: 0,
        orders: 0,
        load,
    };
    for frame in [hello, endpoint, status] {
        entry.frame(LINK, frame, NOW, &mut Vec::new());
    }
}

fn submit(entry: &mut Entry, cpu: u32, out: &mut Vec<Action>) {
    let step = Step {
        count: 1,
        needs: Needs {
            cpu,
            memory: 1,
            accelerators: 0,
        },
        estimate: 100,
        after: Vec::new(),
        label: None,
        affinity: None,
        spread: None,
        gang: false,
        colocated: false,
        long_running: false,
        may_miss: None,
    };
    let submission = Submission {
        spec: String::new(),
        steps: vec![step],
        patience: 1_000,
        kept: false,
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

fn ended(outcome: Outcome) -> AgentFrame {
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
    play: fn(&mut Entry, &mut Vec<Action>),
    /// What one line has to hold.
    line: &'static [&'static str],
    /// Whether the answer says that the job has not run.
    not_run: bool,
}

fn play(case: &Case) -> (String, Vec<Action>) {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(move || writer.clone())
        .finish();
    let mut out = Vec::new();
    tracing::subscriber::with_default(subscriber, || (case.play)(&mut entry(), &mut out));
    let text = lines.0.lock().expect("the lines").clone();
    (String::from_utf8(text).expect("text"), out)
}

fn refusal(reason: Refusal, out: &mut Vec<Action>) {
    entry().refuse(RequestNo(7), reason, out);
}

/// Guards against a refusal or failure that the log does not explain, or that is answered untruly.
#[test]
fn each_refusal_and_failure_has_its_line() {
    let cases = [
        Case {
            name: "no configuration",
            play: |_, out| refusal(Refusal::NoConfiguration, out),
            line: &["request refused", "no_configuration"],
            not_run: true,
        },
        Case {
            name: "no route",
            play: |_, out| refusal(Refusal::NoRoute, out),
            line: &["request refused", "no_route"],
            not_run: true,
        },
        Case {
            name: "invalid",
            play: |_, out| refusal(Refusal::Invalid, out),
            line: &["request refused", "invalid"],
            not_run: true,
        },
        Case {
            name: "unsupported",
            play: |_, out| refusal(Refusal::Unsupported, out),
            line: &["request refused", "unsupported"],
            not_run: true,
        },
        Case {
            name: "no store",
            play: |_, out| refusal(Refusal::NoStore, out),
            line: &["request refused", "no_store"],
            not_run: true,
        },
        Case {
            name: "no endpoint",
            play: |entry, out| submit(entry, 1_000, out),
            line: &["job refused", JOB, "no_endpoint", "agents", "version"],
            not_run: true,
        },
        Case {
            name: "never fits",
            play: |entry, out| {
                agent(entry, 0);
                submit(entry, 9_000, out);
            },
            line: &["job refused", JOB, "never_fits"],
            not_run: true,
        },
        Case {
            name: "overloaded",
            play: |entry, out| {
                agent(entry, 5_000);
                submit(entry, 1_000, out);
            },
            line: &[
                "job refused",
                JOB,
                "overloaded",
                "planned_wait_ms",
                "slack_ms",
                "view_age_ms",
            ],
            not_run: true,
        },
        Case {
            name: "deadline passed",
            play: |entry, out| {
                agent(entry, 0);
                submit(entry, 1_000, out);
                let status = AgentFrame::Status {
                    sent: 0,
                    orders: 1,
                    load: EndpointStatus::default(),
                };
                let late = NOW.after_millis(1_100);
                entry.frame(LINK, status, late, out);
                entry.tick(late, out);
            },
            line: &[
                "job given up",
                JOB,
                "deadline_passed",
                "may_have_run\":true",
            ],
            not_run: false,
        },
        Case {
            name: "runs lost",
            play: |entry, out| {
                agent(entry, 0);
                submit(entry, 1_000, out);
                entry.link_down(LINK, NOW, out);
            },
            line: &["job given up", JOB, "runs_lost", "may_have_run\":true"],
            not_run: false,
        },
        Case {
            name: "stopping",
            play: |entry, out| {
                agent(entry, 0);
                submit(entry, 1_000, out);
                entry.give_up_all(NOW, out);
            },
            line: &["job given up", JOB, "stopping", "may_have_run\":true"],
            not_run: false,
        },
        Case {
            name: "failed as often as it may",
            play: |entry, out| {
                agent(entry, 0);
                submit(entry, 1_000, out);
                entry.frame(LINK, ended(Outcome::Failed), NOW, out);
            },
            line: &["job failed", JOB],
            not_run: false,
        },
    ];
    for case in cases {
        let (text, out) = play(&case);
        let told = text
            .lines()
            .any(|line| case.line.iter().all(|part| line.contains(part)));
        assert!(told, "{}: {text}", case.name);
        let answer = out.iter().find_map(|action| match action {
            Action::Answer { answer, .. } => Some(*answer),
            _ => None,
        });
        let not_run = matches!(answer, Some(Answer::NotRun { .. }));
        assert_eq!(not_run, case.not_run, "{}: {answer:?}", case.name);
    }
}

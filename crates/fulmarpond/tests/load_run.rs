//! Complete runs of the load generator against a fake entry.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{FakeEntry, Run, closed_addr, run};
use expect_test::expect;
use fulmarpond_http::{Request, Response};
use serde_json::{Value, json};

/// A fake system with an entry, a metrics page and a ledger on one address.
#[derive(Default)]
struct System {
    /// Whether a task of a refused job is started, and a task of an answered job is started twice.
    faulty: bool,
    scrapes: AtomicU64,
    starts: Mutex<Vec<Value>>,
}

impl System {
    fn serve(self) -> FakeEntry {
        let system = Arc::new(self);
        FakeEntry::serve_raw(move |request| system.reply(request))
    }

    fn reply(&self, request: &Request) -> Response {
        match request.path().as_str() {
            "/v1/jobs" => self.submit(request),
            "/metrics" => {
                let scrapes = self.scrapes.fetch_add(1, Ordering::Relaxed);
                Response::text(
                    200,
                    format!(
                        "fulmarpond_messages_total{{call=\"run\"}} {}\n\
                     fulmarpond_messages_wasted_total {}\n",
                        100 + 300 * scrapes,
                        2 + 3 * scrapes
                    ),
                )
            }
            "/control/ledger" => {
                Response::json(200, &*self.starts.lock().expect("no panic while recording"))
            }
            _ => Response::empty(404),
        }
    }

    /// Answers every job except those whose number ends in 3 or 7.
    fn submit(&self, request: &Request) -> Response {
        let job: Value = serde_json::from_slice(request.body()).expect("JSON");
        let id = job["id"].as_str().expect("an id");
        let tasks = job["tasks"].as_array().expect("tasks");
        let start = |task: usize| {
            self.starts
                .lock()
                .expect("no panic while recording")
                .push(json!({"job": format!("hunt/{id}"), "task": task, "started": 1, "at_ms": 0}));
        };
        let refused = |status, verdict, reason| {
            Response::json(
                status,
                &json!({"id": id, "verdict": verdict, "reason": reason}),
            )
        };
        if id.ends_with('3') {
            if self.faulty && id.ends_with("-3") {
                start(0);
            }
            return refused(429, "not_run", "over_quota");
        }
        if id.ends_with('7') {
            return refused(504, "may_have_run", "agent_lost");
        }
        for task in 0..tasks.len() {
            start(task);
        }
        if self.faulty && id.ends_with("-5") {
            start(1);
        }
        let results: Vec<Value> = tasks
            .iter()
            .map(|task| json!({"echo": task["payload"]}))
            .collect();
        Response::json(
            200,
            &json!({"id": id, "verdict": "answered", "results": results}),
        )
    }
}

fn run_load(entry: &FakeEntry, more: &[&str]) -> Run {
    let addr = entry.addr();
    let mut args = vec![
        "load",
        "--entry",
        &addr,
        "--rate",
        "100",
        "--duration",
        "500ms",
        "--tasks",
        "2",
        "--seed",
        "4",
    ];
    args.extend(more);
    run(&args, "")
}

/// Returns the fields of a report that do not depend on time.
fn without_timing(run: &Run) -> String {
    let mut report: Value = serde_json::from_str(&run.stdout).expect("a JSON report");
    for field in ["achieved_rate", "elapsed_s", "clients"] {
        assert!(
            report
                .as_object_mut()
                .expect("an object")
                .remove(field)
                .is_some()
        );
    }
    for measure in ["response_ms", "response_over_ideal"] {
        report[measure] = report[measure]["count"].take();
    }
    format!("exit {}\n{report:#}\n{}", run.code, run.stderr)
}

/// Guards against jobs, messages or starts that are missing from the report. The run contains
/// answered, refused and failed jobs, and counters that are not 0 before the run.
#[test]
fn report_counts_everything() {
    let entry = System::default().serve();
    let addr = entry.addr();
    let run = run_load(
        &entry,
        &[
            "--run-ms",
            "0",
            "--metrics",
            &addr,
            "--ledger",
            &addr,
            "--label",
            "trial",
            "--json",
        ],
    );
    expect![[r#"
        exit 0
        {
          "answered_tasks": 76,
          "jobs": 48,
          "label": "trial",
          "ledger": {
            "denied": [],
            "repeated": [],
            "starts": 76,
            "unread": []
          },
          "messages": {
            "per_task": 3.9473684210526314,
            "total": 300.0,
            "unread": [],
            "wasted": 3.0,
            "wasted_percent": 1.0
          },
          "offered_rate": 96.0,
          "planned_rate": 100.0,
          "response_ms": 38,
          "response_over_ideal": 0,
          "seed": 4,
          "tasks": 96,
          "verdicts": [
            {
              "jobs": 38,
              "reason": "",
              "verdict": "answered"
            },
            {
              "jobs": 5,
              "reason": "agent_lost",
              "verdict": "may_have_run"
            },
            {
              "jobs": 5,
              "reason": "over_quota",
              "verdict": "not_run"
            }
          ]
        }
    "#]]
    .assert_eq(&without_timing(&run));
}

/// Guards against a run that succeeds although a ledger shows a violation. The system starts one
/// task twice and a task of a job to which it replied `not_run`.
#[test]
fn ledger_violations_fail_the_run() {
    let entry = System {
        faulty: true,
        ..System::default()
    }
    .serve();
    let addr = entry.addr();
    let run = run_load(&entry, &["--ledger", &addr, "--json"]);
    let report: Value = serde_json::from_str(&run.stdout).expect("a JSON report");
    let suffixes = |field: &str| -> Vec<String> {
        report["ledger"][field]
            .as_array()
            .expect("a list")
            .iter()
            .map(|task| task.as_str().expect("text")["load-0123456789abcdef".len()..].to_owned())
            .collect()
    };
    assert_eq!(suffixes("repeated"), ["-5 task 1"]);
    assert_eq!(suffixes("denied"), ["-3 task 0"]);
    assert_eq!(run.code, 4, "{}", run.stderr);
}

/// Guards against response times that include queueing in the load generator without a warning. One
/// client at 50 ms per job can't keep up with 100 jobs/s.
#[test]
fn too_few_clients_are_reported() {
    let entry = FakeEntry::serve_raw(|_| {
        std::thread::sleep(Duration::from_millis(50));
        Response::text(200, "{}")
    });
    let run = run_load(&entry, &["--clients", "1", "--json"]);
    let report: Value = serde_json::from_str(&run.stdout).expect("a JSON report");
    assert_eq!(report["clients"]["enough"], false, "{report}");
    assert_eq!(report["clients"]["threads"], 1);
}

/// Guards against sums that omit a page without a warning. A process that can't be reached has no
/// metrics page and no ledger to read.
#[test]
fn unread_pages_are_listed() {
    let entry = System::default().serve();
    let closed = closed_addr();
    let run = run_load(
        &entry,
        &["--metrics", &closed, "--ledger", &closed, "--json"],
    );
    assert_eq!(run.code, 0, "{}", run.stderr);
    let report: Value = serde_json::from_str(&run.stdout).expect("a JSON report");
    for part in ["messages", "ledger"] {
        let unread = report[part]["unread"].as_array().expect("a list");
        assert_eq!(unread.len(), 1, "{report}");
    }
}

/// Guards against a run without a reachable entry that looks like a measurement: no request is
/// sent, so there are no response times.
#[test]
fn run_without_reachable_entry_fails() {
    let addr = closed_addr();
    let run = run(
        &[
            "load",
            "--entry",
            &addr,
            "--rate",
            "50",
            "--duration",
            "200ms",
        ],
        "",
    );
    assert_eq!(run.code, 5, "{}", run.stderr);
    assert!(run.stdout.contains("not_sent"), "{}", run.stdout);
    // Quantiles without values must not be shown as response times of 0.
    assert!(!run.stdout.contains("0.000"), "{}", run.stdout);
}

/// Guards against options that are silently ignored because an option they depend on is missing,
/// and against a rate that can't be computed.
#[test]
fn invalid_arguments_are_rejected() {
    let cases: [&[&str]; 11] = [
        &[],
        &["--rate", "0"],
        &["--rate", "5", "--utilization", "80", "--slots", "8"],
        &["--utilization", "80"],
        &["--utilization", "80", "--slots", "8", "--run-ms", "0"],
        &["--rate", "5", "--slots", "8"],
        &["--rate", "5", "--tasks", "0..3"],
        &[
            "--rate",
            "5",
            "--distribution",
            "log-uniform",
            "--run-ms",
            "0..9",
        ],
        &["--rate", "5", "--burst", "3"],
        &[
            "--rate",
            "5",
            "--burst",
            "3",
            "--burst-every",
            "1s",
            "--burst-for",
            "1s",
        ],
        &["--rate", "5", "--duration", "3h"],
    ];
    for case in cases {
        let mut args = vec!["load"];
        args.extend(case);
        let run = run(&args, "");
        assert_eq!(run.code, 2, "{case:?}: {}", run.stderr);
    }
}

/// Guards against a rate that does not match the utilization, computed from the means of task count
/// and run time: 80 % of 8 slots with 4 tasks of 100 ms per job are 16 jobs/s.
#[test]
fn utilization_sets_the_rate() {
    let entry = System::default().serve();
    let addr = entry.addr();
    let run = run(
        &[
            "load",
            "--entry",
            &addr,
            "--utilization",
            "80",
            "--slots",
            "8",
            "--tasks",
            "3..5",
            "--run-ms",
            "50..150",
            "--duration",
            "200ms",
            "--json",
        ],
        "",
    );
    let report: Value = serde_json::from_str(&run.stdout).expect("a JSON report");
    assert_eq!(report["planned_rate"], 16.0);
}

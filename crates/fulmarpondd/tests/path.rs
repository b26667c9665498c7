//! The whole path through separate processes: entries, agents, endpoints and the platform.

mod common;

use std::thread;

use common::{System, assert_complete, delete, get, job, post, submit, wait_until};
use serde_json::{Value, json};

/// Guards against lost, doubled or misplaced results on the ordinary path.
#[test]
fn a_large_job_is_answered_complete() {
    let system = System::start(2, 4, 8);
    let runs: Vec<u64> = (0..200).map(|number| 50 + (number * 37) % 950).collect();
    let (status, answer) = submit(system.entries[0].http, &job("large", 1, &runs));
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 200);
    assert_eq!(system.starts().len(), 200);
    system.assert_single_starts();
}

/// Guards against a second start when the same submission arrives twice and at two entries.
#[test]
fn a_resubmission_starts_no_task_again() {
    let system = System::start(2, 4, 8);
    let first = system.entries[0].http;
    let second = system.entries[1].http;
    let runs = [300; 20];
    let threads: Vec<_> = [(first, 1), (second, 2), (first, 2), (second, 3)]
        .into_iter()
        .map(|(entry, attempt)| thread::spawn(move || submit(entry, &job("twice", attempt, &runs))))
        .collect();
    for thread in threads {
        let (status, answer) = thread.join().expect("the caller ends");
        assert_eq!(status, 200, "{answer}");
        assert_complete(&answer, 20);
    }
    let (status, answer) = submit(second, &job("twice", 5, &runs));
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 20);
    system.assert_single_starts();
}

/// Guards against answers that only the connection of the submit can deliver.
#[test]
fn an_answer_can_be_fetched_and_watched_at_another_entry() {
    let system = System::start(2, 4, 8);
    let mut submission = job("later", 1, &[100, 200]);
    submission["wait"] = json!(false);
    let (status, accepted) = submit(system.entries[0].http, &submission);
    assert_eq!(
        (status, &accepted["state"]),
        (202, &json!("accepted")),
        "{accepted}"
    );
    let other = system.entries[1].http;
    let path = "/v1/jobs/later/answer?team=hunt-desk&wait_ms=10000";
    let (status, answer) = get(other, path);
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 2);
    let (status, events) = get(other, "/v1/jobs/later/events?team=hunt-desk");
    assert_eq!(status, 200);
    let kinds: Vec<&str> = events["events"]
        .as_array()
        .expect("a list of events")
        .iter()
        .filter_map(|event| event["kind"].as_str())
        .collect();
    for kind in ["queued", "sent", "done", "ended"] {
        assert!(kinds.contains(&kind), "no event {kind} in {kinds:?}");
    }
    let (status, state) = get(other, "/v1/jobs/later?team=hunt-desk");
    assert_eq!((status, &state["state"]), (200, &json!("ended")));
    assert_eq!(get(other, "/v1/jobs/other?team=hunt-desk").0, 404);
}

/// Guards against a cancelled job that goes on starting tasks, and against a wrong "not run".
#[test]
fn a_cancelled_job_says_truthfully_whether_it_ran() {
    let system = System::start(1, 2, 1);
    let entry = system.entries[0].http;
    let mut submission = job("wave", 1, &[500; 40]);
    submission["wait"] = json!(false);
    assert_eq!(submit(entry, &submission).0, 202);
    wait_until("a task has started", || !system.starts().is_empty());
    let (status, answer) = delete(entry, "/v1/jobs/wave?team=hunt-desk");
    assert_eq!(status, 504, "{answer}");
    assert_eq!(answer["reason"], "cancelled");
    let (status, answer) = submit(entry, &job("after", 1, &[0; 8]));
    assert_eq!(status, 200, "{answer}");
    let started = system
        .starts()
        .keys()
        .filter(|(job, _)| job.ends_with("wave"))
        .count();
    assert!(started < 40, "a cancelled job went on to its end");
}

/// Guards against callers above the bound that wait in a queue, or are refused without a reason and
/// a time to come back, and against places that are never given back.
#[test]
fn callers_above_the_bound_are_refused_at_once() {
    let system = System::with_timing(1, 2, 8, "[limits]\ncallers = 2");
    let entry = system.entries[0].http;
    let waiting: Vec<_> = (0..2)
        .map(|number| {
            let job = job(&format!("waiting-{number}"), 1, &[3_000]);
            thread::spawn(move || submit(entry, &job))
        })
        .collect();
    wait_until("both jobs run", || system.starts().len() == 2);
    let (status, refusal) = submit(entry, &job("refused", 1, &[0]));
    assert_eq!(status, 503, "{refusal}");
    assert_eq!(refusal["verdict"], "not_run");
    assert_eq!(refusal["reason"], "overloaded");
    assert!(refusal["retry_after_ms"].as_u64() > Some(0), "{refusal}");
    assert_eq!(get(entry, "/v1/roster").0, 200, "others are still served");
    for thread in waiting {
        let (status, answer) = thread.join().expect("the caller ends");
        assert_eq!(status, 200, "{answer}");
    }
    let (status, answer) = submit(entry, &job("refused", 2, &[0]));
    assert_eq!(status, 200, "{answer}");
    system.assert_single_starts();
}

/// Guards against callers that are not answered while many others wait at the same entry.
#[test]
fn many_callers_wait_at_once() {
    let system = System::start(1, 4, 8);
    let entry = system.entries[0].http;
    let callers: Vec<_> = (0..200)
        .map(|number| {
            let job = job(&format!("many-{number}"), 1, &[100, 0]);
            thread::spawn(move || submit(entry, &job))
        })
        .collect();
    for caller in callers {
        let (status, answer) = caller.join().expect("the caller ends");
        assert_eq!(status, 200, "{answer}");
        assert_complete(&answer, 2);
    }
    system.assert_single_starts();
}

/// A malformed submission with what its refusal must name.
struct BadInput {
    name: &'static str,
    change: fn(&mut Value),
    status: u16,
    names: &'static str,
}

/// Guards against malformed requests that start tasks or are refused without naming the field.
#[test]
fn bad_input_is_refused_with_field_and_reason() {
    let cases = [
        BadInput {
            name: "unknown field",
            change: |job| job["colour"] = json!("red"),
            status: 400,
            names: "colour",
        },
        BadInput {
            name: "malformed id",
            change: |job| job["id"] = json!("a b"),
            status: 400,
            names: "`id`",
        },
        BadInput {
            name: "past deadline",
            change: |job| job["deadline_ms"] = json!(0),
            status: 400,
            names: "deadline_ms",
        },
        BadInput {
            name: "negative deadline",
            change: |job| job["deadline_ms"] = json!(-5),
            status: 400,
            names: "invalid value",
        },
        BadInput {
            name: "no tasks",
            change: |job| job["tasks"] = json!([]),
            status: 400,
            names: "`tasks`",
        },
        BadInput {
            name: "too many tasks",
            change: |job| job["tasks"] = json!(vec![json!({"kind": "k"}); 671]),
            status: 400,
            names: "671 tasks, the limit is 670",
        },
        BadInput {
            name: "attempt zero",
            change: |job| job["attempt"] = json!(0),
            status: 400,
            names: "`attempt`",
        },
        BadInput {
            name: "bad task kind",
            change: |job| job["tasks"][0]["kind"] = json!(""),
            status: 400,
            names: "tasks[0].kind",
        },
        BadInput {
            name: "too large body",
            change: |job| job["tasks"][0]["payload"] = json!("x".repeat(5 << 20)),
            status: 413,
            names: "larger than",
        },
        BadInput {
            name: "needs that no endpoint has",
            change: |job| job["tasks"][0]["needs"] = json!({"accelerators": 9}),
            status: 503,
            names: "no live endpoint",
        },
    ];
    let system = System::start(1, 2, 2);
    let entry = system.entries[0].http;
    for case in cases {
        let mut submission = job("bad", 1, &[0]);
        (case.change)(&mut submission);
        let (status, refusal) = submit(entry, &submission);
        assert_eq!(status, case.status, "{}: {refusal}", case.name);
        assert_eq!(refusal["verdict"], "not_run", "{}: {refusal}", case.name);
        let detail = refusal["detail"].as_str().unwrap_or_default();
        assert!(detail.contains(case.names), "{}: {detail}", case.name);
    }
    let (status, refusal) = post(entry, "/v1/config", &json!({"id": "p", "base": 7}));
    assert_eq!(status, 409, "{refusal}");
    assert!(
        system.starts().is_empty(),
        "a refused submission started a task"
    );
}

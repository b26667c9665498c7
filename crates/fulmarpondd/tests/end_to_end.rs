//! End-to-end tests of jobs with separate processes: entries and agents, beside stand-ins for the
//! endpoints and the platform.

mod common;

use std::thread;

use common::{System, assert_complete, delete, get, job, post, submit, wait_until};
use serde_json::{Value, json};

/// Guards against results that are lost, duplicated or returned at the wrong position when a job
/// with many tasks is spread over several agents without any fault.
#[test]
fn a_large_job_gets_all_results() {
    let system = System::start(2, 4, 8);
    let runs: Vec<u64> = (0..200).map(|number| 50 + (number * 37) % 950).collect();
    let (status, answer) = submit(system.entries[0].http, &job("large", 1, &runs));
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 200);
    assert_eq!(system.starts().len(), 200);
    system.assert_single_starts();
}

/// Guards against tasks that start twice when a caller submits the same job again while it runs and
/// after it ended, through the same entry and through another one.
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
        let (status, answer) = thread.join().expect("the caller thread does not panic");
        assert_eq!(status, 200, "{answer}");
        assert_complete(&answer, 20);
    }
    let (status, answer) = submit(second, &job("twice", 5, &runs));
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 20);
    system.assert_single_starts();
}

/// Guards against answers that are available only on the connection of the submission: a caller
/// that does not wait must be able to fetch the answer, events and state through any entry.
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

/// Guards against a cancelled job whose remaining tasks are still started, and against the verdict
/// "not run" for a job of which tasks were started before the cancellation.
#[test]
fn a_cancelled_job_reports_that_it_may_have_run() {
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
    assert!(started < 40, "all tasks of the cancelled job were started");
}

/// Guards against submissions above `limits.callers` that are queued, or refused without a reason
/// and a retry delay, and against permits that are not released when a caller gets its answer.
#[test]
fn callers_above_the_limit_are_refused_immediately() {
    let system = System::with_settings(1, 2, 8, "[limits]\ncallers = 2");
    let entry = system.entries[0].http;
    let waiting: Vec<_> = (0..2)
        .map(|number| {
            let job = job(&format!("waiting-{number}"), 1, &[3_000]);
            thread::spawn(move || submit(entry, &job))
        })
        .collect();
    wait_until("both jobs are running", || system.starts().len() == 2);
    let (status, refusal) = submit(entry, &job("refused", 1, &[0]));
    assert_eq!(status, 503, "{refusal}");
    assert_eq!(refusal["verdict"], "not_run");
    assert_eq!(refusal["reason"], "overloaded");
    assert!(refusal["retry_after_ms"].as_u64() > Some(0), "{refusal}");
    assert_eq!(
        get(entry, "/v1/roster").0,
        200,
        "requests other than submissions are still served"
    );
    for thread in waiting {
        let (status, answer) = thread.join().expect("the caller thread does not panic");
        assert_eq!(status, 200, "{answer}");
    }
    let (status, answer) = submit(entry, &job("refused", 2, &[0]));
    assert_eq!(status, 200, "{answer}");
    system.assert_single_starts();
}

/// Guards against callers that get no answer while many others wait at the same entry, for example
/// because each of them occupies a thread.
#[test]
fn many_callers_wait_concurrently() {
    let system = System::start(1, 4, 8);
    let entry = system.entries[0].http;
    let callers: Vec<_> = (0..200)
        .map(|number| {
            let job = job(&format!("many-{number}"), 1, &[100, 0]);
            thread::spawn(move || submit(entry, &job))
        })
        .collect();
    for caller in callers {
        let (status, answer) = caller.join().expect("the caller thread does not panic");
        assert_eq!(status, 200, "{answer}");
        assert_complete(&answer, 2);
    }
    system.assert_single_starts();
}

/// An invalid submission, and the text that its refusal must contain.
struct InvalidInput {
    name: &'static str,
    modify: fn(&mut Value),
    status: u16,
    detail: &'static str,
}

/// Guards against invalid submissions that start tasks, or whose refusal does not name the field
/// and the reason.
#[test]
fn invalid_input_is_refused_with_field_and_reason() {
    let cases = [
        InvalidInput {
            name: "unknown field",
            modify: |job| job["colour"] = json!("red"),
            status: 400,
            detail: "colour",
        },
        InvalidInput {
            name: "malformed id",
            modify: |job| job["id"] = json!("a b"),
            status: 400,
            detail: "`id`",
        },
        InvalidInput {
            name: "past deadline",
            modify: |job| job["deadline_ms"] = json!(0),
            status: 400,
            detail: "deadline_ms",
        },
        InvalidInput {
            name: "negative deadline",
            modify: |job| job["deadline_ms"] = json!(-5),
            status: 400,
            detail: "invalid value",
        },
        InvalidInput {
            name: "no tasks",
            modify: |job| job["tasks"] = json!([]),
            status: 400,
            detail: "`tasks`",
        },
        InvalidInput {
            name: "too many tasks",
            modify: |job| job["tasks"] = json!(vec![json!({"kind": "k"}); 671]),
            status: 400,
            detail: "671 tasks, the limit is 670",
        },
        InvalidInput {
            name: "attempt zero",
            modify: |job| job["attempt"] = json!(0),
            status: 400,
            detail: "`attempt`",
        },
        InvalidInput {
            name: "bad task kind",
            modify: |job| job["tasks"][0]["kind"] = json!(""),
            status: 400,
            detail: "tasks[0].kind",
        },
        InvalidInput {
            name: "too large body",
            modify: |job| job["tasks"][0]["payload"] = json!("x".repeat(5 << 20)),
            status: 413,
            detail: "larger than",
        },
        InvalidInput {
            name: "needs that no endpoint has",
            modify: |job| job["tasks"][0]["needs"] = json!({"accelerators": 9}),
            status: 503,
            detail: "no live endpoint",
        },
    ];
    let system = System::start(1, 2, 2);
    let entry = system.entries[0].http;
    for case in cases {
        let mut submission = job("bad", 1, &[0]);
        (case.modify)(&mut submission);
        let (status, refusal) = submit(entry, &submission);
        assert_eq!(status, case.status, "{}: {refusal}", case.name);
        assert_eq!(refusal["verdict"], "not_run", "{}: {refusal}", case.name);
        let actual_detail = refusal["detail"].as_str().unwrap_or_default();
        assert!(
            actual_detail.contains(case.detail),
            "{}: {actual_detail}",
            case.name
        );
    }
    let (status, refusal) = post(entry, "/v1/config", &json!({"id": "p", "base": 7}));
    assert_eq!(status, 409, "{refusal}");
    assert!(
        system.starts().is_empty(),
        "a refused submission started a task"
    );
}

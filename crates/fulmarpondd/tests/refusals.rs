//! Refusals that must tell the truth: quotas, resubmissions and questions.

mod common;

use std::net::SocketAddr;
use std::thread;

use common::{System, assert_complete, get, job, post, submit, wait_until};
use serde_json::json;

/// The quota of the team in these tests, in tasks in flight.
const QUOTA: usize = 20;

/// Starts a small system whose team has the quota, in force at every entry.
fn limited_system() -> System {
    let system = System::start(2, 2, 8);
    let set = json!({"team.hunt-desk.quota": QUOTA.to_string()});
    let patch = json!({"id": "quota", "base": 0, "set": set});
    let (status, reply) = post(system.entries[0].http, "/v1/config", &patch);
    assert_eq!(status, 201, "{reply}");
    wait_until("the quota is in force", || {
        let in_force = |entry| get(entry, "/v1/config").1["version"] == 1;
        system.entry_addrs().into_iter().all(in_force)
    });
    system
}

/// Returns the tasks in flight that an entry counts for the team.
fn in_flight(entry: SocketAddr) -> Option<u64> {
    let (_, teams) = get(entry, "/v1/teams");
    let row = teams
        .as_array()?
        .iter()
        .find(|row| row["team"] == "hunt-desk")?;
    row["in_flight"].as_u64()
}

/// Guards against a resubmission that is refused for the quota that its own first attempt uses up,
/// and against a quota that one entry alone enforces.
#[test]
fn a_resubmission_over_the_quota_gets_the_answer() {
    let system = limited_system();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let runs = [1_500; QUOTA];
    let caller = thread::spawn(move || submit(first, &job("full", 1, &runs)));
    wait_until("both entries count the job", || {
        [first, second]
            .iter()
            .all(|entry| in_flight(*entry) == Some(QUOTA as u64))
    });
    let (status, refusal) = submit(second, &job("more", 1, &[0]));
    assert_eq!(
        (status, &refusal["reason"]),
        (429, &json!("over_quota")),
        "{refusal}"
    );
    assert_eq!(refusal["verdict"], "not_run", "{refusal}");
    for entry in [first, second] {
        let (status, answer) = submit(entry, &job("full", 2, &runs));
        assert_eq!(status, 200, "{answer}");
        assert_complete(&answer, QUOTA);
    }
    let (status, answer) = caller.join().expect("the caller ends");
    assert_eq!(status, 200, "{answer}");
    system.assert_single_starts();
}

/// Guards against jobs that escape the quota because their callers do not wait.
#[test]
fn jobs_without_a_waiting_caller_count_for_the_quota() {
    let system = limited_system();
    let entry = system.entries[0].http;
    let mut submission = job("aside", 1, &[3_000; QUOTA]);
    submission["wait"] = json!(false);
    assert_eq!(submit(entry, &submission).0, 202);
    wait_until("the entry counts the job", || {
        in_flight(entry) == Some(QUOTA as u64)
    });
    let (status, refusal) = submit(entry, &job("more", 1, &[0]));
    assert_eq!(
        (status, &refusal["reason"]),
        (429, &json!("over_quota")),
        "{refusal}"
    );
}

/// Guards against a later attempt that is told "not run" by an entry that did not look whether the
/// first attempt runs.
#[test]
fn an_overloaded_entry_does_not_speak_for_earlier_attempts() {
    let system = System::with_timing(2, 2, 8, "[limits]\ncallers = 1");
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let running = thread::spawn(move || submit(first, &job("running", 1, &[2_000])));
    wait_until("the job runs", || !system.starts().is_empty());
    let (status, refusal) = submit(first, &job("running", 2, &[2_000]));
    assert_eq!(
        (status, &refusal["verdict"]),
        (504, &json!("may_have_run")),
        "{refusal}"
    );
    assert_eq!(refusal["reason"], "overloaded");
    let (status, answer) = submit(second, &job("running", 3, &[2_000]));
    assert_eq!(status, 200, "{answer}");
    assert_eq!(running.join().expect("the caller ends").0, 200);
    system.assert_single_starts();
}

/// Guards against a refused question that reads like a verdict on the job.
#[test]
fn a_refused_question_has_no_verdict() {
    let mut system = System::start(1, 2, 8);
    let entry = system.entries[0].http;
    let id = system.id_with_home("asked", 0, true);
    let (status, answer) = submit(entry, &job(&id, 1, &[0]));
    assert_eq!(status, 200, "{answer}");
    system.kill_agent(0);
    let (status, refusal) = get(entry, &format!("/v1/jobs/{id}/answer?team=hunt-desk"));
    assert_eq!(status, 503, "{refusal}");
    assert!(refusal.get("verdict").is_none(), "{refusal}");
}

/// Guards against an answer that is too large for a link and ends it with all its calls.
#[test]
fn results_above_the_bound_fail_their_job_only() {
    let system = System::start(1, 2, 8);
    let entry = system.entries[0].http;
    let mut large = job("large", 1, &[0]);
    large["tasks"][0]["payload"]["text"] = json!("x".repeat(300 << 10));
    let (status, answer) = submit(entry, &large);
    assert_eq!(
        (status, &answer["reason"]),
        (504, &json!("task_failed")),
        "{answer}"
    );
    let (status, answer) = submit(entry, &job("small", 1, &[0; 4]));
    assert_eq!(status, 200, "{answer}");
    assert_complete(&answer, 4);
}

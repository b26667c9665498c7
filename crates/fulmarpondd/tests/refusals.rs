//! The reasons and verdicts of refusals: quotas, resubmissions and queries.

mod common;

use std::net::SocketAddr;
use std::thread;

use common::{System, assert_complete, get, job, post, submit, wait_until};
use serde_json::json;

/// The quota of the team: maximum number of tasks in flight.
const QUOTA: usize = 20;

/// Starts a system and waits until the team's quota is in force at every entry.
fn start_with_quota() -> System {
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

/// Returns the number of the team's tasks in flight as counted by an entry.
fn tasks_in_flight(entry: SocketAddr) -> Option<u64> {
    let (_, teams) = get(entry, "/v1/teams");
    let team_usage = teams
        .as_array()?
        .iter()
        .find(|row| row["team"] == "hunt-desk")?;
    team_usage["in_flight"].as_u64()
}

/// Guards against a resubmission that is refused because its own first attempt uses up the quota,
/// and against a quota that is enforced only by the entry that accepted the job.
#[test]
fn a_resubmission_over_the_quota_gets_the_answer() {
    let system = start_with_quota();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let runs = [1_500; QUOTA];
    let caller = thread::spawn(move || submit(first, &job("full", 1, &runs)));
    wait_until("both entries count the job", || {
        [first, second]
            .iter()
            .all(|entry| tasks_in_flight(*entry) == Some(QUOTA as u64))
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
    let (status, answer) = caller.join().expect("the caller thread does not panic");
    assert_eq!(status, 200, "{answer}");
    system.assert_single_starts();
}

/// Guards against jobs that do not count towards the quota because their callers do not wait for
/// the answer.
#[test]
fn jobs_without_a_waiting_caller_count_towards_the_quota() {
    let system = start_with_quota();
    let entry = system.entries[0].http;
    let mut submission = job("aside", 1, &[3_000; QUOTA]);
    submission["wait"] = json!(false);
    assert_eq!(submit(entry, &submission).0, 202);
    wait_until("the entry counts the job", || {
        tasks_in_flight(entry) == Some(QUOTA as u64)
    });
    let (status, refusal) = submit(entry, &job("more", 1, &[0]));
    assert_eq!(
        (status, &refusal["reason"]),
        (429, &json!("over_quota")),
        "{refusal}"
    );
}

/// Guards against the verdict "not run" for a later attempt, from an overloaded entry that refuses
/// it without checking whether the first attempt is running.
#[test]
fn an_overloaded_entry_does_not_deny_earlier_attempts() {
    let system = System::with_settings(2, 2, 8, "[limits]\ncallers = 1");
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let running = thread::spawn(move || submit(first, &job("running", 1, &[2_000])));
    wait_until("the job is running", || !system.starts().is_empty());
    let (status, refusal) = submit(first, &job("running", 2, &[2_000]));
    assert_eq!(
        (status, &refusal["verdict"]),
        (504, &json!("may_have_run")),
        "{refusal}"
    );
    assert_eq!(refusal["reason"], "overloaded");
    let (status, answer) = submit(second, &job("running", 3, &[2_000]));
    assert_eq!(status, 200, "{answer}");
    assert_eq!(
        running.join().expect("the caller thread does not panic").0,
        200
    );
    system.assert_single_starts();
}

/// Guards against a verdict in the refusal of a query: the entry cannot reach the home of the job,
/// so it knows nothing about the job.
#[test]
fn a_refused_query_has_no_verdict() {
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

/// Guards against a result that exceeds the message size of a link, which would close the link and
/// fail all its calls. The job with the oversized result must fail alone.
#[test]
fn oversized_results_fail_only_their_job() {
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

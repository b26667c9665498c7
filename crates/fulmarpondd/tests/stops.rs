//! Graceful stops of agents, entries and endpoints while jobs run.

mod common;

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use common::history::{History, Reply};
use common::load::Load;
use common::{System, get, job, wait_until};
use fulmarpond_standins::EndpointControl;
use serde_json::{Value, json};

/// Run time of tasks that must still be running when the stop begins.
const LONG_RUN_MS: u64 = 1_000;

/// How long after announcing that it leaves an endpoint may still receive tasks: the lease of 3 s,
/// and the same again for delays on a busy machine.
const LEAVE_LIMIT_MS: u64 = 6_000;

fn spawn_submit(load: &Load, entry: std::net::SocketAddr, job: Value) -> JoinHandle<Reply> {
    let history: Arc<History> = load.shared_history();
    thread::spawn(move || history.submit(entry, &job))
}

fn assert_job_answered(caller: JoinHandle<Reply>) {
    let reply = caller.join().expect("the caller thread does not panic");
    assert!(reply.is_answered(), "{reply:?}");
}

/// Asserts that no submission of the load ended without a reply or with the verdict "may have run".
fn assert_uninterrupted(load: &Load) {
    let replies = load.history().replies();
    let interrupted: Vec<_> = replies
        .iter()
        .filter(|(_, reply)| matches!(reply, Reply::Disconnected | Reply::MayHaveRun(_)))
        .collect();
    assert!(
        interrupted.is_empty(),
        "requests were interrupted: {interrupted:?}"
    );
}

/// Guards against jobs that are interrupted when their home stops, and against job records that are
/// not handed over to the heir: answers would be lost, and a resubmission would start the tasks
/// again.
#[test]
fn a_stopping_home_answers_its_jobs_and_hands_over_its_records() {
    let mut system = System::start(2, 4, 2);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let mut load = Load::first_attempts(&system, 3, 21);
    load.wait_answered(10);
    let leaver = 1;
    let done = system.id_with_home("done", leaver, true);
    let answer = load.history().submit(first, &job(&done, 1, &[20; 4]));
    assert!(answer.is_answered(), "{answer:?}");
    let id = system.id_with_home("open", leaver, true);
    let caller = spawn_submit(&load, first, job(&id, 1, &[LONG_RUN_MS; 6]));
    let mut accepted = job(
        &system.id_with_home("later", leaver, true),
        1,
        &[LONG_RUN_MS; 2],
    );
    accepted["wait"] = json!(false);
    assert_eq!(load.history().submit(first, &accepted), Reply::Pending);
    system.wait_started(&id);
    assert!(system.stop_agent(leaver), "the agent exited with a failure");
    assert_job_answered(caller);
    let later = accepted["id"].as_str().expect("a job has an id");
    for id in [done.as_str(), id.as_str(), later] {
        let fetched = load.history().fetch(second, id);
        assert!(fetched.is_answered(), "{id}: {fetched:?}");
    }
    // Agents can get the seal of the stopped agent only once they know its heir.
    system.wait_roster();
    // A second start would be reported by the check of the history.
    for (id, runs) in [(&done, vec![20; 4]), (&id, vec![LONG_RUN_MS; 6])] {
        let again = load.history().submit(second, &job(id, 2, &runs));
        assert!(again.is_answered(), "{id}: {again:?}");
    }
    load.wait_answered(20);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against a request that is answered "may have run" because it was lost on the link to a
/// stopping home. The heir knows that the home never accepted it, so it runs elsewhere.
#[test]
fn a_request_not_received_by_a_stopping_home_runs_elsewhere() {
    let mut system = System::with_settings(2, 3, 2, "keepalive = 500ms\nlink_timeout = 2s");
    system.add_relayed_node(3);
    system.wait_ready();
    let load = Load::start(&system, 0, 28);
    let entry = system.entries[0].http;
    let leaver = 3;
    // This job opens the connection that becomes silent.
    let first = system.id_with_home("first", leaver, true);
    let reply = load.history().submit(entry, &job(&first, 1, &[10; 2]));
    assert!(reply.is_answered(), "{reply:?}");
    let relay = system.nodes[leaver].relay.as_ref();
    relay.expect("the node has a relay").silence();
    let id = system.id_with_home("lost", leaver, true);
    let caller = spawn_submit(&load, entry, job(&id, 1, &[10; 2]));
    wait_until("the entry has the request", || {
        system.entries[0].metric("open") > Some(0)
    });
    assert!(system.stop_agent(leaver), "the agent exited with a failure");
    assert_job_answered(caller);
    load.finish(&system);
}

/// Guards against tasks in the slots of a stopping runner that fail instead of being completed.
#[test]
fn a_stopping_runner_finishes_its_tasks() {
    let mut system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 3, 22);
    load.wait_answered(10);
    let leaver = 2;
    let id = system.id_with_home("wide", leaver, false);
    let long = job(&id, 1, &[LONG_RUN_MS; 8]);
    let caller = spawn_submit(&load, system.entries[0].http, long);
    wait_until("the leaver runs a task of the job", || {
        system.nodes[leaver].has_started(&id)
    });
    assert!(system.stop_agent(leaver), "the agent exited with a failure");
    assert_job_answered(caller);
    load.wait_answered(20);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against a stopping entry that closes the connections of pending callers, or exits
/// successfully with work in flight.
#[test]
fn a_stopping_entry_answers_its_callers() {
    let mut system = System::start(2, 3, 2);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 23);
    load.wait_answered(10);
    let callers: Vec<_> = (0..2)
        .map(|number| {
            let id = format!("open-{number}");
            spawn_submit(&load, first, job(&id, 1, &[LONG_RUN_MS; 3]))
        })
        .collect();
    system.wait_started("open-0");
    system.wait_started("open-1");
    system.entries[0].signal("-TERM");
    // This resubmission attaches to the job that the stopping entry submitted.
    let again = load
        .history()
        .submit(second, &job("open-0", 2, &[LONG_RUN_MS; 3]));
    assert!(again.is_answered(), "{again:?}");
    callers.into_iter().for_each(assert_job_answered);
    assert!(system.entries[0].wait(), "the entry exited with a failure");
    let fetched = load.history().fetch(second, "open-1");
    assert!(fetched.is_answered(), "{fetched:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against tasks that an endpoint receives long after it announced that it leaves, and
/// against tasks in flight that its stop interrupts.
#[test]
fn a_stopping_endpoint_gets_no_new_task_and_finishes_the_others() {
    let system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 4, 24);
    load.wait_answered(10);
    let leaver = &system.nodes[3];
    let id = system.id_with_home("wide", 3, false);
    let long = job(&id, 1, &[LONG_RUN_MS; 8]);
    let caller = spawn_submit(&load, system.entries[0].http, long);
    wait_until("the leaver runs a task of the job", || {
        leaver.has_started(&id)
    });
    leaver.endpoint.stop();
    let rows = leaver.endpoint.ledger().len();
    assert_job_answered(caller);
    load.wait_answered(30);
    assert_eq!(leaver.endpoint.ledger().len(), rows);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against tasks that a leaving endpoint still receives after a few seconds, when the
/// platform removes it. This endpoint runs all tasks that arrive, so that its ledger shows late
/// starts.
#[test]
fn a_leaving_endpoint_gets_no_late_task() {
    let system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 4, 25);
    load.wait_answered(10);
    let leaver = &system.nodes[3];
    leaver
        .endpoint
        .control(EndpointControl::default().leave(true));
    let announced_at = Instant::now();
    wait_until("both entries show the endpoint as leaving", || {
        let addr = leaver.addr.to_string();
        system.entries.iter().all(|entry| {
            let (_, list) = get(entry.http, "/v1/endpoints");
            let list = list.as_array().cloned().unwrap_or_default();
            list.iter()
                .any(|agent| agent["addr"] == addr.as_str() && agent["state"] == "leaving")
        })
    });
    load.wait_answered(30);
    // The load continues until the limit has passed, so that a late start would appear.
    let limit = std::time::Duration::from_millis(LEAVE_LIMIT_MS);
    wait_until("the limit has elapsed", || announced_at.elapsed() > limit);
    load.wait_answered(30);
    let last_start_ms = leaver.endpoint.ledger().last().map_or(0, |row| row.at_ms);
    let leave_ms = announced_at
        .duration_since(leaver.ledger_origin)
        .as_millis();
    assert!(
        u128::from(last_start_ms) <= leave_ms + u128::from(LEAVE_LIMIT_MS),
        "a task started at {last_start_ms} ms, but the endpoint announced its stop at {leave_ms} ms"
    );
    leaver
        .endpoint
        .control(EndpointControl::default().leave(false));
    let starts_before = leaver.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        leaver.endpoint.ledger().len() > starts_before
    });
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against job records that are lost when several agents stop one after another and each
/// hands its records over to an heir that stops as well.
#[test]
fn records_survive_a_chain_of_heirs() {
    let mut system = System::start(2, 4, 2);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let mut load = Load::first_attempts(&system, 2, 27);
    let ids: Vec<String> = (0..12).map(|number| format!("kept-{number}")).collect();
    for id in &ids {
        let reply = load.history().submit(first, &job(id, 1, &[5; 2]));
        assert!(reply.is_answered(), "{reply:?}");
    }
    for node in 0..3 {
        assert!(
            system.stop_agent(node),
            "agent {node} exited with a failure"
        );
        load.wait_answered(5);
    }
    system.wait_roster();
    for id in &ids {
        let reply = load.history().submit(second, &job(id, 2, &[5; 2]));
        assert!(reply.is_answered(), "{id}: {reply:?}");
    }
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against agents that cannot stop because no heir is left for their job records, and
/// against a system that does not serve again when a new agent joins.
#[test]
fn a_new_agent_serves_after_all_agents_have_stopped() {
    let mut system = System::start(2, 3, 2);
    let entry = system.entries[1].http;
    let load = Load::start(&system, 2, 26);
    load.wait_answered(10);
    let answer = load.history().submit(entry, &job("kept", 1, &[20; 4]));
    assert!(answer.is_answered(), "{answer:?}");
    for node in 0..3 {
        assert!(
            system.stop_agent(node),
            "agent {node} exited with a failure"
        );
    }
    wait_until("the roster is empty", || {
        (0..2).all(|entry| system.roster(entry).live().count() == 0)
    });
    system.add_node(3);
    system.wait_ready();
    load.wait_answered(20);
    // The last agent had no heir, so the job may have run.
    let again = load.history().submit(entry, &job("kept", 2, &[20; 4]));
    assert!(matches!(again, Reply::MayHaveRun(_)), "{again:?}");
    load.finish(&system);
}

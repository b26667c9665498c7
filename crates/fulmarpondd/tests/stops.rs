//! Graceful stops of agents, entries and endpoints under load.

mod common;

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use common::history::{History, Told};
use common::load::Load;
use common::{System, get, job, wait_until};
use fulmarpond_standins::EndpointControl;
use serde_json::{Value, json};

/// Run time of tasks that must still be running when the stop begins, in milliseconds.
const LONG_MS: u64 = 1_000;

/// How long after the announcement of its departure an endpoint may still get tasks, in
/// milliseconds: 3 s of lease and as much again for a busy machine.
const LEAVE_MS: u64 = 6_000;

fn submit_aside(load: &Load, entry: std::net::SocketAddr, job: Value) -> JoinHandle<Told> {
    let history: Arc<History> = load.share();
    thread::spawn(move || history.submit(entry, &job))
}

fn assert_answered(caller: JoinHandle<Told>) {
    let told = caller.join().expect("the caller ends");
    assert!(told.is_answered(), "{told:?}");
}

/// Asserts that no submission of the load ended without a reply or was told "may have run".
fn assert_uninterrupted(load: &Load) {
    let told = load.history().told();
    let cut: Vec<_> = told
        .iter()
        .filter(|(_, told)| matches!(told, Told::NoReply | Told::MayHaveRun(_)))
        .collect();
    assert!(cut.is_empty(), "requests were interrupted: {cut:?}");
}

/// Guards against a stop of a home that cuts its jobs off, loses their answers, or forgets their
/// ids so that a resubmission starts them again.
#[test]
fn a_stopping_home_answers_its_jobs_and_hands_its_memory_over() {
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
    let caller = submit_aside(&load, first, job(&id, 1, &[LONG_MS; 6]));
    let mut accepted = job(
        &system.id_with_home("later", leaver, true),
        1,
        &[LONG_MS; 2],
    );
    accepted["wait"] = json!(false);
    assert_eq!(load.history().submit(first, &accepted), Told::Pending);
    system.wait_started(&id);
    assert!(system.stop_agent(leaver), "the agent reports a failure");
    assert_answered(caller);
    let later = accepted["id"].as_str().expect("a job has an id");
    for id in [done.as_str(), id.as_str(), later] {
        let fetched = load.history().fetch(second, id);
        assert!(fetched.is_answered(), "{id}: {fetched:?}");
    }
    // Until the agents know who the heir is, they can't get the seal of the stopped one.
    system.wait_roster();
    // The check of the history finds a second start.
    for (id, runs) in [(&done, vec![20; 4]), (&id, vec![LONG_MS; 6])] {
        let again = load.history().submit(second, &job(id, 2, &runs));
        assert!(again.is_answered(), "{id}: {again:?}");
    }
    load.wait_answered(20);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against a request that is lost on the way to a home that stops: the home never accepted
/// it, and its heir can tell.
#[test]
fn a_request_that_a_stopping_home_never_got_runs_elsewhere() {
    let mut system = System::with_timing(2, 3, 2, "keepalive = 500ms\nlink_timeout = 2s");
    system.add_relayed_node(3);
    system.wait_ready();
    let load = Load::start(&system, 0, 28);
    let entry = system.entries[0].http;
    let leaver = 3;
    // This job opens the connection that falls silent.
    let first = system.id_with_home("first", leaver, true);
    let told = load.history().submit(entry, &job(&first, 1, &[10; 2]));
    assert!(told.is_answered(), "{told:?}");
    let relay = system.nodes[leaver].relay.as_ref();
    relay.expect("the node has a relay").silence();
    let id = system.id_with_home("lost", leaver, true);
    let caller = submit_aside(&load, entry, job(&id, 1, &[10; 2]));
    wait_until("the entry has the request", || {
        system.entries[0].metric("open") > Some(0)
    });
    assert!(system.stop_agent(leaver), "the agent reports a failure");
    assert_answered(caller);
    load.finish(&system);
}

/// Guards against a stop of a runner that fails the tasks in its slots.
#[test]
fn a_stopping_runner_finishes_its_tasks() {
    let mut system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 3, 22);
    load.wait_answered(10);
    let leaver = 2;
    let id = system.id_with_home("wide", leaver, false);
    let long = job(&id, 1, &[LONG_MS; 8]);
    let caller = submit_aside(&load, system.entries[0].http, long);
    wait_until("the leaver runs a task of the job", || {
        system.nodes[leaver].has_started(&id)
    });
    assert!(system.stop_agent(leaver), "the agent reports a failure");
    assert_answered(caller);
    load.wait_answered(20);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against a stop of an entry that closes the connections of waiting callers, and against
/// one that reports success with work in flight.
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
            submit_aside(&load, first, job(&id, 1, &[LONG_MS; 3]))
        })
        .collect();
    system.wait_started("open-0");
    system.wait_started("open-1");
    system.entries[0].signal("-TERM");
    // A resubmission through the other entry meets the caller of the stopping one.
    let again = load
        .history()
        .submit(second, &job("open-0", 2, &[LONG_MS; 3]));
    assert!(again.is_answered(), "{again:?}");
    callers.into_iter().for_each(assert_answered);
    assert!(system.entries[0].wait(), "the entry reports a failure");
    let fetched = load.history().fetch(second, "open-1");
    assert!(fetched.is_answered(), "{fetched:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against tasks that an endpoint gets long after it announced that it leaves, and against
/// tasks in flight that its stop cuts off.
#[test]
fn a_stopping_endpoint_gets_no_new_task_and_finishes_the_others() {
    let system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 4, 24);
    load.wait_answered(10);
    let leaver = &system.nodes[3];
    let id = system.id_with_home("wide", 3, false);
    let long = job(&id, 1, &[LONG_MS; 8]);
    let caller = submit_aside(&load, system.entries[0].http, long);
    wait_until("the leaver runs a task of the job", || {
        leaver.has_started(&id)
    });
    leaver.endpoint.stop();
    let rows = leaver.endpoint.ledger().len();
    assert_answered(caller);
    load.wait_answered(30);
    assert_eq!(leaver.endpoint.ledger().len(), rows);
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against tasks that a leaving endpoint still gets after a few seconds, since the platform
/// takes it away then. This endpoint runs what arrives, so that its ledger shows late starts.
#[test]
fn a_leaving_endpoint_gets_no_late_task() {
    let system = System::start(2, 4, 2);
    let mut load = Load::first_attempts(&system, 4, 25);
    load.wait_answered(10);
    let leaver = &system.nodes[3];
    leaver
        .endpoint
        .control(EndpointControl::default().leave(true));
    let announced = Instant::now();
    wait_until("both entries show the departure", || {
        let addr = leaver.addr.to_string();
        system.entries.iter().all(|entry| {
            let (_, list) = get(entry.http, "/v1/endpoints");
            let list = list.as_array().cloned().unwrap_or_default();
            list.iter()
                .any(|agent| agent["addr"] == addr.as_str() && agent["state"] == "leaving")
        })
    });
    load.wait_answered(30);
    // Load goes on until the limit has passed, so that a late start would show.
    let limit = std::time::Duration::from_millis(LEAVE_MS);
    wait_until("the limit has passed", || announced.elapsed() > limit);
    load.wait_answered(30);
    let last = leaver.endpoint.ledger().last().map_or(0, |row| row.at_ms);
    let left = announced.duration_since(leaver.begun).as_millis();
    assert!(
        u128::from(last) <= left + u128::from(LEAVE_MS),
        "a task started at {last} ms, but the endpoint announced leaving at {left} ms"
    );
    leaver
        .endpoint
        .control(EndpointControl::default().leave(false));
    let before = leaver.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        leaver.endpoint.ledger().len() > before
    });
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}

/// Guards against loss when several agents stop one after the other and hand the memory on.
#[test]
fn memory_survives_a_chain_of_heirs() {
    let mut system = System::start(2, 4, 2);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let mut load = Load::first_attempts(&system, 2, 27);
    let ids: Vec<String> = (0..12).map(|number| format!("kept-{number}")).collect();
    for id in &ids {
        let told = load.history().submit(first, &job(id, 1, &[5; 2]));
        assert!(told.is_answered(), "{told:?}");
    }
    for node in 0..3 {
        assert!(system.stop_agent(node), "agent {node} reports a failure");
        load.wait_answered(5);
    }
    system.wait_roster();
    for id in &ids {
        let told = load.history().submit(second, &job(id, 2, &[5; 2]));
        assert!(told.is_answered(), "{id}: {told:?}");
    }
    load.stop();
    assert_uninterrupted(&load);
    load.finish(&system);
}
/// Guards against agents that can't hand over because all of them stop, and against a system that
/// does not start to serve again afterwards.
#[test]
fn after_all_agents_stopped_a_new_one_serves() {
    let mut system = System::start(2, 3, 2);
    let entry = system.entries[1].http;
    let load = Load::start(&system, 2, 26);
    load.wait_answered(10);
    let answer = load.history().submit(entry, &job("kept", 1, &[20; 4]));
    assert!(answer.is_answered(), "{answer:?}");
    for node in 0..3 {
        assert!(system.stop_agent(node), "agent {node} reports a failure");
    }
    wait_until("the roster is empty", || {
        (0..2).all(|entry| system.roster(entry).live().count() == 0)
    });
    system.add_node(3);
    system.wait_ready();
    load.wait_answered(20);
    // The last agent had no heir, so nobody can rule out that the job ran.
    let again = load.history().submit(entry, &job("kept", 2, &[20; 4]));
    assert!(matches!(again, Told::MayHaveRun(_)), "{again:?}");
    load.finish(&system);
}

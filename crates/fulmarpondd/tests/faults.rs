//! Processes that are killed or suspended, endpoints that hang or fail, and links that become
//! silent while jobs run.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use common::history::{History, Reply};
use common::load::Load;
use common::{System, get, job, wait_until};
use fulmarpond_standins::{EndpointControl, KeyValueControl};
use serde_json::Value;

/// Settings with shorter timeouts than the defaults, so that silent links are detected sooner.
const TIMING_SETTINGS: &str = "keepalive = 500ms\nlink_timeout = 2s";

/// Run time of tasks that must still be running when the fault occurs.
const LONG_RUN_MS: u64 = 2_000;

/// Submits a job in a separate thread.
fn spawn_submit(load: &Load, entry: SocketAddr, job: Value) -> JoinHandle<Reply> {
    let history: Arc<History> = load.shared_history();
    thread::spawn(move || history.submit(entry, &job))
}

fn join_reply(caller: JoinHandle<Reply>) -> Reply {
    caller.join().expect("the caller thread does not panic")
}

fn assert_may_have_run(reply: &Reply, reasons: &[&str]) {
    assert!(
        matches!(reply, Reply::MayHaveRun(reason) if reasons.contains(&reason.as_str())),
        "expected \"may have run\" for one of {reasons:?}, got {reply:?}"
    );
}

/// Returns whether the first entry reports the agent of a node in `state`.
fn has_state(system: &System, node: usize, state: &str) -> bool {
    let (_, list) = get(system.entries[0].http, "/v1/endpoints");
    let addr = system.nodes[node].addr.to_string();
    let list = list.as_array().cloned().unwrap_or_default();
    list.iter()
        .any(|agent| agent["addr"] == addr.as_str() && agent["state"] == state)
}

/// Guards against tasks that start twice after their home was killed, when the job is resubmitted
/// and the records of the home are lost. Also guards against callers that keep waiting for its
/// answer.
#[test]
fn a_killed_home_loses_only_answers() {
    let mut system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 1);
    load.wait_answered(10);
    let id = system.id_with_home("lost", 1, true);
    let long = job(&id, 1, &[LONG_RUN_MS; 6]);
    let caller = spawn_submit(&load, first, long);
    system.wait_started(&id);
    system.kill_agent(1);
    assert_may_have_run(&join_reply(caller), &["home_lost"]);
    let again = load
        .history()
        .submit(second, &job(&id, 2, &[LONG_RUN_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against tasks that are started again elsewhere after the agent that ran them was killed,
/// and against jobs that wait for that agent until their deadline.
#[test]
fn a_killed_runner_fails_the_jobs_that_it_runs() {
    let mut system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 2, 2);
    load.wait_answered(5);
    let victim = 2;
    let callers: Vec<_> = (0..3)
        .map(|number| {
            let id = system.id_with_home(&format!("run-{number}"), victim, false);
            let entry = system.entry_addrs()[number % 2];
            spawn_submit(&load, entry, job(&id, 1, &[LONG_RUN_MS; 4]))
        })
        .collect();
    wait_until("the victim runs a task of one of the jobs", || {
        let rows = system.nodes[victim].endpoint.ledger();
        rows.iter().any(|row| row.job.contains("/run-"))
    });
    system.kill_agent(victim);
    let mut lost = 0;
    for caller in callers {
        match join_reply(caller) {
            Reply::Answered(_) => {}
            other => {
                assert_may_have_run(&other, &["agent_lost"]);
                lost += 1;
            }
        }
    }
    assert!(lost > 0, "no job failed because of its lost task");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against answers that are lost when the entry of a waiting caller is killed: another entry
/// must return them.
#[test]
fn a_killed_entry_loses_no_answer() {
    let mut system = System::with_settings(2, 3, 2, TIMING_SETTINGS);
    let second = system.entries[1].http;
    let load = Load::start(&system, 4, 3);
    load.wait_answered(10);
    let long = job("handed", 1, &[LONG_RUN_MS; 4]);
    let caller = spawn_submit(&load, system.entries[0].http, long);
    system.wait_started("handed");
    system.entries[0].kill();
    assert_eq!(join_reply(caller), Reply::Disconnected);
    let answer = load.history().fetch(second, "handed");
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against tasks that start twice when a suspended home resumes and continues jobs whose
/// callers already got the reason `home_lost`.
#[test]
fn a_suspended_home_resumes_without_a_second_start() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 4);
    load.wait_answered(10);
    let id = system.id_with_home("frozen", 1, true);
    let caller = spawn_submit(&load, first, job(&id, 1, &[LONG_RUN_MS; 6]));
    system.wait_started(&id);
    system.nodes[1].agent.suspend();
    assert_may_have_run(&join_reply(caller), &["home_lost"]);
    let again = load
        .history()
        .submit(second, &job(&id, 2, &[LONG_RUN_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    system.nodes[1].agent.resume();
    let answer = load.history().fetch(second, &id);
    assert!(answer.is_final(), "{answer:?}");
    let again = load
        .history()
        .submit(second, &job(&id, 3, &[LONG_RUN_MS; 6]));
    assert_eq!(again, answer);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against tasks of a suspended runner that start twice, on another agent or on the runner
/// itself when it resumes.
#[test]
fn a_suspended_runner_fails_its_jobs_and_recovers() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 2, 5);
    load.wait_answered(5);
    let victim = 2;
    let id = system.id_with_home("frozen", victim, false);
    let long = job(&id, 1, &[LONG_RUN_MS; 8]);
    let caller = spawn_submit(&load, system.entries[0].http, long);
    wait_until("the victim runs a task of the job", || {
        system.nodes[victim].has_started(&id)
    });
    system.nodes[victim].agent.suspend();
    assert_may_have_run(&join_reply(caller), &["agent_lost"]);
    system.nodes[victim].agent.resume();
    let starts_before = system.nodes[victim].endpoint.ledger().len();
    wait_until("the runner serves again", || {
        system.nodes[victim].endpoint.ledger().len() > starts_before
    });
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start and against different answers when a caller resubmits through
/// another entry while its entry is suspended, and that entry then resumes.
#[test]
fn a_resumed_entry_gives_the_same_answer_as_the_other_entry() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 2, 6);
    load.wait_answered(5);
    let caller = spawn_submit(&load, first, job("twice", 1, &[LONG_RUN_MS; 4]));
    system.wait_started("twice");
    system.entries[0].suspend();
    let other = load
        .history()
        .submit(second, &job("twice", 2, &[LONG_RUN_MS; 4]));
    assert!(other.is_answered(), "{other:?}");
    system.entries[0].resume();
    assert_eq!(join_reply(caller), other);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against requests that reach a new process at the address of a killed one: it must neither
/// answer for the jobs of the previous incarnation nor start them.
#[test]
fn a_replacement_agent_does_not_answer_for_its_predecessor() {
    let mut system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 7);
    load.wait_answered(10);
    let old = 1;
    let id = system.id_with_home("lost", old, true);
    let caller = spawn_submit(&load, first, job(&id, 1, &[LONG_RUN_MS; 6]));
    system.wait_started(&id);
    system.kill_agent(old);
    system.replace(old);
    assert_may_have_run(&join_reply(caller), &["home_lost"]);
    let addr = system.nodes[old].addr;
    wait_until("the new incarnation has superseded the old one", || {
        (0..2).all(|entry| {
            let roster = system.roster(entry);
            let at: Vec<_> = roster.members().iter().filter(|m| m.addr == addr).collect();
            at.len() == 2 && at.iter().filter(|m| m.is_live()).count() == 1
        })
    });
    system.wait_ready();
    let again = load
        .history()
        .submit(second, &job(&id, 2, &[LONG_RUN_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    let new = system.nodes.len() - 1;
    let id = system.id_with_home("new", new, true);
    let answer = load.history().submit(second, &job(&id, 1, &[10; 4]));
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against an endpoint that accepts tasks and hangs: unless it is ejected, it fails a share
/// of every job. Once it responds again, it must get tasks again.
#[test]
fn a_hanging_endpoint_is_ejected_and_recovers() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::with_deadline(&system, 6, 8, 1_500);
    load.wait_answered(10);
    let hanging = &system.nodes[3];
    hanging
        .endpoint
        .control(EndpointControl::default().hang(true));
    wait_until("the endpoint is ejected", || {
        hanging.agent.metric("ejections_total") > Some(0)
    });
    load.wait_answered(20);
    hanging
        .endpoint
        .control(EndpointControl::default().hang(false));
    let starts_before = hanging.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && hanging.endpoint.ledger().len() > starts_before + 10
    });
    load.finish(&system);
}

/// Guards against an endpoint that fails tasks immediately: its slots always look free, so it would
/// attract all tasks unless it is ejected.
#[test]
fn a_failing_endpoint_is_ejected_and_recovers() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 4, 9);
    load.wait_answered(10);
    let failing = &system.nodes[3];
    failing
        .endpoint
        .control(EndpointControl::default().fail(true));
    wait_until("the endpoint is ejected", || {
        failing.agent.metric("ejections_total") > Some(0)
    });
    load.wait_answered(20);
    failing
        .endpoint
        .control(EndpointControl::default().fail(false));
    let starts_before = failing.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && failing.endpoint.ledger().len() > starts_before + 10
    });
    load.finish(&system);
}

/// Guards against tasks that are lost or started twice when an endpoint refuses them, and against
/// an endpoint that refuses immediately: its slots always look free, so it would attract all tasks
/// unless it is ejected.
#[test]
fn tasks_that_an_endpoint_refuses_run_elsewhere() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 4, 10);
    load.wait_answered(10);
    let refusing = &system.nodes[3];
    refusing
        .endpoint
        .control(EndpointControl::default().refuse(true));
    let caller = spawn_submit(&load, system.entries[0].http, job("wide", 1, &[50; 8]));
    wait_until("the endpoint is ejected", || {
        refusing.agent.metric("ejections_total") > Some(0)
    });
    load.wait_answered(20);
    refusing
        .endpoint
        .control(EndpointControl::default().refuse(false));
    let answer = join_reply(caller);
    assert!(answer.is_answered(), "{answer:?}");
    let starts_before = refusing.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && refusing.endpoint.ledger().len() > starts_before + 10
    });
    load.finish(&system);
}

/// Guards against jobs that hang on a link that stays open but transfers no data, and against a
/// second start when the requests in flight on it are sent again.
#[test]
fn a_silent_link_is_replaced_and_no_answer_is_lost() {
    let mut system = System::with_settings(2, 3, 2, TIMING_SETTINGS);
    system.add_relayed_node(3);
    system.wait_ready();
    let load = Load::start(&system, 2, 11);
    load.wait_answered(10);
    let entry = system.entries[0].http;
    let node = &system.nodes[3];
    let relay = node.relay.as_ref().expect("the node has a relay");
    // More tasks than the other agents have slots.
    let id = system.id_with_home("runner", 3, false);
    let caller = spawn_submit(&load, entry, job(&id, 1, &[LONG_RUN_MS; 8]));
    wait_until("the agent behind the relay runs a task", || {
        node.has_started(&id)
    });
    relay.silence();
    let answer = join_reply(caller);
    assert!(answer.is_answered(), "{answer:?}");
    let id = system.id_with_home("home", 3, true);
    let caller = spawn_submit(&load, entry, job(&id, 1, &[LONG_RUN_MS; 4]));
    system.wait_started(&id);
    relay.silence();
    let answer = join_reply(caller);
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against dispatch that stops, or starts tasks twice, when an agent is killed during an
/// outage of the platform's key-value service, so that the roster cannot be updated.
#[test]
fn dispatch_continues_when_an_agent_is_killed_during_a_store_outage() {
    let settings = format!("{TIMING_SETTINGS}\nsilence = 4s");
    let mut system = System::with_settings(2, 4, 2, &settings);
    let load = Load::start(&system, 4, 12);
    load.wait_answered(10);
    let id = system.id_with_home("lost", 1, true);
    let long = job(&id, 1, &[LONG_RUN_MS; 6]);
    let caller = spawn_submit(&load, system.entries[0].http, long);
    system.wait_started(&id);
    system.kv.control(KeyValueControl::default().outage(true));
    system.kill_agent(1);
    assert_may_have_run(&join_reply(caller), &["home_lost"]);
    load.wait_answered(20);
    assert_eq!(system.roster(0).live().count(), 4);
    system.kv.control(KeyValueControl::default().outage(false));
    wait_until("the killed agent is removed", || {
        (0..2).all(|entry| system.roster(entry).live().count() == 3)
    });
    let again = load
        .history()
        .submit(system.entries[1].http, &job(&id, 2, &[LONG_RUN_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start by a delayed first attempt: its entry is suspended before it sends
/// the attempt, and resumes after a later attempt was answered by a home that was then killed.
#[test]
fn a_late_first_attempt_starts_nothing_after_its_home_died() {
    let mut system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 2, 13);
    load.wait_answered(5);
    let id = system.id_with_home("late", 1, true);
    system.entries[0].suspend();
    let late = spawn_submit(&load, first, job(&id, 1, &[20; 4]));
    let other = load.history().submit(second, &job(&id, 2, &[20; 4]));
    assert!(other.is_answered(), "{other:?}");
    system.kill_agent(1);
    system.entries[0].resume();
    assert_may_have_run(&join_reply(late), &["home_lost", "seal_unreachable"]);
    load.wait_answered(20);
    load.finish(&system);
}

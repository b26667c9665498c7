//! Processes, endpoints and links that die, freeze, hang or fail while jobs run.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use common::history::{History, Told};
use common::load::Load;
use common::{System, get, job, wait_until};
use fulmarpond_standins::{EndpointControl, KeyValueControl};
use serde_json::Value;

/// Links that notice silence sooner than by default, so that the tests take less time.
const TIMING: &str = "keepalive = 500ms\nlink_timeout = 2s";

/// Run time of tasks that must still be running when the fault happens, in milliseconds.
const LONG_MS: u64 = 2_000;

/// Submits a job in a thread of its own.
fn submit_aside(load: &Load, entry: SocketAddr, job: Value) -> JoinHandle<Told> {
    let history: Arc<History> = load.share();
    thread::spawn(move || history.submit(entry, &job))
}

fn told(caller: JoinHandle<Told>) -> Told {
    caller.join().expect("the caller ends")
}

fn assert_may_have_run(told: &Told, reasons: &[&str]) {
    assert!(
        matches!(told, Told::MayHaveRun(reason) if reasons.contains(&reason.as_str())),
        "expected \"may have run\" for one of {reasons:?}, got {told:?}"
    );
}

/// Returns whether an entry shows the agent of a node in this state.
fn has_state(system: &System, node: usize, state: &str) -> bool {
    let (_, list) = get(system.entries[0].http, "/v1/endpoints");
    let addr = system.nodes[node].addr.to_string();
    let list = list.as_array().cloned().unwrap_or_default();
    list.iter()
        .any(|agent| agent["addr"] == addr.as_str() && agent["state"] == state)
}

/// Guards against a second start of the jobs of a home that died with their records, and against
/// callers who wait for its answer.
#[test]
fn a_killed_home_loses_only_answers() {
    let mut system = System::with_timing(2, 4, 2, TIMING);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 1);
    load.wait_answered(10);
    let id = system.id_with_home("lost", 1, true);
    let long = job(&id, 1, &[LONG_MS; 6]);
    let caller = submit_aside(&load, first, long);
    system.wait_started(&id);
    system.kill_agent(1);
    assert_may_have_run(&told(caller), &["home_lost"]);
    let again = load.history().submit(second, &job(&id, 2, &[LONG_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start of tasks that died with the agent that ran them, and against
/// jobs that wait for it until their deadline.
#[test]
fn a_killed_runner_fails_the_jobs_that_it_runs() {
    let mut system = System::with_timing(2, 4, 2, TIMING);
    let load = Load::start(&system, 2, 2);
    load.wait_answered(5);
    let victim = 2;
    let callers: Vec<_> = (0..3)
        .map(|number| {
            let id = system.id_with_home(&format!("run-{number}"), victim, false);
            let entry = system.entry_addrs()[number % 2];
            submit_aside(&load, entry, job(&id, 1, &[LONG_MS; 4]))
        })
        .collect();
    wait_until("the victim runs a task of them", || {
        let rows = system.nodes[victim].endpoint.ledger();
        rows.iter().any(|row| row.job.contains("/run-"))
    });
    system.kill_agent(victim);
    let mut lost = 0;
    for caller in callers {
        match told(caller) {
            Told::Answered(_) => {}
            other => {
                assert_may_have_run(&other, &["agent_lost"]);
                lost += 1;
            }
        }
    }
    assert!(lost > 0, "no job noticed the loss of its task");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against answers that are lost with the entry that their callers used.
#[test]
fn a_killed_entry_loses_no_answer() {
    let mut system = System::with_timing(2, 3, 2, TIMING);
    let second = system.entries[1].http;
    let load = Load::start(&system, 4, 3);
    load.wait_answered(10);
    let long = job("handed", 1, &[LONG_MS; 4]);
    let caller = submit_aside(&load, system.entries[0].http, long);
    system.wait_started("handed");
    system.entries[0].kill();
    assert_eq!(told(caller), Told::NoReply);
    let answer = load.history().fetch(second, "handed");
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start when a frozen home wakes and goes on with jobs whose callers
/// were told that it is lost.
#[test]
fn a_frozen_home_goes_on_without_a_second_start() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 4);
    load.wait_answered(10);
    let id = system.id_with_home("frozen", 1, true);
    let caller = submit_aside(&load, first, job(&id, 1, &[LONG_MS; 6]));
    system.wait_started(&id);
    system.nodes[1].agent.freeze();
    assert_may_have_run(&told(caller), &["home_lost"]);
    let again = load.history().submit(second, &job(&id, 2, &[LONG_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    system.nodes[1].agent.thaw();
    let answer = load.history().fetch(second, &id);
    assert!(answer.is_final(), "{answer:?}");
    let again = load.history().submit(second, &job(&id, 3, &[LONG_MS; 6]));
    assert_eq!(again, answer);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start of the tasks of a frozen runner, when it wakes or elsewhere.
#[test]
fn a_frozen_runner_fails_its_jobs_and_serves_again() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let load = Load::start(&system, 2, 5);
    load.wait_answered(5);
    let victim = 2;
    let id = system.id_with_home("frozen", victim, false);
    let long = job(&id, 1, &[LONG_MS; 8]);
    let caller = submit_aside(&load, system.entries[0].http, long);
    wait_until("the victim runs a task of the job", || {
        system.nodes[victim].has_started(&id)
    });
    system.nodes[victim].agent.freeze();
    assert_may_have_run(&told(caller), &["agent_lost"]);
    system.nodes[victim].agent.thaw();
    let before = system.nodes[victim].endpoint.ledger().len();
    wait_until("the runner serves again", || {
        system.nodes[victim].endpoint.ledger().len() > before
    });
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start, and against different answers, when a caller of a frozen entry
/// resubmits through another one and the entry wakes.
#[test]
fn a_frozen_entry_answers_as_the_other_one_did() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 2, 6);
    load.wait_answered(5);
    let caller = submit_aside(&load, first, job("twice", 1, &[LONG_MS; 4]));
    system.wait_started("twice");
    system.entries[0].freeze();
    let other = load
        .history()
        .submit(second, &job("twice", 2, &[LONG_MS; 4]));
    assert!(other.is_answered(), "{other:?}");
    system.entries[0].thaw();
    assert_eq!(told(caller), other);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against requests that reach a new process at the address of a dead one: it must not
/// answer for the jobs of its predecessor, nor start them.
#[test]
fn a_replaced_agent_knows_nothing_of_its_predecessor() {
    let mut system = System::with_timing(2, 4, 2, TIMING);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 4, 7);
    load.wait_answered(10);
    let old = 1;
    let id = system.id_with_home("lost", old, true);
    let caller = submit_aside(&load, first, job(&id, 1, &[LONG_MS; 6]));
    system.wait_started(&id);
    system.kill_agent(old);
    system.replace(old);
    assert_may_have_run(&told(caller), &["home_lost"]);
    let addr = system.nodes[old].addr;
    wait_until("the new incarnation has superseded the old one", || {
        (0..2).all(|entry| {
            let roster = system.roster(entry);
            let at: Vec<_> = roster.members().iter().filter(|m| m.addr == addr).collect();
            at.len() == 2 && at.iter().filter(|m| m.is_live()).count() == 1
        })
    });
    system.wait_ready();
    let again = load.history().submit(second, &job(&id, 2, &[LONG_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    let new = system.nodes.len() - 1;
    let id = system.id_with_home("new", new, true);
    let answer = load.history().submit(second, &job(&id, 1, &[10; 4]));
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against an endpoint that hangs and takes a share of every job with it.
#[test]
fn a_hanging_endpoint_is_ejected_and_comes_back() {
    let system = System::with_timing(2, 4, 2, TIMING);
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
    let before = hanging.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && hanging.endpoint.ledger().len() > before + 10
    });
    load.finish(&system);
}

/// Guards against an endpoint that fails at once, looks free and draws all tasks to it.
#[test]
fn a_failing_endpoint_is_ejected_and_comes_back() {
    let system = System::with_timing(2, 4, 2, TIMING);
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
    let before = failing.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && failing.endpoint.ledger().len() > before + 10
    });
    load.finish(&system);
}

/// Guards against tasks that are lost or started twice when an endpoint refuses them, and against
/// an endpoint that refuses at once, looks free and draws all tasks to it.
#[test]
fn tasks_that_an_endpoint_refuses_run_elsewhere() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let load = Load::start(&system, 4, 10);
    load.wait_answered(10);
    let refusing = &system.nodes[3];
    refusing
        .endpoint
        .control(EndpointControl::default().refuse(true));
    let caller = submit_aside(&load, system.entries[0].http, job("wide", 1, &[50; 8]));
    wait_until("the endpoint is ejected", || {
        refusing.agent.metric("ejections_total") > Some(0)
    });
    load.wait_answered(20);
    refusing
        .endpoint
        .control(EndpointControl::default().refuse(false));
    let answer = told(caller);
    assert!(answer.is_answered(), "{answer:?}");
    let before = refusing.endpoint.ledger().len();
    wait_until("the endpoint serves again", || {
        has_state(&system, 3, "open") && refusing.endpoint.ledger().len() > before + 10
    });
    load.finish(&system);
}

/// Guards against jobs that wait for a link which carries nothing but stays open, and against a
/// second start when the requests on it are sent again.
#[test]
fn a_silent_link_is_replaced_and_no_answer_is_lost() {
    let mut system = System::with_timing(2, 3, 2, TIMING);
    system.add_relayed_node(3);
    system.wait_ready();
    let load = Load::start(&system, 2, 11);
    load.wait_answered(10);
    let entry = system.entries[0].http;
    let node = &system.nodes[3];
    let relay = node.relay.as_ref().expect("the node has a relay");
    // More tasks than the other agents have slots for.
    let id = system.id_with_home("runner", 3, false);
    let caller = submit_aside(&load, entry, job(&id, 1, &[LONG_MS; 8]));
    wait_until("the agent behind the relay runs a task", || {
        node.has_started(&id)
    });
    relay.silence();
    let answer = told(caller);
    assert!(answer.is_answered(), "{answer:?}");
    let id = system.id_with_home("home", 3, true);
    let caller = submit_aside(&load, entry, job(&id, 1, &[LONG_MS; 4]));
    system.wait_started(&id);
    relay.silence();
    let answer = told(caller);
    assert!(answer.is_answered(), "{answer:?}");
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against dispatch that stops, or starts tasks again, when an agent dies while the
/// platform's key-value service is out, so that the roster can't follow.
#[test]
fn an_agent_dies_while_the_store_is_out() {
    let timing = format!("{TIMING}\nsilence = 4s");
    let mut system = System::with_timing(2, 4, 2, &timing);
    let load = Load::start(&system, 4, 12);
    load.wait_answered(10);
    let id = system.id_with_home("lost", 1, true);
    let long = job(&id, 1, &[LONG_MS; 6]);
    let caller = submit_aside(&load, system.entries[0].http, long);
    system.wait_started(&id);
    system.kv.control(KeyValueControl::default().outage(true));
    system.kill_agent(1);
    assert_may_have_run(&told(caller), &["home_lost"]);
    load.wait_answered(20);
    assert_eq!(system.roster(0).live().count(), 4);
    system.kv.control(KeyValueControl::default().outage(false));
    wait_until("the dead agent is removed", || {
        (0..2).all(|entry| system.roster(entry).live().count() == 3)
    });
    let again = load
        .history()
        .submit(system.entries[1].http, &job(&id, 2, &[LONG_MS; 6]));
    assert_may_have_run(&again, &["seal_unreachable", "home_lost"]);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start by a first attempt that a frozen entry sends late, after a later
/// attempt was answered and the home that answered it died.
#[test]
fn a_late_first_attempt_starts_nothing_after_its_home_died() {
    let mut system = System::with_timing(2, 4, 2, TIMING);
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    let load = Load::start(&system, 2, 13);
    load.wait_answered(5);
    let id = system.id_with_home("late", 1, true);
    system.entries[0].freeze();
    let late = submit_aside(&load, first, job(&id, 1, &[20; 4]));
    let other = load.history().submit(second, &job(&id, 2, &[20; 4]));
    assert!(other.is_answered(), "{other:?}");
    system.kill_agent(1);
    system.entries[0].thaw();
    assert_may_have_run(&told(late), &["home_lost", "seal_unreachable"]);
    load.wait_answered(20);
    load.finish(&system);
}

//! Agents that join, become silent and rejoin, and roster updates while the store has faults.

mod common;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::load::Load;
use common::{System, job, wait_until};
use fulmarpond_standins::{KeyValue, KeyValueControl};

/// Settings with shorter timeouts than the defaults, so that silent agents are removed sooner.
const TIMING_SETTINGS: &str = "keepalive = 500ms\nlink_timeout = 2s\nsilence = 2s";

/// Waits until the roster of each entry has `members` live members.
fn wait_for_live_members(system: &System, members: usize) {
    wait_until(
        "the entries have the expected number of live members",
        || (0..system.entries.len()).all(|entry| system.roster(entry).live().count() == members),
    );
}

/// Waits until each live agent has exactly one live member in the roster, and asserts that no
/// incarnation is listed twice.
fn assert_one_member_per_agent(system: &System) {
    let mut expected: Vec<_> = system.live_nodes().map(|node| node.addr).collect();
    expected.sort_unstable();
    for entry in 0..system.entries.len() {
        wait_until("each live agent has one live member", || {
            let roster = system.roster(entry);
            let ids: HashSet<_> = roster.members().iter().map(|m| &m.agent).collect();
            assert_eq!(ids.len(), roster.members().len(), "{roster:?}");
            let mut live: Vec<_> = roster.live().map(|member| member.addr).collect();
            live.sort_unstable();
            live == expected
        });
    }
}

/// Guards against dispatch that depends on the platform's key-value service. During an outage an
/// agent that starts cannot join the roster: it must run tasks, but must not accept jobs as a home
/// until it has joined.
#[test]
fn jobs_continue_during_a_store_outage_and_a_new_agent_joins_afterwards() {
    let mut system = System::with_settings(2, 3, 2, TIMING_SETTINGS);
    system.kv.control(KeyValueControl::default().outage(true));
    let load = Load::start(&system, 4, 41);
    load.wait_answered(20);
    system.add_node(3);
    let new_node = &system.nodes[3];
    wait_until("the new agent runs tasks", || {
        !new_node.endpoint.ledger().is_empty()
    });
    load.wait_answered(20);
    for entry in 0..2 {
        let roster = system.roster(entry);
        assert_eq!(roster.live().count(), 3);
        assert!(roster.members().iter().all(|m| m.addr != new_node.addr));
    }
    assert_eq!(new_node.agent.metric("jobs_accepted_total"), Some(0));
    system.kv.control(KeyValueControl::default().outage(false));
    system.wait_ready();
    assert_one_member_per_agent(&system);
    let id = system.id_with_home("new", 3, true);
    system.wait_roster();
    let reply = load
        .history()
        .submit(system.entries[0].http, &job(&id, 1, &[10; 4]));
    assert!(reply.is_answered(), "{reply:?}");
    wait_until("the new agent counts the job as accepted", || {
        system.nodes[3].agent.metric("jobs_accepted_total") > Some(0)
    });
    load.finish(&system);
}

/// Guards against a silent agent that remains a home of new jobs, and against one that does not
/// rejoin the roster, with its job records, after it resumes.
#[test]
fn a_silent_agent_is_removed_and_rejoins() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 4, 42);
    load.wait_answered(10);
    let entry = system.entries[1].http;
    let kept = system.id_with_home("kept", 1, true);
    let first = load.history().submit(entry, &job(&kept, 1, &[10; 4]));
    assert!(first.is_answered(), "{first:?}");
    system.nodes[1].agent.suspend();
    wait_for_live_members(&system, 3);
    load.wait_answered(20);
    system.nodes[1].agent.resume();
    system.wait_ready();
    system.wait_roster();
    assert_one_member_per_agent(&system);
    let again = load.history().submit(entry, &job(&kept, 2, &[10; 4]));
    assert_eq!(again, first);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start of a job whose home was a candidate only while the better
/// candidates were removed as silent: after they rejoin, a resubmission must still be routed to
/// that home.
#[test]
fn an_interim_home_is_queried_after_the_better_candidates_rejoin() {
    let system = System::with_settings(2, 4, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 0, 43);
    let entry = system.entries[0].http;
    let last = 3;
    let id = (0..10_000)
        .map(|number| format!("gap-{number}"))
        .find(|id| !system.candidates(id).contains(&last))
        .expect("some id does not have the agent as a candidate");
    for node in &system.nodes[..last] {
        node.agent.suspend();
    }
    wait_until("only one member remains", || {
        let members = Some(1);
        let mut entries = system.entries.iter();
        system.nodes[last].agent.metric("roster_members") == members
            && entries.all(|entry| entry.metric("roster_members") == members)
    });
    let first = load.history().submit(entry, &job(&id, 1, &[10; 4]));
    assert!(first.is_answered(), "{first:?}");
    for node in &system.nodes[..last] {
        node.agent.resume();
    }
    system.wait_ready();
    system.wait_roster();
    let again = load.history().submit(entry, &job(&id, 2, &[10; 4]));
    assert_eq!(again, first);
    load.finish(&system);
}

/// Makes the store lose replies to writes until it is dropped.
struct LostReplies {
    stop: Arc<AtomicBool>,
}

impl LostReplies {
    fn run(kv: &KeyValue, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            kv.control(KeyValueControl::default().lose_replies(1));
            thread::sleep(Duration::from_millis(20));
        }
        kv.control(KeyValueControl::default().lose_replies(0));
    }
}

impl Drop for LostReplies {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Guards against agents that join twice or disappear from the roster. This happens when the reply
/// of the store is lost after a roster write took effect.
#[test]
fn roster_writes_with_lost_replies_leave_one_member_per_agent() {
    let mut system = System::with_settings(2, 2, 2, TIMING_SETTINGS);
    let load = Load::start(&system, 3, 44);
    load.wait_answered(10);
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let guard = LostReplies { stop };
    let kv = Arc::clone(&system.kv);
    let fault_thread = thread::spawn(move || LostReplies::run(&kv, &flag));
    system.add_node(2);
    system.add_node(3);
    system.wait_ready();
    assert_one_member_per_agent(&system);
    assert!(system.stop_agent(0), "the agent exited with a failure");
    system.kill_agent(1);
    system.replace(1);
    system.wait_ready();
    drop(guard);
    fault_thread.join().expect("the thread does not panic");
    assert_one_member_per_agent(&system);
    load.wait_answered(20);
    load.finish(&system);
}

//! Members that come, fall silent and return, and a roster whose store has faults.

mod common;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::load::Load;
use common::{System, job, wait_until};
use fulmarpond_standins::{KeyValue, KeyValueControl};

/// Removes silent agents sooner than by default, so that the tests take less time.
const TIMING: &str = "keepalive = 500ms\nlink_timeout = 2s\nsilence = 2s";

/// Waits until each entry shows this number of live members.
fn wait_live(system: &System, members: usize) {
    wait_until("the entries show the live members", || {
        (0..system.entries.len()).all(|entry| system.roster(entry).live().count() == members)
    });
}

/// Waits until each live agent has one live member, and asserts that no incarnation is listed twice.
fn check_one_member_per_agent(system: &System) {
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

/// Guards against dispatch that needs the platform's key-value service, and against agents that
/// get no work, or accept jobs, before the roster has them.
#[test]
fn jobs_go_on_while_the_store_is_out_and_a_new_agent_joins_later() {
    let mut system = System::with_timing(2, 3, 2, TIMING);
    system.kv.control(KeyValueControl::default().outage(true));
    let load = Load::start(&system, 4, 41);
    load.wait_answered(20);
    system.add_node(3);
    let new = &system.nodes[3];
    wait_until("the new agent runs tasks", || {
        !new.endpoint.ledger().is_empty()
    });
    load.wait_answered(20);
    for entry in 0..2 {
        let roster = system.roster(entry);
        assert_eq!(roster.live().count(), 3);
        assert!(roster.members().iter().all(|m| m.addr != new.addr));
    }
    assert_eq!(new.agent.metric("jobs_accepted_total"), Some(0));
    system.kv.control(KeyValueControl::default().outage(false));
    system.wait_ready();
    check_one_member_per_agent(&system);
    let id = system.id_with_home("new", 3, true);
    system.wait_roster();
    let told = load
        .history()
        .submit(system.entries[0].http, &job(&id, 1, &[10; 4]));
    assert!(told.is_answered(), "{told:?}");
    wait_until("the new agent shows the job", || {
        system.nodes[3].agent.metric("jobs_accepted_total") > Some(0)
    });
    load.finish(&system);
}

/// Guards against a silent agent that stays home of jobs, and against one that stays removed
/// although it is back with its memory.
#[test]
fn a_silent_agent_is_removed_and_comes_back() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let load = Load::start(&system, 4, 42);
    load.wait_answered(10);
    let entry = system.entries[1].http;
    let kept = system.id_with_home("kept", 1, true);
    let first = load.history().submit(entry, &job(&kept, 1, &[10; 4]));
    assert!(first.is_answered(), "{first:?}");
    system.nodes[1].agent.freeze();
    wait_live(&system, 3);
    load.wait_answered(20);
    system.nodes[1].agent.thaw();
    system.wait_ready();
    system.wait_roster();
    check_one_member_per_agent(&system);
    let again = load.history().submit(entry, &job(&kept, 2, &[10; 4]));
    assert_eq!(again, first);
    load.wait_answered(20);
    load.finish(&system);
}

/// Guards against a second start of a job whose home was a candidate only while the better ones
/// were removed for their silence.
#[test]
fn a_home_of_the_meantime_is_asked_after_the_others_are_back() {
    let system = System::with_timing(2, 4, 2, TIMING);
    let load = Load::start(&system, 0, 43);
    let entry = system.entries[0].http;
    let last = 3;
    let id = (0..10_000)
        .map(|number| format!("gap-{number}"))
        .find(|id| !system.candidates(id).contains(&last))
        .expect("the agent is no candidate of some id");
    for node in &system.nodes[..last] {
        node.agent.freeze();
    }
    wait_until("only one member is left", || {
        let members = Some(1);
        let mut entries = system.entries.iter();
        system.nodes[last].agent.metric("roster_members") == members
            && entries.all(|entry| entry.metric("roster_members") == members)
    });
    let first = load.history().submit(entry, &job(&id, 1, &[10; 4]));
    assert!(first.is_answered(), "{first:?}");
    for node in &system.nodes[..last] {
        node.agent.thaw();
    }
    system.wait_ready();
    system.wait_roster();
    let again = load.history().submit(entry, &job(&id, 2, &[10; 4]));
    assert_eq!(again, first);
    load.finish(&system);
}

/// Loses the replies to writes of the store until it is dropped.
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

/// Guards against agents that join twice, or are lost from the roster, when the reply of the store
/// is lost after the write took effect.
#[test]
fn roster_writes_with_lost_replies_leave_one_member_per_agent() {
    let mut system = System::with_timing(2, 2, 2, TIMING);
    let load = Load::start(&system, 3, 44);
    load.wait_answered(10);
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let guard = LostReplies { stop };
    let kv = Arc::clone(&system.kv);
    let loser = thread::spawn(move || LostReplies::run(&kv, &flag));
    system.add_node(2);
    system.add_node(3);
    system.wait_ready();
    check_one_member_per_agent(&system);
    assert!(system.stop_agent(0), "the agent reports a failure");
    system.kill_agent(1);
    system.replace(1);
    system.wait_ready();
    drop(guard);
    loser.join().expect("the replies come again");
    check_one_member_per_agent(&system);
    load.wait_answered(20);
    load.finish(&system);
}

//! Reading of evacuations by an agent: when it starts tasks, and what it makes of replies of the
//! store.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallNo, EndpointCall, EndpointReply,
};
use fulmarpond_dispatch::directory::{StoreCall, StoreReply};
use fulmarpond_dispatch::evacuation::{EvacuationWatch, Evacuations, Update, WatchAction};
use fulmarpond_dispatch::{
    EndpointId, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo, Order, Registration,
    Resources,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);

fn page(names: &[&str], next: Option<&str>, at: u64) -> Option<StoreReply> {
    Some(StoreReply::EvacuationPage {
        names: names.iter().map(ToString::to_string).collect(),
        next: next.map(str::to_owned),
        at,
    })
}

fn order(id: &str) -> EntryFrame {
    EntryFrame::Start(Order {
        job: JobId(id.to_owned()),
        step: 0,
        indexes: vec![0],
        service: "service".to_owned(),
        route: "route".to_owned(),
        spec: String::new(),
        needs: Resources::default(),
        priority: 0,
        expected_ms: 50,
        nominal_ms: 50,
        slack_ms: 5_000,
        remaining_ms: u32::MAX,
        watch_ms: 0,
        is_quarantined: false,
        max_run_ms: 1_000,
        is_durable: false,
        epoch: 0,
        last_runs: Vec::new(),
        checkpoints: Vec::new(),
        gang: false,
        long_running: false,
        ticket: None,
    })
}

/// Returns an agent that reads evacuations and whose endpoint runs nothing, and its first call to
/// the store.
fn agent() -> (Agent, u64) {
    let options = AgentOptions {
        name: "side-1".to_owned(),
        zone: "Saga".to_owned(),
        seeds: Vec::new(),
        lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
        heartbeat_interval_ms: 1_500,
        fence: 1,
    };
    let mut agent = Agent::new(options, START);
    agent.watch_evacuations(5_000, START);
    let registration = Registration {
        id: EndpointId("e-1".to_owned()),
        born: 0,
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: Resources::default(),
        labels: Vec::new(),
        cold_remaining_ms: 0,
        state: EndpointState::Ready,
        sequence: 1,
    };
    let mut out = Vec::new();
    agent.tick(START, &mut out);
    agent
        .handle_heartbeat(registration, START, &mut out)
        .expect("a consistent heartbeat");
    agent.link_up(LINK, START, &mut out);
    for number in hold_calls(&out) {
        agent.handle_reply(number, Ok(empty_lists()), START, &mut Vec::new());
    }
    (agent, store_call(&out).expect("a call to the store"))
}

fn hold_calls(out: &[Action]) -> Vec<CallNo> {
    let holds = out.iter().filter_map(|action| match action {
        Action::Call {
            number,
            call: EndpointCall::Hold { .. },
            ..
        } => Some(*number),
        _ => None,
    });
    holds.collect()
}

const fn empty_lists() -> EndpointReply {
    EndpointReply::Held {
        clock: 0,
        born: 0,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

fn store_call(out: &[Action]) -> Option<u64> {
    out.iter().rev().find_map(|action| match action {
        Action::Store { number, .. } => Some(*number),
        _ => None,
    })
}

fn has_start(out: &[Action]) -> bool {
    let is_start = |action: &Action| match action {
        Action::Call { call, .. } => matches!(call, EndpointCall::Start { .. }),
        _ => false,
    };
    out.iter().any(is_start)
}

struct StartCase {
    name: &'static str,
    /// The evacuated zones in the first list; `None` if the store does not answer.
    list: Option<&'static [&'static str]>,
    /// When the order arrives, in milliseconds after the list.
    order_ms: u64,
    /// Whether the task starts with the order, and whether it starts later.
    expected: (bool, bool),
}

/// Guards against orders of an uninformed entry that an agent starts in its evacuated zone right
/// after its start or a pause, and against agents that start nothing while the store is away.
#[test]
fn agent_starts_tasks_only_after_it_has_read_the_list() {
    let cases = [
        StartCase {
            name: "list without the zone",
            list: Some(&["Uma"]),
            order_ms: 0,
            expected: (true, false),
        },
        StartCase {
            name: "list with the zone",
            list: Some(&["Saga"]),
            order_ms: 0,
            expected: (false, false),
        },
        StartCase {
            name: "no list yet",
            list: None,
            order_ms: 0,
            expected: (false, true),
        },
        StartCase {
            name: "after a pause",
            list: Some(&[]),
            order_ms: 2_000,
            expected: (false, true),
        },
    ];
    for case in cases {
        let (mut agent, call) = agent();
        let mut out = Vec::new();
        if let Some(zones) = case.list {
            agent.handle_store_reply(call, page(zones, None, 7), START, &mut out);
        }
        let now = START.after_millis(case.order_ms);
        // The lease of the first link has expired after a pause, so the order comes over a new one.
        let link = LinkNo(LINK.0 + case.order_ms);
        if link != LINK {
            agent.link_up(link, now, &mut out);
        }
        agent.handle_frame(link, order("j"), now, &mut out);
        let starts_at_once = has_start(&out);
        out.clear();
        let mut starts_later = false;
        for ms in (1..1_700).step_by(10) {
            let now = now.after_millis(ms);
            let sent = now.as_micros();
            agent.handle_frame(link, EntryFrame::Renew { sent }, now, &mut out);
            agent.tick(now, &mut out);
            starts_later |= has_start(&out);
            for number in hold_calls(&std::mem::take(&mut out)) {
                agent.handle_reply(number, Ok(empty_lists()), now, &mut out);
            }
        }
        let outcome = (starts_at_once, starts_later);
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}

/// Plays replies to the calls of a watch; returns the calls after each, and the lists.
fn play(replies: &[Option<StoreReply>]) -> (Vec<StoreCall>, Vec<Evacuations>) {
    let mut watch = EvacuationWatch::new("side-1".to_owned(), 5_000, START);
    let (mut calls, mut lists) = (Vec::new(), Vec::new());
    let mut replies = replies.iter();
    for ms in 0..5_000 {
        let mut out = Vec::new();
        let now = START.after_millis(ms);
        watch.tick(now, &mut out);
        while let Some(action) = out.pop() {
            match action {
                WatchAction::Call { number, call, .. } => {
                    calls.push(call);
                    match replies.next() {
                        Some(reply) => watch.handle_reply(number, reply.clone(), now, &mut out),
                        None => return (calls, lists),
                    }
                }
                WatchAction::Listed(list) => lists.push(list),
            }
        }
    }
    (calls, lists)
}

/// Guards against lists that lack a page, stale lists that end the search for a change, changes
/// that are lost with a call, and names in malformed keys.
#[test]
fn watch_reads_complete_and_current_lists() {
    let changed = |at| Some(StoreReply::Changed { any: true, at });
    let list = || StoreCall::ListEvacuations { after: None };
    let watch = |after| StoreCall::WatchEvacuations { after, wait: 2_000 };
    let read = |revision, zones: &[&str]| {
        Evacuations::new(revision, zones.iter().map(ToString::to_string))
    };
    let second_page = StoreCall::ListEvacuations {
        after: Some("b".to_owned()),
    };
    let (calls, lists) = play(&[
        page(&["a", "b"], Some("b"), 5),
        page(&["", "c d", "e"], None, 6),
    ]);
    assert_eq!(calls, [list(), second_page, watch(5)]);
    assert_eq!(lists, [read(5, &["a", "b", "e"])]);

    let (calls, lists) = play(&[
        page(&[], None, 5),
        changed(9),
        page(&[], None, 6),
        page(&["a"], None, 9),
    ]);
    assert_eq!(calls, [list(), watch(5), list(), list(), watch(9)]);
    assert_eq!(lists.last(), Some(&read(9, &["a"])));

    let (calls, _) = play(&[
        page(&[], None, 5),
        None,
        page(&[], None, 6),
        Some(StoreReply::Compacted),
    ]);
    assert_eq!(calls, [list(), watch(5), list(), watch(6), list()]);
}

/// Guards against stale reads and late messages that bring back an earlier state, and against
/// messages about lists that name the same zones.
#[test]
fn only_a_list_of_a_higher_revision_replaces_another() {
    let cases = [
        (6, &[][..], Update::Changed, false),
        (6, &["Saga"][..], Update::Unchanged, true),
        (5, &[][..], Update::Unchanged, true),
        (4, &[][..], Update::Outdated, true),
        (4, &["Saga"][..], Update::Unchanged, true),
    ];
    for (revision, zones, update, contains) in cases {
        let list = |revision, zones: &[&str]| {
            Evacuations::new(revision, zones.iter().map(ToString::to_string))
        };
        let mut known = list(5, &["Saga"]);
        let found = known.update(&list(revision, zones));
        let outcome = (found, known.contains("Saga"), known.revision());
        assert_eq!(
            outcome,
            (update, contains, revision.max(5)),
            "{revision}, {zones:?}"
        );
    }
}

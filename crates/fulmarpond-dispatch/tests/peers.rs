//! Attempts of one job at several entries: the later one starts when no run of the earlier is left.

mod entry_setup;

use std::collections::VecDeque;
use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::AnnouncedEntry;
use fulmarpond_dispatch::entry::{
    Action, Answer, Arrival, Entry, EntryOptions, RequestNo, Step, Submission,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointStatus, EntryFrame, JobId, LeaseTimes, LinkNo, LinkedEntry,
    ListedEnd, Outcome, PeerFrame, Refusal, Resources, TaskEnd, TaskKey,
};

/// The link of each entry to its agent.
const AGENT: LinkNo = LinkNo(1);

/// The link between the two entries, at both of them.
const PEER: LinkNo = LinkNo(2);

/// The time from a lost answer to the next attempt, in milliseconds.
const RESEND_MS: u64 = 1_300;

const ROOM: Resources = Resources {
    cpu: 16_000,
    memory: 64_000,
    accelerators: 0,
};

/// Two linked entries, each with an agent, and what they have sent to agents and callers.
struct Pair {
    now: Time,
    entries: [Entry; 2],
    is_linked: bool,
    /// How long frames between the entries are under way, in milliseconds.
    delay_ms: u64,
    /// For how long the network may have held requests back, in milliseconds.
    held_back: u64,
    /// The frames that are under way: when they arrive, who has sent them, and what.
    under_way: VecDeque<(Time, usize, Action)>,
    orders: [Vec<EntryFrame>; 2],
    answers: [Vec<(RequestNo, Answer)>; 2],
}

impl Pair {
    fn new() -> Self {
        let now = Time::from_millis(10_000);
        let mut pair = Self {
            now,
            entries: [entry("entry-0", now), entry("entry-1", now)],
            is_linked: true,
            delay_ms: 0,
            held_back: 0,
            under_way: VecDeque::new(),
            orders: [Vec::new(), Vec::new()],
            answers: [Vec::new(), Vec::new()],
        };
        for number in 0..2 {
            pair.with(number, |entry, now, out| {
                entry.configure(Configuration::new(1, vec![route()], None), now, out);
                link_agent(entry, now, out);
            });
        }
        let announced = announced();
        for number in 0..2 {
            pair.with(number, |entry, now, out| {
                entry.set_entries(&announced, now, out);
            });
        }
        pair.run_ms(400);
        pair
    }

    /// Calls an entry, and passes its frames to the other one.
    fn with(&mut self, number: usize, act: impl FnOnce(&mut Entry, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.entries[number], self.now, &mut out);
        self.carry_out_all(out.into_iter().map(|action| (number, action)).collect());
    }

    fn carry_out_all(&mut self, mut queue: VecDeque<(usize, Action)>) {
        while let Some((from, action)) = queue.pop_front() {
            let is_frame = matches!(
                action,
                Action::SendToEntry { .. } | Action::Send { link: PEER, .. }
            );
            if is_frame && self.delay_ms > 0 {
                let arrival = self.now.after_millis(self.delay_ms);
                self.under_way.push_back((arrival, from, action));
                continue;
            }
            let more = self.carry_out(from, action);
            queue.extend(more);
        }
    }

    /// Hands over the frames between the entries that have arrived.
    fn deliver_due(&mut self) {
        while let Some((arrival, ..)) = self.under_way.front()
            && *arrival <= self.now
            && let Some((_, from, action)) = self.under_way.pop_front()
        {
            let more = self.carry_out(from, action);
            self.carry_out_all(more.into());
        }
    }

    fn carry_out(&mut self, from: usize, action: Action) -> Vec<(usize, Action)> {
        let other = 1 - from;
        let now = self.now;
        let mut out = Vec::new();
        match action {
            Action::Dial { addr } => {
                self.entries[from].dialed(addr, PEER);
                if self.is_linked {
                    self.entries[other].link_up(PEER, &mut Vec::new());
                    self.entries[from].peer_link_up(PEER, now, &mut out);
                } else {
                    self.entries[from].link_down(PEER, now, &mut out);
                }
                return out.into_iter().map(|action| (from, action)).collect();
            }
            Action::SendToEntry { link: PEER, frame } if self.is_linked => {
                let frame = AgentFrame::Peer(frame);
                self.entries[other].handle_frame(PEER, frame, now, &mut out);
            }
            Action::Send { link: PEER, frame } if self.is_linked => {
                self.entries[other].handle_entry_frame(PEER, frame, now, &mut out);
            }
            Action::Send { link: AGENT, frame } => self.orders[from].push(frame),
            Action::Answer {
                request, answer, ..
            } => self.answers[from].push((request, answer)),
            _ => {}
        }
        out.into_iter().map(|action| (other, action)).collect()
    }

    /// Lets time pass, with a status of each agent every 10 ms.
    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now.after_millis(10);
            self.deliver_due();
            for number in 0..2 {
                self.with(number, |entry, now, out| {
                    entry.handle_frame(AGENT, status(), now, out);
                    entry.tick(now, out);
                });
            }
        }
    }

    /// Tells an entry which entries its agent is linked to.
    fn name_entries(&mut self, number: usize, names: &[&str]) {
        let entries = names.iter().map(|&name| LinkedEntry {
            name: name.to_owned(),
            addr: ([10, 0, 0, 9], 7_000).into(),
        });
        let frame = AgentFrame::Entries(entries.collect());
        self.with(number, |entry, now, out| {
            entry.handle_frame(AGENT, frame, now, out);
        });
    }

    fn submit(&mut self, number: usize, request: u64, max_age: u64) {
        let arrival = Arrival {
            request: RequestNo(request),
            max_age,
            held_back: self.held_back,
        };
        self.with(number, |entry, now, out| {
            entry.submit(arrival, job(), &Rc::new(route()), submission(), now, out);
        });
    }

    /// Reports the end of the run at an agent.
    fn end_run(&mut self, number: usize, outcome: Outcome) {
        let end = TaskEnd {
            task: task(),
            outcome,
            run: 1,
            elapsed: 0,
        };
        self.with(number, |entry, now, out| {
            entry.handle_frame(AGENT, AgentFrame::Ended(vec![end]), now, out);
        });
    }

    fn starts(&self, number: usize) -> usize {
        let is_start = |frame: &&EntryFrame| matches!(frame, EntryFrame::Start(_));
        self.orders[number].iter().filter(is_start).count()
    }

    fn reported_stops(&self, number: usize) -> usize {
        let is_stop =
            |frame: &&EntryFrame| matches!(frame, EntryFrame::Stop { report, .. } if *report);
        self.orders[number].iter().filter(is_stop).count()
    }
}

fn entry(name: &str, now: Time) -> Entry {
    let options = EntryOptions {
        name: name.to_owned(),
        lease_times: LeaseTimes::new(RESEND_MS, 1_000, 50).expect("valid lease times"),
        ..entry_setup::options()
    };
    Entry::new(options, now)
}

fn announced() -> Vec<AnnouncedEntry> {
    let announced = (0..2).map(|number: u8| AnnouncedEntry {
        name: format!("entry-{number}"),
        addr: ([10, 0, 0, number], 7_000).into(),
    });
    announced.collect()
}

fn link_agent(entry: &mut Entry, now: Time, out: &mut Vec<Action>) {
    entry.link_up(AGENT, out);
    let hello = AgentFrame::Hello {
        name: "agent".to_owned(),
        zone: "Saga".to_owned(),
        version: 0,
    };
    let endpoint = AgentFrame::Endpoint {
        id: EndpointId("e-1".to_owned()),
        born: 0,
        service: "service".to_owned(),
        capacity: ROOM,
        labels: Vec::new(),
    };
    for frame in [hello, endpoint, status()] {
        entry.handle_frame(AGENT, frame, now, out);
    }
}

fn status() -> AgentFrame {
    AgentFrame::Status {
        sent: 1,
        orders: u64::MAX,
        load: EndpointStatus {
            ready: true,
            free: ROOM,
            slowness: 100,
            ..EndpointStatus::default()
        },
    }
}

fn route() -> Route {
    entry_setup::route()
}

fn submission() -> Submission {
    Submission {
        spec: String::new(),
        steps: vec![Step {
            needs: Resources {
                cpu: 1_000,
                memory: 64,
                accelerators: 0,
            },
            estimate: 2_000,
            ..entry_setup::step()
        }],
        timeout_ms: 8_000,
        is_durable: false,
        repeat: None,
    }
}

fn job() -> JobId {
    JobId("0000000000000001".to_owned())
}

fn task() -> TaskKey {
    TaskKey {
        job: job(),
        step: 0,
        index: 0,
    }
}

/// Guards against two runs of a task at a time when the connection of its caller breaks on the side
/// of the caller only, and the next attempt comes to another entry.
#[test]
fn attempt_at_another_entry_starts_when_the_earlier_one_is_over() {
    for earlier in [0, 1] {
        let later = 1 - earlier;
        let mut pair = Pair::new();
        pair.submit(earlier, 1, 0);
        pair.run_ms(RESEND_MS);
        pair.submit(later, 2, 0);
        assert_eq!(
            pair.starts(later),
            0,
            "the run of the first attempt is not over"
        );
        assert_eq!(
            pair.reported_stops(earlier),
            1,
            "the first attempt is stopped"
        );
        let reason = Refusal::Superseded;
        let superseded = (RequestNo(1), Answer::MayHaveRun { reason });
        assert_eq!(pair.answers[earlier], [superseded]);
        pair.run_ms(100);
        assert_eq!(pair.starts(later), 0, "its stop is not confirmed yet");
        pair.end_run(earlier, Outcome::Aborted);
        assert_eq!(
            pair.starts(later),
            1,
            "nothing is left of the first attempt"
        );
        pair.end_run(later, Outcome::Done);
        assert_eq!(pair.answers[later], [(RequestNo(2), Answer::Completed)]);
    }
}

/// Guards against two runs at a time when the caller comes back to the same entry while the agent
/// can't confirm the stop of its first attempt.
#[test]
fn attempt_at_the_same_entry_waits_for_a_confirmed_stop() {
    let mut pair = Pair::new();
    pair.submit(0, 1, 0);
    pair.run_ms(100);
    pair.with(0, |entry, now, out| {
        entry.handle_caller_disconnect(RequestNo(1), now, out);
    });
    pair.run_ms(RESEND_MS - 100);
    pair.submit(0, 2, 0);
    assert_eq!(pair.starts(0), 1, "the run of the first attempt may go on");
    pair.end_run(0, Outcome::Aborted);
    assert_eq!(pair.starts(0), 2);
}

/// Guards against two runs at a time when the report of the first attempt comes late: the entry had sent
/// the task to the same agent again, took the report for the end of that run, and placed the task once more.
#[test]
fn late_report_of_an_earlier_attempt_does_not_end_the_next_run() {
    // The agent waits for the end of a lease, and its report for the link. By the last time the link has
    // delivered it or is closed.
    for report_ms in [1_290, 1_310, 1_500, 1_800] {
        let mut pair = Pair::new();
        pair.submit(0, 1, 0);
        pair.run_ms(100);
        pair.with(0, |entry, now, out| {
            entry.handle_caller_disconnect(RequestNo(1), now, out);
        });
        let mut next = Some(RESEND_MS);
        for elapsed in (0..report_ms).step_by(10) {
            if next.is_some_and(|at| elapsed >= at) {
                pair.submit(0, 2, 0);
                next = None;
            }
            pair.run_ms(10);
        }
        pair.end_run(0, Outcome::Aborted);
        if next.is_some() {
            pair.run_ms(10);
            pair.submit(0, 2, 0);
        }
        pair.run_ms(50);
        assert_eq!(pair.starts(0), 2, "report after {report_ms} ms");
    }
}

/// Guards against a job that never runs since the report of its first attempt never comes.
#[test]
fn attempt_at_the_same_entry_starts_without_a_report_in_the_end() {
    let mut pair = Pair::new();
    pair.submit(0, 1, 0);
    pair.run_ms(100);
    pair.with(0, |entry, now, out| {
        entry.handle_caller_disconnect(RequestNo(1), now, out);
    });
    pair.run_ms(RESEND_MS);
    pair.submit(0, 2, 0);
    pair.run_ms(650);
    assert_eq!(pair.starts(0), 2);
}

/// Guards against two runs at a time when the entry of the first attempt is lost: its runs go on
/// until their leases have expired. Guards as well against a second attempt that waits longer.
#[test]
fn attempt_after_the_loss_of_an_entry_starts_when_its_leases_have_expired() {
    let mut pair = Pair::new();
    pair.submit(0, 1, 0);
    pair.run_ms(1_000);
    pair.is_linked = false;
    pair.with(1, |entry, now, out| entry.link_down(PEER, now, out));
    let orphan_ms = LeaseTimes::new(RESEND_MS, 1_000, 50)
        .expect("valid lease times")
        .orphan_ms();
    pair.run_ms(300);
    pair.submit(1, 2, 0);
    pair.run_ms(orphan_ms - 320);
    assert_eq!(pair.starts(1), 0, "runs of the lost entry may go on");
    pair.run_ms(60);
    assert_eq!(pair.starts(1), 1);
}

/// Guards against an attempt that starts at the same moment as the next one: its request waited
/// unread until its caller had sent the job again.
#[test]
fn request_that_waited_unread_too_long_does_not_run() {
    let mut pair = Pair::new();
    pair.submit(0, 1, RESEND_MS);
    let reason = Refusal::Outdated;
    assert_eq!(
        pair.answers[0],
        [(RequestNo(1), Answer::MayHaveRun { reason })]
    );
    assert_eq!(pair.starts(0), 0);
}

/// Guards against two runs at a time after a pause: the entry has an attempt that another entry has
/// started anew meanwhile.
#[test]
fn paused_entry_places_nothing_before_it_knows_the_other_attempts() {
    let mut pair = Pair::new();
    pair.submit(1, 1, 0);
    // Both links of the entry are lost in its pause, in which the leases of its runs expire.
    pair.is_linked = false;
    pair.with(0, |entry, now, out| entry.link_down(PEER, now, out));
    for _ in 0..170 {
        pair.now = pair.now.after_millis(10);
        pair.with(0, |entry, now, out| {
            entry.handle_frame(AGENT, status(), now, out);
            entry.tick(now, out);
        });
    }
    pair.submit(0, 2, 0);
    assert_eq!(pair.starts(0), 1, "the first attempt is over");
    pair.with(1, |entry, now, out| {
        entry.link_down(PEER, now, out);
        entry.link_down(AGENT, now, out);
        link_agent(entry, now, out);
        entry.tick(now, out);
    });
    pair.is_linked = true;
    pair.run_ms(2_000);
    assert_eq!(pair.starts(1), 1, "its attempt is superseded");
}

/// Guards against a refusal that promises that the job never runs, although its earlier attempt ran:
/// the request was held before that attempt was known, and finds no room afterwards.
#[test]
fn request_whose_earlier_attempt_becomes_known_is_not_refused_as_not_run() {
    let mut pair = Pair::new();
    pair.is_linked = false;
    pair.with(0, |entry, now, out| entry.link_down(PEER, now, out));
    pair.with(1, |entry, now, out| entry.link_down(PEER, now, out));
    pair.submit(0, 1, 0);
    pair.run_ms(RESEND_MS);
    pair.with(1, |entry, now, out| {
        entry.await_entries(now);
        entry.set_entries(&announced(), now, out);
    });
    pair.submit(1, 2, 0);
    assert_eq!(pair.starts(1), 0, "the other attempts are not known yet");
    pair.is_linked = true;
    pair.run_ms(150);
    pair.with(1, |entry, now, out| entry.link_down(AGENT, now, out));
    pair.end_run(0, Outcome::Aborted);
    pair.run_ms(100);
    let is_not_run = |(_, answer): &(RequestNo, Answer)| matches!(answer, Answer::NotRun { .. });
    assert!(!pair.answers[1].is_empty());
    assert!(!pair.answers[1].iter().any(is_not_run));
}

/// Guards against two attempts at one time that no counter shows: entries without a link to each other
/// have each started one, and find out when they are linked.
#[test]
fn attempts_that_ran_at_two_entries_are_counted() {
    let mut pair = Pair::new();
    pair.is_linked = false;
    for number in 0..2 {
        pair.with(number, |entry, now, out| entry.link_down(PEER, now, out));
    }
    pair.submit(0, 1, 0);
    pair.run_ms(RESEND_MS);
    pair.submit(1, 2, 0);
    assert_eq!([pair.starts(0), pair.starts(1)], [1, 1]);
    pair.is_linked = true;
    pair.run_ms(600);
    assert_eq!(pair.entries[0].counters.overlapping, 1);
    assert_eq!(pair.entries[1].counters.overlapping, 0);
    assert_eq!(pair.reported_stops(0), 1, "the earlier one ends");
}

struct UnsharedCase {
    name: &'static str,
    /// The entries that the agent is linked to.
    linked: &'static [&'static str],
    /// When the link to the other entry is lost for good, in milliseconds after the submission.
    lost_ms: Option<u64>,
    /// When the attempt ends, in milliseconds after the submission, if it does within 4 s.
    end_ms: Option<std::ops::Range<u64>>,
}

/// Guards against an attempt that goes on while an entry which can start the job as well may not know of
/// it, and against one that ends for an entry which can't.
#[test]
fn attempt_ends_before_an_entry_could_start_another_one() {
    let cases = [
        UnsharedCase {
            name: "linked",
            linked: &["entry-0", "entry-1"],
            lost_ms: None,
            end_ms: None,
        },
        UnsharedCase {
            name: "without agents",
            linked: &["entry-0"],
            lost_ms: Some(0),
            end_ms: None,
        },
        UnsharedCase {
            name: "never reached",
            linked: &["entry-0", "entry-1"],
            lost_ms: Some(0),
            end_ms: Some(1_130..1_170),
        },
        UnsharedCase {
            name: "lost later",
            linked: &["entry-0", "entry-1"],
            lost_ms: Some(1_500),
            end_ms: Some(2_600..2_840),
        },
        UnsharedCase {
            name: "not announced",
            linked: &["entry-0", "entry-2"],
            lost_ms: None,
            end_ms: Some(1_130..1_170),
        },
    ];
    for case in cases {
        let mut pair = Pair::new();
        pair.name_entries(0, case.linked);
        // An entry that has just appeared is given some time.
        pair.run_ms(700);
        pair.submit(0, 1, 0);
        let mut ended_ms = None;
        for millis in (0..4_000).step_by(10) {
            if case.lost_ms == Some(millis) {
                pair.is_linked = false;
                pair.with(0, |entry, now, out| entry.link_down(PEER, now, out));
            }
            pair.run_ms(10);
            if ended_ms.is_none() && !pair.answers[0].is_empty() {
                ended_ms = Some(millis + 10);
            }
        }
        let is_expected = match (&case.end_ms, ended_ms) {
            (Some(range), Some(at)) => range.contains(&at),
            (expected, ended) => expected.is_none() && ended.is_none(),
        };
        assert!(is_expected, "{}: ended at {ended_ms:?}", case.name);
        if ended_ms.is_some() {
            let reason = Refusal::Unshared;
            assert_eq!(
                pair.answers[0],
                [(RequestNo(1), Answer::MayHaveRun { reason })]
            );
        }
    }
}

/// Guards against a job that starts after a pause of its entry on the strength of lists from before the
/// pause: what an agent tells of entries does not make them new.
#[test]
fn paused_entry_awaits_new_lists_although_its_agent_names_entries_again() {
    let mut pair = Pair::new();
    pair.name_entries(1, &["entry-0", "entry-1"]);
    pair.run_ms(100);
    pair.submit(0, 1, 0);
    // Its links stay open in its pause; the frames of the other entry are late.
    pair.is_linked = false;
    pair.now = pair.now.after_millis(600);
    pair.with(1, |entry, now, out| {
        entry.handle_frame(AGENT, status(), now, out);
        entry.tick(now, out);
    });
    pair.name_entries(1, &["entry-0", "entry-1"]);
    pair.run_ms(20);
    pair.submit(1, 2, 0);
    assert_eq!(pair.starts(1), 0, "the other attempts are not known yet");
    pair.is_linked = true;
    pair.run_ms(200);
    assert_eq!(pair.starts(1), 0, "the earlier attempt is not over yet");
    pair.end_run(0, Outcome::Aborted);
    assert_eq!(pair.starts(1), 1);
}

struct CloseCase {
    name: &'static str,
    /// How long frames between the entries are under way, in milliseconds.
    delay_ms: u64,
    /// When the second entry reads its attempt, in milliseconds after the first one.
    apart_ms: u64,
    first: usize,
}

/// Guards against two attempts that go on for good, since each entry finds its own the older one: a list
/// is under way for longer than the attempts are apart. Both may end if their lists cross.
#[test]
fn attempts_within_the_time_of_a_message_end_up_as_one() {
    let cases = [
        CloseCase {
            name: "at one moment",
            delay_ms: 10,
            apart_ms: 0,
            first: 0,
        },
        CloseCase {
            name: "no delay",
            delay_ms: 0,
            apart_ms: 0,
            first: 0,
        },
        CloseCase {
            name: "first entry before the second",
            delay_ms: 20,
            apart_ms: 10,
            first: 0,
        },
        CloseCase {
            name: "second entry before the first",
            delay_ms: 20,
            apart_ms: 10,
            first: 1,
        },
        CloseCase {
            name: "further apart than a message takes",
            delay_ms: 10,
            apart_ms: 50,
            first: 0,
        },
        CloseCase {
            name: "the same, the other way round",
            delay_ms: 10,
            apart_ms: 50,
            first: 1,
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let mut pair = Pair::new();
        pair.delay_ms = case.delay_ms;
        pair.submit(case.first, 1, 0);
        pair.run_ms(case.apart_ms);
        pair.submit(1 - case.first, 2, 0);
        pair.run_ms(1_000);
        let stops = [pair.reported_stops(0), pair.reported_stops(1)];
        let answers = [pair.answers[0].len(), pair.answers[1].len()];
        if stops == [0, 0] || answers != stops {
            failed.push(format!(
                "{}: stops {stops:?}, answers {answers:?}",
                case.name
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a new process that starts a job before its first agent has named the other entries,
/// which the store does not announce: one of them has an earlier attempt.
#[test]
fn new_entry_starts_nothing_before_its_agent_has_named_the_others() {
    let mut pair = Pair::new();
    pair.submit(0, 1, 0);
    pair.run_ms(RESEND_MS);
    pair.is_linked = false;
    pair.with(0, |entry, now, out| entry.link_down(PEER, now, out));
    let now = pair.now;
    pair.entries[1] = entry("entry-1", now);
    pair.with(1, |entry, now, out| {
        entry.await_entries(now);
        entry.configure(Configuration::new(1, vec![route()], None), now, out);
        entry.set_entries(&announced()[1..], now, out);
        link_agent(entry, now, out);
    });
    pair.submit(1, 2, 0);
    pair.run_ms(20);
    assert_eq!(pair.starts(1), 0, "no agent has named the other entries");
    pair.name_entries(1, &["entry-0", "entry-1"]);
    pair.is_linked = true;
    pair.run_ms(100);
    assert_eq!(pair.starts(1), 0, "the earlier attempt is not over");
    pair.end_run(0, Outcome::Aborted);
    assert_eq!(pair.starts(1), 1);
}

/// Guards against a new process that waits for long although its agent names no other entry, or does not
/// tell of entries at all.
#[test]
fn new_entry_that_is_alone_starts_at_once() {
    for (names, limit_ms) in [(&["entry-1"][..], 100), (&[], 800)] {
        let mut pair = Pair::new();
        pair.is_linked = false;
        pair.with(0, |entry, now, out| entry.link_down(PEER, now, out));
        let now = pair.now;
        pair.entries[1] = entry("entry-1", now);
        pair.with(1, |entry, now, out| {
            entry.await_entries(now);
            entry.configure(Configuration::new(1, vec![route()], None), now, out);
            entry.set_entries(&announced()[1..], now, out);
            link_agent(entry, now, out);
        });
        pair.submit(1, 2, 0);
        pair.run_ms(50);
        if !names.is_empty() {
            pair.name_entries(1, names);
        }
        pair.run_ms(limit_ms - 50);
        assert_eq!(pair.starts(1), 1, "{names:?}");
    }
}

/// What happens to an attempt at entry 0 and to one at entry 1, in milliseconds after the first one
/// was sent.
struct OverlapCase {
    name: &'static str,
    /// When the caller of the first attempt leaves, if it does.
    leaves: Option<u64>,
    /// When the second attempt is sent.
    sent_again: u64,
    /// When the second attempt completes, if it does.
    completes: Option<u64>,
    /// When the end of the run of the first attempt is reported.
    first_ends: u64,
    is_overlap: bool,
}

/// Guards against runs of two attempts at one time that no entry notices, and against alarms where the
/// second attempt has waited for the end of the first one, or came after it. Nor may an attempt that has
/// waited for the end of its caller's connection only count as one that has waited for another attempt.
#[test]
fn entries_notice_runs_of_two_attempts_at_one_time() {
    let cases = [
        OverlapCase {
            name: "both run, the earlier one ends once the lists have met",
            leaves: None,
            sent_again: 100,
            completes: None,
            first_ends: 900,
            is_overlap: true,
        },
        OverlapCase {
            name: "the caller of the first one leaves after the second one has started",
            leaves: Some(150),
            sent_again: 100,
            completes: None,
            first_ends: 200,
            is_overlap: true,
        },
        OverlapCase {
            name: "the second one completes before the first one ends",
            leaves: Some(150),
            sent_again: 100,
            completes: Some(180),
            first_ends: 200,
            is_overlap: true,
        },
        OverlapCase {
            name: "the first one ends before the second one comes",
            leaves: Some(50),
            sent_again: 100,
            completes: None,
            first_ends: 80,
            is_overlap: false,
        },
        OverlapCase {
            name: "the second one waits for the end of the first one",
            leaves: None,
            sent_again: RESEND_MS,
            completes: None,
            first_ends: 1_400,
            is_overlap: false,
        },
    ];
    let waits = [0, u64::MAX];
    for (case, held_back) in cases.iter().flat_map(|case| waits.map(|wait| (case, wait))) {
        let mut pair = Pair::new();
        pair.submit(0, 1, 0);
        for elapsed_ms in (0..2_000).step_by(10) {
            if Some(elapsed_ms) == case.leaves {
                pair.with(0, |entry, now, out| {
                    entry.handle_caller_disconnect(RequestNo(1), now, out);
                });
            }
            if elapsed_ms == case.sent_again {
                pair.held_back = held_back;
                pair.submit(1, 2, 0);
            }
            if Some(elapsed_ms) == case.completes {
                pair.end_run(1, Outcome::Done);
            }
            if elapsed_ms == case.first_ends {
                pair.end_run(0, Outcome::Aborted);
            }
            pair.run_ms(10);
        }
        assert_eq!(pair.starts(1), 1, "{}", case.name);
        let overlaps = pair.entries[1].counters.overlapping_runs;
        assert_eq!(overlaps, u64::from(case.is_overlap), "{}", case.name);
        let told = pair.entries[1].recent_attempts().to_string();
        let is_told = told.contains("runs_overlapped") && told.contains("entry=entry-0");
        assert_eq!(is_told, case.is_overlap, "{}: {told}", case.name);
        let others = pair.entries[0].counters.overlapping_runs;
        assert_eq!(others, 0, "{}", case.name);
    }
}

/// Guards against an alarm of an entry that reads a list late, so that the end of the earlier attempt
/// seems to come after the start of its own, which has waited for it.
#[test]
fn late_list_is_no_overlap_if_the_attempt_has_waited() {
    let mut pair = Pair::new();
    pair.submit(0, 1, 0);
    pair.run_ms(RESEND_MS);
    pair.submit(1, 2, 0);
    pair.end_run(0, Outcome::Aborted);
    assert_eq!(pair.starts(1), 1);
    pair.run_ms(300);
    let end = ListedEnd {
        job: job(),
        age_ms: 1_600,
        started_ms: 1_600,
        over_ms: 0,
    };
    let list = PeerFrame::Attempts {
        attempts: Vec::new(),
        wants_reply: false,
        number: 1_000,
        ended: vec![end],
    };
    pair.with(1, |entry, now, out| {
        entry.handle_frame(PEER, AgentFrame::Peer(list), now, out);
    });
    assert_eq!(pair.entries[1].counters.overlapping_runs, 0);
}

/// Guards against an alarm of an entry that was paused: its agent has lost it and stopped the run, and
/// another entry has started the job and stopped it as well.
#[test]
fn paused_entry_sees_no_overlap_with_later_runs() {
    let mut pair = Pair::new();
    pair.submit(1, 1, 0);
    pair.run_ms(100);
    // Nothing is handled during the pause.
    pair.now = pair.now.after_millis(3_000);
    let end = ListedEnd {
        job: job(),
        age_ms: 1_200,
        started_ms: 1_200,
        over_ms: 100,
    };
    let list = PeerFrame::Attempts {
        attempts: Vec::new(),
        wants_reply: false,
        number: 1_000,
        ended: vec![end],
    };
    pair.with(1, |entry, now, out| {
        entry.handle_frame(PEER, AgentFrame::Peer(list.clone()), now, out);
        entry.link_down(AGENT, now, out);
        entry.tick(now, out);
        entry.handle_frame(PEER, AgentFrame::Peer(list), now, out);
    });
    assert_eq!(pair.entries[1].counters.overlapping_runs, 0);
}

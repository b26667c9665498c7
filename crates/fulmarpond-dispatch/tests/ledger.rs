//! The jobs in the store under lost, late and conflicting writes.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use fulmarpond_dispatch::directory::{CommitRow, Duty, JobItem, Lane, StoreCall, StoreReply};
use fulmarpond_dispatch::entry::{Route, Submission};
use fulmarpond_dispatch::ledger::{
    Event, JobSpec, JobState, Ledger, LedgerOptions, Owner, Status, StepProgress,
};
use fulmarpond_dispatch::{JobId, Outcome, TaskEnd, TaskKey, decode, encode};

/// The lane of the first change.
const COMMIT: Duty = Duty::Commit(Lane(0));

const START: Time = Time::from_millis(10_000);

/// The store's items, with one revision for all changes.
#[derive(Default)]
struct Store {
    states: BTreeMap<JobId, (Vec<u8>, u64)>,
    revision: u64,
}

impl Store {
    fn commit(&mut self, rows: &[CommitRow]) -> StoreReply {
        let present = |job: &JobId| self.states.get(job).map_or(0, |(_, revision)| *revision);
        if rows.iter().any(|row| present(&row.job) != row.expected) {
            let items = rows.iter().filter_map(|row| self.item(&row.job));
            return StoreReply::Conflict {
                items: items.collect(),
            };
        }
        self.revision += 1;
        for row in rows {
            match &row.state {
                Some(state) => {
                    self.states
                        .insert(row.job.clone(), (state.clone(), self.revision));
                }
                None => {
                    self.states.remove(&row.job);
                }
            }
        }
        StoreReply::Committed {
            revision: self.revision,
        }
    }

    fn item(&self, job: &JobId) -> Option<JobItem> {
        let (state, revision) = self.states.get(job)?;
        Some(JobItem {
            job: job.clone(),
            state: state.clone(),
            revision: *revision,
        })
    }

    fn list(&self) -> StoreReply {
        StoreReply::JobPage {
            items: self
                .states
                .keys()
                .filter_map(|job| self.item(job))
                .collect(),
            more: false,
            at: self.revision,
        }
    }

    fn state(&self, job: &JobId) -> JobState {
        decode(&self.states[job].0).expect("a state")
    }
}

fn owner(name: &str, life: u64) -> Owner {
    Owner {
        name: name.to_owned(),
        life,
    }
}

fn ledger(name: &str, life: u64) -> Ledger {
    let options = LedgerOptions {
        owner: owner(name, life),
        writes: 400,
        keep_ms: 120_000,
        takeover_ms: 8_000,
    };
    let mut ledger = Ledger::new(options, START);
    ledger.set_entries(["one".to_owned(), "two".to_owned()], START);
    ledger
}

fn job(number: u32) -> JobId {
    JobId(format!("{number:016x}"))
}

fn spec() -> JobSpec {
    JobSpec {
        route: Route {
            name: "r".to_owned(),
            host: "desk".to_owned(),
            prefix: "/jobs/".to_owned(),
            service: "service".to_owned(),
            priority: 0,
            attempts: 3,
            stretch: 1.6,
            target_ms: 60,
            advice: None,
        },
        submission: Submission {
            spec: String::new(),
            steps: Vec::new(),
            patience: 1_000,
            kept: true,
            repeat: None,
        },
    }
}

fn open(owner: Owner) -> JobState {
    JobState {
        owner,
        status: Status::Open,
        route: "r".to_owned(),
        begun: false,
        steps: vec![StepProgress::default()],
    }
}

fn calls(ledger: &mut Ledger, now: Time) -> Vec<(Duty, StoreCall)> {
    let mut out = Vec::new();
    ledger.tick(now, &mut out);
    out.into_iter()
        .map(|(duty, call, _)| (duty, call))
        .collect()
}

/// Returns the commit that is due.
fn commit(ledger: &mut Ledger, now: Time) -> Vec<CommitRow> {
    let due = calls(ledger, now);
    let rows = due.into_iter().find_map(|(_, call)| match call {
        StoreCall::CommitJobs { rows } => Some(rows),
        _ => None,
    });
    rows.expect("a commit")
}

fn answer(ledger: &mut Ledger, duty: Duty, reply: Option<StoreReply>, now: Time) -> Vec<Event> {
    let mut events = Vec::new();
    ledger.answered(duty, reply.map(Ok), now, &mut events);
    events
}

/// Lets a ledger list what the store has.
fn load(ledger: &mut Ledger, store: &Store, now: Time) {
    calls(ledger, now);
    answer(ledger, Duty::Jobs, Some(store.list()), now);
}

/// Guards against a job that is written twice, or taken for refused, when the answer to its first
/// write is lost.
#[test]
fn lost_answer_of_a_first_write_is_found_out() {
    let mut store = Store::default();
    let mut ledger = ledger("one", 1);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    let rows = commit(&mut ledger, START);
    store.commit(&rows);
    let events = answer(&mut ledger, COMMIT, None, START);
    assert_eq!(events, [Event::MayBeKept(job(1))]);
    let later = START.after_millis(1_000);
    let rows = commit(&mut ledger, later);
    let reply = store.commit(&rows);
    assert!(matches!(reply, StoreReply::Conflict { .. }));
    let events = answer(&mut ledger, COMMIT, Some(reply), later);
    assert!(events.contains(&Event::Kept(job(1))), "{events:?}");
    assert_eq!(store.revision, 1);
}

/// Guards against an untrue refusal: only a write that surely was not made is refused.
#[test]
fn refused_first_write_is_not_sent_again() {
    let mut ledger = ledger("one", 1);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    commit(&mut ledger, START);
    let mut events = Vec::new();
    ledger.answered(COMMIT, Some(Err(503)), START, &mut events);
    assert_eq!(events, [Event::NotKept(job(1))]);
    let later = calls(&mut ledger, START.after_millis(5_000));
    assert!(!later.iter().any(|(duty, _)| *duty == COMMIT), "{later:?}");
}

/// Guards against an end that is overwritten: a change is derived from a state that another entry
/// has added an end to.
#[test]
fn ends_that_another_entry_noted_are_merged() {
    let mut store = Store::default();
    let mut ledger = ledger("one", 1);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    let rows = commit(&mut ledger, START);
    let reply = store.commit(&rows);
    answer(&mut ledger, COMMIT, Some(reply), START);

    let mut foreign = store.state(&job(1));
    foreign.steps[0].set_done(3);
    store.commit(&[CommitRow {
        job: job(1),
        expected: 1,
        spec: None,
        state: Some(encode(&foreign)),
    }]);

    let mut own = open(owner("one", 1));
    own.status = Status::Completed;
    own.steps[0].set_done(5);
    ledger.change(&job(1), own);
    let mut now = START;
    for _ in 0..3 {
        now = now.after_millis(1_000);
        if ledger.size().1 == 0 {
            break;
        }
        let rows = commit(&mut ledger, now);
        let reply = store.commit(&rows);
        answer(&mut ledger, COMMIT, Some(reply), now);
    }
    let state = store.state(&job(1));
    assert_eq!(state.status, Status::Completed);
    assert!(state.steps[0].is_done(3) && state.steps[0].is_done(5));
}

/// Guards against more entries in one call than the store takes: it would refuse them for ever.
#[test]
fn changes_stay_within_the_entries_of_a_call() {
    let mut ledger = ledger("one", 1);
    for number in 0..40 {
        ledger.keep(job(number), spec(), open(owner("one", 1)));
    }
    let rows = commit(&mut ledger, START);
    let entries: usize = rows
        .iter()
        .map(|row| 2 + usize::from(row.spec.is_some()))
        .sum();
    assert!(!rows.is_empty() && entries <= 32, "{entries} entries");
}

/// Guards against a job that is dropped because it was written while the jobs were listed.
#[test]
fn job_written_during_a_list_is_not_lost() {
    let mut store = Store::default();
    let mut ledger = ledger("one", 1);
    let before = store.list();
    calls(&mut ledger, START);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    let rows = commit(&mut ledger, START);
    let reply = store.commit(&rows);
    answer(&mut ledger, COMMIT, Some(reply), START);
    let events = answer(&mut ledger, Duty::Jobs, Some(before), START);
    assert_eq!(events, []);
    assert!(ledger.state(&job(1)).is_some());
}

/// Guards against a job that is in the store and never runs: its first write had no answer, and the
/// next attempt was refused.
#[test]
fn refused_second_attempt_does_not_undo_the_first() {
    let mut store = Store::default();
    let mut ledger = ledger("one", 1);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    store.commit(&commit(&mut ledger, START));
    answer(&mut ledger, COMMIT, None, START);
    commit(&mut ledger, START.after_millis(1_000));
    let mut events = Vec::new();
    ledger.answered(COMMIT, Some(Err(503)), START, &mut events);
    assert!(!events.contains(&Event::NotKept(job(1))), "{events:?}");
    let later = START.after_millis(3_000);
    let reply = store.commit(&commit(&mut ledger, later));
    let events = answer(&mut ledger, COMMIT, Some(reply), later);
    assert!(events.contains(&Event::Kept(job(1))), "{events:?}");
}

/// Guards against two states of one job in a call: the later one was dropped when the call met a
/// conflict, and the job stayed open for ever.
#[test]
fn change_waits_for_an_unanswered_one_of_its_job() {
    let mut ledger = ledger("one", 1);
    ledger.keep(job(1), spec(), open(owner("one", 1)));
    commit(&mut ledger, START);
    let mut ended = open(owner("one", 1));
    ended.status = Status::Completed;
    ledger.change(&job(1), ended);
    answer(&mut ledger, COMMIT, None, START);
    let rows = commit(&mut ledger, START.after_millis(1_000));
    assert_eq!(rows.len(), 1, "{rows:?}");
}

struct Takeover {
    name: &'static str,
    /// The owner of the job.
    of: (&'static str, u64),
    /// The announced entries.
    announced: &'static [&'static str],
    /// How long they have been known, in milliseconds.
    after: u64,
    taken: bool,
}

/// Guards against two entries that run one job, and against a job that none runs.
#[test]
fn jobs_are_taken_over_from_entries_that_are_gone() {
    let cases = [
        Takeover {
            name: "own earlier process",
            of: ("one", 1),
            announced: &["one"],
            after: 1_000,
            taken: true,
        },
        Takeover {
            name: "live entry",
            of: ("two", 1),
            announced: &["one", "two"],
            after: 20_000,
            taken: false,
        },
        Takeover {
            name: "entry that went away a moment ago",
            of: ("two", 1),
            announced: &["one"],
            after: 3_000,
            taken: false,
        },
        Takeover {
            name: "entry that is gone",
            of: ("two", 1),
            announced: &["one"],
            after: 20_000,
            taken: true,
        },
    ];
    for case in cases {
        let mut store = Store::default();
        let (name, life) = case.of;
        store.commit(&[CommitRow {
            job: job(1),
            expected: 0,
            spec: None,
            state: Some(encode(&open(owner(name, life)))),
        }]);
        let mut ledger = ledger("one", 2);
        ledger.set_entries(case.announced.iter().map(|name| (*name).to_owned()), START);
        load(&mut ledger, &store, START);
        calls(&mut ledger, START.after_millis(600));
        let due = calls(&mut ledger, START.after_millis(600 + case.after));
        let read = due
            .iter()
            .any(|(_, call)| matches!(call, StoreCall::ReadJob { .. }));
        let earlier = read || case.of.0 == "one";
        assert_eq!(earlier, case.taken, "{}", case.name);
    }
}

/// Guards against a job that waits until the entry which gave it away has left: that entry is still
/// announced for some seconds, and has the highest rank for half of its jobs.
#[test]
fn released_jobs_are_taken_over_at_once() {
    for number in 0..8 {
        let mut store = Store::default();
        store.commit(&[CommitRow {
            job: job(number),
            expected: 0,
            spec: None,
            state: Some(encode(&open(owner("two", 1).released()))),
        }]);
        let mut ledger = ledger("one", 2);
        load(&mut ledger, &store, START);
        let due = calls(&mut ledger, START.after_millis(600));
        let read = due
            .iter()
            .any(|(_, call)| matches!(call, StoreCall::ReadJob { .. }));
        assert!(read, "job {number}");
    }
}

/// Guards against a job that runs after it was cancelled: its cancelling came while its text was
/// being read for a takeover.
#[test]
fn job_that_is_cancelled_during_a_takeover_is_not_run() {
    let mut store = Store::default();
    store.commit(&[CommitRow {
        job: job(1),
        expected: 0,
        spec: None,
        state: Some(encode(&open(owner("two", 1).released()))),
    }]);
    let mut ledger = ledger("one", 2);
    load(&mut ledger, &store, START);
    let due = calls(&mut ledger, START.after_millis(600));
    let reads = |(_, call): &(Duty, StoreCall)| matches!(call, StoreCall::ReadJob { .. });
    assert!(due.iter().any(reads));
    ledger.cancel(&job(1));
    let reply = StoreReply::Job {
        spec: Some(encode(&spec())),
    };
    let events = answer(&mut ledger, Duty::Job, Some(reply), START.after_millis(610));
    assert_eq!(events, []);
    let rows = commit(&mut ledger, START.after_millis(700));
    store.commit(&rows);
    assert_eq!(store.state(&job(1)).status, Status::Cancelled);
}

/// Guards against a change that overwrites a newer state: its answer was lost, the state has changed
/// since, and the job is cancelled here before the change is sent again.
#[test]
fn cancelling_keeps_the_condition_of_a_change_that_is_sent_again() {
    let mut store = Store::default();
    store.commit(&[CommitRow {
        job: job(1),
        expected: 0,
        spec: None,
        state: Some(encode(&open(owner("two", 1)))),
    }]);
    let mut ledger = ledger("one", 2);
    load(&mut ledger, &store, START);
    let end = TaskEnd {
        task: TaskKey {
            job: job(1),
            step: 0,
            index: 4,
        },
        outcome: Outcome::Done,
        run: 1,
        elapsed: 0,
    };
    assert!(ledger.merge(&end));
    commit(&mut ledger, START);
    let mut newer = open(owner("two", 1));
    newer.steps[0].set_done(7);
    store.commit(&[CommitRow {
        job: job(1),
        expected: 1,
        spec: None,
        state: Some(encode(&newer)),
    }]);
    let seen = StoreReply::JobChanges {
        items: vec![store.item(&job(1)).expect("a state")],
        removed: Vec::new(),
        at: 2,
    };
    answer(&mut ledger, Duty::Jobs, Some(seen), START);
    ledger.cancel(&job(1));
    answer(&mut ledger, COMMIT, None, START);
    for round in 1..4 {
        let now = START.after_millis(round * 1_000);
        let rows = commit(&mut ledger, now);
        let reply = store.commit(&rows);
        answer(&mut ledger, COMMIT, Some(reply), now);
        if store.state(&job(1)).status == Status::Cancelled {
            break;
        }
    }
    let state = store.state(&job(1));
    assert_eq!(state.status, Status::Cancelled);
    assert!(state.steps[0].is_done(7));
}

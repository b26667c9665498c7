//! Cancellations of series at a single entry (docs/design/cancelled-series.md): which records they read and
//! write, and what becomes of occurrences whose own records are still open.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{Activity, CommitRow, JobItem, StoreCall, StoreReply};
use fulmarpond_dispatch::entry::{
    Action, Answer, Entry, EntryOptions, Repeat, RequestNo, Submission,
};
use fulmarpond_dispatch::ledger::{JobSpec, JobState, Owner, Status, StepProgress};
use fulmarpond_dispatch::{JobId, Refusal, decode, encode};

const START: Time = Time::from_millis(10_000);

/// How far time advances with each step of a test, in milliseconds.
const STEP_MS: u64 = 30;

/// The request that submits a series, and the one that cancels it.
const SUBMISSION: RequestNo = RequestNo(1);
const CANCELLATION: RequestNo = RequestNo(2);

fn route() -> Route {
    Route {
        attempts: 2,
        ..entry_setup::route()
    }
}

fn job_id() -> JobId {
    JobId("0000000000000001".to_owned())
}

fn submission(repeat: Option<Repeat>) -> Submission {
    Submission {
        spec: String::new(),
        steps: vec![entry_setup::step()],
        timeout_ms: 1_500,
        is_durable: true,
        repeat,
    }
}

/// The state of a job that another entry has stored.
fn foreign_state(status: Status) -> JobState {
    JobState {
        owner: Owner {
            name: "entry-2".to_owned(),
            incarnation: 1,
        },
        status,
        route: route().name,
        has_started: false,
        steps: vec![StepProgress::default()],
        failed_runs: Vec::new(),
    }
}

fn item(job: JobId, state: &JobState, revision: u64) -> JobItem {
    JobItem {
        job,
        state: encode(state),
        revision,
    }
}

/// An entry whose calls to the store wait for the test, but for those that list and watch the jobs.
struct Canceller {
    entry: Entry,
    calls: Vec<(Activity, StoreCall)>,
    answers: Vec<(RequestNo, Answer)>,
    now: Time,
}

impl Canceller {
    /// Returns an entry whose first list has these items.
    fn new(items: Vec<JobItem>) -> Self {
        let options = EntryOptions {
            retention_ms: 1_000,
            ..entry_setup::options()
        };
        let mut canceller = Self {
            entry: Entry::new(options, START),
            calls: Vec::new(),
            answers: Vec::new(),
            now: START,
        };
        canceller.entry.set_lease(Some(START.after_millis(60_000)));
        let configuration = Configuration::new(1, vec![route()], None);
        canceller.act(|entry, now, out| entry.configure(configuration, now, out));
        canceller.advance();
        canceller.reply(
            |call| matches!(call, StoreCall::ListJobs { .. }),
            StoreReply::JobPage {
                items,
                more: false,
                at: 100,
            },
        );
        canceller.advance();
        canceller
    }

    fn act(&mut self, act: impl FnOnce(&mut Entry, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        self.entry.set_unix_ms(self.now.as_millis());
        act(&mut self.entry, self.now, &mut out);
        self.entry.tick(self.now, &mut out);
        for action in out {
            match action {
                Action::Store { activity, call, .. } => self.calls.push((activity, call)),
                Action::Answer {
                    request, answer, ..
                } => self.answers.push((request, answer)),
                _ => {}
            }
        }
    }

    fn advance(&mut self) {
        self.now = self.now.after_millis(STEP_MS);
        self.act(|_, _, _| {});
    }

    /// Takes a call out of those that wait for their replies.
    fn take(&mut self, is_taken: impl Fn(&StoreCall) -> bool) -> (Activity, StoreCall) {
        let position = self.calls.iter().position(|(_, call)| is_taken(call));
        self.calls.remove(position.expect("a call that waits"))
    }

    fn reply(&mut self, is_taken: impl Fn(&StoreCall) -> bool, reply: StoreReply) {
        let (activity, _) = self.take(is_taken);
        self.act(|entry, now, out| {
            entry.handle_store_reply(activity, Some(Ok(reply)), now, out);
        });
    }

    /// Answers the read of the state of a job.
    fn found(&mut self, job: &JobId, state: Option<&JobState>) {
        let item = state.map(|state| item(job.clone(), state, 200));
        let is_read =
            |call: &StoreCall| matches!(call, StoreCall::ReadState { job: read } if read == job);
        self.reply(is_read, StoreReply::State(item));
        self.advance();
    }

    /// Carries out the next commit, and returns its rows.
    fn commit(&mut self, revision: u64) -> Vec<CommitRow> {
        let (activity, call) = self.take(|call| matches!(call, StoreCall::CommitJobs { .. }));
        let StoreCall::CommitJobs { rows } = call else {
            unreachable!("the call is a commit");
        };
        let reply = StoreReply::Committed { revision };
        self.act(|entry, now, out| {
            entry.handle_store_reply(activity, Some(Ok(reply)), now, out);
        });
        self.advance();
        rows
    }

    fn submit_series(&mut self) {
        let repeat = Repeat {
            count: 2,
            start_ms: self.now.as_millis(),
            interval_ms: 60_000,
        };
        let (route, submission) = (Rc::new(route()), submission(Some(repeat)));
        self.act(|entry, now, out| {
            entry.submit(SUBMISSION, job_id(), &route, submission, now, out);
        });
        self.advance();
    }

    fn cancel(&mut self) {
        self.act(|entry, now, out| entry.cancel(CANCELLATION, &job_id(), now, out));
        self.advance();
    }

    fn answer(&self) -> Option<Answer> {
        let mut answers = self.answers.iter();
        let answer = answers.find(|(request, _)| *request == CANCELLATION);
        answer.map(|(_, answer)| *answer)
    }
}

/// Returns the statuses that a commit writes, by job.
fn written(rows: &[CommitRow]) -> Vec<(JobId, Status)> {
    let states = rows.iter().filter_map(|row| {
        let state: JobState = decode(row.state.as_ref()?).expect("a readable state");
        Some((row.job.clone(), state.status))
    });
    states.collect()
}

/// Guards against a series that goes on after its cancelling was acknowledged: the entry did not know the job,
/// read its id, found the first occurrence under it and cancelled that one alone.
#[test]
fn job_that_is_looked_up_is_cancelled_with_its_series() {
    struct Stored {
        name: &'static str,
        occurrence: Option<Status>,
        series: Option<Status>,
        cancelled: Vec<JobId>,
        answer: Option<Answer>,
    }
    let (id, series) = (job_id(), job_id().series());
    let cases = [
        Stored {
            name: "a series and its first occurrence",
            occurrence: Some(Status::Open),
            series: Some(Status::Open),
            cancelled: vec![id.clone(), series.clone()],
            answer: Some(Answer::Cancelled),
        },
        Stored {
            name: "a series without an occurrence",
            occurrence: None,
            series: Some(Status::Open),
            cancelled: vec![series],
            answer: Some(Answer::Cancelled),
        },
        Stored {
            name: "a job without times",
            occurrence: Some(Status::Open),
            series: None,
            cancelled: vec![id],
            answer: Some(Answer::Cancelled),
        },
        Stored {
            name: "nothing",
            occurrence: None,
            series: None,
            cancelled: Vec::new(),
            answer: Some(Answer::Unknown),
        },
    ];
    for case in cases {
        let mut canceller = Canceller::new(Vec::new());
        canceller.cancel();
        let state = case.occurrence.map(foreign_state);
        canceller.found(&job_id(), state.as_ref());
        let state = case.series.map(foreign_state);
        canceller.found(&job_id().series(), state.as_ref());
        if !case.cancelled.is_empty() {
            let rows = canceller.commit(300);
            let expected: Vec<_> = case.cancelled.into_iter().collect();
            let cancelled = written(&rows).into_iter().map(|(job, status)| {
                assert_eq!(status, Status::Cancelled, "{}: {job}", case.name);
                job
            });
            assert_eq!(cancelled.collect::<Vec<_>>(), expected, "{}", case.name);
        }
        assert_eq!(canceller.answer(), case.answer, "{}", case.name);
    }
}

/// Guards against a series that runs though its cancelling was answered: its first write was under way, and
/// the entry found nothing in the store.
#[test]
fn series_whose_first_write_is_in_flight_is_not_unknown() {
    let mut canceller = Canceller::new(Vec::new());
    canceller.submit_series();
    canceller.cancel();
    let refused = canceller.answer();
    assert!(
        matches!(refused, Some(Answer::NotRun { reason, .. }) if reason == Refusal::NoStore),
        "{refused:?}"
    );
}

/// Guards against an occurrence that starts after the cancelling of its series was acknowledged: its first
/// write was under way, so no entry had it in its cache.
#[test]
fn occurrence_whose_first_write_is_in_flight_ends_with_its_series() {
    let mut canceller = Canceller::new(Vec::new());
    canceller.submit_series();
    canceller.commit(200);
    canceller.advance();
    let is_commit = |call: &StoreCall| matches!(call, StoreCall::CommitJobs { .. });
    let (activity, _) = canceller.take(is_commit);
    canceller.cancel();
    let rows = canceller.commit(300);
    assert_eq!(
        written(&rows),
        [(job_id().series(), Status::Cancelled)],
        "the series is cancelled on its own"
    );
    assert_eq!(canceller.answer(), Some(Answer::Cancelled));
    let stored = StoreReply::Committed { revision: 400 };
    canceller.act(|entry, now, out| {
        entry.handle_store_reply(activity, Some(Ok(stored)), now, out);
    });
    canceller.advance();
    let rows = canceller.commit(500);
    assert_eq!(written(&rows), [(job_id(), Status::Cancelled)]);
}

/// Guards against an occurrence that begins again under its next owner: its own record was still open when the
/// entry that had acknowledged the cancelling of its series was lost.
#[test]
fn open_occurrence_of_a_cancelled_series_is_not_taken_over() {
    let released = |status| JobState {
        owner: Owner {
            name: "entry-2".to_owned(),
            incarnation: 0,
        },
        ..foreign_state(status)
    };
    let mut canceller = Canceller::new(vec![
        item(job_id(), &released(Status::Open), 90),
        item(job_id().series(), &foreign_state(Status::Cancelled), 91),
    ]);
    let entries = [("entry-1", 1), ("entry-2", 2)];
    let entries = entries.map(
        |(name, host)| fulmarpond_dispatch::directory::AnnouncedEntry {
            name: name.to_owned(),
            addr: ([10, 0, 0, host], 7_000).into(),
        },
    );
    canceller.act(|entry, now, out| entry.set_entries(&entries, now, out));
    (0..30).for_each(|_| canceller.advance());
    let spec = JobSpec {
        route: route(),
        submission: submission(None),
    };
    canceller.reply(
        |call| matches!(call, StoreCall::ReadJob { .. }),
        StoreReply::Job {
            spec: Some(encode(&spec)),
        },
    );
    canceller.advance();
    let rows = canceller.commit(300);
    assert_eq!(written(&rows), [(job_id(), Status::Cancelled)]);
}

/// Guards against an occurrence that runs after all once the record of its cancelled series is removed.
#[test]
fn cancelled_series_is_kept_as_long_as_an_occurrence_is_open() {
    for occurrence in [Status::Open, Status::Cancelled] {
        let own = |status| JobState {
            owner: Owner {
                name: "entry-1".to_owned(),
                incarnation: 0,
            },
            ..foreign_state(status)
        };
        let mut canceller = Canceller::new(vec![
            item(job_id(), &foreign_state(occurrence), 90),
            item(job_id().series(), &own(Status::Cancelled), 91),
        ]);
        (0..100).for_each(|_| canceller.advance());
        let commits = canceller.calls.iter().filter_map(|(_, call)| match call {
            StoreCall::CommitJobs { rows } => Some(rows),
            _ => None,
        });
        let is_removed = commits
            .flatten()
            .any(|row| row.job == job_id().series() && row.state.is_none());
        assert_eq!(is_removed, occurrence != Status::Open, "{occurrence:?}");
    }
}

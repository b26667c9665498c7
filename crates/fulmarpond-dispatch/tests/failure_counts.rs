//! What a single entry takes for a failure of a job (docs/design/ways-to-failed.md): ends of runs, stored
//! states and its memory of answers.

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{Activity, CommitRow, JobItem, StoreCall, StoreReply};
use fulmarpond_dispatch::entry::{
    Action, Answer, Entry, JobStatus, Repeat, RequestNo, Step, Submission,
};
use fulmarpond_dispatch::ledger::{JobState, Status};
use fulmarpond_dispatch::{
    AgentFrame, EndpointCrash, EndpointId, EndpointStatus, EntryFrame, JobId, LinkNo, LostRun,
    Outcome, Resources, TaskEnd, TaskKey, decode, encode,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);
const OTHER_LINK: LinkNo = LinkNo(2);
const CAPACITY: Resources = Resources {
    cpu: 8_000,
    memory: 1_000,
    accelerators: 0,
};

/// How far time advances with each step of a test, in milliseconds.
const STEP_MS: u64 = 30;

fn route() -> Route {
    Route {
        attempts: 2,
        ..entry_setup::route()
    }
}

fn job_id() -> JobId {
    JobId("0000000000000001".to_owned())
}

fn entry() -> Entry {
    let options = entry_setup::options();
    let mut entry = Entry::new(options, START);
    let configuration = Configuration::new(1, vec![route()], None);
    entry.configure(configuration, START, &mut Vec::new());
    entry
}

fn step(count: u16, gang: bool) -> Step {
    Step {
        count,
        gang,
        ..entry_setup::step()
    }
}

/// An entry that keeps jobs, beside a store that carries out its writes at once.
struct Keeper {
    entry: Entry,
    revision: u64,
    /// The last state that was written of each job, oldest write first.
    written: Vec<(JobId, JobState)>,
    now: Time,
}

impl Keeper {
    fn new() -> Self {
        let mut keeper = Self {
            entry: entry(),
            revision: 1,
            written: Vec::new(),
            now: START,
        };
        keeper.entry.set_lease(Some(START.after_millis(60_000)));
        for _ in 0..6 {
            keeper.advance();
        }
        keeper
    }

    /// Lets time pass, and carries out the calls to the store.
    fn advance(&mut self) {
        self.now = self.now.after_millis(STEP_MS);
        let mut out = Vec::new();
        self.entry.set_unix_ms(self.now.as_millis());
        self.entry.tick(self.now, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Store { activity, call, .. } = action else {
                continue;
            };
            let reply = match call {
                StoreCall::ListJobs { .. } => StoreReply::JobPage {
                    items: Vec::new(),
                    more: false,
                    at: self.revision,
                },
                StoreCall::CommitJobs { rows } => self.commit(&rows),
                // A watch is answered when there is a change.
                _ => continue,
            };
            let mut out = Vec::new();
            let entry = &mut self.entry;
            entry.handle_store_reply(activity, Some(Ok(reply)), self.now, &mut out);
            self.carry_out(out);
        }
    }

    fn commit(&mut self, rows: &[CommitRow]) -> StoreReply {
        self.revision += 1;
        for row in rows {
            if let Some(state) = &row.state {
                let state = decode(state).expect("a state");
                self.written.push((row.job.clone(), state));
            }
        }
        StoreReply::Committed {
            revision: self.revision,
        }
    }

    fn state(&self, job: &JobId) -> Option<&JobState> {
        let mut written = self.written.iter().rev();
        written
            .find(|(written, _)| written == job)
            .map(|(_, state)| state)
    }

    fn submit(&mut self, submission: Submission) {
        let mut out = Vec::new();
        let route = Rc::new(route());
        let entry = &mut self.entry;
        entry.submit(
            RequestNo(1),
            job_id(),
            &route,
            submission,
            self.now,
            &mut out,
        );
        self.carry_out(out);
    }

    /// Lets the entry see that another one has written the status of a job.
    fn observe(&mut self, job: &JobId, status: Status) {
        let mut state = self.state(job).expect("a state").clone();
        state.status = status;
        self.revision += 1;
        let changes = StoreReply::JobChanges {
            items: vec![JobItem {
                job: job.clone(),
                state: encode(&state),
                revision: self.revision,
            }],
            removed: Vec::new(),
            at: self.revision,
        };
        let mut out = Vec::new();
        let entry = &mut self.entry;
        entry.handle_store_reply(Activity::Jobs, Some(Ok(changes)), self.now, &mut out);
        self.carry_out(out);
    }
}

struct Occurrences {
    name: &'static str,
    /// How the occurrences are seen to have ended; `Open` is one that is not seen to.
    seen: [Status; 2],
    /// The status that the series is shown with.
    shown: JobStatus,
    /// The status of the second occurrence in the store.
    stored: Option<Status>,
}

/// Guards against a series that is shown as failed since an occurrence was cancelled: the cancelling of
/// a series is written for each of its occurrences, and may be seen for one of them first.
#[test]
fn series_fails_only_with_a_failed_occurrence() {
    let cases = [
        Occurrences {
            name: "both are completed",
            seen: [Status::Completed, Status::Completed],
            shown: JobStatus::Completed,
            stored: None,
        },
        Occurrences {
            name: "one has failed",
            seen: [Status::Failed, Status::Completed],
            shown: JobStatus::Failed,
            stored: None,
        },
        Occurrences {
            name: "both are cancelled",
            seen: [Status::Cancelled, Status::Cancelled],
            shown: JobStatus::Cancelled,
            stored: None,
        },
        Occurrences {
            name: "one is cancelled, and the other one goes on",
            seen: [Status::Cancelled, Status::Open],
            shown: JobStatus::Cancelled,
            stored: Some(Status::Cancelled),
        },
    ];
    for case in cases {
        let mut keeper = Keeper::new();
        keeper.submit(Submission {
            spec: String::new(),
            steps: vec![step(1, false)],
            timeout_ms: 1_500,
            is_durable: true,
            repeat: Some(Repeat {
                count: 2,
                start_ms: keeper.now.as_millis(),
                interval_ms: 1,
            }),
        });
        (0..3).for_each(|_| keeper.advance());
        for (number, status) in (0..).zip(case.seen) {
            if status != Status::Open {
                keeper.observe(&job_id().occurrence(number), status);
            }
        }
        (0..3).for_each(|_| keeper.advance());
        let shown = keeper.entry.status_of(&job_id(), keeper.now);
        assert_eq!(shown, case.shown, "{}", case.name);
        if let Some(stored) = case.stored {
            let state = keeper.state(&job_id().occurrence(1));
            assert_eq!(
                state.map(|state| state.status),
                Some(stored),
                "{}",
                case.name
            );
        }
    }
}

/// An entry with an agent whose endpoint is idle, and a job that its caller waits for.
struct Waiting {
    entry: Entry,
    /// The orders that were sent.
    orders: u64,
    answers: Vec<(RequestNo, Answer)>,
    now: Time,
}

impl Waiting {
    fn new(tasks: u16, gang: bool) -> Self {
        let mut waiting = Self {
            entry: entry(),
            orders: 0,
            answers: Vec::new(),
            now: START,
        };
        let hello = AgentFrame::Hello {
            name: "agent-1".to_owned(),
            zone: "Saga".to_owned(),
            version: 1,
        };
        let endpoint = AgentFrame::Endpoint {
            id: EndpointId("e-1".to_owned()),
            born: 0,
            service: "service".to_owned(),
            capacity: CAPACITY,
            labels: Vec::new(),
        };
        waiting.receive(LINK, hello);
        waiting.receive(LINK, endpoint);
        waiting.report_idle();
        waiting.submit(1, tasks, gang);
        waiting
    }

    fn submit(&mut self, request: u64, tasks: u16, gang: bool) {
        let submission = Submission {
            spec: String::new(),
            steps: vec![step(tasks, gang)],
            timeout_ms: 1_500,
            is_durable: false,
            repeat: None,
        };
        let mut out = Vec::new();
        let (entry, route) = (&mut self.entry, Rc::new(route()));
        let request = RequestNo(request);
        entry.submit(request, job_id(), &route, submission, self.now, &mut out);
        self.record(out);
    }

    fn receive(&mut self, link: LinkNo, frame: AgentFrame) {
        let mut out = Vec::new();
        self.entry.handle_frame(link, frame, self.now, &mut out);
        self.record(out);
    }

    fn record(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    frame: EntryFrame::Start(_),
                    ..
                } => self.orders += 1,
                Action::Answer {
                    request, answer, ..
                } => self.answers.push((request, answer)),
                _ => {}
            }
        }
    }

    /// The agent has carried out all orders, and its endpoint is idle.
    fn report_idle(&mut self) {
        let status = AgentFrame::Status {
            sent: 0,
            orders: self.orders,
            load: EndpointStatus {
                ready: true,
                free: CAPACITY,
                slowness: 100,
                ..EndpointStatus::default()
            },
        };
        self.receive(LINK, status);
    }

    fn crash(&mut self, crash: Crash) {
        let run = LostRun {
            task: task(crash.index),
            run: 1,
            route: route().name,
            age_ms: 10,
            is_certain: crash.is_certain,
            is_likely: crash.is_likely,
            is_watched: false,
        };
        let crash = EndpointCrash {
            endpoint: EndpointId(crash.endpoint.to_owned()),
            born: 0,
            service: route().service,
            ago_ms: 0,
            silent_ms: 0,
            runs: vec![run],
        };
        self.receive(LINK, AgentFrame::Crashed(crash));
    }

    fn end(&mut self, link: LinkNo, (index, run, outcome): End) {
        let end = TaskEnd {
            task: task(index),
            outcome,
            run,
            elapsed: 0,
        };
        self.receive(link, AgentFrame::Ended(vec![end]));
        self.report_idle();
    }
}

fn task(index: u16) -> TaskKey {
    TaskKey {
        job: job_id(),
        step: 0,
        index,
    }
}

/// The end of a run: the index of its task, its number and its outcome.
type End = (u16, u32, Outcome);

struct Attempts {
    name: &'static str,
    ends: &'static [End],
    has_failed: bool,
}

/// Guards against a gang that is given up after one attempt of two: its members had different run
/// numbers, since some of their agents knew runs for another entry, and each failure counted.
#[test]
fn failures_in_one_attempt_of_a_gang_count_once() {
    use Outcome::{Aborted, Failed};
    let cases = [
        Attempts {
            name: "one attempt, one run number",
            ends: &[(0, 257, Failed), (1, 257, Failed)],
            has_failed: false,
        },
        Attempts {
            name: "one attempt, two run numbers",
            ends: &[(0, 257, Failed), (1, 258, Failed)],
            has_failed: false,
        },
        Attempts {
            name: "two attempts",
            ends: &[(0, 257, Failed), (1, 257, Aborted), (1, 513, Failed)],
            has_failed: true,
        },
    ];
    for case in cases {
        let mut waiting = Waiting::new(2, true);
        for &end in case.ends {
            waiting.end(LINK, end);
        }
        let answers = [(RequestNo(1), Answer::Failed)];
        let expected = &answers[..usize::from(case.has_failed)];
        assert_eq!(waiting.answers, expected, "{}", case.name);
    }
}

/// Guards against a job that is shown as failed after fewer failed runs of one task than its route allows:
/// each other end, and one that is seen again, counted as an attempt.
#[test]
fn only_failed_runs_of_one_task_use_up_its_attempts() {
    use Outcome::{Aborted, Done, Failed, NoRoom, NoTicket, Unavailable};
    let cases = [
        Attempts {
            name: "stopped, lapsed or lost runs",
            ends: &[(0, 1, Aborted), (0, 2, Aborted), (0, 3, Aborted)],
            has_failed: false,
        },
        Attempts {
            name: "starts that were refused",
            ends: &[(0, 1, NoRoom), (0, 2, NoTicket), (0, 3, Unavailable)],
            has_failed: false,
        },
        Attempts {
            name: "a failed run and others",
            ends: &[(0, 1, Failed), (0, 2, Aborted), (0, 3, Unavailable)],
            has_failed: false,
        },
        Attempts {
            name: "one failed run, reported twice",
            ends: &[(0, 1, Failed), (0, 1, Failed)],
            has_failed: false,
        },
        Attempts {
            name: "one failed run of each of two tasks",
            ends: &[(0, 1, Failed), (1, 1, Failed)],
            has_failed: false,
        },
        Attempts {
            name: "a failed run of a task that was done",
            ends: &[(0, 1, Failed), (0, 2, Done), (0, 3, Failed)],
            has_failed: false,
        },
        Attempts {
            name: "two failed runs of one task",
            ends: &[(0, 1, Failed), (0, 2, Failed)],
            has_failed: true,
        },
    ];
    for case in cases {
        let mut waiting = Waiting::new(2, false);
        for &end in case.ends {
            waiting.end(LINK, end);
            // An agent that does not run the task says nothing of it.
            waiting.end(OTHER_LINK, (0, 9, Failed));
        }
        let answers = [(RequestNo(1), Answer::Failed)];
        let expected = &answers[..usize::from(case.has_failed)];
        assert_eq!(waiting.answers, expected, "{}", case.name);
    }
}

/// A crash of an endpoint under a run.
#[derive(Clone, Copy)]
struct Crash {
    endpoint: &'static str,
    /// The index of the task.
    index: u16,
    is_certain: bool,
    is_likely: bool,
}

struct Losses<'a> {
    name: &'static str,
    crashes: &'a [Crash],
    has_failed: bool,
}

const SURE: Crash = Crash {
    endpoint: "e-1",
    index: 0,
    is_certain: true,
    is_likely: true,
};

/// Guards against a job that is given up though too little says that two endpoints have crashed under one
/// of its tasks, against one that goes on crashing endpoints, and against a second request for it that is
/// answered otherwise than the first one.
#[test]
fn only_enough_crashes_under_one_task_give_a_job_up() {
    let second = Crash {
        endpoint: "e-2",
        ..SURE
    };
    let second_task = Crash { index: 1, ..second };
    let doubtful = Crash {
        is_certain: false,
        is_likely: false,
        ..SURE
    };
    let second_doubtful = Crash {
        is_certain: false,
        is_likely: false,
        ..second
    };
    let third_doubtful = Crash {
        endpoint: "e-3",
        ..doubtful
    };
    let [likely, second_likely, third_likely, fourth_likely] =
        ["e-1", "e-2", "e-3", "e-4"].map(|endpoint| Crash {
            endpoint,
            is_certain: false,
            ..SURE
        });
    let fourth = Crash {
        endpoint: "e-4",
        ..SURE
    };
    let cases = [
        Losses {
            name: "one crash",
            crashes: &[SURE],
            has_failed: false,
        },
        Losses {
            name: "one crash, reported three times",
            crashes: &[SURE, SURE, SURE],
            has_failed: false,
        },
        Losses {
            name: "a crash under each of two tasks",
            crashes: &[SURE, second_task],
            has_failed: false,
        },
        Losses {
            name: "doubtful crashes",
            crashes: &[doubtful, second_doubtful, third_doubtful],
            has_failed: false,
        },
        Losses {
            name: "a doubtful crash and a sure one",
            crashes: &[doubtful, second],
            has_failed: false,
        },
        Losses {
            name: "two likely crashes",
            crashes: &[likely, second_likely],
            has_failed: false,
        },
        Losses {
            name: "a sure crash and a likely one",
            crashes: &[SURE, second_likely],
            has_failed: false,
        },
        Losses {
            name: "a likely crash and two doubtful ones",
            crashes: &[likely, second_doubtful, third_doubtful],
            has_failed: false,
        },
        Losses {
            name: "three likely crashes",
            crashes: &[likely, second_likely, third_likely],
            has_failed: true,
        },
        Losses {
            name: "a doubtful crash and two likely ones",
            crashes: &[doubtful, second_likely, third_likely],
            has_failed: true,
        },
        Losses {
            name: "three doubtful crashes and a sure one",
            crashes: &[doubtful, second_doubtful, third_doubtful, fourth],
            has_failed: true,
        },
        Losses {
            name: "three doubtful crashes and a likely one",
            crashes: &[doubtful, second_doubtful, third_doubtful, fourth_likely],
            has_failed: true,
        },
        Losses {
            name: "two sure crashes",
            crashes: &[SURE, second],
            has_failed: true,
        },
    ];
    for case in cases {
        let mut waiting = Waiting::new(2, false);
        for crash in case.crashes {
            waiting.now = waiting.now.after_millis(STEP_MS);
            waiting.crash(*crash);
            waiting.end(LINK, (crash.index, 1, Outcome::Aborted));
        }
        waiting.submit(2, 2, false);
        let answers = [
            (RequestNo(1), Answer::Failed),
            (RequestNo(2), Answer::Failed),
        ];
        let expected = if case.has_failed { &answers[..] } else { &[] };
        assert_eq!(waiting.answers, expected, "{}", case.name);
    }
}

struct Repeated {
    name: &'static str,
    ends: &'static [End],
    /// The answer to both requests.
    answer: Option<Answer>,
}

/// Guards against a repeated request that is answered as failed though its job was not: the answer is
/// remembered by the id alone.
#[test]
fn repeated_request_is_answered_like_the_first_one() {
    use Outcome::{Done, Failed};
    let cases = [
        Repeated {
            name: "completed",
            ends: &[(0, 1, Failed), (0, 2, Done)],
            answer: Some(Answer::Completed),
        },
        Repeated {
            name: "failed",
            ends: &[(0, 1, Failed), (0, 2, Failed)],
            answer: Some(Answer::Failed),
        },
        Repeated {
            name: "in progress",
            ends: &[(0, 1, Failed)],
            answer: None,
        },
    ];
    for case in cases {
        let mut waiting = Waiting::new(1, false);
        for &end in case.ends {
            waiting.end(LINK, end);
        }
        waiting.submit(2, 1, false);
        let requests = [RequestNo(1), RequestNo(2)].into_iter();
        let expected: Vec<_> = requests
            .filter_map(|request| Some((request, case.answer?)))
            .collect();
        assert_eq!(waiting.answers, expected, "{}", case.name);
    }
}

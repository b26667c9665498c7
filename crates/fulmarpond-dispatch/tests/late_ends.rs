//! Ends of runs that an entry hears of late, and what it concludes from them about the present run of
//! the task (docs/design/when-a-run-is-over.md, section 6).

mod entry_setup;

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{StoreCall, StoreReply};
use fulmarpond_dispatch::entry::{Action, Entry, RequestNo, Step, Submission};
use fulmarpond_dispatch::ledger::{JobState, Status};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointStatus, EntryFrame, JobId, LinkNo, Outcome, Resources, TaskEnd,
    TaskKey, TaskRun, decode,
};

const START: Time = Time::from_millis(10_000);
const CAPACITY: Resources = Resources {
    cpu: 8_000,
    memory: 1_000,
    accelerators: 0,
};

/// The link to the agent that has run the task first.
const FIRST: LinkNo = LinkNo(1);

/// The link to another agent.
const OTHER: LinkNo = LinkNo(2);

/// A link that the first agent opens after it has lost its link.
const FIRST_AGAIN: LinkNo = LinkNo(3);

/// How far time advances with each step of a test, in milliseconds.
const STEP_MS: u64 = 30;

fn route() -> Route {
    Route {
        attempts: 2,
        ..entry_setup::route()
    }
}

fn task() -> TaskKey {
    TaskKey {
        job: JobId("0000000000000001".to_owned()),
        step: 0,
        index: 0,
    }
}

/// An entry with a durable job of one task, beside a store that carries out its writes at once.
struct Owner {
    entry: Entry,
    revision: u64,
    /// The last state that was written.
    written: Option<JobState>,
    /// The link of each order that was sent, oldest first.
    orders: Vec<LinkNo>,
    /// The last run that each of these orders names.
    named_runs: Vec<u32>,
    /// The links over which the task was stopped.
    stops: Vec<LinkNo>,
    acknowledged: Vec<TaskRun>,
    now: Time,
}

impl Owner {
    fn new() -> Self {
        let options = entry_setup::options();
        let mut owner = Self {
            entry: Entry::new(options, START),
            revision: 1,
            written: None,
            orders: Vec::new(),
            named_runs: Vec::new(),
            stops: Vec::new(),
            acknowledged: Vec::new(),
            now: START,
        };
        let configuration = Configuration::new(1, vec![route()], None);
        owner.act(|entry, now, out| entry.configure(configuration, now, out));
        owner.entry.set_lease(Some(START.after_millis(60_000)));
        owner.wait_ms(10 * STEP_MS);
        owner.connect(FIRST);
        owner.submit();
        owner.wait_ms(10 * STEP_MS);
        owner
    }

    fn act(&mut self, act: impl FnOnce(&mut Entry, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.entry, self.now, &mut out);
        self.entry.tick(self.now, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { activity, call, .. } => {
                    let Some(reply) = self.call_store(&call) else {
                        continue;
                    };
                    let mut out = Vec::new();
                    let entry = &mut self.entry;
                    entry.handle_store_reply(activity, Some(Ok(reply)), self.now, &mut out);
                    self.carry_out(out);
                }
                Action::Send { link, frame } => self.record(link, frame),
                _ => {}
            }
        }
    }

    /// Returns the reply of the store, if it answers at once.
    fn call_store(&mut self, call: &StoreCall) -> Option<StoreReply> {
        match call {
            StoreCall::ListJobs { .. } => Some(StoreReply::JobPage {
                items: Vec::new(),
                more: false,
                at: self.revision,
            }),
            StoreCall::CommitJobs { rows } => {
                self.revision += 1;
                let state = rows[0].state.as_ref().expect("a state");
                self.written = Some(decode(state).expect("a readable state"));
                Some(StoreReply::Committed {
                    revision: self.revision,
                })
            }
            // A watch is answered when there is a change.
            _ => None,
        }
    }

    fn record(&mut self, link: LinkNo, frame: EntryFrame) {
        match frame {
            EntryFrame::Start(order) => {
                self.orders.push(link);
                let runs = order.last_runs.first();
                self.named_runs.push(runs.map_or(0, |(_, run)| *run));
                self.report_idle(link);
            }
            EntryFrame::Stop { .. } => self.stops.push(link),
            EntryFrame::Acknowledge(runs) => self.acknowledged.extend(runs),
            _ => {}
        }
    }

    fn wait_ms(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now = self.now.after_millis(STEP_MS);
            for link in [FIRST, OTHER, FIRST_AGAIN] {
                self.report_idle(link);
            }
            self.act(|_, _, _| {});
        }
    }

    fn receive(&mut self, link: LinkNo, frame: AgentFrame) {
        self.act(|entry, now, out| entry.handle_frame(link, frame, now, out));
    }

    fn connect(&mut self, link: LinkNo) {
        let agent = if link == OTHER { "agent-2" } else { "agent-1" };
        self.receive(
            link,
            AgentFrame::Hello {
                name: agent.to_owned(),
                zone: "Saga".to_owned(),
                version: 1,
            },
        );
        self.receive(
            link,
            AgentFrame::Endpoint {
                id: EndpointId(format!("e-{agent}")),
                born: 0,
                service: "service".to_owned(),
                capacity: CAPACITY,
                labels: Vec::new(),
            },
        );
        self.report_idle(link);
    }

    /// The agent has received all orders, and its endpoint has room.
    fn report_idle(&mut self, link: LinkNo) {
        let orders = self.orders.iter().filter(|to| **to == link).count() as u64;
        let load = EndpointStatus {
            ready: true,
            free: CAPACITY,
            slowness: 100,
            ..EndpointStatus::default()
        };
        let status = AgentFrame::Status {
            sent: 0,
            orders,
            load,
        };
        self.receive(link, status);
    }

    fn submit(&mut self) {
        let step = Step {
            estimate: 1_500,
            ..entry_setup::step()
        };
        let submission = Submission {
            spec: String::new(),
            steps: vec![step],
            timeout_ms: 1_500,
            is_durable: true,
            repeat: None,
        };
        let route = Rc::new(route());
        self.act(|entry, now, out| {
            entry.submit(RequestNo(1), task().job, &route, submission, now, out);
        });
    }

    fn end(run: u32, outcome: Outcome) -> TaskEnd {
        TaskEnd {
            task: task(),
            outcome,
            run,
            elapsed: 0,
        }
    }

    /// The agent reports the end of the run that it was ordered to start.
    fn report_end(&mut self, link: LinkNo, run: u32, outcome: Outcome) {
        self.receive(link, AgentFrame::Ended(vec![Self::end(run, outcome)]));
    }

    /// An agent holds an end that no entry has acknowledged.
    fn report_unacknowledged(&mut self, link: LinkNo, run: u32, outcome: Outcome) {
        let ends = vec![Self::end(run, outcome)];
        self.receive(link, AgentFrame::UnacknowledgedEnds(ends));
    }
}

/// What an entry has done about a late end.
#[derive(Debug, PartialEq, Eq)]
struct Effects {
    /// The number of further orders.
    orders: usize,
    /// The links over which the task was stopped.
    stops: Vec<LinkNo>,
    /// The failures in the store.
    failures: u32,
    /// The status in the store.
    status: Status,
    is_acknowledged: bool,
}

struct LateEnd {
    name: &'static str,
    /// Where the task runs now, as run 2; run 1 was at the first agent and was reported as aborted.
    present: LinkNo,
    /// Whether the link of the present run is lost.
    is_lost: bool,
    reported_by: LinkNo,
    run: u32,
    outcome: Outcome,
    effects: Effects,
}

impl LateEnd {
    fn effects(&self) -> Effects {
        let mut owner = Owner::new();
        assert_eq!(owner.orders, [FIRST], "{}", self.name);
        if self.present == OTHER {
            owner.connect(OTHER);
        }
        owner.report_end(FIRST, 1, Outcome::Aborted);
        assert_eq!(owner.orders, [FIRST, self.present], "{}", self.name);
        assert_eq!(owner.named_runs, [0, 1], "{}", self.name);
        if self.is_lost {
            let present = self.present;
            owner.act(|entry, now, out| entry.link_down(present, now, out));
        }
        if self.reported_by == FIRST_AGAIN {
            owner.connect(FIRST_AGAIN);
        }
        owner.report_unacknowledged(self.reported_by, self.run, self.outcome);
        owner.wait_ms(5 * STEP_MS);
        let state = owner.written.as_ref().expect("a stored state");
        Effects {
            orders: owner.orders.len() - 2,
            stops: owner.stops.clone(),
            failures: state.steps[0].failures(0),
            status: state.status,
            is_acknowledged: !owner.acknowledged.is_empty(),
        }
    }
}

/// Guards against a task that runs twice at a time: an entry took any end of the task from the agent that it
/// was sent to for the end of the present run, whichever run it was, and placed the task once more. Guards
/// also against an end of an earlier run that is passed over, and against a run that goes on beside it.
#[test]
fn late_end_tells_of_its_own_run_only() {
    use Outcome::{Done, Failed};
    let counted = || Effects {
        orders: 0,
        stops: Vec::new(),
        failures: 1,
        status: Status::Open,
        is_acknowledged: true,
    };
    let completed = |stops: &[LinkNo]| Effects {
        stops: stops.to_vec(),
        failures: 0,
        status: Status::Completed,
        ..counted()
    };
    let failed = LateEnd {
        name: "earlier run has failed, the present one is at the same agent",
        present: FIRST,
        is_lost: false,
        reported_by: FIRST,
        run: 1,
        outcome: Failed,
        effects: counted(),
    };
    let cases = [
        LateEnd {
            name: "earlier run has failed, the present one is at another agent",
            present: OTHER,
            effects: counted(),
            ..failed
        },
        LateEnd {
            name: "earlier run has failed, the agent of the present one is lost",
            present: OTHER,
            is_lost: true,
            effects: counted(),
            ..failed
        },
        LateEnd {
            name: "earlier run has failed, its agent has lost its link and is back",
            is_lost: true,
            reported_by: FIRST_AGAIN,
            effects: counted(),
            ..failed
        },
        LateEnd {
            name: "a run of the same number as the present one has failed elsewhere",
            present: OTHER,
            run: 2,
            effects: counted(),
            ..failed
        },
        LateEnd {
            name: "the present run has failed",
            run: 2,
            effects: Effects {
                orders: 1,
                ..counted()
            },
            ..failed
        },
        LateEnd {
            name: "earlier run was done, the present one is at the same agent",
            outcome: Done,
            effects: completed(&[FIRST]),
            ..failed
        },
        LateEnd {
            name: "earlier run was done, the present one is at another agent",
            present: OTHER,
            outcome: Done,
            effects: completed(&[OTHER]),
            ..failed
        },
        LateEnd {
            name: "earlier run was done, the agent of the present one is lost",
            present: OTHER,
            is_lost: true,
            outcome: Done,
            effects: completed(&[]),
            ..failed
        },
        LateEnd {
            name: "the present run was done",
            run: 2,
            outcome: Done,
            effects: completed(&[]),
            ..failed
        },
        failed,
    ];
    let unexpected: Vec<String> = cases
        .iter()
        .map(|case| (case, case.effects()))
        .filter(|(case, effects)| *effects != case.effects)
        .map(|(case, effects)| format!("{}: {effects:?}", case.name))
        .collect();
    assert_eq!(unexpected, Vec::<String>::new());
}

/// Guards against a start after as many failed runs as the route allows: the failure of an earlier run
/// wasn't counted while a later one was under way.
#[test]
fn last_failure_of_earlier_runs_ends_the_job() {
    let mut owner = Owner::new();
    owner.report_end(FIRST, 1, Outcome::Aborted);
    owner.report_end(FIRST, 2, Outcome::Aborted);
    owner.report_unacknowledged(FIRST, 1, Outcome::Failed);
    owner.report_unacknowledged(FIRST, 2, Outcome::Failed);
    owner.wait_ms(5 * STEP_MS);
    assert_eq!(owner.orders, [FIRST; 3]);
    assert_eq!(owner.stops, [FIRST]);
    let state = owner.written.expect("a stored state");
    assert_eq!(state.status, Status::Failed);
}

/// Guards against two runs of one number, of which one failure would not be counted: an agent that
/// refused a task because it knew an earlier run of it did not name that run.
#[test]
fn next_run_has_another_number_than_a_refused_one() {
    let mut owner = Owner::new();
    owner.connect(OTHER);
    owner.report_end(FIRST, 7, Outcome::Unavailable);
    assert_eq!(owner.orders, [FIRST, OTHER]);
    assert_eq!(owner.named_runs, [0, 7]);
}

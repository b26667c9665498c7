//! The ways in which a job gets to `failed` (docs/design/ways-to-failed.md): what an agent reports of runs
//! that have not failed or were not at a crashed endpoint, and what an entry counts.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndpointCall, EndpointReply, RunEntry,
    StartRefusal,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo, LostRun, Order,
    Outcome, Registration, Resources, TaskEnd, TaskKey,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);
const CAPACITY: Resources = Resources {
    cpu: 8_000,
    memory: 1_000,
    accelerators: 0,
};
const NEEDS: Resources = Resources {
    cpu: 1_000,
    memory: 1,
    accelerators: 0,
};

/// When the first and the next incarnation of the endpoint were started.
const BORN: u64 = 100;
const NEXT_BORN: u64 = 200;

fn lease_times() -> LeaseTimes {
    LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times")
}

fn job_id() -> JobId {
    JobId("0000000000000001".to_owned())
}

fn task(index: u16) -> TaskKey {
    TaskKey {
        job: job_id(),
        step: 0,
        index,
    }
}

/// An agent with an idle endpoint that has replied at [`START`].
struct Host {
    agent: Agent,
    calls: Vec<(CallNo, EndpointCall)>,
    /// The runs in each crash that was reported.
    crashes: Vec<Vec<LostRun>>,
    ends: Vec<TaskEnd>,
    now: Time,
}

impl Host {
    fn new() -> Self {
        let options = AgentOptions {
            name: "side-1".to_owned(),
            zone: "Saga".to_owned(),
            seeds: Vec::new(),
            lease_times: lease_times(),
            heartbeat_interval_ms: 1_500,
            fence: 1,
        };
        let mut host = Self {
            agent: Agent::new(options, START),
            calls: Vec::new(),
            crashes: Vec::new(),
            ends: Vec::new(),
            now: START,
        };
        host.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(registration(), now, out);
            handled.expect("a consistent heartbeat");
        });
        host.reply_to_hold(BORN, &[]);
        host.act(|agent, now, out| agent.link_up(LINK, now, out));
        host
    }

    fn act(&mut self, act: impl FnOnce(&mut Agent, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.agent, self.now, &mut out);
        for action in out {
            match action {
                Action::Call { number, call, .. } => self.calls.push((number, call)),
                Action::Send {
                    frame: AgentFrame::Crashed(crash),
                    ..
                } => self.crashes.push(crash.runs),
                Action::Send {
                    frame: AgentFrame::Ended(ends),
                    ..
                } => self.ends.extend(ends),
                _ => {}
            }
        }
    }

    fn wait_ms(&mut self, ms: u64) {
        self.now = self.now.after_millis(ms);
    }

    fn receive(&mut self, frame: EntryFrame) {
        self.act(|agent, now, out| agent.handle_frame(LINK, frame, now, out));
    }

    /// Orders a task, and returns the call that starts it.
    fn start(&mut self) -> CallNo {
        self.receive(EntryFrame::Start(order()));
        let start = self.take_call(|call| matches!(call, EndpointCall::Start { .. }));
        start.expect("a start")
    }

    /// Starts a task that the endpoint confirms and lists.
    fn run(&mut self) {
        let start = self.start();
        self.answer(start, Ok(EndpointReply::Done { clock: 0 }));
        self.wait_ms(1);
        self.reply_to_hold(BORN, &[0]);
    }

    fn take_call(&mut self, is_taken: impl Fn(&EndpointCall) -> bool) -> Option<CallNo> {
        let position = self.calls.iter().position(|(_, call)| is_taken(call))?;
        Some(self.calls.remove(position).0)
    }

    fn take_hold(&mut self) -> CallNo {
        let hold = self.take_call(|call| matches!(call, EndpointCall::Hold { .. }));
        hold.expect("a hold")
    }

    /// Replies to the oldest hold as an incarnation that runs the given tasks.
    fn reply_to_hold(&mut self, born: u64, running: &[u16]) {
        let hold = self.take_hold();
        let running = running.iter().map(|&index| RunEntry {
            task: task(index),
            run: 1,
            progress: None,
            checkpoint: None,
        });
        let reply = EndpointReply::Held {
            born,
            clock: 0,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.answer(hold, Ok(reply));
    }

    fn answer(&mut self, call: CallNo, outcome: Result<EndpointReply, CallFailure>) {
        self.act(|agent, now, out| agent.handle_reply(call, outcome, now, out));
    }

    /// Returns, for each crash that was reported, whether the task was surely lost in it.
    fn lost(&self) -> Vec<bool> {
        let lost = self.crashes.iter().flatten();
        lost.map(|run| run.is_certain).collect()
    }
}

fn registration() -> Registration {
    Registration {
        id: EndpointId("e-1".to_owned()),
        born: BORN,
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: CAPACITY,
        labels: Vec::new(),
        cold_remaining_ms: 0,
        state: EndpointState::Ready,
        sequence: 1,
    }
}

fn order() -> Order {
    Order {
        job: job_id(),
        step: 0,
        indexes: vec![0],
        service: "service".to_owned(),
        route: "route".to_owned(),
        spec: String::new(),
        needs: NEEDS,
        priority: 0,
        expected_ms: 60,
        nominal_ms: 60,
        slack_ms: 100,
        remaining_ms: 1_500,
        watch_ms: 0,
        is_quarantined: false,
        max_run_ms: 5_000,
        is_durable: false,
        epoch: 0,
        last_runs: Vec::new(),
        checkpoints: Vec::new(),
        gang: false,
        long_running: false,
        ticket: None,
    }
}

struct Restart {
    name: &'static str,
    /// Whether the earlier incarnation has listed the run.
    is_listed: bool,
    /// Whether the next incarnation crashes as well.
    crashes_again: bool,
    /// For each report of the run in a crash, whether it was surely lost.
    lost: &'static [bool],
}

/// Guards against a run that is counted as lost in the crash of an incarnation that never had it, since
/// its start was confirmed by the next one under the same id, and in the crash of that one as well.
#[test]
fn run_is_surely_lost_in_a_restart_only_if_it_was_listed_before() {
    let cases = [
        Restart {
            name: "listed",
            is_listed: true,
            crashes_again: false,
            lost: &[true],
        },
        Restart {
            name: "confirmed by either incarnation",
            is_listed: false,
            crashes_again: false,
            lost: &[false],
        },
        Restart {
            name: "confirmed by either incarnation, of which the next one crashes as well",
            is_listed: false,
            crashes_again: true,
            lost: &[false, false],
        },
        Restart {
            name: "listed, and the next incarnation crashes as well",
            is_listed: true,
            crashes_again: true,
            lost: &[true],
        },
    ];
    for case in cases {
        let mut host = Host::new();
        host.wait_ms(1);
        if case.is_listed {
            host.run();
        } else {
            let start = host.start();
            host.answer(start, Ok(EndpointReply::Done { clock: 0 }));
        }
        host.wait_ms(1);
        host.reply_to_hold(NEXT_BORN, &[]);
        if case.crashes_again {
            host.wait_ms(1);
            let call = host.calls.remove(0).0;
            host.answer(call, Err(CallFailure::Refused));
        }
        assert_eq!(host.lost(), case.lost, "{}", case.name);
    }
}

struct Silence {
    name: &'static str,
    state: EndpointState,
    /// Time from the last reply to the failure of the next call, in milliseconds.
    silence_ms: u64,
    failure: CallFailure,
    is_reported: bool,
}

/// Guards against a crash that is reported, with the runs there, of an endpoint that has announced its end,
/// may be cut off, or was last heard of when its runs may have been under way still.
#[test]
fn crash_is_reported_only_of_an_endpoint_that_ends_unannounced() {
    let crashed = Silence {
        name: "crashed",
        state: EndpointState::Ready,
        silence_ms: 1,
        failure: CallFailure::Refused,
        is_reported: true,
    };
    let cases = [
        Silence {
            name: "draining",
            is_reported: false,
            state: EndpointState::Draining,
            ..crashed
        },
        Silence {
            name: "no reply",
            is_reported: false,
            failure: CallFailure::NoReply,
            ..crashed
        },
        Silence {
            name: "no connection",
            is_reported: false,
            failure: CallFailure::NotSent,
            ..crashed
        },
        Silence {
            name: "gone after a long silence",
            is_reported: false,
            silence_ms: 501,
            ..crashed
        },
        crashed,
    ];
    for case in cases {
        let mut host = Host::new();
        host.wait_ms(1);
        host.run();
        let heartbeat = Registration {
            state: case.state,
            sequence: 2,
            ..registration()
        };
        host.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(heartbeat, now, out);
            handled.expect("a consistent heartbeat");
        });
        host.wait_ms(case.silence_ms);
        let hold = host.take_hold();
        host.answer(hold, Err(case.failure));
        assert_eq!(!host.crashes.is_empty(), case.is_reported, "{}", case.name);
    }
}

struct OddReply {
    name: &'static str,
    reply: EndpointReply,
    /// What the agent reports of the task, if it has ended.
    outcome: Option<Outcome>,
}

/// Guards against a job that is shown as failed though no run of it has: an endpoint that refuses a start,
/// or answers with a status that the agent does not know, has not failed to run the task.
#[test]
fn start_with_an_odd_reply_is_no_failed_run() {
    let cases = [
        OddReply {
            name: "unhealthy",
            reply: EndpointReply::Unhealthy,
            outcome: Some(Outcome::Unavailable),
        },
        OddReply {
            name: "refused for an unknown reason",
            reply: EndpointReply::Refused {
                clock: None,
                reason: StartRefusal::Other,
            },
            outcome: Some(Outcome::Unavailable),
        },
        OddReply {
            name: "no room",
            reply: EndpointReply::Refused {
                clock: None,
                reason: StartRefusal::NoRoom,
            },
            outcome: Some(Outcome::NoRoom),
        },
        OddReply {
            name: "another status",
            reply: EndpointReply::Invalid,
            outcome: Some(Outcome::Unavailable),
        },
        OddReply {
            name: "a status that does not tell whether it has started",
            reply: EndpointReply::Unexpected,
            outcome: None,
        },
    ];
    for case in cases {
        let mut host = Host::new();
        let start = host.start();
        host.answer(start, Ok(case.reply));
        let outcome = host.ends.first().map(|end| end.outcome);
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

/// Guards against a crash that is counted under a task whose start was answered by the next incarnation, as
/// one for another: the endpoint that crashed never had it.
#[test]
fn start_answered_by_another_incarnation_is_not_lost_in_a_crash() {
    let mut host = Host::new();
    host.wait_ms(1);
    let start = host.start();
    host.wait_ms(1);
    host.answer(start, Ok(EndpointReply::OtherIncarnation));
    assert_eq!(host.lost(), [] as [bool; 0]);
}

/// Guards against the maintenance of a host that is reported as a crash of its endpoint, with the runs that
/// were still there: in a wave, a task may be lost at several hosts at a similar age.
#[test]
fn maintenance_of_a_drained_host_is_no_crash() {
    let mut host = Host::new();
    host.wait_ms(1);
    host.run();
    host.receive(EntryFrame::Drain);
    host.wait_ms(200);
    let hold = host.take_hold();
    host.answer(hold, Err(CallFailure::Refused));
    assert_eq!(host.lost(), [] as [bool; 0]);
}

/// Guards against a crash that is counted under a task whose run was stopped long before: its end was only
/// not listed yet.
#[test]
fn run_that_was_stopped_before_a_crash_is_not_surely_lost() {
    let mut host = Host::new();
    host.wait_ms(1);
    host.run();
    let stop = EntryFrame::Stop {
        job: job_id(),
        tasks: Vec::new(),
        report: false,
    };
    host.receive(stop);
    let stop = host.take_call(|call| matches!(call, EndpointCall::Stop { .. }));
    host.answer(stop.expect("a stop"), Ok(EndpointReply::Done { clock: 0 }));
    host.wait_ms(lease_times().stop_ms + 1);
    let hold = host.take_hold();
    host.answer(hold, Err(CallFailure::Refused));
    assert!(!host.lost().contains(&true));
}

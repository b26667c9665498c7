//! Which ends an agent acknowledges to an endpoint that may have restarted under its id.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndEntry, EndReason, EndpointCall,
    EndpointReply,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo, Order, Outcome,
    Registration, Resources, TaskEnd, TaskKey, TaskRun,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);

/// When the two lives of the endpoint were started, in Unix milliseconds.
const FIRST_BORN: u64 = 1_000;
const SECOND_BORN: u64 = 2_000;

/// An agent whose endpoint has run the durable task 0, whose end was acknowledged by its entry.
struct Host {
    agent: Agent,
    calls: Vec<(CallNo, EndpointCall)>,
    ended: Vec<TaskEnd>,
    now: Time,
}

impl Host {
    fn new() -> Self {
        let options = AgentOptions {
            name: "side-1".to_owned(),
            zone: "Saga".to_owned(),
            seeds: Vec::new(),
            lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
            heartbeat_interval_ms: 1_500,
            fence: 1,
        };
        let mut host = Self {
            agent: Agent::new(options, START),
            calls: Vec::new(),
            ended: Vec::new(),
            now: START,
        };
        host.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(registration(), now, out);
            handled.expect("a consistent heartbeat");
        });
        host.list_ends(FIRST_BORN, &[]);
        host.act(|agent, now, out| agent.link_up(LINK, now, out));
        host.order(0);
        let start = host.take_start();
        host.answer(
            start,
            Ok(EndpointReply::Done {
                clock: host.clock(),
            }),
        );
        host.now = host.now.after_millis(20);
        host.list_ends(FIRST_BORN, &[(1, 0)]);
        let stored = EntryFrame::Acknowledge(vec![TaskRun {
            task: task(0),
            run: 1,
        }]);
        host.act(|agent, now, out| agent.handle_frame(LINK, stored, now, out));
        host
    }

    fn clock(&self) -> i64 {
        i64::try_from(self.now.as_millis()).unwrap_or(i64::MAX)
    }

    fn act(&mut self, act: impl FnOnce(&mut Agent, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.agent, self.now, &mut out);
        for action in out {
            match action {
                Action::Call { number, call, .. } => self.calls.push((number, call)),
                Action::Send {
                    frame: AgentFrame::Ended(ends),
                    ..
                } => self.ended.extend(ends),
                _ => {}
            }
        }
    }

    fn order(&mut self, index: u16) {
        let order = Order {
            job: task(index).job,
            step: 0,
            indexes: vec![index],
            service: "service".to_owned(),
            route: "route".to_owned(),
            spec: String::new(),
            needs: Resources {
                cpu: 1_000,
                memory: 1,
                accelerators: 0,
            },
            priority: 0,
            expected_ms: 20,
            nominal_ms: 20,
            slack_ms: 100,
            remaining_ms: u32::MAX,
            watch_ms: 0,
            is_quarantined: false,
            max_run_ms: 5_000,
            is_durable: true,
            epoch: 0,
            last_runs: Vec::new(),
            checkpoints: Vec::new(),
            gang: false,
            long_running: false,
            ticket: None,
        };
        self.act(|agent, now, out| agent.handle_frame(LINK, EntryFrame::Start(order), now, out));
    }

    fn take(&mut self, is_taken: impl Fn(&EndpointCall) -> bool) -> Option<(CallNo, EndpointCall)> {
        let position = self.calls.iter().position(|(_, call)| is_taken(call))?;
        Some(self.calls.remove(position))
    }

    fn take_start(&mut self) -> CallNo {
        let start = self.take(|call| matches!(call, EndpointCall::Start { .. }));
        start.expect("a start").0
    }

    /// Takes the next call that asks for lists, with the number up to which it acknowledges ends.
    fn take_hold(&mut self) -> (CallNo, u64) {
        let is_hold = |call: &EndpointCall| matches!(call, EndpointCall::Hold { .. });
        loop {
            if let Some((number, EndpointCall::Hold { acked, .. })) = self.take(is_hold) {
                return (number, acked);
            }
            self.now = self.now.after_millis(1);
            self.act(Agent::tick);
        }
    }

    fn answer(&mut self, call: CallNo, outcome: Result<EndpointReply, CallFailure>) {
        self.act(|agent, now, out| agent.handle_reply(call, outcome, now, out));
    }

    /// Answers the next hold with ends that are done, by number and index; returns the number up to which
    /// it acknowledges ends.
    fn list_ends(&mut self, born: u64, ends: &[(u64, u16)]) -> u64 {
        let (hold, acked) = self.take_hold();
        self.list(hold, born, ends);
        acked
    }

    /// Answers a hold with ends that are done, by number and index.
    fn list(&mut self, hold: CallNo, born: u64, ends: &[(u64, u16)]) {
        let ended = ends.iter().map(|&(sequence, index)| EndEntry {
            sequence,
            task: task(index),
            run: 1,
            reason: EndReason::Done,
            checkpoint: None,
        });
        let reply = EndpointReply::Held {
            born,
            clock: self.clock(),
            running: Vec::new(),
            ended: ended.collect(),
        };
        self.answer(hold, Ok(reply));
    }
}

fn task(index: u16) -> TaskKey {
    TaskKey {
        job: JobId("0000000000000001".to_owned()),
        step: 0,
        index,
    }
}

fn registration() -> Registration {
    Registration {
        id: EndpointId("e-1".to_owned()),
        born: FIRST_BORN,
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: Resources {
            cpu: 8_000,
            memory: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        state: EndpointState::Ready,
        cold_remaining_ms: 0,
        sequence: 1,
    }
}

struct Case {
    name: &'static str,
    /// How the hold ends that was under way when the endpoint restarted; `None` if none was.
    failure: Option<CallFailure>,
    /// Whether the start that follows is answered before the next hold is sent.
    is_start_answered: bool,
}

/// How long the run at the next life takes, in milliseconds.
const RUN_MS: u64 = 20;

/// Guards against a durable task that runs again after its end was acknowledged: its endpoint restarted
/// under its id, the agent started it there before it knew, and acknowledged ends of the earlier life.
/// The end had the number of one of those, and was forgotten unseen.
#[test]
fn ends_of_an_earlier_life_are_not_acknowledged_to_the_next_one() {
    let cases = [
        Case {
            name: "hold reset, start answered",
            failure: Some(CallFailure::Reset),
            is_start_answered: true,
        },
        Case {
            name: "hold without a reply, start answered",
            failure: Some(CallFailure::NoReply),
            is_start_answered: true,
        },
        Case {
            name: "no hold under way, start answered",
            failure: None,
            is_start_answered: true,
        },
        Case {
            name: "hold reset, start without a reply",
            failure: Some(CallFailure::Reset),
            is_start_answered: false,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut host = Host::new();
        let (hold, _) = host.take_hold();
        match case.failure {
            Some(failure) => host.answer(hold, Err(failure)),
            None => host.list(hold, FIRST_BORN, &[(1, 0)]),
        }
        host.order(1);
        let start = host.take_start();
        let outcome = if case.is_start_answered {
            Ok(EndpointReply::Done { clock: 100 })
        } else {
            Err(CallFailure::Reset)
        };
        host.now = host.now.after_millis(RUN_MS);
        host.answer(start, outcome);
        // The next life has run task 1 meanwhile, and its first end is that of this run.
        let (hold, acked) = host.take_hold();
        assert_eq!(acked, 0, "{name}: ends acknowledged to an unknown life");
        let reply = EndpointReply::Held {
            born: SECOND_BORN,
            clock: 120,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let acknowledges =
            |call: &EndpointCall| matches!(call, EndpointCall::Hold { acked, .. } if *acked > 0);
        assert!(host.take(acknowledges).is_none(), "{name}: another call");
        // Replies to other calls that were sent before say nothing more.
        host.calls.clear();
        host.answer(hold, Ok(reply));
        let acked = host.list_ends(SECOND_BORN, &[(1, 1)]);
        assert_eq!(acked, 0, "{name}: unseen end acknowledged");
        let is_done = |end: &TaskEnd| end.task == task(1) && end.outcome == Outcome::Done;
        assert!(host.ended.iter().any(is_done), "{name}: {:?}", host.ended);
    }
}

/// Guards against ends that are never acknowledged again after a call without a reply.
#[test]
fn ends_are_acknowledged_once_the_life_is_known() {
    let mut host = Host::new();
    host.order(1);
    let start = host.take_start();
    let (hold, _) = host.take_hold();
    host.answer(hold, Err(CallFailure::Reset));
    let done = EndpointReply::Done {
        clock: host.clock(),
    };
    host.answer(start, Ok(done));
    host.list_ends(FIRST_BORN, &[(1, 0), (2, 1)]);
    let (_, acked) = host.take_hold();
    assert_eq!(acked, 1, "the end of the durable task 1 is not stored");
}

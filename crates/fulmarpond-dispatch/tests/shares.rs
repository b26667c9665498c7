//! The order in which an agent starts tasks of several classes of priority, and the runs that it
//! stops for urgent ones.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallNo, ClassRoom, EndEntry, EndReason, EndpointCall,
    EndpointReply, RunEntry,
};
use fulmarpond_dispatch::{
    EndpointId, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo, Order, Registration,
    Resources, TaskKey, Weights,
};

const LINK: LinkNo = LinkNo(1);

/// Cores of the endpoint: the shares are 4, 2 and 1 of them with the default weights.
const CORES: u32 = 7;

/// A task, as the number of its job.
#[derive(Debug, Clone, Copy)]
struct Task {
    number: u16,
    priority: u8,
    cores: u32,
    slack_ms: u32,
    run_ms: u32,
    is_durable: bool,
    is_gang: bool,
}

impl Task {
    const fn new(number: u16, priority: u8) -> Self {
        Self {
            number,
            priority,
            cores: 1,
            slack_ms: 500,
            run_ms: 100,
            is_durable: false,
            is_gang: false,
        }
    }

    fn key(number: u16) -> TaskKey {
        TaskKey {
            job: JobId(format!("{number:016x}")),
            step: 0,
            index: 0,
        }
    }
}

/// An agent whose endpoint confirms all calls at once and ends runs only when told to.
struct Host {
    agent: Agent,
    now: Time,
    /// The tasks in the order of their starts.
    started: Vec<u16>,
    /// The tasks in the order of their stops.
    stopped: Vec<u16>,
    running: Vec<RunEntry>,
    ended: Vec<EndEntry>,
    last_end: u64,
    calls: Vec<(CallNo, EndpointCall)>,
}

impl Host {
    fn new() -> Self {
        let now = Time::from_millis(10_000);
        let options = AgentOptions {
            name: "side-1".to_owned(),
            zone: "Saga".to_owned(),
            seeds: Vec::new(),
            lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
            heartbeat_interval_ms: 1_500,
            fence: 1,
        };
        let mut host = Self {
            agent: Agent::new(options, now),
            now,
            started: Vec::new(),
            stopped: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            calls: Vec::new(),
        };
        let registration = Registration {
            id: EndpointId("e-1".to_owned()),
            born: 0,
            service: "service".to_owned(),
            addr: ([127, 0, 0, 1], 9_000).into(),
            capacity: Resources {
                cpu: CORES * 1_000,
                memory: 1_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            cold_remaining_ms: 0,
            state: EndpointState::Ready,
            sequence: 1,
        };
        host.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(registration, now, out);
            handled.expect("a consistent heartbeat");
        });
        host.act(|agent, now, out| agent.link_up(LINK, now, out));
        host.run_ms(5);
        host
    }

    /// Lets the agent act, and answers its calls until it makes none that an answer ends.
    fn act(&mut self, act: impl FnOnce(&mut Agent, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.agent, self.now, &mut out);
        self.collect(out);
        while let Some(position) = self
            .calls
            .iter()
            .position(|(_, call)| self.is_immediate(call))
        {
            let (number, call) = self.calls.remove(position);
            let reply = self.carry_out(call);
            let mut out = Vec::new();
            self.agent
                .handle_reply(number, Ok(reply), self.now, &mut out);
            self.collect(out);
        }
    }

    fn collect(&mut self, out: Vec<Action>) {
        for action in out {
            if let Action::Call { number, call, .. } = action {
                self.calls.push((number, call));
            }
        }
    }

    fn is_immediate(&self, call: &EndpointCall) -> bool {
        match call {
            EndpointCall::Hold { wait, .. } => *wait == 0 || !self.ended.is_empty(),
            _ => true,
        }
    }

    fn carry_out(&mut self, call: EndpointCall) -> EndpointReply {
        match call {
            EndpointCall::Start { task, run, .. } => {
                self.started.push(number(&task));
                self.running.push(RunEntry {
                    task,
                    run,
                    checkpoint: None,
                    progress: None,
                });
            }
            EndpointCall::Stop { task, .. } => {
                self.stopped.push(number(&task));
                self.end(&task, EndReason::Cut);
            }
            EndpointCall::Hold { acked, .. } => {
                self.ended.retain(|end| end.sequence > acked);
                return EndpointReply::Held {
                    clock: 0,
                    born: 0,
                    running: self.running.clone(),
                    ended: self.ended.clone(),
                };
            }
        }
        EndpointReply::Done { clock: 0 }
    }

    fn end(&mut self, task: &TaskKey, reason: EndReason) {
        let position = self.running.iter().position(|run| run.task == *task);
        let Some(position) = position else { return };
        let run = self.running.remove(position);
        self.last_end += 1;
        self.ended.push(EndEntry {
            sequence: self.last_end,
            task: run.task,
            run: run.run,
            reason,
            checkpoint: None,
        });
    }

    /// Completes runs, and returns the tasks that start in their room. After a list without new ends
    /// the agent asks for the next one only 10 ms later.
    fn complete(&mut self, numbers: &[u16]) -> Vec<u16> {
        let before = self.started.len();
        for &number in numbers {
            self.end(&Task::key(number), EndReason::Done);
        }
        self.run_ms(12);
        self.started[before..].to_vec()
    }

    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now.after_millis(1);
            let renew = EntryFrame::Renew {
                sent: self.now.as_micros(),
            };
            self.act(|agent, now, out| agent.handle_frame(LINK, renew, now, out));
            self.act(Agent::tick);
        }
    }

    /// Orders tasks, and returns those that start.
    fn order(&mut self, tasks: &[Task]) -> Vec<u16> {
        let before = self.started.len();
        for task in tasks {
            let order = Order {
                job: Task::key(task.number).job,
                step: 0,
                indexes: vec![0],
                service: "service".to_owned(),
                spec: String::new(),
                needs: Resources {
                    cpu: task.cores * 1_000,
                    memory: 1,
                    accelerators: 0,
                },
                priority: task.priority,
                expected_ms: task.run_ms,
                nominal_ms: task.run_ms,
                slack_ms: task.slack_ms,
                remaining_ms: 5_000,
                max_run_ms: 5_000,
                is_durable: task.is_durable,
                epoch: 0,
                checkpoints: Vec::new(),
                gang: task.is_gang,
                long_running: false,
                ticket: None,
            };
            self.act(|agent, now, out| {
                agent.handle_frame(LINK, EntryFrame::Start(order), now, out);
            });
        }
        self.started[before..].to_vec()
    }
}

fn number(task: &TaskKey) -> u16 {
    u16::from_str_radix(&task.job.0, 16).expect("a job of the test")
}

/// Returns tasks of one class, numbered from `first`.
fn tasks(first: u16, count: u16, priority: u8) -> Vec<Task> {
    let numbers = first..first + count;
    numbers.map(|number| Task::new(number, priority)).collect()
}

struct OrderCase {
    name: &'static str,
    /// The tasks that fill the endpoint.
    running: Vec<Task>,
    waiting: Vec<Task>,
    completed: &'static [u16],
    /// The tasks that start in the room of the completed ones.
    expected: &'static [u16],
}

/// Guards against urgent work that waits behind nearly overdue work of low priority, and against
/// classes that get less than their share.
#[test]
fn classes_below_their_share_start_first() {
    let overdue = |number, priority| Task {
        slack_ms: 60,
        ..Task::new(number, priority)
    };
    let cases = [
        OrderCase {
            name: "fresh urgent work goes before nearly overdue work",
            running: tasks(0, 7, 2),
            waiting: vec![overdue(10, 2), overdue(11, 1), Task::new(12, 0)],
            completed: &[0, 1],
            expected: &[12, 11],
        },
        OrderCase {
            name: "lent room is returned as runs end",
            running: tasks(0, 7, 0),
            waiting: [tasks(10, 4, 0), tasks(20, 4, 1), tasks(30, 4, 2)].concat(),
            completed: &[0, 1, 2],
            expected: &[20, 21, 30],
        },
        OrderCase {
            name: "each class keeps its share",
            running: [tasks(0, 4, 0), tasks(4, 2, 1), tasks(6, 1, 2)].concat(),
            waiting: [tasks(10, 7, 0), tasks(20, 7, 1), tasks(30, 7, 2)].concat(),
            completed: &[0, 4, 6],
            expected: &[10, 20, 30],
        },
        OrderCase {
            name: "room that a class does not need is lent by priority",
            running: [tasks(0, 4, 0), tasks(4, 2, 1), tasks(6, 1, 2)].concat(),
            waiting: [tasks(20, 2, 1), tasks(30, 2, 2)].concat(),
            completed: &[0, 1, 2],
            expected: &[20, 21, 30],
        },
        OrderCase {
            name: "within a class the latest start decides",
            running: tasks(0, 7, 1),
            waiting: vec![Task::new(10, 1), overdue(11, 1)],
            completed: &[0],
            expected: &[11],
        },
    ];
    for case in cases {
        let mut host = Host::new();
        host.order(&case.running);
        assert_eq!(host.started.len(), 7, "{}: endpoint is full", case.name);
        assert!(host.order(&case.waiting).is_empty(), "{}", case.name);
        assert_eq!(
            host.complete(case.completed),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Starts tasks of one core in the room of each other for a while, beside a task of five cores that
/// waits; returns whether it has started.
fn large_task_starts(large_priority: u8, small_priority: u8, others: &[Task]) -> bool {
    let mut host = Host::new();
    host.order(others);
    let filling = u16::try_from(others.len()).expect("few tasks")..7;
    let small = |number| Task {
        slack_ms: 1_500,
        ..Task::new(number, small_priority)
    };
    host.order(&filling.clone().map(small).collect::<Vec<_>>());
    let large = Task {
        cores: 5,
        slack_ms: 1_000,
        ..Task::new(99, large_priority)
    };
    host.order(&[large]);
    let mut next = 100;
    for _ in 0..60 {
        host.order(&[small(next), small(next + 1)]);
        next += 2;
        let smalls = host.running.iter().map(|run| run.task.clone());
        let smalls: Vec<u16> = smalls
            .map(|task| number(&task))
            .filter(|number| *number != 99 && !others.iter().any(|task| task.number == *number))
            .collect();
        host.complete(&smalls[..smalls.len().min(1)]);
        host.run_ms(9);
        if host.started.contains(&99) {
            return true;
        }
    }
    false
}

/// Guards against a task that starves because smaller ones, of its class or of another, always find
/// room before it; and against another order where all tasks are of one class.
#[test]
fn a_large_task_waits_no_longer_than_its_turn() {
    assert!(large_task_starts(1, 0, &[]), "behind a higher class");
    assert!(large_task_starts(2, 1, &[]), "behind a higher class");
    let other = [Task::new(50, 0)];
    assert!(large_task_starts(2, 2, &other), "behind its own class");
    assert!(!large_task_starts(1, 1, &[]), "one class alone");
}

struct PreemptionCase {
    name: &'static str,
    /// The number of runs that are done before, each with 900 core-milliseconds.
    earlier_runs: u16,
    is_enabled: bool,
    /// The tasks that fill the endpoint; the last one starts 20 ms after the others.
    running: Vec<Task>,
    urgent: Task,
    stopped: &'static [u16],
}

/// Guards against urgent tasks that start too late while others use lent room, and against stops
/// that discard too much work, take the share of a class, or hit runs that cannot start again.
#[test]
fn runs_in_lent_room_are_stopped_for_urgent_tasks() {
    let long = |number| Task {
        run_ms: 900,
        slack_ms: 580,
        ..Task::new(number, 2)
    };
    let with = |change: fn(&mut Task)| {
        let mut running: Vec<Task> = (0..7).map(long).collect();
        running.iter_mut().for_each(change);
        running
    };
    let base = || PreemptionCase {
        name: "the run with the least work done is stopped",
        earlier_runs: 7,
        is_enabled: true,
        running: with(|_| {}),
        urgent: Task {
            slack_ms: 76,
            run_ms: 60,
            ..Task::new(99, 0)
        },
        stopped: &[6],
    };
    let cases = [
        base(),
        PreemptionCase {
            name: "an urgent task that needs more room stops several",
            urgent: Task {
                cores: 2,
                ..base().urgent
            },
            stopped: &[6, 0],
            ..base()
        },
        PreemptionCase {
            name: "a task that can wait for the next end stops none",
            urgent: Task {
                slack_ms: 300,
                ..base().urgent
            },
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "a task that would start too late in any case stops none",
            urgent: Task {
                slack_ms: 30,
                ..base().urgent
            },
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "a task of a lower class stops none",
            urgent: Task {
                priority: 1,
                ..base().urgent
            },
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "no work may be discarded before any is done",
            earlier_runs: 0,
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "preemption is off",
            is_enabled: false,
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "runs that would miss their own objective go on",
            running: with(|task| task.slack_ms = 100),
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "durable runs go on",
            running: with(|task| task.is_durable = true),
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "gangs go on",
            running: with(|task| task.is_gang = true),
            stopped: &[],
            ..base()
        },
        PreemptionCase {
            name: "classes keep their shares",
            running: with(|task| task.priority = [0, 0, 0, 0, 1, 1, 2][usize::from(task.number)]),
            stopped: &[],
            ..base()
        },
    ];
    for case in cases {
        let mut host = Host::new();
        host.agent.set_sharing(Weights::default(), case.is_enabled);
        let earlier: Vec<Task> = (200..200 + case.earlier_runs).map(long).collect();
        host.order(&earlier);
        host.run_ms(900);
        host.complete(&(200..200 + case.earlier_runs).collect::<Vec<_>>());
        let (last, first) = case.running.split_last().expect("running tasks");
        host.order(first);
        host.run_ms(20);
        host.order(&[*last]);
        let before = host.started.len();
        host.order(&[case.urgent]);
        host.run_ms(3);
        let is_preempted = !case.stopped.is_empty();
        assert_eq!(host.stopped, case.stopped, "{}", case.name);
        let expected: &[u16] = if is_preempted { &[99] } else { &[] };
        assert_eq!(host.started[before..], *expected, "{}", case.name);
        assert_eq!(host.agent.counters.preempted, case.stopped.len() as u64);
        if is_preempted {
            // The stopped run starts again in the next room, and is not stopped again.
            let restarted = host.complete(&[99]);
            assert!(restarted.contains(&case.stopped[0]), "{}", case.name);
            host.run_ms(10);
            host.order(&[Task {
                number: 98,
                ..case.urgent
            }]);
            host.run_ms(3);
            let again = host.stopped[case.stopped.len()..].iter();
            assert!(
                again.clone().all(|task| !case.stopped.contains(task)),
                "{}",
                case.name
            );
        }
    }
}

/// Guards against metrics that hide which class holds the room, and against weights of a reload
/// that do not apply from the next start.
#[test]
fn room_and_new_weights_are_shown_by_class() {
    let mut host = Host::new();
    host.order(&[tasks(0, 5, 2), tasks(5, 2, 1), tasks(10, 2, 0)].concat());
    let room = |used, waiting, lent| ClassRoom {
        used,
        waiting,
        lent,
    };
    let rooms = host.agent.class_room();
    let expected = [room(0, 2_000, 4_000), room(2_000, 0, 0), room(5_000, 0, 0)];
    assert_eq!(rooms, expected);
    host.order(&tasks(20, 5, 2));
    host.agent.set_sharing(Weights::new([1, 1, 5]), true);
    assert_eq!(host.complete(&[0, 1, 2]), [10, 20, 21]);
    host.order(&tasks(30, 5, 0));
    assert_eq!(host.complete(&[3, 4]), [22, 23]);
}

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
        self.calls
            .extend(out.into_iter().filter_map(|action| match action {
                Action::Call { number, call, .. } => Some((number, call)),
                _ => None,
            }));
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
                self.started.push(number_of(&task));
                self.running.push(RunEntry {
                    task,
                    run,
                    checkpoint: None,
                    progress: None,
                });
            }
            EndpointCall::Stop { task, .. } => {
                self.stopped.push(number_of(&task));
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

    /// Completes runs, and returns the tasks that start in their room. An agent pauses for 10 ms
    /// after a list without new ends.
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
                route: "route".to_owned(),
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
                watch_ms: 0,
                is_quarantined: false,
                max_run_ms: 5_000,
                is_durable: task.is_durable,
                epoch: 0,
                last_runs: Vec::new(),
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

fn number_of(task: &TaskKey) -> u16 {
    u16::from_str_radix(&task.job.0, 16).expect("a job of the test")
}

/// Returns tasks of one class, numbered from `first`.
fn tasks(first: u16, count: u16, priority: u8) -> Vec<Task> {
    let numbers = first..first + count;
    numbers.map(|number| Task::new(number, priority)).collect()
}

struct OrderCase {
    name: &'static str,
    /// The number of the tasks of each class that fill the endpoint, numbered from 0.
    running: [u16; 3],
    /// The number of the waiting tasks of each class, numbered from 10, 20 and 30.
    waiting: [u16; 3],
    completed: &'static [u16],
    /// The tasks that start in the room of the completed ones.
    expected: &'static [u16],
}

/// Guards against urgent work that waits behind nearly overdue work of low priority, and against
/// classes that get less than their share. Lower classes and higher numbers have to start earlier.
#[test]
fn classes_below_their_share_start_first() {
    let case = |name, running, waiting, completed, expected| OrderCase {
        name,
        running,
        waiting,
        completed,
        expected,
    };
    let (lent, full): ([u16; 3], [u16; 3]) = ([7, 0, 0], [4, 2, 1]);
    let cases = [
        case("urgent", [0, 0, 7], [1, 1, 1], &[0, 1], &[10, 20]),
        case("returned", lent, [4; 3], &[0, 1, 2], &[23, 22, 33]),
        case("kept", full, [7; 3], &[0, 4, 6], &[16, 26, 36]),
        case("lent", full, [0, 2, 2], &[0, 1, 2], &[21, 20, 31]),
        case("one class", [0, 7, 0], [0, 3, 0], &[0, 1], &[22, 21]),
    ];
    for case in cases {
        let mut host = Host::new();
        let [high, middle, low] = case.running;
        let running = [
            tasks(0, high, 0),
            tasks(high, middle, 1),
            tasks(high + middle, low, 2),
        ];
        assert_eq!(host.order(&running.concat()).len(), 7, "{}", case.name);
        for (priority, count) in (0..).zip(case.waiting) {
            let first = 10 * (u16::from(priority) + 1);
            let mut waiting = tasks(first, count, priority);
            for task in &mut waiting {
                task.slack_ms = 500 - u32::from(task.number) - 30 * u32::from(priority);
            }
            assert!(host.order(&waiting).is_empty(), "{}", case.name);
        }
        let started = host.complete(case.completed);
        assert_eq!(started, case.expected, "{}", case.name);
    }
}

/// Orders a task of five cores beside tasks of one core that always find room before it, while
/// `others` run on; returns whether it starts.
fn large_task_starts(large_priority: u8, small_priority: u8, others: &[Task]) -> bool {
    let mut host = Host::new();
    host.order(others);
    let small = |number| Task {
        slack_ms: 1_500,
        ..Task::new(number, small_priority)
    };
    host.order(&(100..107).map(small).collect::<Vec<_>>());
    host.order(&[Task {
        cores: 5,
        slack_ms: 1_000,
        ..Task::new(99, large_priority)
    }]);
    for number in 200..260 {
        host.order(&[small(number)]);
        let running = host.running.iter().map(|run| number_of(&run.task));
        let ended: Vec<u16> = running.filter(|number| *number >= 100).take(1).collect();
        host.complete(&ended);
        host.run_ms(9);
    }
    host.started.contains(&99)
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
    has_preemption: bool,
    /// The tasks that fill the endpoint; the last one starts 20 ms after the others.
    running: Vec<Task>,
    urgent: Task,
    stopped: &'static [u16],
}

fn long_task(number: u16) -> Task {
    Task {
        run_ms: 900,
        slack_ms: 580,
        ..Task::new(number, 2)
    }
}

/// Guards against urgent tasks that start too late while others use lent room, and against stops
/// that discard too much work, take the share of a class, or hit runs that cannot start again.
#[test]
fn runs_in_lent_room_are_stopped_for_urgent_tasks() {
    let case = |name, stopped, change: fn(&mut PreemptionCase)| {
        let mut case = PreemptionCase {
            name,
            earlier_runs: 7,
            has_preemption: true,
            running: (0..7).map(long_task).collect(),
            urgent: Task {
                slack_ms: 76,
                run_ms: 60,
                ..Task::new(99, 0)
            },
            stopped,
        };
        change(&mut case);
        case
    };
    let cases = [
        case("least work", &[6], |_| {}),
        case("two", &[6, 0], |case| case.urgent.cores = 2),
        case("can wait", &[], |case| case.urgent.slack_ms = 300),
        case("too late", &[], |case| case.urgent.slack_ms = 30),
        case("not urgent", &[], |case| case.urgent.priority = 1),
        case("no work done", &[], |case| case.earlier_runs = 0),
        case("off", &[], |case| case.has_preemption = false),
        case("own objective", &[], |case| {
            case.running.iter_mut().for_each(|task| task.slack_ms = 100);
        }),
        case("durable", &[], |case| {
            case.running
                .iter_mut()
                .for_each(|task| task.is_durable = true);
        }),
        case("gangs", &[], |case| {
            case.running.iter_mut().for_each(|task| task.is_gang = true);
        }),
        case("shares in use", &[], |case| {
            let tasks = case.running.iter_mut().zip([0, 0, 0, 0, 1, 1, 2]);
            tasks.for_each(|(task, priority)| task.priority = priority);
        }),
    ];
    for case in cases {
        let mut host = Host::new();
        host.agent
            .set_sharing(Weights::default(), case.has_preemption);
        let earlier = 200..200 + case.earlier_runs;
        host.order(&earlier.clone().map(long_task).collect::<Vec<_>>());
        host.run_ms(900);
        host.complete(&earlier.collect::<Vec<_>>());
        host.order(&case.running[..6]);
        host.run_ms(20);
        host.order(&case.running[6..]);
        let before = host.started.len();
        host.order(&[case.urgent]);
        host.run_ms(3);
        assert_eq!(host.stopped, case.stopped, "{}", case.name);
        let has_started = host.started[before..] == [99];
        assert_eq!(has_started, !case.stopped.is_empty(), "{}", case.name);
        let counted = host.agent.counters.preempted;
        assert_eq!(counted, case.stopped.len() as u64, "{}", case.name);
        if !has_started {
            continue;
        }
        // The stopped run starts again in the next room, and is not stopped again.
        assert!(
            host.complete(&[99]).contains(&case.stopped[0]),
            "{}",
            case.name
        );
        host.run_ms(10);
        let number = 98;
        host.order(&[Task {
            number,
            ..case.urgent
        }]);
        host.run_ms(3);
        let mut later_stops = host.stopped[case.stopped.len()..].iter();
        assert!(
            later_stops.all(|task| !case.stopped.contains(task)),
            "{}",
            case.name
        );
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

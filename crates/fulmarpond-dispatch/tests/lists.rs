//! What an agent concludes from the lists of runs and ends of its endpoint.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndEntry, EndReason, EndpointCall,
    EndpointReply, RunEntry,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointSpeed, EndpointState, EntryFrame, Incarnation, JobId,
    LeaseTimes, LinkNo, Order, Outcome, Registration, RegistrationError, Resources, TaskKey,
    TaskRun,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);

/// The longest time that an endpoint takes to stop a run, in milliseconds.
const STOP_MS: u64 = 50;

/// An agent with one endpoint, and the calls that it has made.
struct Host {
    agent: Agent,
    calls: Vec<(CallNo, EndpointCall)>,
    /// The last reported slowness, in percent.
    slowness: u32,
    /// The incarnation that replies to holds.
    born: u64,
    /// The last reported readiness.
    is_ready: bool,
    is_draining: bool,
    /// The reported ends.
    ends: Vec<(TaskKey, Outcome)>,
    /// The last reported lasting speed.
    speed: EndpointSpeed,
    now: Time,
}

impl Host {
    /// Returns a host whose endpoint has capacity for all tasks of a job and runs nothing.
    fn new() -> Self {
        Self::with_incarnation(0)
    }

    fn with_incarnation(born: u64) -> Self {
        let options = AgentOptions {
            name: "side-1".to_owned(),
            zone: "Saga".to_owned(),
            seeds: Vec::new(),
            lease_times: LeaseTimes::new(1_300, 1_000, STOP_MS).expect("valid lease times"),
            heartbeat_interval_ms: 1_500,
            fence: 1,
        };
        let mut host = Self {
            agent: Agent::new(options, START),
            calls: Vec::new(),
            slowness: 100,
            born,
            is_ready: false,
            is_draining: false,
            ends: Vec::new(),
            speed: EndpointSpeed::default(),
            now: START,
        };
        host.heartbeat(registration(born, 1), START);
        let hold = host.take_hold();
        host.reply(hold, START, &[], &[]);
        host.act(|agent, out| agent.link_up(LINK, START, out));
        host
    }

    fn act(&mut self, act: impl FnOnce(&mut Agent, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.agent, &mut out);
        for action in out {
            match action {
                Action::Call { number, call, .. } => self.calls.push((number, call)),
                Action::Send {
                    frame: AgentFrame::Status { load, .. },
                    ..
                } => {
                    self.slowness = load.slowness;
                    self.is_ready = load.ready;
                    self.is_draining = load.draining;
                }
                Action::Send {
                    frame: AgentFrame::Ended(ends),
                    ..
                } => {
                    let ends = ends.into_iter().map(|end| (end.task, end.outcome));
                    self.ends.extend(ends);
                }
                Action::Send {
                    frame: AgentFrame::Speed(speed),
                    ..
                } => self.speed = speed,
                _ => {}
            }
        }
    }

    fn heartbeat(&mut self, registration: Registration, now: Time) {
        self.act(|agent, out| {
            let handled = agent.handle_heartbeat(registration, now, out);
            handled.expect("a consistent heartbeat");
        });
    }

    /// Runs one task of a job to its end; `nominal_ms` is its expected run time.
    fn run_job(&mut self, number: u16, nominal_ms: u32, elapsed_ms: u64, reason: EndReason) {
        let now = self.now;
        self.heartbeat(registration(self.born, u64::from(number) + 2), now);
        self.start_job(number, 1, nominal_ms, now);
        let end = now.after_millis(elapsed_ms);
        while self.now.after_millis(40) < end {
            self.now = self.now.after_millis(40);
            let hold = self.take_hold();
            self.reply(hold, self.now, &[], &[]);
            self.tick(self.now.after_millis(10));
        }
        self.now = end;
        let hold = self.take_hold();
        let end = EndEntry {
            sequence: u64::from(number) + 1,
            task: TaskKey {
                job: job_id(number),
                step: 0,
                index: 0,
            },
            run: 1,
            reason,
            checkpoint: None,
        };
        self.reply(hold, self.now, &[], &[end]);
        self.now = self.now.after_millis(50);
        self.tick(self.now);
    }

    /// Renews the lease of the link and ticks the agent.
    fn tick(&mut self, now: Time) {
        let renew = EntryFrame::Renew {
            sent: now.as_micros(),
        };
        self.act(|agent, out| agent.handle_frame(LINK, renew, now, out));
        self.act(|agent, out| agent.tick(now, out));
    }

    fn take_call(&mut self, is_taken: impl Fn(&EndpointCall) -> bool) -> CallNo {
        let position = self.calls.iter().position(|(_, call)| is_taken(call));
        self.calls.remove(position.expect("a call")).0
    }

    fn take_hold(&mut self) -> CallNo {
        self.take_call(|call| matches!(call, EndpointCall::Hold { .. }))
    }

    /// Returns the wait of the pending hold, in milliseconds.
    fn hold_wait_ms(&self) -> u64 {
        let mut waits = self.calls.iter().filter_map(|(_, call)| match call {
            EndpointCall::Hold { wait, .. } => Some(wait),
            _ => None,
        });
        waits.next_back().copied().expect("a hold")
    }

    fn reply(&mut self, number: CallNo, now: Time, running: &[RunEntry], ended: &[EndEntry]) {
        let reply = EndpointReply::Held {
            born: self.born,
            clock: 0,
            running: running.to_vec(),
            ended: ended.to_vec(),
        };
        self.act(|agent, out| agent.handle_reply(number, Ok(reply), now, out));
    }

    fn order(&mut self, number: u16, tasks: u16, expected_ms: u32, now: Time) {
        let order = Order {
            job: job_id(number),
            step: 0,
            indexes: (0..tasks).collect(),
            service: "service".to_owned(),
            route: "route".to_owned(),
            spec: String::new(),
            needs: Resources {
                cpu: 1_000,
                memory: 1,
                accelerators: 0,
            },
            priority: 0,
            expected_ms,
            nominal_ms: expected_ms,
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
        };
        self.act(|agent, out| agent.handle_frame(LINK, EntryFrame::Start(order), now, out));
    }

    /// Orders a job, and confirms the start of all of its tasks.
    fn start_job(&mut self, number: u16, tasks: u16, expected_ms: u32, now: Time) {
        self.order(number, tasks, expected_ms, now);
        for _ in 0..tasks {
            let start = self.take_call(|call| matches!(call, EndpointCall::Start { .. }));
            let done = EndpointReply::Done { clock: 0 };
            self.act(|agent, out| agent.handle_reply(start, Ok(done), now, out));
        }
    }
}

fn registration(born: u64, sequence: u64) -> Registration {
    Registration {
        id: EndpointId("e-1".to_owned()),
        born,
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: Resources {
            cpu: 8_000,
            memory: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        cold_remaining_ms: 0,
        state: EndpointState::Ready,
        sequence,
    }
}

fn running(job: u16) -> RunEntry {
    RunEntry {
        task: TaskKey {
            job: job_id(job),
            step: 0,
            index: 0,
        },
        run: 1,
        progress: Some(0),
        checkpoint: None,
    }
}

fn job_id(number: u16) -> JobId {
    JobId(format!("{number:016x}"))
}

/// Returns the ends of all tasks of some jobs.
fn all_ends(jobs: u16, tasks: u16) -> Vec<EndEntry> {
    let all = (0..jobs).flat_map(|job| (0..tasks).map(move |index| (job, index)));
    let ends = all.enumerate().map(|(position, (job, index))| EndEntry {
        sequence: position as u64 + 1,
        task: TaskKey {
            job: job_id(job),
            step: 0,
            index,
        },
        run: 1,
        reason: EndReason::Done,
        checkpoint: None,
    });
    ends.collect()
}

struct LateEnds {
    name: &'static str,
    jobs: u16,
    tasks: u16,
    /// Whether the hold that waits for the ends gets a reply.
    is_hold_answered: bool,
    is_slow: bool,
}

/// Guards against capacity that stays idle while jobs are refused, because a healthy endpoint counts
/// as slow for seconds: the reply to a hold got lost, so ends were seen late, or the estimate of one
/// wide job was too low.
#[test]
fn endpoint_is_slow_only_if_the_runs_of_several_jobs_are() {
    let cases = [
        LateEnds {
            name: "the runs of four jobs take three times the expected time",
            jobs: 4,
            tasks: 2,
            is_hold_answered: true,
            is_slow: true,
        },
        LateEnds {
            name: "the hold gets no reply, the next one lists ends of unknown age",
            jobs: 4,
            tasks: 2,
            is_hold_answered: false,
            is_slow: false,
        },
        LateEnds {
            name: "one job has an estimate that is too low",
            jobs: 1,
            tasks: 8,
            is_hold_answered: true,
            is_slow: false,
        },
    ];
    for case in cases {
        let mut host = Host::new();
        for job in 0..case.jobs {
            host.start_job(job, case.tasks, 30, START);
        }
        let seen = START.after_millis(100);
        let mut hold = host.take_hold();
        if !case.is_hold_answered {
            let lost = START.after_millis(90);
            host.act(|agent, out| {
                agent.handle_reply(hold, Err(CallFailure::NoReply), lost, out);
            });
            host.tick(seen);
            hold = host.take_hold();
        }
        host.reply(hold, seen, &[], &all_ends(case.jobs, case.tasks));
        host.tick(seen.after_millis(10));
        assert_eq!(
            host.slowness > 140,
            case.is_slow,
            "{}: slowness is {} %",
            case.name,
            host.slowness
        );
    }
}

/// Guards against ends that nobody sees for a tenth of a second: while calls get lost, a hold that
/// waits long hides all ends until its timeout.
#[test]
fn holds_wait_less_after_a_call_without_reply() {
    let mut host = Host::new();
    host.start_job(0, 4, 1_000, START);
    let calm_wait_ms = host.hold_wait_ms();
    assert!(calm_wait_ms >= 60, "a hold waits {calm_wait_ms} ms");
    let hold = host.take_hold();
    let lost = START.after_millis(95);
    host.act(|agent, out| agent.handle_reply(hold, Err(CallFailure::NoReply), lost, out));
    for round in 1..80 {
        let now = lost.after_millis(round * 50);
        host.tick(now);
        let wait_ms = host.hold_wait_ms();
        if round < 20 {
            assert!(wait_ms <= 25, "a hold waits {wait_ms} ms in round {round}");
        }
        let hold = host.take_hold();
        host.reply(hold, now, &[], &[]);
    }
    // With calm restored, holds wait long again, since each one costs processor time.
    assert!(host.hold_wait_ms() >= 60);
}

/// Guards against tasks that run twice after a restart: a run that the earlier incarnation has
/// listed is over, but the start of another one may have reached the new incarnation, under the
/// same number. And against ends that are missed since their numbers start anew.
#[test]
fn hold_of_a_new_incarnation_ends_all_runs_of_the_old_one() {
    let mut host = Host::with_incarnation(1);
    host.start_job(0, 1, 100, START);
    let hold = host.take_hold();
    host.reply(hold, START, &[running(0)], &all_ends(1, 0));
    host.start_job(1, 1, 100, START);
    host.born = 2;
    let now = START.after_millis(20);
    let hold = host.take_hold();
    host.reply(hold, now, &[running(1)], &[]);
    let aborted = |job| (running(job).task, Outcome::Aborted);
    assert_eq!(host.ends, [aborted(0)]);
    let stop = host.take_call(
        |call| matches!(call, EndpointCall::Stop { task, fence, .. } if task.job == job_id(1) && *fence > 2),
    );
    assert!(!host.is_ready, "no heartbeat of the new incarnation yet");
    host.act(|agent, out| {
        agent.handle_reply(stop, Ok(EndpointReply::Done { clock: 0 }), now, out);
    });
    // The stop has taken its longest time by then.
    let now = now.after_millis(STOP_MS);
    host.tick(now);
    while host.ends.len() < 2 {
        let hold = host.take_hold();
        host.reply(hold, now, &[], &[]);
    }
    assert_eq!(host.ends[1], aborted(1));

    host.heartbeat(registration(2, 1), now);
    host.start_job(2, 1, 100, now);
    host.tick(now.after_millis(10));
    let end = EndEntry {
        sequence: 1,
        task: running(2).task,
        run: 1,
        reason: EndReason::Done,
        checkpoint: None,
    };
    let hold = host.take_hold();
    host.reply(hold, now.after_millis(60), &[], &[end]);
    assert_eq!(host.ends[2], (running(2).task, Outcome::Done));
}

/// Guards against a run of the new incarnation that is taken for one of the old one, since a task
/// that is ordered again at the same agent gets the same run number.
#[test]
fn run_numbers_are_not_used_again_after_a_restart() {
    let mut host = Host::with_incarnation(1);
    host.start_job(0, 1, 100, START);
    host.born = 2;
    host.heartbeat(registration(2, 1), START);
    let probe = host.calls.pop().expect("a call").0;
    host.reply(probe, START, &[], &[]);
    let stop = host.take_call(|call| matches!(call, EndpointCall::Stop { .. }));
    host.act(|agent, out| {
        agent.handle_reply(stop, Ok(EndpointReply::Done { clock: 0 }), START, out);
    });
    // The stop has taken its longest time by then.
    let stopped = START.after_millis(STOP_MS);
    host.tick(stopped);
    while host.ends.is_empty() {
        let hold = host.take_hold();
        host.reply(hold, stopped, &[], &[]);
    }
    host.order(0, 1, 100, stopped);
    let second = |call: &EndpointCall| matches!(call, EndpointCall::Start { run: 2, .. });
    host.take_call(second);
}

struct Heartbeats {
    name: &'static str,
    /// The incarnation that was attached, and that of the next heartbeat.
    born: (u64, u64),
    /// The incarnation that the endpoint names in its reply.
    replies: u64,
    restarts: u64,
    /// Whether the heartbeat, which says that the endpoint drains, takes effect.
    is_draining: bool,
}

/// Guards against heartbeats of an earlier incarnation that take effect, and against those of a new
/// one that do not.
#[test]
fn reply_decides_whether_a_heartbeat_takes_effect() {
    let cases = [
        ("same incarnation", (1, 1), 1, 0, true),
        ("new incarnation", (1, 2), 2, 1, true),
        (
            "earlier incarnation, by a clock that was set back",
            (1, 2),
            1,
            0,
            false,
        ),
        ("another incarnation than either", (1, 2), 3, 1, false),
        ("no incarnation in replies, later start", (1, 2), 0, 1, true),
        (
            "no incarnation in replies, earlier start",
            (2, 1),
            0,
            0,
            false,
        ),
        ("no incarnation in heartbeats", (0, 0), 0, 0, true),
        (
            "no incarnation in the heartbeat, another one replies",
            (1, 0),
            2,
            1,
            true,
        ),
    ];
    let cases = cases.map(|(name, born, replies, restarts, is_draining)| Heartbeats {
        name,
        born,
        replies,
        restarts,
        is_draining,
    });
    for case in cases {
        let mut host = Host::with_incarnation(case.born.0);
        host.tick(START);
        assert!(host.is_ready, "{}", case.name);
        host.born = case.replies;
        let heartbeat = Registration {
            state: EndpointState::Draining,
            ..registration(case.born.1, 2)
        };
        host.heartbeat(heartbeat, START);
        while let Some((call, _)) = host.calls.pop() {
            host.reply(call, START, &[], &[]);
        }
        assert_eq!(host.is_draining, case.is_draining, "{}", case.name);
        assert_eq!(
            host.agent.counters.endpoint_restarts, case.restarts,
            "{}",
            case.name
        );
    }
}

struct LastingSpeedCase {
    name: &'static str,
    /// The number of jobs, their run time with a nominal one of 40 ms, and how they end.
    phases: &'static [(u16, u64, EndReason)],
    /// The bounds of the reported ratio of run times to nominal ones, in thousandths.
    reported: (u32, u32),
}

/// Guards against an endpoint that counts as slow for good after passing trouble, a few long tasks
/// or failures, and against a slow one whose speed is not noticed.
#[test]
fn lasting_speed_is_that_of_most_runs() {
    let cases = [
        LastingSpeedCase {
            name: "all runs take longer",
            phases: &[(100, 68, EndReason::Done)],
            reported: (1_650, 1_750),
        },
        LastingSpeedCase {
            name: "the disk is slow for some seconds",
            phases: &[(200, 40, EndReason::Done), (40, 240, EndReason::Done)],
            reported: (950, 1_150),
        },
        LastingSpeedCase {
            name: "the disk is slow at the start only",
            phases: &[(20, 160, EndReason::Done), (400, 40, EndReason::Done)],
            reported: (950, 1_150),
        },
        LastingSpeedCase {
            name: "the estimates of one caller are ten times too low",
            phases: &[
                (60, 40, EndReason::Done),
                (3, 400, EndReason::Done),
                (60, 40, EndReason::Done),
            ],
            reported: (950, 1_100),
        },
        LastingSpeedCase {
            name: "runs fail early",
            phases: &[(50, 40, EndReason::Done), (100, 4, EndReason::Failed)],
            reported: (950, 1_050),
        },
    ];
    for case in cases {
        let mut host = Host::new();
        let mut number = 0;
        for &(jobs, elapsed_ms, reason) in case.phases {
            for _ in 0..jobs {
                host.run_job(number, 40, elapsed_ms, reason);
                number += 1;
            }
        }
        let (low, high) = case.reported;
        let reported = host.speed.run_permille;
        assert!(
            (low..=high).contains(&reported),
            "{}: reported {reported}",
            case.name
        );
    }
}

/// Guards against a malformed heartbeat that puts an endpoint under a service to which it does not
/// belong, or takes its capacity away.
#[test]
fn heartbeat_that_contradicts_earlier_ones_is_refused() {
    let other_service = Registration {
        service: "other".to_owned(),
        ..registration(1, 2)
    };
    let no_capacity = Registration {
        capacity: Resources::default(),
        ..registration(1, 2)
    };
    let cases = [
        (other_service, RegistrationError::ServiceChanged),
        (no_capacity, RegistrationError::CapacityMissing),
    ];
    for (heartbeat, expected) in cases {
        let mut host = Host::with_incarnation(1);
        host.act(|agent, out| {
            let handled = agent.handle_heartbeat(heartbeat, START, out);
            assert_eq!(handled, Err(expected));
        });
        host.tick(START);
        assert!(host.is_ready);
    }
}

struct Deregistration {
    name: &'static str,
    born: u64,
    /// Whether connections to the endpoint are refused afterwards.
    has_ended: bool,
    /// Whether the endpoint takes tasks after the next heartbeats.
    is_ready: [bool; 3],
}

/// Guards against an endpoint that has left and is in use again through a delayed heartbeat, and
/// against one that is withdrawn by a delayed deregistration of its earlier life.
#[test]
fn endpoint_that_has_left_is_not_in_use_again() {
    let cases = [
        Deregistration {
            name: "of this incarnation",
            born: 2,
            has_ended: true,
            is_ready: [false; 3],
        },
        Deregistration {
            name: "of an earlier incarnation",
            born: 1,
            has_ended: false,
            is_ready: [true; 3],
        },
        Deregistration {
            name: "unnamed, and the endpoint has ended",
            born: 0,
            has_ended: true,
            is_ready: [false; 3],
        },
        Deregistration {
            name: "unnamed, and the endpoint lives on",
            born: 0,
            has_ended: false,
            is_ready: [false, true, true],
        },
    ];
    for case in cases {
        let mut host = Host::with_incarnation(2);
        host.tick(START);
        let left = Incarnation {
            born: case.born,
            ..registration(0, 0).incarnation()
        };
        host.act(|agent, out| agent.handle_deregistration(&left, START, out));
        for (round, expected) in (0..).zip(case.is_ready) {
            let now = START.after_millis(100 * (round + 1));
            host.heartbeat(registration(2, 2 + round), now);
            for (call, _) in std::mem::take(&mut host.calls) {
                if case.has_ended {
                    let refused = Err(CallFailure::Refused);
                    host.act(|agent, out| agent.handle_reply(call, refused, now, out));
                } else {
                    host.reply(call, now, &[], &[]);
                }
            }
            host.heartbeat(registration(2, 2 + round), now);
            host.tick(now);
            assert_eq!(host.is_ready, expected, "{}, heartbeat {round}", case.name);
        }
    }
}

/// Guards against an agent that ends, or can't number its next run, after a list names a run that no
/// agent can have started.
#[test]
fn impossible_run_numbers_are_not_counted_on() {
    let mut host = Host::new();
    host.start_job(0, 1, 100, START);
    let hold = host.take_hold();
    let mut ends = all_ends(1, 1);
    let impossible = EndEntry {
        sequence: 2,
        run: u32::MAX,
        ..ends[0].clone()
    };
    ends.push(impossible);
    host.reply(hold, START, &[], &ends);
    host.order(0, 1, 100, START);
    host.take_call(|call| matches!(call, EndpointCall::Start { run: 2, .. }));
}

/// Guards against runs of an entry that is gone and that go on: a time that the agent has not sent
/// yet extended the lease of the entry without limit.
#[test]
fn lease_of_an_entry_is_not_extended_beyond_its_duration() {
    let mut host = Host::new();
    let renew = EntryFrame::Renew { sent: u64::MAX };
    host.act(|agent, out| agent.handle_frame(LINK, renew, START, out));
    host.act(|agent, out| agent.tick(START.after_millis(1_000), out));
    assert_eq!(host.agent.links(), 0);
}

/// The number of ends that an endpoint lists at most.
const MAX_LISTED_ENDS: u16 = 500;

/// The number of a job whose runs an earlier process has started.
const EARLIER_JOB: u16 = 9;

/// Returns the first listed ends of a job of an earlier process.
fn earlier_ends(count: u16) -> Vec<EndEntry> {
    let mut ends = all_ends(1, count);
    for end in &mut ends {
        end.task.job = job_id(EARLIER_JOB);
    }
    ends
}

/// Guards against a task that is run again though it is done: its end is beyond those that are listed.
#[test]
fn stopped_run_is_not_reported_before_all_ends_are_listed() {
    let mut host = Host::new();
    host.start_job(0, 1, 30, START);
    let stop = EntryFrame::Stop {
        job: job_id(0),
        tasks: Vec::new(),
        report: true,
    };
    host.act(|agent, out| agent.handle_frame(LINK, stop, START, out));
    let stop = host.take_call(|call| matches!(call, EndpointCall::Stop { .. }));
    let done = EndpointReply::Done { clock: 0 };
    host.act(|agent, out| agent.handle_reply(stop, Ok(done), START, out));
    let cut_off = earlier_ends(MAX_LISTED_ENDS);
    for millis in (50..400).step_by(50) {
        let now = START.after_millis(millis);
        host.tick(now);
        while let Some((number, _)) = host.calls.pop() {
            host.reply(number, now, &[], &cut_off);
        }
    }
    assert_eq!(host.ends, []);
    let later = START.after_millis(450);
    host.tick(later);
    let hold = host.take_hold();
    let mut end = all_ends(1, 1).remove(0);
    end.sequence = u64::from(MAX_LISTED_ENDS) + 1;
    host.reply(hold, later, &[], &[end.clone()]);
    assert_eq!(host.ends, [(end.task, Outcome::Done)]);
}

/// Guards against a run that is stopped as too long though it has ended beyond the listed ends.
#[test]
fn run_is_not_stopped_as_too_long_while_ends_are_hidden() {
    let mut host = Host::new();
    host.start_job(0, 1, 30, START);
    let cut_off = earlier_ends(MAX_LISTED_ENDS);
    for millis in (50..6_000).step_by(50) {
        let now = START.after_millis(millis);
        host.tick(now);
        while let Some((number, call)) = host.calls.pop() {
            assert!(matches!(call, EndpointCall::Hold { .. }), "{call:?}");
            host.reply(number, now, &[], &cut_off);
        }
    }
    assert_eq!(host.ends, []);
}

/// Guards against ends beyond those that an endpoint lists: an agent starts runs though unacknowledged
/// ends are as many.
#[test]
fn no_run_starts_while_its_end_might_not_be_listed() {
    let mut host = Host::new();
    host.start_job(0, 1, 30, START);
    let hold = host.take_hold();
    let mut ends = earlier_ends(479);
    host.reply(hold, START, &[running(0)], &ends);
    host.order(1, 1, 30, START);
    let task = TaskKey {
        job: job_id(1),
        step: 0,
        index: 0,
    };
    assert_eq!(host.ends, [(task, Outcome::Unavailable)]);
    host.tick(START.after_millis(10));
    assert!(!host.is_ready);
    let runs = ends.drain(..).map(|end| TaskRun {
        task: end.task,
        run: end.run,
    });
    let acknowledged = EntryFrame::Acknowledge(runs.collect());
    host.act(|agent, out| agent.handle_frame(LINK, acknowledged, START.after_millis(20), out));
    host.tick(START.after_millis(140));
    assert!(host.is_ready);
    host.start_job(2, 1, 30, START.after_millis(140));
}

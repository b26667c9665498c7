//! What an agent concludes from the lists of runs and ends of its endpoint.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndEntry, EndReason, EndpointCall,
    EndpointReply, RunEntry,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointSpeed, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo,
    Order, Registration, Resources, TaskKey,
};

const START: Time = Time::from_millis(10_000);
const LINK: LinkNo = LinkNo(1);

/// An agent with one endpoint, and the calls that it has made.
struct Host {
    agent: Agent,
    calls: Vec<(CallNo, EndpointCall)>,
    /// The last reported slowness, in percent.
    slowness: u32,
    /// The last reported lasting speed.
    speed: EndpointSpeed,
    now: Time,
}

impl Host {
    /// Returns a host whose endpoint has capacity for all tasks of a job and runs nothing.
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
            slowness: 100,
            speed: EndpointSpeed::default(),
            now: START,
        };
        host.act(|agent, out| agent.handle_heartbeat(registration(1), START, out));
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
                } => self.slowness = load.slowness,
                Action::Send {
                    frame: AgentFrame::Speed(speed),
                    ..
                } => self.speed = speed,
                _ => {}
            }
        }
    }

    /// Runs one task of a job to its end; `nominal_ms` is its expected run time.
    fn run_job(&mut self, number: u16, nominal_ms: u32, elapsed_ms: u64, reason: EndReason) {
        let heartbeat = registration(u64::from(number) + 2);
        let now = self.now;
        self.act(|agent, out| agent.handle_heartbeat(heartbeat, now, out));
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
            clock: 0,
            running: running.to_vec(),
            ended: ended.to_vec(),
        };
        self.act(|agent, out| agent.handle_reply(number, Ok(reply), now, out));
    }

    /// Orders a job, and confirms the start of all of its tasks.
    fn start_job(&mut self, number: u16, tasks: u16, expected_ms: u32, now: Time) {
        let order = Order {
            job: job_id(number),
            step: 0,
            indexes: (0..tasks).collect(),
            service: "service".to_owned(),
            spec: String::new(),
            needs: Resources {
                cpu: 1_000,
                memory: 1,
                accelerators: 0,
            },
            expected_ms,
            nominal_ms: expected_ms,
            slack_ms: 100,
            remaining_ms: 1_500,
            max_run_ms: 5_000,
            is_durable: false,
            epoch: 0,
            checkpoints: Vec::new(),
            gang: false,
            long_running: false,
            ticket: None,
        };
        self.act(|agent, out| agent.handle_frame(LINK, EntryFrame::Start(order), now, out));
        for _ in 0..tasks {
            let start = self.take_call(|call| matches!(call, EndpointCall::Start { .. }));
            let done = EndpointReply::Done { clock: 0 };
            self.act(|agent, out| agent.handle_reply(start, Ok(done), now, out));
        }
    }
}

fn registration(sequence: u64) -> Registration {
    Registration {
        id: EndpointId("e-1".to_owned()),
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: Resources {
            cpu: 8_000,
            memory: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        state: EndpointState::Ready,
        sequence,
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

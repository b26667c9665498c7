//! An agent beside a scripted endpoint, with two links to entries.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndEntry, EndReason, EndpointCall,
    EndpointReply, RunEntry, StartRefusal,
};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointState, EntryFrame, JobId, LeaseTimes, LinkNo, Order, Outcome,
    Registration, Resources, TaskKey,
};

pub(crate) const START: Time = Time::from_millis(10_000);

/// The link of an entry that stays.
pub(crate) const KEPT_LINK: LinkNo = LinkNo(1);

/// The link of an entry that is lost, or stops its job.
pub(crate) const LOST_LINK: LinkNo = LinkNo(2);

pub(crate) const KEPT_JOB: u64 = 1;
pub(crate) const UNWANTED_JOB: u64 = 2;
pub(crate) const LATER_JOB: u64 = 3;

/// The time after which callers send a job again, in milliseconds.
pub(crate) const RESEND_MS: u64 = 1_300;

/// The longest time that an endpoint takes to stop a run, in milliseconds.
const STOP_MS: u64 = 50;

/// The longest lease of an endpoint, in milliseconds of its clock.
const MAX_LEASE_MS: i64 = 1_000;

/// The interval at which entries return the status of the agent, in milliseconds.
pub(crate) const RENEW_INTERVAL_MS: u64 = 100;

/// How the entry of a run stops wanting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Its link is reset.
    Reset,
    /// It returns no status any more.
    Silent,
    /// It stops the run, since its caller has left.
    Stop,
    /// It stops the run, and awaits the report of its end.
    StopWithReport,
}

/// What an endpoint answers to stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReply {
    Done,
    /// Nothing, and the stop is not carried out.
    Nothing,
    /// That it is unhealthy.
    Unhealthy,
    /// Done, but the run goes on, and calls that ask for the lists are not answered at once.
    Late,
    /// Done, and the run is listed no more, but ends [`STOP_MS`] later.
    Unlisted,
}

/// A run at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LiveRun {
    task: TaskKey,
    number: u32,
    /// When it ends, if it was stopped and goes on without being listed.
    ends_at: Option<u64>,
}

/// An agent with an endpoint whose clock is slow by two percent.
pub(crate) struct Host {
    agent: Agent,
    calls: Vec<(CallNo, EndpointCall)>,
    pub(crate) running: Vec<LiveRun>,
    ended: Vec<EndEntry>,
    last_end: u64,
    /// The end of the lease, in milliseconds of the endpoint's clock.
    lease: i64,
    pub(crate) stops: StopReply,
    /// The links that entries renew.
    pub(crate) renewed: Vec<LinkNo>,
    /// The ends that were reported, with their links.
    pub(crate) reports: Vec<(LinkNo, JobId, Outcome)>,
    /// The numbers of the runs in these reports.
    pub(crate) reported_runs: Vec<u32>,
    /// Whether the endpoint carries out starts, but does not answer them.
    pub(crate) hides_starts: bool,
    /// What the endpoint answers to starts that it carries out, if not that they are done.
    pub(crate) start_reply: Option<EndpointReply>,
    /// The tasks in the last list of orphaned runs.
    pub(crate) orphaned: Vec<TaskKey>,
    sends_heartbeats: bool,
    /// Whether the endpoint has ended, so that connections are refused.
    pub(crate) has_ended: bool,
    pub(crate) is_ready: bool,
    pub(crate) elapsed: u64,
}

impl Host {
    pub(crate) fn new() -> Self {
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
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            lease: 0,
            stops: StopReply::Done,
            renewed: vec![KEPT_LINK, LOST_LINK],
            reports: Vec::new(),
            reported_runs: Vec::new(),
            hides_starts: false,
            start_reply: None,
            orphaned: Vec::new(),
            sends_heartbeats: true,
            has_ended: false,
            is_ready: false,
            elapsed: 0,
        };
        host.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(registration(1), now, out);
            handled.expect("a consistent heartbeat");
        });
        host.answer_calls();
        host.act(|agent, now, out| agent.link_up(KEPT_LINK, now, out));
        host.act(|agent, now, out| agent.link_up(LOST_LINK, now, out));
        host.run_ms(10);
        host
    }

    /// Returns the reading of the endpoint's clock.
    fn clock(&self) -> i64 {
        (self.elapsed * 98 / 100) as i64
    }

    pub(crate) fn act(&mut self, act: impl FnOnce(&mut Agent, Time, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.agent, START.after_millis(self.elapsed), &mut out);
        for action in out {
            match action {
                Action::Call { number, call, .. } => self.calls.push((number, call)),
                Action::Send {
                    frame: AgentFrame::Status { load, .. },
                    ..
                } => self.is_ready = load.ready,
                Action::Send {
                    frame: AgentFrame::Orphaned(tasks),
                    ..
                } => self.orphaned = tasks,
                Action::Send {
                    link,
                    frame: AgentFrame::Ended(ends),
                } => {
                    self.reported_runs.extend(ends.iter().map(|end| end.run));
                    let ends = ends.into_iter();
                    let reports = ends.map(|end| (link, end.task.job, end.outcome));
                    self.reports.extend(reports);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn order(&mut self, link: LinkNo, job: u64) {
        self.send_order(link, order(job));
    }

    pub(crate) fn send_order(&mut self, link: LinkNo, order: Order) {
        self.act(|agent, now, out| agent.handle_frame(link, EntryFrame::Start(order), now, out));
    }

    pub(crate) fn stop(&mut self, link: LinkNo, job: u64) {
        let frame = EntryFrame::Stop {
            job: key(job).job,
            tasks: Vec::new(),
            report: false,
        };
        self.act(|agent, now, out| agent.handle_frame(link, frame, now, out));
    }

    /// Lets the endpoint drain.
    pub(crate) fn drain(&mut self) {
        let registered = Registration {
            state: EndpointState::Draining,
            ..registration(self.elapsed + 1)
        };
        self.act(|agent, now, out| {
            let handled = agent.handle_heartbeat(registered, now, out);
            handled.expect("a consistent heartbeat");
        });
    }

    /// Lets the endpoint deregister and send no more heartbeats.
    pub(crate) fn deregister(&mut self) {
        self.sends_heartbeats = false;
        let incarnation = registration(0).incarnation();
        self.act(|agent, now, out| agent.handle_deregistration(&incarnation, now, out));
    }

    /// Ends the run of a job at the endpoint.
    pub(crate) fn end_run(&mut self, job: u64) {
        let is_ended = |run: &mut LiveRun| run.task == key(job);
        let ended: Vec<LiveRun> = self.running.extract_if(.., is_ended).collect();
        ended.into_iter().for_each(|run| self.record_end(run));
    }

    pub(crate) fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis {
            self.elapsed += 1;
            self.expire_runs();
            self.answer_calls();
            if self.elapsed.is_multiple_of(RENEW_INTERVAL_MS) {
                let registered = registration(1 + self.elapsed);
                if self.sends_heartbeats {
                    self.act(|agent, now, out| {
                        let handled = agent.handle_heartbeat(registered, now, out);
                        handled.expect("a consistent heartbeat");
                    });
                }
                for link in self.renewed.clone() {
                    self.act(|agent, now, out| {
                        let sent = now.as_micros();
                        agent.handle_frame(link, EntryFrame::Renew { sent }, now, out);
                    });
                }
            }
            self.act(|agent, now, out| {
                if now >= agent.next_wake() {
                    agent.tick(now, out);
                }
            });
        }
    }

    /// Extends the lease, by no more than a lease may last.
    fn extend_lease(&mut self, lease: i64) {
        self.lease = self.lease.max(lease.min(self.clock() + MAX_LEASE_MS));
    }

    /// Lets time pass while the agent does nothing.
    pub(crate) fn run_without_agent_ms(&mut self, millis: u64) {
        self.elapsed += millis;
        self.expire_runs();
    }

    /// Ends the runs whose stop has taken its time, and all runs if the lease has expired.
    fn expire_runs(&mut self) {
        let elapsed = self.elapsed;
        let is_over = |run: &mut LiveRun| run.ends_at.is_some_and(|at| elapsed >= at);
        let over: Vec<LiveRun> = self.running.extract_if(.., is_over).collect();
        over.into_iter().for_each(|run| self.record_end(run));
        if self.clock() >= self.lease {
            for run in std::mem::take(&mut self.running) {
                self.record_end(run);
            }
        }
    }

    fn record_end(&mut self, run: LiveRun) {
        self.last_end += 1;
        self.ended.push(EndEntry {
            sequence: self.last_end,
            task: run.task,
            run: run.number,
            reason: EndReason::Cut,
            checkpoint: None,
        });
    }

    pub(crate) fn answer_calls(&mut self) {
        for (number, call) in std::mem::take(&mut self.calls) {
            let outcome = self.answer(call);
            self.act(|agent, now, out| agent.handle_reply(number, outcome, now, out));
        }
    }

    fn answer(&mut self, call: EndpointCall) -> Result<EndpointReply, CallFailure> {
        if self.has_ended {
            return Err(CallFailure::Refused);
        }
        let clock = self.clock();
        match call {
            EndpointCall::Start {
                task, run, lease, ..
            } => {
                if lease <= clock {
                    return Ok(EndpointReply::Refused {
                        clock: Some(clock),
                        reason: StartRefusal::LeasePassed,
                    });
                }
                self.extend_lease(lease);
                self.running.push(LiveRun {
                    task,
                    number: run,
                    ends_at: None,
                });
                if self.hides_starts {
                    return Err(CallFailure::NoReply);
                }
                let done = EndpointReply::Done { clock };
                Ok(self.start_reply.clone().unwrap_or(done))
            }
            EndpointCall::Stop { task, run, .. } => match self.stops {
                StopReply::Done => {
                    let is_stopped = |live: &mut LiveRun| live.task == task && live.number == run;
                    let stopped: Vec<LiveRun> = self.running.extract_if(.., is_stopped).collect();
                    stopped.into_iter().for_each(|run| self.record_end(run));
                    Ok(EndpointReply::Done { clock })
                }
                StopReply::Nothing => Err(CallFailure::NoReply),
                StopReply::Unhealthy => Ok(EndpointReply::Unhealthy),
                StopReply::Late => Ok(EndpointReply::Done { clock }),
                StopReply::Unlisted => {
                    let ends_at = self.elapsed + STOP_MS;
                    let is_stopped = |live: &&mut LiveRun| live.task == task && live.number == run;
                    for live in self.running.iter_mut().filter(is_stopped) {
                        live.ends_at.get_or_insert(ends_at);
                    }
                    Ok(EndpointReply::Done { clock })
                }
            },
            EndpointCall::Hold { acked, lease, .. } => {
                self.ended.retain(|end| end.sequence > acked);
                self.extend_lease(lease.unwrap_or_default());
                let listed = self.running.iter().filter(|run| run.ends_at.is_none());
                let listed = listed.map(|run| RunEntry {
                    task: run.task.clone(),
                    run: run.number,
                    progress: None,
                    checkpoint: None,
                });
                Ok(EndpointReply::Held {
                    born: 0,
                    clock,
                    running: listed.collect(),
                    ended: self.ended.clone(),
                })
            }
        }
    }

    pub(crate) fn is_running(&self, job: u64) -> bool {
        self.running.iter().any(|run| run.task == key(job))
    }

    /// Lets an entry stop wanting its run; returns when it was last certainly alive, in
    /// milliseconds.
    pub(crate) fn lose(&mut self, loss: Loss) -> u64 {
        let heard = self.elapsed - self.elapsed % RENEW_INTERVAL_MS;
        match loss {
            Loss::Reset => {
                self.renewed.retain(|link| *link != LOST_LINK);
                self.act(|agent, now, out| agent.link_down(LOST_LINK, now, out));
            }
            Loss::Silent => self.renewed.retain(|link| *link != LOST_LINK),
            Loss::Stop | Loss::StopWithReport => {
                let frame = EntryFrame::Stop {
                    job: key(UNWANTED_JOB).job,
                    tasks: Vec::new(),
                    report: loss == Loss::StopWithReport,
                };
                self.act(|agent, now, out| agent.handle_frame(LOST_LINK, frame, now, out));
            }
        }
        heard
    }
}

pub(crate) fn lease_times() -> LeaseTimes {
    LeaseTimes::new(RESEND_MS, MAX_LEASE_MS as u64, STOP_MS).expect("valid lease times")
}

pub(crate) fn key(job: u64) -> TaskKey {
    TaskKey {
        job: JobId(format!("{job:016x}")),
        step: 0,
        index: 0,
    }
}

pub(crate) fn order(job: u64) -> Order {
    Order {
        job: key(job).job,
        step: 0,
        indexes: vec![0],
        service: "service".to_owned(),
        route: "route".to_owned(),
        spec: String::new(),
        needs: Resources {
            cpu: 1_000,
            memory: 1,
            accelerators: 0,
        },
        priority: 0,
        expected_ms: 3_600,
        nominal_ms: 3_600,
        slack_ms: 0,
        remaining_ms: u32::MAX,
        watch_ms: 0,
        is_quarantined: false,
        max_run_ms: u32::MAX,
        is_durable: false,
        epoch: 0,
        last_runs: Vec::new(),
        checkpoints: Vec::new(),
        gang: false,
        long_running: false,
        ticket: None,
    }
}

pub(crate) fn registration(sequence: u64) -> Registration {
    Registration {
        id: EndpointId("e-1".to_owned()),
        born: 0,
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        capacity: Resources {
            cpu: 8_000,
            memory: 65_536,
            accelerators: 0,
        },
        labels: Vec::new(),
        state: EndpointState::Ready,
        cold_remaining_ms: 0,
        sequence,
    }
}

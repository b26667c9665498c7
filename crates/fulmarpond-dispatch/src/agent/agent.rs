//! The agent.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::endpoint::Endpoint;
use super::health::Health;
use super::links::Links;
use super::queue::Queue;
use super::run::{Phase, Run, Then};
use super::{
    Action, CallFailure, CallNo, EndEntry, EndHow, EndpointCall, EndpointReply, RunEntry,
    StartRefusal,
};
use crate::entry::Configuration;
use crate::{
    AgentFrame, Backlog, Bounds, Counters, EndpointState, EndpointStatus, EntryFrame, JobId,
    LinkNo, Needs, Order, Outcome, Registration, TaskEnd, TaskKey,
};

/// How long a start or a stop may go without a reply, in milliseconds. The endpoint is on the same
/// host and answers within a few.
const ORDER_TIMEOUT_MS: u64 = 20;

/// How long a hold may go without a reply beyond its wait, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 15;

/// The shortest and the longest wait of a hold for an end at the endpoint, in milliseconds.
const HOLD_WAIT_MS: (u64, u64) = (15, 80);

/// The wait of a hold as a multiple of the expected time until the next end, in percent. A hold
/// without a reply hides all ends until it times out, so its wait follows the rate of ends.
const HOLD_WAIT_PERCENT: u64 = 100;

/// An endpoint that answers no call for so long counts as unreachable, in milliseconds.
const SILENCE_MS: u64 = 500;

/// The shortest and the longest time between two statuses on a link, in milliseconds.
const STATUS_MS: (u64, u64) = (5, 120);

/// The pause after a hold without a reply, in milliseconds.
const HOLD_RETRY_MS: u64 = 10;

/// The pause after a hold that listed only ends that are held, in milliseconds.
const HELD_PAUSE_MS: u64 = 10;

/// How long run numbers of ended tasks are remembered, in milliseconds.
const NUMBER_MEMORY_MS: u64 = 20_000;

/// A run counts as overdue at this multiple of its expected time, plus [`OVERDUE_MS`].
const OVERDUE_FACTOR: u64 = 3;

/// See [`OVERDUE_FACTOR`], in milliseconds.
const OVERDUE_MS: u64 = 100;

/// The target of log lines about tasks that go well.
const ROUTINE: &str = "routine";

/// How an agent is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentOptions {
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Addresses to reach entries at, until these name others.
    pub seeds: Vec<SocketAddr>,
    /// The times of leases.
    pub bounds: Bounds,
    /// The interval of the endpoint's heartbeats, in milliseconds.
    pub beat_ms: u64,
    /// The fencing token to begin with.
    pub fence: u64,
}

/// Why a call was made.
#[derive(Debug, Clone)]
enum Purpose {
    Start(TaskKey, u32),
    Stop(TaskKey, u32),
    /// Stops a run that this process did not start.
    StopOrphan,
    Hold,
    /// Looks whether a run that was stopped is over.
    Look(TaskKey, u32),
    /// Asks whether a registration speaks for the present incarnation.
    Probe(Registration),
}

/// The process beside an endpoint.
#[derive(Debug)]
pub struct Agent {
    options: AgentOptions,
    fence: u64,
    /// How much the token is raised after a refusal.
    raise: u64,
    links: Links,
    endpoint: Option<Endpoint>,
    runs: HashMap<TaskKey, Run>,
    queue: Queue,
    calls: HashMap<CallNo, Purpose>,
    next_call: u64,
    /// The last run number of tasks that ended here.
    numbers: HashMap<TaskKey, (u32, Time)>,
    used: Needs,
    health: Health,
    ends: HashMap<LinkNo, Vec<TaskEnd>>,
    starts: HashMap<LinkNo, Vec<TaskKey>>,
    changed: bool,
    last_status: Time,
    next_check: Time,
    leaving: bool,
    /// The newest configuration that entries have given; the agent itself does not use it.
    configuration: Option<Configuration>,
    /// The decisions since the start.
    pub counters: Counters,
}

impl Agent {
    /// Creates an agent without endpoint and links.
    pub fn new(options: AgentOptions, now: Time) -> Self {
        let mut links = Links::default();
        links.learn(&options.seeds, now);
        Self {
            fence: options.fence,
            raise: 1 << 10,
            options,
            links,
            endpoint: None,
            runs: HashMap::new(),
            queue: Queue::default(),
            calls: HashMap::new(),
            next_call: 1,
            numbers: HashMap::new(),
            used: Needs::default(),
            health: Health::new(now),
            ends: HashMap::new(),
            starts: HashMap::new(),
            changed: true,
            last_status: Time::default(),
            next_check: now,
            leaving: false,
            configuration: None,
            counters: Counters::default(),
        }
    }

    /// Replaces the addresses to reach entries at that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Time) {
        self.links.learn(seeds, now);
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn wake(&self) -> Time {
        let status = if self.changed {
            self.last_status.after_millis(STATUS_MS.0)
        } else {
            self.last_status.after_millis(STATUS_MS.1)
        };
        status.min(self.next_check).min(self.links.next_dial())
    }

    /// Returns whether no task is left.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many tasks wait and how many are at the endpoint.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Queued)
            .count();
        (waiting, self.runs.len() - waiting)
    }

    /// Returns how many entries are linked.
    pub fn links(&self) -> usize {
        self.links.up.len()
    }

    /// Stops taking tasks; what runs goes on.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        info!(runs = self.runs.len(), "agent takes no more tasks");
        self.leaving = true;
        self.return_queue(now);
        self.send_status(now, out);
    }

    /// Ends everything that still runs.
    pub fn stop_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, Then::Report(Outcome::Aborted), now, out);
        }
        self.send_news(out);
    }

    // Links.

    /// Notes that a link is being opened.
    pub fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        self.links.dialed(addr, link);
    }

    /// Notes that a link is established.
    pub fn link_up(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let lease = now.after_millis(self.options.bounds.link_ms);
        self.links.opened(link, lease, now);
        let hello = AgentFrame::Hello {
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            version: self.version(),
        };
        out.push(Action::Send { link, frame: hello });
        out.push(Action::Send {
            link,
            frame: self.describe(),
        });
        self.send_status(now, out);
    }

    /// Notes that a link is closed: the runs of its entry end.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let Some(closed) = self.links.closed(link, now) else {
            return;
        };
        self.counters.links_lost += 1;
        let tasks = self.tasks_of(link);
        warn!(
            entry = closed.entry,
            runs = tasks.len(),
            "link to entry lost"
        );
        for task in tasks {
            self.end_run(&task, Then::Forget, now, out);
        }
        self.ends.remove(&link);
        self.starts.remove(&link);
        self.fill(now, out);
    }

    /// Takes a frame of an entry.
    pub fn frame(&mut self, link: LinkNo, frame: EntryFrame, now: Time, out: &mut Vec<Action>) {
        let Some(state) = self.links.up.get_mut(&link) else {
            return;
        };
        match frame {
            EntryFrame::Hello { name, version } => {
                info!(entry = name, "link to entry established");
                state.entry = name;
                self.hand_on(link, version, out);
            }
            EntryFrame::Configuration(configuration) => self.keep(configuration),
            EntryFrame::Renew { sent } => {
                let lease = Time::from_micros(sent).after_millis(self.options.bounds.link_ms);
                state.lease = state.lease.max(lease);
            }
            EntryFrame::Start(order) => {
                state.orders += 1;
                self.order(link, &order, now, out);
            }
            EntryFrame::Stop { job, tasks } => self.stop_tasks(link, &job, &tasks, now, out),
            EntryFrame::Noted(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.held.noted(&runs);
                }
                self.hold(now, out);
            }
            EntryFrame::Obsolete(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.held.obsolete(&runs, now);
                }
            }
            EntryFrame::Withdraw(job) => self.withdraw(link, &job, now, out),
            EntryFrame::Entries(addrs) => self.links.learn(&addrs, now),
        }
    }

    /// Returns the version of the configuration that is kept; 0 for none.
    fn version(&self) -> u64 {
        let kept = self.configuration.as_ref();
        kept.map_or(0, |configuration| configuration.version)
    }

    fn keep(&mut self, configuration: Configuration) {
        if configuration.version > self.version() {
            debug!(version = configuration.version, "configuration kept");
            self.configuration = Some(configuration);
        }
    }

    /// Gives an entry the configuration that is kept here if the entry's is older.
    fn hand_on(&self, link: LinkNo, version: u64, out: &mut Vec<Action>) {
        if let Some(configuration) = &self.configuration
            && configuration.version > version
        {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Configuration(configuration.clone()),
            });
        }
    }

    fn describe(&self) -> AgentFrame {
        match &self.endpoint {
            Some(endpoint) => AgentFrame::Endpoint {
                service: endpoint.about.service.clone(),
                capacity: endpoint.about.capacity,
                labels: endpoint.about.labels.clone(),
            },
            None => AgentFrame::Endpoint {
                service: String::new(),
                capacity: Needs::default(),
                labels: Vec::new(),
            },
        }
    }

    fn describe_to_all(&mut self, out: &mut Vec<Action>) {
        for &link in self.links.up.keys() {
            let frame = self.describe();
            out.push(Action::Send { link, frame });
        }
        self.changed = true;
    }

    // Orders.

    fn order(&mut self, link: LinkNo, order: &Order, now: Time, out: &mut Vec<Action>) {
        let refusal = self.refusal(order, now);
        for &index in &order.indexes {
            let task = TaskKey {
                job: order.job.clone(),
                step: order.step,
                index,
            };
            // A run of the same task for another entry has to be over before this one starts.
            let outcome = refusal.or_else(|| {
                let known = self.runs.contains_key(&task);
                known.then_some(Outcome::Unavailable)
            });
            if let Some(outcome) = outcome {
                info!(job = %task.job, %task, ?outcome, ready = self.is_ready(now), "task refused");
                if self.runs.get(&task).is_some_and(|run| run.link != link) {
                    self.end_run(&task, Then::Forget, now, out);
                }
                self.report(link, task, outcome, 0, 0);
                continue;
            }
            let start_by = now.after_millis(u64::from(order.slack));
            let run = Run {
                link,
                number: self.numbers.get(&task).map_or(0, |(last, _)| *last),
                spec: order.spec.clone(),
                needs: order.needs,
                expected: order.expected,
                start_by,
                deadline: match order.remaining {
                    u32::MAX => Time::MAX,
                    remaining => now.after_millis(u64::from(remaining)),
                },
                limit: order.limit,
                kept: order.kept,
                fresh: order.slack > 0 && !order.kept,
                phase: Phase::Queued,
            };
            self.queue.push(start_by, task.clone());
            self.runs.insert(task, run);
        }
        self.changed = true;
        self.fill(now, out);
        self.send_news(out);
    }

    fn refusal(&self, order: &Order, now: Time) -> Option<Outcome> {
        let Some(endpoint) = &self.endpoint else {
            return Some(Outcome::Unavailable);
        };
        if self.leaving || !endpoint.takes_tasks(now) || endpoint.about.service != order.service {
            return Some(Outcome::Unavailable);
        }
        let fits = order.needs.fits(endpoint.about.capacity);
        (!fits).then_some(Outcome::NoRoom)
    }

    fn is_ready(&self, now: Time) -> bool {
        let endpoint = self.endpoint.as_ref();
        !self.leaving && endpoint.is_some_and(|endpoint| endpoint.takes_tasks(now))
    }

    /// Starts waiting tasks while there is room.
    fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let Some(endpoint) = &self.endpoint else {
                return;
            };
            if self.queue.is_empty() || !endpoint.takes_tasks(now) {
                return;
            }
            let free = endpoint.about.capacity.minus(self.used);
            let fits = |task: &TaskKey| {
                let run = self.runs.get(task);
                run.is_some_and(|run| run.needs.fits(free))
            };
            let Some(task) = self.queue.first(fits) else {
                return;
            };
            self.start(&task, now, out);
        }
    }

    fn start(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        self.queue.remove(run.start_by, task);
        self.used = self.used.plus(run.needs);
        run.number += 1;
        run.phase = Phase::Starting;
        self.starts.entry(run.link).or_default().push(task.clone());
        let (number, spec) = (run.number, run.spec.clone());
        self.counters.started += 1;
        self.send_start(task, number, spec, now, out);
    }

    fn send_start(
        &mut self,
        task: &TaskKey,
        run: u32,
        spec: String,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let lease = self.extend(now);
        let call = EndpointCall::Start {
            task: task.clone(),
            run,
            spec,
            lease,
            fence: self.fence,
        };
        let purpose = Purpose::Start(task.clone(), run);
        self.call(purpose, call, ORDER_TIMEOUT_MS, now, out);
        self.hold(now, out);
    }

    /// Returns the end of a lease that begins now, on the endpoint's clock.
    fn extend(&mut self, now: Time) -> i64 {
        let bounds = self.options.bounds;
        let Some(endpoint) = &mut self.endpoint else {
            return 0;
        };
        endpoint.lapse = now.after_millis(bounds.lapse_ms());
        let clock = endpoint.clock.at(now).unwrap_or_default();
        clock + i64::try_from(bounds.run_ms).unwrap_or_default()
    }

    fn stop_tasks(
        &mut self,
        link: LinkNo,
        job: &JobId,
        tasks: &[(u16, u16)],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let listed: Vec<TaskKey> = if tasks.is_empty() {
            let of_job = self.tasks_of(link).into_iter();
            of_job.filter(|task| task.job == *job).collect()
        } else {
            let key = |&(step, index): &(u16, u16)| TaskKey {
                job: job.clone(),
                step,
                index,
            };
            tasks.iter().map(key).collect()
        };
        for task in listed {
            if self.runs.get(&task).is_some_and(|run| run.link == link) {
                self.end_run(&task, Then::Forget, now, out);
            }
        }
        self.fill(now, out);
        self.send_news(out);
    }

    fn withdraw(&mut self, link: LinkNo, job: &JobId, now: Time, out: &mut Vec<Action>) {
        let of_job = self.runs.iter().filter(|(task, run)| {
            run.link == link && task.job == *job && run.phase == Phase::Queued
        });
        let waiting: Vec<TaskKey> = of_job.map(|(task, _)| task.clone()).collect();
        for task in waiting {
            self.end_run(&task, Then::Report(Outcome::Unavailable), now, out);
        }
        self.send_news(out);
    }

    fn tasks_of(&self, link: LinkNo) -> Vec<TaskKey> {
        let of_link = self.runs.iter().filter(|(_, run)| run.link == link);
        of_link.map(|(task, _)| task.clone()).collect()
    }

    /// Ends a task: a waiting one at once, a running one by a stop.
    fn end_run(&mut self, task: &TaskKey, then: Then, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Queued => {
                self.queue.remove(run.start_by, task);
                let report = (then != Then::Forget).then_some(Outcome::Unavailable);
                self.finish(task, report, 0);
            }
            Phase::Stopping { then: planned, .. } => {
                if *planned != Then::Forget {
                    *planned = then;
                }
            }
            Phase::Starting | Phase::Running { .. } => {
                self.counters.stopped += 1;
                run.phase = Phase::Stopping {
                    then,
                    resend: now.after_millis(ORDER_TIMEOUT_MS + HOLD_RETRY_MS),
                    over: Time::MAX,
                };
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
        }
    }

    fn send_stop(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let call = EndpointCall::Stop {
            task: task.clone(),
            run,
            fence: self.fence,
        };
        let purpose = Purpose::Stop(task.clone(), run);
        self.call(purpose, call, ORDER_TIMEOUT_MS, now, out);
    }

    /// Forgets a task, and reports its end if `outcome` says so.
    fn finish(&mut self, task: &TaskKey, outcome: Option<Outcome>, elapsed: u64) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        if run.phase.uses_room() {
            self.used = self.used.minus(run.needs);
        }
        if let Some(outcome) = outcome {
            let elapsed = u32::try_from(elapsed).unwrap_or(u32::MAX);
            self.report(run.link, task.clone(), outcome, run.number, elapsed);
        }
        self.changed = true;
    }

    fn report(&mut self, link: LinkNo, task: TaskKey, outcome: Outcome, run: u32, elapsed: u32) {
        let end = TaskEnd {
            task,
            outcome,
            run,
            elapsed,
        };
        self.ends.entry(link).or_default().push(end);
    }

    fn send_news(&mut self, out: &mut Vec<Action>) {
        for (link, starts) in self.starts.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Started(starts),
            });
        }
        for (link, ends) in self.ends.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Ended(ends),
            });
        }
    }

    fn return_queue(&mut self, now: Time) {
        let waiting: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Queued)
            .map(|(task, _)| task.clone())
            .collect();
        for task in waiting {
            self.end_run(
                &task,
                Then::Report(Outcome::Unavailable),
                now,
                &mut Vec::new(),
            );
        }
    }

    // Endpoint.

    /// Takes a heartbeat of an endpoint.
    pub fn beat(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            self.adopt(about, now, out);
            return;
        };
        if endpoint.about.id != about.id {
            // A delayed heartbeat of an earlier incarnation looks the same as the first of a new
            // one; only the endpoint itself can tell.
            self.probe(about, out);
            return;
        }
        let known = (endpoint.about.capacity, endpoint.about.state);
        if !endpoint.beat(about, now, self.options.beat_ms) {
            return;
        }
        if known != (endpoint.about.capacity, endpoint.about.state) {
            let id = &endpoint.about.id;
            info!(endpoint = %id, state = ?endpoint.about.state, "endpoint changed");
            let draining = endpoint.about.state == EndpointState::Draining;
            self.describe_to_all(out);
            if draining {
                self.return_queue(now);
            }
        }
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| !known.reachable || !known.settled)
        {
            self.hold(now, out);
        }
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Notes that an endpoint has ended.
    pub fn left(&mut self, id: &str, now: Time, out: &mut Vec<Action>) {
        if self
            .endpoint
            .as_ref()
            .is_some_and(|known| known.about.id.0 == id)
        {
            info!(endpoint = id, "endpoint left");
            self.lose_endpoint(now, out);
        }
    }

    fn adopt(&mut self, about: Registration, now: Time, out: &mut Vec<Action>) {
        info!(endpoint = %about.id, service = about.service, cpu = about.capacity.cpu, "endpoint found");
        self.health = Health::new(now);
        self.endpoint = Some(Endpoint::new(about, now, self.options.beat_ms));
        self.describe_to_all(out);
        self.hold(now, out);
    }

    fn probe(&mut self, about: Registration, out: &mut Vec<Action>) {
        let probing = |purpose: &Purpose| matches!(purpose, Purpose::Probe(_));
        if self.calls.values().any(probing) {
            return;
        }
        let number = self.fresh_call();
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: 0,
            lease: None,
            wait: 0,
        };
        out.push(Action::Call {
            number,
            to: about.id.clone(),
            addr: about.addr,
            call,
            timeout: HOLD_TIMEOUT_MS,
        });
        self.calls.insert(number, Purpose::Probe(about));
    }

    /// Forgets the endpoint: everything that ran there is over.
    fn lose_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lost) = self.endpoint.take() else {
            return;
        };
        warn!(endpoint = %lost.about.id, runs = self.runs.len(), "endpoint lost");
        self.calls
            .retain(|_, purpose| matches!(purpose, Purpose::Probe(_)));
        self.numbers.clear();
        self.end_everything(now);
        self.describe_to_all(out);
        self.send_status(now, out);
        self.send_news(out);
    }

    /// Reports the end of all tasks, when nothing can run at the endpoint any more.
    fn end_everything(&mut self, now: Time) {
        self.return_queue(now);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            let report = match self.runs[&task].phase {
                Phase::Stopping {
                    then: Then::Forget, ..
                } => None,
                _ => Some(Outcome::Aborted),
            };
            self.finish(&task, report, 0);
        }
    }

    const fn fresh_call(&mut self) -> CallNo {
        let number = CallNo(self.next_call);
        self.next_call += 1;
        number
    }

    fn call(
        &mut self,
        purpose: Purpose,
        call: EndpointCall,
        timeout: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let number = self.fresh_call();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if matches!(purpose, Purpose::Hold) {
            endpoint.hold = Some(number);
        }
        endpoint.answer_by = endpoint.answer_by.min(now.after_millis(SILENCE_MS));
        out.push(Action::Call {
            number,
            to: endpoint.about.id.clone(),
            addr: endpoint.about.addr,
            call,
            timeout,
        });
        self.calls.insert(number, purpose);
    }

    /// Sends a hold, unless one is under way or none is needed.
    fn hold(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let needed = self.used != Needs::default()
            || !self.runs.is_empty()
            || !endpoint.settled
            || !endpoint.held.is_empty()
            || endpoint.held_before
            || !endpoint.reachable;
        if endpoint.hold.is_some() || !needed || now < endpoint.next_hold {
            return;
        }
        let holds_ends = !endpoint.held.is_empty();
        let acked = endpoint.acked();
        // Runs of an earlier process must lapse, and so must those at an endpoint that does not
        // answer: their lease is not extended.
        let extends = endpoint.settled && endpoint.reachable;
        let lease = extends.then(|| self.extend(now));
        let wait = self.next_end() * HOLD_WAIT_PERCENT / 100;
        let wait = if extends {
            wait.clamp(HOLD_WAIT_MS.0, HOLD_WAIT_MS.1)
        } else {
            0
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked,
            lease,
            wait,
        };
        self.call(Purpose::Hold, call, wait + HOLD_TIMEOUT_MS, now, out);
        if let Some(endpoint) = &mut self.endpoint {
            // One more hold takes note of ends that were held until now.
            endpoint.held_before = holds_ends;
        }
    }

    /// Takes the outcome of a call.
    pub fn answered(
        &mut self,
        number: CallNo,
        outcome: Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&number) else {
            return;
        };
        if let Purpose::Probe(about) = purpose {
            self.probed(about, &outcome, now, out);
            return;
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.hold == Some(number) {
            endpoint.hold = None;
        }
        match outcome {
            Ok(EndpointReply::OtherIncarnation) => self.lose_endpoint(now, out),
            Err(CallFailure::Refused) => self.lose_endpoint(now, out),
            Ok(reply) => self.replied(purpose, reply, now, out),
            Err(failure) => self.unanswered(purpose, failure, now, out),
        }
        self.fill(now, out);
        self.hold(now, out);
        self.send_news(out);
    }

    fn probed(
        &mut self,
        about: Registration,
        outcome: &Result<EndpointReply, CallFailure>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let present = matches!(
            outcome,
            Ok(EndpointReply::Held { .. } | EndpointReply::Refused { .. })
        );
        if present {
            self.lose_endpoint(now, out);
            self.adopt(about, now, out);
        } else {
            debug!(endpoint = %about.id, ?outcome, "heartbeat of another incarnation ignored");
        }
    }

    fn replied(
        &mut self,
        purpose: Purpose,
        reply: EndpointReply,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = &mut self.endpoint {
            let clock = match &reply {
                EndpointReply::Done { clock } | EndpointReply::Held { clock, .. } => Some(*clock),
                EndpointReply::Refused { clock, .. } => *clock,
                _ => None,
            };
            if let Some(clock) = clock {
                endpoint.clock.observe(clock, now);
            }
            endpoint.answer_by = Time::MAX;
            if !endpoint.reachable {
                info!(endpoint = %endpoint.about.id, "endpoint answers again");
                endpoint.reachable = true;
                self.changed = true;
            }
        }
        match (purpose, reply) {
            (Purpose::Hold, EndpointReply::Held { running, ended, .. }) => {
                self.pause_hold(&ended, now);
                self.ended(&ended, now, out);
                self.running(&running, now, out);
            }
            (Purpose::Hold, EndpointReply::Refused { .. }) => self.raise_fence(now),
            (Purpose::Hold, _) => self.delay_hold(now),
            (Purpose::Start(task, run), EndpointReply::Done { .. }) => {
                self.started(&task, run, now);
            }
            (Purpose::Start(task, run), EndpointReply::Refused { reason, .. }) => {
                self.start_refused(&task, run, reason, now, out);
            }
            (Purpose::Start(task, run), EndpointReply::Unhealthy) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.called_unhealthy(now);
                }
                self.health.failed();
                self.not_started(&task, run, Outcome::Unavailable);
                self.return_queue(now);
            }
            (Purpose::Start(task, run), reply) => {
                warn!(%task, ?reply, "endpoint did not understand a start");
                self.not_started(&task, run, Outcome::Failed);
            }
            (Purpose::Stop(task, run), EndpointReply::Done { .. }) => {
                self.stop_confirmed(&task, run, now, out);
            }
            (Purpose::Look(task, run), EndpointReply::Held { running, ended, .. }) => {
                self.ended(&ended, now, out);
                self.looked(&task, run, &running, now);
            }
            (Purpose::Stop(..), EndpointReply::Refused { .. }) => self.raise_fence(now),
            (
                Purpose::Stop(..) | Purpose::Look(..) | Purpose::StopOrphan | Purpose::Probe(_),
                _,
            ) => {}
        }
    }

    /// Takes note that a call has no reply: what it was to do may still happen.
    fn unanswered(
        &mut self,
        purpose: Purpose,
        failure: CallFailure,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.unanswered += 1;
        match purpose {
            Purpose::Hold => self.delay_hold(now),
            Purpose::Start(task, run) => {
                let Some(known) = self.runs.get(&task) else {
                    return;
                };
                if known.number != run || known.phase != Phase::Starting {
                    return;
                }
                info!(job = %task.job, %task, run, %failure, "start unanswered, stopping the run");
                self.end_run(&task, Then::Restart, now, out);
            }
            Purpose::Stop(task, run) => {
                if self.is_stopping(&task, run) {
                    self.send_stop(&task, run, now, out);
                }
            }
            Purpose::Look(task, run) => {
                if self.is_stopping(&task, run) {
                    self.look(&task, run, now, out);
                }
            }
            Purpose::StopOrphan | Purpose::Probe(_) => {}
        }
    }

    /// Puts the next hold off if this one only listed ends that are held.
    fn pause_hold(&mut self, ended: &[EndEntry], now: Time) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let news = ended.iter().any(|end| end.number > endpoint.seen);
        if !news && !ended.is_empty() {
            endpoint.next_hold = now.after_millis(HELD_PAUSE_MS);
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    fn delay_hold(&mut self, now: Time) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.next_hold = now.after_millis(HOLD_RETRY_MS);
            self.next_check = self.next_check.min(endpoint.next_hold);
        }
    }

    /// Raises the fencing token after a refusal.
    ///
    /// Only this host's process calls the endpoint, so a higher token was used by an earlier
    /// process of this agent, whose time of day was ahead.
    fn raise_fence(&mut self, now: Time) {
        self.fence = self.fence.saturating_add(self.raise);
        self.raise = self.raise.saturating_mul(8);
        warn!(fence = self.fence, "fencing token raised");
        self.delay_hold(now);
    }

    fn started(&mut self, task: &TaskKey, run: u32, now: Time) {
        if let Some(known) = self.runs.get_mut(task)
            && known.number == run
            && known.phase == Phase::Starting
        {
            known.phase = Phase::Running { since: now };
            self.changed = true;
        }
    }

    fn start_refused(
        &mut self,
        task: &TaskKey,
        run: u32,
        reason: StartRefusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        info!(job = %task.job, %task, run, ?reason, "start refused");
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        if known.phase != Phase::Starting {
            // It is being stopped; a refused start needs no stop.
            self.not_started(task, run, Outcome::Aborted);
            return;
        }
        match reason {
            StartRefusal::OldRun | StartRefusal::LeasePassed => {
                known.number += 1;
                let (number, spec) = (known.number, known.spec.clone());
                self.send_start(task, number, spec, now, out);
            }
            StartRefusal::Fenced => {
                self.raise_fence(now);
                self.requeue(task);
            }
            StartRefusal::NoRoom => {
                // Room that an end has freed is not free for the endpoint until it lists the end.
                self.not_started(task, run, Outcome::NoRoom);
            }
            StartRefusal::Other => self.not_started(task, run, Outcome::Unavailable),
        }
    }

    fn requeue(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = Phase::Queued;
            self.used = self.used.minus(run.needs);
            self.queue.push(run.start_by, task.clone());
        }
    }

    fn not_started(&mut self, task: &TaskKey, run: u32, outcome: Outcome) {
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        match known.phase {
            Phase::Stopping { then, .. } => self.stopped(task, then),
            _ => self.finish(task, Some(outcome), 0),
        }
    }

    fn stop_confirmed(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let stop_ms = self.options.bounds.stop_ms;
        let Some(known) = self.runs.get_mut(task) else {
            return;
        };
        let Phase::Stopping { resend, over, .. } = &mut known.phase else {
            return;
        };
        if known.number != run || *resend == Time::MAX {
            return;
        }
        *resend = Time::MAX;
        // The end is listed by then.
        *over = now.after_millis(stop_ms);
        self.next_check = self.next_check.min(*over);
        // A run that never began is missing in the lists at once.
        self.look(task, run, now, out);
    }

    fn is_stopping(&self, task: &TaskKey, run: u32) -> bool {
        self.runs.get(task).is_some_and(|known| {
            known.number == run && matches!(known.phase, Phase::Stopping { .. })
        })
    }

    /// Looks whether a run that was stopped is over.
    fn look(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let call = EndpointCall::Hold {
            fence: self.fence,
            acked: endpoint.acked(),
            lease: None,
            wait: 0,
        };
        let purpose = Purpose::Look(task.clone(), run);
        self.call(purpose, call, HOLD_TIMEOUT_MS, now, out);
    }

    /// Takes note that a stopped run is over if it is not among those that run.
    fn looked(&mut self, task: &TaskKey, run: u32, running: &[RunEntry], now: Time) {
        let goes_on = running
            .iter()
            .any(|entry| entry.run == run && entry.task == *task);
        let Some(known) = self.runs.get(task) else {
            return;
        };
        if goes_on || known.number != run {
            return;
        }
        if let Phase::Stopping { then, .. } = known.phase {
            debug!(%task, run, "stopped run is over");
            self.numbers.insert(task.clone(), (run, now));
            self.stopped(task, then);
        }
    }

    /// Does what follows a stopped run that is over.
    fn stopped(&mut self, task: &TaskKey, then: Then) {
        match then {
            Then::Forget => self.finish(task, None, 0),
            Then::Report(outcome) => self.finish(task, Some(outcome), 0),
            Then::Restart if self.leaving => self.finish(task, Some(Outcome::Aborted), 0),
            Then::Restart => {
                self.counters.retried += 1;
                self.requeue(task);
            }
        }
    }

    fn ended(&mut self, ended: &[EndEntry], now: Time, out: &mut Vec<Action>) {
        for end in ended {
            let Some(endpoint) = &mut self.endpoint else {
                return;
            };
            if end.number <= endpoint.seen {
                continue;
            }
            endpoint.seen = end.number;
            let task = end.task.clone();
            self.numbers.insert(task.clone(), (end.run, now));
            let own = self
                .runs
                .get(&task)
                .filter(|run| run.number == end.run && run.phase != Phase::Queued);
            // An end of an earlier process may be that of a job that is kept.
            if own.is_none_or(|run| run.kept) {
                Self::hold_end(endpoint, end, own, now);
            }
            let Some(run) = own else {
                continue;
            };
            let since = match run.phase {
                Phase::Running { since } => since,
                _ => now,
            };
            let elapsed = now.millis_since(since);
            let expected = run.expected;
            let outcome = match end.how {
                EndHow::Done => Outcome::Done,
                EndHow::Failed => Outcome::Failed,
                EndHow::Cut => Outcome::Aborted,
            };
            info!(
                target: ROUTINE,
                job = %task.job,
                %task,
                run = end.run,
                ?outcome,
                phase = run.phase.as_str(),
                elapsed_ms = elapsed,
                expected_ms = expected,
                "run ended"
            );
            out.push(Action::Observe { elapsed });
            match (run.phase, outcome) {
                (Phase::Stopping { then, .. }, Outcome::Aborted) => {
                    self.stopped(&task, then);
                    continue;
                }
                (
                    Phase::Stopping {
                        then: Then::Forget, ..
                    },
                    _,
                ) => {
                    self.finish(&task, None, 0);
                    continue;
                }
                (Phase::Running { .. }, Outcome::Done) => self.health.done(elapsed, expected),
                (_, Outcome::Failed) => self.health.failed(),
                _ => {}
            }
            self.finish(&task, Some(outcome), elapsed);
        }
    }

    /// Holds the end of a run that has ended by itself.
    fn hold_end(endpoint: &mut Endpoint, end: &EndEntry, run: Option<&Run>, now: Time) {
        let outcome = match end.how {
            EndHow::Done => Outcome::Done,
            EndHow::Failed => Outcome::Failed,
            EndHow::Cut => return,
        };
        let elapsed = match run.map(|run| run.phase) {
            Some(Phase::Running { since }) => now.millis_since(since),
            _ => 0,
        };
        let held = TaskEnd {
            task: end.task.clone(),
            outcome,
            run: end.run,
            elapsed: u32::try_from(elapsed).unwrap_or(u32::MAX),
        };
        endpoint.held.hold(end.number, held, now);
    }

    /// Tells all entries the ends that none has taken note of.
    fn repeat_held(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let ends = endpoint.held.due(now);
        if ends.is_empty() {
            return;
        }
        for &link in self.links.up.keys() {
            let frame = AgentFrame::Held(ends.clone());
            out.push(Action::Send { link, frame });
        }
    }

    /// Compares what runs with what was started here.
    fn running(&mut self, running: &[RunEntry], now: Time, out: &mut Vec<Action>) {
        let mut orphans = 0;
        for entry in running {
            let task = entry.task.clone();
            let own = self
                .runs
                .get(&task)
                .is_some_and(|run| run.number == entry.run && run.phase.uses_room());
            if own {
                continue;
            }
            orphans += 1;
            info!(job = %task.job, %task, run = entry.run, "stopping a run of an earlier process");
            let call = EndpointCall::Stop {
                task,
                run: entry.run,
                fence: self.fence,
            };
            self.call(Purpose::StopOrphan, call, ORDER_TIMEOUT_MS, now, out);
        }
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if orphans == 0 && !endpoint.settled {
            endpoint.settled = true;
            info!(endpoint = %endpoint.about.id, "endpoint takes tasks");
            self.changed = true;
        } else if orphans > 0 && !endpoint.settled {
            self.delay_hold(now);
        }
    }

    // Time.

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for addr in self.links.due(now) {
            out.push(Action::Dial { addr });
        }
        for link in self.links.expired(now) {
            warn!(?link, "entry is silent, closing its link");
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
        if now >= self.next_check {
            self.check(now, out);
        }
        self.hold(now, out);
        let age = now.millis_since(self.last_status);
        if age >= STATUS_MS.1 || (self.changed && age >= STATUS_MS.0) {
            self.send_status(now, out);
        }
    }

    /// The interval of checks of all runs, in milliseconds.
    const CHECK_MS: u64 = 50;

    fn check(&mut self, now: Time, out: &mut Vec<Action>) {
        self.next_check = now.after_millis(Self::CHECK_MS);
        self.health.decay(now);
        self.check_endpoint(now, out);
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.check_run(&task, now, out);
        }
        self.numbers
            .retain(|_, (_, at)| now.millis_since(*at) < NUMBER_MEMORY_MS);
        self.repeat_held(now, out);
        self.fill(now, out);
        self.send_news(out);
    }

    fn check_endpoint(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if now >= endpoint.beat_by && self.runs.is_empty() && endpoint.hold.is_none() {
            info!(endpoint = %endpoint.about.id, "no heartbeat for too long");
            self.lose_endpoint(now, out);
            return;
        }
        if endpoint.reachable && now >= endpoint.answer_by {
            warn!(endpoint = %endpoint.about.id, "endpoint does not answer");
            endpoint.reachable = false;
            self.changed = true;
        }
        if !endpoint.reachable && now >= endpoint.lapse {
            self.end_everything(now);
        }
    }

    fn check_run(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Stopping { over, .. } if now >= *over => {
                // The look was lost: without it, an end may be taken for none.
                *over = now.after_millis(HOLD_RETRY_MS);
                let number = run.number;
                self.look(task, number, now, out);
            }
            Phase::Stopping { resend, .. } if now >= *resend => {
                *resend = now.after_millis(ORDER_TIMEOUT_MS);
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
            Phase::Stopping { .. } | Phase::Starting => {}
            Phase::Queued => {
                // The entry decides whether a task that missed its time is still of use.
                if now >= run.deadline || (now >= run.start_by && run.fresh) {
                    self.end_run(task, Then::Report(Outcome::Unavailable), now, out);
                }
            }
            Phase::Running { since } => {
                let elapsed = now.millis_since(*since);
                let expected = u64::from(run.expected);
                let stuck = elapsed > u64::from(run.limit);
                if now >= run.deadline || stuck {
                    warn!(job = %task.job, %task, elapsed_ms = elapsed, expected_ms = expected, "run takes too long, stopping it");
                    self.health.failed();
                    self.end_run(task, Then::Report(Outcome::Aborted), now, out);
                } else if elapsed > OVERDUE_FACTOR * expected + OVERDUE_MS {
                    let expected = run.expected;
                    self.health.overdue(elapsed, expected);
                }
            }
        }
    }

    fn send_status(&mut self, now: Time, out: &mut Vec<Action>) {
        self.last_status = now;
        self.changed = false;
        let load = self.status(now);
        for (&link, state) in &self.links.up {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Status {
                    sent: now.as_micros(),
                    orders: state.orders,
                    load,
                },
            });
        }
    }

    /// Returns the expected time until the next end of a run, in milliseconds.
    ///
    /// Run times vary so much that the time a run has taken says little about what is left.
    fn next_end(&self) -> u64 {
        let at_endpoint = self.runs.values().filter(|run| run.phase.uses_room());
        let (count, work) = at_endpoint.fold((0_u64, 0_u64), |(count, work), run| {
            (count + 1, work + u64::from(run.expected))
        });
        work / (count * count).max(1)
    }

    fn status(&self, now: Time) -> EndpointStatus {
        let Some(endpoint) = &self.endpoint else {
            return EndpointStatus::default();
        };
        let mut backlog = Backlog::default();
        let (mut running, mut overdue) = (0_u32, 0_u32);
        for run in self.runs.values() {
            let expected = u64::from(run.expected);
            match run.phase {
                Phase::Queued => {
                    let work = expected * u64::from(run.needs.cpu) / 1_000;
                    backlog.add(run.start_by.remaining_millis(now), work);
                }
                Phase::Running { since } => {
                    let elapsed = now.millis_since(since);
                    running += 1;
                    overdue += u32::from(elapsed > OVERDUE_FACTOR * expected + OVERDUE_MS);
                }
                Phase::Starting | Phase::Stopping { .. } => {}
            }
        }
        let next_end = self.next_end();
        EndpointStatus {
            ready: self.is_ready(now),
            free: endpoint.about.capacity.minus(self.used),
            backlog,
            next_end: u32::try_from(next_end).unwrap_or(u32::MAX),
            slowness: self.health.slowness_percent(),
            failures: self.health.failure_percent(),
            stalled: overdue >= 2 && overdue * 2 >= running,
        }
    }
}

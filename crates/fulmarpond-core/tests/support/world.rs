//! A small network of entries, agents, endpoints and a key-value service in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use fulmarpond_core::agent::{Agent, AgentAction, AgentInput, AgentOptions, RunId, RunOutcome};
use fulmarpond_core::contract::{Attempt, JobId, Needs, Reason, Refusal, Submission, Task};
use fulmarpond_core::entry::{
    CallerReply, CallerRequest, Entry, EntryAction, EntryInput, EntryOptions, StoreError,
    StoreItem, StoreOp, StoreReply,
};
use fulmarpond_core::home::HomeOptions;
use fulmarpond_core::link::{CallId, Envelope, LinkError, Request, Response, VersionedConfig};
use fulmarpond_core::machine::{AgentId, Registration};
use fulmarpond_core::policy::{Patch, Version};
use fulmarpond_core::runner::RunnerOptions;
use fulmarpond_core::zone::Zone;
use fulmarpond_core::{Role, Time};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::json;

use super::history::{History, Kind, result_of};
use super::schedule::{AGENTS, ENTRIES, End, Fate, Schedule, Step, StoreFate};
use super::store::Store;

const ANNOUNCE_MS: u64 = 500;
const SILENCE_MS: u64 = 2_500;
/// The roster window and the memory window. Callers resubmit no later than that.
const WINDOW_MS: u64 = 40_000;
const MARGIN_MS: u64 = 3_000;
/// The age up to which a roster is fresh. It is shorter than in the daemon, so that the schedules
/// reach the time in which first attempts are accepted without seals.
const FRESH_MS: u64 = 6_000;
/// The time from the end of the faults to the end of the run, above the longest deadline.
const REST_MS: u64 = 16_000;
/// The time within which a configuration version is in force everywhere.
const SPREAD_MS: u64 = 7_000;
const WATCH_MS: u64 = 300;
const STORE_TIMEOUT_MS: u64 = 500;

/// An input of any process.
#[derive(Debug, Clone)]
enum Input {
    Request(u64, Envelope),
    Response(CallId, Result<Response, LinkError>),
    Caller(u64, CallerRequest),
    Ended(RunId, RunOutcome),
    Stored(CallId, Result<StoreReply, StoreError>),
    Watched(Vec<StoreItem>, Time),
    Endpoint,
    EndpointLeaves,
    Drain,
}

#[derive(Debug)]
enum Event {
    /// The input reaches a process, if the incarnation still runs.
    Input(usize, u64, Input),
    /// A request reaches whatever runs in the slot.
    Arrive(usize, u64, Envelope),
    Expire(usize, u64, CallId),
    Store(usize, u64, CallId, StoreOp, bool),
    Thaw(usize),
    /// The endpoint renews its registration, or the entry's watch returns.
    Beat(usize, u64),
    Step(Step),
}

enum Node {
    Agent(Box<Agent>),
    Entry(Box<Entry>),
}

struct Process {
    node: Option<Node>,
    number: u64,
    rng: Pcg32,
    wake: Option<Time>,
    frozen: Option<Time>,
    inbox: VecDeque<Input>,
    /// The outgoing calls that have not ended.
    open: BTreeSet<CallId>,
    config: Version,
    /// The revision up to which the watch of an entry has returned changes.
    watched: u64,
    cut_off: Time,
    leaves: bool,
    fails: bool,
}

/// The sender of a request, and the slot and incarnation that received it.
#[derive(Debug, Clone, Copy)]
struct Inbound {
    caller: (usize, u64, CallId),
    receiver: Option<(usize, u64)>,
}

/// The processes, the messages in flight and what callers saw.
pub struct World {
    schedule: Schedule,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    rng: Pcg32,
    processes: Vec<Process>,
    inbound: BTreeMap<u64, Inbound>,
    /// The callers that wait for a reply, with the slot of their entry.
    callers: BTreeMap<u64, usize>,
    splits: Vec<(usize, usize, Time)>,
    outage: Time,
    /// When the latest configuration version was written.
    configured: Time,
    messages: u32,
    store_calls: u32,
    /// The number of attempts of each job and the time of the first.
    attempts: BTreeMap<usize, (u32, Time)>,
    /// The key-value service.
    pub store: Store,
    /// What callers saw and which tasks started.
    pub history: History,
    /// Broken promises about configurations.
    pub broken: Vec<String>,
    /// What happened, if a log is wanted.
    pub log: Option<Vec<String>>,
}

fn addr(slot: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(slot).unwrap_or(0)))
}

fn slot(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 1_000)
}

/// Returns the id of the job with a number.
pub fn job_id(job: usize) -> JobId {
    JobId::new("kitchen", &format!("job-{job}"))
}

/// Runs a schedule to its end.
pub fn run(schedule: &Schedule) -> World {
    let mut world = World::new(schedule);
    world.run();
    world
}

/// Runs a schedule and returns the first broken promise.
///
/// With `FULMARPOND_LOG` the log of a broken run goes to the file of that name.
pub fn check(schedule: &Schedule) -> Result<(), String> {
    let world = run(schedule);
    let broken = world
        .history
        .check()
        .err()
        .or(world.broken.into_iter().next());
    let Some(broken) = broken else {
        return Ok(());
    };
    if let Some(path) = std::env::var_os("FULMARPOND_LOG") {
        let mut world = World::new(schedule);
        world.log = Some(Vec::new());
        world.run();
        let _ = std::fs::write(path, world.log.unwrap_or_default().join("\n"));
    }
    Err(broken)
}

impl World {
    fn new(schedule: &Schedule) -> Self {
        let process = |slot: usize| Process {
            node: None,
            number: 0,
            rng: Pcg32::seed_from_u64(schedule.seed + slot as u64),
            wake: None,
            frozen: None,
            inbox: VecDeque::new(),
            open: BTreeSet::new(),
            config: Version::default(),
            watched: 0,
            cut_off: Time::default(),
            leaves: false,
            fails: false,
        };
        let mut world = Self {
            now: Time::default(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg32::seed_from_u64(schedule.seed),
            processes: (0..AGENTS + ENTRIES).map(process).collect(),
            inbound: BTreeMap::new(),
            callers: BTreeMap::new(),
            splits: Vec::new(),
            outage: Time::default(),
            configured: Time::default(),
            messages: 0,
            store_calls: 0,
            attempts: BTreeMap::new(),
            store: Store::default(),
            history: History::default(),
            broken: Vec::new(),
            log: None,
            schedule: schedule.clone(),
        };
        if !schedule.values.is_empty() {
            let set = schedule.values.iter();
            let patch = Patch {
                id: "preset".to_owned(),
                set: set
                    .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
                    .collect(),
                ..Patch::default()
            };
            let config = VersionedConfig {
                version: Version(1),
                values: patch.set.clone(),
                patch,
            };
            let item = StoreItem {
                key: "config/1".to_owned(),
                value: serde_json::to_string(&config).expect("configurations have a text form"),
                revision: 0,
            };
            world
                .store
                .perform(StoreOp::Put(item))
                .expect("the store is empty");
        }
        for (job, spec) in schedule.jobs.iter().enumerate() {
            let tasks = u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX);
            world.history.described(&job_id(job), tasks);
        }
        world
    }

    fn run(&mut self) {
        let entries = AGENTS..AGENTS + ENTRIES;
        for slot in (0..self.schedule.agents).chain(entries.clone()) {
            self.start(slot);
        }
        // The agents join the roster first.
        let mut at = Time::from_millis(2_000);
        for (delay, step) in self.schedule.steps.clone() {
            at = at.after_millis(delay);
            self.push(at, Event::Step(step));
        }
        self.run_until(at);
        let now = self.now;
        self.splits.clear();
        self.outage = now;
        for slot in 0..self.processes.len() {
            self.processes[slot].cut_off = now;
            self.thaw(slot, true);
            if entries.contains(&slot) && self.processes[slot].node.is_none() {
                self.start(slot);
            }
        }
        // A patch that an entry is still writing starts the time for its spread again.
        let mut due = now;
        while due < self.configured.max(now).after_millis(SPREAD_MS) {
            due = self.configured.max(now).after_millis(SPREAD_MS);
            self.run_until(due);
        }
        self.check_configs();
        self.run_until(due.max(now.after_millis(REST_MS)));
    }

    fn run_until(&mut self, end: Time) {
        loop {
            let wake = (0..self.processes.len())
                .filter(|slot| self.processes[*slot].frozen.is_none())
                .filter_map(|slot| Some((self.processes[slot].wake?, slot)))
                .min();
            let event = self.events.first_key_value().map(|((at, _), _)| *at);
            match (event, wake) {
                (Some(at), wake) if wake.is_none_or(|(wake, _)| at <= wake) && at <= end => {
                    let ((at, _), event) = self.events.pop_first().expect("there is an event");
                    self.now = self.now.max(at);
                    self.handle(event);
                }
                (_, Some((wake, slot))) if wake <= end => {
                    self.now = self.now.max(wake);
                    self.step(slot, None);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Schedules an input for the incarnation that runs in a slot now.
    fn deliver(&mut self, after_us: u64, slot: usize, input: Input) {
        let number = self.processes[slot].number;
        let at = self.now.after_micros(after_us);
        self.push(at, Event::Input(slot, number, input));
    }

    fn latency(&mut self) -> u64 {
        500 + u64::from(self.rng.next_u32() % 500)
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push(format!("{} {}", self.now.as_micros(), text()));
        }
    }

    fn start(&mut self, slot: usize) {
        if self.processes[slot].node.is_some() {
            self.kill(slot);
        }
        let process = &mut self.processes[slot];
        process.number += 1;
        process.frozen = None;
        process.inbox.clear();
        process.open.clear();
        process.config = Version::default();
        process.watched = 0;
        process.leaves = false;
        let node = if slot < AGENTS {
            Node::Agent(Box::new(Agent::new(AgentOptions {
                id: AgentId::new(&format!("host-{slot}"), process.number),
                addr: addr(slot),
                zone: Zone::new(["Saga", "Kurume"][slot % 2]),
                entries: (AGENTS..AGENTS + ENTRIES).map(addr).collect(),
                announce_ms: ANNOUNCE_MS,
                window_ms: WINDOW_MS,
                home: HomeOptions {
                    memory_ms: WINDOW_MS,
                    margin_ms: MARGIN_MS,
                    fresh_ms: FRESH_MS,
                },
                runner: RunnerOptions {
                    lease_ms: 3_000,
                    margin_ms: MARGIN_MS,
                },
            })))
        } else {
            Node::Entry(Box::new(Entry::new(EntryOptions {
                name: format!("entry-{slot}"),
                announce_ms: ANNOUNCE_MS,
                silence_ms: SILENCE_MS,
                window_ms: WINDOW_MS,
            })))
        };
        process.node = Some(node);
        let number = process.number;
        // A process that starts has no clock reading of the time before.
        process.wake = Some(self.now);
        self.push(self.now.after_millis(1), Event::Beat(slot, number));
        self.note(|| format!("start {slot}~{number}"));
    }

    fn kill(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.node = None;
        process.wake = None;
        process.frozen = None;
        process.inbox.clear();
        let receiver = Some((slot, process.number));
        let lost: Vec<u64> = self
            .inbound
            .iter()
            .filter(|(_, inbound)| inbound.receiver == receiver)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.answer(number, Err(LinkError::Lost), 1_000);
        }
        let cut: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, at)| **at == slot)
            .map(|(call, _)| *call)
            .collect();
        for call in cut {
            self.callers.remove(&call);
            self.history.cut(call);
        }
        self.note(|| format!("end of {receiver:?}"));
    }

    fn thaw(&mut self, slot: usize, now: bool) {
        let due = self.processes[slot]
            .frozen
            .is_some_and(|until| now || until <= self.now);
        if !due {
            return;
        }
        self.processes[slot].frozen = None;
        let number = self.processes[slot].number;
        // What arrived meanwhile is handled before the timers that became due.
        for input in std::mem::take(&mut self.processes[slot].inbox) {
            if self.processes[slot].number == number {
                self.input(slot, input);
            }
        }
    }

    fn is_split(&self, one: usize, other: usize) -> bool {
        self.splits.iter().any(|(a, b, until)| {
            *until > self.now && ((*a, *b) == (one, other) || (*b, *a) == (one, other))
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input(slot, number, input) => {
                if self.processes[slot].number == number {
                    self.input(slot, input);
                }
            }
            Event::Arrive(slot, number, envelope) => {
                let caller = self.inbound.get(&number).map(|inbound| inbound.caller);
                if self.processes[slot].node.is_none()
                    || caller.is_some_and(|(from, ..)| self.is_split(from, slot))
                {
                    self.answer(number, Err(LinkError::Lost), 1_000);
                    return;
                }
                let receiver = Some((slot, self.processes[slot].number));
                if let Some(inbound) = self.inbound.get_mut(&number) {
                    inbound.receiver = receiver;
                }
                self.input(slot, Input::Request(number, envelope));
            }
            Event::Expire(slot, number, call) => {
                if self.processes[slot].number != number
                    || !self.processes[slot].open.contains(&call)
                {
                    return;
                }
                match self.processes[slot].frozen {
                    Some(until) => self.push(until, Event::Expire(slot, number, call)),
                    None => self.input(slot, Input::Response(call, Err(LinkError::Lost))),
                }
            }
            Event::Store(slot, number, call, op, reply_lost) => {
                let out = self.now < self.outage || self.now < self.processes[slot].cut_off;
                let result = if out {
                    Err(StoreError::Unavailable)
                } else {
                    let before = self.store.latest_config();
                    let result = self.store.perform(op);
                    if self.store.latest_config() > before {
                        self.configured = self.now;
                    }
                    result
                };
                if !reply_lost {
                    let at = self.now.after_millis(2);
                    self.push(at, Event::Input(slot, number, Input::Stored(call, result)));
                }
            }
            Event::Thaw(slot) => self.thaw(slot, false),
            Event::Beat(slot, number) => self.beat(slot, number),
            Event::Step(step) => self.happen(step),
        }
    }

    fn beat(&mut self, slot: usize, number: u64) {
        if self.processes[slot].number != number || self.processes[slot].node.is_none() {
            return;
        }
        let process = &self.processes[slot];
        let frozen = process.frozen.is_some();
        if slot < AGENTS {
            if !frozen && !process.leaves {
                self.input(slot, Input::Endpoint);
            }
            self.push(self.now.after_millis(1_000), Event::Beat(slot, number));
            return;
        }
        let waits = process
            .inbox
            .iter()
            .any(|input| matches!(input, Input::Watched(..)));
        if self.now >= self.outage && self.now >= process.cut_off && !(frozen && waits) {
            let items = self.store.changed_since(process.watched);
            self.processes[slot].watched = self.store.revision();
            self.input(slot, Input::Watched(items, self.now));
        }
        self.push(self.now.after_millis(WATCH_MS), Event::Beat(slot, number));
    }

    /// Hands an input to a process, or keeps it while the process is frozen.
    fn input(&mut self, slot: usize, input: Input) {
        if self.processes[slot].node.is_none() {
            return;
        }
        if self.processes[slot].frozen.is_some() {
            self.processes[slot].inbox.push_back(input);
            return;
        }
        if let Input::Response(call, _) = &input
            && !self.processes[slot].open.remove(call)
        {
            return;
        }
        self.step(slot, Some(input));
    }

    /// Runs one step of a process. Without input it is a tick.
    fn step(&mut self, slot: usize, input: Option<Input>) {
        let now = self.now;
        if let Some(input) = &input {
            self.note(|| format!("{slot} <- {input:?}"));
        }
        let process = &mut self.processes[slot];
        let (mut for_agent, mut for_entry) = (Vec::new(), Vec::new());
        let (config, wake) = match process.node.as_mut() {
            None => return,
            Some(Node::Agent(agent)) => {
                let input = match input {
                    None => AgentInput::Tick,
                    Some(Input::Request(number, envelope)) => AgentInput::Request {
                        call: CallId(number),
                        envelope,
                    },
                    Some(Input::Response(call, result)) => AgentInput::Response { call, result },
                    Some(Input::Ended(run, outcome)) => AgentInput::Ended { run, outcome },
                    Some(Input::Endpoint) => {
                        if !agent.is_draining() {
                            self.history.stays(agent.id().as_str());
                        }
                        AgentInput::Endpoint(Registration {
                            addr: addr(slot),
                            slots: self.schedule.slots,
                            connections: 64,
                            zone: "Saga".to_owned(),
                            limits: Needs::default(),
                        })
                    }
                    Some(Input::EndpointLeaves) => AgentInput::EndpointLeaves,
                    Some(Input::Drain) => AgentInput::Drain,
                    Some(_) => return,
                };
                if matches!(input, AgentInput::Drain | AgentInput::EndpointLeaves) {
                    self.history.leaves(now, agent.id().as_str());
                }
                agent.step(now, input, &mut process.rng, &mut for_agent);
                (agent.config(), agent.wake())
            }
            Some(Node::Entry(entry)) => {
                let input = match input {
                    None => EntryInput::Tick,
                    Some(Input::Request(number, envelope)) => EntryInput::Request {
                        call: CallId(number),
                        envelope,
                    },
                    Some(Input::Response(call, result)) => EntryInput::Response { call, result },
                    Some(Input::Caller(number, request)) => EntryInput::Caller {
                        call: CallId(number),
                        request,
                    },
                    Some(Input::Stored(call, result)) => EntryInput::Stored { call, result },
                    Some(Input::Watched(items, began)) => EntryInput::Watched { items, began },
                    Some(Input::Drain) => EntryInput::Drain,
                    Some(_) => return,
                };
                entry.step(now, input, &mut process.rng, &mut for_entry);
                (entry.config(), entry.wake())
            }
        };
        // A driver does not tick more often than each millisecond.
        process.wake = wake.map(|wake| wake.max(now.after_millis(1)));
        if config < process.config {
            self.broken.push(format!(
                "{slot} went from version {} to {config}",
                process.config
            ));
        }
        self.processes[slot].config = config;
        for action in for_agent {
            self.agent_action(slot, action);
        }
        for action in for_entry {
            self.entry_action(slot, action);
        }
    }

    fn agent_action(&mut self, slot: usize, action: AgentAction) {
        match action {
            AgentAction::Reply { call, response } => self.reply(call.0, response),
            AgentAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => self.call(slot, call, addr, envelope, deadline),
            AgentAction::Start {
                run,
                job,
                task,
                payload,
                deadline,
                ..
            } => {
                self.start_task(slot, run, &job, task, &payload, deadline);
            }
            AgentAction::Stopped => self.kill(slot),
            AgentAction::Count(_) => {}
        }
    }

    fn entry_action(&mut self, slot: usize, action: EntryAction) {
        match action {
            EntryAction::Answer { call, reply } => {
                self.note(|| format!("{slot} answers {call:?} {reply:?}"));
                self.callers.remove(&call.0);
                self.history.replied(self.now, call.0, reply);
            }
            EntryAction::Reply { call, response } => self.reply(call.0, response),
            EntryAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => self.call(slot, call, addr, envelope, deadline),
            EntryAction::Store { call, op } => self.store_call(slot, call, op),
            EntryAction::Stopped => self.kill(slot),
            EntryAction::Count(_) => {}
        }
    }

    fn store_call(&mut self, slot: usize, call: CallId, op: StoreOp) {
        let fate = self.schedule.store.get(&self.store_calls).copied();
        self.store_calls += 1;
        self.note(|| format!("{slot} store {call:?} {fate:?} {op:?}"));
        let number = self.processes[slot].number;
        let delay = match fate {
            Some(StoreFate::Late(ms)) => ms,
            _ => 2,
        };
        let unknown = matches!(fate, Some(StoreFate::ReplyLost | StoreFate::Lost))
            || delay > STORE_TIMEOUT_MS;
        if !matches!(fate, Some(StoreFate::Lost)) {
            self.push(
                self.now.after_millis(delay),
                Event::Store(slot, number, call, op, unknown),
            );
        }
        if unknown {
            let input = Input::Stored(call, Err(StoreError::Unknown));
            self.deliver(STORE_TIMEOUT_MS * 1_000, slot, input);
        }
    }

    /// Draws the fate of a message about a job.
    fn fate(&mut self, announce: bool) -> Option<Fate> {
        if announce {
            return None;
        }
        self.messages += 1;
        self.schedule.fates.get(&(self.messages - 1)).copied()
    }

    fn call(
        &mut self,
        from: usize,
        call: CallId,
        to: SocketAddr,
        envelope: Envelope,
        deadline: Time,
    ) {
        let to = slot(to);
        let number = self.processes[from].number;
        self.processes[from].open.insert(call);
        self.push(deadline.max(self.now), Event::Expire(from, number, call));
        let fate = self.fate(matches!(envelope.request, Request::Announce(_)));
        self.note(|| format!("{from} -> {to} {call:?} {fate:?} {envelope:?}"));
        let down = self.processes[to].node.is_none() || self.is_split(from, to);
        if down || matches!(fate, Some(Fate::NotSent)) {
            self.deliver(1_000, from, Input::Response(call, Err(LinkError::NotSent)));
            return;
        }
        if matches!(fate, Some(Fate::Lost | Fate::Orphaned(_))) {
            self.deliver(20_000, from, Input::Response(call, Err(LinkError::Lost)));
            if let Some(Fate::Orphaned(ms)) = fate {
                self.sequence += 1;
                let late = Event::Arrive(to, self.sequence, envelope);
                self.push(self.now.after_millis(ms), late);
            }
            return;
        }
        let latency = self.latency();
        let delay = match fate {
            Some(Fate::Late(ms)) => latency + ms * 1_000,
            _ => latency,
        };
        self.sequence += 1;
        let request = self.sequence;
        let caller = (from, number, call);
        self.inbound.insert(
            request,
            Inbound {
                caller,
                receiver: None,
            },
        );
        // A link never delivers a submission twice: one that was refused could be accepted later.
        let single = matches!(envelope.request, Request::Submit(_));
        if let Some(Fate::Twice(ms)) = fate.filter(|_| !single) {
            self.sequence += 1;
            let again = Event::Arrive(to, self.sequence, envelope.clone());
            self.push(self.now.after_micros(latency + ms * 1_000), again);
        }
        self.push(
            self.now.after_micros(delay),
            Event::Arrive(to, request, envelope),
        );
    }

    fn reply(&mut self, number: u64, response: Response) {
        if let Response::Announce(reply) = &response
            && let Some(config) = &reply.config
        {
            self.check_config(config);
        }
        let fate = self.fate(matches!(response, Response::Announce(_)));
        let Some(inbound) = self.inbound.get(&number) else {
            return;
        };
        let split = inbound
            .receiver
            .is_some_and(|(receiver, _)| self.is_split(receiver, inbound.caller.0));
        let latency = self.latency();
        match fate {
            _ if split => self.answer(number, Err(LinkError::Lost), 20_000),
            Some(Fate::Lost | Fate::NotSent | Fate::Orphaned(_)) => {
                self.answer(number, Err(LinkError::Lost), 20_000);
            }
            Some(Fate::Late(ms)) => self.answer(number, Ok(response), latency + ms * 1_000),
            Some(Fate::Twice(_)) | None => self.answer(number, Ok(response), latency),
        }
    }

    /// Ends a call after some microseconds.
    fn answer(&mut self, number: u64, result: Result<Response, LinkError>, after_us: u64) {
        if let Some(inbound) = self.inbound.remove(&number) {
            let (slot, number, call) = inbound.caller;
            let at = self.now.after_micros(after_us);
            self.push(
                at,
                Event::Input(slot, number, Input::Response(call, result)),
            );
        }
    }

    fn start_task(
        &mut self,
        slot: usize,
        run: RunId,
        job: &JobId,
        task: u32,
        payload: &serde_json::Value,
        deadline: Time,
    ) {
        let number = payload[0]
            .as_u64()
            .and_then(|job| usize::try_from(job).ok())
            .unwrap_or(0);
        let (run_ms, mut end) = self.schedule.jobs[number].tasks[task as usize];
        if self.processes[slot].fails {
            end = End::Failed;
        }
        self.note(|| format!("{slot} starts {job} {task}, {end:?}"));
        if end != End::Refused {
            let id = format!("host-{slot}~{:x}", self.processes[slot].number);
            self.history.started(self.now, job, task, &id);
        }
        let ran = self.now.after_millis(run_ms);
        let (at, outcome) = match end {
            End::Done => (ran, RunOutcome::Done(result_of(job, task))),
            End::Failed => (ran, RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0))),
            End::Refused => (
                self.now.after_millis(1),
                RunOutcome::NotStarted(Refusal::new(Reason::QueueFull, 0)),
            ),
            End::Never => (
                Time::MAX,
                RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0)),
            ),
        };
        let late = RunOutcome::Failed(Refusal::new(Reason::DeadlinePassed, 0));
        let outcome = if at > deadline { late } else { outcome };
        let incarnation = self.processes[slot].number;
        self.push(
            at.min(deadline),
            Event::Input(slot, incarnation, Input::Ended(run, outcome)),
        );
    }

    fn happen(&mut self, step: Step) {
        self.note(|| format!("{step:?}"));
        let now = self.now;
        match step {
            Step::Submit { job, entry } => self.submit(job, AGENTS + entry),
            Step::Fetch { job, entry, wait } => {
                let request = CallerRequest::Fetch {
                    job: job_id(job),
                    wait_ms: wait,
                };
                self.ask(AGENTS + entry, job, request, wait);
            }
            Step::Cancel { job, entry } => {
                self.ask(AGENTS + entry, job, CallerRequest::Cancel(job_id(job)), 0);
            }
            Step::Patch { entry } => self.patch(AGENTS + entry),
            Step::Kill(slot) => {
                if self.processes[slot].node.is_some() {
                    self.kill(slot);
                }
            }
            Step::Start(slot) => self.start(slot),
            Step::Freeze(slot, ms) => {
                if self.processes[slot].node.is_none() {
                    return;
                }
                let before = self.processes[slot].frozen.unwrap_or(now);
                let until = before.max(now.after_millis(ms));
                self.processes[slot].frozen = Some(until);
                self.push(until, Event::Thaw(slot));
                for (call, _) in self.callers.iter().filter(|(_, at)| **at == slot) {
                    self.history.paused(*call, until.millis_since(before));
                }
            }
            Step::Drain(agent) => self.input(agent, Input::Drain),
            Step::Endpoint { agent, leaves } => {
                self.processes[agent].leaves = leaves;
                if leaves {
                    self.input(agent, Input::EndpointLeaves);
                }
            }
            Step::Failing { agent, fails } => self.processes[agent].fails = fails,
            Step::Split(one, other, ms) => self.splits.push((one, other, now.after_millis(ms))),
            Step::CutOff { entry, ms } => {
                self.processes[AGENTS + entry].cut_off = now.after_millis(ms);
            }
            Step::Outage(ms) => self.outage = self.outage.max(now.after_millis(ms)),
        }
    }

    fn caller(
        &mut self,
        slot: usize,
        kind: Kind,
        job: usize,
        request: CallerRequest,
        limit_ms: u64,
    ) {
        self.sequence += 1;
        let call = self.sequence;
        let from = self.processes[slot].frozen.unwrap_or(self.now);
        self.history.invoked(
            self.now,
            call,
            kind,
            &job_id(job),
            from.after_millis(limit_ms),
        );
        self.callers.insert(call, slot);
        self.input(slot, Input::Caller(call, request));
    }

    fn submit(&mut self, job: usize, slot: usize) {
        if self.processes[slot].node.is_none() {
            return;
        }
        let (attempts, first) = self.attempts.get(&job).copied().unwrap_or((0, self.now));
        let age = self.now.millis_since(first);
        if age + 15_000 > WINDOW_MS {
            return;
        }
        let attempt = match attempts {
            0 => Attempt::First,
            _ => Attempt::Unresolved { age_ms: Some(age) },
        };
        self.attempts.insert(job, (attempts + 1, first));
        let spec = self.schedule.jobs[job].clone();
        let task = |_| Task {
            kind: "plate".to_owned(),
            payload: json!([job]),
            expect_ms: None,
            needs: Needs::default(),
        };
        let submission = Submission {
            job: job_id(job),
            attempt,
            remaining_ms: spec.deadline,
            tasks: (0..spec.tasks.len()).map(task).collect(),
        };
        let request = CallerRequest::Submit {
            submission,
            wait: spec.wait,
        };
        self.caller(
            slot,
            Kind::Submit {
                attempt: attempts + 1,
            },
            job,
            request,
            spec.deadline,
        );
    }

    fn ask(&mut self, slot: usize, job: usize, request: CallerRequest, wait_ms: u64) {
        // Each of at most 16 agents has a second beyond the wait.
        let limit = 16 * (wait_ms + 1_000);
        if self.processes[slot].node.is_some() {
            self.caller(slot, Kind::Ask, job, request, limit);
        }
    }

    fn patch(&mut self, slot: usize) {
        let Some(Node::Entry(entry)) = &self.processes[slot].node else {
            return;
        };
        let base = entry.config();
        self.sequence += 1;
        let call = self.sequence;
        let patch = Patch {
            id: format!("patch-{call}"),
            base,
            set: [("team.kitchen.quota".to_owned(), (90_000 + call).to_string())].into(),
            ..Patch::default()
        };
        self.input(slot, Input::Caller(call, CallerRequest::Patch(patch)));
    }

    /// Checks that a process holds what the service holds under the version.
    fn check_config(&mut self, config: &VersionedConfig) {
        let key = format!("config/{}", config.version);
        let stored = self
            .store
            .get(&key)
            .map(serde_json::from_str::<VersionedConfig>);
        if !matches!(&stored, Some(Ok(stored)) if stored == config) {
            self.broken.push(format!(
                "version {} is {config:?} and {stored:?}",
                config.version
            ));
        }
    }

    /// Checks that every process has the latest version in force.
    fn check_configs(&mut self) {
        let latest = Version(self.store.latest_config());
        for slot in 0..self.processes.len() {
            let has = match &self.processes[slot].node {
                None => continue,
                Some(Node::Agent(agent)) if agent.is_draining() => continue,
                Some(Node::Agent(agent)) => agent.config(),
                Some(Node::Entry(entry)) => entry.config(),
            };
            if has != latest {
                self.broken
                    .push(format!("{slot} has version {has}, the latest is {latest}"));
            }
        }
        let unknown = CallerRequest::Config(None);
        for slot in AGENTS..AGENTS + ENTRIES {
            let process = &mut self.processes[slot];
            let Some(Node::Entry(entry)) = process.node.as_mut() else {
                continue;
            };
            let input = EntryInput::Caller {
                call: CallId(u64::MAX),
                request: unknown.clone(),
            };
            let mut actions = Vec::new();
            entry.step(self.now, input, &mut process.rng, &mut actions);
            for action in actions {
                if let EntryAction::Answer {
                    reply: CallerReply::Config(config),
                    ..
                } = action
                    && config.version > Version::default()
                {
                    self.check_config(&config);
                }
            }
        }
    }
}

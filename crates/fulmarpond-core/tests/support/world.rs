//! A simulated network of entries, agents, endpoints and a key-value service in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use fulmarpond_core::agent::{Agent, AgentAction, AgentInput, AgentOptions, RunId, RunOutcome};
use fulmarpond_core::contract::{Attempt, JobId, Reason, Refusal, Resources, Submission, Task};
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

use super::history::{CallKind, History, expected_result};
use super::schedule::{AGENTS, ENTRIES, MessageFault, Schedule, Step, StoreFault, TaskEnd};
use super::store::Store;

const ANNOUNCE_INTERVAL_MS: u64 = 500;
const AGENT_TIMEOUT_MS: u64 = 2_500;
/// The roster window and the time for which homes keep tombstones. Callers resubmit only within
/// this time.
const WINDOW_MS: u64 = 40_000;
const RETENTION_MS: u64 = 3_000;
/// The age up to which a roster is fresh. It is shorter than in the daemon, so that schedules reach
/// the phase in which first attempts are accepted without seals.
const ROSTER_FRESH_MS: u64 = 6_000;
/// The time from the end of the faults to the end of the run. It exceeds the longest deadline.
const SETTLE_MS: u64 = 16_000;
/// The time within which all processes must apply a new configuration version.
const CONFIG_PROPAGATION_MS: u64 = 7_000;
const WATCH_INTERVAL_MS: u64 = 300;
const STORE_TIMEOUT_MS: u64 = 500;

/// An input of an agent or an entry.
#[derive(Debug, Clone)]
enum Input {
    Request(u64, Envelope),
    Response(CallId, Result<Response, LinkError>),
    Caller(u64, CallerRequest),
    RunEnded(RunId, RunOutcome),
    StoreReply(CallId, Result<StoreReply, StoreError>),
    WatchReturned(Vec<StoreItem>, Time),
    EndpointRegistered,
    EndpointLeaving,
    Drain,
}

#[derive(Debug)]
enum Event {
    /// An input reaches a process if the given incarnation still runs.
    Input(usize, u64, Input),
    /// A request reaches the slot, whichever incarnation runs there.
    RequestArrival(usize, u64, Envelope),
    /// An outgoing call reaches its deadline.
    CallDeadline(usize, u64, CallId),
    /// A call reaches the key-value service. The flag says that its reply is lost.
    StoreCall(usize, u64, CallId, StoreOp, bool),
    Resume(usize),
    /// The endpoint of an agent renews its registration, or the watch of an entry returns.
    PeriodicInput(usize, u64),
    Step(Step),
}

enum Node {
    Agent(Box<Agent>),
    Entry(Box<Entry>),
}

/// A process slot and the incarnation that runs in it.
struct Process {
    node: Option<Node>,
    incarnation: u64,
    rng: Pcg32,
    wakes_at: Option<Time>,
    paused_until: Option<Time>,
    /// The inputs that arrived during a pause.
    deferred_inputs: VecDeque<Input>,
    /// The outgoing calls without a result.
    pending_calls: BTreeSet<CallId>,
    config: Version,
    /// The revision up to which the watch of an entry has returned changes.
    watched_revision: u64,
    /// The time until which an entry can't reach the key-value service.
    store_unreachable_until: Time,
    is_endpoint_leaving: bool,
    is_endpoint_failing: bool,
}

/// A request in flight: its sender, and the slot and incarnation that received it.
#[derive(Debug, Clone, Copy)]
struct Inbound {
    caller: (usize, u64, CallId),
    receiver: Option<(usize, u64)>,
}

/// The processes, the messages in flight and the history of a run.
pub struct World {
    schedule: Schedule,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    rng: Pcg32,
    processes: Vec<Process>,
    inbound: BTreeMap<u64, Inbound>,
    /// The pending requests of callers, with the slot of the entry that serves each one.
    pending_callers: BTreeMap<u64, usize>,
    /// Pairs of slots that can't reach each other, and until when.
    partitions: Vec<(usize, usize, Time)>,
    store_outage_until: Time,
    /// The time at which the latest configuration version was written.
    config_written_at: Time,
    /// The number of messages about jobs so far.
    message_count: u32,
    store_call_count: u32,
    /// The number of attempts of each job and the time of the first.
    attempts: BTreeMap<usize, (u32, Time)>,
    /// The key-value service.
    pub store: Store,
    /// The requests and replies of callers and the starts of tasks.
    pub history: History,
    /// Violations of the guarantees about configurations.
    pub config_violations: Vec<String>,
    /// The log of the run, if enabled.
    pub log: Option<Vec<String>>,
}

fn addr(slot: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(slot).unwrap_or(0)))
}

fn slot(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 1_000)
}

/// Returns the id of the job with the given number.
pub fn job_id(job: usize) -> JobId {
    JobId::new("kitchen", &format!("job-{job}"))
}

/// Runs a schedule to its end.
pub fn run(schedule: &Schedule) -> World {
    let mut world = World::new(schedule);
    world.run();
    world
}

/// Runs a schedule and returns the first violation of a guarantee.
///
/// If `FULMARPOND_LOG` is set, the log of a run with a violation is written to that file.
pub fn check(schedule: &Schedule) -> Result<(), String> {
    let world = run(schedule);
    let violation = world
        .history
        .check()
        .err()
        .or(world.config_violations.into_iter().next());
    let Some(violation) = violation else {
        return Ok(());
    };
    if let Some(path) = std::env::var_os("FULMARPOND_LOG") {
        let mut world = World::new(schedule);
        world.log = Some(Vec::new());
        world.run();
        let _ = std::fs::write(path, world.log.unwrap_or_default().join("\n"));
    }
    Err(violation)
}

impl World {
    fn new(schedule: &Schedule) -> Self {
        let process = |slot: usize| Process {
            node: None,
            incarnation: 0,
            rng: Pcg32::seed_from_u64(schedule.seed + slot as u64),
            wakes_at: None,
            paused_until: None,
            deferred_inputs: VecDeque::new(),
            pending_calls: BTreeSet::new(),
            config: Version::default(),
            watched_revision: 0,
            store_unreachable_until: Time::default(),
            is_endpoint_leaving: false,
            is_endpoint_failing: false,
        };
        let mut world = Self {
            now: Time::default(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg32::seed_from_u64(schedule.seed),
            processes: (0..AGENTS + ENTRIES).map(process).collect(),
            inbound: BTreeMap::new(),
            pending_callers: BTreeMap::new(),
            partitions: Vec::new(),
            store_outage_until: Time::default(),
            config_written_at: Time::default(),
            message_count: 0,
            store_call_count: 0,
            attempts: BTreeMap::new(),
            store: Store::default(),
            history: History::default(),
            config_violations: Vec::new(),
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
                value: serde_json::to_string(&config).expect("configurations can be serialised"),
                revision: 0,
            };
            world
                .store
                .perform(StoreOp::Put(item))
                .expect("the store is empty");
        }
        for (job, spec) in schedule.jobs.iter().enumerate() {
            let tasks = u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX);
            world.history.record_task_count(&job_id(job), tasks);
        }
        world
    }

    fn run(&mut self) {
        let entries = AGENTS..AGENTS + ENTRIES;
        for slot in (0..self.schedule.agents).chain(entries.clone()) {
            self.start_process(slot);
        }
        // Gives the agents time to join the roster before the first step.
        let mut at = Time::from_millis(2_000);
        for (delay, step) in self.schedule.steps.clone() {
            at = at.after_millis(delay);
            self.schedule_event(at, Event::Step(step));
        }
        self.run_until(at);
        let now = self.now;
        self.partitions.clear();
        self.store_outage_until = now;
        for slot in 0..self.processes.len() {
            self.processes[slot].store_unreachable_until = now;
            self.resume(slot, true);
            if entries.contains(&slot) && self.processes[slot].node.is_none() {
                self.start_process(slot);
            }
        }
        // A configuration version that is written meanwhile restarts the propagation time.
        let mut due = now;
        while due
            < self
                .config_written_at
                .max(now)
                .after_millis(CONFIG_PROPAGATION_MS)
        {
            due = self
                .config_written_at
                .max(now)
                .after_millis(CONFIG_PROPAGATION_MS);
            self.run_until(due);
        }
        self.check_configs();
        self.run_until(due.max(now.after_millis(SETTLE_MS)));
    }

    fn run_until(&mut self, end: Time) {
        loop {
            let wake = (0..self.processes.len())
                .filter(|slot| self.processes[*slot].paused_until.is_none())
                .filter_map(|slot| Some((self.processes[slot].wakes_at?, slot)))
                .min();
            let event = self.events.first_key_value().map(|((at, _), _)| *at);
            match (event, wake) {
                (Some(at), wake) if wake.is_none_or(|(wake, _)| at <= wake) && at <= end => {
                    let ((at, _), event) = self.events.pop_first().expect("the queue has an event");
                    self.now = self.now.max(at);
                    self.handle(event);
                }
                (_, Some((wake, slot))) if wake <= end => {
                    self.now = self.now.max(wake);
                    self.run_step(slot, None);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn schedule_event(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Schedules an input for the current incarnation in a slot.
    fn schedule_input(&mut self, after_us: u64, slot: usize, input: Input) {
        let incarnation = self.processes[slot].incarnation;
        let at = self.now.after_micros(after_us);
        self.schedule_event(at, Event::Input(slot, incarnation, input));
    }

    fn random_latency_us(&mut self) -> u64 {
        500 + u64::from(self.rng.next_u32() % 500)
    }

    fn log_event(&mut self, text: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push(format!("{} {}", self.now.as_micros(), text()));
        }
    }

    fn start_process(&mut self, slot: usize) {
        if self.processes[slot].node.is_some() {
            self.kill_process(slot);
        }
        let process = &mut self.processes[slot];
        process.incarnation += 1;
        process.paused_until = None;
        process.deferred_inputs.clear();
        process.pending_calls.clear();
        process.config = Version::default();
        process.watched_revision = 0;
        process.is_endpoint_leaving = false;
        let node = if slot < AGENTS {
            Node::Agent(Box::new(Agent::new(AgentOptions {
                id: AgentId::new(&format!("host-{slot}"), process.incarnation),
                addr: addr(slot),
                zone: Zone::new(["Saga", "Kurume"][slot % 2]),
                entries: (AGENTS..AGENTS + ENTRIES).map(addr).collect(),
                announce_ms: ANNOUNCE_INTERVAL_MS,
                roster_window_ms: WINDOW_MS,
                home: HomeOptions {
                    tombstone_retention_ms: WINDOW_MS,
                    answer_retention_ms: RETENTION_MS,
                    roster_fresh_ms: ROSTER_FRESH_MS,
                },
                runner: RunnerOptions {
                    lease_ms: 3_000,
                    batch_retention_ms: RETENTION_MS,
                },
            })))
        } else {
            Node::Entry(Box::new(Entry::new(EntryOptions {
                name: format!("entry-{slot}"),
                announce_ms: ANNOUNCE_INTERVAL_MS,
                silence_ms: AGENT_TIMEOUT_MS,
                roster_window_ms: WINDOW_MS,
            })))
        };
        process.node = Some(node);
        let incarnation = process.incarnation;
        // A new process has no earlier clock reading: its first tick is at the time of its start.
        process.wakes_at = Some(self.now);
        self.schedule_event(
            self.now.after_millis(1),
            Event::PeriodicInput(slot, incarnation),
        );
        self.log_event(|| format!("start {slot}~{incarnation}"));
    }

    fn kill_process(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.node = None;
        process.wakes_at = None;
        process.paused_until = None;
        process.deferred_inputs.clear();
        let receiver = Some((slot, process.incarnation));
        let lost_requests: Vec<u64> = self
            .inbound
            .iter()
            .filter(|(_, inbound)| inbound.receiver == receiver)
            .map(|(request, _)| *request)
            .collect();
        for request in lost_requests {
            self.complete_call(request, Err(LinkError::Lost), 1_000);
        }
        let lost_callers: Vec<u64> = self
            .pending_callers
            .iter()
            .filter(|(_, at)| **at == slot)
            .map(|(call, _)| *call)
            .collect();
        for call in lost_callers {
            self.pending_callers.remove(&call);
            self.history.record_disconnect(call);
        }
        self.log_event(|| format!("stop {receiver:?}"));
    }

    /// Resumes a paused process if its pause is over, or in any case if `is_forced`.
    fn resume(&mut self, slot: usize, is_forced: bool) {
        let is_due = self.processes[slot]
            .paused_until
            .is_some_and(|until| is_forced || until <= self.now);
        if !is_due {
            return;
        }
        self.processes[slot].paused_until = None;
        let incarnation = self.processes[slot].incarnation;
        // Inputs that arrived during the pause are handled before the timers that expired in it.
        for input in std::mem::take(&mut self.processes[slot].deferred_inputs) {
            if self.processes[slot].incarnation == incarnation {
                self.handle_input(slot, input);
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        self.partitions.iter().any(|(a, b, until)| {
            *until > self.now && ((*a, *b) == (one, other) || (*b, *a) == (one, other))
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input(slot, incarnation, input) => {
                if self.processes[slot].incarnation == incarnation {
                    self.handle_input(slot, input);
                }
            }
            Event::RequestArrival(slot, request, envelope) => {
                let caller = self.inbound.get(&request).map(|inbound| inbound.caller);
                if self.processes[slot].node.is_none()
                    || caller.is_some_and(|(from, ..)| self.is_partitioned(from, slot))
                {
                    self.complete_call(request, Err(LinkError::Lost), 1_000);
                    return;
                }
                let receiver = Some((slot, self.processes[slot].incarnation));
                if let Some(inbound) = self.inbound.get_mut(&request) {
                    inbound.receiver = receiver;
                }
                self.handle_input(slot, Input::Request(request, envelope));
            }
            Event::CallDeadline(slot, incarnation, call) => {
                if self.processes[slot].incarnation != incarnation
                    || !self.processes[slot].pending_calls.contains(&call)
                {
                    return;
                }
                match self.processes[slot].paused_until {
                    Some(until) => {
                        self.schedule_event(until, Event::CallDeadline(slot, incarnation, call));
                    }
                    None => self.handle_input(slot, Input::Response(call, Err(LinkError::Lost))),
                }
            }
            Event::StoreCall(slot, incarnation, call, op, is_reply_lost) => {
                let is_unavailable = self.now < self.store_outage_until
                    || self.now < self.processes[slot].store_unreachable_until;
                let result = if is_unavailable {
                    Err(StoreError::Unavailable)
                } else {
                    let before = self.store.latest_config();
                    let result = self.store.perform(op);
                    if self.store.latest_config() > before {
                        self.config_written_at = self.now;
                    }
                    result
                };
                if !is_reply_lost {
                    let at = self.now.after_millis(2);
                    self.schedule_event(
                        at,
                        Event::Input(slot, incarnation, Input::StoreReply(call, result)),
                    );
                }
            }
            Event::Resume(slot) => self.resume(slot, false),
            Event::PeriodicInput(slot, incarnation) => self.periodic_input(slot, incarnation),
            Event::Step(step) => self.apply_step(step),
        }
    }

    fn periodic_input(&mut self, slot: usize, incarnation: u64) {
        if self.processes[slot].incarnation != incarnation || self.processes[slot].node.is_none() {
            return;
        }
        let process = &self.processes[slot];
        let is_paused = process.paused_until.is_some();
        if slot < AGENTS {
            if !is_paused && !process.is_endpoint_leaving {
                self.handle_input(slot, Input::EndpointRegistered);
            }
            self.schedule_event(
                self.now.after_millis(1_000),
                Event::PeriodicInput(slot, incarnation),
            );
            return;
        }
        let has_deferred_watch = process
            .deferred_inputs
            .iter()
            .any(|input| matches!(input, Input::WatchReturned(..)));
        if self.now >= self.store_outage_until
            && self.now >= process.store_unreachable_until
            && !(is_paused && has_deferred_watch)
        {
            let items = self.store.changed_since(process.watched_revision);
            self.processes[slot].watched_revision = self.store.revision();
            self.handle_input(slot, Input::WatchReturned(items, self.now));
        }
        self.schedule_event(
            self.now.after_millis(WATCH_INTERVAL_MS),
            Event::PeriodicInput(slot, incarnation),
        );
    }

    /// Passes an input to a process, or defers it while the process is paused.
    fn handle_input(&mut self, slot: usize, input: Input) {
        if self.processes[slot].node.is_none() {
            return;
        }
        if self.processes[slot].paused_until.is_some() {
            self.processes[slot].deferred_inputs.push_back(input);
            return;
        }
        if let Input::Response(call, _) = &input
            && !self.processes[slot].pending_calls.remove(call)
        {
            return;
        }
        self.run_step(slot, Some(input));
    }

    /// Runs one step of a process. A step without input is a tick.
    fn run_step(&mut self, slot: usize, input: Option<Input>) {
        let now = self.now;
        if let Some(input) = &input {
            self.log_event(|| format!("{slot} <- {input:?}"));
        }
        let process = &mut self.processes[slot];
        let (mut agent_actions, mut entry_actions) = (Vec::new(), Vec::new());
        let (config, wake) = match process.node.as_mut() {
            None => return,
            Some(Node::Agent(agent)) => {
                let input = match input {
                    None => AgentInput::Tick,
                    Some(Input::Request(request, envelope)) => AgentInput::Request {
                        call: CallId(request),
                        envelope,
                    },
                    Some(Input::Response(call, result)) => AgentInput::Response { call, result },
                    Some(Input::RunEnded(run, outcome)) => AgentInput::Ended { run, outcome },
                    Some(Input::EndpointRegistered) => {
                        if !agent.is_draining() {
                            self.history.record_return(agent.id().as_str());
                        }
                        AgentInput::Endpoint(Registration {
                            addr: addr(slot),
                            slots: self.schedule.slots,
                            connections: 64,
                            zone: "Saga".to_owned(),
                            limits: Resources::default(),
                        })
                    }
                    Some(Input::EndpointLeaving) => AgentInput::EndpointLeaving,
                    Some(Input::Drain) => AgentInput::Drain,
                    Some(_) => return,
                };
                if matches!(input, AgentInput::Drain | AgentInput::EndpointLeaving) {
                    self.history.record_leaving(now, agent.id().as_str());
                }
                agent.step(now, input, &mut process.rng, &mut agent_actions);
                (agent.config_version(), agent.next_wake())
            }
            Some(Node::Entry(entry)) => {
                let input = match input {
                    None => EntryInput::Tick,
                    Some(Input::Request(request, envelope)) => EntryInput::Request {
                        call: CallId(request),
                        envelope,
                    },
                    Some(Input::Response(call, result)) => EntryInput::Response { call, result },
                    Some(Input::Caller(caller, request)) => EntryInput::Caller {
                        call: CallId(caller),
                        request,
                    },
                    Some(Input::StoreReply(call, result)) => {
                        EntryInput::StoreResult { call, result }
                    }
                    Some(Input::WatchReturned(items, requested_at)) => EntryInput::WatchResult {
                        items,
                        requested_at,
                    },
                    Some(Input::Drain) => EntryInput::Drain,
                    Some(_) => return,
                };
                entry.step(now, input, &mut process.rng, &mut entry_actions);
                (entry.config_version(), entry.next_wake())
            }
        };
        // Drivers tick at most once per millisecond.
        process.wakes_at = wake.map(|wake| wake.max(now.after_millis(1)));
        if config < process.config {
            self.config_violations.push(format!(
                "the process in slot {slot} went back from configuration version {} to {config}",
                process.config
            ));
        }
        self.processes[slot].config = config;
        for action in agent_actions {
            self.perform_agent_action(slot, action);
        }
        for action in entry_actions {
            self.perform_entry_action(slot, action);
        }
    }

    fn perform_agent_action(&mut self, slot: usize, action: AgentAction) {
        match action {
            AgentAction::Reply { call, response } => self.send_reply(call.0, response),
            AgentAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => self.send_request(slot, call, addr, envelope, deadline),
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
            AgentAction::Stopped => self.kill_process(slot),
            AgentAction::Count(_) => {}
        }
    }

    fn perform_entry_action(&mut self, slot: usize, action: EntryAction) {
        match action {
            EntryAction::Answer { call, reply } => {
                self.log_event(|| format!("{slot} answers {call:?} {reply:?}"));
                self.pending_callers.remove(&call.0);
                self.history.record_reply(self.now, call.0, reply);
            }
            EntryAction::Reply { call, response } => self.send_reply(call.0, response),
            EntryAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => self.send_request(slot, call, addr, envelope, deadline),
            EntryAction::Store { call, op } => self.send_store_call(slot, call, op),
            EntryAction::Stopped => self.kill_process(slot),
            EntryAction::Count(_) => {}
        }
    }

    /// Sends a call to the key-value service.
    fn send_store_call(&mut self, slot: usize, call: CallId, op: StoreOp) {
        let fault = self
            .schedule
            .store_faults
            .get(&self.store_call_count)
            .copied();
        self.store_call_count += 1;
        self.log_event(|| format!("{slot} store {call:?} {fault:?} {op:?}"));
        let incarnation = self.processes[slot].incarnation;
        let delay = match fault {
            Some(StoreFault::Delayed(ms)) => ms,
            _ => 2,
        };
        let is_outcome_unknown =
            matches!(fault, Some(StoreFault::ReplyLost | StoreFault::RequestLost))
                || delay > STORE_TIMEOUT_MS;
        if !matches!(fault, Some(StoreFault::RequestLost)) {
            self.schedule_event(
                self.now.after_millis(delay),
                Event::StoreCall(slot, incarnation, call, op, is_outcome_unknown),
            );
        }
        if is_outcome_unknown {
            let input = Input::StoreReply(call, Err(StoreError::Unknown));
            self.schedule_input(STORE_TIMEOUT_MS * 1_000, slot, input);
        }
    }

    /// Returns the scheduled fault of the next message. Announcements have no faults and don't
    /// count as messages about jobs.
    fn next_message_fault(&mut self, is_announcement: bool) -> Option<MessageFault> {
        if is_announcement {
            return None;
        }
        self.message_count += 1;
        self.schedule
            .message_faults
            .get(&(self.message_count - 1))
            .copied()
    }

    /// Sends a request from one process to another.
    fn send_request(
        &mut self,
        from: usize,
        call: CallId,
        to: SocketAddr,
        envelope: Envelope,
        deadline: Time,
    ) {
        let to = slot(to);
        let incarnation = self.processes[from].incarnation;
        self.processes[from].pending_calls.insert(call);
        self.schedule_event(
            deadline.max(self.now),
            Event::CallDeadline(from, incarnation, call),
        );
        let fault = self.next_message_fault(matches!(envelope.request, Request::Announce(_)));
        self.log_event(|| format!("{from} -> {to} {call:?} {fault:?} {envelope:?}"));
        let is_unreachable = self.processes[to].node.is_none() || self.is_partitioned(from, to);
        if is_unreachable || matches!(fault, Some(MessageFault::NotSent)) {
            self.schedule_input(1_000, from, Input::Response(call, Err(LinkError::NotSent)));
            return;
        }
        if matches!(
            fault,
            Some(MessageFault::Lost | MessageFault::DelayedAfterError(_))
        ) {
            self.schedule_input(20_000, from, Input::Response(call, Err(LinkError::Lost)));
            if let Some(MessageFault::DelayedAfterError(ms)) = fault {
                self.sequence += 1;
                let arrival = Event::RequestArrival(to, self.sequence, envelope);
                self.schedule_event(self.now.after_millis(ms), arrival);
            }
            return;
        }
        let latency_us = self.random_latency_us();
        let delay = match fault {
            Some(MessageFault::Delayed(ms)) => latency_us + ms * 1_000,
            _ => latency_us,
        };
        self.sequence += 1;
        let request = self.sequence;
        let caller = (from, incarnation, call);
        self.inbound.insert(
            request,
            Inbound {
                caller,
                receiver: None,
            },
        );
        // A link never delivers a submission twice: a duplicate of a refused submission could be
        // accepted later.
        let is_delivered_once = matches!(envelope.request, Request::Submit(_));
        if let Some(MessageFault::Duplicated(ms)) = fault.filter(|_| !is_delivered_once) {
            self.sequence += 1;
            let duplicate = Event::RequestArrival(to, self.sequence, envelope.clone());
            self.schedule_event(self.now.after_micros(latency_us + ms * 1_000), duplicate);
        }
        self.schedule_event(
            self.now.after_micros(delay),
            Event::RequestArrival(to, request, envelope),
        );
    }

    /// Sends the reply to a request.
    fn send_reply(&mut self, request: u64, response: Response) {
        if let Response::Announce(reply) = &response
            && let Some(config) = &reply.config
        {
            self.check_config(config);
        }
        let fault = self.next_message_fault(matches!(response, Response::Announce(_)));
        let Some(inbound) = self.inbound.get(&request) else {
            return;
        };
        let is_lost_in_partition = inbound
            .receiver
            .is_some_and(|(receiver, _)| self.is_partitioned(receiver, inbound.caller.0));
        let latency_us = self.random_latency_us();
        match fault {
            _ if is_lost_in_partition => self.complete_call(request, Err(LinkError::Lost), 20_000),
            Some(
                MessageFault::Lost | MessageFault::NotSent | MessageFault::DelayedAfterError(_),
            ) => {
                self.complete_call(request, Err(LinkError::Lost), 20_000);
            }
            Some(MessageFault::Delayed(ms)) => {
                self.complete_call(request, Ok(response), latency_us + ms * 1_000);
            }
            Some(MessageFault::Duplicated(_)) | None => {
                self.complete_call(request, Ok(response), latency_us);
            }
        }
    }

    /// Returns the result of a call to its caller after some microseconds.
    fn complete_call(&mut self, request: u64, result: Result<Response, LinkError>, after_us: u64) {
        if let Some(inbound) = self.inbound.remove(&request) {
            let (slot, incarnation, call) = inbound.caller;
            let at = self.now.after_micros(after_us);
            self.schedule_event(
                at,
                Event::Input(slot, incarnation, Input::Response(call, result)),
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
        let job_index = payload[0]
            .as_u64()
            .and_then(|job| usize::try_from(job).ok())
            .unwrap_or(0);
        let (run_ms, mut end) = self.schedule.jobs[job_index].tasks[task as usize];
        if self.processes[slot].is_endpoint_failing {
            end = TaskEnd::Failed;
        }
        self.log_event(|| format!("{slot} starts {job} {task}, {end:?}"));
        if end != TaskEnd::Refused {
            let id = format!("host-{slot}~{:x}", self.processes[slot].incarnation);
            self.history.record_start(self.now, job, task, &id);
        }
        let run_end = self.now.after_millis(run_ms);
        let (at, outcome) = match end {
            TaskEnd::Done => (run_end, RunOutcome::Done(expected_result(job, task))),
            TaskEnd::Failed => (
                run_end,
                RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0)),
            ),
            TaskEnd::Refused => (
                self.now.after_millis(1),
                RunOutcome::NotStarted(Refusal::new(Reason::QueueFull, 0)),
            ),
            TaskEnd::Hangs => (
                Time::MAX,
                RunOutcome::Failed(Refusal::new(Reason::TaskFailed, 0)),
            ),
        };
        let deadline_outcome = RunOutcome::Failed(Refusal::new(Reason::DeadlinePassed, 0));
        let outcome = if at > deadline {
            deadline_outcome
        } else {
            outcome
        };
        let incarnation = self.processes[slot].incarnation;
        self.schedule_event(
            at.min(deadline),
            Event::Input(slot, incarnation, Input::RunEnded(run, outcome)),
        );
    }

    fn apply_step(&mut self, step: Step) {
        self.log_event(|| format!("{step:?}"));
        let now = self.now;
        match step {
            Step::Submit { job, entry } => self.submit_job(job, AGENTS + entry),
            Step::Fetch {
                job,
                entry,
                wait_ms,
            } => {
                let request = CallerRequest::Fetch {
                    job: job_id(job),
                    wait_ms,
                };
                self.fetch_or_cancel(AGENTS + entry, job, request, wait_ms);
            }
            Step::Cancel { job, entry } => {
                self.fetch_or_cancel(AGENTS + entry, job, CallerRequest::Cancel(job_id(job)), 0);
            }
            Step::Patch { entry } => self.submit_patch(AGENTS + entry),
            Step::Kill(slot) => {
                if self.processes[slot].node.is_some() {
                    self.kill_process(slot);
                }
            }
            Step::Start(slot) => self.start_process(slot),
            Step::Pause(slot, ms) => {
                if self.processes[slot].node.is_none() {
                    return;
                }
                let before = self.processes[slot].paused_until.unwrap_or(now);
                let until = before.max(now.after_millis(ms));
                self.processes[slot].paused_until = Some(until);
                self.schedule_event(until, Event::Resume(slot));
                for (call, _) in self.pending_callers.iter().filter(|(_, at)| **at == slot) {
                    self.history
                        .extend_deadline(*call, until.millis_since(before));
                }
            }
            Step::Drain(agent) => self.handle_input(agent, Input::Drain),
            Step::Endpoint { agent, is_leaving } => {
                self.processes[agent].is_endpoint_leaving = is_leaving;
                if is_leaving {
                    self.handle_input(agent, Input::EndpointLeaving);
                }
            }
            Step::Failing { agent, is_failing } => {
                self.processes[agent].is_endpoint_failing = is_failing;
            }
            Step::Partition(one, other, ms) => {
                self.partitions.push((one, other, now.after_millis(ms)));
            }
            Step::StorePartition { entry, ms } => {
                self.processes[AGENTS + entry].store_unreachable_until = now.after_millis(ms);
            }
            Step::StoreOutage(ms) => {
                self.store_outage_until = self.store_outage_until.max(now.after_millis(ms));
            }
        }
    }

    /// Sends a request of a caller to an entry.
    fn send_caller_request(
        &mut self,
        slot: usize,
        kind: CallKind,
        job: usize,
        request: CallerRequest,
        limit_ms: u64,
    ) {
        self.sequence += 1;
        let call = self.sequence;
        let from = self.processes[slot].paused_until.unwrap_or(self.now);
        self.history.record_request(
            self.now,
            call,
            kind,
            &job_id(job),
            from.after_millis(limit_ms),
        );
        self.pending_callers.insert(call, slot);
        self.handle_input(slot, Input::Caller(call, request));
    }

    fn submit_job(&mut self, job: usize, slot: usize) {
        if self.processes[slot].node.is_none() {
            return;
        }
        let (attempts, first) = self.attempts.get(&job).copied().unwrap_or((0, self.now));
        let age_ms = self.now.millis_since(first);
        if age_ms + 15_000 > WINDOW_MS {
            return;
        }
        let attempt = match attempts {
            0 => Attempt::First,
            _ => Attempt::Unresolved {
                age_ms: Some(age_ms),
            },
        };
        self.attempts.insert(job, (attempts + 1, first));
        let spec = self.schedule.jobs[job].clone();
        let task = |_| Task {
            kind: "plate".to_owned(),
            payload: json!([job]),
            expect_ms: None,
            needs: Resources::default(),
        };
        let submission = Submission {
            job: job_id(job),
            attempt,
            remaining_ms: spec.deadline_ms,
            tasks: (0..spec.tasks.len()).map(task).collect(),
        };
        let request = CallerRequest::Submit {
            submission,
            wait: spec.is_waiting,
        };
        self.send_caller_request(
            slot,
            CallKind::Submit {
                attempt: attempts + 1,
            },
            job,
            request,
            spec.deadline_ms,
        );
    }

    fn fetch_or_cancel(&mut self, slot: usize, job: usize, request: CallerRequest, wait_ms: u64) {
        // The entry asks up to 16 agents, and each one can take 1 s longer than the wait.
        let limit_ms = 16 * (wait_ms + 1_000);
        if self.processes[slot].node.is_some() {
            self.send_caller_request(slot, CallKind::FetchOrCancel, job, request, limit_ms);
        }
    }

    fn submit_patch(&mut self, slot: usize) {
        let Some(Node::Entry(entry)) = &self.processes[slot].node else {
            return;
        };
        let base = entry.config_version();
        self.sequence += 1;
        let call = self.sequence;
        let patch = Patch {
            id: format!("patch-{call}"),
            base,
            set: [("team.kitchen.quota".to_owned(), (90_000 + call).to_string())].into(),
            ..Patch::default()
        };
        self.handle_input(slot, Input::Caller(call, CallerRequest::Patch(patch)));
    }

    /// Checks that a configuration of a process equals the stored one of the same version.
    fn check_config(&mut self, config: &VersionedConfig) {
        let key = format!("config/{}", config.version);
        let stored = self
            .store
            .get(&key)
            .map(serde_json::from_str::<VersionedConfig>);
        if !matches!(&stored, Some(Ok(stored)) if stored == config) {
            self.config_violations.push(format!(
                "version {} is {config:?} at a process, but {stored:?} in the store",
                config.version
            ));
        }
    }

    /// Checks that every process has applied the latest configuration version.
    fn check_configs(&mut self) {
        let latest = Version(self.store.latest_config());
        for slot in 0..self.processes.len() {
            let version = match &self.processes[slot].node {
                None => continue,
                Some(Node::Agent(agent)) if agent.is_draining() => continue,
                Some(Node::Agent(agent)) => agent.config_version(),
                Some(Node::Entry(entry)) => entry.config_version(),
            };
            if version != latest {
                self.config_violations
                    .push(format!("the process in slot {slot} has configuration version {version}, the latest is {latest}"));
            }
        }
        let request = CallerRequest::Config(None);
        for slot in AGENTS..AGENTS + ENTRIES {
            let process = &mut self.processes[slot];
            let Some(Node::Entry(entry)) = process.node.as_mut() else {
                continue;
            };
            let input = EntryInput::Caller {
                call: CallId(u64::MAX),
                request: request.clone(),
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

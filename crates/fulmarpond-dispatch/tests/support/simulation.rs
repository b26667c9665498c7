//! The simulation: its processes and its event queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    self, Agent, AgentOptions, CallFailure, CallNo, EndReason, EndpointCall, EndpointReply,
};
use fulmarpond_dispatch::configuration::{Configuration, Route};
use fulmarpond_dispatch::directory::{Activity, Directory, StoreReply};
use fulmarpond_dispatch::entry::{self, AdviceFailure, Allowed, Entry, EntryOptions, RequestNo};
use fulmarpond_dispatch::maintenance::{HostCall, HostReply, Maintenance, Wave};
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EntryFrame, JobId, LeaseTimes, LinkNo, Registration, TaskKey, decode,
    encode,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::accept_queue::AcceptQueues;
use super::attempts::{AttemptFault, Attempts, RequestKey, Sides};
use super::configurations::Configurations;
use super::crash_reports::CrashReports;
use super::demand::{Demand, Reply};
use super::endpoint::{Endpoint, EndpointFault};
use super::evacuations::{AgentStoreCall, EvacuationState};
use super::gangs::GangKey;
use super::history::{History, MAX_ATTEMPTS};
use super::hosts::HostService;
use super::kept_connections::KeptConnections;
use super::network::Link;
use super::options::Options;
use super::peer_links::{PeerEvent, PeerFault, PeerLinks, Side};
use super::stalls::{Stall, Stalls};
use super::stops::{EntryStop, Stops};
use super::store::{Store, StoreFault};
use super::store_calls::{CallKey, InFlightCall, StoreOutcome};
use super::throttling::{Throttle, ThrottledAgents};
use super::trace;
use super::transfers::{Connection, Transfers};

/// One-way delay between an entry and an agent, in microseconds.
pub(super) const LINK_DELAY_US: u64 = 500;

/// One-way delay between an agent and its endpoint, in microseconds.
pub(super) const LOCAL_DELAY_US: u64 = 100;

/// Interval of the heartbeats of an endpoint, in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 1_500;

/// Maximum time that an endpoint takes to stop a run, in milliseconds.
pub(super) const MAX_STOP_MS: u64 = 50;

/// Time after the acknowledgement of a drain during which runs may still start, in milliseconds.
pub(super) const DRAIN_GRACE_MS: u64 = 2_000;

/// A fault that a schedule injects. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An entry crashes and restarts; its links close.
    KillEntry(usize),
    /// Like `KillEntry`, with the time until the restart.
    KillEntryFor(usize, u64),
    /// An entry stops gracefully and restarts.
    RestartEntry(usize),
    /// An entry stops as its process does: it keeps callers and runs until they are done or the grace period
    /// is over, withdraws its announcement, ends, and starts again after the second time.
    DrainEntry(usize, u64, u64),
    /// The second process of an entry starts under its name, and the first one begins to stop so much later,
    /// with a grace period.
    ReplaceEntry(usize, u64, u64),
    /// An entry finds no route for any job during this time.
    HideRoutes(usize, u64),
    /// The links between an agent and an entry are closed, and new ones cannot be opened during this time.
    CloseLinks(usize, usize, u64),
    /// An agent stops gracefully and restarts.
    RestartAgent(usize),
    /// A stopping agent stops the remaining runs at its endpoint.
    StopRuns(usize),
    /// Like `KillEntry`, but its links go silent instead of being closed.
    PowerOffEntry(usize),
    /// The next entry that writes the end of a failed run to the store meets this fault at the moment
    /// at which the store has carried out the write.
    Writer(WriterFault),
    /// An entry handles no events during this time.
    PauseEntry(usize, u64),
    /// An agent crashes and restarts; its links close.
    KillAgent(usize),
    /// An agent handles no events during this time.
    PauseAgent(usize, u64),
    /// An agent gets the processor only in bursts during this time.
    ThrottleAgent(usize, Throttle, u64),
    /// Links between an agent and an entry go silent, and new ones cannot be opened during this
    /// time.
    BlockLinks(usize, usize, u64),
    /// The existing links between an agent and an entry go silent for good; new ones work.
    SilenceLinks(usize, usize),
    Endpoint(usize, EndpointFault, u64),
    /// An endpoint restarts under its id and is down for this time; a heartbeat of its earlier life
    /// arrives later by the second time. Without a time of its start it gets a new id.
    RestartEndpoint(usize, u64, u64),
    /// An endpoint starts to drain.
    Drain(usize),
    /// All current runs at an endpoint fail.
    FailRuns(usize),
    Store(StoreFault, u64),
    /// The store does not answer an entry during this time; if the flag is set, it also revokes the
    /// entry's announcement.
    StoreUnreachable(usize, u64, bool),
    /// The store compacts its history.
    CompactStore,
    /// The host service loses this percentage of its replies to orders.
    HostReplies(u32, u64),
    /// The host service answers nothing.
    HostService(u64),
    /// The operator evacuates a zone for some time; if the flag is set, its endpoints are cold at
    /// the end.
    Evacuate(usize, u64, bool),
    /// The store does not answer an agent during this time.
    StoreUnreachableFromAgent(usize, u64),
    /// A fault of the connections between callers and an entry.
    Attempt(AttemptFault),
    /// A process is paused before its next effect of a kind.
    Stall(Stall),
    /// A fault of the links between two entries.
    Peer(PeerFault),
}

/// A fault of an entry that has just written to the store, before it has the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriterFault {
    /// It crashes and restarts; its links close.
    Kill,
    /// Like `Kill`, but its links go silent instead of being closed.
    PowerOff,
    /// It stops gracefully and restarts.
    Stop,
    /// All its links go silent; it lives on, and new ones work.
    Cut,
}

/// A scheduled event. Most events of a process carry its generation and are dropped after a
/// restart.
#[derive(Debug, Clone)]
pub(super) enum Event {
    WakeEntry(usize, u32),
    WakeAgent(usize, u32),
    /// Link, the frame, and the generation of the receiver if the frame waits in the buffer of its
    /// socket while it is paused. Such a frame is received even if the link is closed meanwhile.
    FrameArrivesAtEntry(usize, Vec<u8>, Option<u32>),
    FrameArrivesAtAgent(usize, Vec<u8>, Option<u32>),
    /// A link is established, at its entry if the flag is set or else at its agent.
    LinkUp(usize, bool),
    LinkDownAtAgent(usize, u32, LinkNo),
    LinkDownAtEntry(usize, u32, LinkNo),
    /// Agent, its generation, number of the call, the call, how often it was delayed, the id that
    /// it is addressed to, and the incarnation that the endpoint had when it was sent.
    EndpointCallArrives(usize, u32, CallNo, EndpointCall, u64, (EndpointId, u32)),
    EndpointCallAnswered(usize, u32, CallNo, Result<EndpointReply, CallFailure>),
    /// Agent, its generation, and the incarnation of its endpoint that has closed its connections.
    ConnectionsClosed(usize, u32, u32),
    /// Endpoint, its incarnation, and the hold whose wait time is over.
    EndHold(usize, u32, u64),
    CheckEndpoint(usize),
    EndExpiredRuns(usize),
    /// Endpoint, its incarnation, task, and number of the run.
    RunStopped(usize, u32, TaskKey, u32),
    /// Endpoint, its incarnation, and the task and number of the run that crashes it.
    RunCrashesEndpoint(usize, u32, TaskKey, u32),
    /// Endpoint and its incarnation.
    Heartbeat(usize, u32),
    /// A heartbeat of an earlier life of an endpoint.
    LateHeartbeat(usize, Box<Registration>),
    /// Job and number of the attempt.
    Submit(JobId, u32),
    AttemptTimesOut(JobId, u32),
    /// The connection of a waiting caller breaks on some sides.
    ConnectionBreaks(JobId, Sides),
    /// An entry reads a request of a job from its accept queue.
    RequestRead(RequestKey, JobId),
    /// An entry sees that the caller of a request has left.
    DepartureSeen(RequestKey),
    /// An event at a side of a link between entries.
    Peer(LinkNo, Side, PeerEvent),
    PeersUnblocked((usize, usize)),
    /// Process, its generation, and actions that it carries out after a pause.
    LateEntryEffects(usize, u32, Vec<entry::Action>),
    LateAgentEffects(usize, u32, Vec<agent::Action>),
    CancelIfAccepted(JobId, usize),
    /// Whether an entry that was asked to stop can end is looked at.
    CheckStop(EntryStop),
    /// An entry that has stopped ends.
    EndStop(EntryStop),
    FaultBegins(Fault),
    FaultEnds(Fault),
    StartEntry(usize),
    StartAgent(usize),
    StoreCallArrives(InFlightCall),
    /// Call, its activity, size of the reply in bytes, and the outcome.
    StoreAnswered(CallKey, Activity, u64, StoreOutcome),
    WatchTimesOut(CallKey),
    GangTimesOut(GangKey),
    AdviceAnswered(usize, u32, Result<Vec<Allowed>, AdviceFailure>),
    AddWave(Wave),
    HostCallArrives(CallKey, HostCall),
    HostCallAnswered(CallKey, Option<HostReply>),
    /// Zone, whether it is evacuated, and whether its endpoints become cold.
    WriteEvacuation(usize, bool, bool),
    AgentStoreCallArrives(AgentStoreCall),
    AgentStoreAnswered(AgentStoreCall, Option<StoreReply>),
    AgentWatchTimesOut(AgentStoreCall),
    /// Number of the transfer.
    TransferContinues(u64),
    /// Link and direction.
    FramesUnblocked(usize, usize),
    /// Number of routes that the operator adds.
    ChangeConfiguration(usize),
    /// Number of the change.
    ConfigurationAcked(usize),
    SendProbe(usize),
    /// Entry, its generation, number of the change that is asked for, and when it was sent.
    Probe(usize, u32, usize, Time),
}

/// A simulated process.
pub(super) struct Process<T> {
    /// The state machine of the process; `None` while the process is down.
    pub(super) core: Option<T>,
    /// Number of times that the process was killed.
    pub(super) generation: u32,
    /// The process handles no events before this time.
    pub(super) paused_until: Time,
    /// Time of the next scheduled wake-up.
    pub(super) next_wake: Time,
}

/// A job of a caller.
pub(super) struct Job {
    pub(super) demand: Demand,
    /// Time of the first attempt.
    pub(super) first_sent: Time,
    /// Number of the last attempt; the first attempt is 1.
    pub(super) attempt: u32,
    /// The pending attempt: its entry, the generation of the entry, and the request.
    pub(super) pending: Option<(usize, u32, RequestNo)>,
    pub(super) reply: Option<Reply>,
    /// Unix time of the first attempt, in milliseconds.
    pub(super) first_sent_unix_ms: u64,
}

/// Callers, entries, agents, endpoints and services in virtual time.
pub struct Simulation {
    pub(super) options: Options,
    pub(super) lease_times: LeaseTimes,
    pub(super) now: Time,
    /// Pending events by time and number, earliest first.
    pub(super) queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Pending events by number.
    pub(super) events: HashMap<u64, Event>,
    /// The last number given to an event, a request or a call.
    pub(super) last_id: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) entries: Vec<Process<Entry>>,
    pub(super) agents: Vec<Process<Agent>>,
    pub endpoints: Vec<Endpoint>,
    pub(super) links: Vec<Link>,
    /// Pairs of an agent and an entry that cannot connect.
    pub(super) blocked_links: HashSet<(usize, usize)>,
    /// Pending hold calls: agent, generation of the agent, and number of the call.
    pub(super) pending_holds: HashMap<u64, (usize, u32, CallNo)>,
    /// Endpoint calls whose outcome was delivered.
    pub(super) answered_calls: HashSet<(usize, u32, CallNo)>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Pending submissions, with the job and the attempt.
    pub(super) pending_requests: HashMap<(usize, u32, RequestNo), (JobId, u32)>,
    /// Pending cancellation requests.
    pub(super) pending_cancels: HashMap<(usize, u32, RequestNo), JobId>,
    /// Properties of all jobs.
    pub(super) demands: HashMap<JobId, Demand>,
    pub(super) configuration: Configuration,
    /// Time at which each agent acknowledged that its endpoint is draining.
    pub(super) drain_acked_at: HashMap<usize, Time>,
    /// Time of the last start of each agent.
    pub(super) agent_started_at: HashMap<usize, Time>,
    pub(super) store: Store,
    /// Faults of the next entries that write the end of a failed run.
    pub(super) writer_faults: Vec<WriterFault>,
    /// Entries that cannot reach the store.
    pub(super) store_unreachable_from: HashSet<usize>,
    pub(super) directories: Vec<Option<Directory>>,
    /// Pending watches.
    pub(super) pending_watches: Vec<InFlightCall>,
    pub(super) maintenance: Vec<Option<Maintenance>>,
    pub hosts: HostService,
    /// Started members of each active gang: agent and task.
    pub(super) active_gangs: HashMap<GangKey, Vec<(usize, TaskKey)>>,
    /// Store calls whose outcome was delivered.
    pub(super) answered_store_calls: HashSet<CallKey>,
    pub evacuations: EvacuationState,
    pub configurations: Configurations,
    pub transfers: Transfers,
    pub(super) throttled: ThrottledAgents,
    pub(super) kept_connections: KeptConnections,
    pub crash_reports: CrashReports,
    pub attempts: Attempts,
    pub accept_queues: AcceptQueues,
    pub stalls: Stalls,
    pub(super) stops: Stops,
    pub(super) peer_links: PeerLinks,
    pub history: History,
}

impl Simulation {
    pub fn new(options: Options) -> Self {
        let routes = base_routes(&options);
        let lease_times = LeaseTimes::new(options.resend_ms, 1_000, MAX_STOP_MS)
            .expect("the resend delay leaves time for leases");
        let mut sim = Self {
            options,
            lease_times,
            now: Time::from_millis(10_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_id: 0,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            links: Vec::new(),
            blocked_links: HashSet::new(),
            pending_holds: HashMap::new(),
            answered_calls: HashSet::new(),
            jobs: BTreeMap::new(),
            pending_requests: HashMap::new(),
            pending_cancels: HashMap::new(),
            demands: HashMap::new(),
            configuration: Configuration::new(1, routes, None),
            drain_acked_at: HashMap::new(),
            agent_started_at: HashMap::new(),
            store: Store::default(),
            writer_faults: Vec::new(),
            store_unreachable_from: HashSet::new(),
            directories: Vec::new(),
            pending_watches: Vec::new(),
            maintenance: Vec::new(),
            hosts: HostService::default(),
            active_gangs: HashMap::new(),
            answered_store_calls: HashSet::new(),
            evacuations: EvacuationState::default(),
            configurations: Configurations::default(),
            transfers: Transfers::default(),
            throttled: ThrottledAgents::default(),
            kept_connections: KeptConnections::default(),
            crash_reports: CrashReports::default(),
            attempts: Attempts::default(),
            accept_queues: AcceptQueues::default(),
            stalls: Stalls::default(),
            stops: Stops::default(),
            peer_links: PeerLinks::default(),
            history: History::default(),
        };
        sim.store.set_configuration(sim.configuration.clone());
        for entry in 0..options.entries {
            sim.directories.push(None);
            sim.maintenance.push(None);
            sim.entries.push(Process::new());
            sim.start_entry(entry);
        }
        if options.has_replacements {
            for _ in 0..options.entries {
                sim.directories.push(None);
                sim.maintenance.push(None);
                sim.entries.push(Process::new());
            }
        }
        for number in 0..options.agents {
            let clock_rate = 1.0 - 0.02 * sim.rng.random::<f64>();
            let kind = sim.kind(number);
            let cpu = (f64::from(options.cpu) * kind.size) as u32;
            let mut endpoint = Endpoint::new(number, 0, cpu, clock_rate);
            endpoint.set_kind(kind);
            if options.has_born {
                endpoint.born = sim.unix_ms();
            }
            sim.endpoints.push(endpoint);
            sim.agents.push(Process::new());
            sim.start_agent(number);
            sim.schedule_in_ms(20, Event::Heartbeat(number, 0));
        }
        sim
    }

    pub(super) fn base_routes(&self) -> Vec<Route> {
        base_routes(&self.options)
    }

    /// Returns a simulation with a store and three entries that has run for a second.
    pub fn with_store(seed: u64) -> Self {
        let mut sim = Self::new(Options {
            seed,
            entries: 3,
            is_durable: true,
            ..Options::default()
        });
        sim.run_ms(1_000);
        sim
    }

    // Time.

    pub(super) fn schedule_at(&mut self, time: Time, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((time, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    pub(super) fn schedule_in_us(&mut self, micros: u64, event: Event) {
        self.schedule_at(self.now.after_micros(micros), event);
    }

    pub(super) fn schedule_in_ms(&mut self, millis: u64, event: Event) {
        self.schedule_in_us(millis * 1_000, event);
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.elapsed_us() / 1_000
    }

    pub(super) fn elapsed_us(&self) -> u64 {
        self.now.micros_since(Time::from_millis(10_000))
    }

    /// Runs the simulation for some time.
    pub fn run_ms(&mut self, millis: u64) {
        let end = self.now.after_millis(millis);
        while let Some(&Reverse((time, number))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(time);
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Schedules a fault, in milliseconds from now.
    pub fn fault_at(&mut self, millis: u64, fault: Fault) {
        self.schedule_in_ms(millis, Event::FaultBegins(fault));
    }

    pub fn agent_counters(&self, agent: usize) -> fulmarpond_dispatch::Counters {
        let core = self.agents[agent].core.as_ref();
        core.map(|core| core.counters.clone()).unwrap_or_default()
    }

    /// Returns the number of links that agents have lost.
    pub fn links_lost(&self) -> u64 {
        let agents = 0..self.agents.len();
        agents
            .map(|agent| self.agent_counters(agent).links_lost)
            .sum()
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        self.entries[entry]
            .core
            .as_ref()
            .is_some_and(Entry::is_ready)
    }

    // Processes.

    pub(super) fn entry_addr(entry: usize) -> SocketAddr {
        ([10, 0, 0, entry as u8], 7_000).into()
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let options = EntryOptions {
            name: self.entry_name(entry),
            zone: Self::zone_name(entry % self.options.entries % self.options.zones),
            lease_times: self.lease_times,
            remote_factor: 1.5,
            incarnation: self.now.as_micros(),
            writes_per_second: 400,
            retention_ms: 120_000,
            advises: self.options.advice.is_some(),
        };
        let mut core = Entry::new(options, self.now);
        if !self.options.changes_configuration {
            let now = self.now;
            core.configure(self.configuration.clone(), now, &mut Vec::new());
        }
        self.directories[entry] = self.new_directory(self.now);
        self.maintenance[entry] = self.new_maintenance(entry);
        if self.directories[entry].is_some() {
            core.await_entries(self.now);
        }
        self.entries[entry].start(core);
        let generation = self.entries[entry].generation;
        self.schedule_in_us(1, Event::WakeEntry(entry, generation));
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let seeds = (0..self.options.entries).map(Self::entry_addr).collect();
        let options = AgentOptions {
            name: format!("agent-{agent}"),
            zone: Self::zone_name(agent % self.options.zones),
            seeds,
            lease_times: self.lease_times,
            heartbeat_interval_ms: HEARTBEAT_MS,
            fence: self.now.as_millis() << 8,
        };
        let mut core = Agent::new(options, self.now);
        if let Some(bound_ms) = self.options.evacuation_ms {
            core.watch_evacuations(bound_ms, self.now);
        }
        self.agents[agent].start(core);
        self.agent_started_at.insert(agent, self.now);
        let generation = self.agents[agent].generation;
        self.schedule_in_us(1, Event::WakeAgent(agent, generation));
    }

    /// Postpones an event of a paused process to the end of the pause; returns whether it was
    /// postponed.
    ///
    /// A wake-up comes last: the event loop handles the frames that have arrived before it ticks.
    pub(super) fn postpone_if_paused(&mut self, paused_until: Time, event: &Event) -> bool {
        if paused_until <= self.now {
            return false;
        }
        let is_wake = matches!(event, Event::WakeEntry(..) | Event::WakeAgent(..));
        let at = paused_until.after_micros(u64::from(is_wake));
        self.schedule_at(at, event.clone());
        true
    }

    /// Applies a function to the state machine of an entry and ticks it, then carries out the
    /// resulting actions and schedules the next wake-up.
    pub(super) fn with_entry(
        &mut self,
        entry: usize,
        act: impl FnOnce(&mut Entry, Time, &mut Vec<entry::Action>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        trace::set_context(self.elapsed_us(), "entry", entry);
        let unix_ms = self.unix_ms();
        if let Some(core) = &mut self.entries[entry].core {
            core.set_unix_ms(unix_ms);
            act(core, now, &mut out);
            core.tick(now, &mut out);
        }
        let is_stalled = self.stall_entry(entry, &mut out);
        for action in out {
            self.entry_action(entry, action);
        }
        if is_stalled {
            return;
        }
        self.tick_directory(entry);
        self.tick_maintenance(entry);
        self.schedule_entry_wake(entry);
    }

    /// Schedules the next wake-up of an entry, unless an earlier one is scheduled.
    pub(super) fn schedule_entry_wake(&mut self, entry: usize) {
        let process = &mut self.entries[entry];
        let Some(core) = &process.core else {
            return;
        };
        let directory = self.directories[entry].as_ref();
        let wake = core
            .next_wake()
            .min(directory.map_or(Time::MAX, Directory::next_wake));
        let wake = wake.max(self.now.after_micros(100));
        if process.next_wake <= self.now || wake < process.next_wake {
            process.next_wake = wake;
            let generation = process.generation;
            self.schedule_at(wake, Event::WakeEntry(entry, generation));
        }
    }

    /// Does the same as `with_entry` for an agent.
    pub(super) fn with_agent(
        &mut self,
        agent: usize,
        act: impl FnOnce(&mut Agent, Time, &mut Vec<agent::Action>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        trace::set_context(self.elapsed_us(), "agent", agent);
        if let Some(core) = &mut self.agents[agent].core {
            act(core, now, &mut out);
            core.tick(now, &mut out);
        }
        let is_stalled = self.stall_agent(agent, &mut out);
        for action in out {
            self.agent_action(agent, action);
        }
        if is_stalled {
            return;
        }
        let process = &mut self.agents[agent];
        let Some(core) = &process.core else {
            return;
        };
        let wake = core.next_wake().max(now.after_micros(100));
        if process.next_wake <= now || wake < process.next_wake {
            process.next_wake = wake;
            let generation = process.generation;
            self.schedule_at(wake, Event::WakeAgent(agent, generation));
        }
    }

    // Actions.

    pub(super) fn entry_action(&mut self, entry: usize, action: entry::Action) {
        match action {
            entry::Action::Store {
                activity,
                call,
                timeout,
            } => {
                if self.options.is_durable {
                    self.call_store(entry, activity, call, timeout);
                }
            }
            entry::Action::Advise {
                step, endpoints, ..
            } => self.call_advice(entry, &step, &endpoints),
            entry::Action::Dial { addr } => self.dial_peer(entry, addr),
            entry::Action::SendToEntry { link, frame } => {
                self.send_to_peer(entry, link, encode(&AgentFrame::Peer(frame)));
            }
            entry::Action::Close { link } if PeerLinks::is_peer(link) => {
                self.close_peer_link(entry, link);
            }
            entry::Action::Send { link, frame } if PeerLinks::is_peer(link) => {
                self.send_to_peer(entry, link, encode(&frame));
            }
            entry::Action::Close { link } => self.close_link(link, false),
            entry::Action::Send { link, frame } => self.send_frame(link, 1, encode(&frame)),
            entry::Action::Answer {
                request, answer, ..
            } => self.answer_request(entry, request, answer),
        }
    }

    pub(super) fn agent_action(&mut self, agent: usize, action: agent::Action) {
        match action {
            agent::Action::Dial { addr } => self.open_link(agent, addr),
            agent::Action::Observe { .. } => {}
            agent::Action::Close { link } => self.close_link(link, true),
            agent::Action::Send { link, frame } => {
                self.check_crash_report(&frame);
                let frame = self.known_speed(agent, frame);
                self.send_frame(link, 0, encode(&frame));
            }
            agent::Action::Store {
                number,
                call,
                timeout,
            } => self.call_store_from_agent(agent, number, call, timeout),
            agent::Action::Call {
                number,
                to,
                call,
                timeout,
                ..
            } => {
                let generation = self.agents[agent].generation;
                let incarnation = self.endpoints[agent].incarnation;
                let is_silent = self.endpoints[agent].fault == EndpointFault::Silent;
                if self.kept_connections.take(agent) {
                    self.reset_call(agent, generation, number);
                } else if self.endpoints[agent].fault == EndpointFault::Crashed {
                    let refused = Err(CallFailure::Refused);
                    self.schedule_in_us(
                        2 * LOCAL_DELAY_US,
                        Event::EndpointCallAnswered(agent, generation, number, refused),
                    );
                } else if !is_silent {
                    let arrive = Event::EndpointCallArrives(
                        agent,
                        generation,
                        number,
                        call,
                        0,
                        (to, incarnation),
                    );
                    self.schedule_in_us(LOCAL_DELAY_US, arrive);
                }
                let lost = Err(CallFailure::NoReply);
                self.schedule_in_ms(
                    timeout,
                    Event::EndpointCallAnswered(agent, generation, number, lost),
                );
            }
        }
    }

    pub(super) fn open_link(&mut self, agent: usize, addr: SocketAddr) {
        let SocketAddr::V4(v4) = addr else {
            return;
        };
        let entry = usize::from(v4.ip().octets()[3]);
        let number = self.links.len();
        let link = LinkNo(number as u64);
        self.links.push(Link {
            agent,
            entry,
            is_open: true,
            is_silent: false,
            last_arrival: [self.now; 2],
        });
        if let Some(core) = &mut self.agents[agent].core {
            core.dialed(addr, link);
        }
        let is_reachable =
            self.entries[entry].core.is_some() && !self.blocked_links.contains(&(agent, entry));
        if is_reachable {
            self.schedule_in_us(LINK_DELAY_US, Event::LinkUp(number, true));
            self.schedule_in_us(2 * LINK_DELAY_US, Event::LinkUp(number, false));
        } else {
            self.links[number].is_open = false;
            let generation = self.agents[agent].generation;
            self.schedule_in_ms(150, Event::LinkDownAtAgent(agent, generation, link));
        }
    }

    /// Sends a frame to the entry of a link (direction 0) or to its agent (direction 1). Frames of
    /// one direction arrive in order.
    pub(super) fn send_frame(&mut self, link: LinkNo, direction: usize, bytes: Vec<u8>) {
        let number = link.0 as usize;
        let now = self.now;
        let state = &mut self.links[number];
        if !state.is_open || state.is_silent {
            return;
        }
        let entry = state.entry;
        let earliest = now
            .after_micros(LINK_DELAY_US)
            .max(state.last_arrival[direction].after_micros(1));
        let Some(bytes) = self.queue_if_blocked(number, direction, bytes) else {
            return;
        };
        let len = bytes.len() as u64;
        if direction == 1 {
            self.spend_codec_time(entry, len);
        }
        let event = if direction == 0 {
            Event::FrameArrivesAtEntry(number, bytes, None)
        } else {
            Event::FrameArrivesAtAgent(number, bytes, None)
        };
        let connection = Connection::Link(number);
        match self.transfer(connection, (entry, direction), len, earliest, event) {
            Some(arrival) => self.links[number].last_arrival[direction] = arrival,
            None => self.block_frames(number, direction),
        }
    }

    /// Closes a link and notifies the other side, unless the link is silent.
    pub(super) fn close_link(&mut self, link: LinkNo, by_agent: bool) {
        let state = &mut self.links[link.0 as usize];
        if !state.is_open {
            return;
        }
        state.is_open = false;
        let (agent, entry, is_silent) = (state.agent, state.entry, state.is_silent);
        if is_silent {
            return;
        }
        if by_agent {
            let generation = self.entries[entry].generation;
            self.schedule_in_us(
                LINK_DELAY_US,
                Event::LinkDownAtEntry(entry, generation, link),
            );
        } else {
            let generation = self.agents[agent].generation;
            self.schedule_in_us(
                LINK_DELAY_US,
                Event::LinkDownAtAgent(agent, generation, link),
            );
        }
    }

    // Events.

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::WakeEntry(entry, generation) => {
                if self.entries[entry].generation == generation
                    && !self.postpone_if_paused(
                        self.entries[entry].paused_until,
                        &Event::WakeEntry(entry, generation),
                    )
                {
                    self.with_entry(entry, |_, _, _| {});
                }
            }
            Event::WakeAgent(agent, generation) => {
                if self.agents[agent].generation == generation
                    && !self.postpone_if_paused(
                        self.agents[agent].paused_until,
                        &Event::WakeAgent(agent, generation),
                    )
                {
                    self.with_agent(agent, |_, _, _| {});
                }
            }
            Event::FrameArrivesAtEntry(link, bytes, buffered_for) => {
                self.deliver_to_entry(link, &bytes, buffered_for);
            }
            Event::FrameArrivesAtAgent(link, bytes, buffered_for) => {
                self.deliver_to_agent(link, &bytes, buffered_for);
            }
            Event::LinkUp(link, at_entry) => self.link_up(link, at_entry),
            Event::LinkDownAtAgent(agent, generation, link) => {
                let paused = self.agents[agent].paused_until;
                let event = Event::LinkDownAtAgent(agent, generation, link);
                if self.agents[agent].generation == generation
                    && !self.postpone_if_paused(paused, &event)
                {
                    self.with_agent(agent, |core, now, out| core.link_down(link, now, out));
                }
            }
            Event::LinkDownAtEntry(entry, generation, link) => {
                let paused = self.entries[entry].paused_until;
                let event = Event::LinkDownAtEntry(entry, generation, link);
                if self.entries[entry].generation == generation
                    && !self.postpone_if_paused(paused, &event)
                {
                    self.with_entry(entry, |core, now, out| core.link_down(link, now, out));
                }
            }
            Event::EndpointCallArrives(agent, generation, number, call, delays, to) => {
                self.endpoint_call_arrives(agent, generation, number, call, delays, to);
            }
            Event::EndpointCallAnswered(agent, generation, number, outcome) => {
                self.endpoint_call_answered(agent, generation, number, outcome);
            }
            Event::ConnectionsClosed(agent, generation, incarnation) => {
                self.connections_closed(agent, generation, incarnation);
            }
            Event::EndHold(agent, incarnation, hold) => self.end_hold(agent, incarnation, hold),
            Event::CheckEndpoint(agent) => self.check_endpoint(agent),
            Event::EndExpiredRuns(agent) => self.end_expired_runs(agent),
            Event::RunStopped(agent, incarnation, task, run) => {
                let endpoint = &self.endpoints[agent];
                let is_same_run = endpoint.incarnation == incarnation
                    && endpoint
                        .runs
                        .get(&task)
                        .is_some_and(|live| live.number == run);
                if is_same_run {
                    self.end_run(agent, &task, EndReason::Cut);
                }
            }
            Event::RunCrashesEndpoint(agent, incarnation, task, run) => {
                self.run_crashes_endpoint(agent, incarnation, &task, run);
            }
            Event::Heartbeat(agent, incarnation) => self.heartbeat(agent, incarnation),
            Event::LateHeartbeat(agent, registration) => {
                self.deliver_heartbeat(agent, *registration);
            }
            Event::Submit(id, attempt) => self.submit_attempt(&id, attempt),
            Event::AttemptTimesOut(id, attempt) => self.attempt_times_out(&id, attempt),
            Event::ConnectionBreaks(id, sides) => self.break_connection(&id, sides),
            Event::RequestRead(request, id) => self.request_read(request, &id),
            Event::DepartureSeen(request) => self.departure_seen(request),
            Event::Peer(link, side, event) => self.handle_peer_event(link, side, event),
            Event::PeersUnblocked(pair) => self.peers_unblocked(pair),
            Event::LateEntryEffects(entry, generation, late) => {
                self.late_entry_effects(entry, generation, late);
            }
            Event::LateAgentEffects(agent, generation, late) => {
                self.late_agent_effects(agent, generation, late);
            }
            Event::CancelIfAccepted(id, entry) => self.cancel_if_accepted(&id, entry),
            Event::CheckStop(stop) => self.check_stop(stop),
            Event::EndStop(stop) => self.end_stop(stop),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::StartEntry(entry) => self.start_entry(entry),
            Event::StartAgent(agent) => self.start_agent(agent),
            Event::StoreCallArrives(sent) => self.store_call_arrives(sent),
            Event::StoreAnswered(by, activity, bytes, outcome) => {
                self.handle_store_reply(by, activity, bytes, outcome);
            }
            Event::WatchTimesOut(by) => self.watch_times_out(by),
            Event::AdviceAnswered(entry, generation, outcome) => {
                if self.entries[entry].generation == generation {
                    self.with_entry(entry, |core, now, out| {
                        core.handle_advice(outcome, now, out);
                    });
                }
            }
            Event::GangTimesOut(gang) => self.gang_times_out(&gang),
            Event::AddWave(wave) => self.add_wave(wave),
            Event::HostCallArrives(by, call) => self.host_call_arrives(by, &call),
            Event::HostCallAnswered(by, reply) => self.host_call_answered(by, reply),
            Event::WriteEvacuation(zone, is_evacuated, cold) => {
                self.write_evacuation(zone, is_evacuated, cold);
            }
            Event::AgentStoreCallArrives(sent) => self.agent_store_call_arrives(sent),
            Event::AgentStoreAnswered(sent, reply) => self.agent_store_answered(&sent, reply),
            Event::AgentWatchTimesOut(sent) => self.agent_watch_times_out(sent),
            Event::TransferContinues(number) => self.continue_transfer(number),
            Event::FramesUnblocked(link, direction) => self.frames_unblocked(link, direction),
            Event::ChangeConfiguration(routes) => self.change_configuration(routes),
            Event::ConfigurationAcked(index) => self.configuration_acked(index),
            Event::SendProbe(entry) => self.send_probe(entry),
            Event::Probe(entry, generation, index, sent) => {
                self.probe(entry, generation, index, sent);
            }
        }
    }

    pub(super) fn link_up(&mut self, number: usize, at_entry: bool) {
        let (agent, entry, is_open) = {
            let link = &self.links[number];
            (link.agent, link.entry, link.is_open)
        };
        if !is_open {
            return;
        }
        let link = LinkNo(number as u64);
        if at_entry {
            if !self.postpone_if_paused(
                self.entries[entry].paused_until,
                &Event::LinkUp(number, true),
            ) {
                self.with_entry(entry, |core, _, out| core.link_up(link, out));
            }
        } else if !self.postpone_if_paused(
            self.agents[agent].paused_until,
            &Event::LinkUp(number, false),
        ) {
            self.with_agent(agent, |core, now, out| core.link_up(link, now, out));
        }
    }

    pub(super) fn deliver_to_entry(
        &mut self,
        number: usize,
        bytes: &[u8],
        buffered_for: Option<u32>,
    ) {
        let link = &self.links[number];
        let entry = link.entry;
        let process = &self.entries[entry];
        let generation = process.generation;
        let is_received = match buffered_for {
            Some(receiver) => receiver == generation,
            None => link.is_open && !link.is_silent,
        };
        let event = Event::FrameArrivesAtEntry(number, bytes.to_vec(), Some(generation));
        if !is_received || self.postpone_if_paused(process.paused_until, &event) {
            return;
        }
        self.spend_codec_time(entry, bytes.len() as u64);
        let frame: AgentFrame = decode(bytes).expect("a valid frame from an agent");
        let link = LinkNo(number as u64);
        self.with_entry(entry, |core, now, out| {
            core.handle_frame(link, frame, now, out);
        });
    }

    pub(super) fn deliver_to_agent(
        &mut self,
        number: usize,
        bytes: &[u8],
        buffered_for: Option<u32>,
    ) {
        let link = &self.links[number];
        let agent = link.agent;
        let process = &self.agents[agent];
        let generation = process.generation;
        let is_received = match buffered_for {
            Some(receiver) => receiver == generation,
            None => link.is_open && !link.is_silent,
        };
        let event = Event::FrameArrivesAtAgent(number, bytes.to_vec(), Some(generation));
        if !is_received || self.postpone_if_paused(process.paused_until, &event) {
            return;
        }
        let frame: EntryFrame = decode(bytes).expect("a valid frame from an entry");
        let link = LinkNo(number as u64);
        self.with_agent(agent, |core, now, out| {
            core.handle_frame(link, frame, now, out);
        });
    }
}

fn base_routes(options: &Options) -> Vec<Route> {
    let routes = (0..3).map(|number| Route {
        name: format!("route-{number}"),
        host: "host".to_owned(),
        prefix: format!("/{number}/"),
        service: "service".to_owned(),
        priority: number,
        attempts: MAX_ATTEMPTS,
        stretch: 1.6,
        target_ms: 60,
        advice: options.advice,
    });
    routes.collect()
}

impl<T> Process<T> {
    const fn new() -> Self {
        Self {
            core: None,
            generation: 0,
            paused_until: Time::from_micros(0),
            next_wake: Time::from_micros(0),
        }
    }

    pub(super) fn start(&mut self, core: T) {
        self.core = Some(core);
        self.paused_until = Time::default();
        self.next_wake = Time::default();
    }
}

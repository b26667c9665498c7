//! The simulation: its processes and its event queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    self, Agent, AgentOptions, CallFailure, CallNo, EndHow, EndpointCall, EndpointReply,
};
use fulmarpond_dispatch::directory::{Directory, Duty};
use fulmarpond_dispatch::entry::{
    self, AdviceFailure, Allowed, Configuration, Entry, EntryOptions, RequestNo, Route,
};
use fulmarpond_dispatch::maintenance::{HostCall, HostReply, Maintenance, Wave};
use fulmarpond_dispatch::{AgentFrame, Bounds, EntryFrame, JobId, LinkNo, TaskKey, decode, encode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::caller::{Demand, Reply};
use super::endpoint::{Endpoint, Trouble};
use super::gangs::GangKey;
use super::history::{ATTEMPTS, History};
use super::hosts::Hosts;
use super::network::Link;
use super::options::Options;
use super::store::{Store, StoreTrouble};
use super::stored::{Caller, Outcome, Sent};
use super::trace;

/// One-way delay between an entry and an agent, in microseconds.
pub(super) const DELAY_US: u64 = 500;

/// One-way delay between an agent and its endpoint, in microseconds.
pub(super) const LOCAL_US: u64 = 100;

/// Interval of the heartbeats of an endpoint, in milliseconds.
pub(super) const BEAT_MS: u64 = 1_500;
/// Maximum time that an endpoint takes to stop a run, in milliseconds.
pub(super) const STOP_MS: u64 = 50;
/// Time after the acknowledgement of a drain during which runs may still start, in milliseconds.
pub(super) const DRAIN_MS: u64 = 2_000;

/// A fault that a schedule injects. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillEntry(usize),
    /// An entry stops gracefully and restarts.
    RollEntry(usize),
    /// An agent stops gracefully and restarts.
    RollAgent(usize),
    /// A stopping agent stops the remaining runs at its endpoint.
    StopRuns(usize),
    /// Like `KillEntry`, but its links go silent instead of being closed.
    PowerOffEntry(usize),
    PauseEntry(usize, u64),
    KillAgent(usize),
    PauseAgent(usize, u64),
    /// Links between an agent and an entry go silent, and new ones cannot be opened during this
    /// time.
    Cut(usize, usize, u64),
    /// The existing links between an agent and an entry go silent for good; new ones work.
    Silence(usize, usize),
    Endpoint(usize, Trouble, u64),
    Drain(usize),
    /// All current runs at an endpoint fail.
    FailRuns(usize),
    Store(StoreTrouble, u64),
    /// The store does not answer an entry during this time; if the flag is set, it also revokes the
    /// entry's announcement.
    StoreCut(usize, u64, bool),
    /// The store compacts its history.
    Compact,
    /// The host service loses this percentage of its replies to orders.
    HostReplies(u32, u64),
    /// The host service answers nothing.
    HostService(u64),
}

/// A scheduled event. Most events of a process carry its generation, and are
/// dropped after a restart.
#[derive(Debug, Clone)]
pub(super) enum Event {
    WakeEntry(usize, u32),
    WakeAgent(usize, u32),
    ToEntry(usize, Vec<u8>),
    ToAgent(usize, Vec<u8>),
    LinkUp(usize, bool),
    LinkDownAtAgent(usize, u32, LinkNo),
    LinkDownAtEntry(usize, u32, LinkNo),
    Arrive(usize, u32, CallNo, EndpointCall, u64, bool),
    Answer(usize, u32, CallNo, Result<EndpointReply, CallFailure>),
    HoldEnds(usize, u32, u64),
    Check(usize),
    Lapse(usize),
    StopEnds(usize, u32, TaskKey, u32),
    Beat(usize, u32),
    Submit(JobId, u32),
    Left(JobId, u32),
    Cancel(JobId, usize),
    Fault(Fault),
    Heal(Fault),
    StartEntry(usize),
    StartAgent(usize),
    ToStore(Sent),
    FromStore(Caller, Duty, Outcome),
    WatchEnds(Caller),
    GangMisses(GangKey),
    Advised(usize, u32, Result<Vec<Allowed>, AdviceFailure>),
    Wave(Wave),
    ToHosts(Caller, HostCall),
    FromHosts(Caller, Option<HostReply>),
}

/// A simulated process.
pub(super) struct Node<T> {
    /// The state machine of the process; `None` while the process is down.
    pub(super) core: Option<T>,
    /// Number of times that the process was killed.
    pub(super) life: u32,
    /// The process handles no events before this time.
    pub(super) paused: Time,
    /// Time of the next scheduled wake-up.
    pub(super) wake: Time,
}

/// A job of a caller.
pub(super) struct Job {
    pub(super) demand: Demand,
    /// Time of the first attempt.
    pub(super) first: Time,
    /// Number of the last attempt; the first attempt is 1.
    pub(super) attempt: u32,
    /// The pending attempt: its entry, the generation of the entry, and the request.
    pub(super) at: Option<(usize, u32, RequestNo)>,
    pub(super) reply: Option<Reply>,
    /// Wall-clock time of the first attempt, in milliseconds since 1970.
    pub(super) due: u64,
}

/// Callers, entries, agents, endpoints and services in virtual time.
pub struct World {
    pub(super) options: Options,
    pub(super) bounds: Bounds,
    pub(super) now: Time,
    /// Pending events by time and number, earliest first.
    pub(super) queue: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) events: HashMap<u64, Event>,
    pub(super) next: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) entries: Vec<Node<Entry>>,
    pub(super) agents: Vec<Node<Agent>>,
    pub endpoints: Vec<Endpoint>,
    pub(super) links: Vec<Link>,
    /// Pairs of an agent and an entry that cannot connect.
    pub(super) cuts: HashSet<(usize, usize)>,
    /// Pending hold calls: agent, generation of the agent, and number of the call.
    pub(super) holds: HashMap<u64, (usize, u32, CallNo)>,
    /// Endpoint calls whose outcome was delivered.
    pub(super) answered: HashSet<(usize, u32, CallNo)>,
    pub(super) jobs: HashMap<JobId, Job>,
    /// Pending submissions, with the job and the attempt.
    pub(super) requests: HashMap<(usize, u32, RequestNo), (JobId, u32)>,
    /// Pending cancellation requests.
    pub(super) cancels: HashMap<(usize, u32, RequestNo), JobId>,
    /// Properties of all jobs.
    pub(super) needs: HashMap<JobId, Demand>,
    pub(super) configuration: Configuration,
    /// Time at which each agent acknowledged that its endpoint is draining.
    pub(super) drained: HashMap<usize, Time>,
    /// Time of the last start of each agent.
    pub(super) restarted: HashMap<usize, Time>,
    pub(super) store: Store,
    /// Entries that cannot reach the store.
    pub(super) store_cuts: HashSet<usize>,
    pub(super) directories: Vec<Option<Directory>>,
    /// Pending watches.
    pub(super) watches: Vec<Sent>,
    pub(super) maintenance: Vec<Option<Maintenance>>,
    pub hosts: Hosts,
    /// Started members of each active gang: agent and task.
    pub(super) gangs: HashMap<GangKey, Vec<(usize, TaskKey)>>,
    /// Store calls whose outcome was delivered.
    pub(super) store_answered: HashSet<Caller>,
    pub history: History,
}

impl World {
    pub fn new(options: Options) -> Self {
        let routes = (0..3).map(|number| Route {
            name: format!("route-{number}"),
            host: "host".to_owned(),
            prefix: format!("/{number}/"),
            service: "service".to_owned(),
            priority: number,
            attempts: ATTEMPTS,
            stretch: 1.6,
            target_ms: 60,
            advice: options.advice,
        });
        let bounds = Bounds::new(options.resend_ms, 1_000, STOP_MS)
            .expect("the resend delay leaves time for leases");
        let mut world = Self {
            options,
            bounds,
            now: Time::from_millis(10_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            links: Vec::new(),
            cuts: HashSet::new(),
            holds: HashMap::new(),
            answered: HashSet::new(),
            jobs: HashMap::new(),
            requests: HashMap::new(),
            cancels: HashMap::new(),
            needs: HashMap::new(),
            configuration: Configuration::new(1, routes.collect(), None),
            drained: HashMap::new(),
            restarted: HashMap::new(),
            store: Store::default(),
            store_cuts: HashSet::new(),
            directories: Vec::new(),
            watches: Vec::new(),
            maintenance: Vec::new(),
            hosts: Hosts::default(),
            gangs: HashMap::new(),
            store_answered: HashSet::new(),
            history: History::default(),
        };
        world.store.configuration = Some(world.configuration.clone());
        for entry in 0..options.entries {
            world.directories.push(None);
            world.maintenance.push(None);
            world.entries.push(Node::new());
            world.start_entry(entry);
        }
        for number in 0..options.agents {
            let rate = 1.0 - 0.02 * world.rng.random::<f64>();
            world
                .endpoints
                .push(Endpoint::new(number, 0, options.cpu, rate));
            world.agents.push(Node::new());
            world.start_agent(number);
            world.after_ms(20, Event::Beat(number, 0));
        }
        world
    }

    /// Returns a simulation with a store and three entries that has run for a second.
    pub fn with_store(seed: u64) -> Self {
        let mut world = Self::new(Options {
            seed,
            entries: 3,
            kept: true,
            ..Options::default()
        });
        world.run_ms(1_000);
        world
    }

    // Time.

    pub(super) fn at(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next)));
        self.events.insert(self.next, event);
    }

    pub(super) fn after_us(&mut self, micros: u64, event: Event) {
        self.at(self.now.after_micros(micros), event);
    }

    pub(super) fn after_ms(&mut self, millis: u64, event: Event) {
        self.after_us(millis * 1_000, event);
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
        self.after_ms(millis, Event::Fault(fault));
    }

    pub fn agent_counters(&self, agent: usize) -> fulmarpond_dispatch::Counters {
        let core = self.agents[agent].core.as_ref();
        core.map(|core| core.counters.clone()).unwrap_or_default()
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        self.entries[entry]
            .core
            .as_ref()
            .is_some_and(Entry::is_ready)
    }

    // Nodes.

    pub(super) fn entry_addr(entry: usize) -> SocketAddr {
        ([10, 0, 0, entry as u8], 7_000).into()
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let options = EntryOptions {
            name: format!("entry-{entry}"),
            zone: format!("zone-{}", entry % 2),
            bounds: self.bounds,
            far: 1.5,
            life: self.now.as_micros(),
            writes: 400,
            keep_ms: 120_000,
            advises: self.options.advice.is_some(),
        };
        let mut core = Entry::new(options, self.now);
        core.configure(self.configuration.clone(), &mut Vec::new());
        self.directories[entry] = self.new_directory(self.now);
        self.maintenance[entry] = self.new_maintenance(entry);
        self.entries[entry].start(core);
        let life = self.entries[entry].life;
        self.after_us(1, Event::WakeEntry(entry, life));
    }

    pub(super) fn start_agent(&mut self, agent: usize) {
        let seeds = (0..self.options.entries).map(Self::entry_addr).collect();
        let options = AgentOptions {
            name: format!("agent-{agent}"),
            zone: format!("zone-{}", agent % 2),
            seeds,
            bounds: self.bounds,
            beat_ms: BEAT_MS,
            fence: self.now.as_millis() << 8,
        };
        let core = Agent::new(options, self.now);
        self.agents[agent].start(core);
        self.restarted.insert(agent, self.now);
        let life = self.agents[agent].life;
        self.after_us(1, Event::WakeAgent(agent, life));
    }

    /// Postpones an event of a paused process to the end of the pause; returns whether it was
    /// postponed.
    pub(super) fn put_off(&mut self, paused: Time, event: &Event) -> bool {
        if paused <= self.now {
            return false;
        }
        self.at(paused, event.clone());
        true
    }

    pub(super) fn with_entry(
        &mut self,
        entry: usize,
        act: impl FnOnce(&mut Entry, Time, &mut Vec<entry::Action>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        trace::at(self.elapsed_us(), "entry", entry);
        let wall = self.wall();
        if let Some(core) = &mut self.entries[entry].core {
            core.set_wall(wall);
            act(core, now, &mut out);
            core.tick(now, &mut out);
        }
        for action in out {
            self.entry_action(entry, action);
        }
        self.tick_directory(entry);
        self.tick_maintenance(entry);
        self.plan_entry(entry);
    }

    pub(super) fn plan_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let Some(core) = &node.core else {
            return;
        };
        let directory = self.directories[entry].as_ref();
        let wake = core
            .wake()
            .min(directory.map_or(Time::MAX, Directory::wake));
        let wake = wake.max(self.now.after_micros(100));
        if node.wake <= self.now || wake < node.wake {
            node.wake = wake;
            let life = node.life;
            self.at(wake, Event::WakeEntry(entry, life));
        }
    }

    pub(super) fn with_agent(
        &mut self,
        agent: usize,
        act: impl FnOnce(&mut Agent, Time, &mut Vec<agent::Action>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        trace::at(self.elapsed_us(), "agent", agent);
        if let Some(core) = &mut self.agents[agent].core {
            act(core, now, &mut out);
            core.tick(now, &mut out);
        }
        for action in out {
            self.agent_action(agent, action);
        }
        let node = &mut self.agents[agent];
        let Some(core) = &node.core else {
            return;
        };
        let wake = core.wake().max(now.after_micros(100));
        if node.wake <= now || wake < node.wake {
            node.wake = wake;
            let life = node.life;
            self.at(wake, Event::WakeAgent(agent, life));
        }
    }

    // Actions.

    pub(super) fn entry_action(&mut self, entry: usize, action: entry::Action) {
        match action {
            entry::Action::Store {
                duty,
                call,
                timeout,
            } => {
                if self.options.kept {
                    self.call_store(entry, duty, call, timeout);
                }
            }
            entry::Action::Advise {
                step, endpoints, ..
            } => self.advise(entry, &step, &endpoints),
            entry::Action::Close { link } => self.close(link, false),
            entry::Action::Send { link, frame } => self.send(link, 1, encode(&frame)),
            entry::Action::Answer {
                request, answer, ..
            } => self.answer(entry, request, answer),
        }
    }

    pub(super) fn agent_action(&mut self, agent: usize, action: agent::Action) {
        match action {
            agent::Action::Dial { addr } => self.dial(agent, addr),
            agent::Action::Observe { .. } => {}
            agent::Action::Close { link } => self.close(link, true),
            agent::Action::Send { link, frame } => self.send(link, 0, encode(&frame)),
            agent::Action::Call {
                number,
                to,
                call,
                timeout,
                ..
            } => {
                let life = self.agents[agent].life;
                let same = to == self.endpoints[agent].id();
                let silent = self.endpoints[agent].trouble == Trouble::Silent;
                if self.endpoints[agent].trouble == Trouble::Gone {
                    let refused = Err(CallFailure::Refused);
                    self.after_us(2 * LOCAL_US, Event::Answer(agent, life, number, refused));
                } else if !silent {
                    let arrive = Event::Arrive(agent, life, number, call, 0, same);
                    self.after_us(LOCAL_US, arrive);
                }
                let lost = Err(CallFailure::NoReply);
                self.after_ms(timeout, Event::Answer(agent, life, number, lost));
            }
        }
    }

    pub(super) fn dial(&mut self, agent: usize, addr: SocketAddr) {
        let SocketAddr::V4(v4) = addr else {
            return;
        };
        let entry = usize::from(v4.ip().octets()[3]);
        let number = self.links.len();
        let link = LinkNo(number as u64);
        self.links.push(Link {
            agent,
            entry,
            open: true,
            silent: false,
            last: [self.now; 2],
        });
        if let Some(core) = &mut self.agents[agent].core {
            core.dialed(addr, link);
        }
        let reachable = self.entries[entry].core.is_some() && !self.cuts.contains(&(agent, entry));
        if reachable {
            self.after_us(DELAY_US, Event::LinkUp(number, true));
            self.after_us(2 * DELAY_US, Event::LinkUp(number, false));
        } else {
            self.links[number].open = false;
            let life = self.agents[agent].life;
            self.after_ms(150, Event::LinkDownAtAgent(agent, life, link));
        }
    }

    pub(super) fn send(&mut self, link: LinkNo, direction: usize, bytes: Vec<u8>) {
        let number = link.0 as usize;
        let now = self.now;
        let state = &mut self.links[number];
        if !state.open || state.silent {
            return;
        }
        let arrival = now
            .after_micros(DELAY_US)
            .max(state.last[direction].after_micros(1));
        state.last[direction] = arrival;
        let event = if direction == 0 {
            Event::ToEntry(number, bytes)
        } else {
            Event::ToAgent(number, bytes)
        };
        self.at(arrival, event);
    }

    /// Closes a link and notifies the other side, unless the link is silent.
    pub(super) fn close(&mut self, link: LinkNo, by_agent: bool) {
        let state = &mut self.links[link.0 as usize];
        if !state.open {
            return;
        }
        state.open = false;
        let (agent, entry, silent) = (state.agent, state.entry, state.silent);
        if silent {
            return;
        }
        if by_agent {
            let life = self.entries[entry].life;
            self.after_us(DELAY_US, Event::LinkDownAtEntry(entry, life, link));
        } else {
            let life = self.agents[agent].life;
            self.after_us(DELAY_US, Event::LinkDownAtAgent(agent, life, link));
        }
    }

    // Events.

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::WakeEntry(entry, life) => {
                if self.entries[entry].life == life
                    && !self.put_off(self.entries[entry].paused, &Event::WakeEntry(entry, life))
                {
                    self.with_entry(entry, |_, _, _| {});
                }
            }
            Event::WakeAgent(agent, life) => {
                if self.agents[agent].life == life
                    && !self.put_off(self.agents[agent].paused, &Event::WakeAgent(agent, life))
                {
                    self.with_agent(agent, |_, _, _| {});
                }
            }
            Event::ToEntry(link, bytes) => self.deliver_to_entry(link, &bytes),
            Event::ToAgent(link, bytes) => self.deliver_to_agent(link, &bytes),
            Event::LinkUp(link, at_entry) => self.link_up(link, at_entry),
            Event::LinkDownAtAgent(agent, life, link) => {
                let paused = self.agents[agent].paused;
                let event = Event::LinkDownAtAgent(agent, life, link);
                if self.agents[agent].life == life && !self.put_off(paused, &event) {
                    self.with_agent(agent, |core, now, out| core.link_down(link, now, out));
                }
            }
            Event::LinkDownAtEntry(entry, life, link) => {
                let paused = self.entries[entry].paused;
                let event = Event::LinkDownAtEntry(entry, life, link);
                if self.entries[entry].life == life && !self.put_off(paused, &event) {
                    self.with_entry(entry, |core, now, out| core.link_down(link, now, out));
                }
            }
            Event::Arrive(agent, life, number, call, tries, same) => {
                self.arrive(agent, life, number, call, tries, same);
            }
            Event::Answer(agent, life, number, outcome) => {
                self.call_answered(agent, life, number, outcome);
            }
            Event::HoldEnds(agent, incarnation, call) => self.hold_ends(agent, incarnation, call),
            Event::Check(agent) => self.check_endpoint(agent),
            Event::Lapse(agent) => self.lapse(agent),
            Event::StopEnds(agent, incarnation, task, run) => {
                let endpoint = &self.endpoints[agent];
                let same = endpoint.incarnation == incarnation
                    && endpoint
                        .runs
                        .get(&task)
                        .is_some_and(|live| live.number == run);
                if same {
                    self.end_run(agent, &task, EndHow::Cut);
                }
            }
            Event::Beat(agent, incarnation) => self.beat(agent, incarnation),
            Event::Submit(id, attempt) => self.submit(&id, attempt),
            Event::Left(id, attempt) => self.leave(&id, attempt),
            Event::Cancel(id, entry) => self.cancel_accepted(&id, entry),
            Event::Fault(fault) => self.fault(fault),
            Event::Heal(fault) => self.heal(fault),
            Event::StartEntry(entry) => self.start_entry(entry),
            Event::StartAgent(agent) => self.start_agent(agent),
            Event::ToStore(sent) => self.arrive_at_store(sent),
            Event::FromStore(by, duty, outcome) => self.store_replies(by, duty, outcome),
            Event::WatchEnds(by) => self.watch_ends(by),
            Event::Advised(entry, life, outcome) => {
                if self.entries[entry].life == life {
                    self.with_entry(entry, |core, now, out| core.advised(outcome, now, out));
                }
            }
            Event::GangMisses(gang) => self.gang_misses(&gang),
            Event::Wave(wave) => self.begin_wave(wave),
            Event::ToHosts(by, call) => self.arrive_at_hosts(by, &call),
            Event::FromHosts(by, reply) => self.hosts_reply(by, reply),
        }
    }

    pub(super) fn link_up(&mut self, number: usize, at_entry: bool) {
        let (agent, entry, open) = {
            let link = &self.links[number];
            (link.agent, link.entry, link.open)
        };
        if !open {
            return;
        }
        let link = LinkNo(number as u64);
        if at_entry {
            if !self.put_off(self.entries[entry].paused, &Event::LinkUp(number, true)) {
                self.with_entry(entry, |core, _, out| core.link_up(link, out));
            }
        } else if !self.put_off(self.agents[agent].paused, &Event::LinkUp(number, false)) {
            self.with_agent(agent, |core, now, out| core.link_up(link, now, out));
        }
    }

    pub(super) fn deliver_to_entry(&mut self, number: usize, bytes: &[u8]) {
        let (entry, usable) = {
            let link = &self.links[number];
            (link.entry, link.open && !link.silent)
        };
        if !usable
            || self.put_off(
                self.entries[entry].paused,
                &Event::ToEntry(number, bytes.to_vec()),
            )
        {
            return;
        }
        let frame: AgentFrame = decode(bytes).expect("a valid frame from an agent");
        let link = LinkNo(number as u64);
        self.with_entry(entry, |core, now, out| core.frame(link, frame, now, out));
    }

    pub(super) fn deliver_to_agent(&mut self, number: usize, bytes: &[u8]) {
        let (agent, usable) = {
            let link = &self.links[number];
            (link.agent, link.open && !link.silent)
        };
        if !usable
            || self.put_off(
                self.agents[agent].paused,
                &Event::ToAgent(number, bytes.to_vec()),
            )
        {
            return;
        }
        let frame: EntryFrame = decode(bytes).expect("a valid frame from an entry");
        let link = LinkNo(number as u64);
        self.with_agent(agent, |core, now, out| core.frame(link, frame, now, out));
    }
}

impl<T> Node<T> {
    const fn new() -> Self {
        Self {
            core: None,
            life: 0,
            paused: Time::from_micros(0),
            wake: Time::from_micros(0),
        }
    }

    pub(super) fn start(&mut self, core: T) {
        self.core = Some(core);
        self.paused = Time::default();
        self.wake = Time::default();
    }
}

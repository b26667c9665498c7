//! The state machine of an agent.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use rand::Rng;

use super::stop::StopPhase;
use super::{AgentAction, AgentInput, Context, Count};
use crate::contract::{Reason, Refusal};
use crate::home::{Home, HomeOptions};
use crate::link::{Announce, AnnounceReply, CallId, Envelope, LinkError, Request, Response};
use crate::machine::{AgentId, Load};
use crate::policy::{Policy, Version};
use crate::runner::{Runner, RunnerOptions};
use crate::zone::{Roster, Zone};
use crate::{Role, Time};

/// Call ids above this value are assigned to requests of the agent to itself.
const LOCAL_CALL_ID_BASE: u64 = 1 << 63;
/// The timeout of calls to entries and heirs in milliseconds.
pub(super) const CALL_TIMEOUT_MS: u64 = 2_000;

/// The identity and settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// The id of this incarnation.
    pub id: AgentId,
    /// The address at which other processes reach the link listener of the agent.
    pub addr: SocketAddr,
    /// The availability zone of the agent.
    pub zone: Zone,
    /// The addresses of the link listeners of the entries.
    pub entries: Vec<SocketAddr>,
    /// Milliseconds between announcements until an entry requests another interval.
    pub announce_ms: u64,
    /// The roster window in milliseconds.
    pub roster_window_ms: u64,
    /// The settings of the home.
    pub home: HomeOptions,
    /// The settings of the runner.
    pub runner: RunnerOptions,
}

/// The purpose of an outgoing call that neither the home nor the runner made.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// An announcement, with the position of the entry and the time of sending.
    Announce(usize, Time),
    Handover,
    Leave,
}

/// The state machine of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) options: AgentOptions,
    pub(super) home: Home,
    pub(super) runner: Runner,
    pub(super) roster: Roster,
    /// The latest time at which the roster was confirmed to match the platform's key-value service.
    roster_confirmed_at: Option<Time>,
    /// The recent roster versions, each with the time at which it was received.
    roster_versions: VecDeque<(Time, u64)>,
    last_step_at: Time,
    /// When the last detected pause of the process ended.
    resumed_at: Option<Time>,
    policy: Policy,
    config_version: Version,
    pub(super) last_call_id: u64,
    pub(super) pending_calls: HashMap<CallId, PendingCall>,
    /// The calls of the agent to itself, by the id of the request that each became.
    local_calls: HashMap<CallId, CallId>,
    last_local_call_id: u64,
    /// When the next announcement to each entry is due.
    pub(super) next_announcements: Vec<Time>,
    announced_load: Load,
    pub(super) stop_phase: StopPhase,
}

impl Agent {
    /// Creates an agent that only knows the addresses of its entries.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            home: Home::new(options.home),
            runner: Runner::new(options.runner),
            roster: Roster::default(),
            roster_confirmed_at: None,
            roster_versions: VecDeque::new(),
            last_step_at: Time::default(),
            resumed_at: None,
            policy: Policy::default(),
            config_version: Version::default(),
            last_call_id: 0,
            pending_calls: HashMap::new(),
            local_calls: HashMap::new(),
            last_local_call_id: LOCAL_CALL_ID_BASE,
            next_announcements: vec![Time::default(); options.entries.len()],
            announced_load: Load::default(),
            stop_phase: StopPhase::NotStopping,
            options,
        }
    }

    /// Returns the id of this incarnation.
    pub fn id(&self) -> &AgentId {
        &self.options.id
    }

    /// Returns the home of this agent.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Returns the runner of this agent.
    pub fn runner(&self) -> &Runner {
        &self.runner
    }

    /// Returns the roster that the agent last received.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration version in force.
    pub fn config_version(&self) -> Version {
        self.config_version
    }

    /// Returns whether the agent is stopping.
    pub fn is_draining(&self) -> bool {
        self.stop_phase != StopPhase::NotStopping
    }

    /// Returns whether the agent accepts new jobs and tasks. It must be a member of a confirmed
    /// roster, with an open endpoint.
    pub fn is_ready(&self, now: Time) -> bool {
        self.stop_phase == StopPhase::NotStopping
            && !self.is_stale(now)
            && self.roster.contains(&self.options.id)
            && self.runner.is_open(now)
    }

    fn is_stale(&self, now: Time) -> bool {
        self.roster_confirmed_at
            .is_none_or(|confirmed| now.millis_since(confirmed) >= self.options.roster_window_ms)
    }

    fn is_fresh(&self, now: Time) -> bool {
        let roster_fresh_ms = self.options.home.roster_fresh_ms;
        self.roster_confirmed_at
            .is_some_and(|confirmed| now.millis_since(confirmed) <= roster_fresh_ms)
    }

    /// Records the time of a step. A long gap since the last step indicates that the process was
    /// paused. Also drops outdated roster versions.
    fn record_step(&mut self, now: Time) {
        let has_stepped = self.last_step_at > Time::default();
        if has_stepped
            && now.millis_since(self.last_step_at) > self.options.home.roster_fresh_ms / 3
        {
            self.resumed_at = Some(now);
        }
        self.last_step_at = now;
        let settle_ms = 2 * self.options.home.roster_fresh_ms;
        while self.roster_versions.len() > 1
            && now.millis_since(self.roster_versions[1].0) >= settle_ms
        {
            self.roster_versions.pop_front();
        }
    }

    /// Returns the latest roster version that was received long enough ago for all other processes
    /// to have it, or 0.
    fn settled_roster_version(&self, now: Time) -> u64 {
        let settle_ms = 2 * self.options.home.roster_fresh_ms;
        self.roster_versions
            .front()
            .filter(|(received, _)| now.millis_since(*received) >= settle_ms)
            .map_or(0, |(_, version)| *version)
    }

    /// Calls `f` with the home, the runner and the context of this step.
    pub(super) fn with_context<R: Rng, T>(
        &mut self,
        now: Time,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
        f: impl FnOnce(&mut Home, &mut Runner, &mut Context<'_, R>) -> T,
    ) -> T {
        let settled_version = self.settled_roster_version(now);
        let is_roster_fresh = self.is_fresh(now);
        let pause_ms = self.options.home.roster_fresh_ms / 3;
        let was_paused = self
            .resumed_at
            .is_some_and(|resumed| now.millis_since(resumed) <= pause_ms);
        let mut ctx = Context {
            now,
            settled_version,
            is_roster_fresh,
            was_paused,
            own_id: &self.options.id,
            roster: &self.roster,
            policy: &self.policy,
            is_draining: self.stop_phase != StopPhase::NotStopping,
            rng,
            last_call_id: &mut self.last_call_id,
            actions,
        };
        f(&mut self.home, &mut self.runner, &mut ctx)
    }

    fn handle_input<R: Rng>(
        &mut self,
        now: Time,
        input: AgentInput,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        match input {
            AgentInput::Request { call, envelope } => {
                self.handle_request(now, call, envelope, rng, actions);
            }
            AgentInput::Response { call, result } => {
                if let Some(pending) = self.pending_calls.remove(&call) {
                    self.handle_own_response(now, &pending, result, rng, actions);
                } else {
                    self.with_context(now, rng, actions, |home, _, ctx| {
                        home.handle_response(ctx, call, result);
                    });
                }
            }
            AgentInput::Endpoint(registration) => {
                self.with_context(now, rng, actions, |_, runner, ctx| {
                    runner.register(ctx, registration);
                });
            }
            AgentInput::EndpointLeaving => {
                self.with_context(now, rng, actions, |_, runner, ctx| {
                    runner.drain_endpoint(ctx);
                });
                self.next_announcements.fill(now);
            }
            AgentInput::Ended { run, outcome } => {
                self.with_context(now, rng, actions, |_, runner, ctx| {
                    runner.handle_run_ended(ctx, run, outcome);
                });
            }
            AgentInput::Drain => self.start_draining(now, rng, actions),
            AgentInput::Tick => self.tick(now, rng, actions),
        }
    }

    fn handle_request<R: Rng>(
        &mut self,
        now: Time,
        call: CallId,
        envelope: Envelope,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        if envelope
            .to
            .as_ref()
            .is_some_and(|to| *to != self.options.id)
        {
            let response = Response::Refused(Refusal::new(Reason::WrongAgent, 0));
            actions.push(AgentAction::Reply { call, response });
            return;
        }
        if let Some(refusal) = self.check_state(now, &envelope.request) {
            actions.push(AgentAction::Count(Count::NotRun(refusal.reason)));
            let response = Response::Refused(refusal);
            actions.push(AgentAction::Reply { call, response });
            return;
        }
        self.with_context(now, rng, actions, |home, runner, ctx| {
            match envelope.request {
                Request::Submit(submit) => home.submit(ctx, call, *submit),
                Request::Fetch(fetch) => home.fetch(ctx, call, &fetch),
                Request::Status(request) => home.status(ctx, call, &request),
                Request::Events(request) => home.events(ctx, call, &request),
                Request::Cancel(cancel) => home.cancel(ctx, call, &cancel),
                Request::Seal(seal) => home.seal(ctx, call, &seal),
                Request::Run(batch) => runner.run(ctx, call, batch),
                Request::Reserve(reserve) => runner.reserve(ctx, call, reserve),
                Request::Withdraw(withdraw) => runner.withdraw(ctx, call, withdraw),
                Request::Ask(ask) => runner.ask(ctx, call, ask),
                Request::Handover(handover) => {
                    home.merge_handover(ctx, handover);
                    ctx.reply(call, Response::Done);
                }
                Request::Announce(_) | Request::Leave(_) => {
                    let refusal =
                        Refusal::new(Reason::Invalid, 0).detail("only entries handle this request");
                    ctx.reply(call, Response::Refused(refusal));
                }
            }
        });
    }

    /// Returns a refusal if the request adds jobs or tombstones and the agent can't accept them
    /// because it is stopping or its roster is stale.
    fn check_state(&self, now: Time, request: &Request) -> Option<Refusal> {
        let adds_records = matches!(
            request,
            Request::Submit(_) | Request::Seal(_) | Request::Handover(_)
        );
        if !adds_records {
            return None;
        }
        // Tombstones that are added after the handover began would be lost.
        if !matches!(
            self.stop_phase,
            StopPhase::NotStopping | StopPhase::Draining
        ) {
            return Some(Refusal::new(Reason::Draining, 0));
        }
        if self.stop_phase == StopPhase::Draining && matches!(request, Request::Handover(_)) {
            return Some(Refusal::new(Reason::Draining, 0));
        }
        let is_stale = matches!(request, Request::Submit(_)) && self.is_stale(now);
        is_stale.then(|| Refusal::new(Reason::StaleRoster, self.options.announce_ms))
    }

    fn handle_own_response<R: Rng>(
        &mut self,
        now: Time,
        pending: &PendingCall,
        result: Result<Response, LinkError>,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        match (pending, result) {
            (PendingCall::Announce(entry, sent), Ok(Response::Announce(reply))) => {
                self.next_announcements[*entry] = now.after_millis(reply.next_ms);
                self.apply_announce_reply(now, *sent, *reply, rng, actions);
            }
            (PendingCall::Announce(..), _) => {}
            (PendingCall::Handover, result) => {
                self.handle_handover_reply(now, matches!(result, Ok(Response::Done)), actions);
            }
            (PendingCall::Leave, Ok(Response::Done)) => {
                if self.stop_phase != StopPhase::Stopped {
                    self.stop_phase = StopPhase::Stopped;
                    actions.push(AgentAction::Stopped);
                }
            }
            (PendingCall::Leave, _) => self.retry_leave(now, actions),
        }
    }

    /// Applies the roster, the configuration and the agent loads that an entry sent.
    ///
    /// The age of the roster counts from the time at which the announcement was sent, since the
    /// reply may have been queued while the process was paused.
    fn apply_announce_reply<R: Rng>(
        &mut self,
        now: Time,
        sent: Time,
        reply: AnnounceReply,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        // An entry with an older roster can't confirm the newer one.
        if reply.roster.version >= self.roster.version() {
            let age_us = reply.age_ms.saturating_mul(1_000);
            let confirmed = Time::from_micros(sent.as_micros().saturating_sub(age_us));
            if reply.age_ms < self.options.roster_window_ms {
                self.roster_confirmed_at = self.roster_confirmed_at.max(Some(confirmed));
            }
        }
        if self.roster.apply(reply.roster) {
            self.roster_versions.push_back((now, self.roster.version()));
        }
        if let Some(config) = reply.config
            && config.version > self.config_version
            && let Ok(policy) = Policy::try_from(&config.values)
        {
            self.policy = policy;
            self.config_version = config.version;
        }
        let mut peers = reply.peers;
        peers.retain(|peer| peer.agent != self.options.id);
        // The home keeps using the slots of this agent while the agent drains.
        let mut own_peer = self.own_peer(now);
        own_peer.leaving = !self.runner.is_open(now);
        peers.push(own_peer);
        self.with_context(now, rng, actions, |home, _, ctx| {
            home.update_peers(ctx, &peers);
        });
    }

    fn own_peer(&self, now: Time) -> crate::link::Peer {
        crate::link::Peer {
            agent: self.options.id.clone(),
            addr: self.options.addr,
            zone: self.options.zone.clone(),
            load: self.runner.load(now),
            limits: self.runner.limits(),
            leaving: self.is_draining() || !self.runner.is_open(now),
            age_ms: 0,
        }
    }

    pub(super) fn announce(&mut self, now: Time, entry: usize, actions: &mut Vec<AgentAction>) {
        let own_peer = self.own_peer(now);
        let request = Request::Announce(Box::new(Announce {
            agent: own_peer.agent,
            addr: own_peer.addr,
            zone: own_peer.zone,
            load: own_peer.load,
            leaving: own_peer.leaving,
            limits: own_peer.limits,
            roster: self.roster.version(),
            config: self.config_version,
            usage: self.home.usage(),
        }));
        self.announced_load = own_peer.load;
        self.next_announcements[entry] = now.after_millis(self.options.announce_ms);
        self.call_entry(
            now,
            entry,
            request,
            PendingCall::Announce(entry, now),
            actions,
        );
    }

    pub(super) fn call_entry(
        &mut self,
        now: Time,
        entry: usize,
        request: Request,
        pending: PendingCall,
        actions: &mut Vec<AgentAction>,
    ) {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.pending_calls.insert(call, pending);
        actions.push(AgentAction::Call {
            call,
            addr: self.options.entries[entry],
            envelope: Envelope { to: None, request },
            deadline: now.after_millis(CALL_TIMEOUT_MS),
        });
    }

    fn tick<R: Rng>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<AgentAction>) {
        self.with_context(now, rng, actions, |home, runner, ctx| {
            runner.tick(ctx);
            home.tick(ctx);
        });
        if !matches!(
            self.stop_phase,
            StopPhase::Leaving { .. } | StopPhase::Stopped
        ) {
            for entry in 0..self.next_announcements.len() {
                if now >= self.next_announcements[entry] {
                    self.announce(now, entry, actions);
                }
            }
        }
    }

    /// Turns calls of the agent to itself, and the replies to them, into inputs, so that they need
    /// no message.
    fn take_local_calls(
        &mut self,
        actions: &mut Vec<AgentAction>,
        start: usize,
    ) -> Vec<AgentInput> {
        let mut inputs = Vec::new();
        let mut index = start;
        while index < actions.len() {
            let is_local = match &actions[index] {
                AgentAction::Call { envelope, .. } => {
                    envelope.to.as_ref() == Some(&self.options.id)
                }
                AgentAction::Reply { call, .. } => self.local_calls.contains_key(call),
                _ => false,
            };
            if !is_local {
                index += 1;
                continue;
            }
            match actions.remove(index) {
                AgentAction::Call { call, envelope, .. } => {
                    self.last_local_call_id += 1;
                    let local_call = CallId(self.last_local_call_id);
                    self.local_calls.insert(local_call, call);
                    inputs.push(AgentInput::Request {
                        call: local_call,
                        envelope,
                    });
                }
                AgentAction::Reply { call, response } => {
                    if let Some(call) = self.local_calls.remove(&call) {
                        inputs.push(AgentInput::Response {
                            call,
                            result: Ok(response),
                        });
                    }
                }
                _ => {}
            }
        }
        inputs
    }
}

impl Role for Agent {
    type Input = AgentInput;
    type Action = AgentAction;

    fn step<R: Rng>(
        &mut self,
        now: Time,
        input: AgentInput,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        self.record_step(now);
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let start = actions.len();
            self.handle_input(now, input, rng, actions);
            self.advance_stop(now, actions);
            inputs.extend(self.take_local_calls(actions, start));
        }
    }

    fn next_wake(&self) -> Option<Time> {
        if self.stop_phase == StopPhase::Stopped {
            return None;
        }
        let still_announces = !matches!(self.stop_phase, StopPhase::Leaving { .. });
        let announce = self
            .next_announcements
            .iter()
            .copied()
            .min()
            .filter(|_| still_announces);
        [self.home.next_wake(), self.runner.next_wake(), announce]
            .into_iter()
            .flatten()
            .min()
    }
}

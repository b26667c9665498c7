//! The state machine of an agent.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use rand::Rng;

use super::local_calls::LOCAL_CALL_ID_BASE;
use super::stop::StopPhase;
use super::{AgentAction, AgentInput, Context};
use crate::home::{Home, HomeOptions};
use crate::link::{CallId, Envelope, LinkError, Request, Response};
use crate::machine::{AgentId, Load};
use crate::policy::{Policy, Version};
use crate::runner::{Runner, RunnerOptions};
use crate::zone::{Roster, Zone};
use crate::{Role, Time};

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
    pub(super) roster_confirmed_at: Option<Time>,
    /// The recent roster versions, each with the time at which it was received.
    pub(super) roster_versions: VecDeque<(Time, u64)>,
    pub(super) last_step_at: Time,
    /// When the last detected pause of the process ended.
    pub(super) resumed_at: Option<Time>,
    pub(super) policy: Policy,
    pub(super) config_version: Version,
    pub(super) last_call_id: u64,
    pub(super) pending_calls: HashMap<CallId, PendingCall>,
    /// The calls of the agent to itself, by the id of the request that each became.
    pub(super) local_calls: HashMap<CallId, CallId>,
    pub(super) last_local_call_id: u64,
    /// When the next announcement to each entry is due.
    pub(super) next_announcements: Vec<Time>,
    pub(super) announced_load: Load,
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

//! The state machine of one entry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::Rng;

use super::action::{
    CallerReply, CallerRequest, EntryAction, EntryInput, StoreError, StoreItem, StoreOp, StoreReply,
};
use super::configuration::{CONFIG_PREFIX, Patching};
use super::lookup::{Lookup, Question};
use super::membership::{Heard, ROSTER_KEY, Writer};
use super::routing::Route;
use crate::agent::Count;
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, Envelope, LinkError, Request, Response, VersionedConfig};
use crate::machine::AgentId;
use crate::policy::{Policy, Version};
use crate::retry::Budget;
use crate::zone::Roster;
use crate::{Role, Time};

/// Milliseconds between ticks while nothing else is due.
const TICK_MS: u64 = 500;
/// A pause of the process in milliseconds after which silence of others proves nothing, and requests
/// may be old.
pub(super) const PAUSE_MS: u64 = 2_000;
/// Milliseconds after which another entry is expected to take a request.
const RETRY_STOP_MS: u64 = 50;

/// The identity and intervals of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name of the entry.
    pub name: String,
    /// Milliseconds between the announcements of an agent.
    pub announce_ms: u64,
    /// Milliseconds of silence after which an agent is removed from the roster.
    pub silence_ms: u64,
    /// The roster window in milliseconds.
    pub window_ms: u64,
}

/// What an outgoing call is about.
#[derive(Debug)]
pub(super) enum Pending {
    Submit(CallId),
    Lookup(CallId),
    RosterWrite,
    RosterRead,
    PatchBase(CallId),
    PatchWrite(CallId),
    PatchRead(CallId),
    ConfigRead(CallId),
}

/// The state machine of one entry.
#[derive(Debug)]
pub struct Entry {
    pub(super) options: EntryOptions,
    pub(super) roster: Roster,
    /// When the roster was last known to be the one in the platform's service.
    pub(super) confirmed: Option<Time>,
    pub(super) writer: Writer,
    pub(super) heard: BTreeMap<AgentId, Heard>,
    pub(super) policy: Policy,
    pub(super) config: Version,
    pub(super) configs: BTreeMap<Version, VersionedConfig>,
    pub(super) budget: Budget,
    pub(super) routes: HashMap<CallId, Route>,
    pub(super) lookups: HashMap<CallId, Lookup>,
    pub(super) patches: HashMap<CallId, Patching>,
    pub(super) last_tick: Time,
    pub(super) last_step: Time,
    /// Since when the process runs without a pause.
    pub(super) awake: Time,
    pending: HashMap<CallId, Pending>,
    calls: u64,
    draining: bool,
    stopped: bool,
}

/// What the parts of an entry share during one step.
pub(super) struct Step<'a, R: Rng> {
    pub(super) now: Time,
    pub(super) rng: &'a mut R,
    pub(super) actions: &'a mut Vec<EntryAction>,
}

impl<R: Rng> Step<'_, R> {
    /// Answers a caller or operator.
    pub(super) fn answer(&mut self, call: CallId, reply: CallerReply) {
        self.actions.push(EntryAction::Answer { call, reply });
    }

    /// Replies to a request that came over a link.
    pub(super) fn reply(&mut self, call: CallId, response: Response) {
        self.actions.push(EntryAction::Reply { call, response });
    }

    /// Counts something.
    pub(super) fn count(&mut self, count: Count) {
        self.actions.push(EntryAction::Count(count));
    }
}

impl Entry {
    /// Creates an entry that knows neither roster nor configuration.
    pub fn new(options: EntryOptions) -> Self {
        Self {
            options,
            roster: Roster::default(),
            confirmed: None,
            writer: Writer::default(),
            heard: BTreeMap::new(),
            policy: Policy::default(),
            config: Version::default(),
            configs: BTreeMap::new(),
            budget: Budget::new(),
            routes: HashMap::new(),
            lookups: HashMap::new(),
            patches: HashMap::new(),
            last_tick: Time::default(),
            last_step: Time::default(),
            awake: Time::default(),
            pending: HashMap::new(),
            calls: 0,
            draining: false,
            stopped: false,
        }
    }

    /// Returns the roster as the entry knows it.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration version in force.
    pub fn config(&self) -> Version {
        self.config
    }

    /// Returns the requests of callers that are not answered.
    pub fn open(&self) -> usize {
        self.routes.len() + self.lookups.len() + self.patches.len()
    }

    /// Returns whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the entry can route jobs: it has read a roster with members.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.roster.live().next().is_some()
    }

    /// Returns when the roster was last known to be the one in the platform's service.
    pub fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Calls an agent.
    pub(super) fn call<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        addr: SocketAddr,
        envelope: Envelope,
        deadline: Time,
        pending: Pending,
    ) {
        let call = self.next_call(pending);
        step.actions.push(EntryAction::Call {
            call,
            addr,
            envelope,
            deadline,
        });
    }

    /// Calls the platform's service.
    pub(super) fn store<R: Rng>(&mut self, step: &mut Step<'_, R>, op: StoreOp, pending: Pending) {
        let call = self.next_call(pending);
        step.actions.push(EntryAction::Store { call, op });
    }

    fn next_call(&mut self, pending: Pending) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        self.pending.insert(call, pending);
        call
    }

    fn caller<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, request: CallerRequest) {
        if self.draining {
            self.refuse_draining(step, call, request);
            return;
        }
        match request {
            CallerRequest::Submit { submission, wait } => self.submit(step, call, submission, wait),
            CallerRequest::Fetch { job, wait_ms } => {
                self.look_up(step, call, job, Question::Fetch(wait_ms));
            }
            CallerRequest::Status(job) => self.look_up(step, call, job, Question::Status),
            CallerRequest::Events { job, from, wait_ms } => {
                self.look_up(step, call, job, Question::Events(from, wait_ms));
            }
            CallerRequest::Cancel(job) => self.look_up(step, call, job, Question::Cancel),
            CallerRequest::Endpoints => {
                let peers = self.peers(step, None);
                step.answer(call, CallerReply::Endpoints(peers));
            }
            CallerRequest::Roster => step.answer(call, CallerReply::Roster(self.roster.clone())),
            CallerRequest::Teams => {
                let teams = self.teams(step.now);
                step.answer(call, CallerReply::Teams(teams));
            }
            CallerRequest::Config(version) => self.config_reply(step, call, version),
            CallerRequest::Patch(patch) => self.patch(step, call, patch),
        }
    }

    fn refuse_draining<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        request: CallerRequest,
    ) {
        let refusal = Refusal::new(Reason::Draining, RETRY_STOP_MS);
        match request {
            CallerRequest::Submit { submission, .. } => {
                self.refuse_submission(step, call, &submission, refusal);
            }
            _ => step.answer(call, CallerReply::Refused(refusal)),
        }
    }

    fn request<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, envelope: Envelope) {
        match envelope.request {
            Request::Announce(announce) => self.announced(step, call, *announce),
            Request::Leave(leave) => self.left(step, call, leave),
            _ => {
                let refusal = Refusal::new(Reason::Invalid, 0).detail("not an agent");
                step.reply(call, Response::Refused(refusal));
            }
        }
    }

    fn response<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        match self.pending.remove(&call) {
            Some(Pending::Submit(call)) => self.submit_response(step, call, result),
            Some(Pending::Lookup(call)) => self.lookup_response(step, call, result),
            _ => {}
        }
    }

    fn stored<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        match self.pending.remove(&call) {
            Some(Pending::RosterWrite) => self.roster_written(step, result),
            Some(Pending::RosterRead) => self.roster_read(step, result),
            Some(Pending::PatchBase(call)) => self.patch_base(step, call, result),
            Some(Pending::PatchWrite(call)) => self.patch_written(step, call, &result),
            Some(Pending::PatchRead(call)) => self.patch_read(step, call, result),
            Some(Pending::ConfigRead(call)) => Self::config_read(step, call, result),
            _ => {}
        }
    }

    fn watched<R: Rng>(&mut self, step: &mut Step<'_, R>, items: &[StoreItem], began: Time) {
        self.confirmed = self.confirmed.max(Some(began));
        for item in items {
            if item.key == ROSTER_KEY {
                self.adopt_item(step, item);
            } else if item.key.starts_with(CONFIG_PREFIX) {
                self.adopt_config(item);
            }
        }
    }
}

impl Role for Entry {
    type Input = EntryInput;
    type Action = EntryAction;

    fn step<R: Rng>(
        &mut self,
        now: Time,
        input: EntryInput,
        rng: &mut R,
        actions: &mut Vec<EntryAction>,
    ) {
        if now.millis_since(self.last_step) > PAUSE_MS {
            self.awake = now;
        }
        self.last_step = now;
        let step = &mut Step { now, rng, actions };
        match input {
            EntryInput::Caller { call, request } => self.caller(step, call, request),
            EntryInput::Request { call, envelope } => self.request(step, call, envelope),
            EntryInput::Response { call, result } => self.response(step, call, result),
            EntryInput::Stored { call, result } => self.stored(step, call, result),
            EntryInput::Watched { items, began } => self.watched(step, &items, began),
            EntryInput::Drain => self.draining = true,
            EntryInput::Tick => {
                self.tick_routes(step);
                self.tick_roster(step);
            }
        }
        if self.draining && !self.stopped && self.open() == 0 {
            self.stopped = true;
            step.actions.push(EntryAction::Stopped);
        }
    }

    fn wake(&self) -> Option<Time> {
        let routes = self.routes.values().map(Route::wake);
        let tick = self.last_tick.after_millis(TICK_MS);
        routes.chain(self.writer.wake()).chain([tick]).min()
    }
}

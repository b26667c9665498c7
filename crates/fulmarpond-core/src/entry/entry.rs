//! The state machine of one entry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::Rng;

use super::action::{
    CallerReply, CallerRequest, EntryAction, EntryInput, StoreError, StoreItem, StoreOp, StoreReply,
};
use super::configuration::{CONFIG_PREFIX, PendingPatch};
use super::lookup::{JobQuery, Lookup};
use super::membership::{LastAnnouncement, ROSTER_KEY, RosterWriter};
use super::routing::Route;
use crate::agent::Count;
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, Envelope, LinkError, Request, Response, VersionedConfig};
use crate::machine::AgentId;
use crate::policy::{Policy, Version};
use crate::retry::RetryBudget;
use crate::zone::Roster;
use crate::{Role, Time};

/// The interval between ticks while nothing else is due.
const TICK_INTERVAL_MS: u64 = 500;
/// The gap between two steps above which the process counts as paused. After a pause, missing
/// announcements do not show that an agent failed, and queued requests may be stale.
pub(super) const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// The retry delay suggested to callers of a draining entry. Their retry is expected to reach
/// another entry.
const DRAINING_RETRY_MS: u64 = 50;

/// The name and the timing of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name of the entry.
    pub name: String,
    /// The shortest interval between two announcements of an agent, in milliseconds.
    pub announce_ms: u64,
    /// How long an agent may send no announcement before it is removed from the roster, in
    /// milliseconds.
    pub silence_ms: u64,
    /// The roster window in milliseconds.
    pub roster_window_ms: u64,
}

/// The purpose of an outgoing call in flight.
#[derive(Debug)]
pub(super) enum PendingCall {
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
    /// The latest time at which the roster was known to match the key-value service.
    pub(super) roster_confirmed_at: Option<Time>,
    pub(super) roster_writer: RosterWriter,
    /// The last announcement of each agent.
    pub(super) announcements: BTreeMap<AgentId, LastAnnouncement>,
    pub(super) policy: Policy,
    pub(super) config_version: Version,
    pub(super) cached_configs: BTreeMap<Version, VersionedConfig>,
    pub(super) retry_budget: RetryBudget,
    pub(super) routes: HashMap<CallId, Route>,
    pub(super) lookups: HashMap<CallId, Lookup>,
    pub(super) pending_patches: HashMap<CallId, PendingPatch>,
    pub(super) last_tick_at: Time,
    pub(super) last_step_at: Time,
    /// When the process last resumed after a pause.
    pub(super) running_since: Time,
    pending_calls: HashMap<CallId, PendingCall>,
    last_call_id: u64,
    is_draining: bool,
    is_stopped: bool,
}

/// The context of one step: its time, the random number generator and the actions to perform.
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

    /// Replies to a request that arrived over a link.
    pub(super) fn reply(&mut self, call: CallId, response: Response) {
        self.actions.push(EntryAction::Reply { call, response });
    }

    /// Increments a counter.
    pub(super) fn count(&mut self, count: Count) {
        self.actions.push(EntryAction::Count(count));
    }
}

impl Entry {
    /// Creates an entry with an empty roster and the built-in configuration.
    pub fn new(options: EntryOptions) -> Self {
        Self {
            options,
            roster: Roster::default(),
            roster_confirmed_at: None,
            roster_writer: RosterWriter::default(),
            announcements: BTreeMap::new(),
            policy: Policy::default(),
            config_version: Version::default(),
            cached_configs: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            routes: HashMap::new(),
            lookups: HashMap::new(),
            pending_patches: HashMap::new(),
            last_tick_at: Time::default(),
            last_step_at: Time::default(),
            running_since: Time::default(),
            pending_calls: HashMap::new(),
            last_call_id: 0,
            is_draining: false,
            is_stopped: false,
        }
    }

    /// Returns the latest roster that the entry has read or written.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the active configuration version.
    pub fn config_version(&self) -> Version {
        self.config_version
    }

    /// Returns the number of pending requests: submissions, lookups, patches, reads of the
    /// configuration, and agents that leave.
    pub fn pending_request_count(&self) -> usize {
        let is_config_read = |call: &&PendingCall| matches!(call, PendingCall::ConfigRead(_));
        let config_reads = self.pending_calls.values().filter(is_config_read).count();
        self.routes.len()
            + self.lookups.len()
            + self.pending_patches.len()
            + config_reads
            + self.roster_writer.leaving_calls.len()
    }

    /// Returns whether the entry is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns whether the entry routes jobs: it is not draining and its roster has live members.
    pub fn is_ready(&self) -> bool {
        !self.is_draining && self.roster.live().next().is_some()
    }

    /// Returns the latest time at which the roster was known to match the key-value service.
    pub fn roster_confirmed_at(&self) -> Option<Time> {
        self.roster_confirmed_at
    }

    /// Sends a request to an agent and records what its response is for.
    pub(super) fn call_agent<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        addr: SocketAddr,
        envelope: Envelope,
        deadline: Time,
        pending: PendingCall,
    ) {
        let call = self.next_call(pending);
        step.actions.push(EntryAction::Call {
            call,
            addr,
            envelope,
            deadline,
        });
    }

    /// Starts an operation on the key-value service and records what its result is for.
    pub(super) fn call_store<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        op: StoreOp,
        pending: PendingCall,
    ) {
        let call = self.next_call(pending);
        step.actions.push(EntryAction::Store { call, op });
    }

    fn next_call(&mut self, pending: PendingCall) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.pending_calls.insert(call, pending);
        call
    }

    fn handle_caller<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        request: CallerRequest,
    ) {
        if self.is_draining {
            self.refuse_draining(step, call, request);
            return;
        }
        match request {
            CallerRequest::Submit { submission, wait } => self.submit(step, call, submission, wait),
            CallerRequest::Fetch { job, wait_ms } => {
                self.look_up(step, call, job, JobQuery::Fetch(wait_ms));
            }
            CallerRequest::Status(job) => self.look_up(step, call, job, JobQuery::Status),
            CallerRequest::Events { job, from, wait_ms } => {
                self.look_up(step, call, job, JobQuery::Events(from, wait_ms));
            }
            CallerRequest::Cancel(job) => self.look_up(step, call, job, JobQuery::Cancel),
            CallerRequest::Endpoints => {
                let peers = self.peers(step, None);
                step.answer(call, CallerReply::Endpoints(peers));
            }
            CallerRequest::Roster => step.answer(call, CallerReply::Roster(self.roster.clone())),
            CallerRequest::Teams => {
                let teams = self.team_usages(step.now);
                step.answer(call, CallerReply::Teams(teams));
            }
            CallerRequest::Config(version) => self.answer_config(step, call, version),
            CallerRequest::Patch(patch) => self.handle_patch(step, call, patch),
        }
    }

    fn refuse_draining<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        request: CallerRequest,
    ) {
        let refusal = Refusal::new(Reason::Draining, DRAINING_RETRY_MS);
        match request {
            CallerRequest::Submit { submission, .. } => {
                self.refuse_submission(step, call, &submission, refusal);
            }
            _ => step.answer(call, CallerReply::Refused(refusal)),
        }
    }

    fn handle_request<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, envelope: Envelope) {
        match envelope.request {
            Request::Announce(announce) => self.handle_announce(step, call, *announce),
            Request::Leave(leave) => self.handle_leave(step, call, leave),
            _ => {
                let refusal = Refusal::new(Reason::Invalid, 0).detail("not an agent");
                step.reply(call, Response::Refused(refusal));
            }
        }
    }

    fn handle_response<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        match self.pending_calls.remove(&call) {
            Some(PendingCall::Submit(call)) => self.handle_submit_response(step, call, result),
            Some(PendingCall::Lookup(call)) => self.handle_lookup_response(step, call, result),
            _ => {}
        }
    }

    fn handle_store_result<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        match self.pending_calls.remove(&call) {
            Some(PendingCall::RosterWrite) => self.handle_roster_written(step, result),
            Some(PendingCall::RosterRead) => self.handle_roster_read(step, result),
            Some(PendingCall::PatchBase(call)) => self.handle_patch_base_read(step, call, result),
            Some(PendingCall::PatchWrite(call)) => self.handle_patch_written(step, call, &result),
            Some(PendingCall::PatchRead(call)) => self.handle_patch_read_back(step, call, result),
            Some(PendingCall::ConfigRead(call)) => Self::handle_config_read(step, call, result),
            _ => {}
        }
    }

    fn handle_watch_result<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        items: &[StoreItem],
        requested_at: Time,
    ) {
        self.roster_confirmed_at = self.roster_confirmed_at.max(Some(requested_at));
        for item in items {
            if item.key == ROSTER_KEY {
                self.adopt_roster_item(step, item);
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
        if now.millis_since(self.last_step_at) > PAUSE_THRESHOLD_MS {
            self.running_since = now;
        }
        self.last_step_at = now;
        let step = &mut Step { now, rng, actions };
        match input {
            EntryInput::Caller { call, request } => self.handle_caller(step, call, request),
            EntryInput::Request { call, envelope } => self.handle_request(step, call, envelope),
            EntryInput::Response { call, result } => self.handle_response(step, call, result),
            EntryInput::StoreResult { call, result } => {
                self.handle_store_result(step, call, result);
            }
            EntryInput::WatchResult {
                items,
                requested_at,
            } => self.handle_watch_result(step, &items, requested_at),
            EntryInput::Drain => self.is_draining = true,
            EntryInput::Tick => {
                self.tick_routes(step);
                self.tick_roster(step);
            }
        }
        if self.is_draining && !self.is_stopped && self.pending_request_count() == 0 {
            self.is_stopped = true;
            step.actions.push(EntryAction::Stopped);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        let routes = self.routes.values().map(Route::next_due);
        let tick = self.last_tick_at.after_millis(TICK_INTERVAL_MS);
        routes
            .chain(self.roster_writer.next_due())
            .chain([tick])
            .min()
    }
}

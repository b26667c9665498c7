//! The process of an agent: heartbeats from its endpoint, calls to it, and links to the entries.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndpointCall, EndpointReply,
};
use fulmarpond_dispatch::directory::StoreCall;
use fulmarpond_dispatch::{EntryFrame, LinkNo, Weights, decode, encode};
use fulmarpond_platform::heartbeat::{Heartbeat, parse_heartbeat};
use fulmarpond_platform::{endpoint, store};
use fulmarpond_reactor::http::{Request, Response};
use fulmarpond_reactor::{CallId, Event, LinkId, ListenerId, Reactor, RequestId};
use fulmarpond_settings::{LeasedRole, LeasedSettings};
use tracing::{info, warn};

use super::clock::BootClock;
use super::log::Log;
use super::machine_limits::{job_bytes, reactor_limits};
use super::runtime::Runtime;
use super::{Result, lease_times};

/// The lane of hold calls, which wait at the endpoint, and its maximum number of connections.
const HOLD_LANE: (u8, usize) = (0, 2);

/// The lane of start and stop calls and its maximum number of connections.
const START_STOP_LANE: (u8, usize) = (1, 4);

/// The lane of calls to the store and its maximum number of connections. A call that timed out may
/// still hold its connection when the next one is made.
const STORE_LANE: (u8, usize) = (2, 2);

/// How long before the end of the grace period the remaining runs are stopped, in milliseconds.
const STOP_RUNS_MARGIN_MS: u64 = 1_500;

/// How long to wait for stopped runs to end, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 500;

/// The process of an agent.
pub(super) struct AgentProcess {
    agent: Agent,
    reactor: Reactor,
    heartbeat_listener: ListenerId,
    calls: HashMap<CallId, (CallNo, EndpointCall, Instant)>,
    /// The address of the store, if the agent reads evacuations there.
    store: Option<SocketAddr>,
    store_calls: HashMap<CallId, (u64, StoreCall)>,
    runtime: Runtime,
    grace_ms: u64,
    has_stopped_runs: bool,
    actions: Vec<Action>,
}

impl AgentProcess {
    pub(super) fn new(settings: &LeasedSettings, path: &Path, log: Log) -> Result<Self> {
        let LeasedRole::Agent {
            heartbeats,
            seeds,
            evacuation,
            sharing,
        } = &settings.role
        else {
            return Err(io::Error::other("the settings are not those of an agent").into());
        };
        let now = BootClock::now();
        let options = AgentOptions {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            seeds: seeds.clone(),
            lease_times: lease_times(&settings.timing),
            heartbeat_interval_ms: settings.timing.heartbeat.as_millis() as u64,
            fence: initial_fencing_token(),
        };
        let mut reactor = Reactor::new(reactor_limits(settings.limits))?;
        let (heartbeat_listener, _) = reactor.listen_http(*heartbeats)?;
        if let Some(addr) = settings.metrics {
            reactor.listen_http(addr)?;
        }
        let mut agent = Agent::new(options, now);
        if let Some(evacuation) = evacuation {
            agent.watch_evacuations(evacuation.bound.as_millis() as u64, now);
        }
        agent.set_run_bytes(job_bytes(settings.limits));
        agent.set_sharing(Weights::new(sharing.weights), sharing.preemption);
        Ok(Self {
            agent,
            reactor,
            heartbeat_listener,
            calls: HashMap::new(),
            store: evacuation.map(|evacuation| evacuation.store),
            store_calls: HashMap::new(),
            runtime: Runtime::new(settings, path, log, now)?,
            grace_ms: settings.timing.grace.as_millis() as u64,
            has_stopped_runs: false,
            actions: Vec::new(),
        })
    }

    /// Runs the event loop until the process is asked to stop and its runs have ended.
    pub(super) fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        loop {
            let now = BootClock::now();
            let deadline = self.runtime.poll_deadline(self.agent.next_wake(), now);
            self.reactor.poll(deadline, &mut events)?;
            // The clock is read for each event: a pause may come between any two, and a lease may
            // expire during it.
            for event in events.drain(..) {
                self.handle_event(event, BootClock::now());
            }
            let now = BootClock::now();
            self.agent.tick(now, &mut self.actions);
            self.execute_actions();
            self.check_signals(now);
            if self.is_finished(now) {
                break;
            }
            let recent = self.agent.recent_stops();
            self.runtime.flush_log(recent, recent.changes());
        }
        self.reactor.flush_output();
        info!("stop");
        let recent = self.agent.recent_stops();
        self.runtime.finish_log(recent, recent.changes());
        Ok(())
    }

    fn check_signals(&mut self, now: Time) {
        if let Some(settings) = self.runtime.reload_settings(now)
            && let LeasedRole::Agent { seeds, sharing, .. } = settings.role
        {
            let weights = Weights::new(sharing.weights);
            self.agent.set_sharing(weights, sharing.preemption);
            self.agent.set_seeds(&seeds, now);
        }
        if self.runtime.take_stop_request(now) {
            info!("stopping gracefully");
            self.agent.stop(now, &mut self.actions);
            self.execute_actions();
        }
    }

    fn is_finished(&mut self, now: Time) -> bool {
        let Some(stop_requested_at) = self.runtime.stop_requested_at else {
            return false;
        };
        if self.agent.is_idle() {
            return true;
        }
        let elapsed_ms = now.millis_since(stop_requested_at);
        if !self.has_stopped_runs && elapsed_ms + STOP_RUNS_MARGIN_MS >= self.grace_ms {
            self.has_stopped_runs = true;
            self.agent.stop_runs(now, &mut self.actions);
            self.execute_actions();
        }
        elapsed_ms + STOP_RUNS_MARGIN_MS >= self.grace_ms + STOP_TIMEOUT_MS
    }

    fn handle_event(&mut self, event: Event, now: Time) {
        match event {
            Event::Request {
                listener,
                id,
                request,
                ..
            } => self.handle_request(listener, id, &request, now),
            Event::Abandoned { .. } => {}
            Event::Replied { call, outcome } => {
                if let Some((number, store_call)) = self.store_calls.remove(&call) {
                    let reply = store::decode_reply(&store_call, outcome);
                    let result = if reply.is_ok() { "answered" } else { "failed" };
                    let metrics = &self.runtime.metrics;
                    metrics.count_call("store", store_call.as_str(), result);
                    self.agent
                        .handle_store_reply(number, reply.ok(), now, &mut self.actions);
                } else if let Some((call_no, call, sent_at)) = self.calls.remove(&call) {
                    let outcome = endpoint::decode_reply(&call, outcome);
                    self.record_call(&call, &outcome, sent_at);
                    self.agent
                        .handle_reply(call_no, outcome, now, &mut self.actions);
                }
            }
            Event::LinkUp { link, .. } => {
                self.agent.link_up(LinkNo(link.0), now, &mut self.actions);
            }
            Event::Frame { link, bytes } => match decode::<EntryFrame>(&bytes) {
                Ok(frame) => self
                    .agent
                    .handle_frame(LinkNo(link.0), frame, now, &mut self.actions),
                Err(error) => {
                    warn!(%error, "cannot decode a frame, closing the link");
                    self.reactor.close_link(link);
                    self.agent.link_down(LinkNo(link.0), now, &mut self.actions);
                }
            },
            Event::LinkDown { link } => {
                self.agent.link_down(LinkNo(link.0), now, &mut self.actions);
            }
        }
        self.execute_actions();
    }

    fn handle_request(
        &mut self,
        listener: ListenerId,
        id: RequestId,
        request: &Request,
        now: Time,
    ) {
        if listener != self.heartbeat_listener {
            let (waiting, running) = self.agent.load();
            let levels = [
                ("waiting", waiting as u64),
                ("running", running as u64),
                ("entries", self.agent.links() as u64),
                ("evacuated_zones", self.agent.evacuated_zones() as u64),
                ("evacuated", u64::from(self.agent.is_evacuated())),
                ("log_lines_dropped", self.runtime.dropped_lines().total()),
            ];
            self.runtime.metrics.set_class_room(self.agent.class_room());
            self.runtime.metrics.set_closed(self.reactor.closed());
            self.runtime
                .metrics
                .set_dropped_lines(self.runtime.dropped_lines());
            let response = self.runtime.metrics.render(&self.agent.counters, &levels);
            self.reactor.respond(id, &response);
            return;
        }
        let response = match parse_heartbeat(request) {
            Ok(Heartbeat::Alive(registration)) => {
                let handled = self
                    .agent
                    .handle_heartbeat(registration, now, &mut self.actions);
                match handled {
                    Ok(()) => Response::json(200, b"{}".to_vec()),
                    Err(error) => {
                        warn!(path = request.path, %error, "heartbeat refused");
                        Response::empty(400)
                    }
                }
            }
            Ok(Heartbeat::Deregistered(incarnation)) => {
                self.agent
                    .handle_deregistration(&incarnation, now, &mut self.actions);
                Response::json(200, b"{}".to_vec())
            }
            Err(error) => {
                warn!(path = request.path, %error, "heartbeat refused");
                Response::empty(400)
            }
        };
        self.reactor.respond(id, &response);
    }

    fn record_call(
        &self,
        call: &EndpointCall,
        outcome: &Result<EndpointReply, CallFailure>,
        sent_at: Instant,
    ) {
        let result = match outcome {
            Ok(EndpointReply::Done { .. } | EndpointReply::Held { .. }) => "done",
            Ok(EndpointReply::Refused { .. }) => "refused",
            Ok(EndpointReply::Unhealthy) => "unhealthy",
            Ok(EndpointReply::OtherIncarnation) => "other_incarnation",
            Ok(EndpointReply::Invalid) => "invalid",
            Ok(EndpointReply::Unexpected) => "unexpected",
            Err(_) => "unanswered",
        };
        self.runtime
            .metrics
            .count_call("endpoint", call.as_str(), result);
        if outcome.is_ok() && !matches!(call, EndpointCall::Hold { .. }) {
            self.runtime
                .metrics
                .call_seconds
                .observe(sent_at.elapsed().as_secs_f64());
        }
    }

    fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Dial { addr } => {
                    let link = self.reactor.dial(addr);
                    self.agent.dialed(addr, LinkNo(link.0));
                }
                Action::Observe { elapsed } => {
                    self.runtime
                        .metrics
                        .run_seconds
                        .observe(elapsed as f64 / 1_000.0);
                }
                Action::Close { link } => self.reactor.close_link(LinkId(link.0)),
                Action::Send { link, frame } => {
                    self.reactor.send(LinkId(link.0), &encode(&frame));
                }
                Action::Store {
                    number,
                    call,
                    timeout,
                } => self.call_store(number, call, timeout),
                Action::Call {
                    number,
                    to,
                    addr,
                    call,
                    timeout,
                } => {
                    let deadline = Instant::now() + Duration::from_millis(timeout);
                    let request = endpoint::encode_call(&to, &call, deadline);
                    let (lane, limit) = match call {
                        EndpointCall::Hold { .. } => HOLD_LANE,
                        EndpointCall::Start { .. } | EndpointCall::Stop { .. } => START_STOP_LANE,
                    };
                    let id = self.reactor.call(addr, lane, limit, &request);
                    self.calls.insert(id, (number, call, Instant::now()));
                }
            }
        }
    }

    fn call_store(&mut self, number: u64, call: StoreCall, timeout: u64) {
        // Calls are made only if the settings name the store.
        let Some(addr) = self.store else {
            return;
        };
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = store::encode_read(&call, deadline);
        let (lane, limit) = STORE_LANE;
        let id = self.reactor.call(addr, lane, limit, &request);
        self.store_calls.insert(id, (number, call));
    }
}

/// Returns the initial fencing token of this process, which is derived from the time of day.
///
/// Only one process at a time calls the endpoint, so the token only has to be higher than those of
/// earlier processes on this host. That fails if the clock was set back: the endpoint then refuses
/// the token, and the agent raises it.
fn initial_fencing_token() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |since| since.as_millis() as u64);
    millis << FENCE_SHIFT_BITS
}

/// The number of low bits that leave space for raising a token without reaching that of the next
/// millisecond.
const FENCE_SHIFT_BITS: u32 = 8;

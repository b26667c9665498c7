//! An agent: heartbeats and calls of its endpoint, and links to the entries.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    Action, Agent, AgentOptions, CallFailure, CallNo, EndpointCall, EndpointReply,
};
use fulmarpond_dispatch::{EntryFrame, LinkNo, decode, encode};
use fulmarpond_platform::endpoint;
use fulmarpond_platform::heartbeat::{Heartbeat, parse_heartbeat};
use fulmarpond_reactor::http::{Request, Response};
use fulmarpond_reactor::{CallId, Event, Limits, LinkId, ListenerId, Reactor, RequestId};
use fulmarpond_settings::{LeasedRole, LeasedSettings};
use tracing::{info, warn};

use super::clock::BootClock;
use super::log::Log;
use super::shell::Shell;
use super::{Result, bounds};

/// The lane of holds, which wait at the endpoint, with its most connections.
const HOLD_LANE: (u8, usize) = (0, 2);

/// The lane of starts and stops with its most connections.
const ORDER_LANE: (u8, usize) = (1, 4);

/// How long before the end of the grace period the last runs are stopped, in milliseconds.
const LAST_MS: u64 = 1_500;

/// How long stopped runs are waited for, in milliseconds.
const STOP_MS: u64 = 500;

/// The process of an agent.
pub(super) struct AgentProcess {
    agent: Agent,
    reactor: Reactor,
    heartbeats: ListenerId,
    calls: HashMap<CallId, (CallNo, EndpointCall, Instant)>,
    shell: Shell,
    grace_ms: u64,
    cut: bool,
    actions: Vec<Action>,
}

impl AgentProcess {
    pub(super) fn new(settings: &LeasedSettings, path: &Path, log: Log) -> Result<Self> {
        let LeasedRole::Agent { heartbeats, seeds } = &settings.role else {
            return Err(io::Error::other("the role is not that of an agent").into());
        };
        let now = BootClock::now();
        let options = AgentOptions {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            seeds: seeds.clone(),
            bounds: bounds(&settings.timing),
            beat_ms: settings.timing.heartbeat.as_millis() as u64,
            fence: first_fence(),
        };
        let mut reactor = Reactor::new(Limits::default())?;
        let (heartbeats, _) = reactor.listen_http(*heartbeats)?;
        if let Some(addr) = settings.metrics {
            reactor.listen_http(addr)?;
        }
        Ok(Self {
            agent: Agent::new(options, now),
            reactor,
            heartbeats,
            calls: HashMap::new(),
            shell: Shell::new(path, log, now)?,
            grace_ms: settings.timing.grace.as_millis() as u64,
            cut: false,
            actions: Vec::new(),
        })
    }

    /// Runs until the process is asked to stop and its runs have ended.
    pub(super) fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        loop {
            let now = BootClock::now();
            let until = self.shell.until(self.agent.wake(), now);
            self.reactor.poll(until, &mut events)?;
            let now = BootClock::now();
            for event in events.drain(..) {
                self.event(event, now);
            }
            self.agent.tick(now, &mut self.actions);
            self.carry_out();
            self.check_signals(now);
            if self.is_finished(now) {
                break;
            }
            self.shell.flush_log();
        }
        self.reactor.flush_dirty();
        info!("stop");
        self.shell.finish();
        Ok(())
    }

    fn check_signals(&mut self, now: Time) {
        if let Some(settings) = self.shell.new_settings(now)
            && let LeasedRole::Agent { seeds, .. } = settings.role
        {
            self.agent.set_seeds(&seeds, now);
        }
        if self.shell.asked_to_stop(now) {
            info!("stopping gracefully");
            self.agent.stop(now, &mut self.actions);
            self.carry_out();
        }
    }

    fn is_finished(&mut self, now: Time) -> bool {
        let Some(since) = self.shell.stopping else {
            return false;
        };
        if self.agent.is_idle() {
            return true;
        }
        let elapsed = now.millis_since(since);
        if !self.cut && elapsed + LAST_MS >= self.grace_ms {
            self.cut = true;
            self.agent.stop_runs(now, &mut self.actions);
            self.carry_out();
        }
        elapsed + LAST_MS >= self.grace_ms + STOP_MS
    }

    fn event(&mut self, event: Event, now: Time) {
        match event {
            Event::Request {
                listener,
                id,
                request,
            } => self.request(listener, id, &request, now),
            Event::Abandoned { .. } => {}
            Event::Replied { call, outcome } => {
                if let Some((number, call, sent)) = self.calls.remove(&call) {
                    let outcome = endpoint::decode_reply(&call, outcome);
                    self.observe_call(&call, &outcome, sent);
                    self.agent.answered(number, outcome, now, &mut self.actions);
                }
            }
            Event::LinkUp { link, .. } => {
                self.agent.link_up(LinkNo(link.0), now, &mut self.actions);
            }
            Event::Frame { link, bytes } => match decode::<EntryFrame>(&bytes) {
                Ok(frame) => self
                    .agent
                    .frame(LinkNo(link.0), frame, now, &mut self.actions),
                Err(error) => {
                    warn!(%error, "closing a link");
                    self.reactor.close_link(link);
                    self.agent.link_down(LinkNo(link.0), now, &mut self.actions);
                }
            },
            Event::LinkDown { link } => {
                self.agent.link_down(LinkNo(link.0), now, &mut self.actions);
            }
        }
        self.carry_out();
    }

    fn request(&mut self, listener: ListenerId, id: RequestId, request: &Request, now: Time) {
        if listener != self.heartbeats {
            let (waiting, running) = self.agent.load();
            let levels = [
                ("waiting", waiting as u64),
                ("running", running as u64),
                ("entries", self.agent.links() as u64),
                ("log_lines_dropped", self.shell.dropped_lines()),
            ];
            let response = self.shell.metrics.render(&self.agent.counters, &levels);
            self.reactor.respond(id, &response);
            return;
        }
        let response = match parse_heartbeat(request) {
            Ok(Heartbeat::Alive(about)) => {
                self.agent.beat(about, now, &mut self.actions);
                Response::json(200, b"{}".to_vec())
            }
            Ok(Heartbeat::Deregistered(id)) => {
                self.agent.left(&id.0, now, &mut self.actions);
                Response::json(200, b"{}".to_vec())
            }
            Err(error) => {
                warn!(path = request.path, %error, "heartbeat refused");
                Response::empty(400)
            }
        };
        self.reactor.respond(id, &response);
    }

    fn observe_call(
        &self,
        call: &EndpointCall,
        outcome: &Result<EndpointReply, CallFailure>,
        sent: Instant,
    ) {
        let name = match outcome {
            Ok(EndpointReply::Done { .. } | EndpointReply::Held { .. }) => "done",
            Ok(EndpointReply::Refused { .. }) => "refused",
            Ok(EndpointReply::Unhealthy) => "unhealthy",
            Ok(EndpointReply::OtherIncarnation) => "other_incarnation",
            Ok(EndpointReply::Invalid) => "invalid",
            Err(_) => "unanswered",
        };
        self.shell.metrics.call("endpoint", call.as_str(), name);
        if outcome.is_ok() && !matches!(call, EndpointCall::Hold { .. }) {
            self.shell
                .metrics
                .call_seconds
                .observe(sent.elapsed().as_secs_f64());
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Dial { addr } => {
                    let link = self.reactor.dial(addr);
                    self.agent.dialed(addr, LinkNo(link.0));
                }
                Action::Observe { elapsed } => {
                    self.shell
                        .metrics
                        .run_seconds
                        .observe(elapsed as f64 / 1_000.0);
                }
                Action::Close { link } => self.reactor.close_link(LinkId(link.0)),
                Action::Send { link, frame } => {
                    self.reactor.send(LinkId(link.0), &encode(&frame));
                }
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
                        EndpointCall::Start { .. } | EndpointCall::Stop { .. } => ORDER_LANE,
                    };
                    let id = self.reactor.call(addr, lane, limit, &request);
                    self.calls.insert(id, (number, call, Instant::now()));
                }
            }
        }
    }
}

/// Returns the fencing token to begin with.
///
/// Only one process at a time calls the endpoint, so a token only has to be above those of earlier
/// processes on this host. The time of day is, unless it was set back; the agent raises the token
/// when the endpoint refuses it.
fn first_fence() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |since| since.as_millis() as u64);
    millis << FENCE_SHIFT
}

/// Room for raised tokens between two milliseconds, in bits.
const FENCE_SHIFT: u32 = 8;

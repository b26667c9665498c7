//! An entry: callers, readiness, links of agents and the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use fulmarpond_core::Time;
use fulmarpond_dispatch::directory::{self, Directory, Duty, StoreCall};
use fulmarpond_dispatch::entry::{
    Action, Answer, CallerLimits, Entry, EntryOptions, RequestNo, StepKey,
};
use fulmarpond_dispatch::maintenance::{self, MaintenanceOptions};
use fulmarpond_dispatch::{AgentFrame, EndpointId, LinkNo, Refusal, decode, encode};
use fulmarpond_platform::advice;
use fulmarpond_platform::caller::{self, CallerRequest};
use fulmarpond_platform::store::{self, EntryIdentity};
use fulmarpond_reactor::http::{Request, Response};
use fulmarpond_reactor::{CallId, Event, Limits, LinkId, ListenerId, Reactor, RequestId};
use fulmarpond_settings::{LeasedRole, LeasedSettings};
use tracing::{debug, info, warn};

use super::clock::BootClock;
use super::host_maintenance::HostMaintenance;
use super::log::Log;
use super::shell::Shell;
use super::{Result, bounds};

/// How long a stopping entry serves new connections: the load balancer notices it after two looks
/// at its readiness, one a second.
const NOTICE_MS: u64 = 2_700;

/// How long before the end of the grace period the last jobs are given up, in milliseconds.
const LAST_MS: u64 = 700;

/// The most connections to the store: one for each duty.
const STORE_CONNECTIONS: usize = 11;

/// The process of an entry.
pub(super) struct EntryProcess {
    entry: Entry,
    directory: Directory,
    reactor: Reactor,
    identity: EntryIdentity,
    store: SocketAddr,
    advice: Option<SocketAddr>,
    maintenance: Option<HostMaintenance>,
    callers: ListenerId,
    readiness: ListenerId,
    calls: HashMap<CallId, (Duty, StoreCall)>,
    /// The call for advice that is under way.
    asked: Option<CallId>,
    shell: Shell,
    grace_ms: u64,
    actions: Vec<Action>,
    tasks: Vec<directory::Action>,
}

impl EntryProcess {
    pub(super) fn new(settings: &LeasedSettings, path: &Path, log: Log) -> Result<Self> {
        let LeasedRole::Entry {
            callers,
            readiness,
            link,
            store,
            writes,
            advice,
            hosts,
            handover,
        } = settings.role
        else {
            return Err(io::Error::other("the role is not that of an entry").into());
        };
        let now = BootClock::now();
        let options = EntryOptions {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            bounds: bounds(&settings.timing),
            far: settings.far,
            life: now.as_micros(),
            writes,
            advises: advice.is_some(),
            keep_ms: settings.timing.keep.as_millis() as u64,
        };
        let mut reactor = Reactor::new(Limits::default())?;
        let (callers, _) = reactor.listen_http(callers)?;
        let (readiness, _) = reactor.listen_http(readiness)?;
        reactor.listen_links(link)?;
        if let Some(addr) = settings.metrics {
            reactor.listen_http(addr)?;
        }
        Ok(Self {
            entry: Entry::new(options, now),
            directory: Directory::new(now),
            reactor,
            identity: EntryIdentity {
                name: settings.name.clone(),
                link,
            },
            store,
            advice,
            maintenance: hosts.map(|addr| {
                let options = MaintenanceOptions {
                    holder: settings.name.clone(),
                    handover: handover.as_millis() as u64,
                };
                HostMaintenance::new(addr, options, now)
            }),
            callers,
            readiness,
            calls: HashMap::new(),
            asked: None,
            shell: Shell::new(path, log, now)?,
            grace_ms: settings.timing.grace.as_millis() as u64,
            actions: Vec::new(),
            tasks: Vec::new(),
        })
    }

    /// Runs until the process is asked to stop and has finished its jobs.
    pub(super) fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        loop {
            let now = BootClock::now();
            let wake = self.entry.wake().min(self.directory.wake());
            let until = self.shell.until(wake, now);
            self.reactor.poll(until, &mut events)?;
            let now = BootClock::now();
            // After a pause, callers that have left come before anything that their jobs would do.
            events.sort_by_key(|event| !matches!(event, Event::Abandoned { .. }));
            for event in events.drain(..) {
                self.event(event, now);
            }
            self.entry.set_wall(wall_millis());
            self.entry.tick(now, &mut self.actions);
            self.directory.tick(now, &mut self.tasks);
            self.carry_out(now);
            self.maintain_hosts(now);
            self.check_signals(now);
            if self.is_finished(now) {
                break;
            }
            self.shell.flush_log();
        }
        self.leave();
        info!("stop");
        self.shell.finish();
        Ok(())
    }

    fn check_signals(&mut self, now: Time) {
        // The addresses of an entry are bound once; nothing else in its settings may change.
        let _ = self.shell.new_settings(now);
        if self.shell.asked_to_stop(now) {
            info!(jobs = self.entry.jobs(), "stopping gracefully");
            self.reactor.drain();
            self.entry.stop();
        }
    }

    fn is_finished(&mut self, now: Time) -> bool {
        let Some(since) = self.shell.stopping else {
            return false;
        };
        let elapsed = now.millis_since(since);
        if elapsed + LAST_MS >= self.grace_ms {
            self.entry.give_up_all(now, &mut self.actions);
            self.carry_out(now);
            return true;
        }
        let noticed = elapsed >= NOTICE_MS.min(self.grace_ms / 2);
        noticed && self.entry.attended() == 0 && !self.entry.has_runs()
    }

    /// Withdraws the announcement without waiting for the store, and sends what is left.
    fn leave(&mut self) {
        let now = BootClock::now();
        self.directory.leave(now);
        self.directory.tick(now, &mut self.tasks);
        self.carry_out(now);
        self.reactor.flush_dirty();
    }

    fn event(&mut self, event: Event, now: Time) {
        match event {
            Event::Request {
                listener,
                id,
                request,
            } => self.request(listener, id, &request, now),
            Event::Abandoned { id } => {
                self.entry
                    .abandoned(RequestNo(id.0), now, &mut self.actions);
            }
            Event::Replied { call, outcome } => self.replied(call, outcome, now),
            Event::LinkUp { link, .. } => self.entry.link_up(LinkNo(link.0), &mut self.actions),
            Event::Frame { link, bytes } => match decode::<AgentFrame>(&bytes) {
                Ok(frame) => self
                    .entry
                    .frame(LinkNo(link.0), frame, now, &mut self.actions),
                Err(error) => {
                    warn!(%error, "closing a link");
                    self.reactor.close_link(link);
                    self.entry.link_down(LinkNo(link.0), now, &mut self.actions);
                }
            },
            Event::LinkDown { link } => {
                self.entry.link_down(LinkNo(link.0), now, &mut self.actions);
            }
        }
        self.carry_out(now);
    }

    fn request(&mut self, listener: ListenerId, id: RequestId, request: &Request, now: Time) {
        if listener == self.callers {
            self.caller(id, request, now);
        } else if listener == self.readiness {
            let response = self.readiness(request);
            self.reactor.respond(id, &response);
        } else {
            let levels = [
                ("jobs", self.entry.jobs() as u64),
                ("agents", self.entry.agents() as u64),
                ("ready_agents", self.entry.ready_agents() as u64),
                ("configuration_version", self.entry.version()),
                ("store_age_ms", self.directory.age(now)),
                ("oldest_view_ms", self.entry.oldest_view(now)),
                ("kept_jobs", self.entry.ledger_size().0 as u64),
                ("waiting_changes", self.entry.ledger_size().1 as u64),
                ("log_lines_dropped", self.shell.dropped_lines()),
            ];
            let response = self.shell.metrics.render(&self.entry.counters, &levels);
            self.reactor.respond(id, &response);
        }
    }

    fn readiness(&self, request: &Request) -> Response {
        if request.path != caller::READY_PATH {
            return Response::empty(404);
        }
        if self.entry.is_ready() && self.shell.stopping.is_none() {
            Response::empty(200)
        } else {
            Response::empty(503)
        }
    }

    fn caller(&mut self, id: RequestId, request: &Request, now: Time) {
        let number = RequestNo(id.0);
        let Some(configuration) = self.entry.configuration() else {
            self.entry
                .refuse(number, Refusal::NoConfiguration, &mut self.actions);
            return;
        };
        let host = request.header("host").unwrap_or_default();
        let Some((route, rest)) = configuration.route(host, &request.path) else {
            self.entry
                .refuse(number, Refusal::NoRoute, &mut self.actions);
            return;
        };
        match CallerRequest::parse(request.method, rest) {
            CallerRequest::Submit(job) => match caller::decode_submission(request) {
                Ok(submission) => {
                    self.entry
                        .submit(number, job, &route, submission, now, &mut self.actions);
                }
                Err(error) => {
                    info!(%job, %error, "submission refused");
                    self.entry
                        .refuse(number, error.refusal(), &mut self.actions);
                }
            },
            CallerRequest::ReadState(job) => {
                let status = self.entry.status_of(&job, now);
                self.reactor.respond(id, &caller::state_response(status));
            }
            CallerRequest::Cancel(job) => self.entry.cancel(number, &job, now, &mut self.actions),
            CallerRequest::CountWaiting => {
                let waiting = self.entry.waiting(&route);
                self.reactor.respond(id, &caller::waiting_response(waiting));
            }
            CallerRequest::Unknown => {
                self.reactor.respond(id, &Response::empty(405));
            }
        }
    }

    fn replied(
        &mut self,
        call: CallId,
        outcome: Result<fulmarpond_reactor::Reply, fulmarpond_reactor::CallError>,
        now: Time,
    ) {
        if self.asked == Some(call) {
            self.asked = None;
            self.advised(outcome, now);
            return;
        }
        if let Some(maintenance) = &mut self.maintenance
            && let Some(order) = maintenance.take_call(call)
        {
            let metrics = &self.shell.metrics;
            maintenance.answered(&order, outcome, metrics, now);
            return;
        }
        let Some((duty, call)) = self.calls.remove(&call) else {
            return;
        };
        let reply = match store::decode_reply(&call, outcome) {
            Ok(reply) => {
                self.shell.metrics.call("store", call.as_str(), "answered");
                Some(Ok(reply))
            }
            Err(error) => {
                self.shell.metrics.call("store", call.as_str(), "failed");
                debug!(call = call.as_str(), %error, "call to the store failed");
                error.no_effect_status().map(Err)
            }
        };
        if matches!(
            duty,
            Duty::Jobs | Duty::Commit(_) | Duty::Job | Duty::Lookup
        ) {
            self.entry
                .store_answered(duty, reply, now, &mut self.actions);
            return;
        }
        let reply = reply.and_then(Result::ok);
        if duty == Duty::Maintenance {
            if let Some(maintenance) = &mut self.maintenance {
                maintenance.state.store_answered(reply, now);
            }
            return;
        }
        self.directory.answered(duty, reply, now, &mut self.tasks);
        self.directory.tick(now, &mut self.tasks);
        self.entry.set_lease(self.directory.lease_end());
    }

    fn carry_out(&mut self, now: Time) {
        for action in std::mem::take(&mut self.tasks) {
            self.carry_out_directory(action, now);
        }
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Store {
                    duty,
                    call,
                    timeout,
                } => self.call_store(duty, call, timeout),
                Action::Advise {
                    step,
                    endpoints,
                    timeout,
                } => self.ask_advice(&step, &endpoints, timeout),
                Action::Close { link } => self.reactor.close_link(LinkId(link.0)),
                Action::Send { link, frame } => {
                    self.reactor.send(LinkId(link.0), &encode(&frame));
                }
                Action::Answer {
                    request,
                    answer,
                    age,
                    wait,
                } => {
                    if matches!(answer, Answer::Completed | Answer::Failed) {
                        self.shell.metrics.job_seconds.observe(age as f64 / 1_000.0);
                        self.shell
                            .metrics
                            .wait_seconds
                            .observe(wait as f64 / 1_000.0);
                    }
                    let response = caller::answer_response(answer);
                    let open = self.reactor.respond(RequestId(request.0), &response);
                    if !open {
                        debug!(
                            request = request.0,
                            age_ms = now.as_millis(),
                            "caller is gone"
                        );
                    }
                }
            }
        }
    }

    /// Maintains hosts if this entry has the duty.
    fn maintain_hosts(&mut self, now: Time) {
        let Some(maintenance) = &mut self.maintenance else {
            return;
        };
        if !maintenance.state.is_active() {
            return;
        }
        let (entry, lease) = (&self.entry, self.directory.lease());
        let mut due = Vec::new();
        let work = |endpoint: &EndpointId| entry.work_at(endpoint);
        maintenance.state.tick(lease, work, now, &mut due);
        for action in due {
            match action {
                maintenance::Action::Store { call, timeout } => {
                    self.call_store(Duty::Maintenance, call, timeout);
                }
                maintenance::Action::Hosts { call, timeout } => {
                    if let Some(maintenance) = &mut self.maintenance {
                        maintenance.call(&mut self.reactor, call, timeout);
                    }
                }
                maintenance::Action::Drain(endpoint) => {
                    self.entry.drain(&endpoint, &mut self.actions);
                }
            }
        }
        self.carry_out(now);
    }

    fn ask_advice(&mut self, step: &StepKey, endpoints: &[EndpointId], timeout: u64) {
        // Without an address no such job is accepted.
        let Some(addr) = self.advice else {
            return;
        };
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = advice::encode_call(step, endpoints, deadline);
        self.asked = Some(self.reactor.call(addr, 0, 1, &request));
    }

    fn advised(
        &mut self,
        outcome: Result<fulmarpond_reactor::Reply, fulmarpond_reactor::CallError>,
        now: Time,
    ) {
        let outcome = advice::decode_reply(outcome);
        let result = if outcome.is_ok() {
            "answered"
        } else {
            "failed"
        };
        self.shell.metrics.call("advice", "advise", result);
        self.entry.advised(outcome, now, &mut self.actions);
    }

    fn call_store(&mut self, duty: Duty, call: StoreCall, timeout: u64) {
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let request = store::encode_call(&call, &self.identity, deadline);
        let id = self
            .reactor
            .call(self.store, 0, STORE_CONNECTIONS, &request);
        self.calls.insert(id, (duty, call));
    }

    fn carry_out_directory(&mut self, action: directory::Action, now: Time) {
        match action {
            directory::Action::Call {
                duty,
                call,
                timeout,
            } => self.call_store(duty, call, timeout),
            directory::Action::Configured(configuration) => {
                if let Some(limits) = configuration.limits {
                    self.reactor.set_limits(reactor_limits(limits));
                }
                self.entry.configure(configuration, &mut self.actions);
            }
            directory::Action::OperatorWrote => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.state.operator_wrote();
                }
            }
            directory::Action::Listed(entries) => {
                self.entry.set_entries(&entries, now, &mut self.actions);
            }
        }
    }
}

/// Returns the time of day, in milliseconds since 1970.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn reactor_limits(limits: CallerLimits) -> Limits {
    Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout: Duration::from_millis(limits.header_ms),
        idle_timeout: Duration::from_millis(limits.idle_ms),
        ..Limits::default()
    }
}

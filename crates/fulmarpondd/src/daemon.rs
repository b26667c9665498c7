//! Starts and stops one role.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fulmarpond_core::agent::{Agent, AgentInput, AgentOptions, Count};
use fulmarpond_core::contract::{Reason, Refusal, SubmissionLimits};
use fulmarpond_core::entry::{Entry, EntryInput, EntryOptions};
use fulmarpond_core::home::{HomeOptions, ROSTER_FRESH_MS};
use fulmarpond_core::link::{CallId, Envelope, Response};
use fulmarpond_core::machine::AgentId;
use fulmarpond_core::runner::RunnerOptions;
use fulmarpond_http::{Handler, Listener, Options};
use fulmarpond_link::{
    ClientOptions, LinkClient, LinkRuntime, LinkServer, Responder, Secret, ServeOptions,
};
use fulmarpond_settings::{AgentSettings, DaemonSettings, EntrySettings, Role, TimingSettings};
use tracing::info;

use crate::auth::Tokens;
use crate::callers::Callers;
use crate::clock::Clock;
use crate::driver::{AgentDriver, AgentStatus, EntryDriver, EntryView, Links, run_core};
use crate::http::{AgentApi, EntryApi};
use crate::metrics::Metrics;
use crate::ring::{PendingCalls, core_ring};
use crate::slots::Slots;
use crate::{Error, Result, store};

/// Threads of the link runtime.
const LINK_THREADS: usize = 2;
/// Threads of an agent's HTTP listener.
const AGENT_HTTP_THREADS: usize = 1;
/// Threads of an entry's HTTP listener, which parse requests and render responses.
const ENTRY_HTTP_THREADS: usize = 4;
/// Maximum connections to an agent: from its endpoint, metrics scrapes and health checks.
const AGENT_MAX_CONNECTIONS: usize = 64;
/// Connections to an entry in addition to two for each pending caller that is allowed. Callers
/// above the limit need connections on which they are refused.
const ENTRY_EXTRA_CONNECTIONS: usize = 64;
/// Maximum body size of an endpoint registration.
const REGISTRATION_MAX_BYTES: u64 = 64 << 10;
/// How long closing the HTTP listener waits for responses in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// One running role.
///
/// Dropping it stops the role without waiting for work in flight. [`Daemon::stop`] stops it
/// gracefully.
pub struct Daemon {
    drain: Box<dyn Fn() + Send + Sync>,
    core: JoinHandle<()>,
    http: Listener,
    callers: Option<Callers>,
    server: LinkServer,
    stop_threads: Arc<AtomicBool>,
    _runtime: LinkRuntime,
}

/// Components that both roles share.
struct Components {
    clock: Clock,
    metrics: Arc<Metrics>,
    runtime: LinkRuntime,
    client: LinkClient,
    next_call_id: Arc<AtomicU64>,
    responders: PendingCalls<Responder>,
    secret: Option<Secret>,
}

impl Daemon {
    /// Starts the role named in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or a listener cannot be bound to its address.
    pub fn start(settings: &DaemonSettings) -> Result<Self> {
        match &settings.role {
            Role::Entry(entry) => start_entry(settings, entry),
            Role::Agent(agent) => start_agent(settings, agent),
        }
    }

    /// Returns the address of the HTTP listener.
    pub fn http_addr(&self) -> SocketAddr {
        self.http.addr()
    }

    /// Returns the address of the link listener.
    pub fn link_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Begins a graceful stop: new work is refused, and work in flight is completed.
    pub fn drain(&self) {
        (self.drain)();
    }

    /// Stops gracefully and waits at most `limit` for the role to stop.
    ///
    /// Returns whether all work in flight was completed in time.
    pub fn stop(&self, limit: Duration) -> bool {
        self.drain();
        let deadline = Instant::now() + limit;
        while !self.is_finished() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        let finished = self.is_finished();
        self.close();
        finished
    }

    /// Returns whether the role has stopped.
    pub fn is_finished(&self) -> bool {
        self.core.is_finished()
    }

    /// Closes the listeners, after responses in progress are written.
    pub fn close(&self) {
        self.stop_threads.store(true, Ordering::Relaxed);
        if let Some(callers) = &self.callers {
            callers.abort_all();
        }
        self.http.stop(CLOSE_TIMEOUT);
        self.server.stop();
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn read_secret(path: Option<&Path>) -> Result<Option<Secret>> {
    let Some(path) = path else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    Ok(Some(text.trim().parse()?))
}

fn create_components(settings: &DaemonSettings) -> Result<Components> {
    let runtime = LinkRuntime::new(LINK_THREADS)?;
    let secret = read_secret(settings.secret_file.as_deref())?;
    let client = runtime.client(ClientOptions {
        secret: secret.clone(),
        ping_interval: settings.timing.keepalive,
        inactive_limit: settings.timing.link_timeout,
        ..ClientOptions::default()
    });
    let next_call_id = Arc::new(AtomicU64::new(1));
    Ok(Components {
        clock: Clock::new(),
        metrics: Arc::new(Metrics::new(settings.role.as_str(), &settings.name)),
        client,
        responders: PendingCalls::new(&next_call_id),
        next_call_id,
        runtime,
        secret,
    })
}

/// Starts the link listener. A request is refused immediately if the ring is full.
fn start_link_listener<I: Send + 'static>(
    components: &Components,
    settings: &DaemonSettings,
    core: &SyncSender<I>,
    to_input: fn(CallId, Envelope) -> I,
) -> Result<LinkServer> {
    let timing: &TimingSettings = &settings.timing;
    let options = ServeOptions {
        secret: components.secret.clone(),
        ping_interval: timing.keepalive,
        inactive_limit: timing.link_timeout,
        ..ServeOptions::default()
    };
    let responders = components.responders.clone();
    let metrics = Arc::clone(&components.metrics);
    let core = core.clone();
    let handler = move |envelope: Envelope, responder: Responder| {
        let call = responders.insert(responder);
        if core.try_send(to_input(call, envelope)).is_ok() {
            return;
        }
        metrics.count(Count::NotRun(Reason::Overloaded));
        if let Some(responder) = responders.remove(call) {
            responder.send(Response::Refused(Refusal::new(Reason::Overloaded, 100)));
        }
    };
    Ok(components.runtime.serve(settings.link, options, handler)?)
}

fn start_http_listener<H, R>(addr: SocketAddr, options: Options, handler: H) -> Result<Listener>
where
    H: Handler<R>,
    R: Into<fulmarpond_http::Response> + Send + 'static,
{
    Listener::start(addr, options, handler).map_err(|error| Error::Listen {
        addr,
        message: error.to_string(),
    })
}

fn create_links<I>(components: &Components, core: &SyncSender<I>) -> Links<I> {
    Links {
        client: components.client.clone(),
        responders: components.responders.clone(),
        core: core.clone(),
        metrics: Arc::clone(&components.metrics),
        stats: Arc::clone(components.runtime.stats()),
        clock: components.clock,
    }
}

/// Returns the address that is advertised to other processes. If the settings leave the port to the
/// system, it is the port of the link listener.
fn advertised_addr(settings: &DaemonSettings, server: &LinkServer) -> SocketAddr {
    let mut addr = settings.advertise;
    if addr.port() == 0 {
        addr.set_port(server.addr().port());
    }
    addr
}

fn start_agent(settings: &DaemonSettings, agent: &AgentSettings) -> Result<Daemon> {
    let components = create_components(settings)?;
    let (core, inputs) = core_ring::<AgentInput>();
    let server = start_link_listener(&components, settings, &core, |call, envelope| {
        AgentInput::Request { call, envelope }
    })?;
    let timing = &settings.timing;
    let id = AgentId::new(&settings.name, rand::random());
    let options = AgentOptions {
        id: id.clone(),
        addr: advertised_addr(settings, &server),
        zone: settings.zone.clone(),
        entries: agent.entries.clone(),
        announce_ms: to_millis(timing.announce),
        roster_window_ms: to_millis(timing.roster_window),
        home: HomeOptions {
            tombstone_retention_ms: to_millis(timing.memory_window),
            answer_retention_ms: to_millis(timing.answer_margin),
            roster_fresh_ms: ROSTER_FRESH_MS,
        },
        runner: RunnerOptions {
            lease_ms: to_millis(timing.lease),
            batch_retention_ms: to_millis(timing.answer_margin),
        },
    };
    let status = Arc::new(RwLock::new(AgentStatus::default()));
    let api = AgentApi {
        core: core.clone(),
        status: Arc::clone(&status),
        metrics: Arc::clone(&components.metrics),
        zone: settings.zone.as_str().to_owned(),
        lease_ms: to_millis(timing.lease),
    };
    let http_options = Options::default()
        .threads(AGENT_HTTP_THREADS)
        .max_connections(AGENT_MAX_CONNECTIONS)
        .max_headers(settings.limits.headers)
        .max_body_bytes(REGISTRATION_MAX_BYTES);
    let http = start_http_listener(settings.http, http_options, api)?;
    let driver = AgentDriver {
        links: create_links(&components, &core),
        slots: Slots::new(core.clone(), Arc::clone(&components.metrics)),
        core: core.clone(),
        status,
    };
    let clock = components.clock;
    let thread = thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run_core(Agent::new(options), driver, &inputs, clock))?;
    info!(agent = %id, http = %http.addr(), link = %server.addr(), "agent started");
    let drain = move || {
        let _ = core.send(AgentInput::Drain);
    };
    Ok(assemble(
        components,
        server,
        http,
        thread,
        None,
        Arc::default(),
        Box::new(drain),
    ))
}

fn start_entry(settings: &DaemonSettings, entry: &EntrySettings) -> Result<Daemon> {
    let components = create_components(settings)?;
    let (core, inputs) = core_ring::<EntryInput>();
    let server = start_link_listener(&components, settings, &core, |call, envelope| {
        EntryInput::Request { call, envelope }
    })?;
    let timing = &settings.timing;
    let options = EntryOptions {
        name: settings.name.clone(),
        announce_ms: to_millis(timing.announce),
        silence_ms: to_millis(timing.silence),
        roster_window_ms: to_millis(timing.roster_window),
    };
    let stop_threads = Arc::new(AtomicBool::new(false));
    let store = store::start(
        entry.kv,
        entry.timeout,
        &core,
        &components.metrics,
        components.clock,
        &stop_threads,
    )?;
    let view = Arc::new(RwLock::new(EntryView::default()));
    let callers = Callers::new(
        &components.next_call_id,
        settings.limits.callers,
        &components.metrics,
    );
    callers.start_sweeper(&stop_threads)?;
    let api = EntryApi {
        core: core.clone(),
        pending: callers.clone(),
        view: Arc::clone(&view),
        metrics: Arc::clone(&components.metrics),
        caller_tokens: Tokens::read(entry.callers_file.as_deref())?,
        operator_tokens: Tokens::read(entry.operators_file.as_deref())?,
        limits: SubmissionLimits {
            max_tasks: settings.limits.tasks,
            deadline_ms: to_millis(settings.limits.deadline),
        },
    };
    let http_options = Options::default()
        .threads(ENTRY_HTTP_THREADS)
        .max_connections(ENTRY_EXTRA_CONNECTIONS + 2 * settings.limits.callers)
        .max_headers(settings.limits.headers)
        .max_body_bytes(settings.limits.body);
    let http = start_http_listener(settings.http, http_options, api)?;
    let driver = EntryDriver {
        links: create_links(&components, &core),
        callers: callers.clone(),
        store,
        core: core.clone(),
        view,
    };
    let clock = components.clock;
    let thread = thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run_core(Entry::new(options), driver, &inputs, clock))?;
    let name = &settings.name;
    info!(entry = %name, http = %http.addr(), link = %server.addr(), "entry started");
    let drain = move || {
        let _ = core.send(EntryInput::Drain);
    };
    Ok(assemble(
        components,
        server,
        http,
        thread,
        Some(callers),
        stop_threads,
        Box::new(drain),
    ))
}

fn assemble(
    components: Components,
    server: LinkServer,
    http: Listener,
    core: JoinHandle<()>,
    callers: Option<Callers>,
    stop_threads: Arc<AtomicBool>,
    drain: Box<dyn Fn() + Send + Sync>,
) -> Daemon {
    Daemon {
        drain,
        core,
        http,
        callers,
        server,
        stop_threads,
        _runtime: components.runtime,
    }
}

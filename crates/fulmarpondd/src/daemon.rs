//! Starting and stopping one role.

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
use fulmarpond_core::home::{FRESH_MS, HomeOptions};
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
use crate::driver::{AgentDriver, AgentView, EntryDriver, EntryView, Links, run};
use crate::http::{AgentApi, EntryApi};
use crate::metrics::Metrics;
use crate::ring::{Waiting, ring};
use crate::slots::Slots;
use crate::{Error, Result, store};

/// The threads of the link runtime.
const LINK_THREADS: usize = 2;
/// The threads of an agent's HTTP listener.
const AGENT_HTTP_THREADS: usize = 1;
/// The threads of an entry's HTTP listener. They parse and render the bodies.
const ENTRY_HTTP_THREADS: usize = 4;
/// The connections to an agent: its endpoint, scrapes and health checks.
const AGENT_CONNECTIONS: usize = 64;
/// The connections to an entry beside two for each caller that may wait. Above the number of
/// waiting callers there must be room for connections on which more are refused.
const ENTRY_CONNECTIONS: usize = 64;
/// The largest announcement of an endpoint in bytes.
const ANNOUNCE_MAX: u64 = 64 << 10;
/// How long closing the HTTP listener waits for responses that are being written.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// One running role.
///
/// Dropping it stops the role without waiting for work in flight; [`Daemon::stop`] is graceful.
pub struct Daemon {
    drain: Box<dyn Fn() + Send + Sync>,
    core: JoinHandle<()>,
    http: Listener,
    callers: Option<Callers>,
    server: LinkServer,
    stop_threads: Arc<AtomicBool>,
    _runtime: LinkRuntime,
}

/// What both roles are started with.
struct Common {
    clock: Clock,
    metrics: Arc<Metrics>,
    runtime: LinkRuntime,
    client: LinkClient,
    numbers: Arc<AtomicU64>,
    responders: Waiting<Responder>,
    secret: Option<Secret>,
}

impl Daemon {
    /// Starts the role that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read or an address can't be listened on.
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

    /// Begins a graceful stop: new work is refused, and what is in flight is finished.
    pub fn drain(&self) {
        (self.drain)();
    }

    /// Stops gracefully and waits for the end, at most for `limit`.
    ///
    /// Returns whether all work was finished in time.
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

    /// Closes the listeners. Responses in progress are written first.
    pub fn close(&self) {
        self.stop_threads.store(true, Ordering::Relaxed);
        if let Some(callers) = &self.callers {
            callers.abandon();
        }
        self.http.stop(CLOSE_LIMIT);
        self.server.stop();
    }
}

fn millis(duration: Duration) -> u64 {
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

fn common(settings: &DaemonSettings) -> Result<Common> {
    let runtime = LinkRuntime::new(LINK_THREADS)?;
    let secret = read_secret(settings.secret_file.as_deref())?;
    let client = runtime.client(ClientOptions {
        secret: secret.clone(),
        ping_interval: settings.timing.keepalive,
        inactive_limit: settings.timing.link_timeout,
        ..ClientOptions::default()
    });
    let numbers = Arc::new(AtomicU64::new(1));
    Ok(Common {
        clock: Clock::new(),
        metrics: Arc::new(Metrics::new(settings.role.as_str(), &settings.name)),
        client,
        responders: Waiting::new(&numbers),
        numbers,
        runtime,
        secret,
    })
}

/// Starts the link listener. A full ring refuses a request at once.
fn serve<I: Send + 'static>(
    common: &Common,
    settings: &DaemonSettings,
    core: &SyncSender<I>,
    input: fn(CallId, Envelope) -> I,
) -> Result<LinkServer> {
    let timing: &TimingSettings = &settings.timing;
    let options = ServeOptions {
        secret: common.secret.clone(),
        ping_interval: timing.keepalive,
        inactive_limit: timing.link_timeout,
        ..ServeOptions::default()
    };
    let responders = common.responders.clone();
    let metrics = Arc::clone(&common.metrics);
    let core = core.clone();
    let handler = move |envelope: Envelope, responder: Responder| {
        let call = responders.add(responder);
        if core.try_send(input(call, envelope)).is_ok() {
            return;
        }
        metrics.count(Count::NotRun(Reason::Overloaded));
        if let Some(responder) = responders.take(call) {
            responder.send(Response::Refused(Refusal::new(Reason::Overloaded, 100)));
        }
    };
    Ok(common.runtime.serve(settings.link, options, handler)?)
}

fn listen<H, R>(addr: SocketAddr, options: Options, handler: H) -> Result<Listener>
where
    H: Handler<R>,
    R: Into<fulmarpond_http::Response> + Send + 'static,
{
    Listener::start(addr, options, handler).map_err(|error| Error::Listen {
        addr,
        message: error.to_string(),
    })
}

fn links<I>(common: &Common, core: &SyncSender<I>) -> Links<I> {
    Links {
        client: common.client.clone(),
        responders: common.responders.clone(),
        core: core.clone(),
        metrics: Arc::clone(&common.metrics),
        stats: Arc::clone(common.runtime.stats()),
        clock: common.clock,
    }
}

/// Returns the address that others use, with the port that the system chose if none was set.
fn advertised(settings: &DaemonSettings, server: &LinkServer) -> SocketAddr {
    let mut addr = settings.advertise;
    if addr.port() == 0 {
        addr.set_port(server.addr().port());
    }
    addr
}

fn start_agent(settings: &DaemonSettings, agent: &AgentSettings) -> Result<Daemon> {
    let common = common(settings)?;
    let (core, inputs) = ring::<AgentInput>();
    let server = serve(&common, settings, &core, |call, envelope| {
        AgentInput::Request { call, envelope }
    })?;
    let timing = &settings.timing;
    let id = AgentId::new(&settings.name, rand::random());
    let options = AgentOptions {
        id: id.clone(),
        addr: advertised(settings, &server),
        zone: settings.zone.clone(),
        entries: agent.entries.clone(),
        announce_ms: millis(timing.announce),
        window_ms: millis(timing.roster_window),
        home: HomeOptions {
            memory_ms: millis(timing.memory_window),
            margin_ms: millis(timing.answer_margin),
            fresh_ms: FRESH_MS,
        },
        runner: RunnerOptions {
            lease_ms: millis(timing.lease),
            margin_ms: millis(timing.answer_margin),
        },
    };
    let view = Arc::new(RwLock::new(AgentView::default()));
    let api = AgentApi {
        core: core.clone(),
        view: Arc::clone(&view),
        metrics: Arc::clone(&common.metrics),
        zone: settings.zone.as_str().to_owned(),
        lease_ms: millis(timing.lease),
    };
    let http = Options::default()
        .threads(AGENT_HTTP_THREADS)
        .max_connections(AGENT_CONNECTIONS)
        .headers_max(settings.limits.headers)
        .body_max(ANNOUNCE_MAX);
    let http = listen(settings.http, http, api)?;
    let driver = AgentDriver {
        links: links(&common, &core),
        slots: Slots::new(core.clone(), Arc::clone(&common.metrics)),
        core: core.clone(),
        view,
    };
    let clock = common.clock;
    let thread = thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run(Agent::new(options), driver, &inputs, clock))?;
    info!(agent = %id, http = %http.addr(), link = %server.addr(), "agent started");
    let drain = move || {
        let _ = core.send(AgentInput::Drain);
    };
    Ok(daemon(
        common,
        server,
        http,
        thread,
        None,
        Arc::default(),
        Box::new(drain),
    ))
}

fn start_entry(settings: &DaemonSettings, entry: &EntrySettings) -> Result<Daemon> {
    let common = common(settings)?;
    let (core, inputs) = ring::<EntryInput>();
    let server = serve(&common, settings, &core, |call, envelope| {
        EntryInput::Request { call, envelope }
    })?;
    let timing = &settings.timing;
    let options = EntryOptions {
        name: settings.name.clone(),
        announce_ms: millis(timing.announce),
        silence_ms: millis(timing.silence),
        window_ms: millis(timing.roster_window),
    };
    let stop_threads = Arc::new(AtomicBool::new(false));
    let store = store::start(
        entry.kv,
        entry.timeout,
        &core,
        &common.metrics,
        common.clock,
        &stop_threads,
    )?;
    let view = Arc::new(RwLock::new(EntryView::default()));
    let callers = Callers::new(&common.numbers, settings.limits.callers, &common.metrics);
    callers.start_sweeping(&stop_threads)?;
    let api = EntryApi {
        core: core.clone(),
        waiting: callers.clone(),
        view: Arc::clone(&view),
        metrics: Arc::clone(&common.metrics),
        callers: Tokens::read(entry.callers_file.as_deref())?,
        operators: Tokens::read(entry.operators_file.as_deref())?,
        limits: SubmissionLimits {
            max_tasks: settings.limits.tasks,
            deadline_ms: millis(settings.limits.deadline),
        },
    };
    let http = Options::default()
        .threads(ENTRY_HTTP_THREADS)
        .max_connections(ENTRY_CONNECTIONS + 2 * settings.limits.callers)
        .headers_max(settings.limits.headers)
        .body_max(settings.limits.body);
    let http = listen(settings.http, http, api)?;
    let driver = EntryDriver {
        links: links(&common, &core),
        callers: callers.clone(),
        store,
        core: core.clone(),
        view,
    };
    let clock = common.clock;
    let thread = thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run(Entry::new(options), driver, &inputs, clock))?;
    let name = &settings.name;
    info!(entry = %name, http = %http.addr(), link = %server.addr(), "entry started");
    let drain = move || {
        let _ = core.send(EntryInput::Drain);
    };
    Ok(daemon(
        common,
        server,
        http,
        thread,
        Some(callers),
        stop_threads,
        Box::new(drain),
    ))
}

fn daemon(
    common: Common,
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
        _runtime: common.runtime,
    }
}

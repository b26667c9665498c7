//! The process of an entry: its settings, its event loop and its graceful stop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime};

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::CallerLimits;
use fulmarpond_dispatch::directory::{self, Activity, Directory, StoreCall};
use fulmarpond_dispatch::entry::{Action, Arrival, Entry, EntryOptions, RequestNo};
use fulmarpond_dispatch::maintenance::MaintenanceOptions;
use fulmarpond_dispatch::{AgentFrame, EntryFrame, FrameError, LinkNo, decode};
use fulmarpond_platform::store::EntryIdentity;
use fulmarpond_reactor::{CallId, Event, Limits, ListenerId, Reactor};
use fulmarpond_settings::{LeasedRole, LeasedSettings};
use tracing::{info, warn};

use super::clock::BootClock;
use super::host_maintenance::HostMaintenance;
use super::log::Log;
use super::machine_limits::{job_bytes, reactor_limits};
use super::runtime::Runtime;
use super::{Result, lease_times};

/// How long a stopping entry accepts new connections, in milliseconds.
///
/// The load balancer stops sending connections after two failed readiness checks, and makes one
/// check a second.
const READINESS_NOTICE_MS: u64 = 2_700;

/// How long before the end of the grace period the remaining jobs are given up, in milliseconds.
const GIVE_UP_MARGIN_MS: u64 = 700;

/// The process of an entry.
pub(super) struct EntryProcess {
    pub(super) entry: Entry,
    pub(super) directory: Directory,
    pub(super) reactor: Reactor,
    pub(super) identity: EntryIdentity,
    pub(super) store: SocketAddr,
    pub(super) advice: Option<SocketAddr>,
    pub(super) maintenance: Option<HostMaintenance>,
    pub(super) caller_listener: ListenerId,
    pub(super) readiness_listener: ListenerId,
    pub(super) calls: HashMap<CallId, (Activity, StoreCall)>,
    /// The call to the advice service that is in flight.
    pub(super) advice_call: Option<CallId>,
    pub(super) runtime: Runtime,
    /// The version of the configuration whose limits the reactor has.
    limits_version: u64,
    grace_ms: u64,
    pub(super) actions: Vec<Action>,
    pub(super) directory_actions: Vec<directory::Action>,
}

impl EntryProcess {
    pub(super) fn new(settings: &LeasedSettings, path: &Path, log: Log) -> Result<Self> {
        let LeasedRole::Entry {
            callers,
            readiness,
            link,
            store,
            store_writes_per_second,
            advice,
            hosts,
            handover,
        } = settings.role
        else {
            return Err(io::Error::other("the settings are not those of an entry").into());
        };
        let now = BootClock::now();
        let options = EntryOptions {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            lease_times: lease_times(&settings.timing),
            remote_factor: settings.remote_factor,
            incarnation: now.as_micros(),
            writes_per_second: store_writes_per_second,
            advises: advice.is_some(),
            retention_ms: settings.timing.job_retention.as_millis() as u64,
        };
        let mut reactor = Reactor::new(reactor_limits(settings.limits))?;
        let (caller_listener, _) = reactor.listen_http(callers)?;
        let (readiness_listener, _) = reactor.listen_http(readiness)?;
        reactor.listen_links(link)?;
        if let Some(addr) = settings.metrics {
            reactor.listen_http(addr)?;
        }
        let mut entry = Entry::new(options, now);
        entry.await_entries(now);
        entry.set_job_bytes(job_bytes(settings.limits));
        Ok(Self {
            entry,
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
                    handover_ms: handover.as_millis() as u64,
                };
                HostMaintenance::new(addr, options, now)
            }),
            caller_listener,
            readiness_listener,
            calls: HashMap::new(),
            advice_call: None,
            runtime: Runtime::new(settings, path, log, now)?,
            limits_version: 0,
            grace_ms: settings.timing.grace.as_millis() as u64,
            actions: Vec::new(),
            directory_actions: Vec::new(),
        })
    }

    /// Runs the event loop until the process is asked to stop and has finished its jobs.
    pub(super) fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        loop {
            let now = BootClock::now();
            let wake = self.entry.next_wake().min(self.directory.next_wake());
            let deadline = self.runtime.poll_deadline(wake, now);
            self.reactor.set_stamp(now.as_micros());
            self.reactor.poll(deadline, &mut events)?;
            events.sort_by_key(rank);
            // The clock is read for each event: a pause may come between any two, and a lease may
            // expire during it.
            for event in events.drain(..) {
                self.handle_event(event, BootClock::now());
            }
            let now = BootClock::now();
            self.entry.set_unix_ms(unix_millis());
            self.entry.tick(now, &mut self.actions);
            self.directory.tick(now, &mut self.directory_actions);
            self.execute_actions(now);
            self.apply_limits();
            self.maintain_hosts(now);
            self.check_signals(now);
            if self.is_finished(now) {
                break;
            }
            let recent = self.entry.recent_attempts();
            self.runtime.flush_log(recent, recent.changes());
        }
        self.withdraw();
        info!("stop");
        let recent = self.entry.recent_attempts();
        self.runtime.finish_log(recent, recent.changes());
        Ok(())
    }

    fn check_signals(&mut self, now: Time) {
        if let Some(settings) = self.runtime.reload_settings(now) {
            self.apply_settings(&settings);
        }
        if self.runtime.take_stop_request(now) {
            info!(jobs = self.entry.jobs(), "stopping gracefully");
            self.reactor.drain();
            self.entry.stop();
        }
    }

    /// Applies the limits of a new configuration.
    fn apply_limits(&mut self) {
        if self.limits_version == self.entry.version() {
            return;
        }
        self.limits_version = self.entry.version();
        let limits = self.entry.configuration().and_then(|known| known.limits);
        if let Some(limits) = limits {
            let own = self.reactor.limits();
            self.reactor.set_limits(with_caller_limits(own, limits));
        }
    }

    /// Applies the changed settings that need no restart.
    fn apply_settings(&mut self, settings: &LeasedSettings) {
        let LeasedRole::Entry {
            store,
            store_writes_per_second,
            advice,
            ..
        } = settings.role
        else {
            return;
        };
        self.store = store;
        self.advice = advice;
        self.entry.apply_settings(
            store_writes_per_second,
            settings.remote_factor,
            advice.is_some(),
        );
    }

    fn is_finished(&mut self, now: Time) -> bool {
        let Some(stop_requested_at) = self.runtime.stop_requested_at else {
            return false;
        };
        let elapsed_ms = now.millis_since(stop_requested_at);
        if elapsed_ms + GIVE_UP_MARGIN_MS >= self.grace_ms {
            self.entry.give_up_all(now, &mut self.actions);
            self.execute_actions(now);
            return true;
        }
        let readiness_was_checked = elapsed_ms >= READINESS_NOTICE_MS.min(self.grace_ms / 2);
        readiness_was_checked && self.entry.waiting_requests() == 0 && !self.entry.has_runs()
    }

    /// Withdraws the announcement without waiting for the reply of the store, and sends all pending
    /// output.
    fn withdraw(&mut self) {
        let now = BootClock::now();
        self.directory.leave(now);
        self.directory.tick(now, &mut self.directory_actions);
        self.execute_actions(now);
        self.reactor.flush_output();
    }

    /// Handles a frame from an agent or from another entry.
    fn handle_frame(
        &mut self,
        link: LinkNo,
        bytes: &[u8],
        now: Time,
    ) -> std::result::Result<(), FrameError> {
        if self.entry.has_dialed(link) {
            let frame = decode::<EntryFrame>(bytes)?;
            self.entry
                .handle_entry_frame(link, frame, now, &mut self.actions);
        } else {
            let frame = decode::<AgentFrame>(bytes)?;
            self.entry.handle_frame(link, frame, now, &mut self.actions);
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event, now: Time) {
        match event {
            Event::Request {
                listener,
                id,
                request,
                since,
                heard,
            } => {
                let max_age = now.millis_since(Time::from_micros(since));
                let held_back =
                    heard.map_or(u64::MAX, |heard| now.millis_since(Time::from_micros(heard)));
                let arrival = Arrival {
                    request: RequestNo(id.0),
                    max_age,
                    held_back,
                };
                self.handle_request(listener, arrival, &request, now);
            }
            Event::Abandoned { id } => {
                self.entry
                    .handle_caller_disconnect(RequestNo(id.0), now, &mut self.actions);
            }
            Event::Replied { call, outcome } => self.handle_reply(call, outcome, now),
            Event::LinkUp { link, accepted, .. } => {
                let link = LinkNo(link.0);
                if accepted {
                    self.entry.link_up(link, &mut self.actions);
                } else {
                    self.entry.peer_link_up(link, now, &mut self.actions);
                }
            }
            Event::Frame { link, bytes } => {
                if let Err(error) = self.handle_frame(LinkNo(link.0), &bytes, now) {
                    warn!(%error, "cannot decode a frame, closing the link");
                    self.reactor.close_link(link);
                    self.entry.link_down(LinkNo(link.0), now, &mut self.actions);
                }
            }
            Event::LinkDown { link } => {
                self.entry.link_down(LinkNo(link.0), now, &mut self.actions);
            }
        }
        self.execute_actions(now);
    }
}

/// Returns the order in which events that have come together are handled.
///
/// After a pause of the process, requests abandoned by their callers come first, so that no other
/// event advances the jobs of callers that have left. New requests come last: leases of links end and
/// versions grow old while they are handled, and a full entry always has some.
const fn rank(event: &Event) -> u8 {
    match event {
        Event::Abandoned { .. } => 0,
        Event::Replied { .. }
        | Event::LinkUp { .. }
        | Event::Frame { .. }
        | Event::LinkDown { .. } => 1,
        Event::Request { .. } => 2,
    }
}

/// Returns the Unix time, in milliseconds.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}

fn with_caller_limits(own: Limits, limits: CallerLimits) -> Limits {
    Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout: Duration::from_millis(limits.header_ms),
        idle_timeout: Duration::from_millis(limits.idle_ms),
        ..own
    }
}

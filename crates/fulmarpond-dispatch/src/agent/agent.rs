//! The agent.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::endpoint::Endpoint;
use super::health::Health;
use super::links::Links;
use super::queue::Queue;
use super::run::{Phase, Run, Then};
use super::{Action, CallNo};
use crate::entry::Configuration;
use crate::{
    AgentFrame, Bounds, Checkpoint, Counters, EndpointId, EntryFrame, LinkNo, Needs, Outcome,
    Registration, TaskEnd, TaskKey, Working,
};

/// How long a start or a stop may go without a reply, in milliseconds. The endpoint is on the same
/// host and answers within a few.
pub(super) const ORDER_TIMEOUT_MS: u64 = 20;

/// The shortest and the longest time between two statuses on a link, in milliseconds.
pub(super) const STATUS_MS: (u64, u64) = (5, 120);

/// How long after its time-out a stop or a look is sent again if its outcome was lost, in
/// milliseconds.
pub(super) const LOST_OUTCOME_MS: u64 = 10;

/// How long a host stays drained unless that is said again, in milliseconds: the entry that has the
/// duty to maintain it may be gone.
const DRAIN_MS: u64 = 2_000;

/// How an agent is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentOptions {
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Addresses to reach entries at, until these name others.
    pub seeds: Vec<SocketAddr>,
    /// The times of leases.
    pub bounds: Bounds,
    /// The interval of the endpoint's heartbeats, in milliseconds.
    pub beat_ms: u64,
    /// The fencing token to begin with.
    pub fence: u64,
}

/// Why a call was made.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    Start(TaskKey, u32),
    Stop(TaskKey, u32),
    /// Stops a run that this process did not start.
    StopOrphan,
    Hold,
    /// Looks whether a run that was stopped is over.
    Look(TaskKey, u32),
    /// Asks whether a registration speaks for the present incarnation.
    Probe(Registration),
}

/// The process beside an endpoint.
#[derive(Debug)]
pub struct Agent {
    pub(super) options: AgentOptions,
    pub(super) fence: u64,
    /// How much the token is raised after a refusal.
    pub(super) raise: u64,
    pub(super) links: Links,
    pub(super) endpoint: Option<Endpoint>,
    pub(super) runs: HashMap<TaskKey, Run>,
    pub(super) queue: Queue,
    pub(super) calls: HashMap<CallNo, Purpose>,
    pub(super) next_call: u64,
    /// The last run number of tasks that ended here.
    pub(super) numbers: HashMap<TaskKey, (u32, Time)>,
    pub(super) used: Needs,
    pub(super) health: Health,
    /// Until when the endpoint counts as stalled.
    pub(super) stalled_until: Time,
    pub(super) ends: HashMap<LinkNo, Vec<TaskEnd>>,
    pub(super) starts: HashMap<LinkNo, Vec<TaskKey>>,
    pub(super) saved: HashMap<LinkNo, Vec<Checkpoint>>,
    pub(super) working: HashMap<LinkNo, Vec<Working>>,
    /// When the tasks without an owner are told again.
    pub(super) next_unowned: Time,
    pub(super) changed: bool,
    pub(super) last_status: Time,
    pub(super) next_check: Time,
    pub(super) leaving: bool,
    /// The newest configuration that entries have given; the agent itself does not use it.
    pub(super) configuration: Option<Configuration>,
    /// The decisions since the start.
    pub counters: Counters,
}

impl Agent {
    /// Creates an agent without endpoint and links.
    pub fn new(options: AgentOptions, now: Time) -> Self {
        let mut links = Links::new(options.name.clone());
        links.learn(&options.seeds, now);
        Self {
            fence: options.fence,
            raise: 1 << 10,
            options,
            links,
            endpoint: None,
            runs: HashMap::new(),
            queue: Queue::default(),
            calls: HashMap::new(),
            next_call: 1,
            numbers: HashMap::new(),
            used: Needs::default(),
            health: Health::new(now),
            stalled_until: now,
            ends: HashMap::new(),
            starts: HashMap::new(),
            saved: HashMap::new(),
            working: HashMap::new(),
            next_unowned: now,
            changed: true,
            last_status: Time::default(),
            next_check: now,
            leaving: false,
            configuration: None,
            counters: Counters::default(),
        }
    }

    /// Replaces the addresses to reach entries at that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Time) {
        self.links.learn(seeds, now);
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn wake(&self) -> Time {
        let status = if self.changed {
            self.last_status.after_millis(STATUS_MS.0)
        } else {
            self.last_status.after_millis(STATUS_MS.1)
        };
        status.min(self.next_check).min(self.links.next_dial())
    }

    /// Returns whether no task is left.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many tasks wait and how many are at the endpoint.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Queued)
            .count();
        (waiting, self.runs.len() - waiting)
    }

    /// Returns how many entries are linked.
    pub fn links(&self) -> usize {
        self.links.up.len()
    }

    /// Stops taking tasks; what runs goes on.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        info!(runs = self.runs.len(), "agent takes no more tasks");
        self.leaving = true;
        self.return_queue(now);
        self.send_status(now, out);
    }

    /// Starts no task for a while, since the host is about to be maintained.
    fn drain(&mut self, now: Time, out: &mut Vec<Action>) {
        let until = now.after_millis(DRAIN_MS);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let new = endpoint.drained.is_none();
        endpoint.drained = Some(until);
        if new {
            info!(
                runs = self.runs.len(),
                "host is drained for its maintenance"
            );
            self.return_queue(now);
            self.send_status(now, out);
            self.send_news(out);
        }
    }

    /// Ends everything that still runs.
    pub fn stop_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, Then::Report(Outcome::Aborted), now, out);
        }
        self.send_news(out);
    }

    /// Notes that a link is being opened.
    pub fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        self.links.dialed(addr, link);
    }

    /// Notes that a link is established.
    pub fn link_up(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let lease = now.after_millis(self.options.bounds.link_ms);
        self.links.opened(link, lease, now);
        let hello = AgentFrame::Hello {
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            version: self.version(),
        };
        out.push(Action::Send { link, frame: hello });
        out.push(Action::Send {
            link,
            frame: self.describe(),
        });
        if let Some(frame) = self.unowned() {
            out.push(Action::Send { link, frame });
        }
        self.send_status(now, out);
    }

    /// Notes that a link is closed: the runs of its entry end.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let Some(closed) = self.links.closed(link, now) else {
            return;
        };
        self.counters.links_lost += 1;
        let tasks = self.tasks_of(link);
        warn!(
            entry = closed.entry,
            runs = tasks.len(),
            "link to entry lost"
        );
        self.end_or_disown(&tasks, now, out);
        self.ends.remove(&link);
        self.starts.remove(&link);
        self.saved.remove(&link);
        self.working.remove(&link);
        self.fill(now, out);
    }

    /// Takes a frame of an entry.
    pub fn frame(&mut self, link: LinkNo, frame: EntryFrame, now: Time, out: &mut Vec<Action>) {
        let Some(state) = self.links.up.get_mut(&link) else {
            return;
        };
        match frame {
            EntryFrame::Hello { name, version } => {
                info!(entry = name, "link to entry established");
                state.entry = name;
                self.hand_on(link, version, out);
            }
            EntryFrame::Configuration(configuration) => self.keep(configuration),
            EntryFrame::Renew { sent } => {
                let lease = Time::from_micros(sent).after_millis(self.options.bounds.link_ms);
                state.lease = state.lease.max(lease);
            }
            EntryFrame::Start(order) => {
                state.orders += 1;
                self.order(link, &order, now, out);
            }
            EntryFrame::Stop { job, tasks, report } => {
                let then = if report {
                    Then::Report(Outcome::Aborted)
                } else {
                    Then::Forget
                };
                self.stop_tasks(link, &job, &tasks, then, now, out);
            }
            EntryFrame::Noted(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.held.noted(&runs);
                }
                self.hold(now, out);
            }
            EntryFrame::Obsolete(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.held.obsolete(&runs, now);
                }
            }
            EntryFrame::Void(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.held.void(&runs);
                }
            }
            EntryFrame::Withdraw(job) => self.withdraw(link, &job, now, out),
            EntryFrame::Release(job) => self.release(link, &job, now, out),
            EntryFrame::Adopt(tasks) => self.adopt_runs(link, &tasks, out),
            EntryFrame::Entries(addrs) => self.links.learn(&addrs, now),
            EntryFrame::Drain => self.drain(now, out),
        }
    }

    /// Returns the version of the configuration that is kept; 0 for none.
    fn version(&self) -> u64 {
        let kept = self.configuration.as_ref();
        kept.map_or(0, |configuration| configuration.version)
    }

    fn keep(&mut self, configuration: Configuration) {
        if configuration.version > self.version() {
            debug!(version = configuration.version, "configuration kept");
            self.configuration = Some(configuration);
        }
    }

    /// Gives an entry the configuration that is kept here if the entry's is older.
    fn hand_on(&self, link: LinkNo, version: u64, out: &mut Vec<Action>) {
        if let Some(configuration) = &self.configuration
            && configuration.version > version
        {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Configuration(configuration.clone()),
            });
        }
    }

    fn describe(&self) -> AgentFrame {
        match &self.endpoint {
            Some(endpoint) => AgentFrame::Endpoint {
                id: endpoint.about.id.clone(),
                service: endpoint.about.service.clone(),
                capacity: endpoint.about.capacity,
                labels: endpoint.about.labels.clone(),
            },
            None => AgentFrame::Endpoint {
                id: EndpointId(String::new()),
                service: String::new(),
                capacity: Needs::default(),
                labels: Vec::new(),
            },
        }
    }

    pub(super) fn describe_to_all(&mut self, out: &mut Vec<Action>) {
        for &link in self.links.up.keys() {
            let frame = self.describe();
            out.push(Action::Send { link, frame });
        }
        self.changed = true;
    }
}

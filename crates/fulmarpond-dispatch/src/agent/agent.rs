//! The state of an agent, its links to entries and the frames that it receives.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::configuration_holder::ConfigurationHolder;
use super::crashes::Crashes;
use super::endpoint::Endpoint;
use super::health::Health;
use super::links::Links;
use super::preemption::Preemption;
use super::recent_stops::RecentStops;
use super::run::{AfterStop, Phase, Run};
use super::run_memory::RunMemory;
use super::shares::Shares;
use super::turns::Turns;
use super::zone_evacuation::ZoneState;
use super::{Action, CallNo};
use crate::{
    AgentFrame, Checkpoint, Counters, EndpointId, EntryFrame, Incarnation, LeaseTimes, LinkNo,
    Outcome, Registration, Resources, TaskEnd, TaskKey, Weights, Working,
};

/// The minimum timeout of start and stop calls, in milliseconds. The endpoint is on the same host
/// and normally replies within a few milliseconds.
pub(super) const START_STOP_TIMEOUT_MS: u64 = 20;

/// The minimum and maximum interval between status frames on a link, in milliseconds.
pub(super) const STATUS_INTERVAL_MS: (u64, u64) = (5, 120);

/// The delay after its timeout at which a stop, or the check of a stopped run, is sent again if
/// neither a reply nor a failure was reported, in milliseconds.
pub(super) const RESEND_DELAY_MS: u64 = 10;

/// How long a drain request stays in force unless it is repeated, in milliseconds. It expires
/// because the entry that maintains the host may have failed.
const DRAIN_TTL_MS: u64 = 2_000;

/// Options of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentOptions {
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The initial addresses of entries. Linked entries then announce the addresses of all entries.
    pub seeds: Vec<SocketAddr>,
    /// The durations of leases.
    pub lease_times: LeaseTimes,
    /// The interval of the endpoint's heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The initial fencing token.
    pub fence: u64,
}

/// The purpose of a pending call to the endpoint. Numbers are run numbers.
#[derive(Debug, Clone)]
pub(super) enum Purpose {
    Start(TaskKey, u32),
    CheckStarted(StartCheck),
    Stop(TaskKey, u32),
    /// Stops a run that this process did not start.
    StopUnknown,
    Hold,
    /// Checks whether a stopped run has ended.
    CheckStopped(TaskKey, u32),
    /// Checks that the endpoint is alive before a run starts that may crash it.
    Verify,
    /// Checks whether a registration belongs to the current incarnation of the endpoint.
    Probe(Registration),
}

/// A check whether a run whose start got no reply has started.
#[derive(Debug, Clone)]
pub(super) struct StartCheck {
    pub(super) task: TaskKey,
    pub(super) run: u32,
    /// When the start was sent.
    pub(super) start_sent: Time,
    /// The number of earlier checks of this run.
    pub(super) earlier_checks: u32,
}

/// A call to the endpoint without a reply.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    pub(super) sent: Time,
    /// How long the endpoint may wait for the end of a run before it replies, in milliseconds.
    pub(super) wait_ms: u64,
}

impl PendingCall {
    /// Returns the purpose of the call in log lines.
    pub(super) const fn as_str(&self) -> &'static str {
        match self.purpose {
            Purpose::Start(..) => "start",
            Purpose::CheckStarted(_) => "check of a start",
            Purpose::Stop(..) | Purpose::StopUnknown => "stop",
            Purpose::Hold => "hold",
            Purpose::CheckStopped(..) => "check of a stop",
            Purpose::Verify => "sign of life",
            Purpose::Probe(_) => "probe",
        }
    }
}

/// The state machine of the process that runs beside an endpoint.
#[derive(Debug)]
pub struct Agent {
    pub(super) options: AgentOptions,
    pub(super) fence: u64,
    /// The amount by which the next refusal raises the fencing token.
    pub(super) fence_increment: u64,
    pub(super) links: Links,
    pub(super) endpoint: Option<Endpoint>,
    /// The last incarnations of endpoints that are known to be over.
    pub(super) ended_incarnations: VecDeque<Incarnation>,
    pub(super) crashes: Crashes,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// The runs that must be over by a certain time, by that time.
    pub(super) unwanted_runs: BTreeSet<(Time, TaskKey)>,
    pub(super) recent_stops: RecentStops,
    pub(super) run_memory: RunMemory,
    /// The queued tasks, and the shares of the endpoint by class.
    pub(super) shares: Shares,
    pub(super) turns: Turns,
    pub(super) preemption: Preemption,
    /// The calls without a reply.
    pub(super) pending_calls: HashMap<CallNo, PendingCall>,
    pub(super) next_call: u64,
    /// The last run number of tasks that ended here, and when their ends were seen.
    pub(super) last_run_numbers: HashMap<TaskKey, (u32, Time)>,
    /// The capacity that starting, running and stopping tasks use at the endpoint.
    pub(super) used_capacity: Resources,
    pub(super) health: Health,
    /// Until when the endpoint is reported as stalled.
    pub(super) stalled_until: Time,
    /// Reports to be sent with the next [`send_reports`](Self::send_reports), by link.
    pub(super) pending_ends: BTreeMap<LinkNo, Vec<TaskEnd>>,
    pub(super) pending_starts: BTreeMap<LinkNo, Vec<TaskKey>>,
    pub(super) pending_checkpoints: BTreeMap<LinkNo, Vec<Checkpoint>>,
    pub(super) pending_working: BTreeMap<LinkNo, Vec<Working>>,
    /// When the orphaned tasks are next reported to all entries.
    pub(super) next_orphan_report: Time,
    /// Whether the status has changed since it was last sent.
    pub(super) status_changed: bool,
    pub(super) last_status: Time,
    pub(super) next_check: Time,
    pub(super) is_shutting_down: bool,
    pub(super) configuration: ConfigurationHolder,
    pub(super) zone_state: ZoneState,
    /// Counts of decisions since the start of the process.
    pub counters: Counters,
}

impl Agent {
    /// Creates an agent without an endpoint and without links.
    pub fn new(options: AgentOptions, now: Time) -> Self {
        let mut links = Links::new(options.name.clone());
        links.add_addresses(&options.seeds, now);
        Self {
            fence: options.fence,
            fence_increment: 1 << 10,
            options,
            links,
            endpoint: None,
            ended_incarnations: VecDeque::new(),
            crashes: Crashes::default(),
            runs: BTreeMap::new(),
            unwanted_runs: BTreeSet::new(),
            recent_stops: RecentStops::default(),
            run_memory: RunMemory::default(),
            shares: Shares::default(),
            turns: Turns::default(),
            preemption: Preemption::default(),
            pending_calls: HashMap::new(),
            next_call: 1,
            last_run_numbers: HashMap::new(),
            used_capacity: Resources::default(),
            health: Health::new(now),
            stalled_until: now,
            pending_ends: BTreeMap::new(),
            pending_starts: BTreeMap::new(),
            pending_checkpoints: BTreeMap::new(),
            pending_working: BTreeMap::new(),
            next_orphan_report: now,
            status_changed: true,
            last_status: Time::default(),
            next_check: now,
            is_shutting_down: false,
            configuration: ConfigurationHolder::default(),
            zone_state: ZoneState::default(),
            counters: Counters::default(),
        }
    }

    /// Adds the entry addresses from the settings. Addresses that are no longer named expire.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Time) {
        self.links.add_addresses(seeds, now);
    }

    /// Sets the weights of the shares, which apply from the next start, and whether runs may be
    /// stopped for urgent tasks.
    pub fn set_sharing(&mut self, weights: Weights, has_preemption: bool) {
        self.shares.weights = weights;
        self.preemption.is_enabled = has_preemption;
        self.status_changed = true;
    }

    /// Returns the latest time for the next call of [`tick`](Self::tick).
    pub fn next_wake(&self) -> Time {
        let status = if self.status_changed {
            self.last_status.after_millis(STATUS_INTERVAL_MS.0)
        } else {
            self.last_status.after_millis(STATUS_INTERVAL_MS.1)
        };
        status
            .min(self.next_check)
            .min(self.links.next_dial())
            .min(self.links.next_expiry())
            .min(self.zone_state.next_wake())
    }

    /// Returns whether the agent has no queued or running task.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the number of queued tasks and the number of tasks at the endpoint.
    pub fn load(&self) -> (usize, usize) {
        let queued = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Queued)
            .count();
        (queued, self.runs.len() - queued)
    }

    /// Returns the last runs that were stopped since their entry was lost or no longer wanted them.
    pub const fn recent_stops(&self) -> &RecentStops {
        &self.recent_stops
    }

    /// Returns the number of established links to entries.
    pub fn links(&self) -> usize {
        self.links.established.len()
    }

    /// Stops accepting tasks and returns the queued ones. Running tasks continue.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        info!(runs = self.runs.len(), "agent takes no more tasks");
        self.is_shutting_down = true;
        self.return_queued_tasks(now);
        self.send_status(now, out);
    }

    /// Stops starting tasks for [`DRAIN_TTL_MS`], because the host is about to be maintained.
    fn drain(&mut self, now: Time, out: &mut Vec<Action>) {
        let until = now.after_millis(DRAIN_TTL_MS);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let is_new = endpoint.drained_until.is_none();
        endpoint.drained_until = Some(until);
        if is_new {
            info!(
                runs = self.runs.len(),
                "host is drained for its maintenance"
            );
            self.return_queued_tasks(now);
            self.send_status(now, out);
            self.send_reports(out);
        }
    }

    /// Stops all remaining runs and reports them as aborted.
    pub fn stop_runs(&mut self, now: Time, out: &mut Vec<Action>) {
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, AfterStop::Report(Outcome::Aborted), now, out);
        }
        self.send_reports(out);
    }

    /// Records the number of the link that is being opened to an address.
    pub fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        self.links.mark_dialed(addr, link);
    }

    /// Handles an established link: sends the state of the endpoint to the entry.
    pub fn link_up(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let lease = now.after_millis(self.options.lease_times.link_ms);
        self.links.add_link(link, lease, now);
        let hello = AgentFrame::Hello {
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            version: self.held_version(),
        };
        out.push(Action::Send { link, frame: hello });
        self.send_evacuations(link, out);
        self.send_cold(link, now, out);
        out.push(Action::Send {
            link,
            frame: self.endpoint_frame(),
        });
        out.push(Action::Send {
            link,
            frame: self.speed_frame(),
        });
        self.repeat_crashes(link, now, out);
        if let Some(frame) = self.orphaned_frame() {
            out.push(Action::Send { link, frame });
        }
        self.send_status(now, out);
    }

    /// Handles a closed link: stops the runs of its entry, except long-running ones, which wait for
    /// a new owner.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let Some(closed) = self.links.remove_link(link, now) else {
            return;
        };
        self.counters.links_lost += 1;
        let tasks = self.owned_tasks(link);
        warn!(
            entry = closed.entry,
            runs = tasks.len(),
            "link to entry lost"
        );
        let heard = self.last_heard(&closed);
        self.end_or_mark_orphaned(&tasks, heard, now, out);
        for task in &tasks {
            self.bound_unwanted_run(task, heard);
            self.log_stopped(task, &closed.entry);
        }
        self.pending_ends.remove(&link);
        self.pending_starts.remove(&link);
        self.pending_checkpoints.remove(&link);
        self.pending_working.remove(&link);
        self.start_queued_tasks(now, out);
    }

    /// Handles a frame from an entry.
    pub fn handle_frame(
        &mut self,
        link: LinkNo,
        frame: EntryFrame,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.close_expired_links(now, out);
        let Some(peer) = self.links.established.get_mut(&link) else {
            return;
        };
        match frame {
            EntryFrame::Hello { name, version } => {
                info!(entry = name, version, "link to entry established");
                self.links.set_name(link, name);
            }
            EntryFrame::Configuration(update) => {
                self.apply_configuration_update(link, update, now, out);
            }
            EntryFrame::ConfigurationVersion(version) => {
                self.handle_offered_version(link, version, now, out);
            }
            EntryFrame::RequestConfiguration(held) => {
                self.send_configuration(link, held, now, out);
            }
            EntryFrame::Renew { sent } => {
                // A time that this process has not sent yet must not extend the lease without limit.
                let sent = Time::from_micros(sent).min(now);
                let lease = sent.after_millis(self.options.lease_times.link_ms);
                peer.lease_expiry = peer.lease_expiry.max(lease);
            }
            EntryFrame::Start(order) => {
                peer.received_orders += 1;
                self.accept_order(link, &order, now, out);
            }
            EntryFrame::Stop { job, tasks, report } => {
                let after_stop = if report {
                    AfterStop::Report(Outcome::Aborted)
                } else {
                    AfterStop::Discard
                };
                self.stop_tasks(link, &job, &tasks, after_stop, now, out);
            }
            EntryFrame::Acknowledge(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.unacknowledged_ends.acknowledge(&runs);
                }
                self.send_hold(now, out);
            }
            EntryFrame::Obsolete(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.unacknowledged_ends.remove_obsolete(&runs, now);
                }
            }
            EntryFrame::Superseded(runs) => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.unacknowledged_ends.mark_superseded(&runs);
                }
            }
            EntryFrame::Withdraw(job) => self.withdraw_job(link, &job, now, out),
            EntryFrame::Release(job) => self.release_job(link, &job, now, out),
            EntryFrame::Adopt(tasks) => self.adopt_runs(link, &tasks, out),
            EntryFrame::Entries(addrs) => self.links.add_addresses(&addrs, now),
            EntryFrame::Drain => self.drain(now, out),
            EntryFrame::Peer(_) => {}
            EntryFrame::Evacuations(list) => {
                self.update_evacuations(&list, Some(link), now, out);
            }
        }
    }

    fn endpoint_frame(&self) -> AgentFrame {
        let registered = self.endpoint.as_ref();
        match registered.filter(|endpoint| endpoint.is_registered) {
            Some(endpoint) => AgentFrame::Endpoint {
                id: endpoint.registration.id.clone(),
                born: endpoint.registration.born,
                service: endpoint.registration.service.clone(),
                capacity: endpoint.registration.capacity,
                labels: endpoint.registration.labels.clone(),
            },
            None => AgentFrame::Endpoint {
                id: EndpointId(String::new()),
                born: 0,
                service: String::new(),
                capacity: Resources::default(),
                labels: Vec::new(),
            },
        }
    }

    pub(super) fn broadcast_endpoint(&mut self, out: &mut Vec<Action>) {
        for &link in self.links.established.keys() {
            let frame = self.endpoint_frame();
            out.push(Action::Send { link, frame });
            let frame = self.speed_frame();
            out.push(Action::Send { link, frame });
        }
        self.status_changed = true;
    }
}

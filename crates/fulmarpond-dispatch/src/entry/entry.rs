//! The state machine of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::advice::Advice;
use super::attempts::Attempts;
use super::configuration_exchange::ConfigurationExchange;
use super::confirmations::Confirmations;
use super::crash_log::CrashLog;
use super::departures::Departures;
use super::durable_jobs::DurableJobs;
use super::endpoint_speeds::{EndpointSpeeds, KnownSpeed};
use super::estimates::Estimates;
use super::fleet::Fleet;
use super::held_requests::HeldRequests;
use super::job::{Job, TaskState};
use super::job_memory::JobMemory;
use super::membership::Membership;
use super::overlaps::{Overlaps, RunTime};
use super::peers::Peers;
use super::quarantine::Quarantine;
use super::recent_attempts::RecentAttempts;
use super::series::OwnedSeries;
use super::waiting_jobs::WaitingJobs;
use super::workload::Workload;
use super::{Action, Answer, RequestNo};
use crate::configuration::Route;
use crate::directory::AnnouncedEntry;
use crate::evacuation::Evacuations;
use crate::ledger::{Ledger, LedgerOptions, Owner};
use crate::{ATTEMPT_TARGET, Counters, EntryFrame, JobId, LeaseTimes, Refusal};

/// The log target of lines about requests that succeed.
pub(super) const ROUTINE: &str = "routine";

/// The cause in log lines about jobs whose callers have left.
const CALLER_LEFT: &str = "caller_left";

/// The retry delay that refused callers are told, in seconds.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// The retry delay for callers of a route that has no endpoint because its tasks have crashed all
/// that are left to it, in seconds. Endpoints need some seconds to return.
const QUARANTINE_RETRY_S: u32 = 3;

/// Returns the retry delay for a refused request, in seconds.
pub(super) const fn retry_after_s(reason: Refusal) -> u32 {
    match reason {
        Refusal::NoRoute | Refusal::Invalid | Refusal::Unsupported => 0,
        Refusal::Quarantined => QUARANTINE_RETRY_S,
        _ => RETRY_AFTER_S,
    }
}

/// How long a final answer is retained for duplicates of its request, in milliseconds.
const ANSWER_RETENTION_MS: u64 = 10_000;

/// The interval between two checks of all jobs, in milliseconds.
pub(super) const CHECK_INTERVAL_MS: u64 = 20;

/// A check that is delayed by more than this shows that the process was paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// Time for messages in flight, added to the delay before a takeover, in milliseconds.
const TAKEOVER_MARGIN_MS: u64 = 500;

/// Options of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryOptions {
    /// The host name of the entry.
    pub name: String,
    /// The availability zone of the entry.
    pub zone: String,
    /// The lease times.
    pub lease_times: LeaseTimes,
    /// The factor by which a task takes longer away from its data.
    pub remote_factor: f64,
    /// The incarnation of this process: it differs from that of any earlier process on this host.
    pub incarnation: u64,
    /// The number of writes per second that the store accepts from all processes together.
    pub writes_per_second: u64,
    /// How long the state of an ended job is retained, in milliseconds.
    pub retention_ms: u64,
    /// Whether a policy service is available, which routes with a policy require.
    pub advises: bool,
}

/// The answer to a job that is not durable, retained for duplicates of its request.
#[derive(Debug, Clone, Copy)]
pub(super) struct FinalAnswer {
    pub(super) answer: Answer,
    /// When it was given.
    at: Time,
    /// When its tasks ran.
    pub(super) run_time: Option<RunTime>,
}

/// Accepts jobs from callers and places their tasks on agents.
///
/// It performs no I/O: calls go in with a time, and actions come out.
#[derive(Debug)]
pub struct Entry {
    pub(super) options: EntryOptions,
    pub(super) configurations: ConfigurationExchange,
    pub(super) fleet: Fleet,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) requests: HashMap<RequestNo, JobId>,
    pub(super) unplaced: WaitingJobs,
    /// Jobs with lost runs or delayed restarts, by the time at which their tasks are requeued.
    pub(super) lost_runs: BTreeSet<(Time, JobId)>,
    pub(super) final_answers: HashMap<JobId, FinalAnswer>,
    pub(super) evacuations: Evacuations,
    pub(super) estimates: Estimates,
    pub(super) speeds: EndpointSpeeds,
    pub(super) advice: Advice,
    pub(super) crash_log: CrashLog,
    pub(super) quarantine: Quarantine,
    pub(super) workload: Workload,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) peers: Peers,
    pub(super) attempts: Attempts,
    pub(super) recent: RecentAttempts,
    pub(super) overlaps: Overlaps,
    pub(super) membership: Membership,
    pub(super) confirmations: Confirmations,
    pub(super) held: HeldRequests,
    pub(super) departures: Departures,
    pub(super) next_check: Time,
    /// The earliest time of the next attempt to place waiting tasks.
    pub(super) next_placement: Time,
    /// The jobs in the store.
    pub(super) ledger: Ledger,
    pub(super) durable: DurableJobs,
    pub(super) series: OwnedSeries,
    pub(super) job_memory: JobMemory,
    /// The Unix time, in milliseconds; 0 until it is known.
    pub(super) unix_ms: u64,
    /// Counters of decisions since the start of the process.
    pub counters: Counters,
}

impl Entry {
    /// Creates an entry that has no configuration and no agents yet.
    pub fn new(options: EntryOptions, now: Time) -> Self {
        let owner = Owner {
            name: options.name.clone(),
            incarnation: options.incarnation,
        };
        let takeover =
            crate::directory::LEASE_MS + options.lease_times.orphan_ms() + TAKEOVER_MARGIN_MS;
        let ledger = Ledger::new(
            LedgerOptions {
                owner,
                writes_per_second: options.writes_per_second,
                retention_ms: options.retention_ms,
                takeover_ms: takeover,
            },
            now,
        );
        let peers = Peers::new(options.name.clone(), now);
        Self {
            options,
            configurations: ConfigurationExchange::default(),
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            requests: HashMap::new(),
            unplaced: WaitingJobs::default(),
            lost_runs: BTreeSet::new(),
            final_answers: HashMap::new(),
            evacuations: Evacuations::default(),
            estimates: Estimates::default(),
            speeds: EndpointSpeeds::default(),
            advice: Advice::default(),
            crash_log: CrashLog::default(),
            quarantine: Quarantine::default(),
            workload: Workload::default(),
            entries: Vec::new(),
            peers,
            attempts: Attempts::default(),
            recent: RecentAttempts::default(),
            overlaps: Overlaps::default(),
            membership: Membership::default(),
            confirmations: Confirmations::default(),
            held: HeldRequests::default(),
            departures: Departures::default(),
            next_check: now,
            next_placement: now,
            ledger,
            durable: DurableJobs::default(),
            series: OwnedSeries::default(),
            job_memory: JobMemory::default(),
            unix_ms: 0,
            counters: Counters::default(),
        }
    }

    /// Applies changed options: the write rate of the store, the factor by which a task takes
    /// longer away from its data, and whether a policy service is available.
    pub fn apply_settings(&mut self, writes_per_second: u64, remote_factor: f64, advises: bool) {
        self.options.writes_per_second = writes_per_second;
        self.options.remote_factor = remote_factor;
        self.options.advises = advises;
        self.ledger.set_write_rate(writes_per_second);
    }

    /// Returns the latest time for the next call of [`tick`](Self::tick).
    pub fn next_wake(&self) -> Time {
        let next = self.next_check.min(self.ledger.next_wake());
        next.min(self.departures.next_wake())
    }

    /// Returns whether there is a configuration and an endpoint that takes tasks.
    pub fn is_ready(&self) -> bool {
        self.configuration().is_some() && self.ready_agents() > 0
    }

    /// Returns the number of jobs in progress.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of callers that wait for an answer.
    pub fn waiting_requests(&self) -> usize {
        self.requests.len() + self.held.requests() + self.durable.waiting_requests()
    }

    /// Returns whether durable jobs have tasks at agents or changes that are not written yet.
    pub fn has_runs(&self) -> bool {
        let runs = |job: &Job| job.state.is_some() && !job.links().is_empty();
        self.jobs.values().any(runs) || self.ledger.counts().1 > 0
    }

    /// Begins to stop: no more tasks of durable jobs are placed, since another process takes them
    /// over.
    pub fn stop(&mut self) {
        self.durable.is_stopping = true;
        self.ledger.stop();
    }

    /// Returns the number of linked agents.
    pub fn agents(&self) -> usize {
        self.fleet.views.len()
    }

    /// Returns the number of agents whose endpoint takes tasks.
    pub fn ready_agents(&self) -> usize {
        let views = self.fleet.views.values();
        views.filter(|view| view.takes_tasks()).count()
    }

    /// Returns the last attempts that met another one or were stopped with runs.
    pub const fn recent_attempts(&self) -> &RecentAttempts {
        &self.recent
    }

    /// Returns the speeds of all endpoints whose service has measured ones.
    pub fn endpoint_speeds(&self) -> Vec<KnownSpeed> {
        self.speeds.known(&self.fleet)
    }

    /// Returns the age of the oldest status among all agents, in milliseconds.
    pub fn oldest_status_age_ms(&self, now: Time) -> u64 {
        let ages = self
            .fleet
            .views
            .values()
            .map(|view| now.millis_since(view.last_status_at));
        ages.max().unwrap_or_default()
    }

    /// Updates the list of announced entries and sends it to the agents if it changed.
    pub fn set_entries(&mut self, announced: &[AnnouncedEntry], now: Time, out: &mut Vec<Action>) {
        let names = announced.iter().map(|entry| entry.name.clone());
        self.ledger.set_entries(names, now);
        self.peers.set_announced(announced, now);
        let entries: Vec<SocketAddr> = announced.iter().map(|entry| entry.addr).collect();
        if entries == self.entries {
            return;
        }
        info!(entries = entries.len(), "entries changed");
        self.entries = entries;
        for &link in self.fleet.views.keys() {
            out.push(Action::Send {
                link,
                frame: EntryFrame::Entries(self.entries.clone()),
            });
        }
    }

    /// Returns the number of jobs of a route without any started task, including durable jobs of
    /// other entries.
    pub fn waiting(&self, route: &Route) -> usize {
        let waits = |job: &&Job| !job.has_started && job.route.name == route.name;
        let owned = self.jobs.values().filter(waits).count();
        let elsewhere = self.ledger.waiting(&route.name);
        owned + elsewhere.filter(|id| !self.jobs.contains_key(id)).count()
    }

    /// Handles the disconnect of a caller: its job is stopped unless it is durable or another
    /// request waits for it.
    pub fn handle_caller_disconnect(
        &mut self,
        request: RequestNo,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.durable.drop_request(request);
        if let Some(job) = self.held.drop_request(request) {
            info!(%job, "caller left, job not started");
        }
        if let Some(id) = self.requests.remove(&request) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.requests.retain(|&waiting| waiting != request);
                if !job.requests.is_empty() {
                    debug!(job = %id, "caller left, another request waits for the job");
                    return;
                }
            }
            self.counters.abandoned += 1;
            if let Some(job) = self.stop_job(&id, CALLER_LEFT, now, out) {
                info!(job = %id, age_ms = now.millis_since(job.arrived), "caller left, job stopped");
            }
        }
    }

    /// Removes a job without stopping its tasks.
    fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.advice.forget(id);
        for request in &job.requests {
            self.requests.remove(request);
        }
        self.unplaced.remove(id);
        Some(job)
    }

    /// Removes a job that another entry takes over, and releases its tasks at the agents.
    pub(super) fn release_job(&mut self, id: &JobId, out: &mut Vec<Action>) -> Option<Job> {
        let job = self.remove_job(id)?;
        for link in job.links() {
            let frame = EntryFrame::Release(id.clone());
            out.push(Action::Send { link, frame });
        }
        Some(job)
    }

    /// Removes a job and stops its tasks. Another attempt of a job that is not durable waits until
    /// the agents have reported that they are over.
    pub(super) fn stop_job(
        &mut self,
        id: &JobId,
        cause: &'static str,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Option<Job> {
        let job = self.remove_job(id)?;
        let is_attempt = job.state.is_none();
        if is_attempt {
            self.begin_ending(&job, cause, now);
        }
        for link in job.links() {
            out.push(Action::Send {
                link,
                frame: EntryFrame::Stop {
                    job: id.clone(),
                    tasks: Vec::new(),
                    report: is_attempt,
                },
            });
        }
        Some(job)
    }

    /// Lists a stopped attempt until its runs are over.
    fn begin_ending(&mut self, job: &Job, cause: &'static str, now: Time) {
        let over_by = now.after_millis(self.options.lease_times.report_ms());
        let runs = self.attempts.begin_ending(job, over_by, now);
        if runs > 0 {
            let age_ms = now.millis_since(job.sent_after);
            self.recent.record_stop(&job.id, cause, age_ms, runs);
            info!(target: ATTEMPT_TARGET, job = %job.id, cause, age_ms, runs, "attempt is stopped with runs under way");
        }
    }

    /// Ends a job: stops its remaining tasks, logs and counts the outcome, and answers its caller
    /// or records the end in the store.
    pub(super) fn finish(&mut self, id: &JobId, answer: Answer, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.stop_job(id, answer.as_str(), now, out) else {
            return;
        };
        let age = now.millis_since(job.arrived);
        match answer {
            Answer::Completed => {
                self.counters.completed += 1;
                info!(
                    target: ROUTINE,
                    job = %id,
                    route = job.route.name,
                    age_ms = age,
                    tasks = job.tasks.len(),
                    planned_wait_ms = job.planned_wait,
                    wait_ms = job.last_start.millis_since(job.arrived),
                    slack_ms = job.start_by.millis_since(job.arrived),
                    "job completed"
                );
            }
            Answer::Failed => {
                self.counters.failed += 1;
                info!(job = %id, age_ms = age, "job failed");
            }
            Answer::Accepted | Answer::Cancelled | Answer::Unknown => {
                info!(job = %id, age_ms = age, "job cancelled");
            }
            Answer::NotRun { reason, .. } | Answer::MayHaveRun { reason } => {
                self.counters.refuse(reason);
                let done = job
                    .tasks
                    .iter()
                    .filter(|task| task.state == TaskState::Done);
                info!(
                    job = %id,
                    route = job.route.name,
                    age_ms = age,
                    reason = reason.as_str(),
                    may_have_run = matches!(answer, Answer::MayHaveRun { .. }),
                    done = done.count(),
                    tasks = job.tasks.len(),
                    version = self.version(),
                    version_age_ms = self.configuration_age_ms(now),
                    "job given up"
                );
            }
        }
        if job.state.is_some() {
            self.store_job_end(id, job, answer);
            return;
        }
        if matches!(answer, Answer::Completed | Answer::Failed) {
            let run_time = RunTime::of_job(&job, self.seen_at(now));
            let final_answer = FinalAnswer {
                answer,
                at: now,
                run_time,
            };
            self.final_answers.insert(id.clone(), final_answer);
        }
        for request in job.requests {
            out.push(Action::Answer {
                request,
                answer,
                age,
                wait: job.last_start.millis_since(job.arrived),
            });
        }
    }

    /// Gives up a job, and answers whether some of its tasks may have run.
    pub(super) fn give_up(
        &mut self,
        id: &JobId,
        reason: Refusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let not_run = self.jobs.get(id).is_some_and(Job::has_not_run);
        let answer = if not_run {
            Answer::NotRun {
                reason,
                retry: retry_after_s(reason),
            }
        } else {
            Answer::MayHaveRun { reason }
        };
        self.finish(id, answer, now, out);
    }

    /// Gives up all jobs that are not durable, since the process stops.
    pub fn give_up_all(&mut self, now: Time, out: &mut Vec<Action>) {
        self.give_up_held(out);
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in jobs {
            if self.jobs.get(&id).is_some_and(|job| job.state.is_none()) {
                self.give_up(&id, Refusal::Stopping, now, out);
            }
        }
    }

    /// Performs all checks and calls that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.tick_ledger(now, out);
        self.request_advice(now, out);
        self.start_undeparted(now, out);
        if now < self.next_check {
            return;
        }
        let delay_ms = now.millis_since(self.next_check);
        if delay_ms > PAUSE_THRESHOLD_MS {
            warn!(late_ms = delay_ms, "process was paused");
            self.request_lists(now, out);
        }
        self.next_check = now.after_millis(CHECK_INTERVAL_MS);
        self.close_silent_links(now, out);
        self.tick_peers(now, out);
        self.request_newer_configuration(now, out);
        self.speeds.update(&mut self.fleet, now);
        self.workload.sample(&self.fleet, now);
        self.update_quarantine(now);
        self.check_lease(now, out);
        self.check_series(now, out);
        self.release_durable(out);
        self.retry_lost_tasks(now, out);
        self.evacuate(now, out);
        self.advance_zone_returns(now);
        self.place_waiting_jobs(now, out);
        self.expire_jobs(now, out);
        self.count_job_memory();
        self.final_answers
            .retain(|_, answered| now.millis_since(answered.at) < ANSWER_RETENTION_MS);
    }

    /// Gives up jobs whose deadline has passed, and jobs that have not run and can no longer start
    /// in time.
    fn expire_jobs(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.deadline)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.give_up(&id, Refusal::DeadlinePassed, now, out);
        }
        let is_unplaceable =
            |job: &Job| job.state.is_none() && job.has_not_run() && now >= job.start_by;
        let unplaceable: Vec<JobId> = self
            .unplaced
            .iter()
            .filter(|id| self.jobs.get(*id).is_some_and(is_unplaceable))
            .cloned()
            .collect();
        for id in unplaceable {
            self.give_up(&id, Refusal::NoEndpoint, now, out);
        }
    }
}

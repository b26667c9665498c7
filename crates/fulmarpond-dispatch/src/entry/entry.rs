//! The entry.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::advice::Advice;
use super::configuration::{Configuration, Route};
use super::estimates::Estimates;
use super::fleet::Fleet;
use super::job::{Job, TaskState};
use super::kept::Kept;
use super::series::OwnSeries;
use super::{Action, Answer, RequestNo};
use crate::directory::Announced;
use crate::ledger::{Ledger, LedgerOptions, Owner};
use crate::{Bounds, Counters, EntryFrame, JobId, LinkNo, Refusal};

/// The target of log lines about requests that go well.
pub(super) const ROUTINE: &str = "routine";

/// When a refused caller may come back, in seconds.
pub(super) const RETRY_S: u32 = 1;

/// How long an answer is remembered for a late copy of its request, in milliseconds.
const ANSWER_MEMORY_MS: u64 = 10_000;

/// The interval of checks of all jobs, in milliseconds.
const CHECK_MS: u64 = 20;

/// A longer time between two checks means that the process stood still, in milliseconds.
const PAUSE_MS: u64 = 400;

/// Time for messages before the jobs of another entry are taken over, in milliseconds.
const TAKEOVER_MS: u64 = 500;

/// How an entry is set up.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryOptions {
    /// The host name.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The times of leases.
    pub bounds: Bounds,
    /// How many times as long a task takes away from its data.
    pub far: f64,
    /// A number that differs from those of earlier processes on this host.
    pub life: u64,
    /// The writes a second that the store takes from all processes.
    pub writes: u64,
    /// How long the state of an ended job is kept, in milliseconds.
    pub keep_ms: u64,
    /// Whether there is a service that knows the policies of queues.
    pub advises: bool,
}

/// The process that callers talk to.
#[derive(Debug)]
pub struct Entry {
    pub(super) options: EntryOptions,
    pub(super) configuration: Option<Configuration>,
    pub(super) fleet: Fleet,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) requests: HashMap<RequestNo, JobId>,
    /// Jobs with tasks that wait to be placed, in the order of their ranks and objectives.
    pub(super) unplaced: BTreeSet<(u8, Time, JobId)>,
    /// Tasks whose agent is lost, by the time until which they may run.
    pub(super) lost: BTreeSet<(Time, JobId)>,
    pub(super) answers: HashMap<JobId, (Answer, Time)>,
    pub(super) estimates: Estimates,
    pub(super) advice: Advice,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) next_check: Time,
    /// When waiting tasks are placed again at the earliest.
    pub(super) next_pump: Time,
    /// The jobs that are kept in the store.
    pub(super) ledger: Ledger,
    pub(super) kept: Kept,
    pub(super) series: OwnSeries,
    /// The time of day, in milliseconds since 1970; 0 until it is known.
    pub(super) wall: u64,
    /// The decisions since the start.
    pub counters: Counters,
}

impl Entry {
    /// Creates an entry without configuration and agents.
    pub fn new(options: EntryOptions, now: Time) -> Self {
        let owner = Owner {
            name: options.name.clone(),
            life: options.life,
        };
        let takeover = crate::directory::LEASE_MS + options.bounds.orphan_ms() + TAKEOVER_MS;
        let ledger = Ledger::new(
            LedgerOptions {
                owner,
                writes: options.writes,
                keep_ms: options.keep_ms,
                takeover_ms: takeover,
            },
            now,
        );
        Self {
            options,
            configuration: None,
            fleet: Fleet::default(),
            jobs: HashMap::new(),
            requests: HashMap::new(),
            unplaced: BTreeSet::new(),
            lost: BTreeSet::new(),
            answers: HashMap::new(),
            estimates: Estimates::default(),
            advice: Advice::default(),
            entries: Vec::new(),
            next_check: now,
            next_pump: now,
            ledger,
            kept: Kept::default(),
            series: OwnSeries::default(),
            wall: 0,
            counters: Counters::default(),
        }
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub fn wake(&self) -> Time {
        self.next_check.min(self.ledger.wake())
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.fleet.views.values().any(|view| view.load.ready)
    }

    /// Returns how many jobs are in progress.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many jobs in progress have a caller that waits for their end.
    pub fn attended(&self) -> usize {
        self.requests.len() + self.kept.attended()
    }

    /// Returns whether tasks of jobs that are kept run, or changes of such jobs are not written.
    pub fn has_runs(&self) -> bool {
        let runs = |job: &Job| job.state.is_some() && !job.links().is_empty();
        self.jobs.values().any(runs) || self.ledger.size().1 > 0
    }

    /// Places no more tasks of jobs that are kept: another process of this entry will.
    pub fn stop(&mut self) {
        self.kept.stopping = true;
        self.ledger.stop();
    }

    /// Returns how many agents are linked.
    pub fn agents(&self) -> usize {
        self.fleet.views.len()
    }

    /// Returns how many agents have an endpoint that takes tasks.
    pub fn ready_agents(&self) -> usize {
        let views = self.fleet.views.values();
        views.filter(|view| view.load.ready).count()
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub fn version(&self) -> u64 {
        let version = self.configuration.as_ref().map(|known| known.version);
        version.unwrap_or_default()
    }

    /// Returns the age of the oldest view of an agent, in milliseconds.
    pub fn oldest_view(&self, now: Time) -> u64 {
        let ages = self
            .fleet
            .views
            .values()
            .map(|view| now.millis_since(view.heard));
        ages.max().unwrap_or_default()
    }

    /// Returns the configuration in force.
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Takes a version of the configuration; an older one changes nothing.
    pub fn configure(&mut self, configuration: Configuration, out: &mut Vec<Action>) {
        if configuration.version > self.version() {
            info!(version = configuration.version, "configuration in force");
            self.configuration = Some(configuration);
            let links: Vec<LinkNo> = self.fleet.views.keys().copied().collect();
            for link in links {
                self.give_configuration(link, out);
            }
        } else if configuration.version < self.version() {
            debug!(
                version = configuration.version,
                "older configuration ignored"
            );
        }
    }

    /// Takes the announced entries.
    pub fn set_entries(&mut self, announced: &[Announced], now: Time, out: &mut Vec<Action>) {
        let names = announced.iter().map(|entry| entry.name.clone());
        self.ledger.set_entries(names, now);
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

    /// Returns how many jobs of a route have begun no task.
    pub fn waiting(&self, route: &Route) -> usize {
        let waits = |job: &&Job| !job.begun && job.route.name == route.name;
        let own = self.jobs.values().filter(waits).count();
        let elsewhere = self.ledger.waiting(&route.name);
        own + elsewhere.filter(|id| !self.jobs.contains_key(id)).count()
    }

    /// Notes that the caller of a request has left.
    pub fn abandoned(&mut self, request: RequestNo, now: Time, out: &mut Vec<Action>) {
        self.kept.abandoned(request);
        if let Some(id) = self.requests.remove(&request) {
            self.counters.abandoned += 1;
            if let Some(job) = self.take_job(&id, out) {
                info!(job = %id, age_ms = now.millis_since(job.arrived), "caller left, job stopped");
            }
        }
    }

    /// Removes a job; what runs of it goes on.
    fn remove_job(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.advice.forget(id);
        if let Some(request) = job.request {
            self.requests.remove(&request);
        }
        self.unplaced
            .remove(&(job.route.priority, job.start_by, id.clone()));
        Some(job)
    }

    /// Removes a job that another entry will run.
    pub(super) fn release_job(&mut self, id: &JobId, out: &mut Vec<Action>) -> Option<Job> {
        let job = self.remove_job(id)?;
        for link in job.links() {
            let frame = EntryFrame::Release(id.clone());
            out.push(Action::Send { link, frame });
        }
        Some(job)
    }

    /// Removes a job and stops what is left of it.
    pub(super) fn take_job(&mut self, id: &JobId, out: &mut Vec<Action>) -> Option<Job> {
        let job = self.remove_job(id)?;
        for link in job.links() {
            out.push(Action::Send {
                link,
                frame: EntryFrame::Stop {
                    job: id.clone(),
                    tasks: Vec::new(),
                    report: false,
                },
            });
        }
        Some(job)
    }

    pub(super) fn finish(&mut self, id: &JobId, answer: Answer, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.take_job(id, out) else {
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
                    planned_wait_ms = job.wait,
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
                    "job given up"
                );
            }
        }
        if job.state.is_some() {
            self.end_kept(id, job, answer);
            return;
        }
        if matches!(answer, Answer::Completed | Answer::Failed) {
            self.answers.insert(id.clone(), (answer, now));
        }
        if let Some(request) = job.request {
            out.push(Action::Answer {
                request,
                answer,
                age,
                wait: job.last_start.millis_since(job.arrived),
            });
        }
    }

    /// Gives a job up with an answer that is true.
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
                retry: RETRY_S,
            }
        } else {
            Answer::MayHaveRun { reason }
        };
        self.finish(id, answer, now, out);
    }

    /// Gives all jobs up.
    pub fn give_up_all(&mut self, now: Time, out: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in jobs {
            if self.jobs.get(&id).is_some_and(|job| job.state.is_none()) {
                self.give_up(&id, Refusal::Stopping, now, out);
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.tick_ledger(now, out);
        self.ask_advice(now, out);
        if now < self.next_check {
            return;
        }
        let late = now.millis_since(self.next_check);
        if late > PAUSE_MS {
            warn!(late_ms = late, "process stood still");
        }
        self.next_check = now.after_millis(CHECK_MS);
        self.close_silent(now, out);
        self.check_lease(now, out);
        self.check_series(now);
        self.release_kept(out);
        self.release_lost(now, out);
        self.evacuate(now, out);
        self.place_waiting(now, out);
        self.expire(now, out);
        self.answers
            .retain(|_, (_, at)| now.millis_since(*at) < ANSWER_MEMORY_MS);
    }

    /// Gives up jobs whose time has passed.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.deadline)
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            self.give_up(&id, Refusal::DeadlinePassed, now, out);
        }
        for (_, _, id) in self.unplaced.clone() {
            let stranded = self
                .jobs
                .get(&id)
                .is_some_and(|job| job.state.is_none() && job.has_not_run() && now >= job.start_by);
            if stranded {
                self.give_up(&id, Refusal::NoEndpoint, now, out);
            }
        }
    }
}

//! The entry.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::configuration::{Configuration, Route};
use super::estimates::Estimates;
use super::fleet::Fleet;
use super::job::{Job, TaskState};
use super::kept::Kept;
use super::placement::{Choice, Demand, choose, ever_fits};
use super::submission::Submission;
use super::{Action, Answer, RequestNo};
use crate::directory::Announced;
use crate::ledger::{Ledger, LedgerOptions, Owner};
use crate::{
    AgentFrame, Bounds, Counters, EntryFrame, JobId, LinkNo, Order, Outcome, Refusal, TaskEnd,
};

/// The target of log lines about requests that go well.
const ROUTINE: &str = "routine";

/// When a refused caller may come back, in seconds.
const RETRY_S: u32 = 1;

/// Time for the messages of a job, kept from its objective, in milliseconds.
const OVERHEAD_MS: u64 = 20;

/// Up to this multiple of its objective an answer is of use.
const USEFUL_FACTOR: u64 = 3;

/// How long before the caller leaves a job is given up, in milliseconds.
const GIVE_UP_MS: u64 = 30;

/// How long an answer is remembered for a late copy of its request, in milliseconds.
const ANSWER_MEMORY_MS: u64 = 10_000;

/// The interval of checks of all jobs, in milliseconds.
const CHECK_MS: u64 = 20;

/// A longer time between two checks means that the process stood still, in milliseconds.
const PAUSE_MS: u64 = 400;

/// The share of its slack that a job may be expected to wait, by the rank of its queue.
const PATIENCE: [f64; 3] = [0.9, 0.5, 0.4];

/// Time for messages before the jobs of another entry are taken over, in milliseconds.
const TAKEOVER_MS: u64 = 500;

/// How long an entry waits for ends at an agent that it has lost, in milliseconds.
const MERGE_MS: u64 = 1_000;

/// How long a task of a job that is kept may be expected to wait at an agent, in milliseconds. It
/// waits at the entry instead, where it can still go elsewhere.
const KEPT_WAIT_MS: f64 = 40.0;

/// The pause between two attempts to place waiting tasks, in milliseconds.
const PUMP_MS: u64 = 5;

/// After how many jobs without a place the others are not tried.
const PUMP_MISSES: u32 = 24;

/// A run is given up at this multiple of its expected time.
const LIMIT_FACTOR: u32 = 6;

/// What is added to the limit of a run, in milliseconds, for a job that is not kept and for one
/// that is.
const LIMIT_MS: (u32, u32) = (400, 1_500);

/// How often the limit of a run is doubled at most.
const MOST_DOUBLINGS: u32 = 8;

/// The choices for the tasks of a job.
#[derive(Debug, Default)]
struct Plan {
    /// Positions of tasks with the links to send them to.
    choices: Vec<(usize, LinkNo)>,
    /// The longest wait for room, in milliseconds.
    wait: f64,
    /// Whether no agent was found for some task.
    left: bool,
}

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
}

/// The process that callers talk to.
#[derive(Debug)]
pub struct Entry {
    pub(super) options: EntryOptions,
    configuration: Option<Configuration>,
    pub(super) fleet: Fleet,
    pub(super) jobs: HashMap<JobId, Job>,
    requests: HashMap<RequestNo, JobId>,
    /// Jobs with tasks that wait to be placed, in the order of their ranks and objectives.
    pub(super) unplaced: BTreeSet<(u8, Time, JobId)>,
    /// Tasks whose agent is lost, by the time until which they may run.
    lost: BTreeSet<(Time, JobId)>,
    answers: HashMap<JobId, (Answer, Time)>,
    pub(super) estimates: Estimates,
    entries: Vec<SocketAddr>,
    next_check: Time,
    /// When waiting tasks are placed again at the earliest.
    next_pump: Time,
    /// The jobs that are kept in the store.
    pub(super) ledger: Ledger,
    pub(super) kept: Kept,
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
            entries: Vec::new(),
            next_check: now,
            next_pump: now,
            ledger,
            kept: Kept::default(),
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

    /// Places no more tasks of jobs that are kept: another process of this entry will.
    pub const fn stop(&mut self) {
        self.kept.stopping = true;
    }

    /// Returns how many agents are linked.
    pub fn agents(&self) -> usize {
        self.fleet.views.len()
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

    /// Gives the configuration to an agent of the own zone that has an older one.
    fn give_configuration(&mut self, link: LinkNo, out: &mut Vec<Action>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let Some(view) = self.fleet.views.get_mut(&link) else {
            return;
        };
        if view.zone != self.options.zone || view.version >= configuration.version {
            return;
        }
        view.version = configuration.version;
        out.push(Action::Send {
            link,
            frame: EntryFrame::Configuration(configuration.clone()),
        });
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
        let of_route = self
            .jobs
            .values()
            .filter(|job| job.route.name == route.name);
        of_route.filter(|job| !job.begun).count()
    }

    /// Counts and logs a request that is refused before it names a job.
    pub fn refuse(&mut self, request: RequestNo, reason: Refusal, out: &mut Vec<Action>) {
        let retry = match reason {
            Refusal::NoRoute | Refusal::Invalid => 0,
            _ => RETRY_S,
        };
        self.counters.refuse(reason);
        info!(
            request = request.0,
            reason = reason.as_str(),
            "request refused"
        );
        out.push(Action::Answer {
            request,
            answer: Answer::NotRun { reason, retry },
            age: 0,
            wait: 0,
        });
    }

    /// Takes a job.
    pub fn submit(
        &mut self,
        request: RequestNo,
        id: JobId,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if submission.kept {
            self.submit_kept(request, id, route, submission, now, out);
            return;
        }
        if let Some((answer, _)) = self.answers.get(&id) {
            debug!(job = %id, "late copy of an answered request");
            out.push(Action::Answer {
                request,
                answer: *answer,
                age: 0,
                wait: 0,
            });
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            info!(job = %id, "request sent again, its job goes on");
            if let Some(earlier) = job.request.replace(request) {
                self.requests.remove(&earlier);
            }
            self.requests.insert(request, id);
            return;
        }
        let mut job = self.job(Some(request), route, submission, now);
        if let Err(reason) = self.admit(&job) {
            self.refuse_job(&id, &job, reason, now, out);
            return;
        }
        let plan = self.plan(&job, now);
        job.wait = plan.wait as u64;
        if plan.wait > Self::patience(&job, now) {
            self.drop_plan(&plan);
            self.refuse_job(&id, &job, Refusal::Overloaded, now, out);
            return;
        }
        self.counters.accepted += 1;
        info!(
            target: ROUTINE,
            job = %id,
            request = request.0,
            route = route.name,
            tasks = job.tasks.len(),
            planned_wait_ms = job.wait,
            slack_ms = job.start_by.millis_since(now),
            version = self.version(),
            "job accepted"
        );
        self.requests.insert(request, id.clone());
        self.carry_out(&id, &mut job, plan, now, out);
        self.jobs.insert(id, job);
    }

    pub(super) fn job(
        &self,
        request: Option<RequestNo>,
        route: &Rc<Route>,
        submission: Submission,
        now: Time,
    ) -> Job {
        let chain = self.longest_chain(route, &submission);
        let objective = route.target_ms + (route.stretch * chain as f64) as u64;
        let slack = objective.saturating_sub(chain + OVERHEAD_MS);
        let patience = submission.patience.saturating_sub(GIVE_UP_MS);
        let deadline = if submission.kept {
            Time::MAX
        } else {
            now.after_millis(patience)
        };
        Job {
            request,
            state: None,
            hold_until: now,
            route: Rc::clone(route),
            tasks: Job::tasks_of(&submission),
            submission,
            arrived: now,
            start_by: now.after_millis(slack),
            useful_until: now.after_millis(objective * USEFUL_FACTOR),
            deadline,
            wait: 0,
            last_start: now,
            begun: false,
            withdrawn: false,
            avoided: Vec::new(),
        }
    }

    /// Returns the expected time of the longest chain of steps, in milliseconds.
    fn longest_chain(&self, route: &Route, submission: &Submission) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(submission.steps.len());
        for step in &submission.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&step| ends.get(usize::from(step)));
            let start = before.copied().max().unwrap_or_default();
            let expected = self.estimates.expect(&route.name, step.estimate);
            ends.push(start + u64::from(expected));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Decides whether a job can be served at all.
    fn admit(&self, job: &Job) -> Result<(), Refusal> {
        let service = &job.route.service;
        if !self.fleet.has_service(service) {
            return Err(Refusal::NoEndpoint);
        }
        let steps = &job.submission.steps;
        if steps
            .iter()
            .any(|step| !ever_fits(&self.fleet, service, step.needs))
        {
            return Err(Refusal::NeverFits);
        }
        Ok(())
    }

    /// Returns how long a job may wait for room, in milliseconds.
    ///
    /// Under load, queues of lower rank are refused first, so that room is left for the others.
    fn patience(job: &Job, now: Time) -> f64 {
        let slack = job.start_by.remaining_millis(now) as f64;
        let rank = usize::from(job.route.priority).min(PATIENCE.len() - 1);
        slack * PATIENCE[rank]
    }

    fn choose(
        &self,
        job: &Job,
        position: usize,
        taken: &[(LinkNo, u16)],
        now: Time,
    ) -> Option<Choice> {
        let task = &job.tasks[position];
        let step = &job.submission.steps[usize::from(task.step)];
        let demand = Demand {
            service: &job.route.service,
            zone: &self.options.zone,
            step,
            expected: self.estimates.expect(&job.route.name, step.estimate),
            slack: job.start_by.remaining_millis(now),
            far: self.options.far,
        };
        let spread = step.spread.map(|most| (most, job.spread(task.step)));
        let full = |link: LinkNo| {
            spread.as_ref().is_some_and(|(most, given)| {
                let here = given.get(&link).copied().unwrap_or_default();
                let new = taken.iter().filter(|(other, _)| *other == link).count();
                usize::from(here) + new >= usize::from(*most)
            })
        };
        choose(&self.fleet, demand, &job.avoided, full)
    }

    fn refuse_job(
        &mut self,
        id: &JobId,
        job: &Job,
        reason: Refusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.refuse(reason);
        let age = self.view_age(&job.route.service, now);
        info!(
            job = %id,
            route = job.route.name,
            reason = reason.as_str(),
            version = self.version(),
            agents = self.fleet.views.len(),
            view_age_ms = age,
            planned_wait_ms = job.wait,
            slack_ms = job.start_by.millis_since(now),
            "job refused"
        );
        if let Some(request) = job.request {
            out.push(Action::Answer {
                request,
                answer: Answer::NotRun {
                    reason,
                    retry: RETRY_S,
                },
                age: 0,
                wait: 0,
            });
        }
    }

    /// Returns the age of the oldest status of a service's agents, in milliseconds.
    fn view_age(&self, service: &str, now: Time) -> u64 {
        let of_service = self
            .fleet
            .views
            .values()
            .filter(|view| view.service == service);
        let ages = of_service.map(|view| now.millis_since(view.heard));
        ages.max().unwrap_or_default()
    }

    /// Places the tasks of a job that can be placed.
    /// Returns whether it has placed any.
    pub(super) fn place(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(mut job) = self.jobs.remove(id) else {
            return false;
        };
        let plan = if self.may_place(&job, now) {
            self.plan(&job, now)
        } else {
            Plan {
                left: true,
                ..Plan::default()
            }
        };
        let placed = !plan.choices.is_empty();
        self.carry_out(id, &mut job, plan, now, out);
        self.jobs.insert(id.clone(), job);
        placed
    }

    fn may_place(&self, job: &Job, now: Time) -> bool {
        now >= job.hold_until && (job.state.is_none() || self.kept.runs())
    }

    /// Chooses agents for the tasks of a job that can be placed, and reserves their room.
    fn plan(&mut self, job: &Job, now: Time) -> Plan {
        let mut plan = Plan::default();
        let mut taken: Vec<(LinkNo, u16)> = Vec::new();
        for position in job.ready() {
            let Some(choice) = self.choose(job, position, &taken, now) else {
                plan.left = true;
                continue;
            };
            if job.state.is_some() && choice.wait > KEPT_WAIT_MS {
                plan.left = true;
                break;
            }
            let task = &job.tasks[position];
            let about = &job.submission.steps[usize::from(task.step)];
            let expected = self.estimates.expect(&job.route.name, about.estimate);
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                view.planned(about.needs, expected);
            }
            plan.wait = plan.wait.max(choice.wait);
            taken.push((choice.link, task.step));
            plan.choices.push((position, choice.link));
        }
        plan
    }

    fn drop_plan(&mut self, plan: &Plan) {
        for (_, link) in &plan.choices {
            if let Some(view) = self.fleet.views.get_mut(link) {
                view.forget_plan();
            }
        }
    }

    fn carry_out(
        &mut self,
        id: &JobId,
        job: &mut Job,
        plan: Plan,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut orders: Vec<(LinkNo, u16, Vec<u16>)> = Vec::new();
        for (position, link) in plan.choices {
            let task = &mut job.tasks[position];
            let (step, index) = (task.step, task.index);
            task.state = TaskState::Sent(link);
            task.last = Some(link);
            let mut known = orders.iter_mut();
            match known.find(|(to, of, _)| *to == link && *of == step) {
                Some((_, _, indexes)) => indexes.push(index),
                None => orders.push((link, step, vec![index])),
            }
        }
        for (link, step, indexes) in orders {
            self.send_order(id, job, link, step, indexes, now, out);
        }
        let rank = (job.route.priority, job.start_by, id.clone());
        if plan.left {
            self.unplaced.insert(rank);
        } else {
            self.unplaced.remove(&rank);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one order")]
    fn send_order(
        &mut self,
        id: &JobId,
        job: &Job,
        link: LinkNo,
        step: u16,
        indexes: Vec<u16>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let about = &job.submission.steps[usize::from(step)];
        let expected = self.estimates.expect(&job.route.name, about.estimate);
        self.counters.started += indexes.len() as u64;
        if let Some(view) = self.fleet.views.get_mut(&link) {
            info!(
                target: ROUTINE,
                job = %id,
                step,
                ?indexes,
                agent = view.name,
                view_age_ms = now.millis_since(view.heard),
                free_cpu = view.load.free.cpu,
                "tasks sent"
            );
            view.ordered();
        }
        // A job that has begun is finished first, as long as its answer is of use.
        let slack = if now < job.useful_until {
            job.start_by.remaining_millis(now)
        } else {
            u64::MAX
        };
        let remaining = job.deadline.remaining_millis(now);
        let order = Order {
            job: id.clone(),
            step,
            indexes,
            service: job.route.service.clone(),
            spec: job.submission.spec.clone(),
            needs: about.needs,
            expected,
            slack: u32::try_from(slack).unwrap_or(u32::MAX),
            remaining: u32::try_from(remaining).unwrap_or(u32::MAX),
            limit: Self::limit(job, step, expected),
            kept: job.state.is_some(),
        };
        out.push(Action::Send {
            link,
            frame: EntryFrame::Start(order),
        });
    }

    /// Returns the run time after which a run of a step is given up, in milliseconds: it grows with
    /// each run that was given up, since the estimate may be far off.
    fn limit(job: &Job, step: u16, expected: u32) -> u32 {
        let extra = if job.state.is_some() {
            LIMIT_MS.1
        } else {
            LIMIT_MS.0
        };
        let of_step = job.tasks.iter().filter(|task| task.step == step);
        let aborts = of_step.map(|task| task.aborts).max().unwrap_or_default();
        let limit = expected.saturating_mul(LIMIT_FACTOR).saturating_add(extra);
        limit.saturating_mul(1 << aborts.min(MOST_DOUBLINGS))
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

    /// Removes a job and stops what is left of it.
    pub(super) fn take_job(&mut self, id: &JobId, out: &mut Vec<Action>) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        if let Some(request) = job.request {
            self.requests.remove(&request);
        }
        self.unplaced
            .remove(&(job.route.priority, job.start_by, id.clone()));
        for link in job.links() {
            out.push(Action::Send {
                link,
                frame: EntryFrame::Stop {
                    job: id.clone(),
                    tasks: Vec::new(),
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
    fn give_up(&mut self, id: &JobId, reason: Refusal, now: Time, out: &mut Vec<Action>) {
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

    // Links.

    /// Notes that an agent has opened a link.
    pub fn link_up(&mut self, link: LinkNo, out: &mut Vec<Action>) {
        out.push(Action::Send {
            link,
            frame: EntryFrame::Hello {
                name: self.options.name.clone(),
                version: self.version(),
            },
        });
    }

    /// Notes that a link is closed: what was sent there may run until its lease has lapsed.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let Some(view) = self.fleet.views.remove(&link) else {
            return;
        };
        self.counters.links_lost += 1;
        let over = view.heard.after_millis(self.options.bounds.orphan_ms());
        let over = over.max(now);
        // Another entry may note what has ended there.
        let over_kept = over.after_millis(MERGE_MS);
        let mut hit = Vec::new();
        for (id, job) in &mut self.jobs {
            let mut any = false;
            for task in &mut job.tasks {
                if task.state == TaskState::Sent(link) {
                    let kept = job.state.is_some();
                    task.state = TaskState::Lost(if kept { over_kept } else { over });
                    any = true;
                }
            }
            if any {
                job.begun |= job.state.is_none();
                hit.push(id.clone());
            }
        }
        warn!(
            agent = view.name,
            heard_ms = now.millis_since(view.heard),
            jobs = hit.len(),
            "link to agent lost"
        );
        for id in hit {
            let kept = self.jobs.get(&id).is_some_and(|job| job.state.is_some());
            let over = if kept { over_kept } else { over };
            self.job_lost(&id, over, now, out);
        }
    }

    /// Places the tasks of a job again when its lost runs are over.
    pub(super) fn wait_for_lost(&mut self, over: Time, id: JobId) {
        self.lost.insert((over, id));
    }

    /// Waits for the lost runs of a job to be over, or gives it up if that takes too long.
    fn job_lost(&mut self, id: &JobId, over: Time, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let chain = self.longest_chain(&job.route, &job.submission);
        let end = over.after_millis(chain);
        let late = end > job.useful_until || end > job.deadline;
        if late && job.state.is_none() {
            self.give_up(id, Refusal::RunsLost, now, out);
        } else {
            self.lost.insert((over, id.clone()));
        }
    }

    /// Takes a frame of an agent.
    pub fn frame(&mut self, link: LinkNo, frame: AgentFrame, now: Time, out: &mut Vec<Action>) {
        match frame {
            AgentFrame::Hello {
                name,
                zone,
                version,
            } => {
                info!(agent = name, zone, "link to agent established");
                self.fleet.joined(link, name, zone, version, now);
                self.give_configuration(link, out);
                if !self.entries.is_empty() {
                    out.push(Action::Send {
                        link,
                        frame: EntryFrame::Entries(self.entries.clone()),
                    });
                }
            }
            AgentFrame::Configuration(configuration) => self.configure(configuration, out),
            AgentFrame::Endpoint {
                service,
                capacity,
                labels,
            } => {
                if let Some(view) = self.fleet.views.get_mut(&link) {
                    debug!(
                        agent = view.name,
                        service,
                        cpu = capacity.cpu,
                        "endpoint announced"
                    );
                    view.service = service;
                    view.capacity = capacity;
                    view.labels = labels;
                }
            }
            AgentFrame::Status { sent, orders, load } => {
                out.push(Action::Send {
                    link,
                    frame: EntryFrame::Renew { sent },
                });
                self.status(link, orders, load, now, out);
            }
            AgentFrame::Started(tasks) => {
                for task in tasks {
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.begun = true;
                        job.last_start = now;
                    }
                }
            }
            AgentFrame::Ended(ends) => {
                for end in ends {
                    self.ended(link, &end, now, out);
                }
            }
            AgentFrame::Held(ends) => self.held(link, &ends, now, out),
        }
    }

    fn status(
        &mut self,
        link: LinkNo,
        orders: u64,
        load: crate::EndpointStatus,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.fleet.views.get_mut(&link) else {
            return;
        };
        if view.load.stalled != load.stalled || view.load.ready != load.ready {
            info!(
                agent = view.name,
                ready = load.ready,
                stalled = load.stalled,
                slowness = load.slowness,
                failures = load.failures,
                "agent changed"
            );
        }
        view.status(orders, load, now);
        if load.ready && !self.unplaced.is_empty() {
            self.place_waiting(now, out);
        }
    }

    fn place_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_pump || self.unplaced.is_empty() {
            return;
        }
        self.next_pump = now.after_millis(PUMP_MS);
        let mut misses = 0;
        for (_, _, id) in self.unplaced.clone() {
            if !self.place(&id, now, out) {
                misses += 1;
            }
            if misses > PUMP_MISSES {
                return;
            }
        }
    }

    pub(super) fn ended(&mut self, link: LinkNo, end: &TaskEnd, now: Time, out: &mut Vec<Action>) {
        let id = &end.task.job;
        let slowness = self.fleet.views.get(&link).map(|view| view.load.slowness);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let kept = job.state.is_some();
        let most = job.route.attempts;
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return;
        };
        if task.state != TaskState::Sent(link) {
            return;
        }
        task.state = TaskState::Waiting;
        match end.outcome {
            Outcome::Done => task.state = TaskState::Done,
            Outcome::Failed => {
                task.failures += 1;
                task.failed_run = end.run;
            }
            Outcome::Aborted => task.aborts += 1,
            Outcome::Unavailable | Outcome::NoRoom => {}
        }
        let failures = task.failures;
        let started = matches!(
            end.outcome,
            Outcome::Done | Outcome::Failed | Outcome::Aborted
        );
        job.begun |= started;
        if kept && matches!(end.outcome, Outcome::Done | Outcome::Failed) {
            Self::note_end(&mut self.ledger, &mut self.kept, job, link, end);
        }
        if end.outcome == Outcome::Done {
            let estimate = job.submission.steps[usize::from(end.task.step)].estimate;
            if slowness.is_some_and(|slowness| slowness < 200) {
                let route = &job.route.name;
                self.estimates.observe(route, estimate, end.elapsed);
            }
            if job.is_done() {
                self.finish(id, Answer::Completed, now, out);
                return;
            }
        } else {
            job.avoided.push(link);
            self.counters.retried += 1;
            info!(
                task = %end.task,
                outcome = ?end.outcome,
                failures,
                agent = self.fleet.views.get(&link).map_or("", |view| view.name.as_str()),
                "task is placed again"
            );
            if failures >= most {
                self.finish(id, Answer::Failed, now, out);
                return;
            }
            if !kept && self.withdraw(id, now, out) {
                return;
            }
        }
        let id = id.clone();
        self.place(&id, now, out);
    }

    /// Calls a job back that missed its objective before any of its tasks began: its room is of
    /// more use to jobs that can still meet theirs. Returns whether the job is called back.
    fn withdraw(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if job.begun || now < job.start_by {
            return false;
        }
        let links = job.links();
        if links.is_empty() {
            let id = id.clone();
            self.give_up(&id, Refusal::Overloaded, now, out);
            return true;
        }
        if !job.withdrawn {
            job.withdrawn = true;
            for link in links {
                let frame = EntryFrame::Withdraw(id.clone());
                out.push(Action::Send { link, frame });
            }
        }
        true
    }

    // Time.

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.tick_ledger(now, out);
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
        self.release_lost(now, out);
        self.place_waiting(now, out);
        self.expire(now, out);
        self.answers
            .retain(|_, (_, at)| now.millis_since(*at) < ANSWER_MEMORY_MS);
    }

    fn close_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.bounds.link_ms;
        let views = self.fleet.views.iter();
        let silent: Vec<LinkNo> = views
            .filter(|(_, view)| now.millis_since(view.heard) > limit)
            .map(|(&link, _)| link)
            .collect();
        for link in silent {
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
    }

    /// Places tasks again whose lost runs are over.
    fn release_lost(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((over, id)) = self.lost.first().cloned() {
            if over > now {
                return;
            }
            self.lost.pop_first();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Lost(over) if over <= now) {
                    task.state = TaskState::Waiting;
                    self.counters.retried += 1;
                }
            }
            info!(job = %id, "lost runs are over, tasks are placed again");
            self.place(&id, now, out);
        }
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

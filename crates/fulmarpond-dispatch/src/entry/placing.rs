//! Placement of the tasks of a job.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::entry::{Entry, ROUTINE};
use super::job::{Job, TaskState};
use super::placement::{Choice, Demand, choose, cost};
use crate::{EntryFrame, JobId, LinkNo, Order};

/// How long a task of a job that is kept may be expected to wait at an agent, in milliseconds. It
/// waits at the entry instead, where it can still go elsewhere.
const KEPT_WAIT_MS: f64 = 40.0;

/// What it costs that an endpoint runs another long-running task of the step, in milliseconds of
/// waiting: more than a fully used endpoint in another zone.
const CROWDING_MS: f64 = 15.0;

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

/// What the tasks of one order have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Batch {
    link: LinkNo,
    step: u16,
    epoch: u16,
}

/// The choices for the tasks of a job.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Positions of tasks with the links to send them to.
    pub(super) choices: Vec<(usize, LinkNo)>,
    /// The longest wait for room, in milliseconds.
    pub(super) wait: f64,
    /// Whether no agent was found for some task.
    pub(super) left: bool,
}

impl Entry {
    pub(super) fn choose(
        &self,
        job: &Job,
        position: usize,
        taken: &[(LinkNo, u16)],
        label: Option<&str>,
        now: Time,
    ) -> Option<Choice> {
        let task = &job.tasks[position];
        let step = &job.submission.steps[usize::from(task.step)];
        let demand = self.demand(job, task.step, label, now);
        let counts = step.spread.is_some() || step.long_running;
        let given = if counts {
            job.spread(task.step)
        } else {
            BTreeMap::new()
        };
        let placed = |link: LinkNo| {
            let here = given.get(&link).copied().unwrap_or_default();
            let new = taken.iter().filter(|(other, _)| *other == link).count();
            usize::from(here) + new
        };
        let full = |link: LinkNo| {
            let most = step.spread.map(usize::from);
            !self.is_allowed(job, task.step, link, now)
                || most.is_some_and(|most| placed(link) >= most)
        };
        // Long-running tasks of a step that share an endpoint are lost together.
        let crowding = |link: LinkNo| {
            if step.long_running {
                placed(link) as f64 * CROWDING_MS
            } else {
                0.0
            }
        };
        choose(&self.fleet, demand, &job.avoided, full, crowding)
    }

    /// Returns what it costs to run a task of a step at an agent, in milliseconds; nothing if it can't.
    pub(super) fn cost(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> Option<f64> {
        let view = self.fleet.views.get(&link)?;
        let demand = self.demand(job, step, None, now);
        cost(&self.fleet, view, demand)
    }

    fn demand<'a>(
        &'a self,
        job: &'a Job,
        step: u16,
        within: Option<&'a str>,
        now: Time,
    ) -> Demand<'a> {
        Demand {
            service: &job.route.service,
            zone: &self.options.zone,
            step: &job.submission.steps[usize::from(step)],
            within,
            expected: self.expected(job, step),
            slack: job.start_by.remaining_millis(now),
            far: self.options.far,
        }
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

    pub(super) fn may_place(&self, job: &Job, now: Time) -> bool {
        now >= job.hold_until && (job.state.is_none() || self.kept.runs())
    }

    /// Chooses agents for the tasks of a job that can be placed, and reserves their room.
    pub(super) fn plan(&mut self, job: &Job, now: Time) -> Plan {
        let mut plan = Plan::default();
        let mut taken: Vec<(LinkNo, u16)> = Vec::new();
        for position in job.ready() {
            let task = &job.tasks[position];
            if job.is_gang(task.step) {
                // All members are ready together; the first one stands for them.
                if job.positions(task.step).first() == Some(&position) {
                    let members = self.plan_gang(job, task.step, now);
                    if members.is_empty() {
                        plan.left = true;
                        self.want_advice(job, task.step);
                    }
                    plan.choices.extend(members);
                }
                continue;
            }
            let Some(choice) = self.choose(job, position, &taken, None, now) else {
                plan.left = true;
                self.want_advice(job, task.step);
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

    /// Returns the expected run time of a task of a step, in milliseconds.
    pub(super) fn expected(&self, job: &Job, step: u16) -> u32 {
        let about = &job.submission.steps[usize::from(step)];
        self.estimates.expect(&job.route.name, about.estimate)
    }

    pub(super) fn drop_plan(&mut self, plan: &Plan) {
        for (_, link) in &plan.choices {
            if let Some(view) = self.fleet.views.get_mut(link) {
                view.forget_plan();
            }
        }
    }

    pub(super) fn carry_out(
        &mut self,
        id: &JobId,
        job: &mut Job,
        plan: Plan,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut orders: BTreeMap<Batch, Vec<u16>> = BTreeMap::new();
        let steps = plan.choices.iter().map(|&(at, _)| job.tasks[at].step);
        let gangs: BTreeSet<u16> = steps.filter(|&step| job.is_gang(step)).collect();
        for step in gangs {
            job.begin_gang(step);
        }
        for (position, link) in plan.choices {
            let task = &mut job.tasks[position];
            task.state = TaskState::Sent(link);
            task.last = Some(link);
            task.working = false;
            let batch = Batch {
                link,
                step: task.step,
                epoch: task.epoch,
            };
            orders.entry(batch).or_default().push(task.index);
        }
        for (batch, indexes) in orders {
            self.send_order(id, job, batch, indexes, now, out);
        }
        let rank = (job.route.priority, job.start_by, id.clone());
        if plan.left {
            self.unplaced.insert(rank);
        } else {
            self.unplaced.remove(&rank);
        }
    }

    pub(super) fn send_order(
        &mut self,
        id: &JobId,
        job: &Job,
        batch: Batch,
        indexes: Vec<u16>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Batch { link, step, epoch } = batch;
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
            checkpoints: job.checkpoints(step, &indexes),
            indexes,
            service: job.route.service.clone(),
            spec: job.submission.spec.clone(),
            needs: about.needs,
            expected,
            slack: u32::try_from(slack).unwrap_or(u32::MAX),
            remaining: u32::try_from(remaining).unwrap_or(u32::MAX),
            limit: Self::limit(job, step, expected),
            kept: job.state.is_some() && !about.long_running,
            epoch,
            gang: about.gang,
            long_running: about.long_running,
            ticket: self.ticket(job, step, link, now).map(str::to_owned),
        };
        out.push(Action::Send {
            link,
            frame: EntryFrame::Start(order),
        });
    }

    /// Returns the run time after which a run of a step is given up, in milliseconds: it grows with
    /// each run that was given up, since the estimate may be far off.
    pub(super) fn limit(job: &Job, step: u16, expected: u32) -> u32 {
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

    pub(super) fn place_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
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
}

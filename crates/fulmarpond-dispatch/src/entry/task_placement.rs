//! Placement of the tasks of a job on agents.

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::agent_selection::{Choice, Demand, choose, cost, is_near_data, slack_at_endpoint_ms};
use super::entry::{Entry, ROUTINE};
use super::job::Job;
use crate::{Class, EntryFrame, JobId, LinkNo, Order};

/// The maximum expected queueing time of a task of a durable job at an agent, in milliseconds.
/// Otherwise it waits at the entry, where it can still be sent to another agent.
const MAX_DURABLE_JOB_WAIT_MS: f64 = 40.0;

/// The penalty for each other long-running task of the same step at an endpoint, in milliseconds of
/// waiting: more than for a fully used endpoint in another zone.
const SHARED_ENDPOINT_COST_MS: f64 = 15.0;

/// The interval between two attempts to place waiting tasks, in milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 5;

/// The number of groups of waiting jobs whose first job may fail to be placed in one attempt.
const MAX_FAILED_GROUPS: u32 = 12;

/// The number of waiting jobs that are tried in turn in one attempt, whatever their group.
const MAX_TURNS: usize = 12;

/// The maximum run time, as a multiple of the expected run time.
const RUN_LIMIT_FACTOR: u32 = 6;

/// The time that is added to the maximum run time, in milliseconds, for a job that is not durable
/// and for a durable one.
const RUN_LIMIT_EXTRA_MS: (u32, u32) = (400, 1_500);

/// The maximum number of times that the maximum run time is doubled.
const MAX_LIMIT_DOUBLINGS: u32 = 8;

/// The properties that all tasks of an order share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    link: LinkNo,
    step: u16,
    epoch: u16,
}

/// The planned placements of the tasks of a job.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Positions of tasks, each with the link of its agent.
    pub(super) choices: Vec<(usize, LinkNo)>,
    /// The longest expected queueing time, in milliseconds.
    pub(super) wait: f64,
    /// The longest sum of the expected queueing time of a task and the time that its run takes
    /// beyond that on a nominal endpoint, of the tasks at slower endpoints, in milliseconds.
    pub(super) delay: f64,
    /// Whether some task is left without an agent.
    pub(super) is_incomplete: bool,
}

impl Entry {
    /// Selects an agent for a task, given the placements already `planned` for its job.
    pub(super) fn choose(
        &self,
        job: &Job,
        position: usize,
        planned: &[(LinkNo, u16)],
        label: Option<&str>,
        now: Time,
    ) -> Option<Choice> {
        let task = &job.tasks[position];
        let step = &job.submission.steps[usize::from(task.step)];
        let demand = self.demand(job, task.step, label, now);
        let counts_per_agent = step.spread.is_some() || step.long_running;
        let already_placed = if counts_per_agent {
            job.tasks_per_agent(task.step)
        } else {
            BTreeMap::new()
        };
        let placed_at = |link: LinkNo| {
            let earlier = already_placed.get(&link).copied().unwrap_or_default();
            let in_plan = planned.iter().filter(|(other, _)| *other == link).count();
            usize::from(earlier) + in_plan
        };
        let is_excluded = |link: LinkNo| {
            let max_per_endpoint = step.spread.map(usize::from);
            !self.is_allowed(job, task.step, link, now)
                || !self.is_outside_protection(job, link)
                || max_per_endpoint.is_some_and(|max| placed_at(link) >= max)
        };
        // Long-running tasks of a step that share an endpoint would be lost together.
        let extra_cost = |link: LinkNo| {
            let shared = if step.long_running {
                placed_at(link) as f64 * SHARED_ENDPOINT_COST_MS
            } else {
                0.0
            };
            shared + self.quarantine_cost_ms(job, link)
        };
        choose(
            &self.fleet,
            demand,
            &job.avoided_agents,
            is_excluded,
            extra_cost,
        )
    }

    /// Returns the cost of running a task of a step at an agent, in milliseconds, or `None` if it
    /// cannot run there.
    pub(super) fn cost(&self, job: &Job, step: u16, link: LinkNo, now: Time) -> Option<f64> {
        let view = self.fleet.views.get(&link)?;
        let demand = self.demand(job, step, None, now);
        cost(&self.fleet, view, demand)
    }

    fn demand<'a>(
        &'a self,
        job: &'a Job,
        step: u16,
        common_label: Option<&'a str>,
        now: Time,
    ) -> Demand<'a> {
        Demand {
            service: &job.route.service,
            zone: &self.options.zone,
            step: &job.submission.steps[usize::from(step)],
            common_label,
            class: Class::of(job.route.priority),
            expected_ms: self.expected_run_ms(job, step),
            slack_ms: job.start_by.remaining_millis(now),
            remote_factor: self.options.remote_factor,
            relief: self.speeds.relief(&job.route.service),
            now,
        }
    }

    /// Places the tasks of a job that are ready. Returns whether any was placed.
    pub(super) fn place(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) -> bool {
        if self.crash_log.is_guilty(id) {
            self.give_up_crashing(id, now, out);
            return false;
        }
        let Some(mut job) = self.jobs.remove(id) else {
            return false;
        };
        let plan = if self.may_place(&job, now) {
            self.plan(&job, now)
        } else {
            Plan {
                is_incomplete: true,
                ..Plan::default()
            }
        };
        let placed = !plan.choices.is_empty();
        self.execute_plan(id, &mut job, plan, now, out);
        self.jobs.insert(id.clone(), job);
        placed
    }

    /// Returns whether tasks of a job may be placed now.
    pub(super) fn may_place(&self, job: &Job, now: Time) -> bool {
        if job.state.is_none() {
            return self.is_only_attempt(&job.id, now);
        }
        now >= job.hold_until && self.durable.can_place_tasks(now)
    }

    /// Selects agents for the tasks of a job that are ready, and reserves capacity for them.
    pub(super) fn plan(&mut self, job: &Job, now: Time) -> Plan {
        let mut plan = Plan::default();
        let mut planned: Vec<(LinkNo, u16)> = Vec::new();
        // The step whose next task would have to wait too long; its other tasks would as well.
        let mut full_step = None;
        for position in job.ready_tasks() {
            let task = &job.tasks[position];
            if full_step == Some(task.step) {
                continue;
            }
            if job.is_gang(task.step) {
                // All members become ready together, so the gang is planned once, at its first
                // member.
                if job.positions(task.step).first() == Some(&position) {
                    let members = self.plan_gang(job, task.step, now);
                    if members.is_empty() {
                        plan.is_incomplete = true;
                        self.queue_advice(job, task.step);
                    }
                    plan.choices.extend(members);
                }
                continue;
            }
            let Some(choice) = self.choose(job, position, &planned, None, now) else {
                plan.is_incomplete = true;
                self.queue_advice(job, task.step);
                continue;
            };
            if job.state.is_some() && choice.wait > MAX_DURABLE_JOB_WAIT_MS {
                plan.is_incomplete = true;
                full_step = Some(task.step);
                continue;
            }
            let task = &job.tasks[position];
            let definition = &job.submission.steps[usize::from(task.step)];
            let expected_ms = self
                .estimates
                .expected_run_ms(&job.route.name, definition.estimate);
            if let Some(view) = self.fleet.views.get_mut(&choice.link) {
                let class = Class::of(job.route.priority);
                view.reserve(class, definition.needs, view.lasting_run_ms(expected_ms));
            }
            plan.wait = plan.wait.max(choice.wait);
            if choice.excess_ms > 0.0 {
                plan.delay = plan.delay.max(choice.wait + choice.excess_ms);
            }
            planned.push((choice.link, task.step));
            plan.choices.push((position, choice.link));
        }
        plan
    }

    /// Returns the expected run time of a task of a step, in milliseconds.
    pub(super) fn expected_run_ms(&self, job: &Job, step: u16) -> u32 {
        let definition = &job.submission.steps[usize::from(step)];
        self.estimates
            .expected_run_ms(&job.route.name, definition.estimate)
    }

    /// Releases the capacity that a plan has reserved.
    pub(super) fn cancel_plan(&mut self, plan: &Plan) {
        let links: BTreeSet<LinkNo> = plan.choices.iter().map(|&(_, link)| link).collect();
        for link in links {
            if let Some(view) = self.fleet.views.get_mut(&link) {
                view.release_reservations();
            }
        }
    }

    /// Sends the orders of a plan, and queues the job for another attempt if the plan is
    /// incomplete.
    pub(super) fn execute_plan(
        &mut self,
        id: &JobId,
        job: &mut Job,
        plan: Plan,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let mut orders: BTreeMap<OrderKey, Vec<u16>> = BTreeMap::new();
        let steps = plan
            .choices
            .iter()
            .map(|&(position, _)| job.tasks[position].step);
        let gangs: BTreeSet<u16> = steps.filter(|&step| job.is_gang(step)).collect();
        for step in gangs {
            job.begin_gang(step);
            self.store_gang_epoch(id, job, step);
        }
        for (position, link) in plan.choices {
            job.first_sent.get_or_insert(now);
            let task = &mut job.tasks[position];
            task.send_to(link);
            task.working = false;
            let key = OrderKey {
                link,
                step: task.step,
                epoch: task.epoch,
            };
            orders.entry(key).or_default().push(task.index);
        }
        for (key, indexes) in orders {
            self.send_order(id, job, key, indexes, now, out);
        }
        if plan.is_incomplete {
            self.unplaced.insert(job);
        } else {
            self.unplaced.remove(id);
        }
    }

    /// Sends an order to start tasks of one step at one agent.
    pub(super) fn send_order(
        &mut self,
        id: &JobId,
        job: &Job,
        key: OrderKey,
        indexes: Vec<u16>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let OrderKey { link, step, epoch } = key;
        let definition = &job.submission.steps[usize::from(step)];
        let nominal_ms = self
            .estimates
            .expected_run_ms(&job.route.name, definition.estimate);
        let mut expected_ms = nominal_ms;
        let mut is_local = true;
        self.counters.started += indexes.len() as u64;
        if let Some(view) = self.fleet.views.get_mut(&link) {
            expected_ms = view.lasting_run_ms(nominal_ms);
            is_local = is_near_data(view, definition);
            info!(
                target: ROUTINE,
                job = %id,
                step,
                ?indexes,
                agent = view.name,
                view_age_ms = now.millis_since(view.last_status_at),
                free_cpu = view.load.free.cpu,
                "tasks sent"
            );
            view.count_order();
        }
        // A job that has started and is overdue goes first, with a slack of 0, as long as its
        // answer is useful; after that it goes last.
        let slack_ms = if now < job.useful_until {
            job.start_by.remaining_millis(now)
        } else {
            u64::MAX
        };
        // The latest start at a slow endpoint is earlier.
        let excess_ms = u64::from(expected_ms.saturating_sub(nominal_ms));
        let slack_ms = slack_at_endpoint_ms(slack_ms, excess_ms);
        let remaining_ms = job.deadline.remaining_millis(now);
        let order = Order {
            job: id.clone(),
            step,
            checkpoints: job.checkpoints(step, &indexes),
            last_runs: job.last_runs(step, epoch, &indexes),
            indexes,
            service: job.route.service.clone(),
            route: job.route.name.clone(),
            spec: job.submission.spec.clone(),
            needs: definition.needs,
            priority: job.route.priority,
            expected_ms,
            nominal_ms: if is_local { nominal_ms } else { 0 },
            slack_ms: u32::try_from(slack_ms).unwrap_or(u32::MAX),
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
            watch_ms: self.watch_ms(job),
            is_quarantined: self.quarantine.contains(&job.route.name),
            max_run_ms: Self::max_run_ms(job, step, expected_ms),
            is_durable: job.state.is_some() && !definition.long_running,
            epoch,
            gang: definition.gang,
            long_running: definition.long_running,
            ticket: self.ticket(job, step, link, now).map(str::to_owned),
        };
        out.push(Action::Send {
            link,
            frame: EntryFrame::Start(order),
        });
    }

    /// Returns the run time after which a run of a step is aborted, in milliseconds. It doubles
    /// with each aborted run, since the estimate may be far off.
    pub(super) fn max_run_ms(job: &Job, step: u16, expected_ms: u32) -> u32 {
        let extra = if job.state.is_some() {
            RUN_LIMIT_EXTRA_MS.1
        } else {
            RUN_LIMIT_EXTRA_MS.0
        };
        let of_step = job.tasks.iter().filter(|task| task.step == step);
        let aborts = of_step.map(|task| task.aborts).max().unwrap_or_default();
        let limit_ms = expected_ms
            .saturating_mul(RUN_LIMIT_FACTOR)
            .saturating_add(extra);
        limit_ms.saturating_mul(1 << aborts.min(MAX_LIMIT_DOUBLINGS))
    }

    /// Places the tasks of waiting jobs, in the order of priority and latest start.
    pub(super) fn place_waiting_jobs(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_placement || self.unplaced.is_empty() {
            return;
        }
        self.next_placement = now.after_millis(PLACEMENT_INTERVAL_MS);
        let (mut failed, mut last) = (0, None);
        while failed < MAX_FAILED_GROUPS
            && let Some(first) = self.unplaced.next_first(last.as_ref())
        {
            failed += u32::from(!self.place(&first.job, now, out));
            last = Some(first);
        }
        // What keeps the first job of a group may not keep the others.
        let tries = MAX_TURNS.min(self.unplaced.len());
        for _ in 0..tries {
            let Some(turn) = self.unplaced.take_turn() else {
                return;
            };
            self.place(&turn.job, now, out);
        }
    }
}

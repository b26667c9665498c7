//! Placement of waiting tasks: batches, slot reservations and withdrawals.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::fleet::Fleet;
use super::home::{Home, PendingCall, SentBatch};
use super::job::TaskState;
use crate::Time;
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Reason, Resources};
use crate::link::{Batch, BatchId, LinkError, Request, Reserve, Response, Withdraw};
use crate::machine::AgentId;
use crate::placement::{Candidate, CarriedLoad, Placement, TwoChoices, Uniform};
use crate::policy::{PlacementGoal, PlacementKind, Policy};
use crate::retry::RetryCause;
use crate::zone::Zone;

/// Milliseconds for which a reservation request waits at an agent.
const RESERVE_WAIT_MS: u64 = 1_000;
/// The maximum number of reservation requests in flight.
const MAX_RESERVE_REQUESTS: usize = 32;
/// The number of reservation requests for each waiting task.
const RESERVE_REQUESTS_PER_TASK: usize = 2;
/// The interval in milliseconds at which waiting tasks are placed without any other trigger.
const PLACEMENT_INTERVAL_MS: u64 = 50;
/// Milliseconds for which withdrawals are collected, so that many cancellations at once cause one
/// message per agent.
const WITHDRAW_FLUSH_MS: u64 = 5;
/// Milliseconds after which the queued tasks of a batch may be withdrawn from a full agent.
const STALLED_AFTER_MS: u64 = 250;

/// The agents that may run tasks with given needs. `agents` and `candidates` have the same order.
struct EligibleAgents {
    needs: Resources,
    agents: Vec<AgentId>,
    candidates: Vec<Candidate>,
}

impl EligibleAgents {
    fn new(
        fleet: &Fleet,
        needs: Resources,
        zone: Option<&Zone>,
        policy: &Policy,
        now: Time,
    ) -> Self {
        let usable = fleet.usable(&needs, policy.eject_percent, now);
        let candidates = usable.iter().map(|view| Candidate {
            free_slots: view.free(),
            queued_tasks: view.load().queued,
            slots: view.load().slots,
            is_same_zone: Some(&view.zone) == zone,
        });
        Self {
            needs,
            candidates: candidates.collect(),
            agents: usable.iter().map(|view| view.agent.clone()).collect(),
        }
    }

    /// Chooses an agent for one task according to the policy in force.
    fn choose<R: Rng>(&self, policy: &Policy, rng: &mut R) -> Option<usize> {
        let two_choices = TwoChoices {
            max_queued_tasks: policy.max_queued_tasks,
        };
        match (policy.placement, policy.placement_goal) {
            (PlacementKind::Uniform, _) => Uniform.choose(&self.candidates, rng),
            (PlacementKind::TwoChoices, _) => two_choices.choose(&self.candidates, rng),
            (PlacementKind::CarriedLoad, PlacementGoal::Response) => {
                CarriedLoad.choose(&self.candidates, rng)
            }
            (PlacementKind::CarriedLoad, PlacementGoal::Messages) => CarriedLoad
                .choose(&self.candidates, rng)
                .or_else(|| two_choices.choose(&self.candidates, rng)),
        }
    }

    /// Returns the maximum number of tasks of a job to assign to the agent at `index` at once.
    ///
    /// Each agent that receives tasks of a job costs a request and a response, so the free slots of
    /// one agent are filled before the next agent is chosen. The baseline policies assign tasks one
    /// by one.
    fn task_limit(&self, index: usize, policy: &Policy) -> u32 {
        let candidate = self.candidates[index];
        match policy.placement {
            PlacementKind::CarriedLoad if candidate.free_slots > 0 => candidate.free_slots,
            PlacementKind::CarriedLoad => {
                let free_queue = policy
                    .max_queued_tasks
                    .saturating_sub(candidate.queued_tasks);
                free_queue.min(candidate.slots / 2).max(1)
            }
            PlacementKind::Uniform | PlacementKind::TwoChoices => 1,
        }
    }

    /// Updates the load of the agent at `index` for one more task.
    fn record_task(&mut self, index: usize) {
        let candidate = &mut self.candidates[index];
        if candidate.free_slots > 0 {
            candidate.free_slots -= 1;
        } else {
            candidate.queued_tasks += 1;
        }
    }
}

impl Home {
    /// Sends waiting tasks to agents, oldest job first, and reserves slots for the remaining tasks.
    pub(super) fn place_tasks<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if self.placement_queue.is_empty() {
            return;
        }
        let zone = ctx.roster.get(ctx.own_id).map(|member| member.zone.clone());
        let mut cached: Option<EligibleAgents> = None;
        for id in self.placement_queue.clone() {
            let plan = self.assign_tasks(ctx, &id, zone.as_ref(), &mut cached);
            for (agent, tasks) in plan {
                self.send_batch(ctx, &id, &agent, tasks);
            }
        }
        let jobs = &self.jobs;
        self.placement_queue.retain(|id| {
            jobs.get(id)
                .is_some_and(|job| !job.waiting_tasks.is_empty())
        });
        if self.placement_queue.is_empty() {
            self.next_placement = Time::MAX;
            return;
        }
        let jitter = ctx.rng.random_range(0..PLACEMENT_INTERVAL_MS);
        self.next_placement = ctx.now.after_millis(PLACEMENT_INTERVAL_MS + jitter);
        self.reserve_slots(ctx);
    }

    /// Assigns the waiting tasks of one job to agents until no agent can take another task.
    fn assign_tasks<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        zone: Option<&Zone>,
        cached: &mut Option<EligibleAgents>,
    ) -> BTreeMap<AgentId, Vec<u32>> {
        let mut plan: BTreeMap<AgentId, Vec<u32>> = BTreeMap::new();
        let Some(job) = self.jobs.get_mut(id) else {
            return plan;
        };
        if ctx.now < job.retry_at {
            return plan;
        }
        while let Some(task) = job.waiting_tasks.front().copied() {
            let needs = job.tasks[task as usize].needs;
            if cached
                .as_ref()
                .is_none_or(|eligible| eligible.needs != needs)
            {
                *cached = Some(EligibleAgents::new(
                    &self.fleet,
                    needs,
                    zone,
                    ctx.policy,
                    ctx.now,
                ));
            }
            let Some(eligible) = cached else {
                break;
            };
            let Some(index) = eligible.choose(ctx.policy, ctx.rng) else {
                break;
            };
            let tasks = plan.entry(eligible.agents[index].clone()).or_default();
            for _ in 0..eligible.task_limit(index, ctx.policy) {
                match job.waiting_tasks.front().copied() {
                    Some(task) if job.tasks[task as usize].needs == needs => {
                        eligible.record_task(index);
                        job.waiting_tasks.pop_front();
                        tasks.push(task);
                    }
                    _ => break,
                }
            }
        }
        plan
    }

    fn send_batch<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        agent: &AgentId,
        tasks: Vec<u32>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(view) = self.fleet.get_mut(agent) else {
            return;
        };
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        view.record_sent(count, ctx.now);
        self.last_batch += 1;
        let batch = BatchId(self.last_batch);
        job.possibly_started += count;
        for task in &tasks {
            job.states[*task as usize] = TaskState::Sent;
            job.record_event(ctx.now, EventKind::Sent, Some(*task), Some(agent), "");
        }
        let request = Request::Run(Batch {
            home: ctx.own_id.clone(),
            batch,
            job: id.clone(),
            remaining_ms: job.deadline.remaining_millis(ctx.now),
            tasks: tasks
                .iter()
                .map(|task| (*task, job.tasks[*task as usize].clone()))
                .collect(),
        });
        let addr = view.addr;
        let deadline = job.deadline;
        let sent = SentBatch {
            job: id.clone(),
            agent: agent.clone(),
            addr,
            tasks,
            deadline,
            sent_at: ctx.now,
            is_withdrawn: false,
            query_at: None,
            queries: 0,
        };
        self.batches.insert(batch, sent);
        let call = ctx.next_call();
        self.pending_calls
            .insert(call, PendingCall::Batch { batch, queries: 0 });
        ctx.actions
            .push(AgentAction::call(call, addr, agent, request, deadline));
        self.notify_event_waiters(ctx, id);
    }

    /// Requests slots from agents for waiting tasks.
    fn reserve_slots<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if !ctx.policy.binds_late() {
            return;
        }
        let waiting = self.placeable_tasks(ctx.now);
        if waiting == 0 {
            return;
        }
        let outstanding = self.fleet.iter().filter(|view| view.reserving).count();
        let wanted = waiting
            .saturating_mul(RESERVE_REQUESTS_PER_TASK)
            .min(MAX_RESERVE_REQUESTS);
        let mut agents: Vec<AgentId> = self
            .fleet
            .usable(&Resources::default(), ctx.policy.eject_percent, ctx.now)
            .into_iter()
            .filter(|view| !view.reserving && view.free() == 0)
            .map(|view| view.agent.clone())
            .collect();
        agents.shuffle(ctx.rng);
        agents.truncate(wanted.saturating_sub(outstanding));
        for agent in agents {
            let Some(view) = self.fleet.get_mut(&agent) else {
                continue;
            };
            view.reserving = true;
            let want = u32::try_from(waiting).unwrap_or(u32::MAX);
            let request = Request::Reserve(Reserve {
                home: ctx.own_id.clone(),
                want: want.min(view.load().slots).max(1),
                wait_ms: RESERVE_WAIT_MS,
            });
            let addr = view.addr;
            let call = ctx.next_call();
            let deadline = ctx.now.after_millis(2 * RESERVE_WAIT_MS);
            self.pending_calls
                .insert(call, PendingCall::Reserve(agent.clone()));
            ctx.actions
                .push(AgentAction::call(call, addr, &agent, request, deadline));
        }
    }

    /// Withdraws queued tasks of old batches from full agents while other agents have free slots.
    ///
    /// Only tasks that the agent confirms as not started are sent elsewhere. Each batch is
    /// withdrawn at most once, so that a task does not move repeatedly between queues.
    pub(super) fn withdraw_stalled<R: Rng>(&mut self, ctx: &Context<'_, R>) {
        if ctx.policy.placement != PlacementKind::CarriedLoad || ctx.policy.binds_late() {
            return;
        }
        let usable = self
            .fleet
            .usable(&Resources::default(), ctx.policy.eject_percent, ctx.now);
        let mut free_slots: usize = usable.iter().map(|view| view.free() as usize).sum();
        let full_agents: BTreeSet<AgentId> = self
            .fleet
            .iter()
            .filter(|view| view.free() == 0 && view.load().queued > 0)
            .map(|view| view.agent.clone())
            .collect();
        let mut stalled: Vec<BatchId> = self
            .batches
            .iter()
            .filter(|(_, batch)| !batch.is_withdrawn && full_agents.contains(&batch.agent))
            .filter(|(_, batch)| ctx.now.millis_since(batch.sent_at) >= STALLED_AFTER_MS)
            .map(|(number, _)| *number)
            .collect();
        stalled.sort_unstable();
        for number in stalled {
            let Some(batch) = self.batches.get_mut(&number).filter(|_| free_slots > 0) else {
                return;
            };
            free_slots = free_slots.saturating_sub(batch.tasks.len());
            batch.is_withdrawn = true;
            let agent = batch.agent.clone();
            self.withdrawals.entry(agent).or_default().push(number);
            self.flush_at
                .get_or_insert(ctx.now.after_millis(WITHDRAW_FLUSH_MS));
        }
    }

    /// Returns the number of waiting tasks of jobs that are not in backoff.
    ///
    /// A slot reserved for a task in backoff would be granted at once and expire unused.
    fn placeable_tasks(&self, now: Time) -> usize {
        self.placement_queue
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| now >= job.retry_at)
            .map(|job| job.waiting_tasks.len())
            .sum()
    }

    /// Handles the response to a reservation request.
    pub(super) fn handle_grant<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        agent: &AgentId,
        result: Result<Response, LinkError>,
    ) {
        let Some(view) = self.fleet.get_mut(agent) else {
            return;
        };
        view.reserving = false;
        match result {
            Ok(Response::Grant(grant)) => {
                view.update_load(grant.load, ctx.now);
                view.granted = grant.slots;
            }
            Ok(Response::Refused(refusal)) => {
                view.leaving = true;
                if refusal.reason == Reason::Draining {
                    ctx.count(Count::Retry(RetryCause::Leaving));
                }
            }
            Ok(_) | Err(_) => {
                view.record_unreachable(ctx.now);
                ctx.count(Count::Retry(RetryCause::NotSent));
            }
        }
        let granted = view.granted;
        self.place_tasks(ctx);
        let Some(view) = self.fleet.get_mut(agent) else {
            return;
        };
        if view.granted == granted {
            ctx.count(Count::Wasted(2));
        }
        view.granted = 0;
    }

    /// Removes the batches of an ended job and queues their withdrawal.
    ///
    /// With late binding, agents have no queued tasks, so nothing is withdrawn.
    pub(super) fn queue_withdrawals<R: Rng>(&mut self, ctx: &Context<'_, R>, id: &JobId) {
        let binds_late = ctx.policy.binds_late();
        let batches = self.batches.extract_if(|_, batch| batch.job == *id);
        let mut has_withdrawals = false;
        for (number, batch) in batches {
            if !binds_late {
                self.withdrawals
                    .entry(batch.agent)
                    .or_default()
                    .push(number);
                has_withdrawals = true;
            }
        }
        if has_withdrawals {
            self.flush_at
                .get_or_insert(ctx.now.after_millis(WITHDRAW_FLUSH_MS));
        }
    }

    /// Sends the collected withdrawals if they are due, one message per agent.
    pub(super) fn flush_withdrawals<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if self.flush_at.is_none_or(|flush_at| ctx.now < flush_at) {
            return;
        }
        self.flush_at = None;
        for (agent, batches) in std::mem::take(&mut self.withdrawals) {
            let Some(view) = self.fleet.get_mut(&agent) else {
                continue;
            };
            let request = Request::Withdraw(Withdraw {
                home: ctx.own_id.clone(),
                batches,
            });
            let addr = view.addr;
            let call = ctx.next_call();
            let deadline = ctx.now.after_millis(RESERVE_WAIT_MS);
            self.pending_calls.insert(call, PendingCall::Withdraw);
            ctx.actions
                .push(AgentAction::call(call, addr, &agent, request, deadline));
        }
    }
}

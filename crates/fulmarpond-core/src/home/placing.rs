//! Placement: binding waiting tasks to agents.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::fleet::Fleet;
use super::home::{Home, Pending, SentBatch};
use super::job::TaskState;
use crate::Time;
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Needs, Reason};
use crate::link::{Batch, BatchId, LinkError, Request, Reserve, Response, Withdraw};
use crate::machine::AgentId;
use crate::placement::{CarriedLoad, Choice, Placement, TwoChoices, Uniform};
use crate::policy::{PlacementKind, Policy, Weigh};
use crate::retry::RetryCause;
use crate::zone::Zone;

/// How long a request for slots waits at an agent, in milliseconds.
const RESERVE_MS: u64 = 1_000;
/// The most agents that are asked for slots at once.
const RESERVE_MAX: usize = 32;
/// The agents that are asked for slots for each waiting task.
const RESERVE_PER_TASK: usize = 2;
/// Milliseconds after which waiting tasks are placed again without news.
const PLACE_AGAIN_MS: u64 = 50;
/// Milliseconds within which withdrawals are collected, so that a wave of cancellations costs each
/// agent one message.
const FLUSH_MS: u64 = 5;
/// How long a batch may wait before its waiting tasks are withdrawn, in milliseconds.
const CORRECT_MS: u64 = 250;

/// The agents that may run tasks with the same needs.
struct Choices {
    needs: Needs,
    agents: Vec<AgentId>,
    choices: Vec<Choice>,
}

impl Choices {
    fn new(fleet: &Fleet, needs: Needs, zone: Option<&Zone>, policy: &Policy, now: Time) -> Self {
        let usable = fleet.usable(&needs, policy.eject_percent, now);
        let choices = usable.iter().map(|machine| Choice {
            free: machine.free(),
            queued: machine.load().queued,
            slots: machine.load().slots,
            near: Some(&machine.zone) == zone,
        });
        Self {
            needs,
            choices: choices.collect(),
            agents: usable.iter().map(|machine| machine.agent.clone()).collect(),
        }
    }

    /// Chooses an agent for one task by the policy in force.
    fn choose<R: Rng>(&self, policy: &Policy, rng: &mut R) -> Option<usize> {
        let two = TwoChoices {
            queue_max: policy.queue_max,
        };
        match (policy.placement, policy.weigh) {
            (PlacementKind::Uniform, _) => Uniform.choose(&self.choices, rng),
            (PlacementKind::TwoChoices, _) => two.choose(&self.choices, rng),
            (PlacementKind::CarriedLoad, Weigh::Response) => CarriedLoad.choose(&self.choices, rng),
            (PlacementKind::CarriedLoad, Weigh::Messages) => CarriedLoad
                .choose(&self.choices, rng)
                .or_else(|| two.choose(&self.choices, rng)),
        }
    }

    /// Returns how many tasks of a job go to the agent at `index` at once.
    ///
    /// Each agent that gets tasks of a job costs a message and its reply, so free slots of one agent
    /// are filled before the next agent is chosen. The baseline spreads tasks one by one.
    fn chunk(&self, index: usize, policy: &Policy) -> u32 {
        let choice = self.choices[index];
        match policy.placement {
            PlacementKind::CarriedLoad if choice.free > 0 => choice.free,
            PlacementKind::CarriedLoad => {
                let room = policy.queue_max.saturating_sub(choice.queued);
                room.min(choice.slots / 2).max(1)
            }
            PlacementKind::Uniform | PlacementKind::TwoChoices => 1,
        }
    }

    /// Notes that a task goes to the agent at `index`.
    fn take(&mut self, index: usize) {
        let choice = &mut self.choices[index];
        if choice.free > 0 {
            choice.free -= 1;
        } else {
            choice.queued += 1;
        }
    }
}

impl Home {
    /// Sends waiting tasks to agents, oldest job first, and asks for slots for those that remain.
    pub(super) fn place<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if self.line.is_empty() {
            return;
        }
        let zone = ctx.roster.get(ctx.me).map(|member| member.zone.clone());
        let mut choices: Option<Choices> = None;
        for id in self.line.clone() {
            let plan = self.plan(ctx, &id, zone.as_ref(), &mut choices);
            for (agent, tasks) in plan {
                self.send_batch(ctx, &id, &agent, tasks);
            }
        }
        let jobs = &self.jobs;
        self.line
            .retain(|id| jobs.get(id).is_some_and(|job| !job.pending.is_empty()));
        if self.line.is_empty() {
            self.next_place = Time::MAX;
            return;
        }
        let jitter = ctx.rng.random_range(0..PLACE_AGAIN_MS);
        self.next_place = ctx.now.after_millis(PLACE_AGAIN_MS + jitter);
        self.reserve(ctx);
    }

    /// Binds the waiting tasks of one job as far as agents are free.
    fn plan<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        zone: Option<&Zone>,
        choices: &mut Option<Choices>,
    ) -> BTreeMap<AgentId, Vec<u32>> {
        let mut plan: BTreeMap<AgentId, Vec<u32>> = BTreeMap::new();
        let Some(job) = self.jobs.get_mut(id) else {
            return plan;
        };
        if ctx.now < job.resume {
            return plan;
        }
        while let Some(task) = job.pending.front().copied() {
            let needs = job.tasks[task as usize].needs;
            if choices.as_ref().is_none_or(|cached| cached.needs != needs) {
                *choices = Some(Choices::new(&self.fleet, needs, zone, ctx.policy, ctx.now));
            }
            let Some(cached) = choices else {
                break;
            };
            let Some(index) = cached.choose(ctx.policy, ctx.rng) else {
                break;
            };
            let tasks = plan.entry(cached.agents[index].clone()).or_default();
            for _ in 0..cached.chunk(index, ctx.policy) {
                match job.pending.front().copied() {
                    Some(task) if job.tasks[task as usize].needs == needs => {
                        cached.take(index);
                        job.pending.pop_front();
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
        let Some(machine) = self.fleet.get_mut(agent) else {
            return;
        };
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        machine.sent(count, ctx.now);
        self.last_batch += 1;
        let batch = BatchId(self.last_batch);
        job.exposed += count;
        for task in &tasks {
            job.states[*task as usize] = TaskState::Sent;
            job.note(ctx.now, EventKind::Sent, Some(*task), Some(agent), "");
        }
        let request = Request::Run(Batch {
            home: ctx.me.clone(),
            batch,
            job: id.clone(),
            remaining_ms: job.deadline.remaining_millis(ctx.now),
            tasks: tasks
                .iter()
                .map(|task| (*task, job.tasks[*task as usize].clone()))
                .collect(),
        });
        let addr = machine.addr;
        let deadline = job.deadline;
        let sent = SentBatch {
            job: id.clone(),
            agent: agent.clone(),
            addr,
            tasks,
            deadline,
            sent: ctx.now,
            withdrawn: false,
            ask: None,
            asks: 0,
        };
        self.batches.insert(batch, sent);
        let call = ctx.next_call();
        self.pending.insert(call, Pending::Batch { batch, asks: 0 });
        ctx.actions
            .push(AgentAction::call(call, addr, agent, request, deadline));
        self.notify(ctx, id);
    }

    /// Asks agents for slots for the tasks that wait.
    fn reserve<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if !ctx.policy.binds_late() {
            return;
        }
        let waiting = self.ready_tasks(ctx.now);
        if waiting == 0 {
            return;
        }
        let outstanding = self
            .fleet
            .iter()
            .filter(|machine| machine.reserving)
            .count();
        let wanted = waiting.saturating_mul(RESERVE_PER_TASK).min(RESERVE_MAX);
        let mut agents: Vec<AgentId> = self
            .fleet
            .usable(&Needs::default(), ctx.policy.eject_percent, ctx.now)
            .into_iter()
            .filter(|machine| !machine.reserving && machine.free() == 0)
            .map(|machine| machine.agent.clone())
            .collect();
        agents.shuffle(ctx.rng);
        agents.truncate(wanted.saturating_sub(outstanding));
        for agent in agents {
            let Some(machine) = self.fleet.get_mut(&agent) else {
                continue;
            };
            machine.reserving = true;
            let want = u32::try_from(waiting).unwrap_or(u32::MAX);
            let request = Request::Reserve(Reserve {
                home: ctx.me.clone(),
                want: want.min(machine.load().slots).max(1),
                wait_ms: RESERVE_MS,
            });
            let addr = machine.addr;
            let call = ctx.next_call();
            let deadline = ctx.now.after_millis(2 * RESERVE_MS);
            self.pending.insert(call, Pending::Reserve(agent.clone()));
            ctx.actions
                .push(AgentAction::call(call, addr, &agent, request, deadline));
        }
    }

    /// Withdraws tasks from queues that do not move while other agents have free slots.
    ///
    /// Only tasks that the agent confirms as not started are sent elsewhere, and each batch is
    /// withdrawn at most once, so that a task does not wander between queues.
    pub(super) fn correct<R: Rng>(&mut self, ctx: &Context<'_, R>) {
        if ctx.policy.placement != PlacementKind::CarriedLoad || ctx.policy.binds_late() {
            return;
        }
        let usable = self
            .fleet
            .usable(&Needs::default(), ctx.policy.eject_percent, ctx.now);
        let mut free: usize = usable.iter().map(|machine| machine.free() as usize).sum();
        let full: BTreeSet<AgentId> = self
            .fleet
            .iter()
            .filter(|machine| machine.free() == 0 && machine.load().queued > 0)
            .map(|machine| machine.agent.clone())
            .collect();
        let mut late: Vec<BatchId> = self
            .batches
            .iter()
            .filter(|(_, batch)| !batch.withdrawn && full.contains(&batch.agent))
            .filter(|(_, batch)| ctx.now.millis_since(batch.sent) >= CORRECT_MS)
            .map(|(number, _)| *number)
            .collect();
        late.sort_unstable();
        for number in late {
            let Some(batch) = self.batches.get_mut(&number).filter(|_| free > 0) else {
                return;
            };
            free = free.saturating_sub(batch.tasks.len());
            batch.withdrawn = true;
            let agent = batch.agent.clone();
            self.withdrawals.entry(agent).or_default().push(number);
            self.flush.get_or_insert(ctx.now.after_millis(FLUSH_MS));
        }
    }

    /// Returns the waiting tasks of jobs that are not held back after refusals.
    ///
    /// A slot that is asked for while its task is held back is granted at once and for nothing.
    fn ready_tasks(&self, now: Time) -> usize {
        self.line
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| now >= job.resume)
            .map(|job| job.pending.len())
            .sum()
    }

    /// Handles the reply to a request for slots.
    pub(super) fn granted<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        agent: &AgentId,
        result: Result<Response, LinkError>,
    ) {
        let Some(machine) = self.fleet.get_mut(agent) else {
            return;
        };
        machine.reserving = false;
        match result {
            Ok(Response::Grant(grant)) => {
                machine.update_load(grant.load, ctx.now);
                machine.granted = grant.slots;
            }
            Ok(Response::Refused(refusal)) => {
                machine.leaving = true;
                if refusal.reason == Reason::Draining {
                    ctx.count(Count::Retry(RetryCause::Leaving));
                }
            }
            Ok(_) | Err(_) => {
                machine.unreachable(ctx.now);
                ctx.count(Count::Retry(RetryCause::NotSent));
            }
        }
        let granted = machine.granted;
        self.place(ctx);
        let Some(machine) = self.fleet.get_mut(agent) else {
            return;
        };
        if machine.granted == granted {
            ctx.count(Count::Wasted(2));
        }
        machine.granted = 0;
    }

    /// Collects the batches of an ended job for withdrawal.
    ///
    /// Agents hold no waiting tasks when tasks are bound late, so nothing is sent then.
    pub(super) fn withdraw<R: Rng>(&mut self, ctx: &Context<'_, R>, id: &JobId) {
        let late = ctx.policy.binds_late();
        let batches = self.batches.extract_if(|_, batch| batch.job == *id);
        let mut any = false;
        for (number, batch) in batches {
            if !late {
                self.withdrawals
                    .entry(batch.agent)
                    .or_default()
                    .push(number);
                any = true;
            }
        }
        if any {
            self.flush.get_or_insert(ctx.now.after_millis(FLUSH_MS));
        }
    }

    /// Sends the collected withdrawals, one message for each agent.
    pub(super) fn flush_due<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if self.flush.is_none_or(|flush| ctx.now < flush) {
            return;
        }
        self.flush = None;
        for (agent, batches) in std::mem::take(&mut self.withdrawals) {
            let Some(machine) = self.fleet.get_mut(&agent) else {
                continue;
            };
            let request = Request::Withdraw(Withdraw {
                home: ctx.me.clone(),
                batches,
            });
            let addr = machine.addr;
            let call = ctx.next_call();
            let deadline = ctx.now.after_millis(RESERVE_MS);
            self.pending.insert(call, Pending::Withdraw);
            ctx.actions
                .push(AgentAction::call(call, addr, &agent, request, deadline));
        }
    }
}

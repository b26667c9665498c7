//! Admission of tasks to the queue, and their refusal when the endpoint leaves.

use std::collections::HashSet;

use rand::Rng;

use super::batch::BatchKey;
use super::runner::Runner;
use crate::Time;
use crate::agent::{Context, Count};
use crate::contract::{Reason, Refusal, Task};
use crate::link::Outcome;
use crate::machine::AgentId;

impl Runner {
    pub(super) fn admit_task<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        key: &BatchKey,
        index: u32,
        task: Task,
    ) {
        let deadline = self
            .batches
            .get(key)
            .map_or(ctx.now, |record| record.deadline);
        let refusal = self.check_admission(ctx, &key.0, &task, deadline);
        let Some(record) = self.batches.get_mut(key) else {
            return;
        };
        if let Some(refusal) = refusal {
            ctx.count(Count::TaskRefused(refusal.reason));
            record.record_not_started(index, Outcome::NotStarted(refusal));
            return;
        }
        record.enqueue(index, task);
        self.queue.push_back((key.clone(), index));
        self.start_queued(ctx);
    }

    /// Returns whether this agent is draining and refuses new tasks of `home`.
    ///
    /// The jobs of the agent's own home are in flight and have to finish before the agent stops,
    /// and there may be no other agent that can run their tasks.
    pub(super) fn is_closed_to<R: Rng>(ctx: &Context<'_, R>, home: &AgentId) -> bool {
        ctx.is_draining && home != ctx.own_id
    }

    fn check_admission<R: Rng>(
        &self,
        ctx: &Context<'_, R>,
        home: &AgentId,
        task: &Task,
        deadline: Time,
    ) -> Option<Refusal> {
        if ctx.now >= deadline {
            return Some(Refusal::new(Reason::DeadlinePassed, 0));
        }
        if Self::is_closed_to(ctx, home)
            || self
                .endpoint
                .as_ref()
                .is_some_and(|endpoint| endpoint.is_leaving)
        {
            return Some(Refusal::new(Reason::Draining, 0));
        }
        if !self.is_open(ctx.now) {
            return Some(Refusal::new(Reason::NoEndpoint, 0));
        }
        if !task.needs.fits_within(&self.limits()) {
            return Some(Refusal::new(Reason::NeverFits, 0));
        }
        let max_queued_tasks = if ctx.policy.binds_late() {
            0
        } else {
            ctx.policy.max_queued_tasks as usize
        };
        let is_full = self.free(ctx.now) == 0 && self.queue.len() >= max_queued_tasks;
        is_full.then(|| Refusal::new(Reason::QueueFull, 0))
    }

    /// Refuses all queued tasks, so that their homes place them elsewhere.
    pub(crate) fn refuse_queued_tasks<R: Rng>(&mut self, ctx: &mut Context<'_, R>, reason: Reason) {
        let keys: HashSet<BatchKey> = self.queue.drain(..).map(|(key, _)| key).collect();
        for key in keys {
            if let Some(record) = self.batches.get_mut(&key) {
                for task in record.drop_queued() {
                    ctx.count(Count::TaskRefused(reason));
                    let refusal = Refusal::new(reason, 0);
                    record.record_not_started(task, Outcome::NotStarted(refusal));
                }
            }
            self.report_if_due(ctx, &key);
        }
    }
}

//! Execution of queued tasks at the endpoint, from the start of a run to its outcome.

use rand::Rng;

use super::batch::BatchKey;
use super::runner::Runner;
use crate::Time;
use crate::agent::{AgentAction, Context, Count, RunId, RunOutcome};
use crate::contract::{Reason, Refusal};
use crate::link::Outcome;

/// A task that runs at the endpoint.
#[derive(Debug)]
pub(super) struct ActiveRun {
    key: BatchKey,
    task: u32,
    started_at: Time,
}

impl Runner {
    /// Starts queued tasks while slots are free.
    pub(super) fn start_queued<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        while self.free(ctx.now) > 0 {
            let Some((key, index)) = self.queue.pop_front() else {
                return;
            };
            self.start_task(ctx, key, index);
        }
    }

    fn start_task<R: Rng>(&mut self, ctx: &mut Context<'_, R>, key: BatchKey, index: u32) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let Some(record) = self.batches.get_mut(&key) else {
            return;
        };
        let Some(task) = record.take_queued(index) else {
            return;
        };
        if ctx.now >= record.deadline {
            let refusal = Refusal::new(Reason::DeadlinePassed, 0);
            record.record_end(index, Outcome::NotStarted(refusal));
            self.report_if_due(ctx, &key);
            return;
        }
        self.last_run_id += 1;
        let run = RunId(self.last_run_id);
        ctx.count(Count::Started);
        ctx.actions.push(AgentAction::Start {
            run,
            endpoint: endpoint.registration.addr,
            job: record.job.clone(),
            task: index,
            kind: task.kind,
            payload: task.payload,
            deadline: record.deadline,
        });
        let started_at = ctx.now;
        self.active_runs.insert(
            run,
            ActiveRun {
                key,
                task: index,
                started_at,
            },
        );
    }

    /// Records the outcome of a run and reuses its slot.
    pub(crate) fn handle_run_ended<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        run: RunId,
        outcome: RunOutcome,
    ) {
        let Some(active) = self.active_runs.remove(&run) else {
            return;
        };
        let run_us = ctx.now.micros_since(active.started_at);
        let outcome = match outcome {
            RunOutcome::Done(result) => {
                self.health
                    .record(ctx.now, true, ctx.policy.eject_after_failures, ctx.rng);
                Outcome::Done { result, run_us }
            }
            RunOutcome::NotStarted(refusal) => {
                // Counts against the endpoint's health: an endpoint that refuses tasks at once
                // always has free slots and would attract all tasks.
                if matches!(refusal.reason, Reason::QueueFull | Reason::Unreachable) {
                    self.record_failure(ctx);
                }
                Outcome::NotStarted(refusal)
            }
            RunOutcome::Failed(refusal) => {
                self.record_failure(ctx);
                Outcome::Failed(refusal)
            }
        };
        if let Some(record) = self.batches.get_mut(&active.key) {
            record.record_end(active.task, outcome);
        }
        self.report_if_due(ctx, &active.key);
        self.use_free_slots(ctx);
    }

    /// Records a failed or refused task in the health of the endpoint.
    fn record_failure<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let limit = ctx.policy.eject_after_failures;
        if self.health.record(ctx.now, false, limit, ctx.rng) {
            ctx.count(Count::Ejected);
        }
    }
}

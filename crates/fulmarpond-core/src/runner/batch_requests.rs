//! Requests of homes about batches: runs, withdrawals and queries, and the reports that answer them.

use rand::Rng;

use super::batch::{BatchKey, BatchRecord};
use super::runner::Runner;
use crate::Time;
use crate::agent::Context;
use crate::contract::{Reason, Refusal};
use crate::link::{Ask, Batch, CallId, Outcome, Response, Withdraw, Withdrawn};

impl Runner {
    /// Handles [`Request::Run`](crate::link::Request::Run).
    pub(crate) fn run<R: Rng>(&mut self, ctx: &mut Context<'_, R>, call: CallId, batch: Batch) {
        let key = (batch.home, batch.batch);
        if self.cancelled_batches.contains_key(&key) {
            ctx.reply(call, Response::Refused(Refusal::new(Reason::Cancelled, 0)));
            return;
        }
        if self.batches.contains_key(&key) {
            self.attach_call(ctx, call, &key, true);
            return;
        }
        let deadline = ctx.now.after_millis(batch.remaining_ms);
        let expires_at = deadline.after_millis(self.options.batch_retention_ms);
        let mut record = BatchRecord::new(batch.job, deadline, expires_at);
        record.waiter = Some(call);
        self.batches.insert(key.clone(), record);
        self.use_held_slots(&key.0, batch.tasks.len());
        for (index, task) in batch.tasks {
            self.admit_task(ctx, &key, index, task);
        }
        self.report_if_due(ctx, &key);
        self.use_free_slots(ctx);
    }

    /// Handles [`Request::Withdraw`](crate::link::Request::Withdraw).
    pub(crate) fn withdraw<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        withdraw: Withdraw,
    ) {
        let mut dropped = Vec::new();
        for batch in withdraw.batches {
            let key = (withdraw.home.clone(), batch);
            let Some(record) = self.batches.get_mut(&key) else {
                self.cancel_unknown_batch(ctx.now, key);
                continue;
            };
            let tasks = record.drop_queued();
            for task in &tasks {
                let refusal = Refusal::new(Reason::Cancelled, 0);
                record.record_not_started(*task, Outcome::NotStarted(refusal));
            }
            self.queue.retain(|(queued, _)| *queued != key);
            self.report_if_due(ctx, &key);
            dropped.push((batch, tasks));
        }
        ctx.reply(call, Response::Withdrawn(Withdrawn { dropped }));
        self.use_free_slots(ctx);
    }

    /// Handles [`Request::Ask`](crate::link::Request::Ask).
    ///
    /// An unknown batch never arrived. It is cancelled, so that it starts no tasks if it arrives
    /// later and the home can send the tasks elsewhere.
    pub(crate) fn ask<R: Rng>(&mut self, ctx: &mut Context<'_, R>, call: CallId, ask: Ask) {
        let key = (ask.home, ask.batch);
        if self.batches.contains_key(&key) {
            self.attach_call(ctx, call, &key, ask.repeat);
            return;
        }
        self.cancel_unknown_batch(ctx.now, key);
        ctx.reply(call, Response::Refused(Refusal::new(Reason::Cancelled, 0)));
    }

    /// Makes `call` the pending call of a known batch and answers the earlier call, if any.
    fn attach_call<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        key: &BatchKey,
        repeat: bool,
    ) {
        let load = self.load(ctx.now);
        let Some(record) = self.batches.get_mut(key) else {
            return;
        };
        if let Some(earlier) = record.waiter.replace(call) {
            let report = record.take_report(key.1, load);
            ctx.reply(earlier, Response::Run(report));
        }
        if repeat {
            record.request_full_report();
        }
        self.report_if_due(ctx, key);
    }

    /// Records that a batch without a record is to be refused if it arrives.
    fn cancel_unknown_batch(&mut self, now: Time, key: BatchKey) {
        // The link of a delayed batch is closed after the deadline of its job at the latest, so the
        // batch can't arrive later than that.
        let expires_at = now.after_millis(self.options.batch_retention_ms.max(600_000));
        self.cancelled_batches.insert(key, expires_at);
    }

    /// Sends a report to the pending call of a batch that has ended or has a task that did not
    /// start.
    pub(super) fn report_if_due<R: Rng>(&mut self, ctx: &mut Context<'_, R>, key: &BatchKey) {
        let load = self.load(ctx.now);
        let Some(record) = self.batches.get_mut(key) else {
            return;
        };
        if record.is_running() && !record.has_unreported_refusal() {
            return;
        }
        if let Some(call) = record.waiter.take() {
            let report = record.take_report(key.1, load);
            ctx.reply(call, Response::Run(report));
        }
    }
}

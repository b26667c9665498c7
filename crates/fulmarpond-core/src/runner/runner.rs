//! The slots, the task queue and the batch records of an agent.

use std::collections::{HashMap, HashSet, VecDeque};

use rand::Rng;

use super::batch::{BatchKey, BatchRecord};
use crate::Time;
use crate::agent::{AgentAction, Context, Count, RunId, RunOutcome};
use crate::contract::{Reason, Refusal, Resources, Task};
use crate::link::{Ask, Batch, CallId, Grant, Outcome, Reserve, Response, Withdraw, Withdrawn};
use crate::machine::{AgentId, Health, Load, Registration};

/// Milliseconds for which granted slots are held for a home.
///
/// Covers a round trip between zones and some delay at the home.
const GRANT_HOLD_MS: u64 = 15;

/// Lease and retention times of a runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerOptions {
    /// The lease of an endpoint registration in milliseconds.
    pub lease_ms: u64,
    /// Milliseconds for which the record of a batch is kept after its deadline.
    pub batch_retention_ms: u64,
}

/// The slots, the task queue and the batch records of an agent.
#[derive(Debug)]
pub struct Runner {
    options: RunnerOptions,
    endpoint: Option<Endpoint>,
    batches: HashMap<BatchKey, BatchRecord>,
    /// Batches that were withdrawn or queried before they arrived, with the time until which
    /// they are refused.
    cancelled_batches: HashMap<BatchKey, Time>,
    queue: VecDeque<(BatchKey, u32)>,
    active_runs: HashMap<RunId, ActiveRun>,
    reservations: VecDeque<Reservation>,
    held_slots: Vec<HeldSlots>,
    health: Health,
    last_run_id: u64,
}

#[derive(Debug)]
struct Endpoint {
    registration: Registration,
    lease_expires_at: Time,
    is_leaving: bool,
}

#[derive(Debug)]
struct ActiveRun {
    key: BatchKey,
    task: u32,
    started_at: Time,
}

#[derive(Debug)]
struct Reservation {
    call: CallId,
    home: AgentId,
    want: u32,
    deadline: Time,
}

#[derive(Debug)]
struct HeldSlots {
    home: AgentId,
    slots: u32,
    deadline: Time,
}

impl Runner {
    /// Creates a runner without an endpoint.
    pub fn new(options: RunnerOptions) -> Self {
        Self {
            options,
            endpoint: None,
            batches: HashMap::new(),
            cancelled_batches: HashMap::new(),
            queue: VecDeque::new(),
            active_runs: HashMap::new(),
            reservations: VecDeque::new(),
            held_slots: Vec::new(),
            health: Health::default(),
            last_run_id: 0,
        }
    }

    /// Returns the load. The number of slots is 0 while no endpoint accepts new tasks.
    pub fn load(&self, now: Time) -> Load {
        Load {
            slots: self.capacity(now),
            free: self.free(now),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            failing: self.health.is_ejected(now),
        }
    }

    /// Returns the resources that the endpoint offers to one task.
    pub fn limits(&self) -> Resources {
        self.endpoint
            .as_ref()
            .map_or_else(Resources::default, |endpoint| endpoint.registration.limits)
    }

    /// Returns whether an endpoint is registered and accepts new tasks.
    pub fn is_open(&self, now: Time) -> bool {
        self.endpoint
            .as_ref()
            .is_some_and(|endpoint| !endpoint.is_leaving && now < endpoint.lease_expires_at)
    }

    /// Returns whether no task is queued or running.
    pub fn is_idle(&self) -> bool {
        self.active_runs.is_empty() && self.queue.is_empty()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.active_runs.len()
    }

    fn capacity(&self, now: Time) -> u32 {
        if !self.is_open(now) {
            return 0;
        }
        self.endpoint
            .as_ref()
            .map_or(0, |endpoint| endpoint.registration.capacity())
    }

    fn free(&self, now: Time) -> u32 {
        let capacity = self.capacity(now);
        let limit = if self.health.is_probing(now) {
            capacity.min(1)
        } else {
            capacity
        };
        let active = u32::try_from(self.active_runs.len()).unwrap_or(u32::MAX);
        let held: u32 = self.held_slots.iter().map(|held| held.slots).sum();
        limit.saturating_sub(active.saturating_add(held))
    }

    /// Registers the endpoint or renews its registration.
    pub(crate) fn register<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        registration: Registration,
    ) {
        let lease_expires_at = ctx.now.after_millis(self.options.lease_ms);
        self.endpoint = Some(Endpoint {
            registration,
            lease_expires_at,
            is_leaving: false,
        });
        self.use_free_slots(ctx);
    }

    /// Stops sending tasks to the endpoint. Refuses queued tasks and releases reservations.
    pub(crate) fn drain_endpoint<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.is_leaving = true;
        }
        self.refuse_queued_tasks(ctx, Reason::Draining);
        self.release_reservations(ctx);
    }

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

    fn admit_task<R: Rng>(
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
    fn is_closed_to<R: Rng>(ctx: &Context<'_, R>, home: &AgentId) -> bool {
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

    fn use_held_slots(&mut self, home: &AgentId, tasks: usize) {
        let mut wanted = u32::try_from(tasks).unwrap_or(u32::MAX);
        for held in self.held_slots.iter_mut().filter(|held| held.home == *home) {
            let taken = held.slots.min(wanted);
            held.slots -= taken;
            wanted -= taken;
        }
        self.held_slots.retain(|held| held.slots > 0);
    }

    /// Starts queued tasks while slots are free.
    fn start_queued<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
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

    /// Sends a report to the pending call of a batch that has ended or has a task that did not
    /// start.
    fn report_if_due<R: Rng>(&mut self, ctx: &mut Context<'_, R>, key: &BatchKey) {
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

    /// Uses free slots for queued tasks first, then for reservations.
    fn use_free_slots<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        self.start_queued(ctx);
        while self.free(ctx.now) > 0 {
            let Some(reservation) = self.reservations.pop_front() else {
                return;
            };
            self.grant_slots(ctx, &reservation);
        }
    }

    fn grant_slots<R: Rng>(&mut self, ctx: &mut Context<'_, R>, reservation: &Reservation) {
        let slots = reservation.want.min(self.free(ctx.now));
        self.held_slots.push(HeldSlots {
            home: reservation.home.clone(),
            slots,
            deadline: ctx.now.after_millis(GRANT_HOLD_MS),
        });
        let load = self.load(ctx.now);
        ctx.reply(reservation.call, Response::Grant(Grant { slots, load }));
    }

    /// Handles [`Request::Reserve`](crate::link::Request::Reserve).
    pub(crate) fn reserve<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        reserve: Reserve,
    ) {
        if Self::is_closed_to(ctx, &reserve.home) || !self.is_open(ctx.now) {
            ctx.reply(call, Response::Refused(Refusal::new(Reason::Draining, 0)));
            return;
        }
        self.reservations.push_back(Reservation {
            call,
            home: reserve.home,
            want: reserve.want.max(1),
            deadline: ctx.now.after_millis(reserve.wait_ms),
        });
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

    /// Answers all reservations with a grant of zero slots.
    pub(crate) fn release_reservations<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let load = self.load(ctx.now);
        for reservation in self.reservations.drain(..) {
            let grant = Grant { slots: 0, load };
            ctx.actions.push(AgentAction::Reply {
                call: reservation.call,
                response: Response::Grant(grant),
            });
        }
    }

    /// Expires leases, held slots, reservations and batch records, and uses free slots.
    pub(crate) fn tick<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let now = ctx.now;
        self.held_slots.retain(|held| now < held.deadline);
        if self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| now >= endpoint.lease_expires_at)
        {
            self.endpoint = None;
            self.refuse_queued_tasks(ctx, Reason::NoEndpoint);
            self.release_reservations(ctx);
        }
        let load = self.load(now);
        let (due, waiting) = std::mem::take(&mut self.reservations)
            .into_iter()
            .partition::<VecDeque<_>, _>(|reservation| now >= reservation.deadline);
        self.reservations = waiting;
        for reservation in due {
            let grant = Grant { slots: 0, load };
            ctx.reply(reservation.call, Response::Grant(grant));
        }
        self.use_free_slots(ctx);
        self.batches
            .retain(|_, record| record.is_running() || now < record.expires_at);
        self.cancelled_batches
            .retain(|_, expires_at| now < *expires_at);
    }

    /// Returns when [`Runner::tick`] has to be called next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let held = self.held_slots.iter().map(|held| held.deadline);
        let reservations = self
            .reservations
            .iter()
            .map(|reservation| reservation.deadline);
        let lease = self
            .endpoint
            .iter()
            .map(|endpoint| endpoint.lease_expires_at);
        held.chain(reservations).chain(lease).min()
    }
}

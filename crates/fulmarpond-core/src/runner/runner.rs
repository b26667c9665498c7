//! The slots, the task queue and the batch records of an agent.

use std::collections::{HashMap, VecDeque};

use rand::Rng;

use super::batch::{BatchKey, BatchRecord};
use super::execution::ActiveRun;
use super::reservations::{HeldSlots, Reservation};
use crate::Time;
use crate::agent::{Context, RunId};
use crate::contract::{Reason, Resources};
use crate::machine::{Health, Load, Registration};

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
    pub(super) options: RunnerOptions,
    pub(super) endpoint: Option<Endpoint>,
    pub(super) batches: HashMap<BatchKey, BatchRecord>,
    /// Batches that were withdrawn or queried before they arrived, with the time until which
    /// they are refused.
    pub(super) cancelled_batches: HashMap<BatchKey, Time>,
    pub(super) queue: VecDeque<(BatchKey, u32)>,
    pub(super) active_runs: HashMap<RunId, ActiveRun>,
    pub(super) reservations: VecDeque<Reservation>,
    pub(super) held_slots: Vec<HeldSlots>,
    pub(super) health: Health,
    pub(super) last_run_id: u64,
}

/// The registered endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) registration: Registration,
    lease_expires_at: Time,
    pub(super) is_leaving: bool,
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

    pub(super) fn free(&self, now: Time) -> u32 {
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

    /// Uses free slots for queued tasks first, then for reservations.
    pub(super) fn use_free_slots<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        self.start_queued(ctx);
        while self.free(ctx.now) > 0 {
            let Some(reservation) = self.reservations.pop_front() else {
                return;
            };
            self.grant_slots(ctx, &reservation);
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
        self.expire_reservations(ctx);
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

//! The jobs of one home, its periodic work and the dispatch of replies to its calls.

use std::collections::{BTreeMap, HashMap};

use rand::Rng;

use super::fleet::Fleet;
use super::job::Job;
use super::tombstones::Tombstones;
use crate::Time;
use crate::agent::Context;
use crate::contract::{JobId, Reason, Refusal};
use crate::link::{BatchId, CallId, LinkError, Peer, Response, Usage};
use crate::machine::{AgentId, ObservedRunTimes};
use crate::retry::RetryBudget;

/// Retention times and limits of a home.
#[derive(Debug, Clone, Copy)]
pub struct HomeOptions {
    /// Milliseconds for which tombstones of accepted and sealed ids are kept.
    pub tombstone_retention_ms: u64,
    /// Milliseconds for which an answer is kept after the deadline of its job.
    pub answer_retention_ms: u64,
    /// The maximum age of a fresh roster in milliseconds. See [`ROSTER_FRESH_MS`].
    pub roster_fresh_ms: u64,
}

/// The default maximum age of a fresh roster in milliseconds, counted from its last confirmation.
///
/// An agent seals a job only with a fresh roster, and accepts a first attempt without seals only if
/// it has been the first candidate for twice this time. Any other agent that seals the job then has
/// this agent in its seal list, provided that a request is in flight for less than this time:
/// process pauses longer than a third of it are detected, and silent links are closed earlier.
///
/// Must exceed the normal age of a roster, which is two wait periods of an entry's watch plus
/// the announcement interval.
pub const ROSTER_FRESH_MS: u64 = 15_000;

/// The purpose of an outgoing call of a home.
#[derive(Debug, Clone)]
pub(super) enum PendingCall {
    /// Sends a batch, or queries its state.
    Batch {
        /// The batch.
        batch: BatchId,
        /// The number of the query, or 0 for the call that sends the batch.
        queries: u32,
    },
    /// Requests slots from an agent.
    Reserve(AgentId),
    /// Requests a seal for a job.
    Seal(JobId),
    /// Withdraws queued tasks.
    Withdraw,
}

/// A batch without a final report.
#[derive(Debug)]
pub(super) struct SentBatch {
    pub(super) job: JobId,
    pub(super) agent: AgentId,
    pub(super) addr: std::net::SocketAddr,
    /// The tasks without a reported outcome.
    pub(super) tasks: Vec<u32>,
    pub(super) deadline: Time,
    pub(super) sent_at: Time,
    /// Whether a withdrawal of its queued tasks was requested.
    pub(super) is_withdrawn: bool,
    /// When the agent is queried about the batch again after a lost link.
    pub(super) query_at: Option<Time>,
    /// The number of queries since the batch was sent or last reported.
    pub(super) queries: u32,
}

/// The jobs of one home, and the state that is needed to place and answer them.
#[derive(Debug)]
pub struct Home {
    pub(super) options: HomeOptions,
    /// The jobs without a final answer.
    pub(super) jobs: HashMap<JobId, Job>,
    /// The jobs with a final answer. Kept apart because every step iterates over the open jobs.
    pub(super) ended_jobs: HashMap<JobId, Job>,
    /// The running jobs that have waiting tasks, oldest first.
    pub(super) placement_queue: Vec<JobId>,
    pub(super) tombstones: Tombstones,
    pub(super) fleet: Fleet,
    pub(super) observed_run_times: ObservedRunTimes,
    pub(super) retry_budget: RetryBudget,
    pub(super) batches: HashMap<BatchId, SentBatch>,
    pub(super) last_batch: u64,
    pub(super) pending_calls: HashMap<CallId, PendingCall>,
    /// The batches to withdraw, by agent.
    pub(super) withdrawals: BTreeMap<AgentId, Vec<BatchId>>,
    /// When the collected withdrawals are sent.
    pub(super) flush_at: Option<Time>,
    /// When the next periodic placement of waiting tasks is due.
    pub(super) next_placement: Time,
    /// When expired records are removed next.
    pub(super) next_sweep: Time,
}

impl Home {
    /// Creates a home without jobs.
    pub fn new(options: HomeOptions) -> Self {
        Self {
            options,
            jobs: HashMap::new(),
            ended_jobs: HashMap::new(),
            placement_queue: Vec::new(),
            tombstones: Tombstones::default(),
            fleet: Fleet::default(),
            observed_run_times: ObservedRunTimes::default(),
            retry_budget: RetryBudget::new(),
            batches: HashMap::new(),
            last_batch: 0,
            pending_calls: HashMap::new(),
            withdrawals: BTreeMap::new(),
            flush_at: None,
            next_placement: Time::MAX,
            next_sweep: Time::default(),
        }
    }

    /// Returns whether every job has its final answer.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of jobs without a final answer.
    pub fn open_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the record of a job, whether or not it has ended.
    pub(super) fn job_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs
            .get_mut(id)
            .or_else(|| self.ended_jobs.get_mut(id))
    }

    /// Returns whether there is a record of a job, whether or not it has ended.
    pub(super) fn has_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ended_jobs.contains_key(id)
    }

    /// Returns the number of tombstones.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the number of tasks that wait for a slot.
    pub fn waiting_task_count(&self) -> u64 {
        self.placement_queue
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|job| job.waiting_tasks.len() as u64)
            .sum()
    }

    /// Returns the number of tasks in flight by team and entry.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for job in self.jobs.values() {
            let team = usage.teams.entry(job.id.team().to_owned()).or_default();
            *team.entry(job.entry.clone()).or_default() += job.in_flight();
        }
        usage
    }

    /// Updates the known agents from an entry's report, and places waiting tasks.
    pub(crate) fn update_peers<R: Rng>(&mut self, ctx: &mut Context<'_, R>, peers: &[Peer]) {
        self.fleet.update(peers, ctx.now);
        self.place_tasks(ctx);
        self.withdraw_stalled(ctx);
    }

    /// Handles the response to an outgoing call, or its failure.
    pub(crate) fn handle_response<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        match self.pending_calls.remove(&call) {
            Some(PendingCall::Batch { batch, queries }) => {
                self.handle_batch_response(ctx, batch, queries, result);
            }
            Some(PendingCall::Reserve(agent)) => self.handle_grant(ctx, &agent, result),
            Some(PendingCall::Seal(id)) => self.handle_seal_response(ctx, &id, result),
            Some(PendingCall::Withdraw) | None => {}
        }
    }

    /// Fails overdue jobs, answers expired waiters, sends due queries and withdrawals, places
    /// waiting tasks and removes expired records.
    pub(crate) fn tick<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let now = ctx.now;
        let overdue: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| now >= job.deadline)
            .map(|job| job.id.clone())
            .collect();
        for id in overdue {
            self.fail(ctx, &id, Refusal::new(Reason::DeadlinePassed, 0));
        }
        self.expire_waiters(ctx);
        self.send_due_queries(ctx);
        self.flush_withdrawals(ctx);
        self.place_tasks(ctx);
        if now >= self.next_sweep {
            self.next_sweep = now.after_millis(1_000);
            self.ended_jobs.retain(|_, job| now < job.expires_at);
            self.tombstones.expire(now);
            self.fleet.remove_stale();
        }
    }

    /// Returns when [`Home::tick`] has to be called next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let deadlines = self.jobs.values().map(|job| job.deadline);
        let waiters = self
            .jobs
            .values()
            .flat_map(|job| job.waiters.iter().map(|waiter| waiter.deadline))
            .filter(|deadline| *deadline != Time::MAX);
        let queries = self.batches.values().filter_map(|batch| batch.query_at);
        let placing = (!self.placement_queue.is_empty()).then_some(self.next_placement);
        let sweep =
            (!self.ended_jobs.is_empty() || self.tombstones.len() > 0).then_some(self.next_sweep);
        deadlines
            .chain(waiters)
            .chain(queries)
            .chain(placing)
            .chain(self.flush_at)
            .chain(sweep)
            .min()
    }
}

//! Admission, acceptance and completion of the jobs of one home.

use std::collections::{BTreeMap, HashMap};

use rand::Rng;

use super::fleet::Fleet;
use super::job::{Job, Phase, TaskState, Waiter, WaitsFor};
use super::tombstones::Tombstones;
use crate::Time;
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{Answer, Attempt, EventKind, JobId, Reason, Refusal, Submission, Verdict};
use crate::link::{
    BatchId, CallId, FetchReply, Handover, LinkError, Peer, Response, Submit, SubmitReply,
    Tombstone, Usage,
};
use crate::machine::{AgentId, ObservedRunTimes};
use crate::retry::RetryBudget;

/// Retry delay in milliseconds after a refusal because of load.
const RETRY_OVERLOAD_MS: u64 = 200;
/// Retry delay in milliseconds after a refusal of a job that belongs at another agent, for example
/// because this one is draining.
const RETRY_OTHER_AGENT_MS: u64 = 50;
/// Retry delay in milliseconds for a job that needs a lost agent to be replaced.
const RETRY_LOST_AGENT_MS: u64 = 1_000;

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

    /// Handles [`Request::Submit`](crate::link::Request::Submit).
    pub(crate) fn submit<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        submit: Submit,
    ) {
        let submission = &submit.submission;
        if let Some(job) = self.job_mut(&submission.job) {
            attach(ctx, job, call, &submit);
            return;
        }
        if let Some(reply) = self.reply_from_tombstone(ctx, submission) {
            ctx.reply(call, Response::Submit(reply));
            return;
        }
        let refusal = submit.refusal.clone();
        if let Some(refusal) = refusal.or_else(|| self.check_admission(ctx, &submit)) {
            ctx.count_refusal(refusal.reason);
            ctx.reply(call, Response::Submit(SubmitReply::Refused(refusal)));
            return;
        }
        self.create_job(ctx, call, submit);
    }

    /// Returns the reply for an unknown job that follows from the tombstone of its id or from the
    /// age of the first attempt.
    fn reply_from_tombstone<R: Rng>(
        &self,
        ctx: &mut Context<'_, R>,
        submission: &Submission,
    ) -> Option<SubmitReply> {
        let may_have_run = |reason| {
            let verdict = Verdict::new_may_have_run(reason, 0);
            Some(SubmitReply::Answer(Answer::new(&submission.job, verdict)))
        };
        let reply = match self.tombstones.get(&submission.job) {
            Some(Tombstone::Accepted) => may_have_run(Reason::HomeLost),
            Some(Tombstone::Sealed { holder }) if holder != ctx.own_id => {
                match ctx.roster.tombstone_holder(holder) {
                    Some(owner) => Some(SubmitReply::Redirect {
                        agent: owner.agent.clone(),
                    }),
                    None => may_have_run(Reason::SealUnreachable),
                }
            }
            _ => match submission.attempt {
                Attempt::Unresolved { age_ms: Some(age) }
                    if age > self.options.tombstone_retention_ms =>
                {
                    may_have_run(Reason::TooOld)
                }
                _ => None,
            },
        };
        if let Some(SubmitReply::Answer(answer)) = &reply {
            ctx.count_verdict(&answer.verdict);
        }
        reply
    }

    /// Returns a refusal if a job without a record can't be accepted.
    fn check_admission<R: Rng>(&self, ctx: &Context<'_, R>, submit: &Submit) -> Option<Refusal> {
        let submission = &submit.submission;
        if ctx.is_draining {
            return Some(Refusal::new(Reason::Draining, RETRY_OTHER_AGENT_MS));
        }
        if !ctx.roster.contains(ctx.own_id) {
            return Some(Refusal::new(Reason::WrongHome, RETRY_OTHER_AGENT_MS));
        }
        let holds_seal = matches!(
            self.tombstones.get(&submission.job),
            Some(Tombstone::Sealed { holder }) if holder == ctx.own_id
        );
        // A stale roster may lack a member that joined recently, so its seal would be missed.
        if submission.attempt != Attempt::First && !ctx.is_roster_fresh {
            return Some(Refusal::new(Reason::StaleRoster, RETRY_LOST_AGENT_MS));
        }
        let is_candidate = ctx
            .roster
            .candidates(&submission.job)
            .iter()
            .any(|member| member.agent == *ctx.own_id);
        if !holds_seal && !is_candidate {
            // The entry used a newer roster, in which this agent may be a candidate. This agent
            // receives that roster shortly.
            if submit.roster > ctx.roster.version() {
                return Some(Refusal::new(Reason::StaleRoster, RETRY_OTHER_AGENT_MS));
            }
            return Some(Refusal::new(Reason::WrongHome, RETRY_OTHER_AGENT_MS));
        }
        if self.fleet.has_no_open_endpoint() {
            return Some(Refusal::new(Reason::NoEndpoint, RETRY_LOST_AGENT_MS));
        }
        if let Some(task) = submission
            .tasks
            .iter()
            .find(|task| !self.fleet.can_ever_run(&task.needs))
        {
            let detail = format!("no live endpoint has room for a task of kind {}", task.kind);
            return Some(Refusal::new(Reason::NeverFits, 0).detail(detail));
        }
        let waiting = self.waiting_task_count();
        if waiting > 0 && waiting + submission.tasks.len() as u64 > ctx.policy.max_waiting_tasks {
            return Some(Refusal::new(Reason::QueueFull, RETRY_OVERLOAD_MS));
        }
        self.check_run_times(submission, ctx.roster.live().count() as u64)
    }

    /// Returns a refusal if the job can't finish before its deadline, judged by observed run times
    /// and the tasks that wait already.
    fn check_run_times(&self, submission: &Submission, home_count: u64) -> Option<Refusal> {
        let team = submission.job.team();
        let longest = submission
            .tasks
            .iter()
            .filter_map(|task| self.observed_run_times.lower_bound_us(team, &task.kind))
            .max()?;
        let share = (self.fleet.total_slots() / home_count.max(1)).max(1);
        let wait_us =
            self.waiting_task_count() * self.observed_run_times.mean_us().unwrap_or(0) / share;
        let needed_ms = (longest + wait_us) / 1_000;
        if needed_ms <= submission.remaining_ms {
            return None;
        }
        let detail = format!(
            "needs about {needed_ms} ms by observed run times, has {} ms",
            submission.remaining_ms
        );
        let retry_ms = (wait_us / 1_000).max(RETRY_OVERLOAD_MS);
        Some(Refusal::new(Reason::DeadlineUnreachable, retry_ms).detail(detail))
    }

    /// Creates the record of a job, and accepts the job or starts to seal it.
    ///
    /// A first attempt needs no seals if this agent has long been the first candidate.
    fn create_job<R: Rng>(&mut self, ctx: &mut Context<'_, R>, call: CallId, submit: Submit) {
        let Submit {
            submission,
            entry,
            skipped,
            wait,
            ..
        } = submit;
        let deadline = ctx.now.after_millis(submission.remaining_ms);
        let is_first_attempt = submission.attempt == Attempt::First;
        let id = submission.job;
        let is_first_candidate =
            ctx.roster
                .is_first_candidate_since(&id, ctx.own_id, ctx.settled_version);
        let has_tombstone = self.tombstones.get(&id).is_some();
        let mut job = Job::new(id.clone(), entry, submission.tasks, ctx.now, deadline);
        job.expires_at = deadline.after_millis(self.options.answer_retention_ms);
        job.waiters.push(Waiter {
            call,
            waits_for: if wait {
                WaitsFor::SubmitAnswer
            } else {
                WaitsFor::SubmitAcceptance
            },
            deadline: Time::MAX,
        });
        self.retry_budget
            .deposit(u64::from(job.task_count()), ctx.policy.retry_percent);
        if is_first_attempt && is_first_candidate && !skipped && !has_tombstone && !ctx.was_paused {
            self.jobs.insert(id.clone(), job);
            self.accept(ctx, &id);
            return;
        }
        job.phase = Phase::Sealing {
            list: ctx
                .roster
                .seal_list(&id)
                .into_iter()
                .map(|member| member.agent.clone())
                .collect(),
            next: 0,
            may_skip_unreachable: is_first_attempt,
        };
        self.jobs.insert(id.clone(), job);
        self.request_next_seal(ctx, &id);
    }

    /// Accepts a job. Its tasks may start from now on.
    pub(super) fn accept<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = Phase::Running;
        job.record_event(
            ctx.now,
            EventKind::Queued,
            None,
            Some(ctx.own_id),
            "accepted by the home",
        );
        let expires_at = ctx
            .now
            .after_millis(self.options.tombstone_retention_ms)
            .max(job.expires_at);
        self.tombstones.record_accepted(id, expires_at);
        let (accepted, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut job.waiters)
            .into_iter()
            .partition(|waiter| waiter.waits_for == WaitsFor::SubmitAcceptance);
        job.waiters = waiting;
        for waiter in accepted {
            ctx.reply(waiter.call, Response::Submit(SubmitReply::Accepted));
        }
        self.placement_queue.push(id.clone());
        ctx.count(Count::Accepted);
        self.place_tasks(ctx);
    }

    /// Records the final answer of a job and sends it to all waiters.
    pub(super) fn finish<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        verdict: Verdict,
    ) {
        let Some(mut job) = self.jobs.remove(id) else {
            return;
        };
        ctx.count_verdict(&verdict);
        let detail = match verdict.refusal() {
            None => "answered".to_owned(),
            Some(refusal) => format!("{} {}", refusal.reason, refusal.detail),
        };
        job.record_event(ctx.now, EventKind::Ended, None, None, detail.trim());
        let answer = Answer::new(id, verdict);
        job.phase = Phase::Ended(answer.clone());
        for waiter in std::mem::take(&mut job.waiters) {
            let response = match waiter.waits_for {
                WaitsFor::SubmitAnswer | WaitsFor::SubmitAcceptance => {
                    Response::Submit(SubmitReply::Answer(answer.clone()))
                }
                WaitsFor::FetchAnswer => Response::Fetch(FetchReply::Answer(answer.clone())),
                WaitsFor::Events(from) => Response::Events(Some(job.events_from(from))),
            };
            ctx.actions.push(AgentAction::Reply {
                call: waiter.call,
                response,
            });
        }
        job.waiting_tasks.clear();
        job.tasks = Vec::new();
        job.states.fill(TaskState::Waiting);
        self.ended_jobs.insert(id.clone(), job);
        self.placement_queue.retain(|waiting| waiting != id);
        self.queue_withdrawals(ctx, id);
    }

    /// Fails a job.
    ///
    /// The verdict is [`Verdict::NotRun`] only if no task can have started, neither in this attempt
    /// nor in an earlier one that the seals have not ruled out yet.
    pub(super) fn fail<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId, refusal: Refusal) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_sole_home = match &job.phase {
            // An agent that accepted the job, or that holds this agent's seal, may have started it.
            Phase::Sealing {
                may_skip_unreachable,
                ..
            } => match self.tombstones.get(id) {
                None => *may_skip_unreachable,
                Some(Tombstone::Sealed { holder }) => *may_skip_unreachable && holder == ctx.own_id,
                Some(Tombstone::Accepted) => false,
            },
            Phase::Running | Phase::Ended(_) => true,
        };
        let verdict = if is_sole_home && job.possibly_started == 0 && job.done == 0 {
            // Prevents a delayed copy of the submission from running after the record has expired.
            let expires_at = ctx
                .now
                .after_millis(self.options.tombstone_retention_ms)
                .max(job.expires_at);
            self.tombstones.record_accepted(id, expires_at);
            Verdict::NotRun(refusal)
        } else {
            Verdict::MayHaveRun(refusal)
        };
        self.finish(ctx, id, verdict);
    }

    /// Returns the tombstones and answers to hand over to an heir.
    pub(crate) fn create_handover(&self, own_id: &AgentId, now: Time) -> Handover {
        Handover {
            from: own_id.clone(),
            memory: self.tombstones.export(now),
            answers: self
                .ended_jobs
                .values()
                .filter_map(|job| job.answer().cloned())
                .collect(),
        }
    }

    /// Adds the tombstones and answers of a stopping agent.
    pub(crate) fn merge_handover<R: Rng>(&mut self, ctx: &mut Context<'_, R>, handover: Handover) {
        for record in handover.memory {
            self.tombstones.merge(record, ctx.now);
        }
        for answer in handover.answers {
            let id = answer.job.clone();
            if self.has_job(&id) {
                continue;
            }
            let mut job = Job::new(id.clone(), String::new(), Vec::new(), ctx.now, ctx.now);
            job.expires_at = ctx.now.after_millis(self.options.answer_retention_ms);
            job.phase = Phase::Ended(answer);
            self.ended_jobs.insert(id, job);
        }
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

/// Replies to a call for a known job, or adds it to the waiters of the job.
fn attach<R: Rng>(ctx: &mut Context<'_, R>, job: &mut Job, call: CallId, submit: &Submit) {
    let has_other_tasks = !job.tasks.is_empty() && job.tasks != submit.submission.tasks;
    if has_other_tasks {
        let detail = "field `id` was used before with other tasks";
        let refusal = Refusal::new(Reason::Invalid, 0).detail(detail);
        ctx.count_refusal(Reason::Invalid);
        ctx.reply(call, Response::Submit(SubmitReply::Refused(refusal)));
        return;
    }
    ctx.count(Count::Attached);
    if let Some(answer) = job.answer() {
        let reply = SubmitReply::Answer(answer.clone());
        ctx.reply(call, Response::Submit(reply));
    } else if !submit.wait && job.is_running() {
        ctx.reply(call, Response::Submit(SubmitReply::Accepted));
    } else {
        let waits_for = if submit.wait {
            WaitsFor::SubmitAnswer
        } else {
            WaitsFor::SubmitAcceptance
        };
        job.waiters.push(Waiter {
            call,
            waits_for,
            deadline: Time::MAX,
        });
    }
}

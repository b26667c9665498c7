//! Handling of batch reports: results, refusals and lost agents.

use rand::Rng;

use super::home::{Home, PendingCall};
use super::job::{TaskState, json_size};
use crate::Time;
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Reason, Refusal, Verdict};
use crate::link::{Ask, BatchId, BatchReport, LinkError, Outcome, Request, Response, TaskReport};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};

/// The maximum number of queries about a batch before its agent counts as lost.
const MAX_BATCH_QUERIES: u32 = 4;
/// The backoff between queries about a batch.
const BATCH_QUERY_BACKOFF: Backoff = Backoff::new(100, 800);
/// The backoff of a job whose retries exceed the retry budget.
const PLACEMENT_BACKOFF: Backoff = Backoff::new(20, 1_000);
/// The maximum size of an answer in bytes. Stays below the maximum message size of a link.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Retry delay in milliseconds for a job that needs a lost agent to be replaced.
const RETRY_LOST_AGENT_MS: u64 = 1_000;

impl Home {
    /// Handles the response to a call about a batch, or its failure. `queries` is 0 if the call
    /// sent the batch.
    pub(super) fn handle_batch_response<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        batch: BatchId,
        queries: u32,
        result: Result<Response, LinkError>,
    ) {
        if !self.batches.contains_key(&batch) {
            return;
        }
        match (result, queries) {
            (Ok(Response::Run(report)), _) => self.apply_report(ctx, batch, &report),
            (Ok(Response::Refused(refusal)), 0) => self.requeue_batch(ctx, batch, &refusal),
            (Ok(Response::Refused(refusal)), _)
                if refusal.reason == Reason::Cancelled
                    && !self.is_past_deadline(ctx.now, batch) =>
            {
                self.requeue_batch(ctx, batch, &refusal);
            }
            (Ok(Response::Refused(refusal)), _) if refusal.reason == Reason::WrongAgent => {
                self.fail_lost_batch(ctx, batch);
            }
            (Err(LinkError::NotSent | LinkError::Rejected), 0) => {
                self.handle_unsent_batch(ctx, batch);
            }
            (Err(LinkError::Lost), 0) => self.query_batch(ctx, batch, 1, true),
            (Ok(_) | Err(_), _) => self.schedule_query(ctx, batch, queries),
        }
    }

    /// Returns whether the deadline of a batch has passed. Its agent may then have removed the
    /// record of a batch that ran.
    fn is_past_deadline(&self, now: Time, batch: BatchId) -> bool {
        self.batches
            .get(&batch)
            .is_none_or(|sent| now >= sent.deadline)
    }

    /// Applies a batch report. Outcomes that were reported before are ignored.
    fn apply_report<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        batch: BatchId,
        report: &BatchReport,
    ) {
        let Some(sent) = self.batches.get_mut(&batch) else {
            return;
        };
        let agent = sent.agent.clone();
        let id = sent.job.clone();
        let open_tasks = sent.tasks.len();
        let new_reports: Vec<&TaskReport> = report
            .tasks
            .iter()
            .filter(|task| sent.tasks.contains(&task.task))
            .collect();
        sent.tasks
            .retain(|task| new_reports.iter().all(|report| report.task != *task));
        let has_missing_tasks = !report.running && !sent.tasks.is_empty();
        self.fleet.update_load(&agent, report.load, ctx.now);
        let refused = new_reports
            .iter()
            .filter(|report| matches!(report.outcome, Outcome::NotStarted(_)))
            .count();
        if refused == open_tasks {
            ctx.count(Count::Wasted(2));
        }
        // An agent without free slots gets no more tasks until it reports a new load. An endpoint
        // that refuses although its agent reports free slots would be chosen again at once, so such
        // a refusal needs the retry budget.
        let is_excluded_by_load = report.load.free == 0 && ctx.policy.binds_late();
        for task in new_reports {
            if !self.apply_outcome(ctx, &id, &agent, task, is_excluded_by_load) {
                return;
            }
        }
        if has_missing_tasks {
            self.fail_lost_batch(ctx, batch);
            return;
        }
        if report.running {
            self.query_batch(ctx, batch, 1, false);
        } else {
            self.batches.remove(&batch);
        }
        self.answer_if_complete(ctx, &id);
        self.notify_event_waiters(ctx, &id);
        self.place_tasks(ctx);
    }

    /// Applies the outcome of one task. Returns whether the job is still running.
    ///
    /// For `is_excluded_by_load`, see [`Home::requeue_task`].
    fn apply_outcome<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        agent: &AgentId,
        report: &TaskReport,
        is_excluded_by_load: bool,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if !job.is_running() {
            return false;
        }
        let index = report.task as usize;
        match &report.outcome {
            Outcome::Done { result, run_us } => {
                job.states[index] = TaskState::Done(result.clone());
                job.done += 1;
                job.possibly_started -= 1;
                job.result_bytes += json_size(result);
                if job.result_bytes > MAX_ANSWER_BYTES {
                    let detail = format!("the results exceed {MAX_ANSWER_BYTES} bytes");
                    self.fail(ctx, id, Refusal::new(Reason::TooLarge, 0).detail(detail));
                    return false;
                }
                let run_ms = run_us / 1_000;
                let started = Time::from_micros(ctx.now.as_micros().saturating_sub(*run_us));
                let detail = format!("{run_ms} ms before its report");
                job.record_event(
                    started,
                    EventKind::Started,
                    Some(report.task),
                    Some(agent),
                    detail,
                );
                let detail = format!("ran {run_ms} ms");
                job.record_event(
                    ctx.now,
                    EventKind::Done,
                    Some(report.task),
                    Some(agent),
                    detail,
                );
                self.observed_run_times
                    .record(id.team(), &job.tasks[index].kind, *run_us);
                true
            }
            Outcome::NotStarted(refusal) => {
                self.requeue_task(ctx, id, agent, report.task, refusal, is_excluded_by_load);
                true
            }
            Outcome::Failed(refusal) => {
                let detail = format!("task {} at {agent}: {}", report.task, refusal.detail);
                let refusal = Refusal::new(refusal.reason, refusal.retry_ms).detail(detail);
                self.fail(ctx, id, refusal);
                false
            }
        }
    }

    /// Returns a task that did not start to the placement queue.
    ///
    /// `is_excluded_by_load` is set if the refusal came with a load that prevents the agent from
    /// being chosen again. Other retries use the retry budget. If it is exhausted, the job backs
    /// off.
    fn requeue_task<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        agent: &AgentId,
        task: u32,
        refusal: &Refusal,
        is_excluded_by_load: bool,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.possibly_started -= 1;
        job.states[task as usize] = TaskState::Waiting;
        job.waiting_tasks.push_front(task);
        job.record_event(
            ctx.now,
            EventKind::Refused,
            Some(task),
            Some(agent),
            refusal.reason.as_str(),
        );
        let cause = match refusal.reason {
            Reason::Draining | Reason::NoEndpoint | Reason::WrongAgent => RetryCause::Leaving,
            Reason::Unreachable => RetryCause::NotSent,
            Reason::Cancelled => RetryCause::WithdrawnFromQueue,
            _ => RetryCause::NoFreeSlot,
        };
        ctx.count(Count::Retry(cause));
        if !is_excluded_by_load
            && cause != RetryCause::WithdrawnFromQueue
            && !self.retry_budget.try_take()
        {
            let delay = PLACEMENT_BACKOFF.delay_ms(job.retries, ctx.rng);
            job.retry_at = ctx.now.after_millis(delay);
            job.retries += 1;
        }
        if !self.placement_queue.contains(id) {
            self.placement_queue.push(id.clone());
        }
    }

    /// Requeues all tasks of a batch that did not start.
    fn requeue_batch<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        batch: BatchId,
        refusal: &Refusal,
    ) {
        let Some(sent) = self.batches.remove(&batch) else {
            return;
        };
        if matches!(refusal.reason, Reason::Draining | Reason::WrongAgent)
            && let Some(view) = self.fleet.get_mut(&sent.agent)
        {
            view.leaving = true;
        }
        ctx.count(Count::Wasted(2));
        for task in sent.tasks.into_iter().rev() {
            self.requeue_task(ctx, &sent.job, &sent.agent, task, refusal, false);
        }
        self.notify_event_waiters(ctx, &sent.job);
        self.place_tasks(ctx);
    }

    /// Marks the agent of a batch that could not be sent as unreachable, and requeues the tasks.
    fn handle_unsent_batch<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId) {
        if let Some(sent) = self.batches.get(&batch)
            && let Some(view) = self.fleet.get_mut(&sent.agent)
        {
            view.record_unreachable(ctx.now);
        }
        self.requeue_batch(ctx, batch, &Refusal::new(Reason::Unreachable, 0));
    }

    /// Queries the state of a batch. `repeat` requests all outcomes again, since an earlier report
    /// may be lost.
    fn query_batch<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        batch: BatchId,
        queries: u32,
        repeat: bool,
    ) {
        let Some(sent) = self.batches.get_mut(&batch) else {
            return;
        };
        sent.query_at = None;
        sent.queries = queries;
        let request = Request::Ask(Ask {
            home: ctx.own_id.clone(),
            batch,
            repeat,
        });
        let call = ctx.next_call();
        self.pending_calls
            .insert(call, PendingCall::Batch { batch, queries });
        if repeat {
            ctx.count(Count::Retry(RetryCause::Asked));
        }
        ctx.actions.push(AgentAction::call(
            call,
            sent.addr,
            &sent.agent,
            request,
            sent.deadline,
        ));
    }

    /// Schedules the next query about a batch, or fails its job after too many queries.
    fn schedule_query<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId, queries: u32) {
        if queries >= MAX_BATCH_QUERIES {
            self.fail_lost_batch(ctx, batch);
            return;
        }
        let delay = BATCH_QUERY_BACKOFF.delay_ms(queries - 1, ctx.rng);
        if let Some(sent) = self.batches.get_mut(&batch) {
            sent.query_at = Some(ctx.now.after_millis(delay));
        }
    }

    /// Sends the queries whose backoff has passed.
    pub(super) fn send_due_queries<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let mut due: Vec<(BatchId, u32)> = self
            .batches
            .iter()
            .filter(|(_, sent)| sent.query_at.is_some_and(|query_at| ctx.now >= query_at))
            .map(|(batch, sent)| (*batch, sent.queries))
            .collect();
        due.sort_unstable();
        for (batch, queries) in due {
            self.query_batch(ctx, batch, queries + 1, true);
        }
    }

    /// Fails the job of a batch whose agent is lost. Its tasks may have started, so none is
    /// retried.
    fn fail_lost_batch<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId) {
        let Some(sent) = self.batches.remove(&batch) else {
            return;
        };
        if let Some(view) = self.fleet.get_mut(&sent.agent) {
            view.record_unreachable(ctx.now);
        }
        let detail = format!(
            "agent {} was lost with {} tasks",
            sent.agent,
            sent.tasks.len()
        );
        let refusal = Refusal::new(Reason::AgentLost, RETRY_LOST_AGENT_MS).detail(detail);
        self.fail(ctx, &sent.job, refusal);
    }

    /// Answers a job if all its tasks have results.
    fn answer_if_complete<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_running() || job.done < job.task_count() {
            return;
        }
        let results = job
            .states
            .iter_mut()
            .filter_map(|state| match std::mem::replace(state, TaskState::Waiting) {
                TaskState::Done(result) => Some(result),
                TaskState::Waiting | TaskState::Sent => None,
            })
            .collect();
        self.finish(ctx, id, Verdict::Answered { results });
    }
}

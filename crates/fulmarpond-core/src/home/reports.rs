//! Reports of batches: results, refusals and lost agents.

use rand::Rng;

use super::home::{Home, Pending};
use super::job::{TaskState, json_size};
use crate::Time;
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Reason, Refusal, Verdict};
use crate::link::{Ask, BatchId, BatchReport, LinkError, Outcome, Request, Response, TaskReport};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};

/// How often an agent is asked about a batch before it counts as lost.
const ASKS_MAX: u32 = 4;
/// The delays between questions about a batch.
const ASK_BACKOFF: Backoff = Backoff::new(100, 800);
/// The delays of a job whose retries are over the budget.
const PLACE_BACKOFF: Backoff = Backoff::new(20, 1_000);
/// The largest answer in bytes. It stays below the largest message of a link.
const ANSWER_MAX: usize = 8 << 20;
/// Milliseconds after which a lost agent is expected to be replaced.
const RETRY_LOST_MS: u64 = 1_000;

impl Home {
    /// Handles the outcome of a call about a batch. `asks` is 0 if it sent the batch.
    pub(super) fn batch_response<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        batch: BatchId,
        asks: u32,
        result: Result<Response, LinkError>,
    ) {
        if !self.batches.contains_key(&batch) {
            return;
        }
        match (result, asks) {
            (Ok(Response::Run(report)), _) => self.apply(ctx, batch, &report),
            (Ok(Response::Refused(refusal)), 0) => self.not_started(ctx, batch, &refusal),
            (Ok(Response::Refused(refusal)), _)
                if refusal.reason == Reason::Cancelled && !self.is_late(ctx.now, batch) =>
            {
                self.not_started(ctx, batch, &refusal);
            }
            (Ok(Response::Refused(refusal)), _) if refusal.reason == Reason::WrongAgent => {
                self.lost(ctx, batch);
            }
            (Err(LinkError::NotSent | LinkError::Rejected), 0) => {
                self.not_sent(ctx, batch);
            }
            (Err(LinkError::Lost), 0) => self.ask(ctx, batch, 1, true),
            (Ok(_) | Err(_), _) => self.ask_later(ctx, batch, asks),
        }
    }

    /// Returns whether the deadline of a batch has passed, so that its agent may have forgotten it
    /// after it ran.
    fn is_late(&self, now: Time, batch: BatchId) -> bool {
        self.batches
            .get(&batch)
            .is_none_or(|sent| now >= sent.deadline)
    }

    /// Applies a report. Outcomes that were reported before are ignored.
    fn apply<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId, report: &BatchReport) {
        let Some(sent) = self.batches.get_mut(&batch) else {
            return;
        };
        let agent = sent.agent.clone();
        let id = sent.job.clone();
        let before = sent.tasks.len();
        let news: Vec<&TaskReport> = report
            .tasks
            .iter()
            .filter(|task| sent.tasks.contains(&task.task))
            .collect();
        sent.tasks
            .retain(|task| news.iter().all(|report| report.task != *task));
        let missing = !report.running && !sent.tasks.is_empty();
        self.fleet.update_load(&agent, report.load, ctx.now);
        let refused = news
            .iter()
            .filter(|report| matches!(report.outcome, Outcome::NotStarted(_)))
            .count();
        if refused == before {
            ctx.count(Count::Wasted(2));
        }
        // A full agent has no free slot in its load, so no task goes there again without news. An
        // endpoint that refuses although it has free slots would draw the task back at once.
        let corrected = report.load.free == 0 && ctx.policy.binds_late();
        for task in news {
            if !self.apply_task(ctx, &id, &agent, task, corrected) {
                return;
            }
        }
        if missing {
            self.lost(ctx, batch);
            return;
        }
        if report.running {
            self.ask(ctx, batch, 1, false);
        } else {
            self.batches.remove(&batch);
        }
        self.complete(ctx, &id);
        self.notify(ctx, &id);
        self.place(ctx);
    }

    /// Applies the outcome of one task. Returns whether the job goes on.
    ///
    /// `corrected` is as in [`Home::return_task`].
    fn apply_task<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        agent: &AgentId,
        report: &TaskReport,
        corrected: bool,
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
                job.exposed -= 1;
                job.bytes += json_size(result);
                if job.bytes > ANSWER_MAX {
                    let detail = format!("the results exceed {ANSWER_MAX} bytes");
                    self.fail(ctx, id, Refusal::new(Reason::TooLarge, 0).detail(detail));
                    return false;
                }
                let run_ms = run_us / 1_000;
                let started = Time::from_micros(ctx.now.as_micros().saturating_sub(*run_us));
                let detail = format!("{run_ms} ms before its report");
                job.note(
                    started,
                    EventKind::Started,
                    Some(report.task),
                    Some(agent),
                    detail,
                );
                let detail = format!("ran {run_ms} ms");
                job.note(
                    ctx.now,
                    EventKind::Done,
                    Some(report.task),
                    Some(agent),
                    detail,
                );
                self.observed
                    .record(id.team(), &job.tasks[index].kind, *run_us);
                true
            }
            Outcome::NotStarted(refusal) => {
                self.return_task(ctx, id, agent, report.task, refusal, corrected);
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

    /// Puts a task that did not start back in line.
    ///
    /// `corrected` says that the refusal came with a load that keeps the task away from the agent.
    /// Other retries need the budget, or the job is held back for a time.
    fn return_task<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        agent: &AgentId,
        task: u32,
        refusal: &Refusal,
        corrected: bool,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.exposed -= 1;
        job.states[task as usize] = TaskState::Waiting;
        job.pending.push_front(task);
        job.note(
            ctx.now,
            EventKind::Refused,
            Some(task),
            Some(agent),
            refusal.reason.as_str(),
        );
        let cause = match refusal.reason {
            Reason::Draining | Reason::NoEndpoint | Reason::WrongAgent => RetryCause::Leaving,
            Reason::Unreachable => RetryCause::NotSent,
            Reason::Cancelled => RetryCause::Moved,
            _ => RetryCause::Full,
        };
        ctx.count(Count::Retry(cause));
        if !corrected && cause != RetryCause::Moved && !self.budget.take() {
            let delay = PLACE_BACKOFF.delay_ms(job.retries, ctx.rng);
            job.resume = ctx.now.after_millis(delay);
            job.retries += 1;
        }
        if !self.line.contains(id) {
            self.line.push(id.clone());
        }
    }

    /// Returns all tasks of a batch of which none started.
    fn not_started<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId, refusal: &Refusal) {
        let Some(sent) = self.batches.remove(&batch) else {
            return;
        };
        if matches!(refusal.reason, Reason::Draining | Reason::WrongAgent)
            && let Some(machine) = self.fleet.get_mut(&sent.agent)
        {
            machine.leaving = true;
        }
        ctx.count(Count::Wasted(2));
        for task in sent.tasks.into_iter().rev() {
            self.return_task(ctx, &sent.job, &sent.agent, task, refusal, false);
        }
        self.notify(ctx, &sent.job);
        self.place(ctx);
    }

    /// Handles a batch that no connection carried.
    fn not_sent<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId) {
        if let Some(sent) = self.batches.get(&batch)
            && let Some(machine) = self.fleet.get_mut(&sent.agent)
        {
            machine.unreachable(ctx.now);
        }
        self.not_started(ctx, batch, &Refusal::new(Reason::Unreachable, 0));
    }

    /// Asks the agent what became of a batch. `repeat` says that an earlier report may be lost.
    fn ask<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId, asks: u32, repeat: bool) {
        let Some(sent) = self.batches.get_mut(&batch) else {
            return;
        };
        sent.ask = None;
        sent.asks = asks;
        let request = Request::Ask(Ask {
            home: ctx.me.clone(),
            batch,
            repeat,
        });
        let call = ctx.next_call();
        self.pending.insert(call, Pending::Batch { batch, asks });
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

    /// Asks again after a delay, or gives the batch up.
    fn ask_later<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId, asks: u32) {
        if asks >= ASKS_MAX {
            self.lost(ctx, batch);
            return;
        }
        let delay = ASK_BACKOFF.delay_ms(asks - 1, ctx.rng);
        if let Some(sent) = self.batches.get_mut(&batch) {
            sent.ask = Some(ctx.now.after_millis(delay));
        }
    }

    /// Asks about the batches whose delay has passed.
    pub(super) fn ask_due<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        let mut due: Vec<(BatchId, u32)> = self
            .batches
            .iter()
            .filter(|(_, sent)| sent.ask.is_some_and(|ask| ctx.now >= ask))
            .map(|(batch, sent)| (*batch, sent.asks))
            .collect();
        due.sort_unstable();
        for (batch, asks) in due {
            self.ask(ctx, batch, asks + 1, true);
        }
    }

    /// Gives up a batch whose agent is lost: its tasks may have started, so none is sent again.
    fn lost<R: Rng>(&mut self, ctx: &mut Context<'_, R>, batch: BatchId) {
        let Some(sent) = self.batches.remove(&batch) else {
            return;
        };
        if let Some(machine) = self.fleet.get_mut(&sent.agent) {
            machine.unreachable(ctx.now);
        }
        let detail = format!("{} was lost with {} tasks", sent.agent, sent.tasks.len());
        let refusal = Refusal::new(Reason::AgentLost, RETRY_LOST_MS).detail(detail);
        self.fail(ctx, &sent.job, refusal);
    }

    /// Answers a job whose tasks all have results.
    fn complete<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
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

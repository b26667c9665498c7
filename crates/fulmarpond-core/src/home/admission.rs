//! Admission and acceptance of submitted jobs.

use rand::Rng;

use super::home::Home;
use super::job::{Job, Phase, Waiter, WaitsFor};
use crate::Time;
use crate::agent::{Context, Count};
use crate::contract::{Answer, Attempt, EventKind, JobId, Reason, Refusal, Submission, Verdict};
use crate::link::{CallId, Response, Submit, SubmitReply, Tombstone};

/// Retry delay in milliseconds after a refusal because of load.
const RETRY_OVERLOAD_MS: u64 = 200;
/// Retry delay in milliseconds after a refusal of a job that belongs at another agent, for example
/// because this one is draining.
const RETRY_OTHER_AGENT_MS: u64 = 50;
/// Retry delay in milliseconds for a job that needs a lost agent to be replaced.
const RETRY_LOST_AGENT_MS: u64 = 1_000;

impl Home {
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

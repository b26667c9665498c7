//! Completion of jobs: final answers and failures.

use rand::Rng;

use super::home::Home;
use super::job::{Phase, TaskState, WaitsFor};
use crate::agent::{AgentAction, Context};
use crate::contract::{Answer, EventKind, JobId, Refusal, Verdict};
use crate::link::{FetchReply, Response, SubmitReply, Tombstone};

impl Home {
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
}

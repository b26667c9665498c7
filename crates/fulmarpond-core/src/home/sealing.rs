//! Seals: ruling out that another candidate accepted or will accept a job.

use rand::Rng;

use super::home::{Home, Pending};
use super::job::{Job, Phase, Wants};
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Reason, Refusal, Verdict};
use crate::link::{
    CallId, FetchReply, LinkError, Request, Response, Seal, SealReply, SubmitReply, Tombstone,
};
use crate::machine::AgentId;

/// How long a candidate may take to grant its seal, in milliseconds.
const SEAL_MS: u64 = 1_000;
/// Milliseconds after which an unreachable candidate is expected back.
const RETRY_SEAL_MS: u64 = 1_000;

impl Home {
    /// Handles [`Request::Seal`].
    pub(crate) fn seal<R: Rng>(&mut self, ctx: &mut Context<'_, R>, call: CallId, seal: &Seal) {
        let reply = self.seal_reply(ctx, seal);
        if reply == SealReply::Granted {
            ctx.count(Count::SealGranted);
        }
        ctx.reply(call, Response::Seal(reply));
    }

    fn seal_reply<R: Rng>(&mut self, ctx: &Context<'_, R>, seal: &Seal) -> SealReply {
        let sealing = |job: &Job| matches!(job.phase, Phase::Sealing { .. });
        if self.has(&seal.job) && !self.jobs.get(&seal.job).is_some_and(sealing) {
            return SealReply::Known;
        }
        match self.memory.get(&seal.job) {
            Some(Tombstone::Accepted) => SealReply::Forgotten,
            Some(Tombstone::Sealed { holder }) if *holder == seal.holder => SealReply::Granted,
            Some(Tombstone::Sealed { holder }) => SealReply::Held {
                holder: holder.clone(),
            },
            None => {
                let keep_ms = seal.keep_ms.max(self.options.memory_ms);
                let forget = ctx.now.after_millis(keep_ms);
                self.memory.seal(&seal.job, &seal.holder, forget);
                SealReply::Granted
            }
        }
    }

    /// Obtains the next seal of a job, or accepts the job once all are obtained.
    pub(super) fn seal_next<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
        while let Some(agent) = self.next_in_list(id) {
            match ctx.roster.keeper(&agent) {
                None => {
                    if !self.skip_unreachable(ctx, id) {
                        return;
                    }
                }
                Some(keeper) if keeper.agent == *ctx.me => {
                    if !self.seal_own(ctx, id) {
                        return;
                    }
                    self.advance(id);
                }
                Some(keeper) => {
                    let call = ctx.next_call();
                    let seal = Seal {
                        job: id.clone(),
                        holder: ctx.me.clone(),
                        keep_ms: self.options.memory_ms,
                    };
                    let deadline = ctx.now.after_millis(SEAL_MS);
                    self.pending.insert(call, Pending::Seal(id.clone()));
                    let request = Request::Seal(seal);
                    let action =
                        AgentAction::call(call, keeper.addr, &keeper.agent, request, deadline);
                    ctx.actions.push(action);
                    return;
                }
            }
        }
        if !self.jobs.contains_key(id) || !self.seal_own(ctx, id) {
            return;
        }
        // The roster may have changed while the process was paused between two seals.
        if ctx.paused && !self.is_tolerant(id) {
            self.give_up(ctx, id, "the process was paused while it sealed the job");
            return;
        }
        self.accept(ctx, id);
    }

    fn next_in_list(&self, id: &JobId) -> Option<AgentId> {
        match &self.jobs.get(id)?.phase {
            Phase::Sealing { list, next, .. } => list.get(*next).cloned(),
            _ => None,
        }
    }

    fn advance(&mut self, id: &JobId) {
        if let Some(Phase::Sealing { next, .. }) = self.jobs.get_mut(id).map(|job| &mut job.phase) {
            *next += 1;
        }
    }

    /// Takes the own seal. Returns whether the job may go on.
    fn seal_own<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) -> bool {
        match self.memory.get(id) {
            Some(Tombstone::Accepted) => {
                self.finish(ctx, id, Verdict::may_have(Reason::HomeLost, 0));
                false
            }
            Some(Tombstone::Sealed { holder }) if holder != ctx.me => {
                let holder = holder.clone();
                self.yield_to(ctx, id, &holder);
                false
            }
            Some(Tombstone::Sealed { .. }) => true,
            None => {
                let forget = ctx.now.after_millis(self.options.memory_ms);
                self.memory.seal(id, ctx.me, forget);
                true
            }
        }
    }

    /// Handles the reply of a candidate.
    pub(super) fn seal_response<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        result: Result<Response, LinkError>,
    ) {
        let Some(agent) = self.next_in_list(id) else {
            return;
        };
        match result {
            Ok(Response::Seal(SealReply::Granted)) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.note(
                        ctx.now,
                        EventKind::Sealed,
                        None,
                        Some(&agent),
                        "seal granted",
                    );
                }
                self.advance(id);
                self.seal_next(ctx, id);
            }
            Ok(Response::Seal(SealReply::Known)) => self.yield_to(ctx, id, &agent),
            Ok(Response::Seal(SealReply::Forgotten)) => {
                self.finish(ctx, id, Verdict::may_have(Reason::HomeLost, 0));
            }
            Ok(Response::Seal(SealReply::Held { holder })) if holder == *ctx.me => {
                self.advance(id);
                self.seal_next(ctx, id);
            }
            Ok(Response::Seal(SealReply::Held { holder })) => self.yield_to(ctx, id, &holder),
            Ok(_) | Err(_) => {
                if self.skip_unreachable(ctx, id) {
                    self.seal_next(ctx, id);
                }
            }
        }
    }

    /// Skips an unreachable candidate if the caller stated that there was no earlier attempt.
    /// Otherwise ends the attempt. Returns whether the job may go on.
    fn skip_unreachable<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) -> bool {
        if !self.jobs.contains_key(id) {
            return false;
        }
        if self.is_tolerant(id) {
            self.advance(id);
            return true;
        }
        let agent = self.next_in_list(id);
        let name = agent.as_ref().map_or("", AgentId::as_str);
        self.give_up(
            ctx,
            id,
            &format!("{name} may know the job and can't be reached"),
        );
        false
    }

    /// Returns whether the caller stated that there was no earlier attempt of a job that is sealed.
    fn is_tolerant(&self, id: &JobId) -> bool {
        let phase = self.jobs.get(id).map(|job| &job.phase);
        matches!(phase, Some(Phase::Sealing { tolerant: true, .. }))
    }

    /// Ends an attempt whose seals can't be had. The record is dropped, so that a later attempt
    /// tries again.
    fn give_up<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId, detail: &str) {
        let refusal = Refusal::new(Reason::SealUnreachable, RETRY_SEAL_MS).detail(detail);
        self.finish(ctx, id, Verdict::MayHaveRun(refusal));
        self.ended.remove(id);
    }

    /// Leaves a job to the agent that has it or holds its seal.
    fn yield_to<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId, holder: &AgentId) {
        let Some(keeper) = ctx.roster.keeper(holder) else {
            self.give_up(ctx, id, &format!("{holder} holds the seal and is lost"));
            return;
        };
        let agent = keeper.agent.clone();
        let forget = ctx.now.after_millis(self.options.memory_ms);
        self.memory.seal(id, &agent, forget);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for waiter in job.waiters {
            let agent = agent.clone();
            let response = match waiter.wants {
                Wants::Answer | Wants::Acceptance => {
                    Response::Submit(SubmitReply::Redirect { agent })
                }
                Wants::Fetched => Response::Fetch(FetchReply::Redirect { agent }),
                Wants::Events(_) => Response::Events(None),
            };
            ctx.reply(waiter.call, response);
        }
    }
}

//! Sealing of jobs, which ensures that no other candidate accepted or will accept a job.

use rand::Rng;

use super::home::{Home, PendingCall};
use super::job::{Job, Phase, WaitsFor};
use crate::agent::{AgentAction, Context, Count};
use crate::contract::{EventKind, JobId, Reason, Refusal, Verdict};
use crate::link::{
    CallId, FetchReply, LinkError, Request, Response, Seal, SealReply, SubmitReply, Tombstone,
};
use crate::machine::AgentId;

/// The timeout of a seal request in milliseconds.
const SEAL_TIMEOUT_MS: u64 = 1_000;
/// Retry delay in milliseconds after a candidate could not be reached.
const RETRY_UNREACHABLE_MS: u64 = 1_000;

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
        let is_sealing = |job: &Job| matches!(job.phase, Phase::Sealing { .. });
        if self.has_job(&seal.job) && !self.jobs.get(&seal.job).is_some_and(is_sealing) {
            return SealReply::Known;
        }
        match self.tombstones.get(&seal.job) {
            Some(Tombstone::Accepted) => SealReply::Forgotten,
            Some(Tombstone::Sealed { holder }) if *holder == seal.holder => SealReply::Granted,
            Some(Tombstone::Sealed { holder }) => SealReply::Held {
                holder: holder.clone(),
            },
            None => {
                let keep_ms = seal.keep_ms.max(self.options.tombstone_retention_ms);
                let expires_at = ctx.now.after_millis(keep_ms);
                self.tombstones
                    .record_seal(&seal.job, &seal.holder, expires_at);
                SealReply::Granted
            }
        }
    }

    /// Requests the next seal of a job, or accepts the job once all seals are granted.
    pub(super) fn request_next_seal<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
        while let Some(agent) = self.next_seal_candidate(id) {
            match ctx.roster.tombstone_holder(&agent) {
                None => {
                    if !self.skip_unreachable(ctx, id) {
                        return;
                    }
                }
                Some(owner) if owner.agent == *ctx.own_id => {
                    if !self.take_own_seal(ctx, id) {
                        return;
                    }
                    self.advance_seal_list(id);
                }
                Some(owner) => {
                    let call = ctx.next_call();
                    let seal = Seal {
                        job: id.clone(),
                        holder: ctx.own_id.clone(),
                        keep_ms: self.options.tombstone_retention_ms,
                    };
                    let deadline = ctx.now.after_millis(SEAL_TIMEOUT_MS);
                    self.pending_calls
                        .insert(call, PendingCall::Seal(id.clone()));
                    let request = Request::Seal(seal);
                    let action =
                        AgentAction::call(call, owner.addr, &owner.agent, request, deadline);
                    ctx.actions.push(action);
                    return;
                }
            }
        }
        if !self.jobs.contains_key(id) || !self.take_own_seal(ctx, id) {
            return;
        }
        // The roster may have changed while the process was paused between two seal requests.
        if ctx.was_paused && !self.can_skip_unreachable(id) {
            self.fail_sealing(ctx, id, "the process was paused while it sealed the job");
            return;
        }
        self.accept(ctx, id);
    }

    fn next_seal_candidate(&self, id: &JobId) -> Option<AgentId> {
        match &self.jobs.get(id)?.phase {
            Phase::Sealing { list, next, .. } => list.get(*next).cloned(),
            _ => None,
        }
    }

    fn advance_seal_list(&mut self, id: &JobId) {
        if let Some(Phase::Sealing { next, .. }) = self.jobs.get_mut(id).map(|job| &mut job.phase) {
            *next += 1;
        }
    }

    /// Grants the seal of this agent to itself. Returns whether sealing may continue.
    fn take_own_seal<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) -> bool {
        match self.tombstones.get(id) {
            Some(Tombstone::Accepted) => {
                self.finish(ctx, id, Verdict::new_may_have_run(Reason::HomeLost, 0));
                false
            }
            Some(Tombstone::Sealed { holder }) if holder != ctx.own_id => {
                let holder = holder.clone();
                self.redirect_to(ctx, id, &holder);
                false
            }
            Some(Tombstone::Sealed { .. }) => true,
            None => {
                let expires_at = ctx.now.after_millis(self.options.tombstone_retention_ms);
                self.tombstones.record_seal(id, ctx.own_id, expires_at);
                true
            }
        }
    }

    /// Handles the response to a seal request, or its failure.
    pub(super) fn handle_seal_response<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        id: &JobId,
        result: Result<Response, LinkError>,
    ) {
        let Some(agent) = self.next_seal_candidate(id) else {
            return;
        };
        match result {
            Ok(Response::Seal(SealReply::Granted)) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.record_event(
                        ctx.now,
                        EventKind::Sealed,
                        None,
                        Some(&agent),
                        "seal granted",
                    );
                }
                self.advance_seal_list(id);
                self.request_next_seal(ctx, id);
            }
            Ok(Response::Seal(SealReply::Known)) => self.redirect_to(ctx, id, &agent),
            Ok(Response::Seal(SealReply::Forgotten)) => {
                self.finish(ctx, id, Verdict::new_may_have_run(Reason::HomeLost, 0));
            }
            Ok(Response::Seal(SealReply::Held { holder })) if holder == *ctx.own_id => {
                self.advance_seal_list(id);
                self.request_next_seal(ctx, id);
            }
            Ok(Response::Seal(SealReply::Held { holder })) => self.redirect_to(ctx, id, &holder),
            Ok(_) | Err(_) => {
                if self.skip_unreachable(ctx, id) {
                    self.request_next_seal(ctx, id);
                }
            }
        }
    }

    /// Skips an unreachable candidate if the caller stated that there was no earlier attempt, and
    /// fails the attempt otherwise. Returns whether sealing may continue.
    fn skip_unreachable<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) -> bool {
        if !self.jobs.contains_key(id) {
            return false;
        }
        if self.can_skip_unreachable(id) {
            self.advance_seal_list(id);
            return true;
        }
        let agent = self.next_seal_candidate(id);
        let name = agent.as_ref().map_or("", AgentId::as_str);
        self.fail_sealing(
            ctx,
            id,
            &format!("agent {name} may have accepted the job and can't be reached"),
        );
        false
    }

    /// Returns whether a job is being sealed and its caller stated that there was no earlier
    /// attempt.
    fn can_skip_unreachable(&self, id: &JobId) -> bool {
        let phase = self.jobs.get(id).map(|job| &job.phase);
        matches!(
            phase,
            Some(Phase::Sealing {
                may_skip_unreachable: true,
                ..
            })
        )
    }

    /// Fails an attempt that can't be sealed. Removes the record, so that a later attempt can seal
    /// the job.
    fn fail_sealing<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId, detail: &str) {
        let refusal = Refusal::new(Reason::SealUnreachable, RETRY_UNREACHABLE_MS).detail(detail);
        self.finish(ctx, id, Verdict::MayHaveRun(refusal));
        self.ended_jobs.remove(id);
    }

    /// Removes a job and redirects its waiters to the agent that has it or holds its seal.
    fn redirect_to<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId, holder: &AgentId) {
        let Some(owner) = ctx.roster.tombstone_holder(holder) else {
            self.fail_sealing(
                ctx,
                id,
                &format!("agent {holder} holds the seal and was lost"),
            );
            return;
        };
        let agent = owner.agent.clone();
        let expires_at = ctx.now.after_millis(self.options.tombstone_retention_ms);
        self.tombstones.record_seal(id, &agent, expires_at);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for waiter in job.waiters {
            let agent = agent.clone();
            let response = match waiter.waits_for {
                WaitsFor::SubmitAnswer | WaitsFor::SubmitAcceptance => {
                    Response::Submit(SubmitReply::Redirect { agent })
                }
                WaitsFor::FetchAnswer => Response::Fetch(FetchReply::Redirect { agent }),
                WaitsFor::Events(_) => Response::Events(None),
            };
            ctx.reply(waiter.call, response);
        }
    }
}

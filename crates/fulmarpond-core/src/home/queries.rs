//! Queries and cancellation of jobs, and replies to the calls that wait for a job.

use rand::Rng;

use super::home::Home;
use super::job::{Waiter, WaitsFor};
use crate::agent::{AgentAction, Context};
use crate::contract::{JobId, Reason, Refusal};
use crate::link::{CallId, Cancel, Events, Fetch, FetchReply, Response, StatusRequest, Tombstone};

impl Home {
    /// Handles [`Request::Fetch`](crate::link::Request::Fetch).
    pub(crate) fn fetch<R: Rng>(&mut self, ctx: &mut Context<'_, R>, call: CallId, fetch: &Fetch) {
        let reply = match self.job_mut(&fetch.job) {
            Some(job) => match job.answer() {
                Some(answer) => FetchReply::Answer(answer.clone()),
                None if fetch.wait_ms == 0 => FetchReply::Pending,
                None => {
                    let deadline = ctx.now.after_millis(fetch.wait_ms);
                    job.waiters.push(Waiter {
                        call,
                        waits_for: WaitsFor::FetchAnswer,
                        deadline,
                    });
                    return;
                }
            },
            None => self.fetch_reply_from_tombstone(ctx, &fetch.job),
        };
        ctx.reply(call, Response::Fetch(reply));
    }

    fn fetch_reply_from_tombstone<R: Rng>(&self, ctx: &Context<'_, R>, job: &JobId) -> FetchReply {
        match self.tombstones.get(job) {
            Some(Tombstone::Accepted) => FetchReply::Forgotten,
            Some(Tombstone::Sealed { holder }) if holder != ctx.own_id => FetchReply::Redirect {
                agent: holder.clone(),
            },
            _ => FetchReply::Unknown,
        }
    }

    /// Handles [`Request::Status`](crate::link::Request::Status).
    pub(crate) fn status<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        request: &StatusRequest,
    ) {
        let status = self.job_mut(&request.job).map(|job| job.status(ctx.own_id));
        ctx.reply(call, Response::Status(status));
    }

    /// Handles [`Request::Events`](crate::link::Request::Events).
    pub(crate) fn events<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        request: &Events,
    ) {
        let reply = match self.job_mut(&request.job) {
            None => None,
            Some(job) if request.wait_ms > 0 && !job.has_events(request.from) => {
                let deadline = ctx.now.after_millis(request.wait_ms);
                let waits_for = WaitsFor::Events(request.from);
                job.waiters.push(Waiter {
                    call,
                    waits_for,
                    deadline,
                });
                return;
            }
            Some(job) => Some(job.events_from(request.from)),
        };
        ctx.reply(call, Response::Events(reply));
    }

    /// Handles [`Request::Cancel`](crate::link::Request::Cancel).
    pub(crate) fn cancel<R: Rng>(
        &mut self,
        ctx: &mut Context<'_, R>,
        call: CallId,
        cancel: &Cancel,
    ) {
        if self.jobs.contains_key(&cancel.job) {
            self.fail(ctx, &cancel.job, Refusal::new(Reason::Cancelled, 0));
        }
        let fetch = Fetch {
            job: cancel.job.clone(),
            wait_ms: 0,
        };
        self.fetch(ctx, call, &fetch);
    }

    pub(super) fn expire_waiters<R: Rng>(&mut self, ctx: &mut Context<'_, R>) {
        for job in self.jobs.values_mut() {
            if job.waiters.iter().all(|waiter| ctx.now < waiter.deadline) {
                continue;
            }
            let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut job.waiters)
                .into_iter()
                .partition(|waiter| ctx.now >= waiter.deadline);
            job.waiters = waiting;
            for waiter in due {
                let response = match waiter.waits_for {
                    WaitsFor::Events(from) => Response::Events(Some(job.events_from(from))),
                    _ => Response::Fetch(FetchReply::Pending),
                };
                ctx.actions.push(AgentAction::Reply {
                    call: waiter.call,
                    response,
                });
            }
        }
    }

    /// Replies to the calls that wait for new events of a job.
    pub(super) fn notify_event_waiters<R: Rng>(&mut self, ctx: &mut Context<'_, R>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut index = 0;
        while index < job.waiters.len() {
            match job.waiters[index].waits_for {
                WaitsFor::Events(from) if job.has_events(from) => {
                    let call = job.waiters.swap_remove(index).call;
                    let response = Response::Events(Some(job.events_from(from)));
                    ctx.reply(call, response);
                }
                _ => index += 1,
            }
        }
    }
}

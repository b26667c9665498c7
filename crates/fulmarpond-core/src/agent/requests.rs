//! Requests to an agent, which its home or its runner handles.

use rand::Rng;

use super::agent::Agent;
use super::stop::StopPhase;
use super::{AgentAction, Count};
use crate::Time;
use crate::contract::{Reason, Refusal};
use crate::link::{CallId, Envelope, Request, Response};

impl Agent {
    pub(super) fn handle_request<R: Rng>(
        &mut self,
        now: Time,
        call: CallId,
        envelope: Envelope,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        if envelope
            .to
            .as_ref()
            .is_some_and(|to| *to != self.options.id)
        {
            let response = Response::Refused(Refusal::new(Reason::WrongAgent, 0));
            actions.push(AgentAction::Reply { call, response });
            return;
        }
        if let Some(refusal) = self.check_state(now, &envelope.request) {
            actions.push(AgentAction::Count(Count::NotRun(refusal.reason)));
            let response = Response::Refused(refusal);
            actions.push(AgentAction::Reply { call, response });
            return;
        }
        self.with_context(now, rng, actions, |home, runner, ctx| {
            match envelope.request {
                Request::Submit(submit) => home.submit(ctx, call, *submit),
                Request::Fetch(fetch) => home.fetch(ctx, call, &fetch),
                Request::Status(request) => home.status(ctx, call, &request),
                Request::Events(request) => home.events(ctx, call, &request),
                Request::Cancel(cancel) => home.cancel(ctx, call, &cancel),
                Request::Seal(seal) => home.seal(ctx, call, &seal),
                Request::Run(batch) => runner.run(ctx, call, batch),
                Request::Reserve(reserve) => runner.reserve(ctx, call, reserve),
                Request::Withdraw(withdraw) => runner.withdraw(ctx, call, withdraw),
                Request::Ask(ask) => runner.ask(ctx, call, ask),
                Request::Handover(handover) => {
                    home.merge_handover(ctx, handover);
                    ctx.reply(call, Response::Done);
                }
                Request::Announce(_) | Request::Leave(_) => {
                    let refusal =
                        Refusal::new(Reason::Invalid, 0).detail("only entries handle this request");
                    ctx.reply(call, Response::Refused(refusal));
                }
            }
        });
    }

    /// Returns a refusal if the request adds jobs or tombstones and the agent can't accept them
    /// because it is stopping or its roster is stale.
    fn check_state(&self, now: Time, request: &Request) -> Option<Refusal> {
        let adds_records = matches!(
            request,
            Request::Submit(_) | Request::Seal(_) | Request::Handover(_)
        );
        if !adds_records {
            return None;
        }
        // Tombstones that are added after the handover began would be lost.
        if !matches!(
            self.stop_phase,
            StopPhase::NotStopping | StopPhase::Draining
        ) {
            return Some(Refusal::new(Reason::Draining, 0));
        }
        if self.stop_phase == StopPhase::Draining && matches!(request, Request::Handover(_)) {
            return Some(Refusal::new(Reason::Draining, 0));
        }
        let is_stale = matches!(request, Request::Submit(_)) && self.is_stale(now);
        is_stale.then(|| Refusal::new(Reason::StaleRoster, self.options.announce_ms))
    }
}

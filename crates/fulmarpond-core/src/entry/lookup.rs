//! Lookups of jobs: queries sent to the agents that may know a job.

use std::collections::VecDeque;

use rand::Rng;

use super::action::CallerReply;
use super::entry::{Entry, PendingCall, Step};
use crate::contract::{Answer, JobId, Reason, Refusal, Verdict};
use crate::link::{
    CallId, Cancel, Envelope, Events, Fetch, FetchReply, LinkError, Request, Response,
    StatusRequest,
};
use crate::machine::AgentId;

/// The time allowed for the reply of an agent in addition to the requested wait.
const REPLY_MARGIN_MS: u64 = 1_000;
/// The retry delay suggested to callers when an agent that may know the job is unreachable.
const UNREACHABLE_RETRY_MS: u64 = 500;
/// The maximum number of agents that one lookup queries.
const MAX_TARGETS: u32 = 16;

/// A query about a job.
#[derive(Debug, Clone)]
pub(super) enum JobQuery {
    /// Get the answer, waiting up to this many milliseconds.
    Fetch(u64),
    /// Get the state.
    Status,
    /// Get the events from the first number on, waiting up to the second number of milliseconds.
    Events(u64, u64),
    /// Cancel the job.
    Cancel,
}

/// A lookup in progress.
#[derive(Debug)]
pub(super) struct Lookup {
    job: JobId,
    query: JobQuery,
    /// The agents still to query, most likely first.
    targets: VecDeque<AgentId>,
    /// The number of agents queried so far.
    asked_count: u32,
    /// Whether an agent that may know the job could not be queried or did not reply.
    is_incomplete: bool,
    /// Whether an agent has accepted the job but already evicted its record.
    is_forgotten: bool,
}

impl Entry {
    /// Queries the agents that may know a job one after the other, most likely first.
    pub(super) fn look_up<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        job: JobId,
        query: JobQuery,
    ) {
        let mut targets = VecDeque::new();
        let mut is_incomplete = false;
        for member in self.roster.seal_list(&job) {
            match self.roster.tombstone_holder(&member.agent) {
                Some(holder) if !targets.contains(&holder.agent) => {
                    targets.push_back(holder.agent.clone());
                }
                Some(_) => {}
                None => is_incomplete = true,
            }
        }
        let lookup = Lookup {
            job,
            query,
            targets,
            asked_count: 0,
            is_incomplete,
            is_forgotten: false,
        };
        self.lookups.insert(call, lookup);
        self.ask_next_target(step, call);
    }

    fn ask_next_target<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(lookup) = self.lookups.get_mut(&call) else {
            return;
        };
        let target = lookup.targets.pop_front();
        let member = target.and_then(|agent| self.roster.get(&agent));
        let Some(member) = member.filter(|_| lookup.asked_count < MAX_TARGETS) else {
            self.answer_not_found(step, call);
            return;
        };
        lookup.asked_count += 1;
        let job = lookup.job.clone();
        let (request, wait_ms) = match lookup.query {
            JobQuery::Fetch(wait_ms) => (Request::Fetch(Fetch { job, wait_ms }), wait_ms),
            JobQuery::Status => (Request::Status(StatusRequest { job }), 0),
            JobQuery::Events(from, wait_ms) => {
                (Request::Events(Events { job, from, wait_ms }), wait_ms)
            }
            JobQuery::Cancel => (Request::Cancel(Cancel { job }), 0),
        };
        let envelope = Envelope {
            to: Some(member.agent.clone()),
            request,
        };
        let deadline = step
            .now
            .after_millis(wait_ms.saturating_add(REPLY_MARGIN_MS));
        let addr = member.addr;
        self.call_agent(step, addr, envelope, deadline, PendingCall::Lookup(call));
    }

    fn answer_not_found<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(lookup) = self.lookups.remove(&call) else {
            return;
        };
        let reply = if lookup.is_forgotten {
            let verdict = Verdict::new_may_have_run(Reason::HomeLost, 0);
            CallerReply::Answer(Answer::new(&lookup.job, verdict))
        } else if lookup.is_incomplete {
            let detail = "an agent that may know the job can't be reached";
            CallerReply::Refused(
                Refusal::new(Reason::Unreachable, UNREACHABLE_RETRY_MS).detail(detail),
            )
        } else {
            CallerReply::Unknown(lookup.job)
        };
        step.answer(call, reply);
    }

    /// Handles the response of an agent to a query.
    pub(super) fn handle_lookup_response<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&call) else {
            return;
        };
        let reply = match result {
            Ok(Response::Fetch(FetchReply::Answer(answer))) => Some(CallerReply::Answer(answer)),
            Ok(Response::Fetch(FetchReply::Pending)) => {
                Some(CallerReply::Pending(lookup.job.clone()))
            }
            Ok(Response::Fetch(FetchReply::Forgotten)) => {
                lookup.is_forgotten = true;
                None
            }
            Ok(Response::Fetch(FetchReply::Redirect { agent })) => {
                if let Some(holder) = self.roster.tombstone_holder(&agent) {
                    lookup.targets.push_front(holder.agent.clone());
                } else {
                    lookup.is_incomplete = true;
                }
                None
            }
            Ok(Response::Status(Some(status))) => Some(CallerReply::Status(status)),
            Ok(Response::Events(Some(events))) => Some(CallerReply::Events(events)),
            Ok(
                Response::Fetch(FetchReply::Unknown)
                | Response::Status(None)
                | Response::Events(None),
            ) => None,
            Ok(_) | Err(_) => {
                lookup.is_incomplete = true;
                None
            }
        };
        match reply {
            Some(reply) => {
                self.lookups.remove(&call);
                step.answer(call, reply);
            }
            None => self.ask_next_target(step, call),
        }
    }
}

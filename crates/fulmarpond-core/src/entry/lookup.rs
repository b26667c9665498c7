//! Questions about jobs, sent to the agents that may know them.

use std::collections::VecDeque;

use rand::Rng;

use super::action::CallerReply;
use super::entry::{Entry, Pending, Step};
use crate::contract::{Answer, JobId, Reason, Refusal, Verdict};
use crate::link::{
    CallId, Cancel, Envelope, Events, Fetch, FetchReply, LinkError, Request, Response,
    StatusRequest,
};
use crate::machine::AgentId;

/// How long an agent may take to reply beyond the wait that was asked for, in milliseconds.
const REPLY_MS: u64 = 1_000;
/// Milliseconds after which an unreachable candidate is expected back.
const RETRY_MS: u64 = 500;
/// The agents that one question goes to at most.
const TARGETS_MAX: u32 = 16;

/// A question about a job.
#[derive(Debug, Clone)]
pub(super) enum Question {
    /// The answer, within a wait in milliseconds.
    Fetch(u64),
    /// The state.
    Status,
    /// The events from a number on, within a wait in milliseconds.
    Events(u64, u64),
    /// Its cancellation.
    Cancel,
}

/// A question on its way.
#[derive(Debug)]
pub(super) struct Lookup {
    job: JobId,
    question: Question,
    targets: VecDeque<AgentId>,
    asked: u32,
    /// Whether an agent that may know the job did not reply.
    incomplete: bool,
    /// Whether an agent accepted the job but no longer has its record.
    forgotten: bool,
}

impl Entry {
    /// Asks the agents that may know a job, most likely first.
    pub(super) fn look_up<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        job: JobId,
        question: Question,
    ) {
        let mut targets = VecDeque::new();
        let mut incomplete = false;
        for member in self.roster.seal_list(&job) {
            match self.roster.keeper(&member.agent) {
                Some(keeper) if !targets.contains(&keeper.agent) => {
                    targets.push_back(keeper.agent.clone());
                }
                Some(_) => {}
                None => incomplete = true,
            }
        }
        let lookup = Lookup {
            job,
            question,
            targets,
            asked: 0,
            incomplete,
            forgotten: false,
        };
        self.lookups.insert(call, lookup);
        self.next_target(step, call);
    }

    fn next_target<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(lookup) = self.lookups.get_mut(&call) else {
            return;
        };
        let target = lookup.targets.pop_front();
        let member = target.and_then(|agent| self.roster.get(&agent));
        let Some(member) = member.filter(|_| lookup.asked < TARGETS_MAX) else {
            self.not_found(step, call);
            return;
        };
        lookup.asked += 1;
        let job = lookup.job.clone();
        let (request, wait_ms) = match lookup.question {
            Question::Fetch(wait_ms) => (Request::Fetch(Fetch { job, wait_ms }), wait_ms),
            Question::Status => (Request::Status(StatusRequest { job }), 0),
            Question::Events(from, wait_ms) => {
                (Request::Events(Events { job, from, wait_ms }), wait_ms)
            }
            Question::Cancel => (Request::Cancel(Cancel { job }), 0),
        };
        let envelope = Envelope {
            to: Some(member.agent.clone()),
            request,
        };
        let deadline = step.now.after_millis(wait_ms.saturating_add(REPLY_MS));
        let addr = member.addr;
        self.call(step, addr, envelope, deadline, Pending::Lookup(call));
    }

    fn not_found<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(lookup) = self.lookups.remove(&call) else {
            return;
        };
        let reply = if lookup.forgotten {
            let verdict = Verdict::may_have(Reason::HomeLost, 0);
            CallerReply::Answer(Answer::new(&lookup.job, verdict))
        } else if lookup.incomplete {
            let detail = "an agent that may know the job can't be reached";
            CallerReply::Refused(Refusal::new(Reason::Unreachable, RETRY_MS).detail(detail))
        } else {
            CallerReply::Unknown(lookup.job)
        };
        step.answer(call, reply);
    }

    /// Handles the reply of an agent to a question.
    pub(super) fn lookup_response<R: Rng>(
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
                lookup.forgotten = true;
                None
            }
            Ok(Response::Fetch(FetchReply::Redirect { agent })) => {
                if let Some(keeper) = self.roster.keeper(&agent) {
                    lookup.targets.push_front(keeper.agent.clone());
                } else {
                    lookup.incomplete = true;
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
                lookup.incomplete = true;
                None
            }
        };
        match reply {
            Some(reply) => {
                self.lookups.remove(&call);
                step.answer(call, reply);
            }
            None => self.next_target(step, call),
        }
    }
}

//! The graceful stop of an agent: finishes work in flight, hands its tombstones and answers over to
//! an heir, and leaves the roster.

use rand::Rng;

use super::AgentAction;
use super::agent::{Agent, CALL_TIMEOUT_MS, PendingCall};
use crate::Time;
use crate::contract::Reason;
use crate::link::{CallId, Handover, Leave, Request};
use crate::machine::AgentId;

/// The maximum number of tombstones in a handover message. Keeps the message below a megabyte.
const HANDOVER_CHUNK_IDS: usize = 4_000;
/// The maximum number of handover attempts, each with another heir.
const MAX_HANDOVER_ATTEMPTS: u32 = 3;
/// The maximum number of leave requests before the agent stops without confirmation.
const MAX_LEAVE_ATTEMPTS: u32 = 5;

/// The phase of a graceful stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StopPhase {
    NotStopping,
    /// Waits for the jobs and tasks in flight to finish.
    Draining,
    /// Hands tombstones and answers over to an heir.
    HandingOver {
        heir: AgentId,
        pending_replies: usize,
        has_failed: bool,
        attempt: u32,
    },
    /// Sends a leave request to an entry.
    Leaving {
        heir: Option<AgentId>,
        attempt: u32,
    },
    /// The stop is complete.
    Stopped,
}

impl Agent {
    /// Refuses queued tasks, releases reservations and announces the drain to all entries.
    pub(super) fn start_draining<R: Rng>(
        &mut self,
        now: Time,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.stop_phase != StopPhase::NotStopping {
            return;
        }
        self.stop_phase = StopPhase::Draining;
        self.with_context(now, rng, actions, |_, runner, ctx| {
            runner.refuse_queued_tasks(ctx, Reason::Draining);
            runner.release_reservations(ctx);
        });
        for entry in 0..self.next_announcements.len() {
            self.announce(now, entry, actions);
        }
    }

    /// Starts the handover once no job or task is in flight.
    pub(super) fn advance_stop(&mut self, now: Time, actions: &mut Vec<AgentAction>) {
        let is_idle = self.home.is_idle() && self.runner.is_idle();
        if self.stop_phase == StopPhase::Draining && is_idle {
            self.start_handover(now, 1, actions);
        }
    }

    pub(super) fn start_handover(
        &mut self,
        now: Time,
        attempt: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        // An heir that is stopping itself refuses, so each attempt uses the next heir.
        let heirs = self.roster.heir_candidates(&self.options.id);
        let heir = heirs.get(attempt as usize - 1).map(|heir| (*heir).clone());
        let is_member = self.roster.contains(&self.options.id);
        let Some(heir) = heir.filter(|_| is_member && attempt <= MAX_HANDOVER_ATTEMPTS) else {
            self.send_leave(now, None, 1, actions);
            return;
        };
        let Handover {
            from,
            memory,
            answers,
        } = self.home.create_handover(&self.options.id, now);
        let mut messages: Vec<Handover> = memory
            .chunks(HANDOVER_CHUNK_IDS)
            .map(|ids| Handover {
                from: from.clone(),
                memory: ids.to_vec(),
                answers: Vec::new(),
            })
            .collect();
        messages.extend(answers.chunks(16).map(|answers| Handover {
            from: from.clone(),
            memory: Vec::new(),
            answers: answers.to_vec(),
        }));
        if messages.is_empty() {
            messages.push(Handover {
                from,
                memory: Vec::new(),
                answers: Vec::new(),
            });
        }
        self.stop_phase = StopPhase::HandingOver {
            heir: heir.agent.clone(),
            pending_replies: messages.len(),
            has_failed: false,
            attempt,
        };
        for message in messages {
            self.last_call_id += 1;
            let call = CallId(self.last_call_id);
            self.pending_calls.insert(call, PendingCall::Handover);
            let request = Request::Handover(message);
            let deadline = now.after_millis(CALL_TIMEOUT_MS);
            actions.push(AgentAction::call(
                call,
                heir.addr,
                &heir.agent,
                request,
                deadline,
            ));
        }
    }

    pub(super) fn handle_handover_reply(
        &mut self,
        now: Time,
        is_accepted: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        let StopPhase::HandingOver {
            heir,
            pending_replies,
            has_failed,
            attempt,
        } = &mut self.stop_phase
        else {
            return;
        };
        *pending_replies = pending_replies.saturating_sub(1);
        *has_failed |= !is_accepted;
        if *pending_replies > 0 {
            return;
        }
        let (heir, has_failed, attempt) = (heir.clone(), *has_failed, *attempt);
        if has_failed {
            self.start_handover(now, attempt + 1, actions);
        } else {
            self.send_leave(now, Some(heir), 1, actions);
        }
    }

    pub(super) fn send_leave(
        &mut self,
        now: Time,
        heir: Option<AgentId>,
        attempt: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.options.entries.is_empty() || attempt > MAX_LEAVE_ATTEMPTS {
            self.stop_phase = StopPhase::Stopped;
            actions.push(AgentAction::Stopped);
            return;
        }
        let entry = attempt as usize % self.options.entries.len();
        let request = Request::Leave(Leave {
            agent: self.options.id.clone(),
            heir: heir.clone(),
        });
        self.stop_phase = StopPhase::Leaving { heir, attempt };
        self.call_entry(now, entry, request, PendingCall::Leave, actions);
    }

    pub(super) fn retry_leave(&mut self, now: Time, actions: &mut Vec<AgentAction>) {
        if let StopPhase::Leaving { heir, attempt } = &self.stop_phase {
            let (heir, attempt) = (heir.clone(), *attempt);
            self.send_leave(now, heir, attempt + 1, actions);
        }
    }
}

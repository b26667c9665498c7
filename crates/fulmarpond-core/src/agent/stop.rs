//! The graceful stop of an agent: finish what is in flight, hand the memory over, leave.

use rand::Rng;

use super::AgentAction;
use super::agent::{Agent, Pending, REPLY_MS};
use crate::Time;
use crate::contract::Reason;
use crate::link::{CallId, Handover, Leave, Request};
use crate::machine::AgentId;

/// The ids in one message to an heir, so that the message stays below a megabyte.
const HANDOVER_IDS: usize = 4_000;
/// How often a handover is tried with different heirs.
const HANDOVER_TRIES: u32 = 3;
/// How often the departure is announced before the agent stops all the same.
const LEAVE_TRIES: u32 = 5;

/// How far a graceful stop has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stop {
    /// Not stopping.
    No,
    /// Work in flight is finished.
    Draining,
    /// The memory is handed to an heir.
    HandingOver {
        heir: AgentId,
        open: usize,
        failed: bool,
        tries: u32,
    },
    /// The departure is announced.
    Leaving { heir: Option<AgentId>, tries: u32 },
    /// Everything is done.
    Stopped,
}

impl Agent {
    pub(super) fn drain<R: Rng>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<AgentAction>) {
        if self.stop != Stop::No {
            return;
        }
        self.stop = Stop::Draining;
        self.with(now, rng, actions, |_, runner, ctx| {
            runner.refuse_queue(ctx, Reason::Draining);
            runner.release_reservations(ctx);
        });
        for entry in 0..self.announces.len() {
            self.announce(now, entry, actions);
        }
    }

    /// Goes on with the stop once nothing is in flight.
    pub(super) fn advance_stop(&mut self, now: Time, actions: &mut Vec<AgentAction>) {
        let idle = self.home.is_idle() && self.runner.is_idle();
        if self.stop == Stop::Draining && idle {
            self.hand_over(now, 1, actions);
        }
    }

    pub(super) fn hand_over(&mut self, now: Time, tries: u32, actions: &mut Vec<AgentAction>) {
        // An agent that stops as well refuses, so each try goes to the next one.
        let heirs = self.roster.heirs_of(&self.options.id);
        let heir = heirs.get(tries as usize - 1).map(|heir| (*heir).clone());
        let known = self.roster.contains(&self.options.id);
        let Some(heir) = heir.filter(|_| known && tries <= HANDOVER_TRIES) else {
            self.leave(now, None, 1, actions);
            return;
        };
        let Handover {
            from,
            memory,
            answers,
        } = self.home.handover(&self.options.id, now);
        let mut messages: Vec<Handover> = memory
            .chunks(HANDOVER_IDS)
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
        self.stop = Stop::HandingOver {
            heir: heir.agent.clone(),
            open: messages.len(),
            failed: false,
            tries,
        };
        for message in messages {
            self.calls += 1;
            let call = CallId(self.calls);
            self.pending.insert(call, Pending::Handover);
            let request = Request::Handover(message);
            let deadline = now.after_millis(REPLY_MS);
            actions.push(AgentAction::call(
                call,
                heir.addr,
                &heir.agent,
                request,
                deadline,
            ));
        }
    }

    pub(super) fn handed_over(&mut self, now: Time, ok: bool, actions: &mut Vec<AgentAction>) {
        let Stop::HandingOver {
            heir,
            open,
            failed,
            tries,
        } = &mut self.stop
        else {
            return;
        };
        *open = open.saturating_sub(1);
        *failed |= !ok;
        if *open > 0 {
            return;
        }
        let (heir, failed, tries) = (heir.clone(), *failed, *tries);
        if failed {
            self.hand_over(now, tries + 1, actions);
        } else {
            self.leave(now, Some(heir), 1, actions);
        }
    }

    pub(super) fn leave(
        &mut self,
        now: Time,
        heir: Option<AgentId>,
        tries: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.options.entries.is_empty() || tries > LEAVE_TRIES {
            self.stop = Stop::Stopped;
            actions.push(AgentAction::Stopped);
            return;
        }
        let entry = tries as usize % self.options.entries.len();
        let request = Request::Leave(Leave {
            agent: self.options.id.clone(),
            heir: heir.clone(),
        });
        self.stop = Stop::Leaving { heir, tries };
        self.call_entry(now, entry, request, Pending::Leave, actions);
    }

    pub(super) fn leave_again(&mut self, now: Time, actions: &mut Vec<AgentAction>) {
        if let Stop::Leaving { heir, tries } = &self.stop {
            let (heir, tries) = (heir.clone(), *tries);
            self.leave(now, heir, tries + 1, actions);
        }
    }
}

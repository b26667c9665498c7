//! Processes that are paused between a decision and its effects.

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{self, EndpointCall};
use fulmarpond_dispatch::{EntryFrame, entry};

use super::simulation::{Event, Simulation};

/// A pause of a process before its next effect of a kind. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stall {
    Entry(usize, EntryEffect, u64),
    Agent(usize, AgentEffect, u64),
}

/// An effect of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryEffect {
    /// An order to an agent.
    Order,
    /// A frame that stops a job.
    Stop,
    /// An answer to a caller.
    Answer,
    /// Any frame.
    Frame,
}

/// An effect of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentEffect {
    /// A call that starts a run.
    Start,
    /// A call that stops a run.
    Stop,
    /// Any frame.
    Frame,
}

impl Stall {
    /// Returns how long the process is paused, in milliseconds.
    pub(super) const fn duration_ms(self) -> u64 {
        match self {
            Self::Entry(_, _, millis) | Self::Agent(_, _, millis) => millis,
        }
    }

    fn holds_entry(self, entry: usize, action: &entry::Action) -> bool {
        let Self::Entry(stalled, effect, _) = self else {
            return false;
        };
        let frame = match action {
            entry::Action::Send { frame, .. } => Some(frame),
            _ => None,
        };
        stalled == entry
            && match effect {
                EntryEffect::Order => matches!(frame, Some(EntryFrame::Start(_))),
                EntryEffect::Stop => matches!(frame, Some(EntryFrame::Stop { .. })),
                EntryEffect::Answer => matches!(action, entry::Action::Answer { .. }),
                EntryEffect::Frame => frame.is_some(),
            }
    }

    fn holds_agent(self, agent: usize, action: &agent::Action) -> bool {
        let Self::Agent(stalled, effect, _) = self else {
            return false;
        };
        let call = match action {
            agent::Action::Call { call, .. } => Some(call),
            _ => None,
        };
        stalled == agent
            && match effect {
                AgentEffect::Start => matches!(call, Some(EndpointCall::Start { .. })),
                AgentEffect::Stop => matches!(call, Some(EndpointCall::Stop { .. })),
                AgentEffect::Frame => matches!(action, agent::Action::Send { .. }),
            }
    }
}

/// The pauses that have not begun.
#[derive(Debug, Default)]
pub struct Stalls {
    armed: Vec<Stall>,
    /// Number of pauses that have begun.
    pub begun: u32,
}

impl Stalls {
    pub(super) fn arm(&mut self, stall: Stall) {
        self.armed.push(stall);
    }

    /// Takes the first pause that one of the actions begins, with the position of that action.
    fn take<T>(
        &mut self,
        actions: &[T],
        holds: impl Fn(Stall, &T) -> bool,
    ) -> Option<(Stall, usize)> {
        let (index, position) = self.armed.iter().enumerate().find_map(|(index, &stall)| {
            let position = actions.iter().position(|action| holds(stall, action));
            position.map(|position| (index, position))
        })?;
        self.begun += 1;
        Some((self.armed.remove(index), position))
    }
}

impl Simulation {
    /// Pauses an entry before one of its actions if a pause is due; returns the actions from there
    /// on, which are carried out at the end of the pause.
    pub(super) fn stall_entry(&mut self, entry: usize, out: &mut Vec<entry::Action>) -> bool {
        let due = self
            .stalls
            .take(out, |stall, action| stall.holds_entry(entry, action));
        let Some((stall, position)) = due else {
            return false;
        };
        let late = out.split_off(position);
        self.excuse_entry(entry, stall.duration_ms());
        let until = self.now.after_millis(stall.duration_ms());
        let process = &mut self.entries[entry];
        process.paused_until = resume_after(process.paused_until, until);
        let generation = process.generation;
        self.schedule_at(until, Event::LateEntryEffects(entry, generation, late));
        true
    }

    /// Does the same as `stall_entry` for an agent.
    pub(super) fn stall_agent(&mut self, agent: usize, out: &mut Vec<agent::Action>) -> bool {
        let due = self
            .stalls
            .take(out, |stall, action| stall.holds_agent(agent, action));
        let Some((stall, position)) = due else {
            return false;
        };
        let late = out.split_off(position);
        let until = self.now.after_millis(stall.duration_ms());
        let process = &mut self.agents[agent];
        process.paused_until = resume_after(process.paused_until, until);
        let generation = process.generation;
        self.schedule_at(until, Event::LateAgentEffects(agent, generation, late));
        true
    }

    pub(super) fn late_entry_effects(
        &mut self,
        entry: usize,
        generation: u32,
        late: Vec<entry::Action>,
    ) {
        if self.entries[entry].generation != generation {
            return;
        }
        for action in late {
            self.entry_action(entry, action);
        }
        self.schedule_in_us(1, Event::WakeEntry(entry, generation));
    }

    pub(super) fn late_agent_effects(
        &mut self,
        agent: usize,
        generation: u32,
        late: Vec<agent::Action>,
    ) {
        if self.agents[agent].generation != generation {
            return;
        }
        for action in late {
            self.agent_action(agent, action);
        }
        self.schedule_in_us(1, Event::WakeAgent(agent, generation));
    }
}

/// Returns when a process handles events again: after the late effects.
fn resume_after(paused_until: Time, effects_at: Time) -> Time {
    paused_until.max(effects_at.after_micros(1))
}

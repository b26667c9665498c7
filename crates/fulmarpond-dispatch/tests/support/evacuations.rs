//! Evacuations of zones by the operator, calls of the agents to the store, and the check that
//! nothing starts in an evacuated zone after the bound.

use std::collections::{HashMap, HashSet};

use fulmarpond_core::Time;
use fulmarpond_dispatch::TaskKey;
use fulmarpond_dispatch::directory::{StoreCall, StoreReply};

use super::simulation::{Event, Simulation};
use super::store::StoreFault;
use super::store_calls::STORE_DELAY_US;

/// The bound for the last start in an evacuated zone, in milliseconds after the acknowledgement.
pub const EVACUATION_MS: u64 = 5_000;

/// Interval at which the operator writes again while the store does not answer, in milliseconds.
const OPERATOR_RETRY_MS: u64 = 200;

/// Duration of a cold start of the endpoints of a zone, in milliseconds.
const COLD_MS: u64 = 4_000;

/// A call of an agent process to the store.
#[derive(Debug, Clone)]
pub struct AgentStoreCall {
    pub agent: usize,
    pub generation: u32,
    pub number: u64,
    pub call: StoreCall,
}

/// State of the evacuations and of the agents' access to the store.
#[derive(Debug, Default)]
pub struct EvacuationState {
    /// Time at which the evacuation of each zone was acknowledged.
    acked_at: HashMap<usize, Time>,
    /// Agents that cannot reach the store.
    unreachable_from: HashSet<usize>,
    /// Time since which each agent can reach the store.
    reachable_since: HashMap<usize, Time>,
    /// Time since which the store answers.
    answers_since: Time,
    pending_watches: Vec<AgentStoreCall>,
    answered: HashSet<(usize, u32, u64)>,
    /// Number of starts in zones that are evacuated, in all and since the last acknowledgement.
    pub starts: u32,
}

impl Simulation {
    pub(super) fn zone_name(zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// Writes or removes the key of an evacuation, or schedules another attempt if the store does
    /// not answer.
    pub(super) fn write_evacuation(&mut self, zone: usize, is_evacuated: bool, cold: bool) {
        if matches!(
            self.store.fault,
            StoreFault::Down { .. } | StoreFault::Refusing
        ) {
            let event = Event::WriteEvacuation(zone, is_evacuated, cold);
            self.schedule_in_ms(OPERATOR_RETRY_MS, event);
            return;
        }
        self.store
            .set_evacuated(&Self::zone_name(zone), is_evacuated);
        if is_evacuated {
            let now = self.now;
            self.evacuations.acked_at.entry(zone).or_insert(now);
        } else {
            self.evacuations.acked_at.remove(&zone);
        }
        if cold {
            let until = self.now.after_millis(COLD_MS);
            for agent in (zone..self.endpoints.len()).step_by(self.options.zones) {
                self.endpoints[agent].cold_until = until;
            }
        }
        self.answer_ready_watches();
        self.answer_agent_watches();
    }

    pub(super) fn set_store_unreachable(&mut self, agent: usize, is_unreachable: bool) {
        if is_unreachable {
            self.evacuations.unreachable_from.insert(agent);
        } else {
            self.evacuations.unreachable_from.remove(&agent);
            self.evacuations.reachable_since.insert(agent, self.now);
        }
    }

    pub(super) const fn record_store_fault_end(&mut self) {
        self.evacuations.answers_since = self.now;
    }

    pub(super) fn call_store_from_agent(
        &mut self,
        agent: usize,
        number: u64,
        call: StoreCall,
        timeout: u64,
    ) {
        let sent = AgentStoreCall {
            agent,
            generation: self.agents[agent].generation,
            number,
            call,
        };
        let lost = Event::AgentStoreAnswered(sent.clone(), None);
        self.schedule_in_ms(timeout, lost);
        self.schedule_in_us(STORE_DELAY_US, Event::AgentStoreCallArrives(sent));
    }

    pub(super) fn agent_store_call_arrives(&mut self, sent: AgentStoreCall) {
        if self.evacuations.unreachable_from.contains(&sent.agent) {
            return;
        }
        match self.store.fault {
            StoreFault::Down { .. } => return,
            StoreFault::Refusing => {
                self.schedule_in_us(STORE_DELAY_US, Event::AgentStoreAnswered(sent, None));
                return;
            }
            _ => {}
        }
        let from = self.announcement(0);
        match self.store.call(&from, &sent.call, self.now) {
            Some(reply) => self.answer_agent(sent, reply),
            None => {
                if let StoreCall::WatchEvacuations { wait, .. } = sent.call {
                    let event = Event::AgentWatchTimesOut(sent.clone());
                    self.schedule_in_ms(wait, event);
                }
                self.evacuations.pending_watches.push(sent);
            }
        }
    }

    pub(super) fn agent_watch_times_out(&mut self, sent: AgentStoreCall) {
        let is_same = |known: &AgentStoreCall| {
            (known.agent, known.generation, known.number)
                == (sent.agent, sent.generation, sent.number)
        };
        let before = self.evacuations.pending_watches.len();
        self.evacuations
            .pending_watches
            .retain(|known| !is_same(known));
        let is_pending = self.evacuations.pending_watches.len() < before;
        if is_pending && !matches!(self.store.fault, StoreFault::Down { .. }) {
            let reply = self.store.watch_timeout_reply(&sent.call);
            self.answer_agent(sent, reply);
        }
    }

    /// Answers the pending watches of agents for which there is a change.
    pub(super) fn answer_agent_watches(&mut self) {
        if matches!(self.store.fault, StoreFault::Down { .. }) {
            return;
        }
        let from = self.announcement(0);
        for sent in std::mem::take(&mut self.evacuations.pending_watches) {
            match self.store.call(&from, &sent.call, self.now) {
                Some(reply) => self.answer_agent(sent, reply),
                None => self.evacuations.pending_watches.push(sent),
            }
        }
    }

    fn answer_agent(&mut self, sent: AgentStoreCall, reply: StoreReply) {
        if self.evacuations.unreachable_from.contains(&sent.agent) {
            return;
        }
        let delay = match self.store.fault {
            StoreFault::Slow(millis) => millis * 1_000,
            _ => STORE_DELAY_US,
        };
        self.schedule_in_us(delay, Event::AgentStoreAnswered(sent, Some(reply)));
    }

    pub(super) fn agent_store_answered(
        &mut self,
        sent: &AgentStoreCall,
        reply: Option<StoreReply>,
    ) {
        let key = (sent.agent, sent.generation, sent.number);
        let is_known = self.evacuations.answered.contains(&key);
        if is_known || self.agents[sent.agent].generation != sent.generation {
            return;
        }
        let event = Event::AgentStoreAnswered(sent.clone(), reply.clone());
        if self.postpone_if_paused(self.agents[sent.agent].paused_until, &event) {
            return;
        }
        self.evacuations.answered.insert(key);
        self.with_agent(sent.agent, |core, now, out| {
            core.handle_store_reply(sent.number, reply, now, out);
        });
    }

    /// Records a violation if a run starts in an evacuated zone after the bound, at an agent that
    /// has been able to reach the store for as long.
    pub(super) fn check_evacuated_start(&mut self, agent: usize, task: &TaskKey) {
        let Some(&acked) = self.evacuations.acked_at.get(&(agent % self.options.zones)) else {
            return;
        };
        self.evacuations.starts += 1;
        let reads_store = self.options.evacuation_ms.is_some();
        let store_answers = matches!(
            self.store.fault,
            StoreFault::None | StoreFault::Lost(_) | StoreFault::Late(_)
        );
        let is_reachable = store_answers && !self.evacuations.unreachable_from.contains(&agent);
        let reachable_since = self.evacuations.reachable_since.get(&agent);
        let since = reachable_since.copied().unwrap_or_default();
        let since = since.max(self.evacuations.answers_since).max(acked);
        if reads_store && is_reachable && self.now > since.after_millis(EVACUATION_MS) {
            self.history.violations.push(format!(
                "{task} started at {} ms at endpoint {agent}, whose zone is evacuated since {} ms",
                self.elapsed_ms(),
                acked.millis_since(Time::from_millis(10_000)),
            ));
        }
    }
}

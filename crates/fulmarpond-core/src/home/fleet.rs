//! The agents that a home may send tasks to.

use std::collections::{BTreeMap, HashMap};

use crate::Time;
use crate::contract::Needs;
use crate::link::Peer;
use crate::machine::{AgentId, Load, Machine};
use crate::zone::Zone;

/// How long an agent that no entry reports any more stays known, in milliseconds.
const AGENT_RETENTION_MS: u64 = 10_000;

/// The agents that a home may send tasks to, by id.
///
/// The map is ordered, so that the same seed gives the same choices.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    machines: BTreeMap<AgentId, Machine>,
}

impl Fleet {
    /// Takes over what an entry last heard of other agents.
    pub(super) fn update(&mut self, peers: &[Peer], now: Time) {
        for peer in peers {
            match self.machines.get_mut(&peer.agent) {
                Some(machine) => machine.update_peer(peer, now),
                None => {
                    let mut machine = Machine::new(peer, now);
                    machine.update_peer(peer, now);
                    self.machines.insert(peer.agent.clone(), machine);
                }
            }
        }
    }

    /// Returns an agent.
    pub(super) fn get_mut(&mut self, agent: &AgentId) -> Option<&mut Machine> {
        self.machines.get_mut(agent)
    }

    /// Returns all agents.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Takes over the load that came with a reply.
    pub(super) fn update_load(&mut self, agent: &AgentId, load: Load, now: Time) {
        if let Some(machine) = self.machines.get_mut(agent) {
            machine.update_load(load, now);
        }
    }

    /// Returns the usable agents whose endpoint fits `needs`, without the ejected ones.
    ///
    /// Of each zone at most `percent` percent of the agents are left out for failing, since a fault
    /// that all of them share would otherwise stop the zone.
    pub(super) fn usable(&self, needs: &Needs, eject_percent: u32, now: Time) -> Vec<&Machine> {
        let ejected = self.ejected_agents(eject_percent, now);
        self.machines
            .values()
            .filter(|machine| machine.is_usable(now) && needs.fit(&machine.limits))
            .filter(|machine| !ejected.contains(&&machine.agent))
            .collect()
    }

    fn ejected_agents(&self, eject_percent: u32, now: Time) -> Vec<&AgentId> {
        let mut zones: HashMap<&Zone, (usize, Vec<&AgentId>)> = HashMap::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.is_usable(now))
        {
            let zone = zones.entry(&machine.zone).or_default();
            zone.0 += 1;
            if machine.load().failing {
                zone.1.push(&machine.agent);
            }
        }
        let mut ejected = Vec::new();
        for (total, mut failing) in zones.into_values() {
            // One agent may always be ejected: a zone of three would otherwise keep a single
            // failing one at 30 percent.
            let max_ejected = (total * eject_percent as usize / 100).max(1);
            failing.truncate(max_ejected);
            ejected.extend(failing);
        }
        ejected
    }

    /// Returns whether some live endpoint, busy or not, could hold a task with `needs`.
    pub(super) fn can_ever_run(&self, needs: &Needs) -> bool {
        self.machines
            .values()
            .any(|machine| needs.fit(&machine.limits))
    }

    /// Returns whether no endpoint takes new work.
    pub(super) fn has_no_open_endpoint(&self) -> bool {
        !self
            .machines
            .values()
            .any(|machine| !machine.leaving && machine.load().slots > 0)
    }

    /// Returns the slots of all agents that take new work.
    pub(super) fn total_slots(&self) -> u64 {
        self.machines
            .values()
            .filter(|machine| !machine.leaving)
            .map(|machine| u64::from(machine.load().slots))
            .sum()
    }

    /// Drops agents that no entry has reported for some time, if entries report others.
    ///
    /// While all entries are away nothing is reported, and the last known agents stay in use.
    pub(super) fn remove_stale(&mut self) {
        let Some(latest) = self.machines.values().map(Machine::heard).max() else {
            return;
        };
        self.machines
            .retain(|_, machine| latest.millis_since(machine.heard()) < AGENT_RETENTION_MS);
    }
}

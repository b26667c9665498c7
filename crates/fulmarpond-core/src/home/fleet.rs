//! Registry of the agents that a home may send tasks to.

use std::collections::{BTreeMap, HashMap};

use crate::Time;
use crate::contract::Resources;
use crate::link::Peer;
use crate::machine::{AgentId, AgentView, Load};
use crate::zone::Zone;

/// Milliseconds for which an agent is kept after the last report of it by an entry.
const AGENT_RETENTION_MS: u64 = 10_000;

/// The agents that a home may send tasks to, by id.
///
/// Uses an ordered map so that placement is reproducible for a given seed.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    views: BTreeMap<AgentId, AgentView>,
}

impl Fleet {
    /// Updates the agents from the last known state that an entry sent.
    pub(super) fn update(&mut self, peers: &[Peer], now: Time) {
        for peer in peers {
            match self.views.get_mut(&peer.agent) {
                Some(view) => view.update_peer(peer, now),
                None => {
                    let mut view = AgentView::new(peer, now);
                    view.update_peer(peer, now);
                    self.views.insert(peer.agent.clone(), view);
                }
            }
        }
    }

    pub(super) fn get_mut(&mut self, agent: &AgentId) -> Option<&mut AgentView> {
        self.views.get_mut(agent)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &AgentView> {
        self.views.values()
    }

    /// Updates the load of an agent from one of its replies.
    pub(super) fn update_load(&mut self, agent: &AgentId, load: Load, now: Time) {
        if let Some(view) = self.views.get_mut(agent) {
            view.update_load(load, now);
        }
    }

    /// Returns the usable agents whose endpoint meets `needs`, except ejected agents.
    ///
    /// At most `eject_percent` percent of the agents in a zone are ejected, so that a fault shared
    /// by all of them does not take the whole zone out of service.
    pub(super) fn usable(
        &self,
        needs: &Resources,
        eject_percent: u32,
        now: Time,
    ) -> Vec<&AgentView> {
        let ejected = self.ejected_agents(eject_percent, now);
        self.views
            .values()
            .filter(|view| view.is_usable(now) && needs.fits_within(&view.limits))
            .filter(|view| !ejected.contains(&&view.agent))
            .collect()
    }

    fn ejected_agents(&self, eject_percent: u32, now: Time) -> Vec<&AgentId> {
        let mut zones: HashMap<&Zone, (usize, Vec<&AgentId>)> = HashMap::new();
        for view in self.views.values().filter(|view| view.is_usable(now)) {
            let zone = zones.entry(&view.zone).or_default();
            zone.0 += 1;
            if view.load().failing {
                zone.1.push(&view.agent);
            }
        }
        let mut ejected = Vec::new();
        for (total, mut failing) in zones.into_values() {
            // Always allows one ejection: with a limit of 30 percent, a zone of three agents could
            // otherwise not eject a single failing agent.
            let max_ejected = (total * eject_percent as usize / 100).max(1);
            failing.truncate(max_ejected);
            ejected.extend(failing);
        }
        ejected
    }

    /// Returns whether any known endpoint is large enough for `needs`, regardless of its load.
    pub(super) fn can_ever_run(&self, needs: &Resources) -> bool {
        self.views
            .values()
            .any(|view| needs.fits_within(&view.limits))
    }

    /// Returns whether no endpoint accepts new tasks.
    pub(super) fn has_no_open_endpoint(&self) -> bool {
        !self
            .views
            .values()
            .any(|view| !view.leaving && view.load().slots > 0)
    }

    /// Returns the total number of slots of the agents that accept new tasks.
    pub(super) fn total_slots(&self) -> u64 {
        self.views
            .values()
            .filter(|view| !view.leaving)
            .map(|view| u64::from(view.load().slots))
            .sum()
    }

    /// Removes agents that were last reported at least [`AGENT_RETENTION_MS`] before the latest
    /// report of any agent.
    ///
    /// While all entries are unavailable, no report arrives and the last known agents stay in use.
    pub(super) fn remove_stale(&mut self) {
        let Some(latest) = self.views.values().map(AgentView::last_reported_at).max() else {
            return;
        };
        self.views
            .retain(|_, view| latest.millis_since(view.last_reported_at()) < AGENT_RETENTION_MS);
    }
}

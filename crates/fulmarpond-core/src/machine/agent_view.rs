//! A home's view of one agent.

use std::net::SocketAddr;

use super::{AgentId, Load};
use crate::Time;
use crate::contract::Resources;
use crate::link::Peer;
use crate::zone::Zone;

/// The time that a batch may need to reach its agent and show up in the announced load, in
/// milliseconds.
const LOAD_UPDATE_DELAY_MS: u64 = 10;

/// A home's view of one agent: its last known load, adjusted for the tasks sent since.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// The agent.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The resources that its endpoint offers to one task.
    pub limits: Resources,
    /// Whether it accepts no new tasks.
    pub leaving: bool,
    /// The number of slots that the agent holds for this home under a grant.
    pub granted: u32,
    /// Whether a request for slots is in flight.
    pub reserving: bool,
    load: Load,
    load_updated: Time,
    last_reported: Time,
    unreachable_until: Time,
    failures: u32,
}

impl AgentView {
    /// Creates the view from the state that an entry reports.
    pub fn new(peer: &Peer, now: Time) -> Self {
        Self {
            agent: peer.agent.clone(),
            addr: peer.addr,
            zone: peer.zone.clone(),
            limits: peer.limits,
            leaving: peer.leaving,
            granted: 0,
            reserving: false,
            load: peer.load,
            load_updated: Time::default(),
            last_reported: now,
            unreachable_until: Time::default(),
            failures: 0,
        }
    }

    /// Applies the state that an entry reports. A reported load that may be older than the known
    /// one is ignored.
    pub fn update_peer(&mut self, peer: &Peer, now: Time) {
        self.last_reported = now;
        self.addr = peer.addr;
        self.limits = peer.limits;
        self.leaving = peer.leaving;
        let announced = Time::from_micros(
            now.as_micros()
                .saturating_sub(peer.age_ms.saturating_mul(1_000)),
        );
        // A load announced shortly after a send may not include the sent tasks yet.
        if announced > self.load_updated.after_millis(LOAD_UPDATE_DELAY_MS) {
            self.load = peer.load;
            self.load_updated = announced;
        }
    }

    /// Applies the load from a reply of the agent, which also shows that the agent is reachable.
    pub fn update_load(&mut self, load: Load, now: Time) {
        self.load = load;
        self.load_updated = now;
        self.failures = 0;
        self.unreachable_until = Time::default();
    }

    /// Adjusts the load for `count` tasks that were sent. They use granted slots first, then free
    /// slots; the others count as queued.
    pub fn record_sent(&mut self, count: u32, now: Time) {
        let held = self.granted.min(count);
        self.granted -= held;
        let direct = count - held;
        let free = self.load.free.min(direct);
        self.load.free -= free;
        self.load.queued += direct - free;
        self.load_updated = now;
    }

    /// Records that the agent could not be reached. Its grants are dropped, and it is not usable
    /// for 100 ms, doubled for each consecutive failure up to 3.2 s.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failures = (self.failures + 1).min(6);
        self.unreachable_until = now.after_millis(50 << self.failures);
        self.granted = 0;
    }

    /// Returns the last known load, adjusted for the tasks sent since.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Returns the number of slots assumed to be free, including granted ones.
    pub fn free(&self) -> u32 {
        self.load.free + self.granted
    }

    /// Returns the time at which an entry last reported the agent.
    pub fn last_reported_at(&self) -> Time {
        self.last_reported
    }

    /// Returns whether tasks may be sent to the agent, regardless of the health of its endpoint.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.load.slots > 0 && now >= self.unreachable_until
    }
}

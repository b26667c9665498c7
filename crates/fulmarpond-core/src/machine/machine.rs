//! A home's view of one agent.

use std::net::SocketAddr;

use super::{AgentId, Load};
use crate::Time;
use crate::contract::Needs;
use crate::link::Peer;
use crate::zone::Zone;

/// A home's view of one agent: its last known load, corrected by what was sent since.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The agent.
    pub agent: AgentId,
    /// The address of its link listener.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// What its endpoint offers to one task.
    pub limits: Needs,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Slots that a grant holds for this home.
    pub granted: u32,
    /// Whether a request for slots is outstanding.
    pub reserving: bool,
    load: Load,
    updated: Time,
    heard: Time,
    down: Time,
    failures: u32,
}

impl Machine {
    /// Creates the view from what an entry last heard.
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
            updated: Time::default(),
            heard: now,
            down: Time::default(),
            failures: 0,
        }
    }

    /// Takes over what an entry last heard, unless the own information is newer.
    pub fn update_peer(&mut self, peer: &Peer, now: Time) {
        self.heard = now;
        self.addr = peer.addr;
        self.limits = peer.limits;
        self.leaving = peer.leaving;
        let heard = Time::from_micros(
            now.as_micros()
                .saturating_sub(peer.age_ms.saturating_mul(1_000)),
        );
        if heard > self.updated {
            self.load = peer.load;
            self.updated = heard;
        }
    }

    /// Takes over the load that came with a reply.
    pub fn update_load(&mut self, load: Load, now: Time) {
        self.load = load;
        self.updated = now;
        self.failures = 0;
        self.down = Time::default();
    }

    /// Notes that `count` tasks were sent.
    pub fn sent(&mut self, count: u32, now: Time) {
        let held = self.granted.min(count);
        self.granted -= held;
        let direct = count - held;
        let free = self.load.free.min(direct);
        self.load.free -= free;
        self.load.queued += direct - free;
        self.updated = now;
    }

    /// Notes that the agent could not be reached. It is skipped for a time that doubles.
    pub fn unreachable(&mut self, now: Time) {
        self.failures = (self.failures + 1).min(6);
        self.down = now.after_millis(50 << self.failures);
        self.granted = 0;
    }

    /// Returns the last known load.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Returns the slots that are believed free, grants included.
    pub fn free(&self) -> u32 {
        self.load.free + self.granted
    }

    /// Returns when an entry last reported the agent.
    pub fn heard(&self) -> Time {
        self.heard
    }

    /// Returns whether tasks may be sent to it, its health aside.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.load.slots > 0 && now >= self.down
    }
}

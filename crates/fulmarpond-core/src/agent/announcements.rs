//! Announcements of an agent to the entries, and the rosters, configurations and loads in their
//! replies.

use rand::Rng;

use super::AgentAction;
use super::agent::{Agent, PendingCall};
use crate::Time;
use crate::link::{Announce, AnnounceReply, Peer, Request};
use crate::policy::Policy;

impl Agent {
    /// Applies the roster, the configuration and the agent loads that an entry sent.
    ///
    /// The age of the roster counts from the time at which the announcement was sent, since the
    /// reply may have been queued while the process was paused.
    pub(super) fn apply_announce_reply<R: Rng>(
        &mut self,
        now: Time,
        sent: Time,
        reply: AnnounceReply,
        rng: &mut R,
        actions: &mut Vec<AgentAction>,
    ) {
        // An entry with an older roster can't confirm the newer one.
        if reply.roster.version >= self.roster.version() {
            let age_us = reply.age_ms.saturating_mul(1_000);
            let confirmed = Time::from_micros(sent.as_micros().saturating_sub(age_us));
            if reply.age_ms < self.options.roster_window_ms {
                self.roster_confirmed_at = self.roster_confirmed_at.max(Some(confirmed));
            }
        }
        if self.roster.apply(reply.roster) {
            self.roster_versions.push_back((now, self.roster.version()));
        }
        if let Some(config) = reply.config
            && config.version > self.config_version
            && let Ok(policy) = Policy::try_from(&config.values)
        {
            self.policy = policy;
            self.config_version = config.version;
        }
        let mut peers = reply.peers;
        peers.retain(|peer| peer.agent != self.options.id);
        // The home keeps using the slots of this agent while the agent drains.
        let mut own_peer = self.own_peer(now);
        own_peer.leaving = !self.runner.is_open(now);
        peers.push(own_peer);
        self.with_context(now, rng, actions, |home, _, ctx| {
            home.update_peers(ctx, &peers);
        });
    }

    fn own_peer(&self, now: Time) -> Peer {
        Peer {
            agent: self.options.id.clone(),
            addr: self.options.addr,
            zone: self.options.zone.clone(),
            load: self.runner.load(now),
            limits: self.runner.limits(),
            leaving: self.is_draining() || !self.runner.is_open(now),
            age_ms: 0,
        }
    }

    pub(super) fn announce(&mut self, now: Time, entry: usize, actions: &mut Vec<AgentAction>) {
        let own_peer = self.own_peer(now);
        let request = Request::Announce(Box::new(Announce {
            agent: own_peer.agent,
            addr: own_peer.addr,
            zone: own_peer.zone,
            load: own_peer.load,
            leaving: own_peer.leaving,
            limits: own_peer.limits,
            roster: self.roster.version(),
            config: self.config_version,
            usage: self.home.usage(),
        }));
        self.announced_load = own_peer.load;
        self.next_announcements[entry] = now.after_millis(self.options.announce_ms);
        self.call_entry(
            now,
            entry,
            request,
            PendingCall::Announce(entry, now),
            actions,
        );
    }
}

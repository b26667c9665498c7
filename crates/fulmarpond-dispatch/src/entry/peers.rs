//! The links of an entry to the other entries.
//!
//! Of two entries, the one whose name comes first opens the link, over which frames go both ways.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;

use crate::LinkNo;
use crate::directory::AnnouncedEntry;

/// The time between two attempts to open a link to an entry, in milliseconds.
const REDIAL_DELAY_MS: u64 = 100;

/// How long the lists of the other entries are awaited, in milliseconds. Those of entries that are
/// gone but still announced never come.
const SETTLE_MS: u64 = 300;

/// How long a new process waits for the list of announced entries, in milliseconds.
const LISTING_TIMEOUT_MS: u64 = 700;

/// How long a new process waits for its first agent to name the entries that it is linked to, in
/// milliseconds. Agents look for changes of them every 50 ms.
const NAMING_TIMEOUT_MS: u64 = 120;

/// Whether the agents of a new process have named the other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Naming {
    /// It has had no agent, so it can start nothing.
    NoAgent,
    /// Its first agent has been linked and is to name them by this time.
    Awaited(Time),
    /// They are known, or the process is not a new one.
    Known,
}

/// A link to another entry.
#[derive(Debug)]
pub(super) struct Peer {
    /// The host name; empty until it is known.
    pub(super) name: String,
    /// When the last frame arrived.
    pub(super) heard: Time,
    /// Whether this entry has opened the link.
    pub(super) is_dialed: bool,
    /// The incarnation of its process, once it is known.
    pub(super) incarnation: Option<u64>,
    /// Whether its list of attempts has arrived.
    has_list: bool,
}

/// A known entry to which this one opens a link.
#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    link: Option<LinkNo>,
    dial_at: Time,
}

/// The links to the other entries.
#[derive(Debug)]
pub(super) struct Peers {
    /// The host name of this entry.
    name: String,
    targets: BTreeMap<String, Target>,
    /// The other entries that are announced.
    announced: BTreeMap<String, SocketAddr>,
    /// The other entries that agents name.
    linked: BTreeMap<String, SocketAddr>,
    established: BTreeMap<LinkNo, Peer>,
    /// The entries whose list of attempts is awaited.
    awaited: BTreeSet<String>,
    /// Whether this is a new process that does not know the announced entries yet.
    awaits_listing: bool,
    naming: Naming,
    /// When the awaited lists are no longer waited for, unless agents name their entries.
    settle_by: Time,
    /// When no list is waited for any longer.
    settle_latest: Time,
    /// When the next list is sent.
    pub(super) next_list: Time,
}

impl Peers {
    pub(super) const fn new(name: String, now: Time) -> Self {
        Self {
            name,
            targets: BTreeMap::new(),
            announced: BTreeMap::new(),
            linked: BTreeMap::new(),
            established: BTreeMap::new(),
            awaited: BTreeSet::new(),
            awaits_listing: false,
            naming: Naming::Known,
            settle_by: now,
            settle_latest: now,
            next_list: now,
        }
    }

    /// Awaits the list of announced entries, and then those of their attempts; until `latest` where
    /// agents name an entry that can't be reached.
    pub(super) const fn await_listing(&mut self, latest: Time, now: Time) {
        self.awaits_listing = true;
        self.naming = Naming::NoAgent;
        self.settle_by = now.after_millis(LISTING_TIMEOUT_MS);
        self.settle_latest = latest;
    }

    /// Sets the announced entries. A new process awaits the lists of all of them.
    pub(super) fn set_announced(&mut self, entries: &[AnnouncedEntry], now: Time) {
        let entries = entries.iter().map(|entry| (&entry.name, entry.addr));
        self.announced = self.without_own(entries);
        self.update_targets(now);
        if self.awaits_listing {
            self.awaits_listing = false;
            self.settle_by = now.after_millis(SETTLE_MS);
            self.await_lists(self.announced.keys().cloned().collect());
        }
    }

    /// Makes a new process that has got its first agent wait until that has named the other entries, and
    /// then for their lists, until `latest` at most.
    pub(super) fn await_naming(&mut self, latest: Time, now: Time) {
        if self.naming == Naming::NoAgent {
            self.naming = Naming::Awaited(now.after_millis(NAMING_TIMEOUT_MS));
            self.settle_latest = self.settle_latest.max(latest);
        }
    }

    /// Sets the entries that agents name, which need not be announced.
    pub(super) fn set_linked(&mut self, entries: &BTreeMap<String, SocketAddr>, now: Time) {
        let entries = entries.iter().map(|(name, &addr)| (name, addr));
        self.linked = self.without_own(entries);
        self.update_targets(now);
        if !self.is_settled(now) {
            self.await_lists(self.linked.keys().cloned().collect());
        }
        self.naming = Naming::Known;
    }

    fn without_own<'a>(
        &self,
        entries: impl Iterator<Item = (&'a String, SocketAddr)>,
    ) -> BTreeMap<String, SocketAddr> {
        let others = entries.filter(|(name, _)| **name != self.name);
        others.map(|(name, addr)| (name.clone(), addr)).collect()
    }

    /// Awaits the lists of those of some entries that have sent none.
    fn await_lists(&mut self, names: BTreeSet<String>) {
        self.awaited.extend(names);
        for peer in self.established.values().filter(|peer| peer.has_list) {
            self.awaited.remove(&peer.name);
        }
    }

    /// Opens links to the known entries whose names come later. An announced address counts more than
    /// that at which an agent has reached the entry.
    fn update_targets(&mut self, now: Time) {
        let (announced, linked) = (&self.announced, &self.linked);
        self.targets.retain(|name, target| {
            target.link.is_some() || announced.contains_key(name) || linked.contains_key(name)
        });
        for (name, &addr) in linked.iter().chain(announced) {
            if *name <= self.name {
                continue;
            }
            let target = self.targets.entry(name.clone()).or_insert(Target {
                addr,
                link: None,
                dial_at: now,
            });
            target.addr = addr;
        }
    }

    /// Returns whether the lists of all other entries are known, as far as they can be.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        if let Naming::Awaited(until) = self.naming
            && now < until
        {
            return false;
        }
        let is_complete = !self.awaits_listing && self.awaited.is_empty();
        let awaits_live = || {
            self.awaited
                .iter()
                .any(|name| self.linked.contains_key(name))
        };
        is_complete || now >= self.settle_latest || (now >= self.settle_by && !awaits_live())
    }

    /// Awaits the lists of all other entries anew, as those that are known may be outdated.
    pub(super) fn unsettle(&mut self, latest: Time, now: Time) {
        self.settle_by = now.after_millis(SETTLE_MS);
        self.settle_latest = latest;
        let known = self.announced.keys().chain(self.linked.keys());
        self.awaited = known.cloned().collect();
        for peer in self.established.values_mut() {
            peer.has_list = false;
        }
    }

    /// Returns whether an entry is announced.
    pub(super) fn is_announced(&self, name: &str) -> bool {
        self.announced.contains_key(name)
    }

    /// Returns whether the attempts of an entry are known over an established link.
    pub(super) fn has_list_of(&self, name: &str) -> bool {
        let mut peers = self.established.values();
        peers.any(|peer| peer.name == name && peer.has_list)
    }

    /// Returns the addresses to dial now.
    pub(super) fn take_due_dials(&mut self, now: Time) -> Vec<SocketAddr> {
        let targets = self.targets.values_mut();
        let due = targets.filter(|target| target.link.is_none() && now >= target.dial_at);
        due.map(|target| {
            target.dial_at = now.after_millis(REDIAL_DELAY_MS);
            target.addr
        })
        .collect()
    }

    /// Records the number of the link that is being opened to an address.
    pub(super) fn mark_dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        let mut targets = self.targets.values_mut();
        if let Some(target) = targets.find(|target| target.addr == addr && target.link.is_none()) {
            target.link = Some(link);
        }
    }

    /// Returns whether this entry has opened a link, or is opening it.
    pub(super) fn has_dialed(&self, link: LinkNo) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.link == Some(link))
    }

    /// Adds an established link.
    pub(super) fn add_link(&mut self, link: LinkNo, now: Time) {
        let mut targets = self.targets.iter();
        let dialed = targets.find(|(_, target)| target.link == Some(link));
        let peer = Peer {
            name: dialed.map_or_else(String::new, |(name, _)| name.clone()),
            heard: now,
            is_dialed: dialed.is_some(),
            incarnation: None,
            has_list: false,
        };
        self.established.insert(link, peer);
    }

    /// Sets the name and the incarnation of the entry of a link.
    pub(super) fn identify(&mut self, link: LinkNo, name: String, incarnation: u64) {
        if let Some(peer) = self.established.get_mut(&link) {
            peer.name = name;
            peer.incarnation = Some(incarnation);
        }
    }

    /// Records that a frame has arrived; returns whether the link is established.
    pub(super) fn record_frame(&mut self, link: LinkNo, now: Time) -> bool {
        let peer = self.established.get_mut(&link);
        peer.map(|peer| peer.heard = now).is_some()
    }

    /// Records that the list of an entry has arrived.
    pub(super) fn record_list(&mut self, link: LinkNo) {
        if let Some(peer) = self.established.get_mut(&link) {
            peer.has_list = true;
            self.awaited.remove(&peer.name);
        }
    }

    /// Removes a link; returns it if it was established. An entry that can't be reached is no longer
    /// awaited, unless agents name it.
    pub(super) fn remove_link(&mut self, link: LinkNo, now: Time) -> Option<Peer> {
        let peer = self.established.remove(&link);
        let targets = self.targets.iter_mut();
        for (name, target) in targets.filter(|(_, target)| target.link == Some(link)) {
            target.link = None;
            target.dial_at = target.dial_at.max(now.after_millis(REDIAL_DELAY_MS));
            if peer.is_none() && !self.linked.contains_key(name) {
                self.awaited.remove(name);
            }
        }
        self.update_targets(now);
        peer
    }

    /// Returns the links over which nothing has arrived for `limit_ms` milliseconds.
    pub(super) fn silent(&self, limit_ms: u64, now: Time) -> Vec<LinkNo> {
        let links = self.established.iter();
        let silent = links.filter(|(_, peer)| now.millis_since(peer.heard) > limit_ms);
        silent.map(|(&link, _)| link).collect()
    }

    pub(super) fn get(&self, link: LinkNo) -> Option<&Peer> {
        self.established.get(&link)
    }

    /// Returns the host name of the entry of a link, or an empty string if it is not known.
    pub(super) fn name(&self, link: LinkNo) -> &str {
        let peer = self.established.get(&link);
        peer.map_or("", |peer| peer.name.as_str())
    }

    /// Returns the established links.
    pub(super) fn links(&self) -> impl Iterator<Item = LinkNo> {
        self.established.keys().copied()
    }

    /// Returns the number of established links.
    pub(super) fn len(&self) -> usize {
        self.established.len()
    }
}

//! Links of an agent to the entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;

use crate::LinkNo;
use crate::rendezvous::weight;

/// The pause before the first new attempt to reach an entry, in milliseconds.
const REDIAL_MS: u64 = 50;

/// The longest pause between attempts to reach an entry, in milliseconds.
const MAX_REDIAL_MS: u64 = 400;

/// After this time without a link and without being named, an address is forgotten.
const FORGET_MS: u64 = 30_000;

/// How many entries an agent links to, if there are more. Each link carries a status every few
/// milliseconds under load; with 80 of them an agent passed its share of the network.
const MOST_LINKS: usize = 16;

/// How long a link that is not needed any more stays open without orders, in milliseconds: those on
/// their way still arrive.
const RETIRE_MS: u64 = 1_000;

/// An established link.
#[derive(Debug)]
pub(super) struct Link {
    /// The host name of the entry, once it has said it.
    pub(super) entry: String,
    /// When the runs of this entry end unless it renews their lease.
    pub(super) lease: Time,
    /// How many orders arrived.
    pub(super) orders: u64,
    /// When the link is closed since the agent has enough others; it takes no orders until then.
    pub(super) retire: Option<Time>,
}

/// The place of an entry in an agent's order of preference.
///
/// Each agent has an order of its own, so that all entries get about the same number of agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    weight: u64,
    addr: SocketAddr,
}

#[derive(Debug)]
struct Target {
    link: Option<LinkNo>,
    next: Time,
    pause: u64,
    forget: Time,
}

impl Target {
    /// Returns whether the entry does not answer, so that another one has to stand in for it.
    const fn is_failing(&self) -> bool {
        self.link.is_none() && self.pause > 2 * REDIAL_MS
    }
}

/// All links and the addresses to reach entries at.
#[derive(Debug)]
pub(super) struct Links {
    /// The host name of the agent.
    name: String,
    targets: BTreeMap<Rank, Target>,
    pub(super) up: BTreeMap<LinkNo, Link>,
}

impl Links {
    pub(super) const fn new(name: String) -> Self {
        Self {
            name,
            targets: BTreeMap::new(),
            up: BTreeMap::new(),
        }
    }

    fn rank(&self, addr: SocketAddr) -> Rank {
        let weight = weight(&addr.to_string(), &self.name);
        Rank { weight, addr }
    }

    /// Returns the entries that the agent links to: the first in its order that answer, and those
    /// before them that do not.
    fn wanted(&self) -> impl Iterator<Item = (&Rank, &Target)> {
        let mut answering = 0;
        self.targets.iter().take_while(move |(_, target)| {
            let more = answering < MOST_LINKS;
            answering += usize::from(!target.is_failing());
            more
        })
    }

    /// Adds addresses of entries.
    pub(super) fn learn(&mut self, addrs: &[SocketAddr], now: Time) {
        for &addr in addrs {
            let rank = self.rank(addr);
            let target = self.targets.entry(rank).or_insert(Target {
                link: None,
                next: now,
                pause: REDIAL_MS,
                forget: now,
            });
            target.forget = now.after_millis(FORGET_MS);
        }
    }

    /// Returns the addresses to dial now.
    pub(super) fn due(&mut self, now: Time) -> Vec<SocketAddr> {
        self.targets
            .retain(|_, target| target.link.is_some() || now < target.forget);
        let due = self
            .wanted()
            .filter(|(_, target)| target.link.is_none() && now >= target.next);
        let due: Vec<Rank> = due.map(|(rank, _)| *rank).collect();
        for rank in &due {
            if let Some(target) = self.targets.get_mut(rank) {
                target.next = now.after_millis(target.pause);
                target.pause = (target.pause * 2).min(MAX_REDIAL_MS);
            }
        }
        due.into_iter().map(|rank| rank.addr).collect()
    }

    pub(super) fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        let rank = self.rank(addr);
        if let Some(target) = self.targets.get_mut(&rank) {
            target.link = Some(link);
        }
    }

    pub(super) fn opened(&mut self, number: LinkNo, lease: Time, now: Time) {
        let link = Link {
            entry: String::new(),
            lease,
            orders: 0,
            retire: None,
        };
        self.up.insert(number, link);
        for target in self.targets.values_mut() {
            if target.link == Some(number) {
                target.pause = REDIAL_MS;
                target.forget = now.after_millis(FORGET_MS);
            }
        }
    }

    /// Forgets a link; returns what it was if it was established.
    pub(super) fn closed(&mut self, number: LinkNo, now: Time) -> Option<Link> {
        for target in self.targets.values_mut() {
            if target.link == Some(number) {
                target.link = None;
                target.next = target.next.max(now.after_millis(REDIAL_MS));
                target.forget = target.forget.max(now.after_millis(FORGET_MS));
            }
        }
        self.up.remove(&number)
    }

    /// Marks the links beyond those that the agent wants, such as those to its seeds, and returns the
    /// ones that may be closed now unless their entries have runs here. Returns whether any is new.
    pub(super) fn retire(&mut self, now: Time) -> (Vec<LinkNo>, bool) {
        let wanted: BTreeSet<LinkNo> = self
            .wanted()
            .filter_map(|(_, target)| target.link)
            .collect();
        let linked = self.up.keys().filter(|link| wanted.contains(link)).count();
        let enough = linked >= MOST_LINKS;
        let (mut due, mut new) = (Vec::new(), false);
        for (&number, link) in &mut self.up {
            if !enough || wanted.contains(&number) {
                link.retire = None;
                continue;
            }
            match link.retire {
                Some(at) if now >= at => due.push(number),
                Some(_) => {}
                None => {
                    link.retire = Some(now.after_millis(RETIRE_MS));
                    new = true;
                }
            }
        }
        (due, new)
    }

    /// Returns the links whose lease has run out.
    pub(super) fn expired(&self, now: Time) -> Vec<LinkNo> {
        let late = self.up.iter().filter(|(_, link)| now >= link.lease);
        late.map(|(&number, _)| number).collect()
    }

    /// Returns when the next attempt to reach an entry is due.
    pub(super) fn next_dial(&self) -> Time {
        let idle = self.wanted().filter(|(_, target)| target.link.is_none());
        idle.map(|(_, target)| target.next)
            .min()
            .unwrap_or(Time::MAX)
    }
}

//! The links of an agent to entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;

use crate::rendezvous::weight;
use crate::{LinkNo, LinkedEntry};

/// The backoff before an entry is first dialed again, in milliseconds.
const MIN_REDIAL_BACKOFF_MS: u64 = 50;

/// The maximum backoff between attempts to dial an entry, in milliseconds.
const MAX_REDIAL_BACKOFF_MS: u64 = 400;

/// How long an address is remembered after it was last announced or linked, in milliseconds.
const ADDRESS_TTL_MS: u64 = 30_000;

/// The maximum number of entries that an agent keeps links to. Each link carries a status every few
/// milliseconds under load; with 80 links an agent exceeded its share of the network.
const MAX_LINKS: usize = 16;

/// How long a surplus link stays open after it is reported as not ready, in milliseconds, so that
/// orders in flight still arrive.
const RETIRE_DELAY_MS: u64 = 1_000;

/// An established link.
#[derive(Debug)]
pub(super) struct Link {
    /// The host name of the entry; empty until its first frame arrives.
    pub(super) entry: String,
    /// When the lease of this entry's runs expires unless the entry renews it.
    pub(super) lease_expiry: Time,
    /// The number of orders received.
    pub(super) received_orders: u64,
    /// The version of the configuration that the entry offers; 0 for none.
    pub(super) offered_version: u64,
    /// When the link may be closed as surplus; until then it is reported as not ready.
    pub(super) retire_at: Option<Time>,
}

/// The rank of an entry in an agent's order of preference.
///
/// The order differs between agents, so that all entries get about the same number of agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    weight: u64,
    addr: SocketAddr,
}

/// A known address of an entry, and the state of dialing it.
#[derive(Debug)]
struct Target {
    link: Option<LinkNo>,
    dial_at: Time,
    backoff_ms: u64,
    forget_at: Time,
}

impl Target {
    /// Returns whether the entry does not answer, so that a further one is dialed in its place.
    const fn is_failing(&self) -> bool {
        self.link.is_none() && self.backoff_ms > 2 * MIN_REDIAL_BACKOFF_MS
    }
}

/// The established links and the known addresses of entries.
#[derive(Debug)]
pub(super) struct Links {
    /// The host name of the agent.
    name: String,
    targets: BTreeMap<Rank, Target>,
    pub(super) established: BTreeMap<LinkNo, Link>,
    /// Whether the named entries have changed since they were last reported.
    is_changed: bool,
}

impl Links {
    pub(super) const fn new(name: String) -> Self {
        Self {
            name,
            targets: BTreeMap::new(),
            established: BTreeMap::new(),
            is_changed: false,
        }
    }

    /// Sets the host name of the entry of a link.
    pub(super) fn set_name(&mut self, link: LinkNo, name: String) {
        if let Some(link) = self.established.get_mut(&link) {
            link.entry = name;
            self.is_changed = true;
        }
    }

    /// Returns the entries whose links are established, if they have changed since the last call.
    pub(super) fn take_changed_entries(&mut self) -> Option<Vec<LinkedEntry>> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let linked = self.targets.iter().filter_map(|(rank, target)| {
            let link = self.established.get(&target.link?)?;
            (!link.entry.is_empty()).then(|| LinkedEntry {
                name: link.entry.clone(),
                addr: rank.addr,
            })
        });
        Some(linked.collect())
    }

    fn rank(&self, addr: SocketAddr) -> Rank {
        let weight = weight(&addr.to_string(), &self.name);
        Rank { weight, addr }
    }

    /// Returns the entries to link to: the [`MAX_LINKS`] most preferred ones that are not failing,
    /// and the failing ones that rank before them.
    fn preferred(&self) -> impl Iterator<Item = (&Rank, &Target)> {
        let mut answering = 0;
        self.targets.iter().take_while(move |(_, target)| {
            let is_below_limit = answering < MAX_LINKS;
            answering += usize::from(!target.is_failing());
            is_below_limit
        })
    }

    /// Adds addresses of entries, and renews those already known.
    pub(super) fn add_addresses(&mut self, addrs: &[SocketAddr], now: Time) {
        for &addr in addrs {
            let rank = self.rank(addr);
            let target = self.targets.entry(rank).or_insert(Target {
                link: None,
                dial_at: now,
                backoff_ms: MIN_REDIAL_BACKOFF_MS,
                forget_at: now,
            });
            target.forget_at = now.after_millis(ADDRESS_TTL_MS);
        }
    }

    /// Returns the addresses to dial now, and schedules their next attempts.
    pub(super) fn take_due_dials(&mut self, now: Time) -> Vec<SocketAddr> {
        self.targets
            .retain(|_, target| target.link.is_some() || now < target.forget_at);
        let due = self
            .preferred()
            .filter(|(_, target)| target.link.is_none() && now >= target.dial_at);
        let due: Vec<Rank> = due.map(|(rank, _)| *rank).collect();
        for rank in &due {
            if let Some(target) = self.targets.get_mut(rank) {
                target.dial_at = now.after_millis(target.backoff_ms);
                target.backoff_ms = (target.backoff_ms * 2).min(MAX_REDIAL_BACKOFF_MS);
            }
        }
        due.into_iter().map(|rank| rank.addr).collect()
    }

    pub(super) fn mark_dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        let rank = self.rank(addr);
        if let Some(target) = self.targets.get_mut(&rank) {
            target.link = Some(link);
        }
    }

    pub(super) fn add_link(&mut self, number: LinkNo, lease_expiry: Time, now: Time) {
        let link = Link {
            entry: String::new(),
            lease_expiry,
            received_orders: 0,
            offered_version: 0,
            retire_at: None,
        };
        self.established.insert(number, link);
        for target in self.targets.values_mut() {
            if target.link == Some(number) {
                target.backoff_ms = MIN_REDIAL_BACKOFF_MS;
                target.forget_at = now.after_millis(ADDRESS_TTL_MS);
            }
        }
    }

    /// Removes a link and schedules a new attempt; returns the link if it was established.
    pub(super) fn remove_link(&mut self, number: LinkNo, now: Time) -> Option<Link> {
        for target in self.targets.values_mut() {
            if target.link == Some(number) {
                target.link = None;
                target.dial_at = target.dial_at.max(now.after_millis(MIN_REDIAL_BACKOFF_MS));
                target.forget_at = target.forget_at.max(now.after_millis(ADDRESS_TTL_MS));
            }
        }
        let removed = self.established.remove(&number);
        self.is_changed |= removed.is_some();
        removed
    }

    /// Marks surplus links, such as those to seeds that are not preferred. Returns the links that
    /// may be closed now unless their entries have runs here, and whether any was newly marked.
    pub(super) fn retire_surplus(&mut self, now: Time) -> (Vec<LinkNo>, bool) {
        let preferred: BTreeSet<LinkNo> = self
            .preferred()
            .filter_map(|(_, target)| target.link)
            .collect();
        let linked = self
            .established
            .keys()
            .filter(|link| preferred.contains(link))
            .count();
        let has_enough = linked >= MAX_LINKS;
        let (mut due, mut has_new) = (Vec::new(), false);
        for (&number, link) in &mut self.established {
            if !has_enough || preferred.contains(&number) {
                link.retire_at = None;
                continue;
            }
            match link.retire_at {
                Some(at) if now >= at => due.push(number),
                Some(_) => {}
                None => {
                    link.retire_at = Some(now.after_millis(RETIRE_DELAY_MS));
                    has_new = true;
                }
            }
        }
        (due, has_new)
    }

    /// Returns the links whose lease has expired.
    pub(super) fn expired(&self, now: Time) -> Vec<LinkNo> {
        let expired = self
            .established
            .iter()
            .filter(|(_, link)| now >= link.lease_expiry);
        expired.map(|(&number, _)| number).collect()
    }

    /// Returns when the lease of the first link expires unless its entry renews it.
    pub(super) fn next_expiry(&self) -> Time {
        let expiries = self.established.values().map(|link| link.lease_expiry);
        expiries.min().unwrap_or(Time::MAX)
    }

    /// Returns when the next entry is to be dialed.
    pub(super) fn next_dial(&self) -> Time {
        let unlinked = self.preferred().filter(|(_, target)| target.link.is_none());
        unlinked
            .map(|(_, target)| target.dial_at)
            .min()
            .unwrap_or(Time::MAX)
    }
}

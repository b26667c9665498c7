//! Links of an agent to the entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fulmarpond_core::Time;

use crate::LinkNo;

/// The pause before the first new attempt to reach an entry, in milliseconds.
const REDIAL_MS: u64 = 50;

/// The longest pause between attempts to reach an entry, in milliseconds.
const MAX_REDIAL_MS: u64 = 400;

/// After this time without a link and without being named, an address is forgotten.
const FORGET_MS: u64 = 30_000;

/// An established link.
#[derive(Debug)]
pub(super) struct Link {
    /// The host name of the entry, once it has said it.
    pub(super) entry: String,
    /// When the runs of this entry end unless it renews their lease.
    pub(super) lease: Time,
    /// How many orders arrived.
    pub(super) orders: u64,
}

#[derive(Debug)]
struct Target {
    link: Option<LinkNo>,
    next: Time,
    pause: u64,
    forget: Time,
}

/// All links and the addresses to reach entries at.
#[derive(Debug, Default)]
pub(super) struct Links {
    targets: BTreeMap<SocketAddr, Target>,
    pub(super) up: BTreeMap<LinkNo, Link>,
}

impl Links {
    /// Adds addresses of entries.
    pub(super) fn learn(&mut self, addrs: &[SocketAddr], now: Time) {
        for &addr in addrs {
            let target = self.targets.entry(addr).or_insert(Target {
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
            .targets
            .iter_mut()
            .filter(|(_, target)| target.link.is_none() && now >= target.next);
        due.map(|(&addr, target)| {
            target.next = now.after_millis(target.pause);
            target.pause = (target.pause * 2).min(MAX_REDIAL_MS);
            addr
        })
        .collect()
    }

    pub(super) fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        if let Some(target) = self.targets.get_mut(&addr) {
            target.link = Some(link);
        }
    }

    pub(super) fn opened(&mut self, number: LinkNo, lease: Time, now: Time) {
        let link = Link {
            entry: String::new(),
            lease,
            orders: 0,
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

    /// Returns the links whose lease has run out.
    pub(super) fn expired(&self, now: Time) -> Vec<LinkNo> {
        let late = self.up.iter().filter(|(_, link)| now >= link.lease);
        late.map(|(&number, _)| number).collect()
    }

    /// Returns when the next attempt to reach an entry is due.
    pub(super) fn next_dial(&self) -> Time {
        let idle = self.targets.values().filter(|target| target.link.is_none());
        idle.map(|target| target.next).min().unwrap_or(Time::MAX)
    }
}

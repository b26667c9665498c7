//! The entries that can place tasks, as agents tell.
//!
//! An entry without a link to an agent runs nothing. So those that agents name are the ones that may
//! start another attempt of a job, whether the store announces them or not.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;

use crate::{LinkNo, LinkedEntry};

/// How far apart an entry and an agent are lost if one cut has befallen both, in milliseconds: both are
/// noticed by silence.
const SAME_CUT_MS: u64 = 1_500;

/// How long an entry that was lost together with one of its agents is taken to be alive beyond a cut while
/// it is announced, in milliseconds.
const CUT_TTL_MS: u64 = 10_000;

/// What a lost agent has named last.
#[derive(Debug)]
struct LostReport {
    at: Time,
    entries: BTreeSet<String>,
}

/// The entries that agents are linked to, or were before they were lost.
#[derive(Debug, Default)]
pub(super) struct Membership {
    by_agent: BTreeMap<LinkNo, Vec<LinkedEntry>>,
    lost: Vec<LostReport>,
    /// The entries that linked agents name, with their addresses.
    linked: BTreeMap<String, SocketAddr>,
    /// When each entry was lost that linked agents name no longer.
    vanished: BTreeMap<String, Time>,
    is_changed: bool,
}

impl Membership {
    /// Replaces the entries that an agent is linked to.
    pub(super) fn set(&mut self, agent: LinkNo, entries: Vec<LinkedEntry>) {
        self.by_agent.insert(agent, entries);
        self.is_changed = true;
    }

    /// Records the loss of an agent, which may be alive beyond a cut with the entries that it has named.
    pub(super) fn lose_agent(&mut self, agent: LinkNo, now: Time) {
        let Some(entries) = self.by_agent.remove(&agent) else {
            return;
        };
        let entries = entries.into_iter().map(|entry| entry.name).collect();
        self.lost.push(LostReport { at: now, entries });
        self.is_changed = true;
    }

    /// Brings the entries up to date; returns whether they have changed.
    pub(super) fn update(&mut self, now: Time) -> bool {
        self.lost
            .retain(|report| now.millis_since(report.at) < CUT_TTL_MS);
        self.vanished
            .retain(|_, at| now.millis_since(*at) < CUT_TTL_MS);
        if !std::mem::take(&mut self.is_changed) {
            return false;
        }
        let named = self.by_agent.values().flatten();
        let linked = named
            .map(|entry| (entry.name.clone(), entry.addr))
            .collect();
        let before = std::mem::replace(&mut self.linked, linked);
        for name in before.into_keys() {
            if !self.linked.contains_key(&name) {
                self.vanished.insert(name, now);
            }
        }
        let linked = &self.linked;
        self.vanished.retain(|name, _| !linked.contains_key(name));
        true
    }

    /// Returns the entries that linked agents name, with their addresses.
    pub(super) const fn linked(&self) -> &BTreeMap<String, SocketAddr> {
        &self.linked
    }

    /// Returns the entries that may be alive beyond a cut, where they can reach agents that this entry
    /// can't.
    pub(super) fn cut_off(&self) -> impl Iterator<Item = &str> {
        let vanished = self.vanished.iter();
        let cut_off = vanished.filter(|(name, at)| {
            self.lost.iter().any(|report| {
                let apart_ms = at.millis_since(report.at).max(report.at.millis_since(**at));
                apart_ms <= SAME_CUT_MS && report.entries.contains(*name)
            })
        });
        cut_off.map(|(name, _)| name.as_str())
    }
}

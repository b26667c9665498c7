//! Until when the other entries are certain to hold the attempts of this one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fulmarpond_core::Time;

use super::peers::Peer;
use crate::LeaseTimes;

/// How long a list may be under way before its confirmation is of no use, in milliseconds.
const LIST_TTL_MS: u64 = 10_000;

/// How long an entry that has just appeared is certain to start nothing before it gets the lists of the
/// others, in milliseconds. It waits longer from its start on, and agents link to it within 400 ms.
const NEW_ENTRY_GRACE_MS: u64 = 600;

/// What another entry has confirmed.
#[derive(Debug)]
struct Confirmation {
    /// Since when the entry, as the process that it is, may start tasks.
    member_since: Time,
    /// The incarnation of its process, once it is known.
    incarnation: Option<u64>,
    /// When the newest list was sent that it has confirmed.
    list_sent: Option<Time>,
}

impl Confirmation {
    const fn new(now: Time) -> Self {
        Self {
            member_since: now,
            incarnation: None,
            list_sent: None,
        }
    }
}

/// The lists that were sent, and what the entries that may start tasks have confirmed of them.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    last_number: u32,
    sent: VecDeque<(u32, Time)>,
    members: BTreeMap<String, Confirmation>,
}

impl Confirmations {
    /// Returns the number of a list that is sent now.
    pub(super) fn next_number(&mut self, now: Time) -> u32 {
        let is_old = |&(_, at): &(u32, Time)| now.millis_since(at) > LIST_TTL_MS;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.last_number = self.last_number.wrapping_add(1);
        self.sent.push_back((self.last_number, now));
        self.last_number
    }

    /// Replaces the entries that may start tasks.
    pub(super) fn set_members(&mut self, names: &BTreeSet<&str>, now: Time) {
        self.members.retain(|name, _| names.contains(name.as_str()));
        for name in names {
            if !self.members.contains_key(*name) {
                self.members
                    .insert((*name).to_owned(), Confirmation::new(now));
            }
        }
    }

    /// Records the process that an entry is: a new one knows nothing yet.
    pub(super) fn meet(&mut self, peer: &Peer, now: Time) {
        let Some(confirmation) = self.members.get_mut(&peer.name) else {
            return;
        };
        if confirmation.list_sent.is_some() && confirmation.incarnation != peer.incarnation {
            *confirmation = Confirmation::new(now);
        }
        confirmation.incarnation = peer.incarnation;
    }

    /// Records that an entry has confirmed a list.
    pub(super) fn confirm(&mut self, peer: &Peer, number: u32, now: Time) {
        self.meet(peer, now);
        let sent = self.sent.iter().find(|(known, _)| *known == number);
        if let (Some(confirmation), Some(&(_, at))) = (self.members.get_mut(&peer.name), sent) {
            confirmation.list_sent = confirmation.list_sent.max(Some(at));
        }
    }

    /// Returns an entry that may not know of an attempt, and may start another one when its caller
    /// sends it again.
    pub(super) fn unaware(
        &self,
        sent_after: Time,
        lease_times: LeaseTimes,
        now: Time,
    ) -> Option<&str> {
        if now < sent_after.after_millis(lease_times.unshared_ms()) {
            return None;
        }
        let listed_from = sent_after.after_millis(lease_times.list_age_ms());
        let mut members = self.members.iter();
        let unaware = members.find(|(_, confirmation)| match confirmation.list_sent {
            Some(at) => at < listed_from || now >= at.after_millis(lease_times.known_ms()),
            None => now.millis_since(confirmation.member_since) >= NEW_ENTRY_GRACE_MS,
        });
        unaware.map(|(name, _)| name.as_str())
    }
}

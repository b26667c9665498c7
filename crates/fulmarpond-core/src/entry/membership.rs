//! Membership: announcements of agents and the roster in the platform's service.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::action::{EntryAction, StoreError, StoreItem, StoreOp, StoreReply};
use super::entry::{Entry, Pending, Step};
use crate::Time;
use crate::agent::Count;
use crate::link::{Announce, AnnounceReply, CallId, Leave, Peer, Response};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};
use crate::zone::{Roster, Zone};

/// The key of the roster in the platform's service.
pub(super) const ROSTER_KEY: &str = "roster";
/// Changes within this time go into one write, in milliseconds.
const COLLECT_MS: u64 = 100;
/// The delays between writes while the platform's service is out.
const WRITE_BACKOFF: Backoff = Backoff::new(200, 5_000);
/// The loads of other agents that one reply carries at most.
const PEERS_MAX: usize = 64;
/// How long an announcement counts as a sign of life for other agents, in milliseconds.
const PEER_MS: u64 = 5_000;
/// Milliseconds between the announcements that an entry takes, so that its own share of control
/// traffic stays the same when the fleet grows.
const ANNOUNCE_SHARE_MS: u64 = 30;
/// The longest interval between announcements in milliseconds. A configuration reaches every agent
/// within two intervals, and must be in force everywhere within 7 s.
const ANNOUNCE_MAX_MS: u64 = 3_000;
/// How long a stopping agent waits for its departure to be written, in milliseconds.
const LEAVE_MS: u64 = 1_000;

/// What an entry last heard from an agent.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) announce: Announce,
    pub(super) at: Time,
}

/// A change of the roster that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    Join {
        addr: std::net::SocketAddr,
        zone: Zone,
    },
    Leave {
        heir: Option<AgentId>,
    },
}

/// The state of the roster's writes.
#[derive(Debug, Default)]
pub(super) struct Writer {
    /// The changes that are to be written.
    changes: std::collections::BTreeMap<AgentId, Change>,
    /// The revision of the roster in the platform's service.
    revision: u64,
    /// The roster that is being written.
    writing: Option<Roster>,
    /// When the next write is due.
    due: Option<Time>,
    failures: u32,
    /// The roster versions with the time at which each was first seen, oldest first.
    versions: std::collections::VecDeque<(Time, u64)>,
    /// Calls of stopped agents that wait for the write of their departure.
    leaving: Vec<(CallId, AgentId, Time)>,
}

impl Writer {
    /// Returns when something is due.
    pub(super) fn wake(&self) -> Option<Time> {
        let leaving = self.leaving.iter().map(|(_, _, deadline)| *deadline);
        let due = self.due.filter(|_| self.writing.is_none());
        leaving.chain(due).min()
    }
}

impl Entry {
    /// Handles [`Request::Announce`](crate::link::Request::Announce).
    pub(super) fn announced<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        announce: Announce,
    ) {
        let reply = self.announce_reply(step, &announce);
        step.reply(call, Response::Announce(Box::new(reply)));
        let agent = announce.agent.clone();
        if !announce.leaving && !self.roster.contains(&agent) {
            let change = Change::Join {
                addr: announce.addr,
                zone: announce.zone.clone(),
            };
            self.want(step, &agent, change);
        }
        // An earlier incarnation at the same address has ended.
        self.heard
            .retain(|other, heard| heard.announce.addr != announce.addr || *other == agent);
        self.heard.insert(
            agent,
            Heard {
                announce,
                at: step.now,
            },
        );
    }

    fn announce_reply<R: Rng>(&self, step: &mut Step<'_, R>, announce: &Announce) -> AnnounceReply {
        let config = self
            .configs
            .get(&self.config)
            .filter(|config| config.version > announce.config);
        let age_ms = self
            .confirmed
            .map_or(u64::MAX, |confirmed| step.now.millis_since(confirmed));
        AnnounceReply {
            entry: self.options.name.clone(),
            roster: self.roster.since(announce.roster),
            age_ms,
            config: config.cloned(),
            peers: self.peers(step, Some(&announce.agent)),
            next_ms: self.interval_ms(),
        }
    }

    /// Returns the milliseconds between the announcements of an agent.
    fn interval_ms(&self) -> u64 {
        let share = self.heard.len() as u64 * ANNOUNCE_SHARE_MS;
        let longest = ANNOUNCE_MAX_MS.min(self.options.silence_ms / 4);
        share.min(longest).max(self.options.announce_ms)
    }

    /// Returns what was last heard from the agents other than `receiver`, or a random part of it.
    pub(super) fn peers<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        receiver: Option<&AgentId>,
    ) -> Vec<Peer> {
        let fresh = PEER_MS.max(3 * self.interval_ms());
        let mut peers: Vec<Peer> = self
            .heard
            .values()
            .filter(|heard| step.now.millis_since(heard.at) < fresh)
            .filter(|heard| Some(&heard.announce.agent) != receiver)
            .map(|heard| Peer {
                agent: heard.announce.agent.clone(),
                addr: heard.announce.addr,
                zone: heard.announce.zone.clone(),
                load: heard.announce.load,
                limits: heard.announce.limits,
                leaving: heard.announce.leaving,
                age_ms: step.now.millis_since(heard.at),
            })
            .collect();
        if receiver.is_some() && peers.len() > PEERS_MAX {
            peers.shuffle(step.rng);
            peers.truncate(PEERS_MAX);
        }
        peers
    }

    /// Handles [`Request::Leave`](crate::link::Request::Leave).
    pub(super) fn left<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, leave: Leave) {
        if let Some(heard) = self.heard.get_mut(&leave.agent) {
            heard.announce.leaving = true;
        }
        if !self.roster.contains(&leave.agent) {
            step.reply(call, Response::Done);
            return;
        }
        let deadline = step.now.after_millis(LEAVE_MS);
        self.writer
            .leaving
            .push((call, leave.agent.clone(), deadline));
        self.want(step, &leave.agent, Change::Leave { heir: leave.heir });
    }

    fn want<R: Rng>(&mut self, step: &mut Step<'_, R>, agent: &AgentId, change: Change) {
        self.writer.changes.insert(agent.clone(), change);
        if self.writer.due.is_none() {
            // Jitter lets one entry write first, and the others then have nothing left to write.
            let delay = COLLECT_MS + step.rng.random_range(0..=COLLECT_MS);
            self.writer.due = Some(step.now.after_millis(delay));
        }
    }

    /// Returns the roster with the wanted changes and the settled floor.
    fn next_roster(&mut self, now: Time) -> Roster {
        let mut next = self.roster.clone();
        let floor = self.settled(now);
        for (agent, change) in &self.writer.changes {
            match change {
                Change::Join { addr, zone } => {
                    if !next.join(agent, *addr, zone) && !next.contains(agent) {
                        next.revive(agent);
                    }
                }
                Change::Leave { heir } => {
                    next.leave(agent, heir.as_ref());
                }
            }
        }
        let removed = next.members().iter().any(|member| !member.is_live());
        if removed || next.version() > self.roster.version() {
            next.settle(floor);
        }
        next
    }

    /// Returns the latest version that was in force a roster window ago.
    fn settled(&mut self, now: Time) -> u64 {
        let window = self.options.window_ms;
        let versions = &mut self.writer.versions;
        while versions.len() > 1 && now.millis_since(versions[1].0) >= window {
            versions.pop_front();
        }
        versions
            .front()
            .filter(|(seen, _)| now.millis_since(*seen) >= window)
            .map_or(0, |(_, version)| *version)
    }

    fn write_roster<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        self.writer.due = None;
        if self.confirmed.is_none() {
            self.writer.due = Some(step.now.after_millis(COLLECT_MS));
            return;
        }
        let next = self.next_roster(step.now);
        if next.version() == self.roster.version() {
            self.writer.changes.clear();
            self.released(step);
            return;
        }
        let Ok(value) = serde_json::to_string(&next) else {
            return;
        };
        let item = StoreItem {
            key: ROSTER_KEY.to_owned(),
            value,
            revision: self.writer.revision,
        };
        self.writer.writing = Some(next);
        self.store(step, StoreOp::Put(item), Pending::RosterWrite);
    }

    /// Handles the outcome of a write of the roster.
    pub(super) fn roster_written<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        result: Result<StoreReply, StoreError>,
    ) {
        let next = self.writer.writing.take();
        match (result, next) {
            (Ok(StoreReply::Written(revision)), Some(next)) => {
                self.writer.failures = 0;
                self.adopt_roster(step, next, revision);
            }
            (Err(StoreError::Unavailable | StoreError::Rejected), _) => self.write_later(step),
            (Err(StoreError::Conflict), _) => {
                step.count(Count::Retry(RetryCause::Conflict));
                self.read_roster(step);
            }
            _ => {
                step.count(Count::Retry(RetryCause::StoreUnknown));
                self.read_roster(step);
            }
        }
    }

    fn read_roster<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        self.store(
            step,
            StoreOp::Get(ROSTER_KEY.to_owned()),
            Pending::RosterRead,
        );
    }

    /// Handles the outcome of a read of the roster.
    pub(super) fn roster_read<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Value(Some(item))) => {
                self.adopt_item(step, &item);
                self.writer.due = Some(step.now.after_millis(step.rng.random_range(0..COLLECT_MS)));
            }
            _ => self.write_later(step),
        }
    }

    fn write_later<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let delay = WRITE_BACKOFF.delay_ms(self.writer.failures, step.rng);
        self.writer.failures = (self.writer.failures + 1).min(10);
        self.writer.due = Some(step.now.after_millis(delay));
    }

    /// Takes over a roster that was read or watched, if it is newer.
    pub(super) fn adopt_item<R: Rng>(&mut self, step: &mut Step<'_, R>, item: &StoreItem) {
        if item.revision <= self.writer.revision {
            return;
        }
        if let Ok(roster) = serde_json::from_str::<Roster>(&item.value) {
            self.adopt_roster(step, roster, item.revision);
        }
    }

    fn adopt_roster<R: Rng>(&mut self, step: &mut Step<'_, R>, roster: Roster, revision: u64) {
        if revision <= self.writer.revision {
            return;
        }
        self.writer.revision = revision;
        self.writer.versions.push_back((step.now, roster.version()));
        self.roster = roster;
        let roster = &self.roster;
        self.writer.changes.retain(|agent, change| match change {
            Change::Join { .. } => !roster.contains(agent),
            Change::Leave { .. } => roster.contains(agent),
        });
        if !self.writer.changes.is_empty() && self.writer.due.is_none() {
            self.writer.due = Some(step.now.after_millis(COLLECT_MS));
        }
        self.released(step);
    }

    /// Replies to stopped agents whose departure is written, or that have waited long enough.
    fn released<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let roster = &self.roster;
        let now = step.now;
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.writer.leaving)
            .into_iter()
            .partition(|(_, agent, deadline)| !roster.contains(agent) || now >= *deadline);
        self.writer.leaving = waiting;
        for (call, _, _) in done {
            step.actions.push(EntryAction::Reply {
                call,
                response: Response::Done,
            });
        }
    }

    /// Handles what is due.
    pub(super) fn tick_roster<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        self.last_tick = step.now;
        self.released(step);
        self.remove_silent(step);
        let due = self.writer.due.is_some_and(|due| step.now >= due);
        if due && self.writer.writing.is_none() {
            self.write_roster(step);
        }
    }

    /// Wants the removal of agents that were silent for long.
    fn remove_silent<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let silence = self.options.silence_ms;
        let mut silent = Vec::new();
        for member in self.roster.live() {
            let heard = self.heard.get(&member.agent).map(|heard| heard.at);
            let since = heard.unwrap_or_default().max(self.awake);
            let wanted = self.writer.changes.contains_key(&member.agent);
            if !wanted && step.now.millis_since(since) > silence {
                silent.push(member.agent.clone());
            }
        }
        for agent in silent {
            self.want(step, &agent, Change::Leave { heir: None });
        }
        let awake = self.awake;
        let now = step.now;
        self.heard
            .retain(|_, heard| now.millis_since(heard.at.max(awake)) <= 2 * silence);
    }
}

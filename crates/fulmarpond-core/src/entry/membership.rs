//! Membership: announcements of agents and updates of the roster in the key-value service.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::action::{EntryAction, StoreError, StoreItem, StoreOp, StoreReply};
use super::entry::{Entry, PendingCall, Step};
use crate::Time;
use crate::agent::Count;
use crate::link::{Announce, AnnounceReply, CallId, Leave, Peer, Response};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};
use crate::zone::{Roster, Zone};

/// The key of the roster in the key-value service.
pub(super) const ROSTER_KEY: &str = "roster";
/// The base delay of a roster write, during which further changes are coalesced into it.
const COALESCE_DELAY_MS: u64 = 100;
/// The backoff between write attempts while the key-value service is unavailable.
const WRITE_BACKOFF: Backoff = Backoff::new(200, 5_000);
/// The maximum number of other agents whose load one announcement reply carries.
const MAX_PEERS: usize = 64;
/// The minimum time for which an announcement is passed on to other agents. It is longer when the
/// announcement interval is.
const PEER_VALIDITY_MS: u64 = 5_000;
/// The announcement interval per known agent. The interval grows with the fleet, so that the rate
/// of announcements at one entry stays constant.
const ANNOUNCE_INTERVAL_PER_AGENT_MS: u64 = 30;
/// The longest interval between two announcements of an agent. A configuration version reaches
/// every agent within two intervals and must be active everywhere within 7 s.
const MAX_ANNOUNCE_INTERVAL_MS: u64 = 3_000;
/// How long a stopping agent waits until its removal from the roster is written.
const LEAVE_TIMEOUT_MS: u64 = 1_000;

/// The last announcement of an agent.
#[derive(Debug)]
pub(super) struct LastAnnouncement {
    pub(super) announce: Announce,
    pub(super) received_at: Time,
}

/// A change of the roster that is pending to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RosterChange {
    Join {
        addr: std::net::SocketAddr,
        zone: Zone,
    },
    Leave {
        heir: Option<AgentId>,
    },
}

/// The state of writing the roster to the key-value service.
#[derive(Debug, Default)]
pub(super) struct RosterWriter {
    /// The changes not yet written.
    pending_changes: std::collections::BTreeMap<AgentId, RosterChange>,
    /// The revision of the adopted roster in the key-value service.
    revision: u64,
    /// The roster whose write is in flight.
    in_flight_write: Option<Roster>,
    /// When the next write is due.
    next_write_at: Option<Time>,
    /// The number of consecutive failed attempts, for the backoff.
    failure_count: u32,
    /// The adopted roster versions with the time of their adoption, oldest first.
    seen_versions: std::collections::VecDeque<(Time, u64)>,
    /// The unanswered leave calls of stopping agents, each with its deadline.
    pub(super) leaving_calls: Vec<(CallId, AgentId, Time)>,
}

impl RosterWriter {
    /// Returns when the next write or the deadline of a leave call is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        let leaving = self.leaving_calls.iter().map(|(_, _, deadline)| *deadline);
        let due = self
            .next_write_at
            .filter(|_| self.in_flight_write.is_none());
        leaving.chain(due).min()
    }
}

impl Entry {
    /// Handles [`Request::Announce`](crate::link::Request::Announce).
    pub(super) fn handle_announce<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        announce: Announce,
    ) {
        let reply = self.build_announce_reply(step, &announce);
        step.reply(call, Response::Announce(Box::new(reply)));
        let agent = announce.agent.clone();
        if !announce.leaving && !self.roster.contains(&agent) {
            let change = RosterChange::Join {
                addr: announce.addr,
                zone: announce.zone.clone(),
            };
            self.queue_change(step, &agent, change);
        }
        // Forget earlier incarnations at the same address: they have exited.
        self.announcements
            .retain(|other, last| last.announce.addr != announce.addr || *other == agent);
        self.announcements.insert(
            agent,
            LastAnnouncement {
                announce,
                received_at: step.now,
            },
        );
    }

    fn build_announce_reply<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        announce: &Announce,
    ) -> AnnounceReply {
        let config = self
            .cached_configs
            .get(&self.config_version)
            .filter(|config| config.version > announce.config);
        let age_ms = self
            .roster_confirmed_at
            .map_or(u64::MAX, |confirmed| step.now.millis_since(confirmed));
        AnnounceReply {
            entry: self.options.name.clone(),
            roster: self.roster.since(announce.roster),
            age_ms,
            config: config.cloned(),
            peers: self.peers(step, Some(&announce.agent)),
            next_ms: self.announce_interval_ms(),
        }
    }

    /// Returns the interval between two announcements of an agent, in milliseconds.
    fn announce_interval_ms(&self) -> u64 {
        let scaled_ms = self.announcements.len() as u64 * ANNOUNCE_INTERVAL_PER_AGENT_MS;
        let longest_ms = MAX_ANNOUNCE_INTERVAL_MS.min(self.options.silence_ms / 4);
        scaled_ms.min(longest_ms).max(self.options.announce_ms)
    }

    /// Returns the last announcements of the agents other than `receiver`, or, for a receiver, a
    /// random sample if there are more than [`MAX_PEERS`].
    pub(super) fn peers<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        receiver: Option<&AgentId>,
    ) -> Vec<Peer> {
        let validity_ms = PEER_VALIDITY_MS.max(3 * self.announce_interval_ms());
        let mut peers: Vec<Peer> = self
            .announcements
            .values()
            .filter(|last| step.now.millis_since(last.received_at) < validity_ms)
            .filter(|last| Some(&last.announce.agent) != receiver)
            .map(|last| Peer {
                agent: last.announce.agent.clone(),
                addr: last.announce.addr,
                zone: last.announce.zone.clone(),
                load: last.announce.load,
                limits: last.announce.limits,
                leaving: last.announce.leaving,
                age_ms: step.now.millis_since(last.received_at),
            })
            .collect();
        if receiver.is_some() && peers.len() > MAX_PEERS {
            peers.shuffle(step.rng);
            peers.truncate(MAX_PEERS);
        }
        peers
    }

    /// Handles [`Request::Leave`](crate::link::Request::Leave).
    pub(super) fn handle_leave<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        leave: Leave,
    ) {
        if let Some(last) = self.announcements.get_mut(&leave.agent) {
            last.announce.leaving = true;
        }
        if !self.roster.contains(&leave.agent) {
            step.reply(call, Response::Done);
            return;
        }
        let deadline = step.now.after_millis(LEAVE_TIMEOUT_MS);
        self.roster_writer
            .leaving_calls
            .push((call, leave.agent.clone(), deadline));
        self.queue_change(step, &leave.agent, RosterChange::Leave { heir: leave.heir });
    }

    fn queue_change<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        agent: &AgentId,
        change: RosterChange,
    ) {
        self.roster_writer
            .pending_changes
            .insert(agent.clone(), change);
        if self.roster_writer.next_write_at.is_none() {
            // With jitter, one entry usually writes first, and the others then find the change
            // already written.
            let delay = COALESCE_DELAY_MS + step.rng.random_range(0..=COALESCE_DELAY_MS);
            self.roster_writer.next_write_at = Some(step.now.after_millis(delay));
        }
    }

    /// Returns the roster with the pending changes applied and its floor raised.
    fn next_roster(&mut self, now: Time) -> Roster {
        let mut next = self.roster.clone();
        let floor = self.settled_version(now);
        for (agent, change) in &self.roster_writer.pending_changes {
            match change {
                RosterChange::Join { addr, zone } => {
                    if !next.join(agent, *addr, zone) && !next.contains(agent) {
                        next.revive(agent);
                    }
                }
                RosterChange::Leave { heir } => {
                    next.leave(agent, heir.as_ref());
                }
            }
        }
        let removed = next.members().iter().any(|member| !member.is_live());
        if removed || next.version() > self.roster.version() {
            next.raise_floor(floor);
        }
        next
    }

    /// Returns the newest version that was already adopted one roster window ago, or 0.
    fn settled_version(&mut self, now: Time) -> u64 {
        let roster_window_ms = self.options.roster_window_ms;
        let seen_versions = &mut self.roster_writer.seen_versions;
        while seen_versions.len() > 1 && now.millis_since(seen_versions[1].0) >= roster_window_ms {
            seen_versions.pop_front();
        }
        seen_versions
            .front()
            .filter(|(seen, _)| now.millis_since(*seen) >= roster_window_ms)
            .map_or(0, |(_, version)| *version)
    }

    fn write_roster<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        self.roster_writer.next_write_at = None;
        if self.roster_confirmed_at.is_none() {
            self.roster_writer.next_write_at = Some(step.now.after_millis(COALESCE_DELAY_MS));
            return;
        }
        let next = self.next_roster(step.now);
        if next.version() == self.roster.version() {
            self.roster_writer.pending_changes.clear();
            self.reply_to_leaving_agents(step);
            return;
        }
        let Ok(value) = serde_json::to_string(&next) else {
            return;
        };
        let item = StoreItem {
            key: ROSTER_KEY.to_owned(),
            value,
            revision: self.roster_writer.revision,
        };
        self.roster_writer.in_flight_write = Some(next);
        self.call_store(step, StoreOp::Put(item), PendingCall::RosterWrite);
    }

    /// Handles the result of writing the roster.
    pub(super) fn handle_roster_written<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        result: Result<StoreReply, StoreError>,
    ) {
        let next = self.roster_writer.in_flight_write.take();
        match (result, next) {
            (Ok(StoreReply::Written(revision)), Some(next)) => {
                self.roster_writer.failure_count = 0;
                self.adopt_roster(step, next, revision);
            }
            (Err(StoreError::Unavailable | StoreError::Rejected), _) => self.schedule_retry(step),
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
        self.call_store(
            step,
            StoreOp::Get(ROSTER_KEY.to_owned()),
            PendingCall::RosterRead,
        );
    }

    /// Handles the result of reading the roster.
    pub(super) fn handle_roster_read<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        result: Result<StoreReply, StoreError>,
    ) {
        match result {
            Ok(StoreReply::Value(Some(item))) => {
                self.adopt_roster_item(step, &item);
                self.roster_writer.next_write_at = Some(
                    step.now
                        .after_millis(step.rng.random_range(0..COALESCE_DELAY_MS)),
                );
            }
            _ => self.schedule_retry(step),
        }
    }

    fn schedule_retry<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let delay = WRITE_BACKOFF.delay_ms(self.roster_writer.failure_count, step.rng);
        self.roster_writer.failure_count = (self.roster_writer.failure_count + 1).min(10);
        self.roster_writer.next_write_at = Some(step.now.after_millis(delay));
    }

    /// Adopts a roster that was read or watched, if it is newer.
    pub(super) fn adopt_roster_item<R: Rng>(&mut self, step: &mut Step<'_, R>, item: &StoreItem) {
        if item.revision <= self.roster_writer.revision {
            return;
        }
        if let Ok(roster) = serde_json::from_str::<Roster>(&item.value) {
            self.adopt_roster(step, roster, item.revision);
        }
    }

    fn adopt_roster<R: Rng>(&mut self, step: &mut Step<'_, R>, roster: Roster, revision: u64) {
        if revision <= self.roster_writer.revision {
            return;
        }
        self.roster_writer.revision = revision;
        self.roster_writer
            .seen_versions
            .push_back((step.now, roster.version()));
        self.roster = roster;
        let roster = &self.roster;
        self.roster_writer
            .pending_changes
            .retain(|agent, change| match change {
                RosterChange::Join { .. } => !roster.contains(agent),
                RosterChange::Leave { .. } => roster.contains(agent),
            });
        if !self.roster_writer.pending_changes.is_empty()
            && self.roster_writer.next_write_at.is_none()
        {
            self.roster_writer.next_write_at = Some(step.now.after_millis(COALESCE_DELAY_MS));
        }
        self.reply_to_leaving_agents(step);
    }

    /// Replies to stopping agents whose removal is written or whose deadline has passed.
    fn reply_to_leaving_agents<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let roster = &self.roster;
        let now = step.now;
        let (done, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.roster_writer.leaving_calls)
                .into_iter()
                .partition(|(_, agent, deadline)| !roster.contains(agent) || now >= *deadline);
        self.roster_writer.leaving_calls = waiting;
        for (call, _, _) in done {
            step.actions.push(EntryAction::Reply {
                call,
                response: Response::Done,
            });
        }
    }

    /// Answers leave calls, removes silent agents and writes the roster if a write is due.
    pub(super) fn tick_roster<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        self.last_tick_at = step.now;
        self.reply_to_leaving_agents(step);
        self.remove_silent_agents(step);
        let is_due = self
            .roster_writer
            .next_write_at
            .is_some_and(|due| step.now >= due);
        if is_due && self.roster_writer.in_flight_write.is_none() {
            self.write_roster(step);
        }
    }

    /// Queues the removal of agents whose last announcement is older than the silence limit.
    ///
    /// The limit counts from the end of the last pause of this process at the earliest.
    fn remove_silent_agents<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let silence_ms = self.options.silence_ms;
        let mut silent = Vec::new();
        for member in self.roster.live() {
            let last_received_at = self
                .announcements
                .get(&member.agent)
                .map(|last| last.received_at);
            let since = last_received_at.unwrap_or_default().max(self.running_since);
            let is_queued = self
                .roster_writer
                .pending_changes
                .contains_key(&member.agent);
            if !is_queued && step.now.millis_since(since) > silence_ms {
                silent.push(member.agent.clone());
            }
        }
        for agent in silent {
            self.queue_change(step, &agent, RosterChange::Leave { heir: None });
        }
        let running_since = self.running_since;
        let now = step.now;
        self.announcements.retain(|_, last| {
            now.millis_since(last.received_at.max(running_since)) <= 2 * silence_ms
        });
    }
}

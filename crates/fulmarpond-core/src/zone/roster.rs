//! The versioned list of agents that may be home of a job.

use std::cmp::Reverse;
use std::net::SocketAddr;

use fulmarpond_derive::message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CANDIDATES, Member, Zone};
use crate::contract::JobId;
use crate::machine::AgentId;

/// The versioned list of agents that may be home of a job.
///
/// The platform's service holds the roster as one value. Entries change it by compare-and-swap.
/// Removed members stay listed for the roster window, because they may have accepted jobs.
#[message]
#[derive(Default)]
pub struct Roster {
    version: u64,
    /// The oldest version that a process may still act on. Changes at or before it are settled.
    floor: u64,
    members: Vec<Member>,
}

/// The changes of a roster since a version, or the whole roster.
#[message]
#[derive(Default)]
pub struct Delta {
    /// The version that the receiver has once it applied the changes.
    pub version: u64,
    /// The floor at that version.
    pub floor: u64,
    /// The members that were added or removed since, each in its latest state.
    pub changed: Vec<Member>,
}

impl Roster {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the oldest version that a process may still act on.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns all members, removed ones included.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the members of the latest version.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_live())
    }

    /// Returns the member `agent`, removed or not.
    pub fn get(&self, agent: &AgentId) -> Option<&Member> {
        self.members.iter().find(|member| member.agent == *agent)
    }

    /// Returns whether `agent` is in the latest version.
    pub fn contains(&self, agent: &AgentId) -> bool {
        self.get(agent).is_some_and(Member::is_live)
    }

    /// Returns the agents that may be home of `job` in the latest version, best first.
    ///
    /// There are [`CANDIDATES`] of them, or fewer if the roster is smaller.
    pub fn candidates(&self, job: &JobId) -> Vec<&Member> {
        let mut live: Vec<_> = self
            .live()
            .map(|member| (weight(job, member), member))
            .collect();
        live.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        live.truncate(CANDIDATES);
        live.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns whether `agent` was the first candidate for `job` at every version from `since` on.
    pub fn always_first(&self, job: &JobId, agent: &AgentId, since: u64) -> bool {
        let Some(own) = self.get(agent).filter(|member| member.live_at(since)) else {
            return false;
        };
        let own_weight = weight(job, own);
        own.is_live()
            && self
                .members
                .iter()
                .filter(|member| member.left.is_none_or(|left| left > since))
                .all(|member| weight(job, member) <= own_weight)
    }

    /// Returns every member that may have been a candidate for `job` under any version from the
    /// floor on, by descending weight.
    ///
    /// Two processes that walk this order meet at their first common member, so one of two
    /// concurrent sealers wins there.
    pub fn seal_list(&self, job: &JobId) -> Vec<&Member> {
        let mut ordered: Vec<_> = self
            .members
            .iter()
            .filter(|member| member.left.is_none_or(|left| left > self.floor))
            .map(|member| (weight(job, member), member))
            .collect();
        ordered.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        let mut list: Vec<&Member> = Vec::new();
        for (_, member) in ordered {
            if self.was_candidate(member, &list) {
                list.push(member);
            }
        }
        list
    }

    /// Returns whether there is a version from the floor on at which `member` may have been live and
    /// fewer than [`CANDIDATES`] of the heavier members certainly were.
    ///
    /// The number of live heavier members is lowest where `member` joined or where one of them left.
    fn was_candidate(&self, member: &Member, heavier: &[&Member]) -> bool {
        let start = member.joined.max(self.floor);
        let ends = heavier.iter().filter_map(|other| other.left);
        std::iter::once(start)
            .chain(ends)
            .filter(|version| *version >= start && member.may_live_at(*version))
            .any(|version| {
                heavier
                    .iter()
                    .filter(|other| other.live_at(version))
                    .count()
                    < CANDIDATES
            })
    }

    /// Follows the heirs of `agent` and returns the member that holds its memory now.
    ///
    /// Returns `None` if the memory was lost.
    pub fn keeper(&self, agent: &AgentId) -> Option<&Member> {
        let mut member = self.get(agent)?;
        // An heir joined before its predecessor left, so a chain is never longer than the list.
        for _ in 0..self.members.len() {
            if member.is_live() {
                return Some(member);
            }
            member = self.get(member.heir.as_ref()?)?;
        }
        None
    }

    /// Returns the other live agents in the order in which they are asked to take over the memory of
    /// `agent` when it stops.
    pub fn heirs_of(&self, agent: &AgentId) -> Vec<&Member> {
        let seed = agent.hash64();
        let mut heirs: Vec<&Member> = self
            .live()
            .filter(|member| member.agent != *agent)
            .collect();
        heirs.sort_by_key(|member| {
            Reverse(xxh3_64_with_seed(member.agent.as_str().as_bytes(), seed))
        });
        heirs
    }

    /// Adds an incarnation in a new version. Older incarnations at the same address are removed
    /// without heir. Returns whether anything changed.
    pub fn join(&mut self, agent: &AgentId, addr: SocketAddr, zone: &Zone) -> bool {
        if self.get(agent).is_some() {
            return false;
        }
        self.version += 1;
        for member in &mut self.members {
            if member.addr == addr && member.is_live() {
                member.left = Some(self.version);
                member.changed = self.version;
            }
        }
        self.members.push(Member {
            agent: agent.clone(),
            addr,
            zone: zone.clone(),
            joined: self.version,
            changed: self.version,
            back: None,
            left: None,
            heir: None,
        });
        true
    }

    /// Removes an incarnation in a new version. Returns whether anything changed.
    pub fn leave(&mut self, agent: &AgentId, heir: Option<&AgentId>) -> bool {
        let version = self.version + 1;
        let Some(member) = self
            .members
            .iter_mut()
            .find(|member| member.agent == *agent && member.is_live())
        else {
            return false;
        };
        member.left = Some(version);
        member.changed = version;
        member.heir = heir.cloned();
        self.version = version;
        true
    }

    /// Makes a removed incarnation a member again, unless it handed its memory over or another
    /// incarnation took its address. Returns whether anything changed.
    ///
    /// An agent that was cut off and removed for its silence still has its memory.
    pub fn revive(&mut self, agent: &AgentId) -> bool {
        let version = self.version + 1;
        let Some(index) = self
            .members
            .iter()
            .position(|member| member.agent == *agent)
        else {
            return false;
        };
        let addr = self.members[index].addr;
        if self.live().any(|member| member.addr == addr) || self.members[index].heir.is_some() {
            return false;
        }
        let member = &mut self.members[index];
        member.left = None;
        member.back = Some(version);
        member.changed = version;
        self.version = version;
        true
    }

    /// Raises the floor and drops the members that were removed at or before it.
    ///
    /// Only versions that were replaced longer ago than the roster window may become the floor.
    pub fn settle(&mut self, floor: u64) -> bool {
        let floor = floor.min(self.version);
        if floor <= self.floor {
            return false;
        }
        self.floor = floor;
        self.members
            .retain(|member| member.left.is_none_or(|left| left > floor));
        self.version += 1;
        true
    }

    /// Returns the changes since `version`, or all members if `version` is before the floor.
    pub fn since(&self, version: u64) -> Delta {
        let all = version < self.floor;
        Delta {
            version: self.version,
            floor: self.floor,
            changed: self
                .members
                .iter()
                .filter(|member| all || member.changed > version)
                .cloned()
                .collect(),
        }
    }

    /// Applies changes. An older delta changes nothing. Returns whether the version advanced.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        if self.version < delta.floor {
            // Removals up to the floor are not part of the delta, which holds all members instead.
            self.members.clear();
        }
        for changed in delta.changed {
            match self
                .members
                .iter_mut()
                .find(|member| member.agent == changed.agent)
            {
                Some(member) => *member = changed,
                None => self.members.push(changed),
            }
        }
        self.version = delta.version;
        self.floor = delta.floor;
        let floor = self.floor;
        self.members
            .retain(|member| member.left.is_none_or(|left| left > floor));
        true
    }
}

fn weight(job: &JobId, member: &Member) -> (u64, u64) {
    let digest = job.digest().to_le_bytes();
    let hash = member.agent.hash64();
    (xxh3_64_with_seed(&digest, hash), hash)
}

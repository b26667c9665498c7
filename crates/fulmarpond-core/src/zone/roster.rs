//! The versioned list of agents that may be the home of a job.

use std::cmp::Reverse;
use std::net::SocketAddr;

use fulmarpond_derive::message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CANDIDATES, Member, Zone};
use crate::contract::JobId;
use crate::machine::AgentId;

/// The versioned list of agents that may be the home of a job.
///
/// The platform's service stores the roster as one value, which entries change by compare-and-swap.
/// Removed members stay listed for the roster window, because they may have accepted jobs.
#[message]
#[derive(Default)]
pub struct Roster {
    version: u64,
    /// The oldest version that a process may still act on. Members removed at or before it are
    /// dropped.
    floor: u64,
    members: Vec<Member>,
}

/// The changes of a roster since a version, or the whole roster.
#[message]
#[derive(Default)]
pub struct Delta {
    /// The version of the roster after the changes are applied.
    pub version: u64,
    /// The [floor](Roster::floor) of that version.
    pub floor: u64,
    /// The members that were added, removed or restored since, each in its latest state.
    pub changed: Vec<Member>,
}

impl Roster {
    /// Returns the latest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the oldest version that a process may still act on.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns all members, including removed ones.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the live members, which are those of the latest version.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_live())
    }

    /// Returns the member `agent`, even if it is removed.
    pub fn get(&self, agent: &AgentId) -> Option<&Member> {
        self.members.iter().find(|member| member.agent == *agent)
    }

    /// Returns whether `agent` is a live member.
    pub fn contains(&self, agent: &AgentId) -> bool {
        self.get(agent).is_some_and(Member::is_live)
    }

    /// Returns the agents that may be the home of `job` in the latest version, by descending
    /// weight.
    ///
    /// There are [`CANDIDATES`] of them, or fewer if the roster has fewer live members.
    pub fn candidates(&self, job: &JobId) -> Vec<&Member> {
        let mut live: Vec<_> = self
            .live()
            .map(|member| (weight(job, member), member))
            .collect();
        live.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        live.truncate(CANDIDATES);
        live.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns whether `agent` was certainly the first candidate for `job` at every version from
    /// `since` on.
    pub fn is_first_candidate_since(&self, job: &JobId, agent: &AgentId, since: u64) -> bool {
        let Some(own) = self.get(agent).filter(|member| member.was_live_at(since)) else {
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
    /// Homes obtain seals in this order. Two homes that seal the same job concurrently both ask the
    /// first member that their lists have in common, and it grants its seal to only one of them.
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

    /// Returns whether there is a version from the floor on at which `member` may have been live
    /// and fewer than [`CANDIDATES`] of the `heavier` members, those of higher weight, certainly
    /// were.
    ///
    /// It suffices to check the versions at which the number of live heavier members can be lowest:
    /// the one at which `member` joined, or the floor, and those at which a heavier member left.
    fn was_candidate(&self, member: &Member, heavier: &[&Member]) -> bool {
        let start = member.joined.max(self.floor);
        let removals = heavier.iter().filter_map(|other| other.left);
        std::iter::once(start)
            .chain(removals)
            .filter(|version| *version >= start && member.may_have_been_live_at(*version))
            .any(|version| {
                heavier
                    .iter()
                    .filter(|other| other.was_live_at(version))
                    .count()
                    < CANDIDATES
            })
    }

    /// Returns the live member that has the tombstones of `agent`: the agent itself, or the last in
    /// its chain of heirs.
    ///
    /// Returns `None` if the tombstones are lost or `agent` is not listed.
    pub fn tombstone_holder(&self, agent: &AgentId) -> Option<&Member> {
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

    /// Returns the other live members in the order in which `agent` asks them to become its heir
    /// when it stops. The order differs from agent to agent, which spreads the handovers.
    pub fn heir_candidates(&self, agent: &AgentId) -> Vec<&Member> {
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

    /// Adds an incarnation in a new version and removes live incarnations at the same address
    /// without an heir. Returns whether the roster changed, which it does not if `agent` is listed
    /// already.
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

    /// Removes a live incarnation in a new version. Returns whether the roster changed.
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

    /// Restores a removed incarnation in a new version, unless it has an heir or another
    /// incarnation uses its address. Returns whether the roster changed.
    ///
    /// An agent that was removed because its announcements did not arrive, for example during a
    /// network partition, still has its tombstones.
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

    /// Raises the floor to `floor`, at most to the latest version, and drops the members removed at
    /// or before it. Returns whether the floor changed.
    ///
    /// `floor` must be a version that was in force a roster window ago, or an older one.
    pub fn raise_floor(&mut self, floor: u64) -> bool {
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

    /// Returns the members that changed since `version`, or all members if `version` is below the
    /// floor.
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

    /// Applies a delta, unless it is not newer than this roster. Returns whether the version
    /// advanced.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        if self.version < delta.floor {
            // The delta does not list members removed up to its floor. It holds all other members.
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

/// Returns the weight of `member` for `job` in rendezvous hashing. The hash of the agent breaks
/// ties.
fn weight(job: &JobId, member: &Member) -> (u64, u64) {
    let digest = job.digest().to_le_bytes();
    let hash = member.agent.hash64();
    (xxh3_64_with_seed(&digest, hash), hash)
}

//! Property tests of rosters, seal lists and roster deltas.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::contract::JobId;
use fulmarpond_core::machine::AgentId;
use fulmarpond_core::zone::{CANDIDATES, Delta, Member, Roster, Zone};
use proptest::collection::vec;
use proptest::prelude::*;
use support::property_config::config;

/// The number of hosts that the generated changes refer to.
const HOSTS: usize = 6;

/// A change to the roster.
#[derive(Debug, Clone)]
enum Change {
    /// A new incarnation starts on a host.
    Join(usize),
    /// The latest incarnation on a host leaves, optionally with an heir.
    Leave(usize, Option<usize>),
    /// The latest incarnation on a host rejoins if it was removed.
    Rejoin(usize),
    /// The floor advances to the version that is this many versions behind the latest.
    AdvanceFloor(u64),
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        4 => (0..HOSTS).prop_map(Change::Join),
        3 => (0..HOSTS, prop::option::of(0..HOSTS)).prop_map(|(host, heir)| Change::Leave(host, heir)),
        2 => (0..HOSTS).prop_map(Change::Rejoin),
        1 => (0..8_u64).prop_map(Change::AdvanceFloor),
    ];
    vec(change, 1..30)
}

/// Applies the changes in order and returns the roster of each version, oldest first.
fn roster_versions(changes: &[Change]) -> Vec<Roster> {
    let mut versions = vec![Roster::default()];
    let mut incarnations = [0_u64; HOSTS];
    let id = |host: usize, incarnation: u64| AgentId::new(&format!("host-{host}"), incarnation);
    for change in changes {
        let mut next = versions[versions.len() - 1].clone();
        match change {
            Change::Join(host) => {
                incarnations[*host] += 1;
                let port = 1_000 + u16::try_from(*host).unwrap_or(0);
                let addr = SocketAddr::from(([10, 0, 0, 1], port));
                next.join(&id(*host, incarnations[*host]), addr, &Zone::new("Saga"));
            }
            Change::Leave(host, heir) => {
                let heir = heir.map(|heir| id(heir, incarnations[heir]));
                next.leave(&id(*host, incarnations[*host]), heir.as_ref());
            }
            Change::Rejoin(host) => {
                next.revive(&id(*host, incarnations[*host]));
            }
            Change::AdvanceFloor(age) => {
                next.raise_floor(next.version().saturating_sub(*age));
            }
        }
        if next.version() > versions[versions.len() - 1].version() {
            versions.push(next);
        }
    }
    versions
}

fn agent_ids<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<AgentId> {
    members
        .into_iter()
        .map(|member| member.agent.clone())
        .collect()
}

fn members_by_agent(roster: &Roster) -> BTreeMap<AgentId, Member> {
    let members = roster.members().iter();
    members
        .map(|member| (member.agent.clone(), member.clone()))
        .collect()
}

proptest! {
    #![proptest_config(config(512))]

    /// Guards against two agents that start the same job.
    ///
    /// An agent that seals a job asks only the agents of its seal list. If the list lacks an agent
    /// that was a candidate in an older roster version, that agent can start the job as well.
    #[test]
    fn seal_lists_hold_all_former_candidates(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        let versions = roster_versions(&changes);
        for (index, roster) in versions.iter().enumerate() {
            let list = agent_ids(roster.seal_list(&job));
            for former_roster in versions[..=index].iter().filter(|former_roster| former_roster.version() >= roster.floor()) {
                for candidate in agent_ids(former_roster.candidates(&job)) {
                    prop_assert!(
                        list.contains(&candidate),
                        "{candidate} was a candidate in version {} and is not in {list:?} of {roster:?}",
                        former_roster.version(),
                    );
                }
            }
        }
    }

    /// Guards against two agents that seal the same job concurrently and block each other.
    ///
    /// Agents with different roster versions use different seal lists. If the lists order their
    /// common agents differently, each agent can obtain a seal that the other one needs.
    #[test]
    fn seal_lists_agree_on_the_order(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        let lists: Vec<_> = roster_versions(&changes).iter().map(|roster| agent_ids(roster.seal_list(&job))).collect();
        for left in &lists {
            for right in &lists {
                let common = |list: &[AgentId], filter: &[AgentId]| -> Vec<AgentId> {
                    list.iter().filter(|agent| filter.contains(agent)).cloned().collect()
                };
                prop_assert_eq!(common(left, right), common(right, left));
            }
        }
    }

    /// Guards against candidates that are not in the roster version, and against too many or too
    /// few of them.
    ///
    /// When the first candidate leaves, the others must remain candidates, so that they can take
    /// the job over.
    #[test]
    fn candidates_are_the_first_live_members(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        for roster in roster_versions(&changes) {
            let candidates = agent_ids(roster.candidates(&job));
            let distinct: BTreeSet<_> = candidates.iter().collect();
            prop_assert_eq!(distinct.len(), candidates.len());
            prop_assert_eq!(candidates.len(), roster.live().count().min(CANDIDATES));
            prop_assert!(candidates.iter().all(|agent| roster.contains(agent)));
            for agent in candidates.iter().skip(1) {
                let mut smaller = roster.clone();
                smaller.leave(&candidates[0], None);
                prop_assert!(agent_ids(smaller.candidates(&job)).contains(agent));
            }
        }
    }

    /// Guards against an agent whose roster goes back to an older version or never reaches the
    /// latest one.
    ///
    /// Deltas arrive in any order, more than once, and from versions that the receiver has
    /// already passed.
    #[test]
    fn deltas_converge_to_the_latest_roster(changes in changes(), picks in vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..20)) {
        let versions = roster_versions(&changes);
        let latest = &versions[versions.len() - 1];
        let mut replica = Roster::default();
        for (from, to) in picks {
            let (from, to) = (from.get(&versions), to.get(&versions));
            // A delta is sent for a version that the receiver had, so it never starts at a later one.
            if from.version() > replica.version() {
                continue;
            }
            let before = replica.version();
            let advanced = replica.apply(to.since(from.version()));
            prop_assert_eq!(advanced, replica.version() > before);
            prop_assert!(replica.version() >= before);
            let expected = versions.iter().find(|roster| roster.version() == replica.version());
            prop_assert_eq!(members_by_agent(&replica), expected.map(members_by_agent).unwrap_or_default());
        }
        let stale: Delta = versions[0].since(0);
        replica.apply(latest.since(replica.version()));
        prop_assert!(!replica.apply(stale));
        prop_assert_eq!(members_by_agent(&replica), members_by_agent(latest));
        prop_assert_eq!(replica.floor(), latest.floor());
    }

    /// Guards against a chain of heirs that ends at an agent that does not hold the handed-over
    /// tombstones.
    ///
    /// An heir can leave too. The chain must then lead to a live member, or to none when a member
    /// left without an heir.
    #[test]
    fn heir_chains_end_at_live_members(changes in changes()) {
        for roster in roster_versions(&changes) {
            for member in roster.members() {
                let tombstone_holder = roster.tombstone_holder(&member.agent);
                prop_assert!(tombstone_holder.is_none_or(Member::is_live));
                if member.is_live() {
                    prop_assert_eq!(
                        tombstone_holder.map(|holder| &holder.agent),
                        Some(&member.agent)
                    );
                } else if member.heir.is_none() {
                    prop_assert_eq!(tombstone_holder, None);
                }
            }
        }
    }
}

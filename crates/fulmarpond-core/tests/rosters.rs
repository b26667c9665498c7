//! Properties of rosters, seal lists and their deltas.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::contract::JobId;
use fulmarpond_core::machine::AgentId;
use fulmarpond_core::zone::{CANDIDATES, Delta, Member, Roster, Zone};
use proptest::collection::vec;
use proptest::prelude::*;
use support::cases::config;

const HOSTS: usize = 6;

/// A change of the roster.
#[derive(Debug, Clone)]
enum Change {
    /// A new incarnation starts on a host.
    Join(usize),
    /// The latest incarnation on a host leaves, at times with an heir.
    Leave(usize, Option<usize>),
    /// The latest incarnation on a host, if it was removed, comes back.
    Revive(usize),
    /// The floor moves to a version that is this many versions old.
    Settle(u64),
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        4 => (0..HOSTS).prop_map(Change::Join),
        3 => (0..HOSTS, prop::option::of(0..HOSTS)).prop_map(|(host, heir)| Change::Leave(host, heir)),
        2 => (0..HOSTS).prop_map(Change::Revive),
        1 => (0..8_u64).prop_map(Change::Settle),
    ];
    vec(change, 1..30)
}

/// Applies changes and returns the roster of each version, oldest first.
fn rosters(changes: &[Change]) -> Vec<Roster> {
    let mut all = vec![Roster::default()];
    let mut incarnations = [0_u64; HOSTS];
    let id = |host: usize, incarnation: u64| AgentId::new(&format!("host-{host}"), incarnation);
    for change in changes {
        let mut next = all[all.len() - 1].clone();
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
            Change::Revive(host) => {
                next.revive(&id(*host, incarnations[*host]));
            }
            Change::Settle(age) => {
                next.settle(next.version().saturating_sub(*age));
            }
        }
        if next.version() > all[all.len() - 1].version() {
            all.push(next);
        }
    }
    all
}

fn agents<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<AgentId> {
    members
        .into_iter()
        .map(|member| member.agent.clone())
        .collect()
}

fn members(roster: &Roster) -> BTreeMap<AgentId, Member> {
    let all = roster.members().iter();
    all.map(|member| (member.agent.clone(), member.clone()))
        .collect()
}

proptest! {
    #![proptest_config(config(512))]

    /// Guards against a job that two agents start because one is not in the other's seal list.
    #[test]
    fn seal_lists_hold_all_former_candidates(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        let all = rosters(&changes);
        for (index, roster) in all.iter().enumerate() {
            let list = agents(roster.seal_list(&job));
            for former in all[..=index].iter().filter(|former| former.version() >= roster.floor()) {
                for candidate in agents(former.candidates(&job)) {
                    prop_assert!(
                        list.contains(&candidate),
                        "{candidate} was a candidate in version {} and is not in {list:?} of {roster:?}",
                        former.version(),
                    );
                }
            }
        }
    }

    /// Guards against concurrent sealers that each get a seal which the other needs.
    #[test]
    fn seal_lists_agree_on_the_order(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        let lists: Vec<_> = rosters(&changes).iter().map(|roster| agents(roster.seal_list(&job))).collect();
        for one in &lists {
            for other in &lists {
                let common = |list: &[AgentId], with: &[AgentId]| -> Vec<AgentId> {
                    list.iter().filter(|agent| with.contains(agent)).cloned().collect()
                };
                prop_assert_eq!(common(one, other), common(other, one));
            }
        }
    }

    /// Guards against homes outside of the latest version, and against too many or too few.
    #[test]
    fn candidates_are_the_first_live_members(changes in changes(), name in "[a-z]{1,4}") {
        let job = JobId::new("kitchen", &name);
        for roster in rosters(&changes) {
            let candidates = agents(roster.candidates(&job));
            let distinct: BTreeSet<_> = candidates.iter().collect();
            prop_assert_eq!(distinct.len(), candidates.len());
            prop_assert_eq!(candidates.len(), roster.live().count().min(CANDIDATES));
            prop_assert!(candidates.iter().all(|agent| roster.contains(agent)));
            for agent in candidates.iter().skip(1) {
                let mut smaller = roster.clone();
                smaller.leave(&candidates[0], None);
                prop_assert!(agents(smaller.candidates(&job)).contains(agent));
            }
        }
    }

    /// Guards against an agent whose roster goes backward or never becomes the latest.
    #[test]
    fn deltas_converge(changes in changes(), picks in vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..20)) {
        let all = rosters(&changes);
        let latest = &all[all.len() - 1];
        let mut copy = Roster::default();
        for (from, to) in picks {
            let (from, to) = (from.get(&all), to.get(&all));
            // A delta answers a version that the receiver had, so it starts no later than that.
            if from.version() > copy.version() {
                continue;
            }
            let before = copy.version();
            let advanced = copy.apply(to.since(from.version()));
            prop_assert_eq!(advanced, copy.version() > before);
            prop_assert!(copy.version() >= before);
            let same = all.iter().find(|roster| roster.version() == copy.version());
            prop_assert_eq!(members(&copy), same.map(members).unwrap_or_default());
        }
        let stale: Delta = all[0].since(0);
        copy.apply(latest.since(copy.version()));
        prop_assert!(!copy.apply(stale));
        prop_assert_eq!(members(&copy), members(latest));
        prop_assert_eq!(copy.floor(), latest.floor());
    }

    /// Guards against a chain of heirs that ends at an agent without the memory.
    #[test]
    fn keepers_are_live(changes in changes()) {
        for roster in rosters(&changes) {
            for member in roster.members() {
                let keeper = roster.keeper(&member.agent);
                prop_assert!(keeper.is_none_or(Member::is_live));
                if member.is_live() {
                    prop_assert_eq!(keeper.map(|keeper| &keeper.agent), Some(&member.agent));
                } else if member.heir.is_none() {
                    prop_assert_eq!(keeper, None);
                }
            }
        }
    }
}

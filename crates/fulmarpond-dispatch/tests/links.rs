//! Which entries an agent links to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{Action, Agent, AgentOptions};
use fulmarpond_dispatch::{Bounds, EntryFrame, LinkNo};

/// How many entries an agent links to at most while all of them answer.
const MOST_LINKS: usize = 16;

const START: Time = Time::from_millis(10_000);

fn entries(count: u8) -> Vec<SocketAddr> {
    (1..=count)
        .map(|number| ([10, 0, 0, number], 7_720).into())
        .collect()
}

fn agent(number: u32, seeds: Vec<SocketAddr>) -> Agent {
    let options = AgentOptions {
        name: format!("side-{number}"),
        zone: "Saga".to_owned(),
        seeds,
        bounds: Bounds::new(1_300, 1_000, 50).expect("room for leases"),
        beat_ms: 1_500,
        fence: 1,
    };
    Agent::new(options, START)
}

/// Dials for a while; the entries in `away` do not answer. Returns the linked ones.
fn link(agent: &mut Agent, away: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let mut linked = BTreeSet::new();
    let mut number = 0;
    for millis in (0..3_000).step_by(10) {
        let now = START.after_millis(millis);
        let mut out = Vec::new();
        agent.tick(now, &mut out);
        for action in out {
            let Action::Dial { addr } = action else {
                continue;
            };
            number += 1;
            agent.dialed(addr, LinkNo(number));
            if away.contains(&addr) {
                agent.link_down(LinkNo(number), now, &mut Vec::new());
            } else {
                linked.insert(addr);
            }
        }
    }
    linked
}

struct Case {
    name: &'static str,
    entries: u8,
    /// How many of the entries that the agent prefers are away.
    away: usize,
    links: usize,
}

/// Guards against links that grow with the number of entries, and against an agent that is left with
/// few links when those that it prefers are away.
#[test]
fn agents_link_to_a_bounded_number_of_entries() {
    let cases = [
        Case {
            name: "small fleet",
            entries: 4,
            away: 0,
            links: 4,
        },
        Case {
            name: "small fleet with one away",
            entries: 4,
            away: 1,
            links: 3,
        },
        Case {
            name: "large fleet",
            entries: 100,
            away: 0,
            links: MOST_LINKS,
        },
        Case {
            name: "large fleet with five away",
            entries: 100,
            away: 5,
            links: MOST_LINKS,
        },
    ];
    for case in cases {
        let all = entries(case.entries);
        let preferred = link(&mut agent(1, all.clone()), &BTreeSet::new());
        let away: BTreeSet<SocketAddr> = preferred.into_iter().take(case.away).collect();
        let linked = link(&mut agent(1, all), &away);
        assert_eq!(linked.len(), case.links, "{}", case.name);
        assert!(linked.is_disjoint(&away), "{}", case.name);
    }
}

/// Guards against entries that few agents know: these get little work done.
#[test]
fn entries_get_about_the_same_number_of_agents() {
    let all = entries(64);
    let mut agents: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..400 {
        for addr in link(&mut agent(number, all.clone()), &BTreeSet::new()) {
            *agents.entry(addr).or_default() += 1;
        }
    }
    // 100 on average, with a deviation of 9.
    assert_eq!(agents.len(), 64);
    assert!(
        agents.values().all(|&count| (60..=140).contains(&count)),
        "{agents:?}"
    );
}

/// Guards against entries that all agents know first and keep their links to: the agent closes a link
/// that it does not need, a while after it has said that it takes no orders there.
#[test]
fn links_to_seeds_are_closed_when_there_are_enough_others() {
    let all = entries(60);
    let mut agent = agent(1, all[..3].to_vec());
    let mut linked: BTreeMap<LinkNo, SocketAddr> = BTreeMap::new();
    let mut number = 0;
    for millis in (0..6_000).step_by(10) {
        let now = START.after_millis(millis);
        let mut out = Vec::new();
        agent.tick(now, &mut out);
        for &link in linked.keys() {
            let sent = now.as_micros();
            agent.frame(link, EntryFrame::Renew { sent }, now, &mut out);
        }
        for action in out {
            match action {
                Action::Dial { addr } => {
                    number += 1;
                    linked.insert(LinkNo(number), addr);
                    agent.dialed(addr, LinkNo(number));
                    agent.link_up(LinkNo(number), now, &mut Vec::new());
                    let frame = EntryFrame::Entries(all.clone());
                    agent.frame(LinkNo(number), frame, now, &mut Vec::new());
                }
                Action::Close { link } => {
                    linked.remove(&link);
                }
                _ => {}
            }
        }
    }
    assert_eq!(linked.len(), MOST_LINKS);
    assert_eq!(agent.links(), MOST_LINKS);
}

/// Guards against an agent that wakes all the time for entries that it does not want.
#[test]
fn entries_beyond_the_links_wake_nobody() {
    let mut agent = agent(1, entries(100));
    link(&mut agent, &BTreeSet::new());
    let now = START.after_millis(3_000);
    agent.tick(now, &mut Vec::new());
    assert!(agent.wake() > now);
}

//! The choice of the entries that an agent links to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{Action, Agent, AgentOptions};
use fulmarpond_dispatch::{AgentFrame, EntryFrame, LeaseTimes, LinkNo, LinkedEntry};

/// The maximum number of links of an agent while all linked entries answer.
const MAX_LINKS: usize = 16;

const START: Time = Time::from_millis(10_000);

fn entry_addrs(count: u8) -> Vec<SocketAddr> {
    (1..=count)
        .map(|number| ([10, 0, 0, number], 7_720).into())
        .collect()
}

fn agent(number: u32, seeds: Vec<SocketAddr>) -> Agent {
    let options = AgentOptions {
        name: format!("side-{number}"),
        zone: "Saga".to_owned(),
        seeds,
        lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
        heartbeat_interval_ms: 1_500,
        fence: 1,
    };
    Agent::new(options, START)
}

/// Lets an agent dial for 3 s while the entries in `unreachable` do not answer, and returns the
/// linked entries.
fn dial_entries(agent: &mut Agent, unreachable: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let mut linked = BTreeSet::new();
    let mut link_number = 0;
    for millis in (0..3_000).step_by(10) {
        let now = START.after_millis(millis);
        let mut out = Vec::new();
        agent.tick(now, &mut out);
        for action in out {
            let Action::Dial { addr } = action else {
                continue;
            };
            link_number += 1;
            agent.dialed(addr, LinkNo(link_number));
            if unreachable.contains(&addr) {
                agent.link_down(LinkNo(link_number), now, &mut Vec::new());
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
    /// How many of the entries that the agent prefers are unreachable.
    unreachable: usize,
    expected_links: usize,
}

/// Guards against a number of links that grows with the number of entries, and against an agent
/// with too few links because the entries that it prefers are unreachable and it dials no others.
#[test]
fn agent_links_to_a_bounded_number_of_reachable_entries() {
    let cases = [
        Case {
            name: "small fleet",
            entries: 4,
            unreachable: 0,
            expected_links: 4,
        },
        Case {
            name: "small fleet with one entry unreachable",
            entries: 4,
            unreachable: 1,
            expected_links: 3,
        },
        Case {
            name: "large fleet",
            entries: 100,
            unreachable: 0,
            expected_links: MAX_LINKS,
        },
        Case {
            name: "large fleet with five entries unreachable",
            entries: 100,
            unreachable: 5,
            expected_links: MAX_LINKS,
        },
    ];
    for case in cases {
        let all = entry_addrs(case.entries);
        let preferred = dial_entries(&mut agent(1, all.clone()), &BTreeSet::new());
        let unreachable: BTreeSet<SocketAddr> =
            preferred.into_iter().take(case.unreachable).collect();
        let linked = dial_entries(&mut agent(1, all), &unreachable);
        assert_eq!(linked.len(), case.expected_links, "{}", case.name);
        assert!(linked.is_disjoint(&unreachable), "{}", case.name);
    }
}

/// Guards against an uneven choice of entries: an entry that few agents link to has little capacity
/// for its jobs.
#[test]
fn agents_are_spread_evenly_over_entries() {
    let all = entry_addrs(64);
    let mut agents_by_entry: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..400 {
        for addr in dial_entries(&mut agent(number, all.clone()), &BTreeSet::new()) {
            *agents_by_entry.entry(addr).or_default() += 1;
        }
    }
    // 100 on average, with a standard deviation of 9.
    assert_eq!(agents_by_entry.len(), 64);
    assert!(
        agents_by_entry
            .values()
            .all(|&count| (60..=140).contains(&count)),
        "{agents_by_entry:?}"
    );
}

/// Guards against seed entries that keep a link from every agent: all agents dial the seeds first.
/// An agent closes a link that it does not need, some time after it has announced there that it
/// takes no orders.
#[test]
fn surplus_links_to_seeds_are_closed() {
    let all = entry_addrs(60);
    let mut agent = agent(1, all[..3].to_vec());
    let mut linked: BTreeMap<LinkNo, SocketAddr> = BTreeMap::new();
    let mut link_number = 0;
    for millis in (0..6_000).step_by(10) {
        let now = START.after_millis(millis);
        let mut out = Vec::new();
        agent.tick(now, &mut out);
        for &link in linked.keys() {
            let sent = now.as_micros();
            agent.handle_frame(link, EntryFrame::Renew { sent }, now, &mut out);
        }
        for action in out {
            match action {
                Action::Dial { addr } => {
                    link_number += 1;
                    linked.insert(LinkNo(link_number), addr);
                    agent.dialed(addr, LinkNo(link_number));
                    agent.link_up(LinkNo(link_number), now, &mut Vec::new());
                    let frame = EntryFrame::Entries(all.clone());
                    agent.handle_frame(LinkNo(link_number), frame, now, &mut Vec::new());
                }
                Action::Close { link } => {
                    linked.remove(&link);
                }
                _ => {}
            }
        }
    }
    assert_eq!(linked.len(), MAX_LINKS);
    assert_eq!(agent.links(), MAX_LINKS);
}

/// Guards against an agent that busy-loops: a dial to an entry beyond its maximum number of links
/// is always due and never made.
#[test]
fn unlinked_entries_do_not_wake_an_agent_with_enough_links() {
    let mut agent = agent(1, entry_addrs(100));
    dial_entries(&mut agent, &BTreeSet::new());
    let now = START.after_millis(3_000);
    agent.tick(now, &mut Vec::new());
    assert!(agent.next_wake() > now);
}

/// Returns the entries that an agent names in the frames of its next checks, by link.
fn named_entries(agent: &mut Agent, now: Time) -> Vec<(LinkNo, Vec<LinkedEntry>)> {
    let mut out = Vec::new();
    agent.tick(now, &mut out);
    let named = out.into_iter().filter_map(|action| match action {
        Action::Send {
            link,
            frame: AgentFrame::Entries(entries),
        } => Some((link, entries)),
        _ => None,
    });
    named.collect()
}

/// Guards against an entry that takes another one for dead which can place tasks, or for alive which
/// has lost its agents: agents tell their entries of each other when a link opens or is lost.
#[test]
fn agent_names_the_entries_that_it_is_linked_to() {
    let addrs = entry_addrs(2);
    let mut agent = agent(1, addrs.clone());
    let mut out = Vec::new();
    agent.tick(START, &mut out);
    let links = [LinkNo(1), LinkNo(2)];
    let linked = |number: usize| LinkedEntry {
        name: format!("entry-{number}"),
        addr: addrs[number],
    };
    for (number, &link) in links.iter().enumerate() {
        agent.dialed(addrs[number], link);
        agent.link_up(link, START, &mut out);
        let hello = EntryFrame::Hello {
            name: format!("entry-{number}"),
            version: 0,
        };
        agent.handle_frame(link, hello, START, &mut out);
    }
    let later = |millis| START.after_millis(millis);
    let mut named = named_entries(&mut agent, later(50));
    for (_, entries) in &mut named {
        entries.sort_by(|one, other| one.name.cmp(&other.name));
    }
    let both = vec![linked(0), linked(1)];
    assert_eq!(named, [(links[0], both.clone()), (links[1], both)]);
    assert_eq!(named_entries(&mut agent, later(100)), [], "nothing changed");
    agent.link_down(links[0], later(110), &mut out);
    let named = named_entries(&mut agent, later(150));
    assert_eq!(named, [(links[1], vec![linked(1)])]);
}

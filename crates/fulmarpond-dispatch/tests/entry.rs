//! An entry alone: what it tells its agents, and what it answers.

use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::directory::Announced;
use fulmarpond_dispatch::entry::{Action, Configuration, Entry, EntryOptions, Route};
use fulmarpond_dispatch::{AgentFrame, Bounds, EntryFrame, LinkNo};

const NOW: Time = Time::from_millis(10_000);

fn entry() -> Entry {
    let options = EntryOptions {
        name: "entry-1".to_owned(),
        zone: "Saga".to_owned(),
        bounds: Bounds::new(1_300, 1_000, 50).expect("room for leases"),
        far: 1.0,
        life: 1,
        writes: 400,
        keep_ms: 120_000,
        advises: false,
    };
    Entry::new(options, NOW)
}

fn hello(version: u64) -> AgentFrame {
    AgentFrame::Hello {
        name: "agent-1".to_owned(),
        zone: "Saga".to_owned(),
        version,
    }
}

fn frames(actions: &[Action]) -> Vec<&EntryFrame> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { frame, .. } => Some(frame),
        _ => None,
    });
    sent.collect()
}

fn configuration(version: u64, prefix: &str) -> Configuration {
    let route = Route {
        name: "r".to_owned(),
        host: "desk".to_owned(),
        prefix: prefix.to_owned(),
        service: "service".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    };
    Configuration::new(version, vec![route], None)
}

/// Guards against an agent that never learns of an entry which appears between the opening of
/// its link and its first frame.
#[test]
fn agent_learns_of_entries_that_appear_before_its_first_frame() {
    let mut entry = entry();
    let link = LinkNo(1);
    let addrs: Vec<SocketAddr> = vec![([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into()];
    let announced: Vec<Announced> = addrs
        .iter()
        .map(|&addr| Announced {
            name: addr.to_string(),
            addr,
        })
        .collect();
    let mut out = Vec::new();
    entry.set_entries(&announced[..1], NOW, &mut out);
    entry.link_up(link, &mut out);
    entry.set_entries(&announced, NOW, &mut out);
    entry.frame(link, hello(0), NOW, &mut out);
    let told = frames(&out)
        .into_iter()
        .rev()
        .find_map(|frame| match frame {
            EntryFrame::Entries(addrs) => Some(addrs.clone()),
            _ => None,
        });
    assert_eq!(told, Some(addrs));
}

struct Versions {
    name: &'static str,
    read: &'static [u64],
    in_force: u64,
}

/// Guards against a configuration that goes back after a stale read.
#[test]
fn configuration_never_goes_back() {
    let cases = [
        Versions {
            name: "rising in uneven steps",
            read: &[1, 4, 19],
            in_force: 19,
        },
        Versions {
            name: "stale read",
            read: &[7, 5],
            in_force: 7,
        },
        Versions {
            name: "repeated",
            read: &[7, 7],
            in_force: 7,
        },
    ];
    for case in cases {
        let mut entry = entry();
        for &version in case.read {
            entry.configure(configuration(version, "/jobs/"), &mut Vec::new());
        }
        assert_eq!(entry.version(), case.in_force, "{}", case.name);
    }
}

/// Guards against an entry that keeps the configuration to itself, or sends it needlessly.
#[test]
fn configuration_is_given_to_agents_with_an_older_one() {
    for (agent, given) in [(0, true), (3, false), (4, false)] {
        let mut entry = entry();
        entry.configure(configuration(3, "/jobs/"), &mut Vec::new());
        let mut out = Vec::new();
        entry.frame(LinkNo(1), hello(agent), NOW, &mut out);
        let sent = frames(&out)
            .iter()
            .any(|frame| matches!(frame, EntryFrame::Configuration(_)));
        assert_eq!(sent, given, "agent with version {agent}");
    }
}

struct Lookup {
    name: &'static str,
    host: &'static str,
    path: &'static str,
    found: Option<(&'static str, &'static str)>,
}

/// Guards against a request that reaches another queue than its host and path name.
#[test]
fn longest_prefix_of_the_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        service: "service".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    };
    let routes = vec![
        route("short", "desk", "/a/"),
        route("long", "desk", "/a/b/"),
        route("other", "shop", "/a/"),
    ];
    let configuration = Configuration::new(1, routes, None);
    let cases = [
        Lookup {
            name: "short prefix",
            host: "desk",
            path: "/a/1",
            found: Some(("short", "1")),
        },
        Lookup {
            name: "long prefix",
            host: "desk",
            path: "/a/b/1",
            found: Some(("long", "1")),
        },
        Lookup {
            name: "host in other case and with a port",
            host: "SHOP:8080",
            path: "/a/1?x=y",
            found: Some(("other", "1")),
        },
        Lookup {
            name: "unknown host",
            host: "yard",
            path: "/a/1",
            found: None,
        },
        Lookup {
            name: "unknown path",
            host: "desk",
            path: "/c/1",
            found: None,
        },
    ];
    for case in cases {
        let found = configuration.route(case.host, case.path);
        let found = found
            .as_ref()
            .map(|(route, rest)| (route.name.as_str(), *rest));
        assert_eq!(found, case.found, "{}", case.name);
    }
}

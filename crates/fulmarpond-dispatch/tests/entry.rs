//! A single entry: the frames that it sends to its agents, its configuration and its routing.

mod entry_setup;

use std::net::SocketAddr;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::{Configuration, ConfigurationUpdate, Route};
use fulmarpond_dispatch::directory::AnnouncedEntry;
use fulmarpond_dispatch::entry::{Action, Entry};
use fulmarpond_dispatch::{AgentFrame, EntryFrame, LinkNo};

const NOW: Time = Time::from_millis(10_000);

fn entry() -> Entry {
    let options = entry_setup::options();
    Entry::new(options, NOW)
}

fn hello(version: u64) -> AgentFrame {
    AgentFrame::Hello {
        name: "agent-1".to_owned(),
        zone: "Saga".to_owned(),
        version,
    }
}

fn sent_frames(actions: &[Action]) -> Vec<&EntryFrame> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { frame, .. } => Some(frame),
        _ => None,
    });
    sent.collect()
}

fn configuration(version: u64, prefix: &str) -> Configuration {
    let route = Route {
        prefix: prefix.to_owned(),
        ..entry_setup::route()
    };
    Configuration::new(version, vec![route], None)
}

/// Guards against an agent that never links to a new entry: the entry is announced after the
/// agent's link opens and before its first frame, when the agent does not receive updates yet.
#[test]
fn agent_receives_entries_announced_before_its_first_frame() {
    let mut entry = entry();
    let link = LinkNo(1);
    let addrs: Vec<SocketAddr> = vec![([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into()];
    let announced: Vec<AnnouncedEntry> = addrs
        .iter()
        .map(|&addr| AnnouncedEntry {
            name: addr.to_string(),
            addr,
        })
        .collect();
    let mut out = Vec::new();
    entry.set_entries(&announced[..1], NOW, &mut out);
    entry.link_up(link, &mut out);
    entry.set_entries(&announced, NOW, &mut out);
    entry.handle_frame(link, hello(0), NOW, &mut out);
    let last_sent = sent_frames(&out)
        .into_iter()
        .rev()
        .find_map(|frame| match frame {
            EntryFrame::Entries(addrs) => Some(addrs.clone()),
            _ => None,
        });
    assert_eq!(last_sent, Some(addrs));
}

struct VersionCase {
    name: &'static str,
    received: &'static [u64],
    expected: u64,
}

/// Guards against a stale read of the store that replaces a configuration by an older one.
#[test]
fn configuration_version_never_decreases() {
    let cases = [
        VersionCase {
            name: "increasing with gaps",
            received: &[1, 4, 19],
            expected: 19,
        },
        VersionCase {
            name: "stale read",
            received: &[7, 5],
            expected: 7,
        },
        VersionCase {
            name: "same version twice",
            received: &[7, 7],
            expected: 7,
        },
    ];
    for case in cases {
        let mut entry = entry();
        for &version in case.received {
            entry.configure(configuration(version, "/jobs/"), NOW, &mut Vec::new());
        }
        assert_eq!(entry.version(), case.expected, "{}", case.name);
    }
}

/// Guards against an agent that keeps an outdated configuration because the entry does not offer its
/// own, against a configuration that is sent unasked, and against needless offers and sends to an
/// agent that has the same or a newer version.
#[test]
fn configuration_is_offered_and_sent_only_to_agents_with_an_older_version() {
    for (agent_version, is_expected) in [(0, true), (3, false), (4, false)] {
        let mut entry = entry();
        entry.configure(configuration(3, "/jobs/"), NOW, &mut Vec::new());
        let mut out = Vec::new();
        entry.handle_frame(LinkNo(1), hello(agent_version), NOW, &mut out);
        let offer = EntryFrame::ConfigurationVersion(3);
        let is_offered = sent_frames(&out).contains(&&offer);
        assert_eq!(
            is_offered, is_expected,
            "agent with version {agent_version}"
        );
        let is_whole = |frame: &&EntryFrame| matches!(frame, EntryFrame::Configuration(_));
        assert!(!sent_frames(&out).iter().any(is_whole), "sent unasked");
        let mut out = Vec::new();
        let request = AgentFrame::RequestConfiguration(agent_version);
        entry.handle_frame(LinkNo(1), request, NOW, &mut out);
        let update = ConfigurationUpdate::Whole(configuration(3, "/jobs/"));
        let reply = EntryFrame::Configuration(update);
        let is_sent = sent_frames(&out).contains(&&reply);
        assert_eq!(is_sent, is_expected, "agent with version {agent_version}");
    }
}

struct RouteCase {
    name: &'static str,
    host: &'static str,
    path: &'static str,
    expected: Option<(&'static str, &'static str)>,
}

/// Guards against a request that is routed to the wrong queue: prefixes overlap, the Host header
/// has other case or a port, or no route matches.
#[test]
fn request_takes_the_longest_matching_prefix_of_its_host() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..entry_setup::route()
    };
    let routes = vec![
        route("short", "desk", "/a/"),
        route("long", "desk", "/a/b/"),
        route("other", "shop", "/a/"),
    ];
    let configuration = Configuration::new(1, routes, None);
    let cases = [
        RouteCase {
            name: "short prefix",
            host: "desk",
            path: "/a/1",
            expected: Some(("short", "1")),
        },
        RouteCase {
            name: "long prefix",
            host: "desk",
            path: "/a/b/1",
            expected: Some(("long", "1")),
        },
        RouteCase {
            name: "host in upper case and with a port",
            host: "SHOP:8080",
            path: "/a/1?x=y",
            expected: Some(("other", "1")),
        },
        RouteCase {
            name: "unknown host",
            host: "yard",
            path: "/a/1",
            expected: None,
        },
        RouteCase {
            name: "unknown path",
            host: "desk",
            path: "/c/1",
            expected: None,
        },
    ];
    for case in cases {
        let found = configuration.route(case.host, case.path);
        let found = found
            .as_ref()
            .map(|(route, rest)| (route.name.as_str(), *rest));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

//! Settings of leased mode, and the templates that the platform fills in.

use std::time::Duration;

use fulmarpond_settings::{Document, LeasedRole, LeasedSettings};

const ENTRY: &str = include_str!("../../../deploy/entry.ini");
const AGENT: &str = include_str!("../../../deploy/agent.ini");

/// Fills a template in as the platform does: sections are kept, placeholders get their values.
fn fill(template: &str) -> String {
    let values = [
        ("NodeName", "edge-boa-viagem-1"),
        ("Zone", "boa-viagem"),
        ("Ip", "10.1.0.13"),
        ("Listen.Front", "10.1.0.13:8161"),
        ("Listen.Readiness", "10.1.0.13:8167"),
        ("Listen.Control", "10.1.0.13:8166"),
        ("PortRange.0", "7720"),
        ("Seeds", "10.1.0.13:8166,10.2.0.30:8166"),
        ("platform.Address", "10.200.1.7:8169"),
        ("platform.WritesPerS", "400"),
        ("Advice", "10.200.1.9:8169"),
        ("CloudApi.Address", "10.200.0.79:8169"),
        ("Bounds.LeaseMs", "3000"),
        ("Bounds.ResendMs", "1300"),
        ("Bounds.HoldMaxMs", "1000"),
        ("Bounds.StopMs", "50"),
        ("Bounds.GraceS", "6"),
        ("Bounds.FarX", "1.5"),
        ("Bounds.status_s", "120"),
        ("HeartbeatMs", "1500"),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        for section in [format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}")] {
            text = text.replace(&section, "");
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

fn read(text: &str) -> Result<LeasedSettings, String> {
    let document = Document::parse("boot.ini", text).map_err(|error| format!("{error:?}"))?;
    assert!(LeasedSettings::is_leased(&document));
    LeasedSettings::try_from(&document).map_err(|error| format!("{error:?}"))
}

/// Guards against templates that the daemon can't read.
#[test]
fn templates_give_valid_settings() {
    let entry = read(&fill(ENTRY)).expect("settings of an entry");
    let LeasedRole::Entry {
        link,
        writes,
        advice,
        hosts,
        handover,
        ..
    } = entry.role
    else {
        panic!("an entry was expected");
    };
    assert_eq!((link.to_string().as_str(), writes), ("10.1.0.13:7720", 400));
    assert_eq!(advice.map(|addr| addr.port()), Some(8169));
    assert_eq!(hosts.map(|addr| addr.port()), Some(8169));
    assert_eq!(handover, Duration::from_secs(3));
    assert_eq!(entry.timing.resend, Duration::from_millis(1_300));
    assert_eq!(entry.timing.keep, Duration::from_secs(120));

    let agent = read(&fill(AGENT)).expect("settings of an agent");
    let LeasedRole::Agent { seeds, .. } = agent.role else {
        panic!("an agent was expected");
    };
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.13:7720", "10.2.0.30:7720"]);
}

/// Guards against a daemon that does not start on a platform that states fewer or other figures.
#[test]
fn times_may_be_missing_or_have_fractions() {
    let text = fill(ENTRY)
        .replace("resend = 1300ms\n", "")
        .replace("grace = 6s", "grace = 6.5s")
        .replace("writes = 400", "writes = 400.0");
    let settings = read(&text).expect("settings of an entry");
    assert_eq!(settings.timing.resend, Duration::from_millis(1_300));
    assert_eq!(settings.timing.grace, Duration::from_millis(6_500));
    assert!(matches!(
        settings.role,
        LeasedRole::Entry { writes: 400, .. }
    ));
}

struct Faulty {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    problem: &'static str,
}

/// Guards against faulty settings that are taken silently.
#[test]
fn faulty_settings_are_reported() {
    let cases = [
        Faulty {
            name: "unknown role",
            from: "role = entry",
            to: "role = home",
            problem: "expected `entry` or `agent`",
        },
        Faulty {
            name: "missing address",
            from: "readiness =",
            to: "; readiness =",
            problem: "the key is missing",
        },
        Faulty {
            name: "misspelt key",
            from: "resend =",
            to: "resnd =",
            problem: "resend",
        },
        Faulty {
            name: "no unit",
            from: "1300ms",
            to: "1300",
            problem: "lacks a unit",
        },
        Faulty {
            name: "unknown section",
            from: "[placement]",
            to: "[placment]",
            problem: "placement",
        },
    ];
    for case in cases {
        let text = fill(ENTRY).replace(case.from, case.to);
        let error = read(&text).expect_err(case.name);
        assert!(error.contains(case.problem), "{}: {error}", case.name);
    }
}

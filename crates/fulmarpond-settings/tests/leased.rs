//! Settings of leased mode, and the templates that the platform renders.

use std::time::Duration;

use fulmarpond_settings::{Document, LeasedRole, LeasedSettings};

const ENTRY: &str = include_str!("../../../deploy/entry.ini");
const AGENT: &str = include_str!("../../../deploy/agent.ini");

/// Renders a template like the platform with all values present: removes the section tags and
/// replaces the placeholders.
fn render_template(template: &str) -> String {
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
        ("Bounds.EvacMs", "5000"),
        ("Bounds.status_s", "120"),
        ("HeartbeatMs", "1500"),
        ("Limits.MemoryMb", "260"),
        ("Limits.MaxFds", "4100"),
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

fn read_settings(text: &str) -> Result<LeasedSettings, String> {
    let document = Document::parse("boot.ini", text).map_err(|error| format!("{error:?}"))?;
    assert!(LeasedSettings::is_leased(&document));
    LeasedSettings::try_from(&document).map_err(|error| format!("{error:?}"))
}

/// Guards against templates whose rendered text the daemon rejects or reads incorrectly. This
/// happens when a key is renamed in the daemon but not in the template, or when units differ.
#[test]
fn templates_give_valid_settings() {
    let entry = read_settings(&render_template(ENTRY)).expect("settings of an entry");
    let LeasedRole::Entry {
        link,
        store_writes_per_second,
        advice,
        hosts,
        handover,
        ..
    } = entry.role
    else {
        panic!("expected an entry");
    };
    assert_eq!(
        (link.to_string().as_str(), store_writes_per_second),
        ("10.1.0.13:7720", 400)
    );
    assert_eq!(advice.map(|addr| addr.port()), Some(8169));
    assert_eq!(hosts.map(|addr| addr.port()), Some(8169));
    assert_eq!(handover, Duration::from_secs(3));
    assert_eq!(entry.timing.resend, Duration::from_millis(1_300));
    assert_eq!(entry.timing.job_retention, Duration::from_secs(120));

    assert_eq!(entry.limits.memory, 260 * 1024 * 1024);
    assert_eq!(entry.limits.descriptors, 4_100);

    let agent = read_settings(&render_template(AGENT)).expect("settings of an agent");
    let LeasedRole::Agent {
        seeds, evacuation, ..
    } = agent.role
    else {
        panic!("expected an agent");
    };
    let evacuation = evacuation.expect("settings of evacuations");
    assert_eq!(evacuation.store.to_string(), "10.200.1.7:8169");
    assert_eq!(evacuation.bound, Duration::from_secs(5));
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.13:7720", "10.2.0.30:7720"]);
}

/// Guards against a daemon that fails to start because the platform leaves out a duration, or
/// renders a duration or a rate with a fraction.
#[test]
fn times_may_be_missing_or_have_fractions() {
    let text = render_template(ENTRY)
        .replace("resend = 1300ms\n", "")
        .replace("grace = 6s", "grace = 6.5s")
        .replace("writes = 400", "writes = 400.0");
    let settings = read_settings(&text).expect("settings of an entry");
    assert_eq!(settings.timing.resend, Duration::from_millis(1_300));
    assert_eq!(settings.timing.grace, Duration::from_millis(6_500));
    assert!(matches!(
        settings.role,
        LeasedRole::Entry {
            store_writes_per_second: 400,
            ..
        }
    ));
}

struct InvalidCase {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    expected_error: &'static str,
}

/// Guards against invalid settings that are accepted without an error. A misspelt key or section
/// would then be ignored, and its default would apply.
#[test]
fn faulty_settings_are_reported() {
    let cases = [
        InvalidCase {
            name: "memory without a unit",
            from: "memory = 260MB",
            to: "memory = 260",
            expected_error: "expected a size of at least 24MB",
        },
        InvalidCase {
            name: "too few descriptors",
            from: "descriptors = 4100",
            to: "descriptors = 12",
            expected_error: "expected at least 64",
        },
        InvalidCase {
            name: "unknown role",
            from: "role = entry",
            to: "role = home",
            expected_error: "expected `entry` or `agent`",
        },
        InvalidCase {
            name: "missing address",
            from: "readiness =",
            to: "; readiness =",
            expected_error: "the key is missing",
        },
        InvalidCase {
            name: "misspelt key",
            from: "resend =",
            to: "resnd =",
            expected_error: "resend",
        },
        InvalidCase {
            name: "no unit",
            from: "1300ms",
            to: "1300",
            expected_error: "lacks a unit",
        },
        InvalidCase {
            name: "unknown section",
            from: "[placement]",
            to: "[placment]",
            expected_error: "placement",
        },
        InvalidCase {
            name: "no zone",
            from: "zone = boa-viagem",
            to: "zone = boa viagem",
            expected_error: "without spaces",
        },
        InvalidCase {
            name: "rate that stops all writes",
            from: "writes = 400",
            to: "writes = 0",
            expected_error: "rate per second",
        },
        InvalidCase {
            name: "negative rate",
            from: "writes = 400",
            to: "writes = -400",
            expected_error: "rate per second",
        },
        InvalidCase {
            name: "factor that is not a number",
            from: "far = 1.5",
            to: "far = NaN",
            expected_error: "expected a factor",
        },
        InvalidCase {
            name: "factor that makes distant endpoints look fast",
            from: "far = 1.5",
            to: "far = 0.5",
            expected_error: "expected a factor",
        },
        InvalidCase {
            name: "log without lines",
            from: "far = 1.5",
            to: "far = 1.5\n[log]\nlines = 0",
            expected_error: "lines per second",
        },
    ];
    for case in cases {
        let text = render_template(ENTRY).replace(case.from, case.to);
        let error = read_settings(&text).expect_err(case.name);
        assert!(
            error.contains(case.expected_error),
            "{}: {error}",
            case.name
        );
    }
}

/// Guards against an agent whose shares differ from its settings, or that starts with weights which
/// let a class starve.
#[test]
fn sharing_is_read_and_checked() {
    let read = |lines: &str| read_settings(&format!("{}\n{lines}", render_template(AGENT)));
    let sharing = |lines: &str| match read(lines).expect("settings of an agent").role {
        LeasedRole::Agent { sharing, .. } => (sharing.weights, sharing.preemption),
        LeasedRole::Entry { .. } => panic!("expected an agent"),
    };
    assert_eq!(sharing(""), ([4, 2, 1], true));
    let changed = sharing("[sharing]\nweights = 8, 1,1\npreemption = off");
    assert_eq!(changed, ([8, 1, 1], false));
    for (line, expected_error) in [
        ("weights = 4,2", "three weights"),
        ("weights = 4,2,1,1", "three weights"),
        ("weights = 4,2,0", "three weights"),
        ("weights = 4,2,1001", "three weights"),
        ("weights = high", "three weights"),
        ("preemption = yes", "`on` or `off`"),
        ("weigths = 4,2,1", "weights"),
    ] {
        let error = read(&format!("[sharing]\n{line}")).expect_err(line);
        assert!(error.contains(expected_error), "{line}: {error}");
    }
}

/// Guards against faults that are reported one by one: with an invalid port, invalid seeds were
/// reported only after the port had been corrected.
#[test]
fn all_faults_are_reported_at_once() {
    let text = render_template(AGENT)
        .replace("link_port = 7720", "link_port = many")
        .replace("10.2.0.30:8166", "10.2.0.30");
    let error = read_settings(&text).expect_err("two faults");
    assert!(
        error.contains("many") && error.contains("10.2.0.30"),
        "{error}"
    );
}

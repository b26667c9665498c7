//! Daemon settings: defaults, values of a file, builders and reports.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use expect_test::{Expect, expect};
use fulmarpond_settings::{
    DaemonSettings, Document, EntrySettings, LimitSettings, LogFormat, LogLevel, LogSettings, Role,
    SettingsErrors, TimingSettings,
};
use miette::{GraphicalReportHandler, GraphicalTheme};

const ENTRY: &str = "[daemon]\nrole = entry\nname = entry-1\nzone = Boa Viagem\n[listen]\n\
                     http = 127.0.0.1:7101\nlink = 127.0.0.1:7102\n[platform]\nkv = 127.0.0.1:7001\n";

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn read_settings(text: &str) -> Result<DaemonSettings, SettingsErrors> {
    DaemonSettings::try_from(&Document::parse("daemon.ini", text)?)
}

fn entry() -> DaemonSettings {
    DaemonSettings::entry("entry-1", "Boa Viagem", addr(7101), addr(7102), addr(7001))
}

/// Guards against defaults that differ from the documented ones, because only the code was changed,
/// and against defaults that differ between a file and the builder.
#[test]
fn defaults_match_documentation() {
    let settings = read_settings(ENTRY).unwrap();
    assert_eq!(settings, entry());
    assert_eq!(settings.advertise, settings.link);
    assert_eq!(settings.secret_file, None);
    let Role::Entry(role) = &settings.role else {
        panic!("the role is {}", settings.role.as_str());
    };
    assert_eq!(role.timeout, Duration::from_millis(500));
    assert_eq!((&role.callers_file, &role.operators_file), (&None, &None));
    let log = LogSettings {
        level: LogLevel::Info,
        format: LogFormat::Text,
    };
    assert_eq!(settings.log, log);
    let limits = LimitSettings {
        body: 4 * 1024 * 1024,
        tasks: 670,
        deadline: Duration::from_secs(300),
        callers: 512,
        headers: 64,
    };
    assert_eq!(settings.limits, limits);
    let timing = TimingSettings {
        announce: Duration::from_millis(500),
        silence: Duration::from_secs(30),
        roster_window: Duration::from_secs(2 * 3600),
        memory_window: Duration::from_secs(2 * 3600),
        answer_margin: Duration::from_secs(60),
        lease: Duration::from_secs(3),
        keepalive: Duration::from_secs(1),
        link_timeout: Duration::from_secs(3),
        drain: Duration::from_secs(310),
    };
    assert_eq!(settings.timing, timing);
}

/// Guards against a key that sets the wrong field or none, for example because its name or field is
/// copied from the key above. The keys of a section have distinct values, so that swapped fields
/// are found.
#[test]
fn every_key_sets_its_field() {
    let text = format!(
        "{ENTRY}timeout = 2s\n[listen]\nadvertise = 192.0.2.1:7102\n\
         [cluster]\nsecret_file = /etc/secret\n[log]\nlevel = trace\nformat = json\n\
         [limits]\nbody = 64KB\ntasks = 10\ndeadline = 1m\ncallers = 11\nheaders = 12\n\
         [timing]\nannounce = 1s\nsilence = 2s\nroster_window = 3h\nmemory_window = 1h\n\
         answer_margin = 4s\nlease = 5s\nkeepalive = 6s\nlink_timeout = 7s\ndrain = 8 s\n\
         [auth]\ncallers_file = callers\noperators_file = operators\n"
    );
    let limits = LimitSettings::default()
        .body(65_536)
        .tasks(10)
        .deadline(Duration::from_secs(60))
        .callers(11)
        .headers(12);
    let timing = TimingSettings::default()
        .announce(Duration::from_secs(1))
        .silence(Duration::from_secs(2))
        .roster_window(Duration::from_secs(3 * 3600))
        .memory_window(Duration::from_secs(3600))
        .answer_margin(Duration::from_secs(4))
        .lease(Duration::from_secs(5))
        .keepalive(Duration::from_secs(6))
        .link_timeout(Duration::from_secs(7))
        .drain(Duration::from_secs(8));
    let role = EntrySettings::new(addr(7001))
        .timeout(Duration::from_secs(2))
        .callers_file("callers")
        .operators_file("operators");
    let log = LogSettings::default()
        .level(LogLevel::Trace)
        .format(LogFormat::Json);
    let expected = entry()
        .role(Role::Entry(role))
        .advertise("192.0.2.1:7102".parse().unwrap())
        .secret_file("/etc/secret")
        .log(log)
        .limits(limits)
        .timing(timing);
    assert_eq!(read_settings(&text).unwrap(), expected);
    assert_eq!(
        expected.secret_file.as_deref(),
        Some(Path::new("/etc/secret"))
    );
}

/// Guards against an agent that reads only the first entry of the list, or rejects blanks around
/// the comma or an IPv6 address, which contains the separator between address and port.
#[test]
fn agent_reads_all_entries() {
    let text = "[daemon]\nrole = agent\nname = saga-1\nzone = Saga\n[listen]\n\
                http = 127.0.0.1:7201\nlink = [::1]:7202\n\
                [cluster]\nentries = 127.0.0.1:7102 ,[::1]:7112\n";
    let entries = vec![addr(7102), "[::1]:7112".parse().unwrap()];
    let link = "[::1]:7202".parse().unwrap();
    let expected = DaemonSettings::agent("saga-1", "Saga", addr(7201), link, entries);
    assert_eq!(read_settings(text).unwrap(), expected);
}

struct BuiltCase {
    settings: DaemonSettings,
    error: Expect,
}

/// Guards against programs that start a role with settings that are invalid in a file. The parsers
/// of values don't run for settings that are built in code, so `checked` has to repeat their rules.
#[test]
fn built_settings_are_checked() {
    let second = Duration::from_secs(1);
    let timing = TimingSettings::default;
    let cases = [
        BuiltCase {
            settings: DaemonSettings::agent("saga~1", "Saga", addr(1), addr(2), vec![addr(3)]),
            error: expect![[r#"
                [daemon] name: expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `saga~1`"#]],
        },
        BuiltCase {
            settings: DaemonSettings::agent("saga-1", "", addr(1), addr(2), vec![addr(3)]),
            error: expect![[r#"
                [daemon] zone: expected 1 to 64 bytes without control characters, got ``"#]],
        },
        BuiltCase {
            settings: DaemonSettings::agent("saga-1", "Saga", addr(1), addr(2), vec![]),
            error: expect!["[cluster] entries: expected at least one IP:port"],
        },
        BuiltCase {
            settings: DaemonSettings::agent("saga-1", "Saga", addr(1), addr(1), vec![addr(3)]),
            error: expect!["[listen] link: http and link must differ, both are 127.0.0.1:1"],
        },
        BuiltCase {
            settings: entry().timing(timing().lease(Duration::ZERO)),
            error: expect!["[timing] lease: must be above 0"],
        },
        BuiltCase {
            settings: entry().limits(LimitSettings::default().headers(0)),
            error: expect!["[limits] headers: must be above 0"],
        },
        BuiltCase {
            settings: entry().timing(timing().link_timeout(second)),
            error: expect!["[timing] link_timeout: link_timeout (1s) must be above keepalive (1s)"],
        },
        BuiltCase {
            settings: entry().advertise("0.0.0.0:7102".parse().unwrap()),
            error: expect![[r#"
                [listen] advertise: other processes can't connect to 0.0.0.0:7102; set advertise to an address of this host"#]],
        },
    ];
    for case in cases {
        let error = case.settings.checked().unwrap_err();
        case.error.assert_eq(&error.to_string());
    }
    assert_eq!(entry().checked(), Ok(entry()));
    // Port 0 lets the operating system choose a port, so equal addresses with port 0 don't
    // conflict.
    let with_port_0 = DaemonSettings::entry("entry-1", "Saga", addr(0), addr(0), addr(7001));
    assert_eq!(with_port_0.clone().checked(), Ok(with_port_0));
}

struct ReportCase {
    text: &'static str,
    report: Expect,
}

/// Guards against reports that omit an error or its line. Labels may be lost when several errors
/// share a line, are far apart, or the file is empty and has no line to attach them to.
#[test]
fn report_shows_each_invalid_line() {
    let cases = [
        ReportCase {
            text: "[daemon]\nrole = agent\nname = saga 1\nzone = Saga\n\n[listen]\n\
                   http = 127.0.0.1\n\n\n\n\n\n[timing]\nlease = 3\n",
            report: expect![[r#"
                report:
                  × daemon.ini: 5 problems
                   ╭─[daemon.ini:3:1]
                 2 │ role = agent
                 3 │ name = saga 1
                   · ──────┬──────
                   ·       ╰── name: expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `saga 1`
                 4 │ zone = Saga
                 5 │ 
                 6 │ [listen]
                   · ────┬───
                   ·     ╰── link: the key is missing from section [listen]
                 7 │ http = 127.0.0.1
                   · ────────┬───────
                   ·         ╰── http: expected IP:port, got `127.0.0.1`
                 8 │ 
                   ╰────
                    ╭─[daemon.ini:14:1]
                 13 │ [timing]
                 14 │ lease = 3
                    · ────┬────┬
                    ·     │    ╰── entries: the key is missing from section [cluster]
                    ·     ╰── lease: `3` lacks a unit: `ms`, `s`, `m` or `h`
                    ╰────
            "#]],
        },
        ReportCase {
            text: "# an agent\n[daemon]\nrole = agent\n",
            report: expect![[r#"
                report:
                  × daemon.ini: 5 problems
                   ╭─[daemon.ini:2:1]
                 1 │ # an agent
                 2 │ [daemon]
                   · ────┬───┬
                   ·     │   ╰── zone: the key is missing from section [daemon]
                   ·     ╰── name: the key is missing from section [daemon]
                 3 │ role = agent
                   · ──────┬─────┬┬
                   ·       │     │╰── entries: the key is missing from section [cluster]
                   ·       │     ╰── link: the key is missing from section [listen]
                   ·       ╰── http: the key is missing from section [listen]
                   ╰────
            "#]],
        },
        ReportCase {
            text: "",
            report: expect![[r#"
                report:
                  × daemon.ini: 5 problems
                   ╭─[daemon.ini:1:1]
                   ╰────
                  help: line 1: [daemon] role: the key is missing from section [daemon]
                        line 1: [daemon] name: the key is missing from section [daemon]
                        line 1: [daemon] zone: the key is missing from section [daemon]
                        line 1: [listen] http: the key is missing from section [listen]
                        line 1: [listen] link: the key is missing from section [listen]
            "#]],
        },
    ];
    for case in cases {
        let errors = read_settings(case.text).unwrap_err();
        // The first line is not indented, because expect-test removes indentation common to all
        // lines.
        let mut report = String::from("report:\n");
        GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
            .with_width(100)
            .render_report(&mut report, &errors)
            .unwrap();
        case.report.assert_eq(&report);
    }
}

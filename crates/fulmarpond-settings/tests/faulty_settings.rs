//! Invalid daemon settings and their error messages.

use expect_test::{Expect, expect};
use fulmarpond_settings::{DaemonSettings, Document};

struct Case {
    name: &'static str,
    text: String,
    errors: Expect,
}

fn agent(extra: &str) -> String {
    let text = "[daemon]\nrole = agent\nname = saga-1\nzone = Saga\n[listen]\n\
                http = 127.0.0.1:7201\nlink = 127.0.0.1:7202\n[cluster]\nentries = 127.0.0.1:7102\n";
    format!("{text}{extra}")
}

fn entry(extra: &str) -> String {
    let text = "[daemon]\nrole = entry\nname = entry-1\nzone = Saga\n[listen]\n\
                http = 127.0.0.1:7101\nlink = 127.0.0.1:7102\n[platform]\nkv = 127.0.0.1:7001\n";
    format!("{text}{extra}")
}

/// Guards against invalid settings that are accepted, reported at the wrong line or key, reported
/// one at a time, or reported with a different message. A check that returns at the first error
/// hides the others, and a rule that involves several settings may compare the default of an
/// invalid value.
#[test]
fn faulty_settings_are_refused() {
    let cases = [
        Case {
            name: "empty file",
            text: "".to_owned(),
            errors: expect![[r#"
                line 1: [daemon] role: the key is missing from section [daemon]
                line 1: [daemon] name: the key is missing from section [daemon]
                line 1: [daemon] zone: the key is missing from section [daemon]
                line 1: [listen] http: the key is missing from section [listen]
                line 1: [listen] link: the key is missing from section [listen]"#]],
        },
        Case {
            name: "missing keys",
            text: "[daemon]\nrole = agent\n".to_owned(),
            errors: expect![[r#"
                line 1: [daemon] name: the key is missing from section [daemon]
                line 1: [daemon] zone: the key is missing from section [daemon]
                line 2: [listen] http: the key is missing from section [listen]
                line 2: [listen] link: the key is missing from section [listen]
                line 2: [cluster] entries: the key is missing from section [cluster]"#]],
        },
        Case {
            name: "missing role",
            text: agent("").replace("role = agent\n", ""),
            errors: expect!["line 1: [daemon] role: the key is missing from section [daemon]"],
        },
        Case {
            name: "unknown role",
            text: agent("").replace("role = agent", "role = home"),
            errors: expect!["line 2: [daemon] role: expected `entry` or `agent`, got `home`"],
        },
        Case {
            name: "role-specific values without a role",
            text: agent("[platform]\nkv = 127.0.0.1\ntimeout = 1\n")
                .replace("role = agent\n", "")
                .replace("127.0.0.1:7102", "127.0.0.1"),
            errors: expect![[r#"
                line 1: [daemon] role: the key is missing from section [daemon]
                line 8: [cluster] entries: expected IP:port, got `127.0.0.1`
                line 10: [platform] kv: expected IP:port, got `127.0.0.1`
                line 11: [platform] timeout: `1` lacks a unit: `ms`, `s`, `m` or `h`"#]],
        },
        Case {
            name: "invalid name",
            text: agent("").replace("saga-1", "saga 1"),
            errors: expect![[r#"
                line 3: [daemon] name: expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `saga 1`"#]],
        },
        Case {
            name: "empty zone",
            text: agent("").replace("zone = Saga", "zone ="),
            errors: expect!["line 4: [daemon] zone: the value is empty"],
        },
        Case {
            name: "address without port",
            text: agent("").replace("127.0.0.1:7201", "127.0.0.1"),
            errors: expect!["line 6: [listen] http: expected IP:port, got `127.0.0.1`"],
        },
        Case {
            name: "host name as address",
            text: agent("").replace("127.0.0.1:7102", "entry-1:7102"),
            errors: expect!["line 9: [cluster] entries: expected IP:port, got `entry-1:7102`"],
        },
        Case {
            name: "entries with an empty item",
            text: agent("").replace("127.0.0.1:7102", "127.0.0.1:7102,"),
            errors: expect!["line 9: [cluster] entries: expected IP:port, got ``"],
        },
        Case {
            name: "entry listed twice",
            text: agent("").replace("127.0.0.1:7102", "127.0.0.1:7102, 127.0.0.1:7102"),
            errors: expect!["line 9: [cluster] entries: 127.0.0.1:7102 is listed twice"],
        },
        Case {
            name: "entry without a reachable address",
            text: agent("").replace("127.0.0.1:7102", "0.0.0.0:7102"),
            errors: expect!["line 9: [cluster] entries: no process can connect to 0.0.0.0:7102"],
        },
        Case {
            name: "unknown section",
            text: agent("[timings]\nlease = 3s\n"),
            errors: expect!["line 10: [timings] unknown section [timings], did you mean `timing`?"],
        },
        Case {
            name: "unknown section without a suggestion",
            text: agent("[kitchen]\nlease = 3s\n"),
            errors: expect!["line 10: [kitchen] unknown section [kitchen]"],
        },
        Case {
            name: "unknown key",
            text: agent("[timing]\nleese = 3s\n"),
            errors: expect!["line 11: [timing] leese: unknown key, did you mean `lease`?"],
        },
        Case {
            name: "unknown key without a suggestion",
            text: agent("[timing]\nquota = 3\n"),
            errors: expect!["line 11: [timing] quota: unknown key"],
        },
        Case {
            name: "key of another section",
            text: agent("[limits]\nlease = 3s\n"),
            errors: expect![[r#"
                line 11: [limits] lease: unknown key, `lease` belongs to section [timing]"#]],
        },
        Case {
            name: "duplicate key",
            text: agent("[timing]\nlease = 3s\nlease = 4s\n"),
            errors: expect!["line 12: [timing] lease: duplicate key, first set on line 11"],
        },
        Case {
            name: "duplicate key in a repeated section",
            text: agent("[timing]\nlease = 3s\n[log]\n[timing]\nlease = 4s\n"),
            errors: expect!["line 14: [timing] lease: duplicate key, first set on line 11"],
        },
        Case {
            name: "duration without unit",
            text: agent("[timing]\nlease = 3\n"),
            errors: expect!["line 11: [timing] lease: `3` lacks a unit: `ms`, `s`, `m` or `h`"],
        },
        Case {
            name: "size without unit",
            text: agent("[limits]\nbody = 4000\n"),
            errors: expect!["line 11: [limits] body: `4000` lacks a unit: `KB` or `MB`"],
        },
        Case {
            name: "duration with the unit of a size",
            text: agent("[timing]\nlease = 3MB\n"),
            errors: expect![[r#"
                line 11: [timing] lease: unknown unit `MB`, expected `ms`, `s`, `m` or `h`"#]],
        },
        Case {
            name: "size with an unknown unit",
            text: agent("[limits]\nbody = 4GB\n"),
            errors: expect!["line 11: [limits] body: unknown unit `GB`, expected `KB` or `MB`"],
        },
        Case {
            name: "fraction",
            text: agent("[timing]\nlease = 1.5s\n"),
            errors: expect![[r#"
                line 11: [timing] lease: expected a duration, a whole number with the unit `ms`, `s`, `m` or `h`, got `1.5s`"#]],
        },
        Case {
            name: "negative duration",
            text: agent("[timing]\nlease = -3s\n"),
            errors: expect![[r#"
                line 11: [timing] lease: expected a duration, a whole number with the unit `ms`, `s`, `m` or `h`, got `-3s`"#]],
        },
        Case {
            name: "zero duration",
            text: agent("[timing]\nlease = 0s\n"),
            errors: expect!["line 11: [timing] lease: a duration must be above 0"],
        },
        Case {
            name: "duration that overflows",
            text: agent("[timing]\ndrain = 9999999999999999h\n"),
            errors: expect!["line 11: [timing] drain: `9999999999999999h` is too large"],
        },
        Case {
            name: "zero count",
            text: agent("[limits]\ntasks = 0\n"),
            errors: expect!["line 11: [limits] tasks: expected a whole number above 0, got `0`"],
        },
        Case {
            name: "count with unit",
            text: agent("[limits]\ncallers = 512MB\n"),
            errors: expect![[r#"
                line 11: [limits] callers: expected a whole number above 0, got `512MB`"#]],
        },
        Case {
            name: "unknown log level",
            text: agent("[log]\nlevel = verbose\n"),
            errors: expect![[r#"
                line 11: [log] level: expected `error`, `warn`, `info`, `debug` or `trace`, got `verbose`"#]],
        },
        Case {
            name: "unknown log format",
            text: agent("[log]\nformat = xml\n"),
            errors: expect!["line 11: [log] format: expected `text` or `json`, got `xml`"],
        },
        Case {
            name: "empty path",
            text: agent("").replace("[cluster]\n", "[cluster]\nsecret_file =\n"),
            errors: expect!["line 9: [cluster] secret_file: the value is empty"],
        },
        Case {
            name: "entry keys for an agent",
            text: agent(
                "[platform]\nkv = 127.0.0.1:7001\ntimeout = 1s\n[auth]\ncallers_file = /etc/callers\n",
            ),
            errors: expect![[r#"
                line 11: [platform] kv: this key is valid only for an entry
                line 12: [platform] timeout: this key is valid only for an entry
                line 14: [auth] callers_file: this key is valid only for an entry"#]],
        },
        Case {
            name: "agent key for an entry",
            text: entry("[cluster]\nentries = 127.0.0.1:7102\n"),
            errors: expect!["line 11: [cluster] entries: this key is valid only for an agent"],
        },
        Case {
            name: "entry without key-value service",
            text: entry("").replace("kv = 127.0.0.1:7001\n", ""),
            errors: expect!["line 8: [platform] kv: the key is missing from section [platform]"],
        },
        Case {
            name: "key-value timeout without unit",
            text: entry("timeout = 500\n"),
            errors: expect![[r#"
                line 10: [platform] timeout: `500` lacks a unit: `ms`, `s`, `m` or `h`"#]],
        },
        Case {
            name: "link_timeout not above keepalive",
            text: agent("[timing]\nkeepalive = 3s\n"),
            errors: expect![[r#"
                line 11: [timing] keepalive: link_timeout (3s) must be above keepalive (3s)"#]],
        },
        Case {
            name: "silence not above announce",
            text: agent("[timing]\nannounce = 2s\nsilence = 2s\n"),
            errors: expect!["line 12: [timing] silence: silence (2s) must be above announce (2s)"],
        },
        Case {
            name: "roster_window below memory_window",
            text: agent("[timing]\nmemory_window = 3h\n"),
            errors: expect![[r#"
                line 11: [timing] memory_window: roster_window (2h) must not be below memory_window (3h)"#]],
        },
        Case {
            name: "memory_window below deadline and margin",
            text: agent("[timing]\nmemory_window = 5m\nroster_window = 5m\n"),
            errors: expect![[r#"
                line 11: [timing] memory_window: memory_window (5m) must not be below deadline (5m) + answer_margin (1m)"#]],
        },
        Case {
            name: "deadline above memory_window",
            text: agent("[limits]\ndeadline = 2h\n"),
            errors: expect![[r#"
                line 11: [limits] deadline: memory_window (2h) must not be below deadline (2h) + answer_margin (1m)"#]],
        },
        Case {
            name: "same address for http and link",
            text: agent("").replace("127.0.0.1:7202", "127.0.0.1:7201"),
            errors: expect![[r#"
                line 7: [listen] link: http and link must differ, both are 127.0.0.1:7201"#]],
        },
        Case {
            name: "unspecified address without advertise",
            text: agent("").replace("127.0.0.1:7202", "0.0.0.0:7202"),
            errors: expect![[r#"
                line 7: [listen] link: other processes can't connect to 0.0.0.0:7202; set advertise to an address of this host"#]],
        },
        Case {
            name: "unspecified advertise",
            text: agent("").replace("[cluster]", "advertise = 0.0.0.0:7202\n[cluster]"),
            errors: expect!["line 8: [listen] advertise: no process can connect to 0.0.0.0:7202"],
        },
        Case {
            name: "an invalid value hides no other error",
            text: agent("").replace("zone = Saga", "zone =")
                + "[timing]\nlease = 3\nsilence = 100ms\n[lgo]\n",
            errors: expect![[r#"
                line 4: [daemon] zone: the value is empty
                line 11: [timing] lease: `3` lacks a unit: `ms`, `s`, `m` or `h`
                line 12: [timing] silence: silence (100ms) must be above announce (500ms)
                line 13: [lgo] unknown section [lgo], did you mean `log`?"#]],
        },
    ];
    for case in cases {
        let document = Document::parse("daemon.ini", &case.text).expect(case.name);
        let errors = DaemonSettings::try_from(&document).expect_err(case.name);
        let lines: Vec<String> = errors.errors().iter().map(ToString::to_string).collect();
        case.errors.assert_eq(&lines.join("\n"));
        for error in errors.errors() {
            let line = case.text[..error.span.start].matches('\n').count() + 1;
            assert_eq!(line, error.line, "span of {error} in case {}", case.name);
        }
    }
}

//! Subcommands that list parts of the system, and options of all subcommands.

mod common;

use common::{CannedReply, FakeEntry, closed_addr, run};
use expect_test::{Expect, expect};

/// Guards against missing columns and shifted cells. They come about when the header of a table and
/// the JSON fields of its rows get out of step, or a null or non-ASCII value is padded wrongly.
#[test]
fn lists_are_printed_as_tables() {
    struct Case {
        name: &'static str,
        replies: &'static [CannedReply<'static>],
        args: &'static [&'static str],
        expect: Expect,
    }
    let cases = [
        Case {
            name: "endpoints",
            replies: &[(
                "GET /v1/endpoints",
                200,
                r#"[{"agent": "saga-1~2a", "addr": "127.0.0.1:7301", "zone": "Saga", "slots": 8, "free": 0, "queued": 12, "state": "live"},
                    {"agent": "kurume-1~7", "addr": "127.0.0.1:7302", "zone": "Kurume", "slots": 16, "free": 16, "queued": 0, "state": "leaving"}]"#,
            )],
            args: &["endpoints"],
            expect: expect![[r#"
                endpoints: exit 0
                --- stdout
                AGENT       ADDR            ZONE    SLOTS  FREE  QUEUED  STATE
                saga-1~2a   127.0.0.1:7301  Saga        8     0      12  live
                kurume-1~7  127.0.0.1:7302  Kurume     16    16       0  leaving
            "#]],
        },
        Case {
            name: "no endpoints",
            replies: &[("GET /v1/endpoints", 200, "[]")],
            args: &["endpoints"],
            expect: expect![[r#"
                no endpoints: exit 0
                --- stdout
                AGENT  ADDR  ZONE  SLOTS  FREE  QUEUED  STATE
            "#]],
        },
        Case {
            name: "speeds of endpoints",
            replies: &[(
                "GET /metrics",
                200,
                "# TYPE fulmarpond_endpoint_run_permille gauge\n\
                 fulmarpond_endpoint_run_permille{agent=\"side-2\",kind=\"large\"} 2430\n\
                 fulmarpond_endpoint_run_permille{agent=\"side-1\",kind=\"\"} 1000\n\
                 fulmarpond_endpoint_speed_samples{agent=\"side-1\",kind=\"\"} 4\n\
                 fulmarpond_endpoint_speed_samples{agent=\"side-2\",kind=\"large\"} 512\n\
                 # EOF\n",
            )],
            args: &["endpoints", "--speeds"],
            expect: expect![[r#"
                speeds of endpoints: exit 0
                --- stdout
                AGENT   KIND   RUN TIME  SAMPLES
                side-1             1.00        4
                side-2  large      2.43      512
            "#]],
        },
        Case {
            name: "roster",
            replies: &[(
                "GET /v1/roster",
                200,
                r#"{"version": 7, "members": [
                    {"agent": "saga-1~2a", "addr": "127.0.0.1:7201", "zone": "Saga", "joined": 1, "left": null, "heir": null},
                    {"agent": "saga-2~1", "addr": "127.0.0.1:7202", "zone": "Jaboatão", "joined": 2, "left": 6, "heir": "saga-1~2a"}]}"#,
            )],
            args: &["roster"],
            expect: expect![[r#"
                roster: exit 0
                --- stdout
                version 7
                AGENT      ADDR            ZONE      JOINED  LEFT  HEIR
                saga-1~2a  127.0.0.1:7201  Saga           1     -  -
                saga-2~1   127.0.0.1:7202  Jaboatão       2     6  saga-1~2a
            "#]],
        },
        Case {
            name: "teams",
            replies: &[(
                "GET /v1/teams",
                200,
                r#"[{"team": "hunt-desk", "quota": 670, "in_flight": 50}]"#,
            )],
            args: &["teams"],
            expect: expect![[r#"
                teams: exit 0
                --- stdout
                TEAM       QUOTA  IN FLIGHT
                hunt-desk    670         50
            "#]],
        },
        Case {
            name: "teams as JSON",
            replies: &[("GET /v1/teams", 200, r#"[{"team": "hunt-desk"}]"#)],
            args: &["teams", "--json"],
            expect: expect![[r#"
                teams as JSON: exit 0
                --- stdout
                [
                  {
                    "team": "hunt-desk"
                  }
                ]
            "#]],
        },
        Case {
            name: "without the right token",
            replies: &[(
                "GET /v1/teams",
                403,
                r#"{"reason": "invalid", "detail": "no operator"}"#,
            )],
            args: &["teams"],
            expect: expect![[r#"
                without the right token: exit 3
                --- stderr
                teams: status 403, invalid: no operator
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
            "#]],
        },
    ];
    for case in cases {
        let entry = FakeEntry::with_replies(case.replies);
        let addr = entry.addr();
        let mut args = vec!["--entry", &addr];
        args.extend(case.args);
        let text = run(&args, "").snapshot(&[]);
        case.expect.assert_eq(&format!("{}: {text}", case.name));
    }
}

/// Guards against a token that is not sent or that contains a line end. Token files usually end in
/// a newline, which would make the header invalid.
#[test]
fn token_is_sent() {
    let entry = FakeEntry::serve(|request| {
        let token = request.header("authorization").unwrap_or("none").to_owned();
        fulmarpond_http::Response::json(200, &vec![serde_json::json!({"team": token})])
    });
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("token");
    std::fs::write(&path, "secret\n").expect("the directory for temporary files is writable");
    let addr = entry.addr();
    let path = path.to_str().expect("a text path");
    let with = run(
        &["teams", "--json", "--entry", &addr, "--token-file", path],
        "",
    );
    assert!(with.stdout.contains("\"Bearer secret\""), "{}", with.stdout);
    let without = run(&["teams", "--json", "--entry", &addr], "");
    assert!(without.stdout.contains("\"none\""), "{}", without.stdout);
}

/// Guards against entry addresses that are ignored: the environment variable, repeated options,
/// lists and URLs are read in different ways. An empty variable must be an error, not an empty
/// list.
#[test]
fn entries_come_from_options_or_the_environment() {
    let entry = FakeEntry::with_replies(&[("GET /v1/teams", 200, "[]")]);
    let entries = format!("{},{}", closed_addr(), entry.addr());
    let from_environment = common::run_with(&["teams"], "", &[("FULMARPOND_ENTRY", &entries)]);
    assert_eq!(from_environment.code, 0, "{}", from_environment.stderr);
    let url = format!("http://{}/", entry.addr());
    let closed = closed_addr();
    let repeated = run(&["teams", "--entry", &closed, "--entry", &url], "");
    assert_eq!(repeated.code, 0, "{}", repeated.stderr);
    let none = common::run_with(&["teams"], "", &[("FULMARPOND_ENTRY", "")]);
    assert_eq!(none.code, 2, "{}", none.stderr);
}

/// Guards against a shell without a completion script. The generator panics if the arguments are
/// inconsistent, and a missing global option would leave a script incomplete.
#[test]
fn completions_exist_for_every_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let run = run(&["completions", shell], "");
        assert_eq!(run.code, 0, "{}", run.stderr);
        assert!(run.stdout.contains("token-file"), "{shell}");
    }
}

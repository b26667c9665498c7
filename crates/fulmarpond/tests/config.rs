//! Subcommands that show and change the configuration.

mod common;

use std::fs;
use std::path::PathBuf;

use common::{CannedReply, FakeEntry, reply_dropping_addr, run};
use expect_test::{Expect, expect};

const V0: &str = r#"{"version": 0, "patch": null, "author": null, "values": {}}"#;
const V1: &str = r#"{"version": 1, "patch": "quotas", "author": "ana",
    "values": {"team.kitchen.quota": "100", "team.old.quota": "5"}}"#;
const V2: &str = r#"{"version": 2, "patch": "raise", "author": "ana",
    "values": {"limits.queue": "8", "team.kitchen.quota": "200"}}"#;

const RAISE: &str = "[patch]\nid = raise\nbase = 1\nauthor = ana\n[limits]\nqueue = 8\n\
                     [team.kitchen]\nquota = 200\n[unset]\nteam.old.quota =\n";

/// Writes a patch file that only this test uses.
fn patch_file(test: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.ini"));
    fs::write(&path, text).expect("the directory for temporary files is writable");
    path
}

struct Case {
    name: &'static str,
    replies: &'static [CannedReply<'static>],
    /// Arguments; `PATCH` is replaced by the path of the patch file.
    args: &'static [&'static str],
    patch: &'static str,
    expect: Expect,
}

impl Case {
    fn check(&self, test: &str) {
        let entry = FakeEntry::with_replies(self.replies);
        let addr = entry.addr();
        let path = patch_file(test, self.patch);
        let path = path.to_str().expect("a text path");
        let mut args = vec!["--entry", &addr];
        args.extend(
            self.args
                .iter()
                .map(|arg| if *arg == "PATCH" { path } else { arg }),
        );
        let mut text = format!(
            "{}: {}",
            self.name,
            run(&args, "").snapshot(&[(&addr, "ENTRY"), (path, "PATCH")])
        );
        for request in entry.requests() {
            text.push_str(&format!("--- request\n{request}\n"));
        }
        self.expect.assert_eq(&text);
    }
}

/// Guards against wrong values, versions or changes in the output. A diff can be computed in the
/// wrong direction, and `log` can report all keys as changed if a predecessor can't be read.
#[test]
fn show_diff_and_log() {
    let cases = [
        Case {
            name: "show",
            replies: &[("GET /v1/config", 200, V2)],
            args: &["config", "show"],
            patch: "",
            expect: expect![[r#"
                show: exit 0
                --- stdout
                version 2
                patch raise
                author ana
                limits.queue       = 8
                team.kitchen.quota = 200
                --- request
                GET /v1/config
            "#]],
        },
        Case {
            name: "show a version as JSON",
            replies: &[("GET /v1/config/1", 200, V1)],
            args: &["config", "show", "1", "--json"],
            patch: "",
            expect: expect![[r#"
                show a version as JSON: exit 0
                --- stdout
                {
                  "author": "ana",
                  "patch": "quotas",
                  "values": {
                    "team.kitchen.quota": "100",
                    "team.old.quota": "5"
                  },
                  "version": 1
                }
                --- request
                GET /v1/config/1
            "#]],
        },
        Case {
            name: "show a version that does not exist",
            replies: &[],
            args: &["config", "show", "9"],
            patch: "",
            expect: expect![[r#"
                show a version that does not exist: exit 3
                --- stderr
                configuration version 9 does not exist
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                GET /v1/config/9
            "#]],
        },
        Case {
            name: "diff",
            replies: &[("GET /v1/config/1", 200, V1), ("GET /v1/config/2", 200, V2)],
            args: &["config", "diff", "1", "2"],
            patch: "",
            expect: expect![[r#"
                diff: exit 0
                --- stdout
                + limits.queue = 8
                ~ team.kitchen.quota = 100 -> 200
                - team.old.quota = 5
                --- request
                GET /v1/config/1
                --- request
                GET /v1/config/2
            "#]],
        },
        Case {
            name: "diff as JSON",
            replies: &[("GET /v1/config/1", 200, V1), ("GET /v1/config/2", 200, V2)],
            args: &["config", "diff", "2", "1", "--json"],
            patch: "",
            expect: expect![[r#"
                diff as JSON: exit 0
                --- stdout
                [
                  {
                    "key": "limits.queue",
                    "new": null,
                    "old": "8"
                  },
                  {
                    "key": "team.kitchen.quota",
                    "new": "100",
                    "old": "200"
                  },
                  {
                    "key": "team.old.quota",
                    "new": "5",
                    "old": null
                  }
                ]
                --- request
                GET /v1/config/2
                --- request
                GET /v1/config/1
            "#]],
        },
        Case {
            name: "log",
            replies: &[
                ("GET /v1/config", 200, V2),
                ("GET /v1/config/1", 200, V1),
                ("GET /v1/config/0", 200, V0),
            ],
            args: &["config", "log"],
            patch: "",
            expect: expect![[r#"
                log: exit 0
                --- stdout
                VERSION  PATCH   AUTHOR  CHANGED KEYS
                      2  raise   ana     limits.queue team.kitchen.quota team.old.quota
                      1  quotas  ana     team.kitchen.quota team.old.quota
                      0  -       -       -
                --- request
                GET /v1/config
                --- request
                GET /v1/config/1
                --- request
                GET /v1/config/0
            "#]],
        },
        Case {
            name: "log of one version, whose predecessor can't be read",
            replies: &[("GET /v1/config", 200, V2)],
            args: &["config", "log", "-n", "1"],
            patch: "",
            expect: expect![[r#"
                log of one version, whose predecessor can't be read: exit 0
                --- stdout
                VERSION  PATCH  AUTHOR  CHANGED KEYS
                      2  raise  ana     ?
                --- request
                GET /v1/config
                --- request
                GET /v1/config/1
            "#]],
        },
    ];
    for case in cases {
        case.check("show");
    }
}

/// Guards against a wrong result of `apply` after a conflict. An entry replies 409 both for a
/// repeated patch, which must not be reported as a conflict with itself, and for a base that
/// another patch has replaced, which must not be reported as applied.
#[test]
fn apply_reports_each_outcome() {
    let cases = [
        Case {
            name: "applied",
            replies: &[("POST /v1/config", 201, r#"{"version": 2}"#)],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                applied: exit 0
                --- stdout
                patch raise was applied as version 2
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
            "#]],
        },
        Case {
            name: "applied before",
            replies: &[
                ("POST /v1/config", 409, r#"{"version": 3}"#),
                ("GET /v1/config/2", 200, V2),
            ],
            args: &["config", "apply", "PATCH", "--json"],
            patch: RAISE,
            expect: expect![[r#"
                applied before: exit 0
                --- stdout
                {
                  "applied_before": true,
                  "patch": "raise",
                  "version": 2
                }
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
                --- request
                GET /v1/config/2
            "#]],
        },
        Case {
            name: "conflict",
            replies: &[
                ("POST /v1/config", 409, r#"{"version": 3}"#),
                (
                    "GET /v1/config/2",
                    200,
                    r#"{"version": 2, "patch": "other"}"#,
                ),
                (
                    "GET /v1/config/3",
                    200,
                    r#"{"version": 3, "patch": "third"}"#,
                ),
            ],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                conflict: exit 3
                --- stderr
                patch raise applies to version 1, but version 3 is in force
                    Diagnostic severity: error
                diagnostic help: see `fulmarpond config diff 1 3`, then change `base`
                diagnostic code: fulmarpond::not_run
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
                --- request
                GET /v1/config/2
                --- request
                GET /v1/config/3
            "#]],
        },
        Case {
            name: "base that does not exist yet",
            replies: &[("POST /v1/config", 409, r#"{"version": 0}"#)],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                base that does not exist yet: exit 3
                --- stderr
                patch raise applies to version 1, but version 0 is in force
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
            "#]],
        },
        Case {
            name: "conflict with a version that can't be read",
            replies: &[("POST /v1/config", 409, r#"{"version": 2}"#)],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                conflict with a version that can't be read: exit 4
                --- stderr
                patch raise may be version 2, which can't be read
                    Diagnostic severity: error
                diagnostic help: apply the patch again to find out
                diagnostic code: fulmarpond::may_have_run
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
                --- request
                GET /v1/config/2
            "#]],
        },
        Case {
            name: "key-value service down",
            replies: &[(
                "POST /v1/config",
                503,
                r#"{"verdict": "not_run", "reason": "overloaded", "detail": "the key-value service is down"}"#,
            )],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                key-value service down: exit 3
                --- stderr
                patch raise: status 503, overloaded: the key-value service is down
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
            "#]],
        },
        Case {
            name: "unknown outcome",
            replies: &[("POST /v1/config", 504, r#"{"verdict": "may_have_run"}"#)],
            args: &["config", "apply", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                unknown outcome: exit 4
                --- stderr
                patch raise: status 504, {"verdict": "may_have_run"}
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                POST /v1/config {"author":"ana","base":1,"id":"raise","set":{"limits.queue":"8","team.kitchen.quota":"200"},"unset":["team.old.quota"]}
            "#]],
        },
        Case {
            name: "invalid file",
            replies: &[],
            args: &["config", "apply", "PATCH"],
            patch: "[patch]\nid = raise\nbase = 1\n[limits]\nqueue = many\n",
            expect: expect![[r#"
                invalid file: exit 2
                --- stderr
                PATCH: 1 problem
                    Diagnostic severity: error
                Begin snippet for PATCH starting at line 4, column 1

                snippet line 4: [limits]
                snippet line 5: queue = many
                    label at line 5, columns 1 to 12: queue: key `limits.queue` must be a whole number that is not negative, got `many`
            "#]],
        },
    ];
    for case in cases {
        case.check("apply");
    }
}

/// Guards against a check that accepts a patch that an entry would refuse. The tool applies the
/// patch locally, to values that it reads first, and can differ from the entry in how it treats
/// conflicts and missing keys.
#[test]
fn check_predicts_the_result_of_apply() {
    let cases = [
        Case {
            name: "applies",
            replies: &[("GET /v1/config", 200, V1)],
            args: &["config", "check", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                applies: exit 0
                --- stdout
                patch raise applies to version 1
                + limits.queue = 8
                ~ team.kitchen.quota = 100 -> 200
                - team.old.quota = 5
                --- request
                GET /v1/config
            "#]],
        },
        Case {
            name: "applied before",
            replies: &[("GET /v1/config", 200, V2), ("GET /v1/config/2", 200, V2)],
            args: &["config", "check", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                applied before: exit 0
                --- stdout
                patch raise was applied before as version 2
                --- request
                GET /v1/config
                --- request
                GET /v1/config/2
            "#]],
        },
        Case {
            name: "conflict",
            replies: &[("GET /v1/config", 200, V0)],
            args: &["config", "check", "PATCH"],
            patch: RAISE,
            expect: expect![[r#"
                conflict: exit 3
                --- stderr
                patch raise applies to version 1, but version 0 is in force
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                GET /v1/config
            "#]],
        },
        Case {
            name: "removes a key that does not exist",
            replies: &[("GET /v1/config", 200, V1)],
            args: &["config", "check", "PATCH"],
            patch: "[patch]\nid = raise\nbase = 1\n[unset]\nteam.bar.quota =\n",
            expect: expect![[r#"
                removes a key that does not exist: exit 3
                --- stderr
                patch raise: key `team.bar.quota` to remove does not exist
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                GET /v1/config
            "#]],
        },
    ];
    for case in cases {
        case.check("check");
    }
}

/// Guards against a patch that may be in force but is reported as a conflict or a refusal. If the
/// reply of an entry is lost, the request is repeated at the next entry, whose reply covers only
/// the repetition.
#[test]
fn apply_after_a_lost_reply() {
    struct Case {
        name: &'static str,
        replies: &'static [CannedReply<'static>],
        code: i32,
    }
    let cases = [
        Case {
            name: "the lost request took effect",
            replies: &[
                ("POST /v1/config", 409, r#"{"version": 2}"#),
                ("GET /v1/config/2", 200, V2),
            ],
            code: 0,
        },
        Case {
            name: "the lost request did not take effect",
            replies: &[("POST /v1/config", 201, r#"{"version": 2}"#)],
            code: 0,
        },
        Case {
            name: "another patch won",
            replies: &[
                ("POST /v1/config", 409, r#"{"version": 2}"#),
                (
                    "GET /v1/config/2",
                    200,
                    r#"{"version": 2, "patch": "other"}"#,
                ),
            ],
            code: 3,
        },
        Case {
            name: "the next entry refuses",
            replies: &[(
                "POST /v1/config",
                503,
                r#"{"verdict": "not_run", "reason": "draining"}"#,
            )],
            code: 4,
        },
        Case {
            name: "the next entry knows no token",
            replies: &[("POST /v1/config", 401, "")],
            code: 4,
        },
    ];
    let path = patch_file("lost", RAISE);
    let path = path.to_str().expect("a text path");
    for case in cases {
        let entry = FakeEntry::with_replies(case.replies);
        let entries = format!("{},{}", reply_dropping_addr(), entry.addr());
        let run = run(&["--entry", &entries, "config", "apply", path], "");
        assert_eq!(run.code, case.code, "{}: {}", case.name, run.stderr);
    }
    let lost = reply_dropping_addr();
    let run = run(&["--entry", &lost, "config", "apply", path], "");
    assert_eq!(run.code, 4, "{}", run.stderr);
}

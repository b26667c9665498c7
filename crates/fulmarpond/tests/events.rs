//! Subcommands that show the events of a job.

mod common;

use common::{CannedReply, FakeEntry, run};
use expect_test::{Expect, expect};

const FIRST: &str = r#"{"events": [
    {"number": 0, "at_ms": 0, "kind": "queued", "task": null, "agent": null},
    {"number": 1, "at_ms": 1, "kind": "sent", "task": 0, "agent": "saga-1~2a", "detail": "3 free slots"},
    {"number": 2, "at_ms": 2, "kind": "refused", "task": 0, "agent": "saga-1~2a", "detail": "queue_full"}
], "next": 3, "ended": false}"#;

const LAST: &str = r#"{"events": [
    {"number": 3, "at_ms": 120, "kind": "done", "task": 0, "agent": "kurume-1~7"},
    {"number": 4, "at_ms": 121, "kind": "ended", "task": null, "agent": null, "detail": "answered"}
], "next": 5, "ended": true}"#;

struct Case {
    name: &'static str,
    replies: &'static [CannedReply<'static>],
    args: &'static [&'static str],
    expect: Expect,
}

/// Guards against events that are lost, repeated or truncated, which happens if a page is requested
/// from the wrong number or an empty page counts as the end. Also guards against a progress line in
/// output that is not a terminal.
#[test]
fn watch_and_why() {
    let cases = [
        Case {
            name: "watch",
            replies: &[
                ("GET /v1/jobs/j1/events?from=0&wait_ms=10000", 200, FIRST),
                (
                    "GET /v1/jobs/j1/events?from=3&wait_ms=10000",
                    200,
                    r#"{"events": [], "next": 3, "ended": false}"#,
                ),
                ("GET /v1/jobs/j1/events?from=3&wait_ms=10000", 200, LAST),
            ],
            args: &["watch", "j1"],
            expect: expect![[r#"
                watch: exit 0
                --- stdout
                       0 ms  queued       -  -                 -
                       1 ms  sent         0  saga-1~2a         3 free slots
                       2 ms  refused      0  saga-1~2a         queue_full
                     120 ms  done         0  kurume-1~7        -
                     121 ms  ended        -  -                 answered
            "#]],
        },
        Case {
            name: "watch as JSON",
            replies: &[("GET /v1/jobs/j1/events?from=0&wait_ms=10000", 200, LAST)],
            args: &["watch", "j1", "--json"],
            expect: expect![[r#"
                watch as JSON: exit 0
                --- stdout
                {"agent":"kurume-1~7","at_ms":120,"kind":"done","number":3,"task":0}
                {"agent":null,"at_ms":121,"detail":"answered","kind":"ended","number":4,"task":null}
            "#]],
        },
        Case {
            name: "watch of a job whose home was lost",
            replies: &[("GET /v1/jobs/j1/events?from=0&wait_ms=10000", 200, FIRST)],
            args: &["watch", "j1"],
            expect: expect![[r#"
                watch of a job whose home was lost: exit 4
                --- stdout
                       0 ms  queued       -  -                 -
                       1 ms  sent         0  saga-1~2a         3 free slots
                       2 ms  refused      0  saga-1~2a         queue_full
                --- stderr
                events of job j1: status 404, unknown
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
            "#]],
        },
        Case {
            name: "why",
            replies: &[
                ("GET /v1/jobs/j1/events?from=0&wait_ms=0", 200, FIRST),
                ("GET /v1/jobs/j1/events?from=3&wait_ms=0", 200, LAST),
            ],
            args: &["why", "j1"],
            expect: expect![[r#"
                why: exit 0
                --- stdout
                NUMBER  AT MS  KIND     TASK  AGENT       DETAIL
                     0      0  queued      -  -           -
                     1      1  sent        0  saga-1~2a   3 free slots
                     2      2  refused     0  saga-1~2a   queue_full
                     3    120  done        0  kurume-1~7  -
                     4    121  ended       -  -           answered
            "#]],
        },
        Case {
            name: "why of a job that runs, as JSON",
            replies: &[
                (
                    "GET /v1/jobs/j1/events?from=0&wait_ms=0",
                    200,
                    r#"{"events": [{"number": 0, "at_ms": 0, "kind": "queued", "task": null}], "next": 1, "ended": false}"#,
                ),
                (
                    "GET /v1/jobs/j1/events?from=1&wait_ms=0",
                    200,
                    r#"{"events": [], "next": 1, "ended": false}"#,
                ),
            ],
            args: &["why", "j1", "--json"],
            expect: expect![[r#"
                why of a job that runs, as JSON: exit 0
                --- stdout
                [
                  {
                    "at_ms": 0,
                    "kind": "queued",
                    "number": 0,
                    "task": null
                  }
                ]
            "#]],
        },
        Case {
            name: "why of an unknown job",
            replies: &[],
            args: &["why", "j1"],
            expect: expect![[r#"
                why of an unknown job: exit 4
                --- stderr
                events of job j1: status 404, unknown
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
            "#]],
        },
        Case {
            name: "reply of another form",
            replies: &[(
                "GET /v1/jobs/j1/events?from=0&wait_ms=0",
                200,
                r#"{"events": [{"kind": 7}], "next": 1, "ended": true}"#,
            )],
            args: &["why", "j1"],
            expect: expect![[r#"
                reply of another form: exit 4
                --- stderr
                event {"kind":7}: invalid type: integer `7`, expected a string
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
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

//! Subcommands that submit, query and cancel jobs.

mod common;

use common::{CannedReply, FakeEntry, closed_addr, reply_dropping_addr, run};
use expect_test::{Expect, expect};

const JOB: &str = r#"{"team": "hunt-desk", "deadline_ms": 5000,
    "tasks": [{"kind": "answer-check", "payload": {"answer": "TORII"}}]}"#;

const ANSWERED: &str = r#"{"id": "j1", "verdict": "answered", "results": [{"ok": true}, 7]}"#;

struct Case {
    name: &'static str,
    replies: &'static [CannedReply<'static>],
    args: &'static [&'static str],
    input: &'static str,
    expect: Expect,
}

impl Case {
    fn check(&self) {
        let entry = FakeEntry::with_replies(self.replies);
        let addr = entry.addr();
        let mut args = vec!["--entry", &addr];
        args.extend(self.args);
        let mut text = format!(
            "{}: {}",
            self.name,
            run(&args, self.input).snapshot(&[(&addr, "ENTRY")])
        );
        for request in entry.requests() {
            text.push_str(&format!("--- request\n{request}\n"));
        }
        self.expect.assert_eq(&text);
    }
}

/// Guards against wrong exit codes and lost results for each kind of reply. Also guards against an
/// `attempt` or `age_ms` that the caller did not give: the entry would take a resubmission for a
/// first attempt and could run the job twice.
#[test]
fn submit_reports_each_verdict() {
    let cases = [
        Case {
            name: "answered",
            replies: &[("POST /v1/jobs", 200, ANSWERED)],
            args: &["submit", "-", "--id", "j1", "--first"],
            input: JOB,
            expect: expect![[r#"
                answered: exit 0
                --- stdout
                job j1 answered
                TASK  RESULT
                   0  {"ok":true}
                   1  7
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
        Case {
            name: "answered as JSON, attempt not stated",
            replies: &[("POST /v1/jobs", 200, ANSWERED)],
            args: &["submit", "-", "--id", "j1", "--json", "--team", "kitchen"],
            input: JOB,
            expect: expect![[r#"
                answered as JSON, attempt not stated: exit 0
                --- stdout
                {
                  "id": "j1",
                  "results": [
                    {
                      "ok": true
                    },
                    7
                  ],
                  "verdict": "answered"
                }
                --- request
                POST /v1/jobs {"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"kitchen"}
            "#]],
        },
        Case {
            name: "refused",
            replies: &[(
                "POST /v1/jobs",
                429,
                r#"{"id": "j1", "verdict": "not_run", "reason": "over_quota", "retry_after_ms": 200, "detail": "quota 5"}"#,
            )],
            args: &[
                "submit",
                "-",
                "--id",
                "j1",
                "--attempt",
                "3",
                "--age-ms",
                "70",
                "--deadline-ms",
                "900",
            ],
            input: JOB,
            expect: expect![[r#"
                refused: exit 3
                --- stderr
                job j1 did not run: over_quota (quota 5)
                    Diagnostic severity: error
                diagnostic help: retry after 200 ms
                diagnostic code: fulmarpond::not_run
                --- request
                POST /v1/jobs {"age_ms":70,"attempt":3,"deadline_ms":900,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
        Case {
            name: "may have run",
            replies: &[(
                "POST /v1/jobs",
                504,
                r#"{"id": "j1", "verdict": "may_have_run", "reason": "agent_lost", "retry_after_ms": 0}"#,
            )],
            args: &["submit", "-", "--id", "j1", "--first", "--json"],
            input: JOB,
            expect: expect![[r#"
                may have run: exit 4
                --- stdout
                {
                  "id": "j1",
                  "reason": "agent_lost",
                  "retry_after_ms": 0,
                  "verdict": "may_have_run"
                }
                --- stderr
                job j1 failed and may have run: agent_lost
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
        Case {
            name: "accepted",
            replies: &[("POST /v1/jobs", 202, r#"{"id": "j1", "state": "accepted"}"#)],
            args: &["submit", "-", "--id", "j1", "--first", "--no-wait"],
            input: JOB,
            expect: expect![[r#"
                accepted: exit 0
                --- stdout
                job j1 accepted
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk","wait":false}
            "#]],
        },
        Case {
            name: "no token",
            replies: &[("POST /v1/jobs", 401, "")],
            args: &["submit", "-", "--id", "j1", "--first"],
            input: JOB,
            expect: expect![[r#"
                no token: exit 3
                --- stderr
                job j1: status 401
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
        Case {
            name: "internal error",
            replies: &[("POST /v1/jobs", 500, "thread panicked")],
            args: &["submit", "-", "--id", "j1", "--first"],
            input: JOB,
            expect: expect![[r#"
                internal error: exit 4
                --- stderr
                job j1: status 500, thread panicked
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
        Case {
            name: "reply is not JSON",
            replies: &[("POST /v1/jobs", 200, "<html>")],
            args: &["submit", "-", "--id", "j1", "--first"],
            input: JOB,
            expect: expect![[r#"
                reply is not JSON: exit 4
                --- stderr
                job j1: the reply is not JSON: expected value at line 1 column 1
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                POST /v1/jobs {"age_ms":0,"attempt":1,"deadline_ms":5000,"id":"j1","tasks":[{"kind":"answer-check","payload":{"answer":"TORII"}}],"team":"hunt-desk"}
            "#]],
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Guards against requests that are sent although the arguments or the job file are invalid. An id
/// with a slash, for example, would change the path of the request.
#[test]
fn submit_rejects_invalid_arguments() {
    let cases = [
        Case {
            name: "job file with an id",
            replies: &[],
            args: &["submit", "-"],
            input: r#"{"id": "j1", "deadline_ms": 5, "tasks": []}"#,
            expect: expect![[r#"
                job file with an id: exit 2
                --- stderr
                the job file has a field `id`, which is given as an option
                    Diagnostic severity: error
                diagnostic help: remove the field; see `--id`, `--attempt` and `--age-ms`
                diagnostic code: fulmarpond::usage
            "#]],
        },
        Case {
            name: "no deadline",
            replies: &[],
            args: &["submit", "-"],
            input: r#"{"tasks": []}"#,
            expect: expect![[r#"
                no deadline: exit 2
                --- stderr
                the job has no deadline
                    Diagnostic severity: error
                diagnostic help: set `deadline_ms` in the job file or give `--deadline-ms`
                diagnostic code: fulmarpond::usage
            "#]],
        },
        Case {
            name: "not JSON",
            replies: &[],
            args: &["submit", "-"],
            input: "[",
            expect: expect![[r#"
                not JSON: exit 2
                --- stderr
                job file - is not a JSON object: invalid type: sequence, expected a map at line 1 column 0
                    Diagnostic severity: error
                diagnostic code: fulmarpond::usage
            "#]],
        },
        Case {
            name: "no such file",
            replies: &[],
            args: &["submit", "/nonexistent/job.json"],
            input: "",
            expect: expect![[r#"
                no such file: exit 2
                --- stderr
                job file /nonexistent/job.json can't be read: No such file or directory (os error 2)
                    Diagnostic severity: error
                diagnostic code: fulmarpond::usage
            "#]],
        },
        Case {
            name: "attempt of a random id",
            replies: &[],
            args: &["submit", "-", "--attempt", "2"],
            input: JOB,
            expect: expect![[r#"
                attempt of a random id: exit 2
                --- stderr
                error: the following required arguments were not provided:
                  --id <ID>

                Usage: fulmarpond submit --id <ID> --attempt <N> <FILE>

                For more information, try '--help'.
            "#]],
        },
        Case {
            name: "first and attempt",
            replies: &[],
            args: &["submit", "-", "--id", "j1", "--first", "--attempt", "2"],
            input: JOB,
            expect: expect![[r#"
                first and attempt: exit 2
                --- stderr
                error: the argument '--first' cannot be used with '--attempt <N>'

                Usage: fulmarpond submit --id <ID> --first <FILE>

                For more information, try '--help'.
            "#]],
        },
        Case {
            name: "id that would change the path",
            replies: &[],
            args: &["status", "../config"],
            input: "",
            expect: expect![[r#"
                id that would change the path: exit 2
                --- stderr
                error: invalid value '../config' for '<ID>': a job id has 1 to 64 characters of A-Z a-z 0-9 . _ -

                For more information, try '--help'.
            "#]],
        },
        Case {
            name: "no such token file",
            replies: &[],
            args: &["--token-file", "/nonexistent/token", "status", "j1"],
            input: "",
            expect: expect![[r#"
                no such token file: exit 2
                --- stderr
                token file /nonexistent/token can't be read: No such file or directory (os error 2)
                    Diagnostic severity: error
                diagnostic code: fulmarpond::usage
            "#]],
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Guards against wrong exit codes and tables of `status`, `answer` and `cancel`. An entry that
/// drains refuses the request itself with the same reply as a job, so `not_run` is not always the
/// verdict of the job.
#[test]
fn status_answer_and_cancel() {
    let cases = [
        Case {
            name: "status",
            replies: &[(
                "GET /v1/jobs/j1",
                200,
                r#"{"id": "j1", "state": "running", "tasks": 50, "waiting": 3, "sent": 40, "done": 7, "home": "saga-1~2a"}"#,
            )],
            args: &["status", "j1"],
            input: "",
            expect: expect![[r#"
                status: exit 0
                --- stdout
                ID  STATE    TASKS  WAITING  SENT  DONE  HOME
                j1  running     50        3    40     7  saga-1~2a
                --- request
                GET /v1/jobs/j1
            "#]],
        },
        Case {
            name: "status of an unknown job",
            replies: &[],
            args: &["status", "j1", "--json"],
            input: "",
            expect: expect![[r#"
                status of an unknown job: exit 4
                --- stderr
                job j1: status 404, unknown
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                GET /v1/jobs/j1
            "#]],
        },
        Case {
            name: "answer",
            replies: &[("GET /v1/jobs/j1/answer?wait_ms=20", 200, ANSWERED)],
            args: &["answer", "j1", "--wait-ms", "20"],
            input: "",
            expect: expect![[r#"
                answer: exit 0
                --- stdout
                job j1 answered
                TASK  RESULT
                   0  {"ok":true}
                   1  7
                --- request
                GET /v1/jobs/j1/answer?wait_ms=20
            "#]],
        },
        Case {
            name: "answer of a refused job",
            replies: &[(
                "GET /v1/jobs/j1/answer?wait_ms=0",
                503,
                r#"{"id": "j1", "verdict": "not_run", "reason": "queue_full"}"#,
            )],
            args: &["answer", "j1"],
            input: "",
            expect: expect![[r#"
                answer of a refused job: exit 3
                --- stderr
                job j1 did not run: queue_full
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                GET /v1/jobs/j1/answer?wait_ms=0
            "#]],
        },
        Case {
            name: "answer at a stopping entry",
            replies: &[(
                "GET /v1/jobs/j1/answer?wait_ms=0",
                503,
                r#"{"id": "j1", "verdict": "not_run", "reason": "draining"}"#,
            )],
            args: &["answer", "j1"],
            input: "",
            expect: expect![[r#"
                answer at a stopping entry: exit 4
                --- stderr
                job j1 did not run, or the entry refused the request: draining
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                GET /v1/jobs/j1/answer?wait_ms=0
            "#]],
        },
        Case {
            name: "answer of a running job",
            replies: &[(
                "GET /v1/jobs/j1/answer?wait_ms=0",
                202,
                r#"{"id": "j1", "state": "running"}"#,
            )],
            args: &["answer", "j1", "--json"],
            input: "",
            expect: expect![[r#"
                answer of a running job: exit 4
                --- stdout
                {
                  "id": "j1",
                  "state": "running"
                }
                --- stderr
                job j1 has not ended yet
                    Diagnostic severity: error
                diagnostic help: wait longer with `--wait-ms`, or see `status`
                diagnostic code: fulmarpond::may_have_run
                --- request
                GET /v1/jobs/j1/answer?wait_ms=0
            "#]],
        },
        Case {
            name: "answer of an unknown job",
            replies: &[],
            args: &["answer", "j1"],
            input: "",
            expect: expect![[r#"
                answer of an unknown job: exit 4
                --- stderr
                job j1: status 404, unknown
                    Diagnostic severity: error
                diagnostic code: fulmarpond::may_have_run
                --- request
                GET /v1/jobs/j1/answer?wait_ms=0
            "#]],
        },
        Case {
            name: "cancel",
            replies: &[(
                "DELETE /v1/jobs/j1",
                503,
                r#"{"id": "j1", "verdict": "not_run", "reason": "cancelled"}"#,
            )],
            args: &["cancel", "j1"],
            input: "",
            expect: expect![[r#"
                cancel: exit 0
                --- stdout
                job j1 cancelled, did not run
                --- request
                DELETE /v1/jobs/j1
            "#]],
        },
        Case {
            name: "cancel of a job that runs",
            replies: &[(
                "DELETE /v1/jobs/j1",
                504,
                r#"{"id": "j1", "verdict": "may_have_run", "reason": "cancelled"}"#,
            )],
            args: &["cancel", "j1"],
            input: "",
            expect: expect![[r#"
                cancel of a job that runs: exit 0
                --- stdout
                job j1 cancelled, may have run
                --- request
                DELETE /v1/jobs/j1
            "#]],
        },
        Case {
            name: "cancel at a stopping entry",
            replies: &[(
                "DELETE /v1/jobs/j1",
                503,
                r#"{"id": "j1", "verdict": "not_run", "reason": "draining"}"#,
            )],
            args: &["cancel", "j1"],
            input: "",
            expect: expect![[r#"
                cancel at a stopping entry: exit 3
                --- stderr
                job j1 was not cancelled: draining
                    Diagnostic severity: error
                diagnostic code: fulmarpond::not_run
                --- request
                DELETE /v1/jobs/j1
            "#]],
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Guards against a job that is submitted twice as a first attempt. The first entry may have
/// accepted the job before its reply was lost, so the next entry must receive a higher attempt
/// number and the age of the job.
#[test]
fn submit_goes_to_the_next_entry_as_resubmission() {
    let entry = FakeEntry::with_replies(&[("POST /v1/jobs", 200, ANSWERED)]);
    let (closed, dropping) = (closed_addr(), reply_dropping_addr());
    let entries = format!("{closed},{dropping},{}", entry.addr());
    let run = run(&["--entry", &entries, "submit", "-"], JOB);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let requests = entry.requests();
    assert_eq!(requests.len(), 1);
    let body = requests[0].strip_prefix("POST /v1/jobs ").expect("a job");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["attempt"], 3);
    assert!(body["age_ms"].is_u64());
    assert!(body["deadline_ms"].as_u64().expect("a deadline") <= 5000);
    assert_eq!(body["id"].as_str().expect("an id").len(), 32);
}

/// Guards against exit code 3, "not run", for a job that may run. The first entry may have accepted
/// the job before its reply was lost, and the refusal of the next entry covers only the
/// resubmission.
#[test]
fn submit_does_not_report_not_run_after_a_lost_reply() {
    let refusal = r#"{"id": "j1", "verdict": "not_run", "reason": "over_quota"}"#;
    let entry = FakeEntry::with_replies(&[("POST /v1/jobs", 429, refusal)]);
    let cases = [(reply_dropping_addr(), 4), (closed_addr(), 3)];
    for (first, code) in cases {
        let addr = entry.addr();
        let args = ["--entry", &first, "--entry", &addr, "submit", "-"];
        let run = run(&args, JOB);
        assert_eq!(run.code, code, "{}", run.stderr);
    }
}

/// Guards against exit codes that do not distinguish a refused connection from a lost reply. Only
/// after a refused connection is it certain that nothing was sent; a lost read has no effect either
/// way.
#[test]
fn exit_code_tells_lost_from_unsent_requests() {
    struct Case {
        args: &'static [&'static str],
        drops_reply: bool,
        code: i32,
    }
    let cases = [
        Case {
            args: &["submit", "-"],
            drops_reply: false,
            code: 5,
        },
        Case {
            args: &["submit", "-"],
            drops_reply: true,
            code: 4,
        },
        Case {
            args: &["cancel", "j1"],
            drops_reply: true,
            code: 4,
        },
        Case {
            args: &["status", "j1"],
            drops_reply: false,
            code: 5,
        },
        Case {
            args: &["status", "j1"],
            drops_reply: true,
            code: 5,
        },
    ];
    for case in cases {
        let last = if case.drops_reply {
            reply_dropping_addr()
        } else {
            closed_addr()
        };
        let entries = format!("{},{last}", closed_addr());
        let mut args = vec!["--entry", &entries];
        args.extend(case.args);
        let run = run(&args, JOB);
        assert_eq!(run.code, case.code, "{:?}: {}", case.args, run.stderr);
    }
}

/// Guards against a read that fails although another entry could reply: an entry that drains
/// replies 503 to every request.
#[test]
fn reads_skip_a_stopping_entry() {
    let stopping = FakeEntry::with_replies(&[(
        "GET /v1/jobs/j1",
        503,
        r#"{"verdict": "not_run", "reason": "draining"}"#,
    )]);
    let entry =
        FakeEntry::with_replies(&[("GET /v1/jobs/j1", 200, r#"{"id": "j1", "state": "ended"}"#)]);
    let entries = format!("{},{}", stopping.addr(), entry.addr());
    let run = run(&["--entry", &entries, "status", "j1", "--json"], "");
    assert_eq!(run.code, 0, "{}", run.stderr);
}

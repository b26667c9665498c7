//! Timeline of a job, reconstructed from logs.

use expect_test::{Expect, expect};
use fulmarpond::timeline::Timeline;

const ENTRY: &str = r#"{"timestamp":"10:00:00.001","level":"INFO","message":"job accepted","job":"a1","route":"r","target":"routine"}
{"timestamp":"10:00:00.002","level":"INFO","message":"tasks sent","job":"a1","step":0,"indexes":"[0, 1]","agent":"side-1","target":"routine"}
{"timestamp":"10:00:00.002","level":"INFO","message":"job accepted","job":"a2","route":"r","target":"routine"}
{"timestamp":"10:00:00.200","level":"INFO","message":"job given up","job":"a1","reason":"runs_lost","target":"x"}
"#;

const AGENT: &str = r#"   12.1 side-1 {"timestamp":"10:00:00.100","level":"INFO","message":"run ended","job":"a1","task":"a1.0.0","run":1,"outcome":"Done","target":"routine"}
not a log line about a1
"#;

struct Case {
    name: &'static str,
    id: &'static str,
    logs: &'static [(&'static str, &'static str)],
    expected: Expect,
}

fn render(case: &Case) -> String {
    let mut timeline = Timeline::default();
    for (log, text) in case.logs {
        timeline.add_log(case.id, log, text);
    }
    timeline.sort();
    let lines = timeline.lines.iter().map(|line| {
        format!(
            "{} {} {} {} {}\n",
            line.time, line.process, line.message, line.task, line.detail
        )
    });
    let gaps = timeline.gaps();
    let gaps = gaps.iter().map(|gap| format!("missing: {gap}\n"));
    lines.chain(gaps).collect()
}

/// Guards against a timeline that omits lines, includes other jobs or does not list gaps. Logs come
/// from several processes, in any order, with lines about other jobs and text that is not JSON; the
/// log of a lost process is missing.
#[test]
fn timeline_is_ordered_and_lists_gaps() {
    let cases = [
        Case {
            name: "entry and agent",
            id: "a1",
            logs: &[("side-1", AGENT), ("entry-1", ENTRY)],
            expected: expect![[r#"
                10:00:00.001 entry-1 job accepted  route=r
                10:00:00.002 entry-1 tasks sent  agent=side-1 indexes=[0, 1] step=0
                10:00:00.100 side-1 run ended a1.0.0 outcome=Done run=1
                10:00:00.200 entry-1 job given up  reason=runs_lost
                missing: task 0.1 was sent, but no line reports its end: its agent was lost, or its log is missing
            "#]],
        },
        Case {
            name: "agent only",
            id: "a1",
            logs: &[("side-1", AGENT)],
            expected: expect![[r#"
                10:00:00.100 side-1 run ended a1.0.0 outcome=Done run=1
                missing: no line about the job's arrival: the log of its entry is missing
                missing: no line about the job's end: its entry was lost, or its log ends before
            "#]],
        },
        Case {
            name: "unknown job",
            id: "a9",
            logs: &[("entry-1", ENTRY)],
            expected: expect![[r#"
                missing: no line mentions this job: the logs of its entry are missing
            "#]],
        },
    ];
    for case in cases {
        println!("{}", case.name);
        case.expected.assert_eq(&render(&case));
    }
}

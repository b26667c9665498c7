//! Parsing and checks of the metrics pages and ledgers that the load generator reads.

use std::collections::HashSet;

use expect_test::expect;
use fulmarpond::load::{Counters, Ledger, Messages, Start};

/// Guards against samples that are missed or counted twice. Pages contain metrics with a common
/// name prefix, timestamps, exemplars and braces in label values; counters restart at 0 with their
/// process.
#[test]
fn message_counters() {
    struct Case {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        expected: (f64, f64),
    }
    let cases = [
        Case {
            name: "sum over labels",
            before: "fulmarpond_messages_total{call=\"run\"} 1\nfulmarpond_messages_total{call=\"submit\"} 2\n",
            after: "fulmarpond_messages_total{call=\"run\"} 11\nfulmarpond_messages_total{call=\"submit\"} 22\n",
            expected: (30.0, 0.0),
        },
        Case {
            name: "without labels, with wasted messages",
            before: "",
            after: "fulmarpond_messages_total 5\nfulmarpond_messages_wasted_total 2.0\n",
            expected: (5.0, 2.0),
        },
        Case {
            name: "timestamp, exemplar and quoted braces",
            before: "",
            after: "fulmarpond_messages_total{call=\"a} 9\\\"\"} 4 1700000000 # {id=\"x\"} 1\n",
            expected: (4.0, 0.0),
        },
        Case {
            name: "other metrics and comments",
            before: "",
            after: "# TYPE fulmarpond_messages counter\nfulmarpond_messages_total_bytes 9\nfulmarpond_messages_created 3\nfulmarpond_messages_total\n# EOF\n",
            expected: (0.0, 0.0),
        },
        Case {
            name: "process restarted",
            before: "fulmarpond_messages_total 100\n",
            after: "fulmarpond_messages_total 30\n",
            expected: (30.0, 0.0),
        },
        Case {
            name: "series appeared during the run",
            before: "fulmarpond_messages_total{call=\"run\"} 3\n",
            after: "fulmarpond_messages_total{call=\"run\"} 3\nfulmarpond_messages_total{call=\"ask\"} 2\n",
            expected: (2.0, 0.0),
        },
    ];
    for case in cases {
        let since = Counters::parse(case.after).since(&Counters::parse(case.before));
        assert_eq!(since, case.expected, "{}", case.name);
    }
}

/// Guards against a division by zero in the ratios, if no task was answered or no message was sent.
#[test]
fn message_shares() {
    let shares = |total, wasted, tasks| {
        let messages = Messages::new(total, wasted, tasks, Vec::new());
        (messages.per_task, messages.wasted_percent)
    };
    assert_eq!(shares(200.0, 3.0, 100), (Some(2.0), Some(1.5)));
    assert_eq!(shares(200.0, 3.0, 0), (None, Some(1.5)));
    assert_eq!(shares(0.0, 0.0, 5), (Some(0.0), None));
}

fn start(job: &str, task: u64, started: u64) -> Start {
    Start {
        job: job.to_owned(),
        task,
        started,
    }
}

/// Guards against a violation that the check misses: a task can be started twice at one endpoint or
/// at two, in rows or only in the reported count. Also guards against counting the starts of other
/// runs, which the same ledger contains.
#[test]
fn ledger_shows_broken_guarantees() {
    let mut ledger = Ledger::default();
    ledger.add(
        &[
            start("hunt/r-0", 0, 1),
            start("hunt/r-0", 1, 1),
            start("hunt/r-1", 0, 1),
            start("hunt/r-1", 0, 2),
            start("hunt/other-1", 0, 1),
            start("hunt/other-1", 0, 2),
        ],
        "r-",
    );
    ledger.add(
        &[
            start("hunt/r-0", 1, 1),
            start("hunt/r-2", 0, 3),
            start("hunt/r-3", 0, 1),
        ],
        "r-",
    );
    let not_run: HashSet<String> = ["r-3", "r-4"].map(str::to_owned).into();
    let check = ledger.check(&not_run, vec!["a: closed".to_owned()]);
    expect![[r#"
        LedgerCheck {
            starts: 9,
            repeated: [
                "r-0 task 1",
                "r-1 task 0",
                "r-2 task 0",
            ],
            denied: [
                "r-3 task 0",
            ],
            unread: [
                "a: closed",
            ],
        }
    "#]]
    .assert_debug_eq(&check);
}

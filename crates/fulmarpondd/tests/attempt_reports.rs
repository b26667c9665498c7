//! What a few warnings of a process tell of the attempts that it has stopped.

mod leased_system;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use fulmarpondd::BUILD;
use leased_system::{Process, System, get, wait_until};

const JOB: &str = "00000000000000f1";

/// The number of lines of each log in a record of the users.
const RECORD_LINES: usize = 5;

/// Sends a job, and returns the connection of its caller.
fn send_job(addr: SocketAddr, id: &str) -> TcpStream {
    let body = r#"{"Spec":"ms=4000","Steps":[{"Count":2,"Cpu":1000,"MemMb":64,"EstimatedMs":2000}],"BestEffort":true}"#;
    let mut caller = TcpStream::connect(addr).expect("a connection");
    let head = format!(
        "POST /jobs/{id} HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: 6000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).expect("a request");
    caller
}

/// Returns a record as short as one of the users: the first warnings of a log.
fn record(process: &Process) -> Vec<String> {
    let log = process.log.lock().expect("the log");
    let warnings = log.iter().filter(|line| line.contains(r#""level":"WARN""#));
    warnings.take(RECORD_LINES).cloned().collect()
}

fn stop_all(system: &mut System) {
    for process in system.entries.iter_mut().chain(&mut system.agents) {
        process.signal("TERM");
        assert!(process.wait());
    }
}

fn assert_told(record: &[String], texts: &[&str]) {
    let is_told = |line: &String| texts.iter().all(|text| line.contains(text));
    assert!(record.iter().any(is_told), "{texts:?} not in {record:#?}");
}

/// Guards against a record of a few warnings that tells neither the build nor why the first runs of a
/// job were stopped, nor how they were seen to be over.
#[test]
fn a_few_warnings_name_the_build_and_the_cause_of_stopped_runs() {
    let mut system = System::start(1, 1);
    let caller = send_job(system.callers[0], JOB);
    wait_until("both tasks run", || system.starts(JOB).len() == 2);
    drop(caller);
    let entry = &system.entries[0];
    wait_until("the entry knows that the attempt is over", || {
        entry.has_line(&["stopped attempt is over", JOB])
    });
    stop_all(&mut system);
    let report = ["report of attempts", BUILD, JOB];
    for process in system.entries.iter().chain(&system.agents) {
        wait_until("the log is read", || process.has_line(&report));
    }
    let of_entry = record(&system.entries[0]);
    assert_told(&of_entry, &report);
    assert_told(&of_entry, &["caller_left", "runs=2", "over=reported"]);
    assert_told(&record(&system.agents[0]), &report);
}

/// Guards against reports on calm days, and against a start that does not name the build.
#[test]
fn nothing_is_reported_if_no_attempt_was_stopped() {
    let mut system = System::start(1, 1);
    let answer = system.submit(0, JOB, 2, "ms=50");
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let (_, metrics) = get(system.metrics[0], "/metrics").expect("metrics");
    assert!(metrics.contains(BUILD), "{metrics}");
    stop_all(&mut system);
    for process in system.entries.iter().chain(&system.agents) {
        wait_until("the log is read", || {
            process.has_line(&[r#""message":"stop""#])
        });
        assert!(process.has_line(&[r#""message":"start""#, BUILD]));
        assert!(!process.has_line(&["report of attempts"]));
    }
}

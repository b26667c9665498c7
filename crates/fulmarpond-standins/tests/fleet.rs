//! Tests of the emulated platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_standins::{Emulator, EmulatorOptions, ExecutorOptions};

/// How long a test waits for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an emulator with executors at the loopback address with this last byte, and returns the
/// addresses of the executors.
fn start(number: u8, count: u16) -> (Emulator, Vec<SocketAddr>) {
    let process = std::process::id().to_be_bytes();
    let addr = |port| SocketAddr::from(([127, process[2], process[3], number], port));
    let executors = (0..count).map(|executor| ExecutorOptions {
        listen: addr(7_001 + executor),
        control: addr(8_001 + executor),
        zone: "Saga".to_owned(),
        cpu: 1_000,
    });
    let executors: Vec<ExecutorOptions> = executors.collect();
    let listen = executors.iter().map(|executor| executor.listen).collect();
    let emulator = Emulator::start(EmulatorOptions {
        store: addr(7_000),
        executors,
        heartbeat: Duration::from_millis(300),
        configuration: "{}".to_owned(),
    });
    (emulator.expect("the emulator starts"), listen)
}

/// Calls an executor, and returns the response, or `None` if it refuses the connection.
fn call(addr: SocketAddr, path: &str, instance: &str, body: &str) -> Option<String> {
    call_over(TcpStream::connect(addr).ok()?, path, instance, body)
}

/// Makes the last call over a connection.
fn call_over(mut stream: TcpStream, path: &str, instance: &str, body: &str) -> Option<String> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: e\r\nX-Target-Instance: {instance}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn start_run(addr: SocketAddr, instance: &str) -> Option<String> {
    let body = r#"{"Task":"a.0.0.0","Run":1,"Spec":"ms=5000","DeadlineMs":8000,"FencingToken":1}"#;
    call(addr, "/v1/run-start", instance, body)
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a switch of the emulator that changes more than the list: a run that stops unlisted
/// goes on until its stop has taken its time.
#[test]
fn run_that_stops_unlisted_ends_later() {
    for (number, lists) in [(1, true), (2, false)] {
        let (emulator, addrs) = start(number, 1);
        let addr = addrs[0];
        emulator.set_stop_time(0, Duration::from_millis(400));
        emulator.set_lists_stopping(0, lists);
        let started = start_run(addr, "i-00000000").expect("a response");
        assert!(started.starts_with("HTTP/1.1 200"), "{started}");
        let body = r#"{"Task":"a.0.0.0","Run":1,"FencingToken":1}"#;
        call(addr, "/v1/run-stop", "i-00000000", body).expect("a response");
        let body = r#"{"FencingToken":1,"AckCursor":0}"#;
        let listed = call(addr, "/v1/hold", "i-00000000", body).expect("a response");
        assert_eq!(listed.contains(r#"["a.0.0.0",1"#), lists, "{listed}");
        assert!(listed.contains(r#""Ended":[]"#), "{listed}");
        wait_until("the run has ended", || {
            emulator.runs()[0].outcome == "stopped"
        });
    }
}

/// Guards against an emulated crash that leaves runs or the id of the earlier life behind.
#[test]
fn executor_comes_back_under_another_id() {
    let (emulator, addrs) = start(3, 1);
    let addr = addrs[0];
    start_run(addr, "i-00000000").expect("a response");
    emulator.crash(0, Duration::from_millis(300));
    wait_until("the run has crashed", || {
        emulator.runs()[0].outcome == "crashed"
    });
    assert_eq!(start_run(addr, "i-00000000"), None);
    let body = r#"{"FencingToken":1,"AckCursor":0}"#;
    wait_until("the executor is back", || {
        let listed = call(addr, "/v1/hold", "i-00000000-2", body);
        listed.is_some_and(|text| text.contains(r#""Running":[]"#))
    });
    let refused = start_run(addr, "i-00000000").expect("a response");
    assert!(refused.starts_with("HTTP/1.1 421"), "{refused}");
}

/// Guards against an executor that leaves before its drain is over, or keeps its runs afterwards.
#[test]
fn executor_that_leaves_ends_its_runs() {
    let (emulator, addrs) = start(4, 1);
    let addr = addrs[0];
    start_run(addr, "i-00000000").expect("a response");
    let left_at = Instant::now();
    emulator.leave(0, Duration::from_millis(200), Duration::from_millis(100));
    wait_until("the run has ended", || emulator.runs()[0].outcome == "left");
    assert!(left_at.elapsed() >= Duration::from_millis(200));
}

/// Guards against a call over a connection that outlasted the first life of an executor, and is answered
/// by another executor that has come back since.
#[test]
fn connections_stay_with_their_executor() {
    let (emulator, addrs) = start(5, 2);
    let kept = TcpStream::connect(addrs[0]).expect("a connection");
    for (executor, &addr) in addrs.iter().enumerate() {
        start_run(addr, &format!("i-{executor:08x}")).expect("a response");
    }
    for (executor, down_ms) in [(1, 100), (0, 600)] {
        emulator.crash(executor, Duration::from_millis(down_ms));
    }
    wait_until("both have crashed", || {
        let mut runs = emulator.runs().into_iter();
        runs.all(|run| run.outcome == "crashed")
    });
    let body = r#"{"FencingToken":1,"AckCursor":0}"#;
    wait_until("both are back", || {
        (0..2).all(|executor| {
            let id = format!("i-{executor:08x}-2");
            let listed = call(addrs[executor], "/v1/hold", &id, body);
            listed.is_some_and(|text| text.starts_with("HTTP/1.1 200"))
        })
    });
    let listed = call_over(kept, "/v1/hold", "i-00000000-2", body).expect("a response");
    assert!(listed.starts_with("HTTP/1.1 200"), "{listed}");
}

//! Tests of the endpoint over HTTP and of its announcements.

mod common;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{self, Receiver};
use std::thread;

use common::{TIMEOUT, http, send, wait_until};
use fulmarpond_http::{Listener, Options, Request, Responder, Response};
use fulmarpond_standins::{Endpoint, EndpointControl, EndpointLimits, EndpointOptions, LedgerRow};
use serde_json::{Value, json};

/// Starts a fake agent. It answers the n-th request with the n-th status, then with 200, and sends
/// the method, path and body of each request to the returned channel.
fn start_agent(statuses: Vec<u16>) -> (SocketAddr, Receiver<(String, String, Value)>) {
    let (sender, receiver) = mpsc::channel();
    let statuses = Mutex::new(statuses.into_iter());
    let handler = move |request: Request, responder: Responder| {
        let body = serde_json::from_slice(request.body()).unwrap_or(Value::Null);
        let _ = sender.send((request.method().to_owned(), request.path(), body));
        let status = statuses.lock().expect("no panic").next().unwrap_or(200);
        responder.send(Response::json(status, &json!({"lease_ms": 3000})));
    };
    let listener = Listener::start("127.0.0.1:0", Options::default(), handler);
    let listener = listener.expect("a free port");
    let addr = listener.addr();
    // Leaked, so that it serves until the test process ends.
    std::mem::forget(listener);
    (addr, receiver)
}

fn endpoint_options(agent: SocketAddr, slots: u32) -> EndpointOptions {
    EndpointOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        agent,
        slots,
        connections: 64,
        zone: "Saga".to_owned(),
        limits: EndpointLimits {
            memory_mb: 262_144,
            processors: 64,
            accelerators: 1,
        },
    }
}

fn start_endpoint(slots: u32) -> Endpoint {
    let (agent, _) = start_agent(Vec::new());
    Endpoint::start(endpoint_options(agent, slots)).expect("a free port")
}

fn task_body(task: u64, run_ms: u64) -> String {
    let payload = json!({"run_ms": run_ms, "answer": "TORII"});
    json!({"job": "hunt-desk/1", "task": task, "kind": "answer-check", "payload": payload,
        "deadline_ms": 5000})
    .to_string()
}

fn ledger_starts(endpoint: &Endpoint) -> Vec<(u64, u64)> {
    let rows = endpoint.ledger();
    rows.iter().map(|row| (row.task, row.started)).collect()
}

/// Guards against a reply status that contradicts the ledger.
///
/// Tests of the dispatcher count starts in the ledger. If a refused or malformed task is recorded,
/// or a task that ran or failed is not, they miss or falsely report a repeated start.
#[test]
fn task_statuses_match_the_ledger() {
    struct Case {
        name: &'static str,
        control: EndpointControl,
        body: String,
        status: u16,
        reply: Value,
        starts: Vec<(u64, u64)>,
    }
    let echo = json!({"echo": {"run_ms": 1, "answer": "TORII"}});
    let control = EndpointControl::default;
    let cases = [
        Case {
            name: "normal",
            control: control(),
            body: task_body(0, 1),
            status: 200,
            reply: echo.clone(),
            starts: vec![(0, 1)],
        },
        Case {
            name: "the same task again",
            control: control(),
            body: task_body(0, 1),
            status: 200,
            reply: echo.clone(),
            starts: vec![(0, 1), (0, 2)],
        },
        Case {
            name: "refuse",
            control: control().refuse(true),
            body: task_body(1, 1),
            status: 503,
            reply: Value::Null,
            starts: vec![(0, 1), (0, 2)],
        },
        Case {
            name: "fail",
            control: control().refuse(false).fail(true),
            body: task_body(2, 600_000),
            status: 500,
            reply: Value::Null,
            starts: vec![(0, 1), (0, 2), (2, 1)],
        },
        Case {
            name: "leave still runs what arrives",
            control: control().fail(false).leave(true),
            body: task_body(3, 1),
            status: 200,
            reply: echo,
            starts: vec![(0, 1), (0, 2), (2, 1), (3, 1)],
        },
        Case {
            name: "no payload",
            control: control(),
            body: json!({"job": "j", "task": 4, "kind": "k"}).to_string(),
            status: 200,
            reply: json!({"echo": null}),
            starts: vec![(0, 1), (0, 2), (2, 1), (3, 1), (4, 1)],
        },
        Case {
            name: "malformed",
            control: control(),
            body: "{".to_owned(),
            status: 400,
            reply: Value::Null,
            starts: vec![(0, 1), (0, 2), (2, 1), (3, 1), (4, 1)],
        },
    ];
    let endpoint = start_endpoint(8);
    let http = http();
    for case in cases {
        let body = serde_json::to_string(&case.control).expect("valid JSON");
        let (status, _) = send(&http, endpoint.addr(), "POST", "/control", &body).expect("a reply");
        assert_eq!(status, 200, "{}", case.name);
        let (status, reply) =
            send(&http, endpoint.addr(), "POST", "/run", &case.body).expect("a reply");
        assert_eq!((status, reply), (case.status, case.reply), "{}", case.name);
        assert_eq!(ledger_starts(&endpoint), case.starts, "{}", case.name);
    }
    let (_, rows) = send(&http, endpoint.addr(), "GET", "/control/ledger", "").expect("a reply");
    let rows: Vec<LedgerRow> = serde_json::from_value(rows).expect("ledger rows");
    assert_eq!(rows, endpoint.ledger());
}

/// Guards against more concurrent tasks than slots and against slots that are never released.
///
/// A third task is sent while two tasks occupy both slots; it must be refused without a start. The
/// third task must arrive while the first two run, so those take much longer than a request.
#[test]
fn slots_limit_concurrent_tasks() {
    let endpoint = start_endpoint(2);
    let addr = endpoint.addr();
    let running: Vec<_> = (0..2)
        .map(|number| {
            thread::spawn(move || send(&http(), addr, "POST", "/run", &task_body(number, 2000)))
        })
        .collect();
    wait_until("both tasks start", || ledger_starts(&endpoint).len() == 2);
    let http = http();
    let (status, _) = send(&http, addr, "POST", "/run", &task_body(2, 0)).expect("a reply");
    assert_eq!(status, 503);
    for thread in running {
        assert_eq!(thread.join().expect("no panic").expect("a reply").0, 200);
    }
    let (status, _) = send(&http, addr, "POST", "/run", &task_body(3, 0)).expect("a reply");
    assert_eq!(status, 200);
    assert_eq!(endpoint.ledger().len(), 3);
}

/// Guards against a hanging endpoint that starts tasks, or that never answers them afterwards.
///
/// A task arrives while the endpoint hangs. It must be neither started nor answered until the hang
/// is switched off, which runs it, or the endpoint is stopped, which refuses it.
#[test]
fn hanging_endpoint_holds_tasks_until_released() {
    struct Case {
        name: &'static str,
        release: fn(&Endpoint),
        status: u16,
        starts: usize,
    }
    let cases = [
        Case {
            name: "switched off",
            release: |endpoint| endpoint.control(EndpointControl::default().hang(false)),
            status: 200,
            starts: 1,
        },
        Case {
            name: "stopped",
            release: Endpoint::stop,
            status: 503,
            starts: 0,
        },
    ];
    for case in cases {
        let endpoint = start_endpoint(1);
        endpoint.control(EndpointControl::default().hang(true));
        let addr = endpoint.addr();
        let (sender, receiver) = mpsc::channel();
        let held = thread::spawn(move || {
            let reply = send(&http(), addr, "POST", "/run", &task_body(0, 0));
            let _ = sender.send(());
            reply
        });
        let early_reply = receiver.recv_timeout(std::time::Duration::from_millis(200));
        assert!(
            early_reply.is_err(),
            "{}: answered while hanging",
            case.name
        );
        assert!(
            endpoint.ledger().is_empty(),
            "{}: started while hanging",
            case.name
        );
        (case.release)(&endpoint);
        let (status, _) = held.join().expect("no panic").expect("a reply");
        assert_eq!(status, case.status, "{}", case.name);
        assert_eq!(endpoint.ledger().len(), case.starts, "{}", case.name);
    }
}

/// Guards against an endpoint that stops announcing itself, or whose announcement is incomplete.
///
/// The agent rejects the first two announcements, and the endpoint must retry, then renew. Leaving
/// and stopping must withdraw the announcement.
#[test]
fn announcements_are_renewed_until_the_endpoint_leaves() {
    let (agent, requests) = start_agent(vec![503, 500, 200, 200]);
    let endpoint = Endpoint::start(endpoint_options(agent, 8)).expect("a free port");
    let next = || requests.recv_timeout(TIMEOUT).expect("an announcement");
    let expected = json!({"addr": endpoint.addr().to_string(), "slots": 8, "connections": 64,
        "zone": "Saga", "limits": {"memory_mb": 262_144, "processors": 64, "accelerators": 1}});
    let post = ("POST".to_owned(), "/v1/endpoint".to_owned(), expected);
    let delete = ("DELETE".to_owned(), "/v1/endpoint".to_owned(), Value::Null);
    for _ in 0..4 {
        assert_eq!(next(), post);
    }
    endpoint.control(EndpointControl::default().leave(true));
    assert_eq!(next(), delete);
    endpoint.control(EndpointControl::default().leave(false));
    assert_eq!(next(), post);
    endpoint.stop();
    let rest: Vec<_> = requests.try_iter().collect();
    assert_eq!(
        rest.last(),
        Some(&delete),
        "the announcement is withdrawn before the stop returns"
    );
}

/// Guards against a stop that interrupts a running task or leaves idle connections open.
///
/// The endpoint is stopped while one connection runs a task and another is idle: the task must be
/// answered, and the idle connection closed.
#[test]
fn stop_finishes_running_tasks() {
    let endpoint = start_endpoint(1);
    let addr = endpoint.addr();
    let idle = http();
    assert_eq!(
        send(&idle, addr, "GET", "/control/ledger", "")
            .expect("a reply")
            .0,
        200
    );
    let running = thread::spawn(move || send(&http(), addr, "POST", "/run", &task_body(0, 200)));
    wait_until("the task starts", || endpoint.ledger().len() == 1);
    endpoint.stop();
    let (status, _) = running.join().expect("no panic").expect("a reply");
    assert_eq!(status, 200);
    assert!(send(&idle, addr, "GET", "/control/ledger", "").is_err());
}

//! Requests, responses and calls over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Response};
use fulmarpond_reactor::{Call, CallError, Event, Limits, LinkId, Reactor, Reply};

const PATIENCE: Duration = Duration::from_secs(10);

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn reactor() -> Reactor {
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes: 2_000,
        header_timeout: Duration::from_millis(300),
        ..Limits::default()
    };
    Reactor::new(limits).expect("a reactor")
}

/// Polls until an event is taken by `find`.
fn wait<T>(reactor: &mut Reactor, mut find: impl FnMut(Event) -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    let mut events = Vec::new();
    while Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(20);
        reactor.poll(until, &mut events).expect("events");
        for event in events.drain(..) {
            if let Some(found) = find(event) {
                return found;
            }
        }
    }
    panic!("no such event in time");
}

/// Serves every request with the length of its body, until the client has read its response.
fn exchange(bytes: &[u8]) -> String {
    let mut reactor = reactor();
    let (_, addr) = reactor.listen_http(local()).expect("an address");
    let bytes = bytes.to_vec();
    let client = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.write_all(&bytes).expect("the request is sent");
        let mut text = String::new();
        // A reset after the response is not of interest here.
        let _ = stream.read_to_string(&mut text);
        text
    });
    let mut events = Vec::new();
    while !client.is_finished() {
        let until = Instant::now() + Duration::from_millis(5);
        reactor.poll(until, &mut events).expect("events");
        for event in events.drain(..) {
            if let Event::Request { id, request, .. } = event {
                let body = request.body.len().to_string().into_bytes();
                reactor.respond(id, &Response::json(200, body));
            }
        }
    }
    client.join().expect("the client")
}

struct Case {
    name: &'static str,
    request: Vec<u8>,
    /// What the response begins with; empty for a connection that is closed without one.
    response: &'static str,
}

/// Guards against faulty or endless requests that are served, or that hold a connection for ever.
#[test]
fn requests_over_the_limits_are_refused() {
    let long = "x".repeat(3_000);
    let cases = [
        Case {
            name: "whole request",
            request:
                b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
                    .to_vec(),
            response: "HTTP/1.1 200 OK",
        },
        Case {
            name: "no HTTP",
            request: b"\x01\x02\r\n\r\n".to_vec(),
            response: "HTTP/1.1 400",
        },
        Case {
            name: "length that is no number",
            request: b"POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_vec(),
            response: "HTTP/1.1 400",
        },
        Case {
            name: "headers too large",
            request: format!("GET /a HTTP/1.1\r\nLong: {long}\r\n\r\n").into_bytes(),
            response: "HTTP/1.1 431",
        },
        Case {
            name: "body too large",
            request: format!("POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n{long}").into_bytes(),
            response: "HTTP/1.1 413",
        },
        Case {
            name: "coding that is not supported",
            request: b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
            response: "HTTP/1.1 501",
        },
        Case {
            name: "request that never ends",
            request: b"GET /a HTTP/1.1\r\nHost:".to_vec(),
            response: "",
        },
    ];
    for case in cases {
        let response = exchange(&case.request);
        assert!(
            response.starts_with(case.response),
            "{}: {response}",
            case.name
        );
        assert_eq!(
            response.is_empty(),
            case.response.is_empty(),
            "{}",
            case.name
        );
    }
}

/// Guards against a job that goes on for a caller that has left.
#[test]
fn closed_connection_of_an_open_request_is_reported() {
    let mut reactor = reactor();
    let (_, addr) = reactor.listen_http(local()).expect("an address");
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream
        .write_all(b"GET /a HTTP/1.1\r\n\r\n")
        .expect("the request is sent");
    let request = wait(&mut reactor, |event| match event {
        Event::Request { id, .. } => Some(id),
        _ => None,
    });
    drop(stream);
    let abandoned = wait(&mut reactor, |event| match event {
        Event::Abandoned { id } => Some(id),
        _ => None,
    });
    assert_eq!(abandoned, request);
    assert!(!reactor.respond(request, &Response::empty(200)));
}

fn call(deadline: Duration) -> Call {
    Call {
        method: Method::Get,
        path: "/a".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        deadline: Instant::now() + deadline,
    }
}

fn outcome(
    reactor: &mut Reactor,
    addr: SocketAddr,
    deadline: Duration,
) -> Result<Reply, CallError> {
    let call = reactor.call(addr, 0, 1, &call(deadline));
    wait(reactor, |event| match event {
        Event::Replied {
            call: known,
            outcome,
        } if known == call => Some(outcome),
        _ => None,
    })
}

/// Serves one connection with some bytes, and keeps it open for a while.
fn server(bytes: &'static [u8], open: Duration) -> SocketAddr {
    let listener = TcpListener::bind(local()).expect("an address");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_000];
        let read = stream.read(&mut request).expect("a request");
        assert!(read > 0);
        stream.write_all(bytes).expect("the reply is sent");
        std::thread::sleep(open);
    });
    addr
}

struct Outcome {
    name: &'static str,
    bytes: &'static [u8],
    open: Duration,
    outcome: Result<&'static str, CallError>,
}

/// Guards against calls without an outcome, and against lost ones that are taken for unsent ones.
#[test]
fn calls_end_with_a_reply_or_a_reason() {
    let long = Duration::from_secs(2);
    let cases = [
        Outcome {
            name: "reply with a length",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            open: long,
            outcome: Ok("ok"),
        },
        Outcome {
            name: "reply in chunks",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            open: long,
            outcome: Ok("ok"),
        },
        Outcome {
            name: "reply until the end",
            bytes: b"HTTP/1.1 200 OK\r\n\r\nok",
            open: Duration::ZERO,
            outcome: Ok("ok"),
        },
        Outcome {
            name: "half a reply",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            open: Duration::ZERO,
            outcome: Err(CallError::Lost),
        },
        Outcome {
            name: "no reply",
            bytes: b"",
            open: long,
            outcome: Err(CallError::Timeout),
        },
        Outcome {
            name: "no HTTP",
            bytes: b"\x01\x02\x03\r\n\r\n",
            open: long,
            outcome: Err(CallError::Malformed),
        },
    ];
    for case in cases {
        let mut reactor = reactor();
        let addr = server(case.bytes, case.open);
        let outcome = outcome(&mut reactor, addr, Duration::from_millis(500));
        let body = outcome.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        assert_eq!(body, case.outcome.map(str::to_owned), "{}", case.name);
    }
    let free = TcpListener::bind(local()).and_then(|listener| listener.local_addr());
    let refused = outcome(&mut reactor(), free.expect("an address"), PATIENCE);
    assert_eq!(refused, Err(CallError::Refused));
}

/// Guards against frames that are torn apart, joined or lost.
#[test]
fn frames_arrive_whole_and_in_order() {
    let (mut left, mut right) = (reactor(), reactor());
    let addr = right.listen_links(local()).expect("an address");
    let link = left.dial(addr);
    wait(&mut left, |event| match event {
        Event::LinkUp { link: up, .. } if up == link => Some(()),
        _ => None,
    });
    let sent: Vec<Vec<u8>> = [0, 1, 70_000, 3].map(|len| vec![7_u8; len]).to_vec();
    for frame in &sent {
        left.send(link, frame);
    }
    let mut received = Vec::new();
    let end = Instant::now() + PATIENCE;
    let mut events = Vec::new();
    while received.len() < sent.len() && Instant::now() < end {
        let soon = Instant::now() + Duration::from_millis(5);
        left.poll(soon, &mut events).expect("events");
        events.clear();
        right.poll(soon, &mut events).expect("events");
        for event in events.drain(..) {
            if let Event::Frame { bytes, .. } = event {
                received.push(bytes);
            }
        }
    }
    assert_eq!(received, sent);
    left.close_link(link);
    left.send(LinkId(link.0), b"to nobody");
    wait(&mut right, |event| match event {
        Event::LinkDown { .. } => Some(()),
        _ => None,
    });
}

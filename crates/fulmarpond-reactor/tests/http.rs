//! HTTP requests, outgoing calls and framed links over local TCP sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Response};
use fulmarpond_reactor::{Call, CallError, Event, Limits, LinkId, Reactor, Reply};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn any_local_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn reactor() -> Reactor {
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes: 2_000,
        header_timeout: Duration::from_millis(300),
        ..Limits::default()
    };
    Reactor::new(limits).expect("reactor can be created")
}

/// Polls until `find` returns a value for an event, and returns that value.
fn wait_for<T>(reactor: &mut Reactor, mut find: impl FnMut(Event) -> Option<T>) -> T {
    let end = Instant::now() + TEST_TIMEOUT;
    let mut events = Vec::new();
    while Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(20);
        reactor.poll(until, &mut events).expect("poll succeeds");
        for event in events.drain(..) {
            if let Some(found) = find(event) {
                return found;
            }
        }
    }
    panic!("expected event did not arrive within {TEST_TIMEOUT:?}");
}

/// Sends bytes to a reactor that responds to each request with the length of its body, and returns
/// everything that the client reads until the connection is closed.
fn send_raw(bytes: &[u8]) -> String {
    let mut reactor = reactor();
    let (_, addr) = reactor
        .listen_http(any_local_port())
        .expect("address can be bound");
    let bytes = bytes.to_vec();
    let client = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).expect("connection is established");
        stream.write_all(&bytes).expect("request can be sent");
        let mut text = String::new();
        // A connection reset after the response does not matter here.
        let _ = stream.read_to_string(&mut text);
        text
    });
    let mut events = Vec::new();
    while !client.is_finished() {
        let until = Instant::now() + Duration::from_millis(5);
        reactor.poll(until, &mut events).expect("poll succeeds");
        for event in events.drain(..) {
            if let Event::Request { id, request, .. } = event {
                let body = request.body.len().to_string().into_bytes();
                reactor.respond(id, &Response::json(200, body));
            }
        }
    }
    client.join().expect("client thread did not panic")
}

struct RequestCase {
    name: &'static str,
    request: Vec<u8>,
    /// The expected prefix of the response, or empty if the connection is closed without one.
    response: &'static str,
}

/// Guards against serving malformed, oversized or unsupported requests, and against keeping a
/// connection open for a request that is never completed.
#[test]
fn invalid_requests_are_rejected() {
    let long = "x".repeat(3_000);
    let cases = [
        RequestCase {
            name: "complete request",
            request:
                b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
                    .to_vec(),
            response: "HTTP/1.1 200 OK",
        },
        RequestCase {
            name: "not HTTP",
            request: b"\x01\x02\r\n\r\n".to_vec(),
            response: "HTTP/1.1 400",
        },
        RequestCase {
            name: "content length that is not a number",
            request: b"POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_vec(),
            response: "HTTP/1.1 400",
        },
        RequestCase {
            name: "headers too large",
            request: format!("GET /a HTTP/1.1\r\nLong: {long}\r\n\r\n").into_bytes(),
            response: "HTTP/1.1 431",
        },
        RequestCase {
            name: "body too large",
            request: format!("POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n{long}").into_bytes(),
            response: "HTTP/1.1 413",
        },
        RequestCase {
            name: "unsupported transfer coding",
            request: b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
            response: "HTTP/1.1 501",
        },
        RequestCase {
            name: "incomplete request",
            request: b"GET /a HTTP/1.1\r\nHost:".to_vec(),
            response: "",
        },
    ];
    for case in cases {
        let response = send_raw(&case.request);
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

/// Guards against work that continues after its client has disconnected: the reactor must report
/// the closed connection and reject a later response.
#[test]
fn disconnect_before_the_response_is_reported() {
    let mut reactor = reactor();
    let (_, addr) = reactor
        .listen_http(any_local_port())
        .expect("address can be bound");
    let mut stream = TcpStream::connect(addr).expect("connection is established");
    stream
        .write_all(b"GET /a HTTP/1.1\r\n\r\n")
        .expect("request can be sent");
    let request = wait_for(&mut reactor, |event| match event {
        Event::Request { id, .. } => Some(id),
        _ => None,
    });
    drop(stream);
    let abandoned = wait_for(&mut reactor, |event| match event {
        Event::Abandoned { id } => Some(id),
        _ => None,
    });
    assert_eq!(abandoned, request);
    assert!(!reactor.respond(request, &Response::empty(200)));
}

fn get_call(timeout: Duration) -> Call {
    Call {
        method: Method::Get,
        path: "/a".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        deadline: Instant::now() + timeout,
        last_deadline: Instant::now() + timeout,
    }
}

fn call_and_wait(
    reactor: &mut Reactor,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let call = reactor.call(addr, 0, 1, &get_call(timeout));
    wait_for(reactor, |event| match event {
        Event::Replied {
            call: replied,
            outcome,
        } if replied == call => Some(outcome),
        _ => None,
    })
}

/// Starts a server that accepts one connection, replies to the first request with `bytes` and
/// closes the connection after `open_time`.
fn start_server(bytes: &'static [u8], open_time: Duration) -> SocketAddr {
    let listener = TcpListener::bind(any_local_port()).expect("address can be bound");
    let addr = listener.local_addr().expect("local address is available");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection is established");
        let mut request = [0; 1_000];
        let read = stream.read(&mut request).expect("request arrives");
        assert!(read > 0);
        stream.write_all(bytes).expect("reply can be sent");
        std::thread::sleep(open_time);
    });
    addr
}

struct CallCase {
    name: &'static str,
    bytes: &'static [u8],
    open_time: Duration,
    outcome: Result<&'static str, CallError>,
}

/// Guards against calls that never get an outcome, and against reporting a call as not sent
/// although the server may have executed it.
#[test]
fn calls_end_with_a_reply_or_an_error() {
    let long_open_time = Duration::from_secs(2);
    let cases = [
        CallCase {
            name: "reply with a content length",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            open_time: long_open_time,
            outcome: Ok("ok"),
        },
        CallCase {
            name: "chunked reply",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            open_time: long_open_time,
            outcome: Ok("ok"),
        },
        CallCase {
            name: "reply that ends with the connection",
            bytes: b"HTTP/1.1 200 OK\r\n\r\nok",
            open_time: Duration::ZERO,
            outcome: Ok("ok"),
        },
        CallCase {
            name: "truncated reply",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            open_time: Duration::ZERO,
            outcome: Err(CallError::Lost),
        },
        CallCase {
            name: "no reply",
            bytes: b"",
            open_time: long_open_time,
            outcome: Err(CallError::Timeout),
        },
        CallCase {
            name: "not HTTP",
            bytes: b"\x01\x02\x03\r\n\r\n",
            open_time: long_open_time,
            outcome: Err(CallError::Malformed),
        },
    ];
    for case in cases {
        let mut reactor = reactor();
        let addr = start_server(case.bytes, case.open_time);
        let outcome = call_and_wait(&mut reactor, addr, Duration::from_millis(500));
        let body = outcome.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        assert_eq!(body, case.outcome.map(str::to_owned), "{}", case.name);
    }
    let unused_addr =
        TcpListener::bind(any_local_port()).and_then(|listener| listener.local_addr());
    let refused = call_and_wait(
        &mut reactor(),
        unused_addr.expect("local address is available"),
        TEST_TIMEOUT,
    );
    assert_eq!(refused, Err(CallError::Refused));
}

/// Guards against frames that are split, merged, reordered or lost in transit.
#[test]
fn frames_arrive_complete_and_in_order() {
    let (mut sender, mut receiver) = (reactor(), reactor());
    let addr = receiver
        .listen_links(any_local_port())
        .expect("address can be bound");
    let link = sender.dial(addr);
    wait_for(&mut sender, |event| match event {
        Event::LinkUp { link: up, .. } if up == link => Some(()),
        _ => None,
    });
    let sent: Vec<Vec<u8>> = [0, 1, 70_000, 3].map(|len| vec![7_u8; len]).to_vec();
    for frame in &sent {
        sender.send(link, frame);
    }
    let mut received = Vec::new();
    let end = Instant::now() + TEST_TIMEOUT;
    let mut events = Vec::new();
    while received.len() < sent.len() && Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(5);
        sender.poll(until, &mut events).expect("poll succeeds");
        events.clear();
        receiver.poll(until, &mut events).expect("poll succeeds");
        for event in events.drain(..) {
            if let Event::Frame { bytes, .. } = event {
                received.push(bytes);
            }
        }
    }
    assert_eq!(received, sent);
    sender.close_link(link);
    sender.send(LinkId(link.0), b"to nobody");
    wait_for(&mut receiver, |event| match event {
        Event::LinkDown { .. } => Some(()),
        _ => None,
    });
}

struct SlowReplyCase {
    name: &'static str,
    /// Whether the second half of the reply comes after the deadline.
    is_completed: bool,
    /// How long a reply that keeps arriving may postpone the deadline.
    postponement: Duration,
    expected: Result<u16, CallError>,
}

/// Guards against a large reply over a slow link that fails at a deadline meant for small ones, and
/// against a reply that stops arriving and keeps its call forever.
#[test]
fn reply_that_keeps_arriving_postpones_the_deadline() {
    const DEADLINE: Duration = Duration::from_millis(50);
    let cases = [
        SlowReplyCase {
            name: "second half after the deadline",
            is_completed: true,
            postponement: Duration::from_secs(60),
            expected: Ok(200),
        },
        SlowReplyCase {
            name: "second half after the deadline, which cannot be postponed",
            is_completed: true,
            postponement: Duration::ZERO,
            expected: Err(CallError::Timeout),
        },
        SlowReplyCase {
            name: "no second half",
            is_completed: false,
            postponement: 3 * DEADLINE,
            expected: Err(CallError::Timeout),
        },
    ];
    for case in cases {
        let listener = TcpListener::bind(any_local_port()).expect("address can be bound");
        let addr = listener.local_addr().expect("local address is available");
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("connection is established");
            let read = stream.read(&mut [0; 1_000]).expect("request arrives");
            assert!(read > 0);
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na";
            stream.write_all(head).expect("reply can be sent");
            std::thread::sleep(3 * DEADLINE);
            if case.is_completed {
                // The caller has closed the connection if the deadline was not postponed.
                let _ = stream.write_all(b"b");
            }
            std::thread::sleep(3 * DEADLINE);
        });
        let mut reactor = Reactor::new(Limits {
            reply_pause: Duration::from_secs(60),
            ..Limits::default()
        })
        .expect("a reactor");
        let mut call = get_call(DEADLINE);
        call.last_deadline = call.deadline + case.postponement;
        reactor.call(addr, 0, 1, &call);
        let outcome = wait_for(&mut reactor, |event| match event {
            Event::Replied { outcome, .. } => Some(outcome.map(|reply| reply.status)),
            _ => None,
        });
        assert_eq!(outcome, case.expected, "{}", case.name);
        server.join().expect("the server stops");
    }
}

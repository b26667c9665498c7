//! Peers that send too much, too slowly or nonsense: each costs bounded memory and time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::{Method, Response};
use fulmarpond_reactor::{Call, CallError, Event, Limits, Reactor, RequestId};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_BODY_BYTES: usize = 2_000;
const MAX_REPLY_BYTES: usize = 100_000;

fn any_local_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn reactor() -> Reactor {
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes: MAX_BODY_BYTES,
        reply_bytes: MAX_REPLY_BYTES,
        header_timeout: HEADER_TIMEOUT,
        ..Limits::default()
    };
    Reactor::new(limits).expect("reactor can be created")
}

/// Polls until `find` returns a value for an event; returns `None` at the timeout.
fn find_event<T>(
    reactor: &mut Reactor,
    timeout: Duration,
    mut find: impl FnMut(Event) -> Option<T>,
) -> Option<T> {
    let end = Instant::now() + timeout;
    let mut events = Vec::new();
    while Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(10);
        reactor.poll(until, &mut events).expect("poll succeeds");
        for event in events.drain(..) {
            if let Some(found) = find(event) {
                return Some(found);
            }
        }
    }
    None
}

fn request_id(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request { id, .. } => Some(*id),
        _ => None,
    }
}

/// Guards against a client that fills the memory: while its request has no response, it goes on
/// sending, and all of it was kept.
#[test]
fn client_that_sends_on_without_waiting_is_disconnected() {
    let mut reactor = reactor();
    let (_, addr) = reactor.listen_http(any_local_port()).expect("an address");
    let mut client = TcpStream::connect(addr).expect("a connection");
    client
        .write_all(b"GET /a HTTP/1.1\r\n\r\n")
        .expect("a request");
    let request =
        find_event(&mut reactor, TEST_TIMEOUT, |event| request_id(&event)).expect("a request");
    let sender = std::thread::spawn(move || {
        let more = vec![b'x'; 64 * 1024];
        // The write fails once the connection is closed.
        while client.write_all(&more).is_ok() {}
    });
    let abandoned = find_event(&mut reactor, TEST_TIMEOUT, |event| match event {
        Event::Abandoned { id } => Some(id),
        _ => None,
    });
    assert_eq!(abandoned, Some(request));
    sender.join().expect("the sender stops");
}

/// Guards against a request that is not noticed when it is complete: its header section is not parsed again
/// at each of its pieces, and may end in several ways.
#[test]
fn request_in_single_bytes_arrives() {
    let heads = [
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n",
        "POST /a HTTP/1.1\nContent-Length: 3\n\n",
        "POST /a HTTP/1.1\nContent-Length: 3\n\r\n",
        "\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n",
    ];
    for head in heads {
        let mut reactor = Reactor::new(Limits::default()).expect("reactor can be created");
        let (_, addr) = reactor.listen_http(any_local_port()).expect("an address");
        let mut client = TcpStream::connect(addr).expect("a connection");
        client.set_nodelay(true).expect("an option");
        let mut body = None;
        for byte in format!("{head}abc").bytes() {
            assert_eq!(body, None, "{head:?}");
            client.write_all(&[byte]).expect("a byte");
            body = find_event(
                &mut reactor,
                Duration::from_millis(3),
                |event| match event {
                    Event::Request { request, .. } => Some(request.body),
                    _ => None,
                },
            );
        }
        let body = body.or_else(|| {
            find_event(&mut reactor, TEST_TIMEOUT, |event| match event {
                Event::Request { request, .. } => Some(request.body),
                _ => None,
            })
        });
        assert_eq!(body.as_deref(), Some(b"abc".as_slice()), "{head:?}");
    }
}

/// The size of a response that the client does not read, in bytes, and how often it asks for it. Together they
/// are several times what the buffers of the operating system take.
const UNREAD_BYTES: usize = 100_000;
const UNREAD_REQUESTS: usize = 1_000;

/// Guards against a client that fills the memory with responses: it asks on and on, and reads none.
#[test]
fn client_that_reads_no_responses_gets_no_further_ones() {
    let limits = Limits {
        client_bytes: 1 << 30,
        ..Limits::default()
    };
    let mut reactor = Reactor::new(limits).expect("reactor can be created");
    let (_, addr) = reactor.listen_http(any_local_port()).expect("an address");
    let mut client = TcpStream::connect(addr).expect("a connection");
    let requests = "GET /a HTTP/1.1\r\n\r\n".repeat(UNREAD_REQUESTS);
    client.write_all(requests.as_bytes()).expect("the requests");
    let response = Response::text(200, vec![b'x'; UNREAD_BYTES]);
    let mut answered = 0;
    while let Some(id) = find_event(&mut reactor, Duration::from_millis(500), |event| {
        request_id(&event)
    }) {
        reactor.respond(id, &response);
        answered += 1;
    }
    assert!(
        answered < UNREAD_REQUESTS / 2,
        "{answered} responses were made"
    );
}

struct LargeReply {
    name: &'static str,
    head: &'static str,
    body_bytes: usize,
    error: CallError,
}

/// Guards against a server that fills the memory of its caller, or makes it crash with the size of
/// a chunk.
#[test]
fn replies_beyond_the_limits_fail_the_call() {
    let cases = [
        LargeReply {
            name: "endless body without a length",
            head: "HTTP/1.1 200 OK\r\n\r\n",
            body_bytes: 10 * MAX_REPLY_BYTES,
            error: CallError::TooLarge,
        },
        LargeReply {
            name: "chunk of nearly the largest number of bytes",
            head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
            body_bytes: 10,
            error: CallError::Malformed,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind(any_local_port()).expect("an address");
        let addr = listener.local_addr().expect("an address");
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let _ = stream.read(&mut [0; 1_000]);
            let mut reply = case.head.as_bytes().to_vec();
            reply.resize(reply.len() + case.body_bytes, b'x');
            // The caller may close the connection before everything is written.
            let _ = stream.write_all(&reply);
            std::thread::sleep(Duration::from_millis(500));
        });
        let mut reactor = reactor();
        let call = Call {
            method: Method::Get,
            path: "/a".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline: Instant::now() + Duration::from_secs(5),
            last_deadline: Instant::now() + Duration::from_secs(5),
        };
        reactor.call(addr, 0, 1, &call);
        let outcome = find_event(&mut reactor, TEST_TIMEOUT, |event| match event {
            Event::Replied { outcome, .. } => Some(outcome.map(|reply| reply.status)),
            _ => None,
        });
        assert_eq!(outcome, Some(Err(case.error)), "{}", case.name);
        server.join().expect("the server stops");
    }
}

/// Guards against a client that holds a connection by sending its second request byte by byte: only
/// the first request had to arrive in time.
#[test]
fn every_request_has_to_arrive_in_time() {
    let mut reactor = reactor();
    let (_, addr) = reactor.listen_http(any_local_port()).expect("an address");
    let mut client = TcpStream::connect(addr).expect("a connection");
    client
        .write_all(b"GET /a HTTP/1.1\r\n\r\n")
        .expect("a request");
    let request =
        find_event(&mut reactor, TEST_TIMEOUT, |event| request_id(&event)).expect("a request");
    reactor.respond(request, &Response::empty(200));
    find_event(&mut reactor, Duration::from_millis(50), |_| Some(()));
    client.write_all(b"GET /b HT").expect("a part of a request");
    let reader = std::thread::spawn(move || {
        let start = Instant::now();
        let mut rest = Vec::new();
        // The end of the connection is expected, also by a reset.
        let _ = client.read_to_end(&mut rest);
        start.elapsed()
    });
    let limit = 10 * HEADER_TIMEOUT;
    find_event::<()>(&mut reactor, limit, |_| None);
    assert!(
        reader.is_finished(),
        "the connection is open after {limit:?}"
    );
}

/// Guards against a link that the peer closes for a reason that the sender never learns: a frame
/// above the limit was sent, and only its receiver noticed.
#[test]
fn sender_closes_the_link_at_a_frame_above_the_limit() {
    let (mut sender, mut receiver) = (reactor(), reactor());
    let addr = receiver.listen_links(any_local_port()).expect("an address");
    let link = sender.dial(addr);
    find_event(&mut sender, TEST_TIMEOUT, |event| match event {
        Event::LinkUp { .. } => Some(()),
        _ => None,
    })
    .expect("a link");
    sender.send(link, &vec![7; 5 * 1024 * 1024]);
    let mut events = Vec::new();
    sender
        .poll(Instant::now(), &mut events)
        .expect("poll succeeds");
    let is_down = |event: &Event| matches!(event, Event::LinkDown { link: down } if *down == link);
    assert!(events.iter().any(is_down), "{events:?}");
}

//! Requests, their bounds and their answers.

mod common;

use std::thread;

use common::{Caller, PATIENCE, start};
use fulmarpond_http::{Fault, Handler, Listener, Options, Request, Responder, Response};

/// Guards against parts of a request that are lost or not decoded.
#[test]
fn a_request_arrives_whole() {
    struct Case {
        name: &'static str,
        request: &'static str,
        echo: &'static str,
    }
    let cases = [
        Case {
            name: "path, query and header",
            request: "GET /a/b%2Fc?p=1&q=x+y%26z HTTP/1.1\r\nHost: t\r\nX-Test: 7\r\n\r\n",
            echo: r#"GET a|b/c q=Some("x y&z") h=Some("7") "#,
        },
        Case {
            name: "body with a length",
            request: "POST /a/ HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\n\r\nhello",
            echo: "POST a q=None h=None hello",
        },
        Case {
            name: "body in chunks",
            request: "PUT /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n\
                      3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            echo: "PUT a q=None h=None hello",
        },
        Case {
            name: "root",
            request: "DELETE / HTTP/1.1\r\nHost: t\r\n\r\n",
            echo: "DELETE  q=None h=None ",
        },
    ];
    let (listener, _later) = start(Options::default());
    // All on one connection, so that a request that is not read whole spoils the next one.
    let mut caller = Caller::connect(listener.addr());
    for case in cases {
        caller.write(case.request.as_bytes());
        let reply = caller.reply().expect("an answer");
        assert_eq!(
            (reply.status, reply.text()),
            (200, case.echo.to_owned()),
            "{}",
            case.name
        );
    }
}

/// Guards against headers without a bound, and against a refusal that does not say why.
#[test]
fn headers_are_bounded() {
    let (listener, _later) = start(Options::default().headers_max(10));
    for (headers, status) in [(10, 200), (11, 431), (200, 431)] {
        let mut caller = Caller::connect(listener.addr());
        let lines = "X-Test: 1\r\n".repeat(headers - 1);
        caller.write(format!("GET / HTTP/1.1\r\nHost: test\r\n{lines}\r\n").as_bytes());
        let reply = caller.reply().expect("an answer");
        assert_eq!(reply.status, status, "{headers} headers");
        if headers == 11 {
            assert!(
                reply.text().contains("more than 10 headers"),
                "{}",
                reply.text()
            );
        }
    }
}

/// Guards against bodies without a bound, and against a refusal that waits for the body.
#[test]
fn bodies_are_bounded() {
    let (listener, _later) = start(Options::default().body_max(1_000));
    let addr = listener.addr();
    assert_eq!(Caller::connect(addr).post("/a", &[b'x'; 1_000]).status, 200);
    assert_eq!(Caller::connect(addr).post("/a", &[b'x'; 1_001]).status, 413);

    // The body is announced but never sent.
    let mut caller = Caller::connect(addr);
    caller.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 1000000000000\r\n\r\n");
    let reply = caller.reply().expect("an answer");
    assert_eq!(reply.status, 413);
    assert!(
        reply.text().contains("larger than 1000 bytes"),
        "{}",
        reply.text()
    );

    // The size of a body in chunks is not announced.
    let mut caller = Caller::connect(addr);
    caller.write(b"POST /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..11 {
        caller.write(format!("64\r\n{}\r\n", "x".repeat(100)).as_bytes());
    }
    assert_eq!(caller.reply().expect("an answer").status, 413);

    // A caller that asks first sends no body.
    let mut caller = Caller::connect(addr);
    caller.write(
        b"POST /a HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n",
    );
    assert_eq!(caller.reply().expect("an answer").status, 413);
}

/// Guards against a refusal that is lost because the caller is still sending its body.
#[test]
fn a_caller_that_sends_a_large_body_sees_the_refusal() {
    let (listener, _later) = start(Options::default().body_max(1_000));
    for _ in 0..10 {
        let mut caller = Caller::connect(listener.addr());
        assert_eq!(caller.post("/a", &vec![b'x'; 8 << 20]).status, 413);
    }
}

/// Guards against callers that send part of a body and are kept forever.
#[test]
fn a_stalled_body_is_refused() {
    let options = Options::default().header_timeout(std::time::Duration::from_millis(100));
    let (listener, _later) = start(options);
    let mut caller = Caller::connect(listener.addr());
    caller.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nabc");
    assert_eq!(caller.reply().expect("an answer").status, 408);
}

/// Guards against a connection that ends after each answer.
#[test]
fn connections_are_kept() {
    let (listener, _later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    for number in 0..100 {
        assert_eq!(caller.post("/a", b"x").status, 200, "request {number}");
    }
    assert_eq!(listener.connections(), 1);
    caller.write(b"GET /a HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
    assert_eq!(caller.reply().expect("an answer").status, 200);
    assert!(caller.is_closed());
}

/// Guards against answers that only the thread of the handler can send.
#[test]
fn another_thread_answers_later() {
    let (listener, later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    for number in 0..3 {
        caller.ask("/later");
        let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
        let answer = Response::json(201, &[number]);
        thread::spawn(move || responder.send(answer));
        let reply = caller.reply().expect("an answer");
        assert_eq!((reply.status, reply.text()), (201, format!("[{number}]")));
        assert_eq!(reply.header("content-type"), Some("application/json"));
    }
}

/// Guards against a caller that waits forever for a request that was forgotten.
#[test]
fn a_dropped_responder_answers() {
    let (listener, later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    let reply = caller.get("/drop");
    assert_eq!(reply.status, 500);
    assert!(
        reply.text().starts_with(r#"{"detail":"#),
        "{}",
        reply.text()
    );
    caller.ask("/later");
    drop(later.recv_timeout(PATIENCE).expect("a request"));
    assert_eq!(caller.reply().expect("an answer").status, 500);
}

/// Guards against a lost reply that looks like an answer.
#[test]
fn a_connection_can_be_closed_without_an_answer() {
    let (listener, later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    caller.ask("/close");
    assert!(caller.reply().is_none());
    let mut caller = Caller::connect(listener.addr());
    caller.ask("/later");
    let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
    responder.close();
    assert!(caller.reply().is_none());
}

/// A reply that becomes a response on the listener's runtime.
struct Number(u16);

/// A handler with its own refusals and reply type.
struct Strict;

impl Handler<Number> for Strict {
    fn handle(&self, _request: Request, responder: Responder<Number>) {
        responder.send(Number(200));
    }

    fn admit(&self, head: &Request) -> Result<(), Response> {
        match head.header("authorization") {
            Some(_) => Ok(()),
            None => Err(Response::text(401, "who?")),
        }
    }

    fn refuse(&self, fault: Fault) -> Response {
        Response::text(fault.status(), format!("strict: {fault}"))
    }
}

impl From<Number> for Response {
    fn from(number: Number) -> Self {
        Self::empty(number.0)
    }
}

/// Guards against bodies of callers without access that are read, and against lost refusals.
#[test]
fn a_handler_decides_before_the_body_is_read() {
    let options = Options::default().body_max(3);
    let listener = Listener::start("127.0.0.1:0", options, Strict).expect("a free port");
    let mut caller = Caller::connect(listener.addr());
    caller.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\n");
    let reply = caller.reply().expect("an answer before the body");
    assert_eq!((reply.status, reply.text()), (401, "who?".to_owned()));

    let mut caller = Caller::connect(listener.addr());
    let head = "POST /a HTTP/1.1\r\nHost: t\r\nAuthorization: me\r\n";
    caller.write(format!("{head}Content-Length: 3\r\n\r\nabc").as_bytes());
    assert_eq!(caller.reply().expect("an answer").status, 200);
    caller.write(format!("{head}Content-Length: 4\r\n\r\nabcd").as_bytes());
    let reply = caller.reply().expect("an answer");
    assert_eq!(reply.text(), "strict: the body is larger than 3 bytes");
}

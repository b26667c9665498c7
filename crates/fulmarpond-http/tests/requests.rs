//! Parsing of requests, request limits and responses.

mod common;

use std::thread;

use common::{Client, TEST_TIMEOUT, start};
use fulmarpond_http::{Fault, Handler, Listener, Options, Request, Responder, Response};

/// Guards against parts of a request that are lost or not decoded.
#[test]
fn request_arrives_complete() {
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
            name: "body with a content length",
            request: "POST /a/ HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\n\r\nhello",
            echo: "POST a q=None h=None hello",
        },
        Case {
            name: "chunked body",
            request: "PUT /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n\
                      3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            echo: "PUT a q=None h=None hello",
        },
        Case {
            name: "root path",
            request: "DELETE / HTTP/1.1\r\nHost: t\r\n\r\n",
            echo: "DELETE  q=None h=None ",
        },
    ];
    let (listener, _deferred) = start(Options::default());
    // All requests use one connection, so that a request that is not read completely corrupts the
    // next one.
    let mut client = Client::connect(listener.addr());
    for case in cases {
        client.write(case.request.as_bytes());
        let response = client.read_response().expect("response arrives");
        assert_eq!(
            (response.status, response.text()),
            (200, case.echo.to_owned()),
            "{}",
            case.name
        );
    }
}

/// Guards against accepting an unlimited number of headers, and against a refusal that does not
/// state its reason.
#[test]
fn header_limit_is_enforced() {
    let (listener, _deferred) = start(Options::default().max_headers(10));
    for (header_count, status) in [(10, 200), (11, 431), (200, 431)] {
        let mut client = Client::connect(listener.addr());
        let lines = "X-Test: 1\r\n".repeat(header_count - 1);
        client.write(format!("GET / HTTP/1.1\r\nHost: test\r\n{lines}\r\n").as_bytes());
        let response = client.read_response().expect("response arrives");
        assert_eq!(response.status, status, "{header_count} headers");
        if header_count == 11 {
            assert!(
                response.text().contains("more than 10 headers"),
                "{}",
                response.text()
            );
        }
    }
}

/// Guards against accepting bodies of any size, and against a refusal that is sent only after the
/// body has arrived.
#[test]
fn body_limit_is_enforced() {
    let (listener, _deferred) = start(Options::default().max_body_bytes(1_000));
    let addr = listener.addr();
    assert_eq!(Client::connect(addr).post("/a", &[b'x'; 1_000]).status, 200);
    assert_eq!(Client::connect(addr).post("/a", &[b'x'; 1_001]).status, 413);

    // The body is announced but never sent.
    let mut client = Client::connect(addr);
    client.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 1000000000000\r\n\r\n");
    let response = client.read_response().expect("response arrives");
    assert_eq!(response.status, 413);
    assert!(
        response.text().contains("larger than 1000 bytes"),
        "{}",
        response.text()
    );

    // The size of a chunked body is not announced.
    let mut client = Client::connect(addr);
    client.write(b"POST /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..11 {
        client.write(format!("64\r\n{}\r\n", "x".repeat(100)).as_bytes());
    }
    assert_eq!(
        client.read_response().expect("response arrives").status,
        413
    );

    // A client that expects `100 Continue` does not send its body before.
    let mut client = Client::connect(addr);
    client.write(
        b"POST /a HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n",
    );
    assert_eq!(
        client.read_response().expect("response arrives").status,
        413
    );
}

/// Guards against a refusal that is lost because the client is still sending its body when the
/// connection is closed.
#[test]
fn refusal_reaches_a_client_that_is_still_sending() {
    let (listener, _deferred) = start(Options::default().max_body_bytes(1_000));
    for _ in 0..10 {
        let mut client = Client::connect(listener.addr());
        assert_eq!(client.post("/a", &vec![b'x'; 8 << 20]).status, 413);
    }
}

/// Guards against connections that stay open although the rest of a body never arrives.
#[test]
fn stalled_body_is_refused() {
    let options = Options::default().header_timeout(std::time::Duration::from_millis(100));
    let (listener, _deferred) = start(options);
    let mut client = Client::connect(listener.addr());
    client.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nabc");
    assert_eq!(
        client.read_response().expect("response arrives").status,
        408
    );
}

/// Guards against closing the connection after each response.
#[test]
fn connections_are_reused() {
    let (listener, _deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    for number in 0..100 {
        assert_eq!(client.post("/a", b"x").status, 200, "request {number}");
    }
    assert_eq!(listener.connections(), 1);
    client.write(b"GET /a HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
    assert_eq!(
        client.read_response().expect("response arrives").status,
        200
    );
    assert!(client.is_closed());
}

/// Guards against responses that only the thread of the handler can send.
#[test]
fn another_thread_responds_later() {
    let (listener, deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    for number in 0..3 {
        client.send_get("/later");
        let (_, responder) = deferred
            .recv_timeout(TEST_TIMEOUT)
            .expect("request arrives");
        let response = Response::json(201, &[number]);
        thread::spawn(move || responder.send(response));
        let response = client.read_response().expect("response arrives");
        assert_eq!(
            (response.status, response.text()),
            (201, format!("[{number}]"))
        );
        assert_eq!(response.header("content-type"), Some("application/json"));
    }
}

/// Guards against a client that waits forever because the responder was dropped.
#[test]
fn dropped_responder_sends_an_error() {
    let (listener, deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    let response = client.get("/drop");
    assert_eq!(response.status, 500);
    assert!(
        response.text().starts_with(r#"{"detail":"#),
        "{}",
        response.text()
    );
    client.send_get("/later");
    drop(
        deferred
            .recv_timeout(TEST_TIMEOUT)
            .expect("request arrives"),
    );
    assert_eq!(
        client.read_response().expect("response arrives").status,
        500
    );
}

/// Guards against sending a response although the responder closes the connection.
#[test]
fn connection_can_be_closed_without_a_response() {
    let (listener, deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    client.send_get("/close");
    assert!(client.read_response().is_none());
    let mut client = Client::connect(listener.addr());
    client.send_get("/later");
    let (_, responder) = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    responder.close();
    assert!(client.read_response().is_none());
}

/// A status code that is converted to a response on the listener's runtime.
struct StatusReply(u16);

/// A handler with its own refusals and its own response type.
struct StrictHandler;

impl Handler<StatusReply> for StrictHandler {
    fn handle(&self, _request: Request, responder: Responder<StatusReply>) {
        responder.send(StatusReply(200));
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

impl From<StatusReply> for Response {
    fn from(reply: StatusReply) -> Self {
        Self::empty(reply.0)
    }
}

/// Guards against reading the bodies of unauthorized clients, and against ignoring the refusals of
/// the handler.
#[test]
fn handler_decides_before_the_body_is_read() {
    let options = Options::default().max_body_bytes(3);
    let listener = Listener::start("127.0.0.1:0", options, StrictHandler).expect("listener starts");
    let mut client = Client::connect(listener.addr());
    client.write(b"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\n");
    let response = client
        .read_response()
        .expect("response arrives before the body is sent");
    assert_eq!((response.status, response.text()), (401, "who?".to_owned()));

    let mut client = Client::connect(listener.addr());
    let head = "POST /a HTTP/1.1\r\nHost: t\r\nAuthorization: me\r\n";
    client.write(format!("{head}Content-Length: 3\r\n\r\nabc").as_bytes());
    assert_eq!(
        client.read_response().expect("response arrives").status,
        200
    );
    client.write(format!("{head}Content-Length: 4\r\n\r\nabcd").as_bytes());
    let response = client.read_response().expect("response arrives");
    assert_eq!(response.text(), "strict: the body is larger than 3 bytes");
}

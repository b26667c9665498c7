//! A client that works on raw bytes, and a handler whose behaviour depends on the path.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use fulmarpond_http::{Listener, Options, Request, Responder, Response};

/// How long a test waits before it fails. Tests assert outcomes, not durations.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A client with one persistent connection.
pub(crate) struct Client {
    stream: BufReader<TcpStream>,
}

/// A response as the client receives it.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ReceivedResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Client {
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("connection is established");
        stream.set_nodelay(true).expect("option can be set");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout can be set");
        Self {
            stream: BufReader::new(stream),
        }
    }

    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.stream
            .get_ref()
            .local_addr()
            .expect("local address is available")
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.stream
            .get_mut()
            .write_all(bytes)
            .expect("bytes can be sent");
    }

    /// Sends a `GET` request without waiting for the response.
    pub(crate) fn send_get(&mut self, path: &str) {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n").as_bytes());
    }

    pub(crate) fn get(&mut self, path: &str) -> ReceivedResponse {
        self.send_get(path);
        self.read_response().expect("response arrives")
    }

    pub(crate) fn post(&mut self, path: &str, body: &[u8]) -> ReceivedResponse {
        let size = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {size}\r\n\r\n");
        self.write(head.as_bytes());
        self.write(body);
        self.read_response().expect("response arrives")
    }

    /// Reads a response, or returns `None` if the connection was closed without one.
    pub(crate) fn read_response(&mut self) -> Option<ReceivedResponse> {
        let status = self.read_line()?;
        let status = status.split(' ').nth(1).expect("status line is complete");
        let status = status.parse().expect("status is a number");
        let mut headers = Vec::new();
        loop {
            let line = self.read_line().expect("header line arrives");
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            headers.push((name.to_owned(), value.to_owned()));
        }
        let mut response = ReceivedResponse {
            status,
            headers,
            body: Vec::new(),
        };
        let size = response.header("content-length").unwrap_or("0");
        response.body = vec![0; size.parse().expect("content length is a number")];
        self.stream
            .read_exact(&mut response.body)
            .expect("body arrives");
        Some(response)
    }

    /// Reads a byte, and returns whether the listener has closed the connection instead.
    pub(crate) fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(size) => size == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("response can't be read: {error}"),
        }
    }
}

/// Starts a listener, and returns it with a receiver of the requests to `/later`, to which the test
/// responds.
pub(crate) fn start(options: Options) -> (Listener, Receiver<(Request, Responder)>) {
    let (sender, receiver) = channel();
    let listener = Listener::start("127.0.0.1:0", options, handler(sender));
    (listener.expect("listener starts"), receiver)
}

fn handler(deferred: Sender<(Request, Responder)>) -> impl Fn(Request, Responder) + Send + Sync {
    move |request, responder| match request.segments()[0].as_str() {
        "later" => deferred
            .send((request, responder))
            .expect("receiver is open"),
        "drop" => drop(responder),
        "close" => responder.close(),
        "large" => responder.send(Response::text(200, "x".repeat(20_000))),
        _ => responder.send(echo(&request)),
    }
}

/// Responds with the parts of a request that the handler received.
fn echo(request: &Request) -> Response {
    let line = format!(
        "{} {} q={:?} h={:?} {}",
        request.method(),
        request.segments().join("|"),
        request.query("q"),
        request.header("x-test"),
        String::from_utf8_lossy(request.body()),
    );
    Response::text(200, line)
}

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "condition not met within {TEST_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

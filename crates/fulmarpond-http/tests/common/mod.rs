//! A caller that sees every byte, and a handler whose behaviour is chosen by the path.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use fulmarpond_http::{Listener, Options, Request, Responder, Response};

/// How long a test waits before it gives up. Tests assert outcomes, not times.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A kept connection of a caller.
pub(crate) struct Caller {
    stream: BufReader<TcpStream>,
}

/// A response as the caller sees it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Caller {
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("the port is open");
        stream.set_nodelay(true).expect("an option");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time limit");
        Self {
            stream: BufReader::new(stream),
        }
    }

    pub(crate) fn local(&self) -> SocketAddr {
        self.stream.get_ref().local_addr().expect("an address")
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// Sends a request without a body.
    pub(crate) fn ask(&mut self, path: &str) {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n").as_bytes());
    }

    pub(crate) fn get(&mut self, path: &str) -> Reply {
        self.ask(path);
        self.reply().expect("an answer")
    }

    pub(crate) fn post(&mut self, path: &str, body: &[u8]) -> Reply {
        let size = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {size}\r\n\r\n");
        self.write(head.as_bytes());
        self.write(body);
        self.reply().expect("an answer")
    }

    /// Reads a response. `None` means that the connection was closed without one.
    pub(crate) fn reply(&mut self) -> Option<Reply> {
        let status = self.line()?;
        let status = status.split(' ').nth(1).expect("a status line");
        let status = status.parse().expect("a status");
        let mut headers = Vec::new();
        loop {
            let line = self.line().expect("a header");
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            headers.push((name.to_owned(), value.to_owned()));
        }
        let mut reply = Reply {
            status,
            headers,
            body: Vec::new(),
        };
        let size = reply.header("content-length").unwrap_or("0");
        reply.body = vec![0; size.parse().expect("a length")];
        self.stream.read_exact(&mut reply.body).expect("the body");
        Some(reply)
    }

    /// Returns whether the connection was closed by the listener.
    pub(crate) fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(size) => size == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no answer: {error}"),
        }
    }
}

/// Starts a listener, and returns the requests to `/later` with their responders.
pub(crate) fn start(options: Options) -> (Listener, Receiver<(Request, Responder)>) {
    let (sender, receiver) = channel();
    let listener = Listener::start("127.0.0.1:0", options, handler(sender));
    (listener.expect("a free port"), receiver)
}

fn handler(later: Sender<(Request, Responder)>) -> impl Fn(Request, Responder) + Send + Sync {
    move |request, responder| match request.segments()[0].as_str() {
        "later" => later.send((request, responder)).expect("the test listens"),
        "drop" => drop(responder),
        "close" => responder.close(),
        "large" => responder.send(Response::text(200, "x".repeat(20_000))),
        _ => responder.send(echo(&request)),
    }
}

/// Returns what the handler sees of a request.
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
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

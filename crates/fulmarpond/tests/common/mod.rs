//! A fake entry with canned replies, and helpers to run the tool against it.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

use fulmarpond_http::{Listener, Options, Request, Responder, Response};

/// A canned reply: method and path with query, status, body.
pub(crate) type CannedReply<'a> = (&'a str, u16, &'a str);

/// An HTTP server that stands in for an entry and records requests.
pub(crate) struct FakeEntry {
    addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeEntry {
    /// Starts an entry that replies with `handler` and does not record requests.
    pub(crate) fn serve_raw<F>(handler: F) -> Self
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let handler = Arc::new(handler);
        // Handlers may block, so each request is handled in its own thread.
        let answer = move |request: Request, responder: Responder| {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || responder.send(handler(&request)));
        };
        let listener = Listener::start("127.0.0.1:0", Options::default(), answer);
        let listener = listener.expect("a free port");
        let addr = listener.addr();
        // Leaked, so that it serves until the test process exits.
        std::mem::forget(listener);
        Self {
            addr,
            requests: Arc::default(),
        }
    }

    /// Starts an entry that replies with `handler` and records requests.
    pub(crate) fn serve<F>(handler: F) -> Self
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&requests);
        let entry = Self::serve_raw(move |request| {
            let body = std::str::from_utf8(request.body()).expect("body is text");
            let line = format!("{} {} {body}", request.method(), request.target());
            record
                .lock()
                .expect("no panic while recording")
                .push(line.trim_end().to_owned());
            handler(request)
        });
        Self { requests, ..entry }
    }

    /// Starts an entry with canned replies. Several replies for one path are used in order, and the
    /// last one is repeated. Other requests get 404.
    pub(crate) fn with_replies(replies: &[CannedReply<'_>]) -> Self {
        let replies: Vec<(String, u16, String)> = replies
            .iter()
            .map(|(target, status, body)| ((*target).to_owned(), *status, (*body).to_owned()))
            .collect();
        let used = Mutex::new(vec![false; replies.len()]);
        Self::serve(move |request| {
            let target = format!("{} {}", request.method(), request.target());
            let mut used = used.lock().expect("no panic while choosing");
            let matching: Vec<usize> = (0..replies.len())
                .filter(|&index| replies[index].0 == target)
                .collect();
            let chosen = matching
                .iter()
                .copied()
                .find(|&index| !used[index])
                .or(matching.last().copied());
            match chosen {
                Some(index) => {
                    used[index] = true;
                    let (_, status, body) = &replies[index];
                    Response::new(*status, "application/json", body.clone())
                }
                None => Response::new(404, "application/json", r#"{"reason": "unknown"}"#),
            }
        })
    }

    /// Returns the address as an argument of `--entry`.
    pub(crate) fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Returns the requests so far, each as method, path and body.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests
            .lock()
            .expect("no panic while recording")
            .clone()
    }
}

/// Returns an address on which no server listens.
///
/// Its port is that of the client end of a connection that stays open, so no server of a concurrent
/// test can be assigned the port.
pub(crate) fn closed_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let client = TcpStream::connect(addr).expect("a listening port");
    let mut closed = client.local_addr().expect("a connected port");
    std::mem::forget((listener, client));
    // Outgoing connections use 127.0.0.1 as source. A connection to a port there could be assigned
    // the same port as source and connect to itself.
    closed.set_ip([127, 0, 0, 2].into());
    closed.to_string()
}

/// Starts a server that reads each request and closes the connection without a reply.
pub(crate) fn reply_dropping_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port").to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut bytes = [0; 4096];
            // Only the receipt of the request matters, not its content.
            let _ = stream.read(&mut bytes);
        }
    });
    addr
}

/// The result of a run of the tool.
pub(crate) struct Run {
    /// The exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) stdout: String,
    /// Standard error.
    pub(crate) stderr: String,
}

impl Run {
    /// Formats exit code and output for a snapshot, with each address replaced by its name.
    pub(crate) fn snapshot(&self, names: &[(&str, &str)]) -> String {
        let mut text = format!("exit {}\n", self.code);
        for (title, part) in [("stdout", &self.stdout), ("stderr", &self.stderr)] {
            if !part.is_empty() {
                text.push_str(&format!("--- {title}\n{}\n", part.trim_end()));
            }
        }
        for (addr, name) in names {
            text = text.replace(addr, name);
        }
        text
    }
}

/// Runs the tool with `args` and `input` on standard input.
pub(crate) fn run(args: &[&str], input: &str) -> Run {
    run_with(args, input, &[])
}

/// Runs the tool with additional environment variables.
pub(crate) fn run_with(args: &[&str], input: &str, variables: &[(&str, &str)]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarpond"))
        .args(args)
        .env_remove("FULMARPOND_ENTRY")
        .env("NO_COLOR", "1")
        .env("NO_GRAPHICS", "1")
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // The tool may exit without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the tool ends");
    Run {
        code: output.status.code().expect("the tool was not killed"),
        stdout: String::from_utf8(output.stdout).expect("stdout is text"),
        stderr: String::from_utf8(output.stderr).expect("stderr is text"),
    }
}

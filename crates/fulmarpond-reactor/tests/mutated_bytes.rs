//! Requests and frames with mutated bytes, sent to a reactor that goes on serving.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::Response;
use fulmarpond_reactor::{Event, Limits, Reactor};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REQUEST: &str =
    "POST /jobs/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a reactor gets for bytes to which it may not respond.
const NONSENSE_TIME: Duration = Duration::from_millis(10);

fn any_local_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Sends bytes and serves for some time, or until the connection is closed; returns the status of
/// the first response.
fn exchange(reactor: &mut Reactor, addr: SocketAddr, bytes: &[u8], time: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).expect("the reactor listens");
    stream.write_all(bytes).expect("the bytes fit the buffers");
    stream.set_nonblocking(true).expect("an open connection");
    let end = Instant::now() + time;
    let (mut events, mut received) = (Vec::new(), Vec::new());
    while Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(1);
        reactor.poll(until, &mut events).expect("poll succeeds");
        for event in events.drain(..) {
            if let Event::Request { id, .. } = event {
                reactor.respond(id, &Response::empty(200));
            }
        }
        match stream.read_to_end(&mut received) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&received);
    text.split(' ').nth(1)?.parse().ok()
}

struct Lengths {
    name: &'static str,
    headers: &'static str,
    status: u16,
}

/// Guards against a request whose end is ambiguous, so that a part of its body is taken for the next
/// request, and against a length that overflows.
#[test]
fn ambiguous_lengths_are_refused() {
    let cases = [
        Lengths {
            name: "two different lengths",
            headers: "Content-Length: 5\r\nContent-Length: 0\r\n",
            status: 400,
        },
        Lengths {
            name: "negative",
            headers: "Content-Length: -5\r\n",
            status: 400,
        },
        Lengths {
            name: "largest number",
            headers: "Content-Length: 18446744073709551615\r\n",
            status: 413,
        },
        Lengths {
            name: "larger than any number",
            headers: "Content-Length: 99999999999999999999\r\n",
            status: 400,
        },
    ];
    let mut reactor = Reactor::new(Limits::default()).expect("reactor can be created");
    let (_, addr) = reactor.listen_http(any_local_port()).expect("a free port");
    for case in cases {
        let request = format!("POST / HTTP/1.1\r\n{}\r\nhello", case.headers);
        let status = exchange(&mut reactor, addr, request.as_bytes(), TEST_TIMEOUT);
        assert_eq!(status, Some(case.status), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    /// Guards against a process that ends, or stops serving, at a request or a frame with mutated
    /// bytes.
    #[test]
    fn reactor_serves_on_after_mutated_bytes(
        mutations in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..5),
        frame in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut reactor = Reactor::new(Limits::default()).expect("reactor can be created");
        let (_, addr) = reactor.listen_http(any_local_port()).expect("a free port");
        let links = reactor.listen_links(any_local_port()).expect("a free port");
        let mut bytes = REQUEST.as_bytes().to_vec();
        for (at, byte) in mutations {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        exchange(&mut reactor, addr, &bytes, NONSENSE_TIME);
        exchange(&mut reactor, links, &frame, NONSENSE_TIME);
        let status = exchange(&mut reactor, addr, REQUEST.as_bytes(), TEST_TIMEOUT);
        prop_assert_eq!(status, Some(200));
    }
}

//! How long a request may have waited before it was read.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::Response;
use fulmarpond_reactor::{Event, Limits, Reactor};

const REQUEST: &[u8] = b"POST /jobs/1 HTTP/1.1\r\nhost: desk\r\ncontent-length: 2\r\n\r\n{}";

struct Server {
    reactor: Reactor,
    addr: SocketAddr,
}

impl Server {
    fn new() -> Self {
        let mut reactor = Reactor::new(Limits::default()).expect("a reactor");
        let (_, addr) = reactor
            .listen_http(([127, 0, 0, 1], 0).into())
            .expect("a listener");
        Self { reactor, addr }
    }

    /// Polls once at a time of the server's clock; returns since when a request may have waited.
    fn poll_at(&mut self, stamp: u64) -> Option<u64> {
        let mut events = Vec::new();
        self.reactor.set_stamp(stamp);
        self.reactor
            .poll(Instant::now() + Duration::from_millis(50), &mut events)
            .expect("a poll");
        events.iter().find_map(|event| match event {
            Event::Request { since, .. } => Some(*since),
            _ => None,
        })
    }

    /// Polls at rising times until an event arrives.
    fn poll_event(&mut self, stamp: u64) -> Event {
        let mut events = Vec::new();
        for step in 0..100 {
            self.reactor.set_stamp(stamp + step);
            let until = Instant::now() + Duration::from_millis(50);
            self.reactor.poll(until, &mut events).expect("a poll");
            if let Some(event) = events.pop() {
                return event;
            }
        }
        panic!("no event arrives");
    }

    /// Polls at rising times until a request arrives.
    fn poll_from(&mut self, stamp: u64) -> u64 {
        (0..100)
            .find_map(|step| self.poll_at(stamp + step))
            .expect("a request arrives")
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    stream
}

/// Guards against a fresh request that counts as old, because its connection or its first bytes are.
#[test]
fn request_is_as_old_as_its_last_byte() {
    for head in [0, 20, REQUEST.len() - 1] {
        let mut server = Server::new();
        let mut stream = connect(server.addr);
        stream.write_all(&REQUEST[..head]).expect("a write");
        for stamp in 1..10 {
            assert_eq!(server.poll_at(stamp), None);
        }
        stream.write_all(&REQUEST[head..]).expect("a write");
        let since = server.poll_from(1_000);
        assert!(since >= 9, "{head} bytes came before: since {since}");
    }
}

/// Guards against a request that counts as fresh although it waited unread, whole, while the process
/// did not poll: in the accept queue, or on a connection that was open.
#[test]
fn request_that_waited_unread_is_as_old_as_the_last_poll() {
    for is_accepted in [false, true] {
        let mut server = Server::new();
        server.poll_at(1);
        let mut stream = is_accepted.then(|| connect(server.addr));
        for stamp in 2..10 {
            assert_eq!(server.poll_at(stamp), None);
        }
        let stream = stream.get_or_insert_with(|| connect(server.addr));
        stream.write_all(REQUEST).expect("a write");
        thread::sleep(Duration::from_millis(100));
        let since = server.poll_from(1_000);
        assert_eq!(since, 9, "accepted before: {is_accepted}");
    }
}

/// Shows what an entry sees of a request that the network has held back until its client left: it looks
/// fresh, and the end of the connection comes after it. What tells it apart is that the client has not
/// been heard of before.
#[test]
fn request_that_the_network_held_back_comes_before_the_end_of_its_connection() {
    let mut server = Server::new();
    // The client has sent its request at 1, and has left. The network delivers what it sent from 1,000 on.
    for stamp in 1..10 {
        assert_eq!(server.poll_at(stamp), None);
    }
    let mut network = connect(server.addr);
    network.write_all(REQUEST).expect("a write");
    let event = server.poll_event(1_000);
    let Event::Request {
        id, since, heard, ..
    } = event
    else {
        panic!("{event:?}");
    };
    assert!(since >= 9, "it looks fresh: since {since}");
    assert_eq!(heard, None, "its client has not been heard of");
    drop(network);
    let event = server.poll_event(1_200);
    assert!(matches!(event, Event::Abandoned { id: left } if left == id));
}

/// Guards against a request that counts as possibly held back for long although its client has just got
/// the previous response, and against one that counts as fresh although that was long ago.
#[test]
fn client_has_been_heard_of_when_it_got_the_previous_response() {
    let mut server = Server::new();
    let mut stream = connect(server.addr);
    stream.write_all(REQUEST).expect("a write");
    let mut last = None;
    for stamp in [1_000, 2_000, 3_000] {
        let event = server.poll_event(stamp);
        let Event::Request { id, heard, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(heard, last);
        server.reactor.set_stamp(stamp + 500);
        assert!(server.reactor.respond(id, &Response::empty(200)));
        last = Some(stamp + 500);
        server.poll_at(stamp + 501);
        stream.write_all(REQUEST).expect("a write");
    }
}

/// Guards against a request that was sent ahead of the previous response and counts as heard of by then.
#[test]
fn request_that_was_sent_ahead_may_have_been_held_back() {
    let mut server = Server::new();
    let mut stream = connect(server.addr);
    stream.write_all(&REQUEST.repeat(2)).expect("a write");
    for stamp in [1_000, 2_000] {
        let event = server.poll_event(stamp);
        let Event::Request { id, heard, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(heard, None);
        assert!(server.reactor.respond(id, &Response::empty(200)));
    }
}

/// Guards against a request without a client that nobody stops: it was sent ahead, and is read and abandoned
/// in one poll.
#[test]
fn request_that_is_abandoned_in_the_same_poll_is_dropped() {
    let mut server = Server::new();
    let mut stream = connect(server.addr);
    stream.write_all(&REQUEST.repeat(2)).expect("a write");
    let event = server.poll_event(1_000);
    let Event::Request { id, .. } = event else {
        panic!("{event:?}");
    };
    drop(stream);
    thread::sleep(Duration::from_millis(50));
    assert!(server.reactor.respond(id, &Response::empty(200)));
    let mut events = Vec::new();
    for _ in 0..5 {
        let until = Instant::now() + Duration::from_millis(20);
        server.reactor.poll(until, &mut events).expect("a poll");
    }
    assert!(events.is_empty(), "{events:?}");
}

//! How long a request may have waited before it was read.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

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

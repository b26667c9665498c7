//! Calls to a server that is alive and accepts no connections.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fulmarpond_reactor::http::Method;
use fulmarpond_reactor::{Call, CallError, Event, Limits, Reactor};

/// The time in which a connection to a server with a full accept queue is not established, in milliseconds.
const CONNECT_MS: u64 = 200;

/// Calls an address with a deadline, and returns why the call failed.
fn call(addr: SocketAddr) -> Option<CallError> {
    let mut reactor = Reactor::new(Limits::default()).expect("reactor can be created");
    let deadline = Instant::now() + Duration::from_millis(CONNECT_MS);
    let call = Call {
        method: Method::Post,
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        deadline,
        last_deadline: deadline,
    };
    reactor.call(addr, 0, 1, &call);
    let mut events = Vec::new();
    let last = deadline + Duration::from_secs(10);
    while events.is_empty() && Instant::now() < last {
        let until = Instant::now() + Duration::from_millis(20);
        reactor.poll(until, &mut events).expect("poll succeeds");
    }
    events.into_iter().find_map(|event| match event {
        Event::Replied { outcome, .. } => outcome.err(),
        _ => None,
    })
}

/// Guards against an endpoint that is taken for ended, with all its runs, while it is only too busy to
/// accept connections: tasks that run there would be started elsewhere.
#[test]
fn full_accept_queue_is_no_refusal() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    rustix::net::listen(&listener, 1).expect("a short queue");
    let addr = listener.local_addr().expect("an address");
    let timeout = Duration::from_millis(CONNECT_MS);
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, timeout) {
        queued.push(stream);
        assert!(queued.len() < 100, "the queue has a limit");
    }
    assert_eq!(call(addr), Some(CallError::NotConnected));
    drop(listener);
    assert_eq!(call(addr), Some(CallError::Refused));
}

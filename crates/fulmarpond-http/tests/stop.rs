//! The end of a listener.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::{Caller, PATIENCE, start, wait_until};
use fulmarpond_http::{Options, Response};

/// Guards against a stop that interrupts a request, keeps connections or keeps the port.
#[test]
fn a_stop_finishes_requests_in_progress() {
    let (listener, later) = start(Options::default());
    let addr = listener.addr();
    let mut fresh = Caller::connect(addr);
    let mut idle = Caller::connect(addr);
    assert_eq!(idle.get("/a").status, 200);
    let mut busy = Caller::connect(addr);
    busy.ask("/later");
    let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
    let stop = thread::spawn(move || listener.stop(PATIENCE));
    assert!(idle.is_closed());
    assert!(fresh.is_closed());
    wait_until("the port is closed", || TcpStream::connect(addr).is_err());
    assert!(!stop.is_finished());
    responder.send(Response::text(200, "x".repeat(100_000)));
    assert_eq!(busy.reply().expect("an answer").body.len(), 100_000);
    assert!(busy.is_closed());
    assert!(stop.join().expect("no panic"), "all requests are finished");
}

/// Guards against a stop that never ends, or that reports unfinished requests as finished.
#[test]
fn a_stop_has_a_limit() {
    let (listener, later) = start(Options::default());
    let mut busy = Caller::connect(listener.addr());
    busy.ask("/later");
    let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
    assert!(!listener.stop(Duration::from_millis(100)));
    assert!(busy.reply().is_none());
    assert!(responder.is_gone());
    assert_eq!(listener.connections(), 0);
    assert!(listener.stop(PATIENCE), "a second stop finds nothing open");
}

/// Guards against a dropped listener that leaves its port or its connections open.
#[test]
fn a_dropped_listener_closes_everything() {
    let (listener, later) = start(Options::default());
    let addr = listener.addr();
    let mut idle = Caller::connect(addr);
    assert_eq!(idle.get("/a").status, 200);
    let mut busy = Caller::connect(addr);
    busy.ask("/later");
    let waiting = later.recv_timeout(PATIENCE).expect("a request");
    drop(listener);
    assert!(idle.is_closed());
    assert!(busy.reply().is_none());
    assert!(TcpStream::connect(addr).is_err());
    drop(waiting);
}

//! Stopping and dropping of a listener.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::{Client, TEST_TIMEOUT, start, wait_until};
use fulmarpond_http::{Options, Response};

/// Guards against a stop that aborts a request in progress, or that leaves connections or the port
/// open.
#[test]
fn stop_completes_requests_in_progress() {
    let (listener, deferred) = start(Options::default());
    let addr = listener.addr();
    let mut fresh = Client::connect(addr);
    let mut idle = Client::connect(addr);
    assert_eq!(idle.get("/a").status, 200);
    let mut busy = Client::connect(addr);
    busy.send_get("/later");
    let (_, responder) = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    let stop = thread::spawn(move || listener.stop(TEST_TIMEOUT));
    assert!(idle.is_closed());
    assert!(fresh.is_closed());
    wait_until("the port is closed", || TcpStream::connect(addr).is_err());
    assert!(!stop.is_finished());
    responder.send(Response::text(200, "x".repeat(100_000)));
    assert_eq!(
        busy.read_response().expect("response arrives").body.len(),
        100_000
    );
    assert!(busy.is_closed());
    assert!(
        stop.join().expect("thread did not panic"),
        "all requests are completed"
    );
}

/// Guards against a stop that exceeds its timeout, or that reports aborted requests as completed.
#[test]
fn stop_ends_at_its_timeout() {
    let (listener, deferred) = start(Options::default());
    let mut busy = Client::connect(listener.addr());
    busy.send_get("/later");
    let (_, responder) = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    assert!(!listener.stop(Duration::from_millis(100)));
    assert!(busy.read_response().is_none());
    assert!(responder.is_disconnected());
    assert_eq!(listener.connections(), 0);
    assert!(
        listener.stop(TEST_TIMEOUT),
        "a second stop finds no open connections"
    );
}

/// Guards against a dropped listener that leaves its port or its connections open.
#[test]
fn dropped_listener_closes_port_and_connections() {
    let (listener, deferred) = start(Options::default());
    let addr = listener.addr();
    let mut idle = Client::connect(addr);
    assert_eq!(idle.get("/a").status, 200);
    let mut busy = Client::connect(addr);
    busy.send_get("/later");
    let pending = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    drop(listener);
    assert!(idle.is_closed());
    assert!(busy.read_response().is_none());
    assert!(TcpStream::connect(addr).is_err());
    drop(pending);
}

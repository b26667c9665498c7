//! Concurrent, persistent, refused and closed connections.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use common::{Client, TEST_TIMEOUT, start, wait_until};
use fulmarpond_http::{Options, Response};

/// Guards against a connection that starves because another persistent connection occupies its
/// worker.
///
/// All connections stay open until every one has received a response, and each sends two requests.
#[test]
fn concurrent_connections_all_receive_responses() {
    for (count, rounds) in [(8, 50), (64, 10)] {
        for round in 0..rounds {
            let (listener, _deferred) = start(Options::default());
            let addr = listener.addr();
            let threads: Vec<_> = (0..count)
                .map(|_| {
                    std::thread::spawn(move || {
                        let mut client = Client::connect(addr);
                        assert_eq!(client.get("/first").status, 200);
                        client
                    })
                })
                .collect();
            let mut clients: Vec<Client> = threads
                .into_iter()
                .map(|thread| thread.join().expect("each connection receives a response"))
                .collect();
            assert_eq!(listener.connections(), count, "round {round}");
            for client in &mut clients {
                assert_eq!(client.get("/second").text(), "GET second q=None h=None ");
            }
        }
    }
}

/// Guards against pending requests that block worker threads and so delay other requests.
#[test]
fn pending_requests_occupy_no_thread() {
    let (listener, deferred) = start(Options::default().threads(1));
    let mut clients: Vec<Client> = (0..200).map(|_| Client::connect(listener.addr())).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_get(&format!("/later/{number}"));
    }
    let pending: Vec<_> = (0..clients.len())
        .map(|_| {
            deferred
                .recv_timeout(TEST_TIMEOUT)
                .expect("request arrives")
        })
        .collect();
    assert_eq!(Client::connect(listener.addr()).get("/now").status, 200);
    // The requests are answered in reverse order.
    for (request, responder) in pending.into_iter().rev() {
        responder.send(Response::text(200, request.segments()[1].clone()));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.read_response().expect("response arrives").text(),
            number.to_string()
        );
    }
}

/// Guards against large responses that are truncated, interleaved or lost on a persistent
/// connection.
#[test]
fn large_responses_arrive_complete_on_a_persistent_connection() {
    let (listener, _deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    for _ in 0..20 {
        let response = client.get("/large");
        assert_eq!((response.status, response.body.len()), (200, 20_000));
    }
    assert_eq!(listener.connections(), 1);
}

/// Guards against Nagle's algorithm on accepted connections: with it, a large response on a
/// persistent connection waits for a delayed acknowledgement.
#[cfg(target_os = "linux")]
#[test]
fn accepted_connections_set_tcp_nodelay() {
    use rustix::net::sockopt::tcp_nodelay;
    use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

    let (listener, _deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    assert_eq!(client.get("/first").status, 200);
    // The accepted socket belongs to the listener's runtime in this process.
    let process =
        pidfd_open(getpid(), PidfdFlags::empty()).expect("process descriptor can be opened");
    let duplicate = |fd: i32| {
        let copy = pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).ok()?;
        Some(TcpStream::from(copy))
    };
    let is_accepted = |stream: &TcpStream| {
        let peer = stream.peer_addr();
        peer.is_ok_and(|peer| peer == client.local_addr())
    };
    // Each duplicate is closed at once: an open one could get a descriptor number that the listing
    // has not reached yet.
    let accepted: Vec<i32> = std::fs::read_dir("/proc/self/fd")
        .expect("descriptors can be listed")
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .filter(|&fd| duplicate(fd).is_some_and(|stream| is_accepted(&stream)))
        .collect();
    assert_eq!(accepted.len(), 1, "exactly one accepted socket is found");
    let stream = duplicate(accepted[0]).expect("accepted socket is open");
    assert!(tcp_nodelay(&stream).expect("option can be read"));
}

/// Guards against exceeding the connection limit, and against refusing connections after others
/// have closed.
#[test]
fn connection_limit_is_enforced() {
    let (listener, _deferred) = start(Options::default().max_connections(2));
    let mut first = Client::connect(listener.addr());
    let mut second = Client::connect(listener.addr());
    assert_eq!(first.get("/a").status, 200);
    assert_eq!(second.get("/a").status, 200);
    assert!(Client::connect(listener.addr()).is_closed());
    assert_eq!(first.get("/a").status, 200);
    drop(second);
    wait_until("a connection is closed", || listener.connections() == 1);
    assert_eq!(Client::connect(listener.addr()).get("/a").status, 200);
}

/// Guards against connections that stay open although they never send a complete request head.
#[test]
fn incomplete_head_closes_the_connection() {
    let options = Options::default().header_timeout(Duration::from_millis(100));
    let (listener, _deferred) = start(options);
    for sent in ["", "GET / HTTP/1.1\r\nHost: te"] {
        let mut client = Client::connect(listener.addr());
        client.write(sent.as_bytes());
        // The listener may send a response about the timeout before it closes the connection.
        drop(client.read_response());
        assert!(client.is_closed(), "after {sent:?}");
    }
}

/// Guards against applying the timeout for request heads to a client that waits for a response.
#[test]
fn header_timeout_does_not_apply_to_pending_requests() {
    let options = Options::default().header_timeout(Duration::from_millis(50));
    let (listener, deferred) = start(options);
    let mut client = Client::connect(listener.addr());
    client.send_get("/later");
    let (_, responder) = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    std::thread::sleep(Duration::from_millis(300));
    responder.send(Response::text(200, "late"));
    assert_eq!(
        client.read_response().expect("response arrives").text(),
        "late"
    );
}

/// Guards against a responder that does not detect that its client has disconnected.
#[test]
fn responder_detects_a_disconnected_client() {
    let (listener, deferred) = start(Options::default());
    let mut client = Client::connect(listener.addr());
    client.send_get("/later");
    let (_, responder) = deferred
        .recv_timeout(TEST_TIMEOUT)
        .expect("request arrives");
    assert!(!responder.is_disconnected());
    drop(client);
    wait_until("the client is disconnected", || responder.is_disconnected());
    responder.send(Response::text(200, "to nobody"));
}

//! Tests of the connection faults of the relay.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use fulmarpond_standins::{Direction, Relay, SessionId};

/// Time without a reply after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time limit of a read that is expected to end.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that echoes all data it receives.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    addr
}

#[derive(Debug, PartialEq)]
enum ProbeResult {
    Echo,
    Silent,
    Closed,
    Refused,
}

fn probe_connection(mut stream: &TcpStream, timeout: Duration) -> ProbeResult {
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    if stream.write_all(b"ping").is_err() {
        return ProbeResult::Closed;
    }
    let mut reply = [0; 4];
    match stream.read_exact(&mut reply) {
        Ok(()) => ProbeResult::Echo,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            ProbeResult::Silent
        }
        Err(_) => ProbeResult::Closed,
    }
}

fn probe_new_connection(addr: SocketAddr) -> ProbeResult {
    match TcpStream::connect(addr) {
        Ok(stream) => probe_connection(&stream, READ_TIMEOUT),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Err(error) => panic!("unexpected error: {error}"),
    }
}

fn only_session(relay: &Relay) -> SessionId {
    relay.sessions()[0]
}

/// Guards against faults that affect the wrong connections.
///
/// Each fault is injected with one connection open, and a second connection is opened afterwards.
/// A fault that also affects the other kind of connection would make tests of the dispatcher
/// examine a different failure than they name.
#[test]
fn faults_affect_only_intended_connections() {
    struct Case {
        name: &'static str,
        fault: fn(&Relay),
        open: ProbeResult,
        new: ProbeResult,
    }
    let cases = [
        Case {
            name: "none",
            fault: |_| {},
            open: ProbeResult::Echo,
            new: ProbeResult::Echo,
        },
        Case {
            name: "silence",
            fault: Relay::silence,
            open: ProbeResult::Silent,
            new: ProbeResult::Echo,
        },
        Case {
            name: "cut",
            fault: Relay::cut,
            open: ProbeResult::Closed,
            new: ProbeResult::Echo,
        },
        Case {
            name: "cut after silence",
            fault: |relay| {
                relay.silence();
                relay.cut();
            },
            open: ProbeResult::Closed,
            new: ProbeResult::Echo,
        },
        Case {
            name: "hold one way",
            fault: |relay| relay.set_held(only_session(relay), Direction::ToClient, true),
            open: ProbeResult::Silent,
            new: ProbeResult::Echo,
        },
        Case {
            name: "hold and release",
            fault: |relay| {
                relay.set_held(only_session(relay), Direction::ToTarget, true);
                relay.set_held(only_session(relay), Direction::ToTarget, false);
            },
            open: ProbeResult::Echo,
            new: ProbeResult::Echo,
        },
        Case {
            name: "close at the target only",
            fault: |relay| relay.close_one_side(only_session(relay), Direction::ToTarget),
            open: ProbeResult::Silent,
            new: ProbeResult::Echo,
        },
        Case {
            name: "close at the client only",
            fault: |relay| relay.close_one_side(only_session(relay), Direction::ToClient),
            open: ProbeResult::Closed,
            new: ProbeResult::Echo,
        },
        Case {
            name: "close",
            fault: |relay| {
                let session = only_session(relay);
                relay.set_held(session, Direction::ToTarget, true);
                relay.close(session);
            },
            open: ProbeResult::Closed,
            new: ProbeResult::Echo,
        },
        Case {
            name: "stop while held",
            fault: |relay| {
                relay.set_held(only_session(relay), Direction::ToTarget, true);
                relay.stop();
            },
            open: ProbeResult::Closed,
            new: ProbeResult::Refused,
        },
        Case {
            name: "refuse",
            fault: Relay::refuse,
            open: ProbeResult::Echo,
            new: ProbeResult::Refused,
        },
        Case {
            name: "refuse and allow",
            fault: |relay| {
                relay.refuse();
                relay.allow().expect("the port is free");
            },
            open: ProbeResult::Echo,
            new: ProbeResult::Echo,
        },
        Case {
            name: "stop",
            fault: Relay::stop,
            open: ProbeResult::Closed,
            new: ProbeResult::Refused,
        },
        Case {
            name: "stop after silence",
            fault: |relay| {
                relay.silence();
                relay.stop();
            },
            open: ProbeResult::Closed,
            new: ProbeResult::Refused,
        },
    ];
    let target = start_echo_server();
    for case in cases {
        let relay = Relay::start(target).expect("a free port");
        let open = TcpStream::connect(relay.addr()).expect("a connection");
        assert_eq!(
            probe_connection(&open, READ_TIMEOUT),
            ProbeResult::Echo,
            "{}",
            case.name
        );
        (case.fault)(&relay);
        let timeout = if case.open == ProbeResult::Silent {
            SILENCE_TIMEOUT
        } else {
            READ_TIMEOUT
        };
        assert_eq!(
            probe_connection(&open, timeout),
            case.open,
            "{}: open",
            case.name
        );
        assert_eq!(
            probe_new_connection(relay.addr()),
            case.new,
            "{}: new",
            case.name
        );
    }
}

/// Guards against a half-closed connection that loses the rest of the reply.
///
/// The client closes its sending direction while the reply is in flight. If the relay then closes
/// both directions, the client receives a truncated reply.
#[test]
fn half_close_is_forwarded() {
    let relay = Relay::start(start_echo_server()).expect("a free port");
    let mut stream = TcpStream::connect(relay.addr()).expect("a connection");
    let sent = vec![7; 1 << 20];
    let writer = stream.try_clone().expect("a second handle");
    let data = sent.clone();
    let send = thread::spawn(move || {
        (&writer).write_all(&data).expect("written");
        writer
            .shutdown(std::net::Shutdown::Write)
            .expect("shut down");
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the whole reply");
    send.join().expect("no panic");
    assert!(
        received == sent,
        "received {} of {} bytes",
        received.len(),
        sent.len()
    );
}

/// Guards against a relay that keeps a connection open although its target is unreachable.
///
/// The relay accepts the client before it connects to the target. If it ignores the failed
/// connection, the client waits until its own timeout.
#[test]
fn unreachable_target_closes_the_connection() {
    let target = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    let relay = Relay::start(target).expect("a free port");
    assert_eq!(probe_new_connection(relay.addr()), ProbeResult::Closed);
}

/// Guards against a cut that new connections get around, or that befalls other clients.
#[test]
fn held_clients_are_known_by_their_first_data() {
    let relay = Relay::start(start_echo_server()).expect("a relay");
    let open = TcpStream::connect(relay.addr()).expect("a connection");
    assert_eq!(probe_connection(&open, READ_TIMEOUT), ProbeResult::Echo);
    relay.hold_clients(vec![b"other".to_vec()]);
    assert_eq!(probe_connection(&open, READ_TIMEOUT), ProbeResult::Echo);
    relay.hold_clients(vec![b"other".to_vec(), b"ing".to_vec()]);
    let new = TcpStream::connect(relay.addr()).expect("a connection");
    for held in [&open, &new] {
        assert_eq!(probe_connection(held, SILENCE_TIMEOUT), ProbeResult::Silent);
    }
    relay.hold_clients(Vec::new());
    assert_eq!(probe_connection(&new, READ_TIMEOUT), ProbeResult::Echo);
}

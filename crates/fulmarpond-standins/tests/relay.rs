//! Connection faults of the relay.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use fulmarpond_standins::Relay;

/// Time after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(100);

/// Time limit of a read that must succeed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a server that sends back what it receives.
fn echo() -> SocketAddr {
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
enum Seen {
    Echo,
    Silent,
    Closed,
    Refused,
}

fn probe(mut stream: &TcpStream, patience: Duration) -> Seen {
    stream.set_read_timeout(Some(patience)).expect("a timeout");
    if stream.write_all(b"ping").is_err() {
        return Seen::Closed;
    }
    let mut reply = [0; 4];
    match stream.read_exact(&mut reply) {
        Ok(()) => Seen::Echo,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Seen::Silent
        }
        Err(_) => Seen::Closed,
    }
}

fn probe_new(addr: SocketAddr) -> Seen {
    match TcpStream::connect(addr) {
        Ok(stream) => probe(&stream, PATIENCE),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Seen::Refused,
        Err(error) => panic!("unexpected error: {error}"),
    }
}

/// Guards against faults that hit the wrong connections.
#[test]
fn faults_hit_open_and_new_connections() {
    struct Case {
        name: &'static str,
        fault: fn(&Relay),
        open: Seen,
        new: Seen,
    }
    let cases = [
        Case {
            name: "none",
            fault: |_| {},
            open: Seen::Echo,
            new: Seen::Echo,
        },
        Case {
            name: "silence",
            fault: Relay::silence,
            open: Seen::Silent,
            new: Seen::Echo,
        },
        Case {
            name: "cut",
            fault: Relay::cut,
            open: Seen::Closed,
            new: Seen::Echo,
        },
        Case {
            name: "cut after silence",
            fault: |relay| {
                relay.silence();
                relay.cut();
            },
            open: Seen::Closed,
            new: Seen::Echo,
        },
        Case {
            name: "refuse",
            fault: Relay::refuse,
            open: Seen::Echo,
            new: Seen::Refused,
        },
        Case {
            name: "refuse and allow",
            fault: |relay| {
                relay.refuse();
                relay.allow().expect("the port is free");
            },
            open: Seen::Echo,
            new: Seen::Echo,
        },
        Case {
            name: "stop",
            fault: Relay::stop,
            open: Seen::Closed,
            new: Seen::Refused,
        },
        Case {
            name: "stop after silence",
            fault: |relay| {
                relay.silence();
                relay.stop();
            },
            open: Seen::Closed,
            new: Seen::Refused,
        },
    ];
    let target = echo();
    for case in cases {
        let relay = Relay::start(target).expect("a free port");
        let open = TcpStream::connect(relay.addr()).expect("a connection");
        assert_eq!(probe(&open, PATIENCE), Seen::Echo, "{}", case.name);
        (case.fault)(&relay);
        let patience = if case.open == Seen::Silent {
            SILENCE
        } else {
            PATIENCE
        };
        assert_eq!(probe(&open, patience), case.open, "{}: open", case.name);
        assert_eq!(probe_new(relay.addr()), case.new, "{}: new", case.name);
    }
}

/// Guards against a half-closed connection that loses the rest of the reply.
#[test]
fn the_end_of_one_direction_is_forwarded() {
    let relay = Relay::start(echo()).expect("a free port");
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

/// Guards against a relay that accepts a connection for a dead target and leaves it open.
#[test]
fn a_dead_target_closes_the_connection() {
    let target = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    let relay = Relay::start(target).expect("a free port");
    assert_eq!(probe_new(relay.addr()), Seen::Closed);
}

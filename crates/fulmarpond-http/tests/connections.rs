//! Connections that are opened together, kept, refused and closed.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use common::{Caller, PATIENCE, start, wait_until};
use fulmarpond_http::{Options, Response};

/// Guards against connections that wait for a worker that another kept connection holds.
///
/// Every connection stays open until all are answered, and each is answered more than once.
#[test]
fn connections_opened_at_once_are_all_answered() {
    for (count, rounds) in [(8, 50), (64, 10)] {
        for round in 0..rounds {
            let (listener, _later) = start(Options::default());
            let addr = listener.addr();
            let opening: Vec<_> = (0..count)
                .map(|_| {
                    std::thread::spawn(move || {
                        let mut caller = Caller::connect(addr);
                        assert_eq!(caller.get("/first").status, 200);
                        caller
                    })
                })
                .collect();
            let mut callers: Vec<Caller> = opening
                .into_iter()
                .map(|thread| thread.join().expect("an answer on each connection"))
                .collect();
            assert_eq!(listener.connections(), count, "round {round}");
            for caller in &mut callers {
                assert_eq!(caller.get("/second").text(), "GET second q=None h=None ");
            }
        }
    }
}

/// Guards against waiting callers that keep others from being answered.
#[test]
fn waiting_callers_hold_no_thread() {
    let (listener, later) = start(Options::default().threads(1));
    let mut callers: Vec<Caller> = (0..200).map(|_| Caller::connect(listener.addr())).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.ask(&format!("/later/{number}"));
    }
    let waiting: Vec<_> = (0..callers.len())
        .map(|_| later.recv_timeout(PATIENCE).expect("a request"))
        .collect();
    assert_eq!(Caller::connect(listener.addr()).get("/now").status, 200);
    // The last one is answered first.
    for (request, responder) in waiting.into_iter().rev() {
        responder.send(Response::text(200, request.segments()[1].clone()));
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        assert_eq!(
            caller.reply().expect("an answer").text(),
            number.to_string()
        );
    }
}

/// Guards against large answers that are cut, mixed up or lost on a kept connection.
#[test]
fn large_answers_come_back_on_a_kept_connection() {
    let (listener, _later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    for _ in 0..20 {
        let reply = caller.get("/large");
        assert_eq!((reply.status, reply.body.len()), (200, 20_000));
    }
    assert_eq!(listener.connections(), 1);
}

/// Guards against Nagle's algorithm on an accepted connection: with it, a large answer on a kept
/// connection waits for a delayed acknowledgement.
#[cfg(target_os = "linux")]
#[test]
fn accepted_connections_have_no_delay() {
    use rustix::net::sockopt::tcp_nodelay;
    use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

    let (listener, _later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    assert_eq!(caller.get("/first").status, 200);
    // The accepted socket belongs to the listener's runtime in this process.
    let process = pidfd_open(getpid(), PidfdFlags::empty()).expect("a process handle");
    let open = |fd: i32| {
        let copy = pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).ok()?;
        Some(TcpStream::from(copy))
    };
    let is_accepted = |stream: &TcpStream| {
        let peer = stream.peer_addr();
        peer.is_ok_and(|peer| peer == caller.local())
    };
    // A copy that stays open may get a number that is still to come in the list.
    let accepted: Vec<i32> = std::fs::read_dir("/proc/self/fd")
        .expect("a list of descriptors")
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .filter(|&fd| open(fd).is_some_and(|stream| is_accepted(&stream)))
        .collect();
    assert_eq!(accepted.len(), 1, "the accepted socket is found");
    let stream = open(accepted[0]).expect("the accepted socket is open");
    assert!(tcp_nodelay(&stream).expect("the option can be read"));
}

/// Guards against a bound on connections that is not kept, or that never admits again.
#[test]
fn connections_are_bounded() {
    let (listener, _later) = start(Options::default().max_connections(2));
    let mut first = Caller::connect(listener.addr());
    let mut second = Caller::connect(listener.addr());
    assert_eq!(first.get("/a").status, 200);
    assert_eq!(second.get("/a").status, 200);
    assert!(Caller::connect(listener.addr()).is_closed());
    assert_eq!(first.get("/a").status, 200);
    drop(second);
    wait_until("a connection is free", || listener.connections() == 1);
    assert_eq!(Caller::connect(listener.addr()).get("/a").status, 200);
}

/// Guards against connections that never send a whole head and are kept forever.
#[test]
fn an_incomplete_head_closes_the_connection() {
    let options = Options::default().header_timeout(Duration::from_millis(100));
    let (listener, _later) = start(options);
    for sent in ["", "GET / HTTP/1.1\r\nHost: te"] {
        let mut caller = Caller::connect(listener.addr());
        caller.write(sent.as_bytes());
        // A status line for the timeout is allowed before the end.
        drop(caller.reply());
        assert!(caller.is_closed(), "after {sent:?}");
    }
}

/// Guards against a timeout of the head that hits a caller who waits for an answer.
#[test]
fn waiting_for_an_answer_is_no_timeout() {
    let options = Options::default().header_timeout(Duration::from_millis(50));
    let (listener, later) = start(options);
    let mut caller = Caller::connect(listener.addr());
    caller.ask("/later");
    let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
    std::thread::sleep(Duration::from_millis(300));
    responder.send(Response::text(200, "late"));
    assert_eq!(caller.reply().expect("an answer").text(), "late");
}

/// Guards against a responder that does not learn that its caller has gone.
#[test]
fn a_gone_caller_is_noticed() {
    let (listener, later) = start(Options::default());
    let mut caller = Caller::connect(listener.addr());
    caller.ask("/later");
    let (_, responder) = later.recv_timeout(PATIENCE).expect("a request");
    assert!(!responder.is_gone());
    drop(caller);
    wait_until("the caller is gone", || responder.is_gone());
    responder.send(Response::text(200, "to nobody"));
}

//! Tests of calls over a working connection.

mod common;

use std::sync::mpsc::channel;
use std::time::Duration;

use common::{
    Relay, any_port, call, client, echo_server, report_for, run_request, runtime, start_call,
};
use fulmarpond_core::link::{Envelope, LinkError, Request, Response};
use fulmarpond_link::{ClientOptions, ServeOptions};
use serde_json::json;

/// Guards against a request or response whose content is changed by encoding and decoding. The
/// payload has non-ASCII characters, escapes, nested values and a fraction.
#[test]
fn response_belongs_to_its_request() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let request = run_request(
        1,
        json!({"clue": "鯖", "guess": [1, null, 2.5, "\u{0}\"\\"]}),
    );

    let outcome = call(&client, server.addr(), request.clone());

    assert_eq!(outcome, Ok(report_for(request)));
    assert_eq!(runtime.stats().calls(), 1);
    assert_eq!(runtime.stats().responses(), 1);
    assert_eq!(runtime.stats().requests(), 1);
}

/// Guards against a call being reported as lost although no connection was opened. No process
/// listens on the port.
#[test]
fn refused_connection_is_not_sent() {
    let runtime = runtime();
    let unused_port = std::net::TcpListener::bind(any_port()).expect("a free port");
    let addr = unused_port.local_addr().expect("a bound port");
    drop(unused_port);
    let client = client(&runtime);

    let outcome = call(&client, addr, run_request(1, json!(null)));

    assert_eq!(outcome, Err(LinkError::NotSent));
    assert_eq!(runtime.stats().not_sent(), 1);
}

/// Guards against responses that are delivered to the wrong caller, and against opening one
/// connection per call. 2,000 calls to the same server are started without waiting.
#[test]
fn concurrent_calls_share_a_connection() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let client = client(&runtime);

    let outcomes: Vec<_> = (0..2000)
        .map(|number| {
            let request = run_request(number, json!(number));
            (request.clone(), start_call(&client, server.addr(), request))
        })
        .collect();

    for (request, outcome) in outcomes {
        assert_eq!(outcome.recv(), Ok(Ok(report_for(request))));
    }
    assert_eq!(runtime.stats().opened(), 1);
}

/// Guards against size limits of the transport that are lower than `max_body_bytes`, in either
/// direction. Request and response are 8 MiB.
#[test]
fn large_bodies_are_transferred() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let request = run_request(1, json!("x".repeat(8 << 20)));

    let outcome = call(&client, server.addr(), request.clone());

    assert!(outcome == Ok(report_for(request)));
}

/// Guards against an oversized request that closes the connection and thereby loses the other
/// calls on it. The request is larger than the client's `max_body_bytes`.
#[test]
fn oversized_request_is_rejected_and_connection_stays_open() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let client = runtime.client(ClientOptions {
        max_body_bytes: 1024,
        ..ClientOptions::default()
    });
    let small = run_request(1, json!(1));

    assert_eq!(
        call(&client, server.addr(), small.clone()),
        Ok(report_for(small.clone()))
    );
    let oversized = run_request(2, json!("x".repeat(2048)));
    assert_eq!(
        call(&client, server.addr(), oversized),
        Err(LinkError::Rejected)
    );
    assert_eq!(
        call(&client, server.addr(), small.clone()),
        Ok(report_for(small))
    );
    assert_eq!(runtime.stats().opened(), 1);
}

/// Guards against a call being reported as rejected although its handler ran. The response is
/// larger than the limit and is never delivered.
#[test]
fn oversized_response_is_lost() {
    let runtime = runtime();
    let server = runtime
        .serve(any_port(), ServeOptions::default(), |_, responder| {
            responder.send(report_for(run_request(1, json!("x".repeat(20 << 20)))));
        })
        .expect("the server listens");
    let client = client(&runtime);

    let outcome = call(&client, server.addr(), run_request(1, json!(null)));

    assert!(outcome == Err(LinkError::Lost));
}

/// Guards against a method that is not registered, or whose params are decoded as another request.
/// Sends every request type, with and without the agent that it addresses.
#[test]
fn every_request_type_is_delivered_unchanged() {
    let runtime = runtime();
    let (sender, delivered) = channel();
    let server = runtime
        .serve(
            any_port(),
            ServeOptions::default(),
            move |envelope, responder| {
                sender.send(envelope).expect("the test holds the receiver");
                responder.send(Response::Done);
            },
        )
        .expect("the server listens");
    let client = client(&runtime);
    let job = json!({"team": "hunt-desk", "name": "round-1"});
    let load = json!({"slots": 8, "free": 3, "queued": 0});
    let limits = json!({"memory_mb": 1024, "processors": 8, "accelerators": 1});
    let cases = [
        (
            "announce",
            json!({
                "agent": "saga-1~7", "addr": "127.0.0.1:9", "zone": "saga", "load": load,
                "leaving": false, "limits": limits, "roster": 4, "config": 2,
                "usage": {"teams": {"hunt-desk": {"entry-1": 5}}},
            }),
        ),
        ("leave", json!({"agent": "saga-1~7", "heir": null})),
        (
            "submit",
            json!({
                "submission": {
                    "job": job, "attempt": "first", "remaining_ms": 10,
                    "tasks": [{"kind": "hint-draw", "payload": [1, 2]}],
                },
                "entry": "entry-1", "roster": 4, "skipped": true, "wait": true,
            }),
        ),
        ("fetch", json!({"job": job, "wait_ms": 10})),
        ("status", json!({"job": job})),
        ("events", json!({"job": job, "from": 3, "wait_ms": 10})),
        ("cancel", json!({"job": job})),
        (
            "run",
            json!({
                "home": "saga-1~7", "batch": 9, "job": job, "remaining_ms": 10,
                "tasks": [[0, {"kind": "unlock-ping", "payload": null}]],
            }),
        ),
        (
            "reserve",
            json!({"home": "saga-1~7", "want": 2, "wait_ms": 10}),
        ),
        ("withdraw", json!({"home": "saga-1~7", "batches": [9, 10]})),
        (
            "ask",
            json!({"home": "saga-1~7", "batch": 9, "repeat": true}),
        ),
        (
            "seal",
            json!({"job": job, "holder": "saga-1~7", "keep_ms": 10}),
        ),
        (
            "handover",
            json!({
                "from": "saga-1~7",
                "memory": [{"digest": "0f", "memory": "accepted", "keep_ms": 10}],
                "answers": [],
            }),
        ),
    ];
    assert_eq!(cases.each_ref().map(|case| case.0), Request::METHODS);

    for (method, params) in cases {
        for to in [None, Some("kurume-2~1")] {
            let envelope: Envelope =
                serde_json::from_value(json!({"to": to, "method": method, "params": params}))
                    .unwrap_or_else(|error| panic!("{method}: {error}"));
            let outcome = call(&client, server.addr(), envelope.clone());
            assert_eq!(outcome, Ok(Response::Done), "{method}");
            assert_eq!(delivered.recv(), Ok(envelope), "{method}");
        }
    }
}

/// Guards against connections that stay open to addresses that are no longer called, and against a
/// call that fails because its connection was closed as idle. Each further
/// call starts after the previous connection was closed.
#[test]
fn idle_connection_is_closed_and_reopened() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let relay = Relay::start(server.addr());
    let client = runtime.client(ClientOptions {
        idle_timeout: Duration::from_millis(20),
        ..ClientOptions::default()
    });

    for opened in 1..=3 {
        let request = run_request(opened, json!(opened));
        let outcome = call(&client, relay.addr(), request.clone());
        assert_eq!(outcome, Ok(report_for(request)));
        relay.wait_closed();
        assert_eq!(runtime.stats().opened(), opened);
    }
}

/// Guards against a connection that is closed as idle while a call is in flight. The response
/// takes several times the idle timeout.
#[test]
fn call_in_flight_keeps_its_connection_open() {
    let runtime = runtime();
    let (sender, held_requests) = channel();
    let server = runtime
        .serve(
            any_port(),
            ServeOptions::default(),
            move |envelope, responder| {
                sender
                    .send((envelope, responder))
                    .expect("the test holds the receiver");
            },
        )
        .expect("the server listens");
    let client = runtime.client(ClientOptions {
        idle_timeout: Duration::from_millis(20),
        ..ClientOptions::default()
    });

    let request = run_request(1, json!(1));
    let outcome = start_call(&client, server.addr(), request.clone());
    let (envelope, responder) = held_requests.recv().expect("the request arrives");
    // Several times the idle timeout.
    std::thread::sleep(Duration::from_millis(200));
    responder.send(report_for(envelope));

    assert_eq!(outcome.recv(), Ok(Ok(report_for(request))));
}

//! Tests of calls over connections that fail.

mod common;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use common::{
    CALL_TIMEOUT, Relay, any_port, call, client, echo_server, report_for, run_request, runtime,
    start_call, start_call_within,
};
use fulmarpond_core::link::{Envelope, LinkError, Request};
use fulmarpond_link::{ClientOptions, LinkRuntime, LinkServer, Responder, Secret, ServeOptions};
use serde_json::json;

/// A timeout that never expires during a test. If the failure under test is not detected, the test
/// hangs instead of passing because the call timed out.
const NEVER_EXPIRES: Duration = Duration::from_secs(24 * 3600);

const PING_INTERVAL: Duration = Duration::from_millis(50);
const INACTIVE_LIMIT: Duration = Duration::from_secs(2);

fn secret(text: &str) -> Option<Secret> {
    Some(text.parse().expect("a valid secret"))
}

/// Starts a server that passes requests with the payload "hold" to the test, and returns the
/// payload of all others as the result.
fn holding_server(
    runtime: &LinkRuntime,
    options: ServeOptions,
) -> (LinkServer, std::sync::mpsc::Receiver<(Envelope, Responder)>) {
    let (sender, held_requests) = channel();
    let server = runtime
        .serve(any_port(), options, move |envelope, responder| {
            let Request::Run(batch) = &envelope.request else {
                panic!("expected a request to run a batch");
            };
            if batch.tasks[0].1.payload == "hold" {
                // The receiver was dropped if the test has ended.
                let _ = sender.send((envelope, responder));
            } else {
                responder.send(report_for(envelope));
            }
        })
        .expect("the server listens");
    (server, held_requests)
}

/// Guards against access with a missing or wrong secret, and against reporting a call as lost when
/// the server refused its connection.
#[test]
fn connection_without_matching_secret_is_refused() {
    struct Case {
        server: Option<Secret>,
        client: Option<Secret>,
        is_accepted: bool,
    }
    let cases = [
        Case {
            server: secret("alpha"),
            client: secret("alpha"),
            is_accepted: true,
        },
        Case {
            server: secret("alpha"),
            client: secret("alphb"),
            is_accepted: false,
        },
        Case {
            server: secret("alpha"),
            client: secret("alph"),
            is_accepted: false,
        },
        Case {
            server: secret("alpha"),
            client: None,
            is_accepted: false,
        },
        Case {
            server: None,
            client: secret("alpha"),
            is_accepted: true,
        },
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let runtime = runtime();
        let server = echo_server(
            &runtime,
            ServeOptions {
                secret: case.server,
                ..ServeOptions::default()
            },
        );
        let client = runtime.client(ClientOptions {
            secret: case.client,
            ..ClientOptions::default()
        });
        let request = run_request(1, json!(1));

        let outcome = call(&client, server.addr(), request.clone());

        if case.is_accepted {
            assert_eq!(outcome, Ok(report_for(request)), "case {index}");
        } else {
            assert_eq!(outcome, Err(LinkError::NotSent), "case {index}");
            assert_eq!(runtime.stats().unauthorized(), 1, "case {index}");
            assert_eq!(runtime.stats().requests(), 0, "case {index}");
        }
    }
}

/// Guards against a request that may have taken effect being reported as not sent, and against a
/// client that keeps using the connection to a terminated server. The server terminates with 50
/// calls in flight and is started again on the same address.
#[test]
fn calls_to_a_terminated_server_are_lost() {
    let client_runtime = runtime();
    let client = client(&client_runtime);
    let server_runtime = runtime();
    let (server, held_requests) = holding_server(&server_runtime, ServeOptions::default());
    let addr = server.addr();
    let outcomes: Vec<_> = (0..50)
        .map(|number| {
            start_call_within(
                &client,
                addr,
                run_request(number, json!("hold")),
                NEVER_EXPIRES,
            )
        })
        .collect();
    let requests: Vec<_> = held_requests.iter().take(outcomes.len()).collect();

    drop(server_runtime);

    for outcome in outcomes {
        assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    }
    assert_eq!(client_runtime.stats().lost(), 50);
    assert_eq!(
        call(&client, addr, run_request(1, json!(1))),
        Err(LinkError::NotSent)
    );
    drop((requests, server));

    let server_runtime = runtime();
    let _server = server_runtime
        .serve(addr, ServeOptions::default(), |envelope, responder| {
            responder.send(report_for(envelope));
        })
        .expect("the address can be used again");
    let request = run_request(2, json!(2));
    assert_eq!(
        call(&client, addr, request.clone()),
        Ok(report_for(request))
    );
}

/// Guards against calls that never end on a connection that no longer transfers data, and against
/// new calls that use this connection. A relay stops forwarding without closing the connection.
#[test]
fn inactive_connection_is_replaced() {
    let runtime = runtime();
    let (server, held_requests) = holding_server(&runtime, ServeOptions::default());
    let relay = Relay::start(server.addr());
    let client = runtime.client(ClientOptions {
        ping_interval: PING_INTERVAL,
        inactive_limit: INACTIVE_LIMIT,
        ..ClientOptions::default()
    });
    let outcome = start_call_within(
        &client,
        relay.addr(),
        run_request(1, json!("hold")),
        NEVER_EXPIRES,
    );
    let request = held_requests.recv().expect("the request arrives");

    relay.freeze();

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    let request_2 = run_request(2, json!(2));
    assert_eq!(
        call(&client, relay.addr(), request_2.clone()),
        Ok(report_for(request_2))
    );
    assert_eq!(runtime.stats().opened(), 2);
    drop(request);
}

/// Guards against calls that never end because a write to an inactive connection blocks. A relay
/// stops reading, and the requests are larger than the socket buffers.
#[test]
fn blocked_write_ends_when_connection_is_inactive() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let relay = Relay::start(server.addr());
    let client = runtime.client(ClientOptions {
        ping_interval: PING_INTERVAL,
        inactive_limit: INACTIVE_LIMIT,
        ..ClientOptions::default()
    });
    let request = run_request(1, json!(1));
    assert_eq!(
        call(&client, relay.addr(), request.clone()),
        Ok(report_for(request.clone()))
    );

    relay.freeze();
    // Together larger than the socket buffers.
    let body = json!("x".repeat(8 << 20));
    let outcomes: Vec<_> = (0..4)
        .map(|number| {
            start_call_within(
                &client,
                relay.addr(),
                run_request(number, body.clone()),
                NEVER_EXPIRES,
            )
        })
        .collect();

    for outcome in outcomes {
        assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    }
    assert_eq!(
        call(&client, relay.addr(), request.clone()),
        Ok(report_for(request))
    );
}

/// Guards against a server that keeps an inactive connection open and counts it towards
/// `max_connections`. The only permitted connection stops transferring data, and a second client
/// connects.
#[test]
fn server_closes_an_inactive_connection() {
    let runtime = runtime();
    let server = echo_server(
        &runtime,
        ServeOptions {
            max_connections: 1,
            ping_interval: PING_INTERVAL,
            inactive_limit: INACTIVE_LIMIT,
            ..ServeOptions::default()
        },
    );
    let relay = Relay::start(server.addr());
    let request = run_request(1, json!(1));
    let options = ClientOptions {
        ping_interval: PING_INTERVAL,
        ..ClientOptions::default()
    };
    let first = runtime.client(options.clone());
    assert_eq!(
        call(&first, relay.addr(), request.clone()),
        Ok(report_for(request.clone()))
    );
    let second = runtime.client(options);
    assert_eq!(
        call(&second, server.addr(), request.clone()),
        Err(LinkError::NotSent)
    );

    relay.freeze();

    // Loops forever if the server keeps the inactive connection.
    while call(&second, server.addr(), request.clone()) != Ok(report_for(request.clone())) {
        thread::sleep(PING_INTERVAL);
    }
}

/// Guards against a call that never ends because its responder was dropped without a response, and
/// against the loss of the other calls on the same connection.
#[test]
fn dropped_responder_loses_only_its_call() {
    let runtime = runtime();
    let (server, held_requests) = holding_server(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let dropped = start_call_within(
        &client,
        server.addr(),
        run_request(1, json!("hold")),
        NEVER_EXPIRES,
    );
    let (_, dropped_responder) = held_requests.recv().expect("the request arrives");
    let answered = start_call(&client, server.addr(), run_request(2, json!("hold")));
    let (envelope, responder) = held_requests.recv().expect("the request arrives");

    drop(dropped_responder);
    assert_eq!(dropped.recv(), Ok(Err(LinkError::Lost)));
    responder.send(report_for(envelope.clone()));

    assert_eq!(answered.recv(), Ok(Ok(report_for(envelope))));
    assert_eq!(runtime.stats().unanswered(), 1);
    assert_eq!(runtime.stats().opened(), 1);
}

/// Guards against a call being reported as not sent or rejected when it timed out after sending,
/// and against a late response that is delivered to another call.
#[test]
fn timed_out_call_is_lost() {
    let runtime = runtime();
    let (server, held_requests) = holding_server(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let timeout = Duration::from_secs(1);
    // Opens the connection, so that the timeout below does not cover it.
    let first = run_request(1, json!(1));
    assert_eq!(
        call(&client, server.addr(), first.clone()),
        Ok(report_for(first))
    );

    let outcome = start_call_within(
        &client,
        server.addr(),
        run_request(2, json!("hold")),
        timeout,
    );

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    // The late response must not be delivered to another call.
    let (envelope, responder) = held_requests.recv().expect("the request arrives");
    responder.send(report_for(envelope));
    let next = run_request(3, json!(3));
    assert_eq!(
        call(&client, server.addr(), next.clone()),
        Ok(report_for(next))
    );
}

/// Guards against a graceful stop that drops responses, and against new requests that are lost
/// instead of rejected during the stop. The server stops with 50 requests in flight.
#[test]
fn stop_waits_for_requests_in_flight() {
    let client_runtime = runtime();
    let client = client(&client_runtime);
    let runtime = runtime();
    let (server, held_requests) = holding_server(&runtime, ServeOptions::default());
    let addr = server.addr();
    let outcomes: Vec<_> = (0..50)
        .map(|number| start_call(&client, addr, run_request(number, json!("hold"))))
        .collect();
    let requests: Vec<_> = held_requests.iter().take(outcomes.len()).collect();

    let stopping = thread::spawn(move || server.stop_within(NEVER_EXPIRES));
    let refused = loop {
        let quick = run_request(99, json!(1));
        match call(&client, addr, quick.clone()) {
            // The server has not begun to stop yet.
            Ok(response) => assert_eq!(response, report_for(quick)),
            Err(error) => break error,
        }
    };
    assert_eq!(refused, LinkError::Rejected);
    let mut expected: Vec<_> = Vec::new();
    for (envelope, responder) in requests {
        expected.push(report_for(envelope.clone()));
        responder.send(report_for(envelope));
    }

    assert!(stopping.join().expect("no panic"));
    for outcome in outcomes {
        let response = outcome.recv().expect("an outcome").expect("a response");
        assert!(expected.contains(&response));
    }
    assert_eq!(
        call(&client, addr, run_request(1, json!(1))),
        Err(LinkError::NotSent)
    );
}

/// Guards against a stop that never ends because a request is never answered. The limit of the
/// stop expires with one request in flight.
#[test]
fn stop_closes_remaining_connections_after_its_limit() {
    let client_runtime = runtime();
    let client = client(&client_runtime);
    let runtime = runtime();
    let (server, held_requests) = holding_server(&runtime, ServeOptions::default());
    let outcome = start_call_within(
        &client,
        server.addr(),
        run_request(1, json!("hold")),
        NEVER_EXPIRES,
    );
    let request = held_requests.recv().expect("the request arrives");

    assert!(!server.stop_within(Duration::from_millis(50)));

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    drop(request);
}

/// Guards against calls whose callback is never run when the runtime of the client is dropped,
/// both for a call in flight and for a call that is started later.
#[test]
fn dropping_the_runtime_completes_its_calls() {
    let server_runtime = runtime();
    let (server, held_requests) = holding_server(&server_runtime, ServeOptions::default());
    let client_runtime = runtime();
    let client = client(&client_runtime);
    let outcome = start_call(&client, server.addr(), run_request(1, json!("hold")));
    let request = held_requests.recv().expect("the request arrives");

    drop(client_runtime);

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    let late = start_call_within(
        &client,
        server.addr(),
        run_request(2, json!(2)),
        CALL_TIMEOUT,
    );
    assert_eq!(late.recv(), Ok(Err(LinkError::NotSent)));
    drop(request);
}

/// Guards against a call that never ends, or is reported as lost, when the server accepts the TCP
/// connection but does not answer the WebSocket handshake.
#[test]
fn unanswered_handshake_is_not_sent() {
    let runtime = runtime();
    let listener = std::net::TcpListener::bind(any_port()).expect("a free port");
    let client = runtime.client(ClientOptions {
        connect_timeout: Duration::from_millis(100),
        ..ClientOptions::default()
    });

    let addr = listener.local_addr().expect("a bound port");
    let outcome = start_call_within(&client, addr, run_request(1, json!(1)), NEVER_EXPIRES);

    assert_eq!(outcome.recv(), Ok(Err(LinkError::NotSent)));
}

//! Calls over connections that fail.

mod common;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use common::{
    LONG, Relay, any_port, call, client, echo, report, run, runtime, start, start_within,
};
use fulmarpond_core::link::{Envelope, LinkError, Request};
use fulmarpond_link::{ClientOptions, LinkRuntime, LinkServer, Responder, Secret, ServeOptions};
use serde_json::json;

/// So long that a test hangs, instead of passing by the timeout of the call, if the failure that
/// it is about goes unnoticed.
const UNREACHED: Duration = Duration::from_secs(24 * 3600);

const PING: Duration = Duration::from_millis(50);
const INACTIVE: Duration = Duration::from_secs(2);

fn secret(text: &str) -> Option<Secret> {
    Some(text.parse().expect("a valid secret"))
}

/// Serves with a handler that hands requests over to the test when their payload is "hold" and
/// echoes the others.
fn hold(
    runtime: &LinkRuntime,
    options: ServeOptions,
) -> (LinkServer, std::sync::mpsc::Receiver<(Envelope, Responder)>) {
    let (sender, held) = channel();
    let server = runtime
        .serve(any_port(), options, move |envelope, responder| {
            let Request::Run(batch) = &envelope.request else {
                panic!("the tests send batches only");
            };
            if batch.tasks[0].1.payload == "hold" {
                // The test is over if it does not receive any more.
                let _ = sender.send((envelope, responder));
            } else {
                responder.send(report(envelope));
            }
        })
        .expect("the server listens");
    (server, held)
}

/// Guards against access without the secret, and against reporting the refusal of the connection
/// as a call of unknown fate.
#[test]
fn secret_decides_about_access() {
    struct Case {
        server: Option<Secret>,
        client: Option<Secret>,
        admitted: bool,
    }
    let cases = [
        Case {
            server: secret("alpha"),
            client: secret("alpha"),
            admitted: true,
        },
        Case {
            server: secret("alpha"),
            client: secret("alphb"),
            admitted: false,
        },
        Case {
            server: secret("alpha"),
            client: secret("alph"),
            admitted: false,
        },
        Case {
            server: secret("alpha"),
            client: None,
            admitted: false,
        },
        Case {
            server: None,
            client: secret("alpha"),
            admitted: true,
        },
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let runtime = runtime();
        let server = echo(
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
        let request = run(1, json!(1));

        let outcome = call(&client, server.addr(), request.clone());

        if case.admitted {
            assert_eq!(outcome, Ok(report(request)), "case {index}");
        } else {
            assert_eq!(outcome, Err(LinkError::NotSent), "case {index}");
            assert_eq!(runtime.stats().unauthorized(), 1, "case {index}");
            assert_eq!(runtime.stats().requests(), 0, "case {index}");
        }
    }
}

/// Guards against a request that may have had an effect being reported as not sent, and against
/// a client that keeps using the connection of a dead server.
#[test]
fn death_of_the_server_loses_its_calls() {
    let client_side = runtime();
    let client = client(&client_side);
    let server_side = runtime();
    let (server, held) = hold(&server_side, ServeOptions::default());
    let addr = server.addr();
    let outcomes: Vec<_> = (0..50)
        .map(|number| start_within(&client, addr, run(number, json!("hold")), UNREACHED))
        .collect();
    let requests: Vec<_> = held.iter().take(outcomes.len()).collect();

    drop(server_side);

    for outcome in outcomes {
        assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    }
    assert_eq!(client_side.stats().lost(), 50);
    assert_eq!(
        call(&client, addr, run(1, json!(1))),
        Err(LinkError::NotSent)
    );
    drop((requests, server));

    let server_side = runtime();
    let _server = server_side
        .serve(addr, ServeOptions::default(), |envelope, responder| {
            responder.send(report(envelope));
        })
        .expect("the address can be used again");
    let request = run(2, json!(2));
    assert_eq!(call(&client, addr, request.clone()), Ok(report(request)));
}

/// Guards against calls that wait for ever on a connection that carries nothing any more, and
/// against new calls that use it.
#[test]
fn silent_connection_is_replaced() {
    let runtime = runtime();
    let (server, held) = hold(&runtime, ServeOptions::default());
    let relay = Relay::start(server.addr());
    let client = runtime.client(ClientOptions {
        ping_interval: PING,
        inactive_limit: INACTIVE,
        ..ClientOptions::default()
    });
    let outcome = start_within(&client, relay.addr(), run(1, json!("hold")), UNREACHED);
    let request = held.recv().expect("the request arrives");

    relay.freeze();

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    let request_2 = run(2, json!(2));
    assert_eq!(
        call(&client, relay.addr(), request_2.clone()),
        Ok(report(request_2))
    );
    assert_eq!(runtime.stats().opened(), 2);
    drop(request);
}

/// Guards against a write that hangs on a silent connection and keeps its calls waiting.
#[test]
fn silent_connection_ends_a_stuck_write() {
    let runtime = runtime();
    let server = echo(&runtime, ServeOptions::default());
    let relay = Relay::start(server.addr());
    let client = runtime.client(ClientOptions {
        ping_interval: PING,
        inactive_limit: INACTIVE,
        ..ClientOptions::default()
    });
    let request = run(1, json!(1));
    assert_eq!(
        call(&client, relay.addr(), request.clone()),
        Ok(report(request.clone()))
    );

    relay.freeze();
    // Together more than the socket buffers hold.
    let body = json!("x".repeat(8 << 20));
    let outcomes: Vec<_> = (0..4)
        .map(|number| start_within(&client, relay.addr(), run(number, body.clone()), UNREACHED))
        .collect();

    for outcome in outcomes {
        assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    }
    assert_eq!(
        call(&client, relay.addr(), request.clone()),
        Ok(report(request))
    );
}

/// Guards against a server that keeps the place of a silent connection.
#[test]
fn server_closes_a_silent_connection() {
    let runtime = runtime();
    let server = echo(
        &runtime,
        ServeOptions {
            max_connections: 1,
            ping_interval: PING,
            inactive_limit: INACTIVE,
            ..ServeOptions::default()
        },
    );
    let relay = Relay::start(server.addr());
    let request = run(1, json!(1));
    let options = ClientOptions {
        ping_interval: PING,
        ..ClientOptions::default()
    };
    let first = runtime.client(options.clone());
    assert_eq!(
        call(&first, relay.addr(), request.clone()),
        Ok(report(request.clone()))
    );
    let second = runtime.client(options);
    assert_eq!(
        call(&second, server.addr(), request.clone()),
        Err(LinkError::NotSent)
    );

    relay.freeze();

    // Never ends if the server keeps the silent connection.
    while call(&second, server.addr(), request.clone()) != Ok(report(request.clone())) {
        thread::sleep(PING);
    }
}

/// Guards against a request without an answer that keeps its caller waiting, and against the loss
/// of the other calls on the connection.
#[test]
fn dropped_responder_loses_its_call_only() {
    let runtime = runtime();
    let (server, held) = hold(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let dropped = start_within(&client, server.addr(), run(1, json!("hold")), UNREACHED);
    let (_, dropped_responder) = held.recv().expect("the request arrives");
    let answered = start(&client, server.addr(), run(2, json!("hold")));
    let (envelope, responder) = held.recv().expect("the request arrives");

    drop(dropped_responder);
    assert_eq!(dropped.recv(), Ok(Err(LinkError::Lost)));
    responder.send(report(envelope.clone()));

    assert_eq!(answered.recv(), Ok(Ok(report(envelope))));
    assert_eq!(runtime.stats().unanswered(), 1);
    assert_eq!(runtime.stats().opened(), 1);
}

/// Guards against a timeout being reported as if the request had no effect.
#[test]
fn timeout_is_lost() {
    let runtime = runtime();
    let (server, held) = hold(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let timeout = Duration::from_secs(1);
    // Opens the connection, so that the timeout below does not cover it.
    let first = run(1, json!(1));
    assert_eq!(
        call(&client, server.addr(), first.clone()),
        Ok(report(first))
    );

    let outcome = start_within(&client, server.addr(), run(2, json!("hold")), timeout);

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    // A late response must not be taken for that of another call.
    let (envelope, responder) = held.recv().expect("the request arrives");
    responder.send(report(envelope));
    let next = run(3, json!(3));
    assert_eq!(call(&client, server.addr(), next.clone()), Ok(report(next)));
}

/// Guards against a planned stop that cuts off responses, and against requests of unknown fate
/// while it lasts.
#[test]
fn stop_lets_requests_in_progress_end() {
    let client_side = runtime();
    let client = client(&client_side);
    let runtime = runtime();
    let (server, held) = hold(&runtime, ServeOptions::default());
    let addr = server.addr();
    let outcomes: Vec<_> = (0..50)
        .map(|number| start(&client, addr, run(number, json!("hold"))))
        .collect();
    let requests: Vec<_> = held.iter().take(outcomes.len()).collect();

    let stopping = thread::spawn(move || server.stop_within(UNREACHED));
    let refused = loop {
        let quick = run(99, json!(1));
        match call(&client, addr, quick.clone()) {
            // The stop has not begun yet.
            Ok(response) => assert_eq!(response, report(quick)),
            Err(error) => break error,
        }
    };
    assert_eq!(refused, LinkError::Rejected);
    let mut expected: Vec<_> = Vec::new();
    for (envelope, responder) in requests {
        expected.push(report(envelope.clone()));
        responder.send(report(envelope));
    }

    assert!(stopping.join().expect("no panic"));
    for outcome in outcomes {
        let response = outcome.recv().expect("an outcome").expect("a response");
        assert!(expected.contains(&response));
    }
    assert_eq!(
        call(&client, addr, run(1, json!(1))),
        Err(LinkError::NotSent)
    );
}

/// Guards against a stop that waits for ever for a request that nobody answers.
#[test]
fn stop_cuts_what_is_left() {
    let client_side = runtime();
    let client = client(&client_side);
    let runtime = runtime();
    let (server, held) = hold(&runtime, ServeOptions::default());
    let outcome = start_within(&client, server.addr(), run(1, json!("hold")), UNREACHED);
    let request = held.recv().expect("the request arrives");

    assert!(!server.stop_within(Duration::from_millis(50)));

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    drop(request);
}

/// Guards against calls without an outcome when a process ends its links.
#[test]
fn end_of_the_runtime_ends_its_calls() {
    let server_side = runtime();
    let (server, held) = hold(&server_side, ServeOptions::default());
    let client_side = runtime();
    let client = client(&client_side);
    let outcome = start(&client, server.addr(), run(1, json!("hold")));
    let request = held.recv().expect("the request arrives");

    drop(client_side);

    assert_eq!(outcome.recv(), Ok(Err(LinkError::Lost)));
    let late = start_within(&client, server.addr(), run(2, json!(2)), LONG);
    assert_eq!(late.recv(), Ok(Err(LinkError::NotSent)));
    drop(request);
}

/// Guards against a port that accepts connections but never answers the handshake.
#[test]
fn unanswered_handshake_is_not_sent() {
    let runtime = runtime();
    let listener = std::net::TcpListener::bind(any_port()).expect("a free port");
    let client = runtime.client(ClientOptions {
        connect_timeout: Duration::from_millis(100),
        ..ClientOptions::default()
    });

    let addr = listener.local_addr().expect("a bound port");
    let outcome = start_within(&client, addr, run(1, json!(1)), UNREACHED);

    assert_eq!(outcome.recv(), Ok(Err(LinkError::NotSent)));
}

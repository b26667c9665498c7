//! Calls over a working connection.

mod common;

use common::{any_port, call, client, echo, report, run, runtime, start};
use fulmarpond_core::link::LinkError;
use fulmarpond_link::ServeOptions;
use serde_json::json;

/// Guards against content that changes on its way through the encoding of both directions.
#[test]
fn response_belongs_to_its_request() {
    let runtime = runtime();
    let server = echo(&runtime, ServeOptions::default());
    let client = client(&runtime);
    let request = run(
        1,
        json!({"clue": "鯖", "guess": [1, null, 2.5, "\u{0}\"\\"]}),
    );

    let outcome = call(&client, server.addr(), request.clone());

    assert_eq!(outcome, Ok(report(request)));
    assert_eq!(runtime.stats().calls(), 1);
    assert_eq!(runtime.stats().responses(), 1);
    assert_eq!(runtime.stats().requests(), 1);
}

/// Guards against a port that is refused being reported as a call of unknown fate.
#[test]
fn refused_connection_is_not_sent() {
    let runtime = runtime();
    let free = std::net::TcpListener::bind(any_port()).expect("a free port");
    let addr = free.local_addr().expect("a bound port");
    drop(free);
    let client = client(&runtime);

    let outcome = call(&client, addr, run(1, json!(null)));

    assert_eq!(outcome, Err(LinkError::NotSent));
    assert_eq!(runtime.stats().not_sent(), 1);
}

/// Guards against responses that reach the wrong one of several callers, and against one
/// connection per call.
#[test]
fn concurrent_calls_share_a_connection() {
    let runtime = runtime();
    let server = echo(&runtime, ServeOptions::default());
    let client = client(&runtime);

    let outcomes: Vec<_> = (0..2000)
        .map(|number| {
            let request = run(number, json!(number));
            (request.clone(), start(&client, server.addr(), request))
        })
        .collect();

    for (request, outcome) in outcomes {
        assert_eq!(outcome.recv(), Ok(Ok(report(request))));
    }
    assert_eq!(runtime.stats().opened(), 1);
}

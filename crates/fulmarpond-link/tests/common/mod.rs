//! Servers, clients and requests shared by the integration tests.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses some of the helpers"
)]

mod relay;

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use fulmarpond_core::contract::{JobId, Resources, Task};
use fulmarpond_core::link::{
    Batch, BatchId, BatchReport, Envelope, LinkError, Outcome, Request, Response, TaskReport,
};
use fulmarpond_core::machine::{AgentId, Load};
use fulmarpond_link::{
    ClientOptions, LinkClient, LinkRuntime, LinkServer, Responder, ServeOptions,
};
pub(crate) use relay::Relay;
use serde_json::Value;

/// The timeout of calls that are expected to complete. Expires only if a call hangs.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) type CallResult = Result<Response, LinkError>;

pub(crate) fn runtime() -> LinkRuntime {
    LinkRuntime::new(2).expect("the runtime starts")
}

pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// Returns a request to run a batch of one task with `payload`.
pub(crate) fn run_request(number: u64, payload: Value) -> Envelope {
    let task = Task {
        kind: "answer-check".to_owned(),
        payload,
        expect_ms: None,
        needs: Resources::default(),
    };
    Envelope {
        to: Some(AgentId::new("saga-1", 7)),
        request: Request::Run(Batch {
            home: AgentId::new("kurume-2", 9),
            batch: BatchId(number),
            job: JobId::new("hunt-desk", "round-1"),
            remaining_ms: 1000,
            tasks: vec![(3, task)],
        }),
    }
}

/// Returns the report of a batch that has the payload of each task as its result.
pub(crate) fn report_for(envelope: Envelope) -> Response {
    let Request::Run(batch) = envelope.request else {
        panic!("expected a request to run a batch");
    };
    let tasks = batch.tasks.into_iter().map(|(task, content)| TaskReport {
        task,
        outcome: Outcome::Done {
            result: content.payload,
            run_us: 0,
        },
    });
    Response::Run(BatchReport {
        batch: batch.batch,
        running: false,
        tasks: tasks.collect(),
        load: Load::default(),
    })
}

/// Starts a server that returns the payload of each task as its result.
pub(crate) fn echo_server(runtime: &LinkRuntime, options: ServeOptions) -> LinkServer {
    runtime
        .serve(any_port(), options, |envelope, responder: Responder| {
            responder.send(report_for(envelope));
        })
        .expect("the server listens")
}

/// Starts a call and returns the channel that receives its outcome.
pub(crate) fn start_call(
    client: &LinkClient,
    addr: SocketAddr,
    envelope: Envelope,
) -> Receiver<CallResult> {
    start_call_within(client, addr, envelope, CALL_TIMEOUT)
}

pub(crate) fn start_call_within(
    client: &LinkClient,
    addr: SocketAddr,
    envelope: Envelope,
    timeout: Duration,
) -> Receiver<CallResult> {
    let (sender, receiver) = channel();
    client.call(addr, envelope, timeout, move |outcome| {
        // The receiver was dropped if the test does not wait for the outcome.
        let _ = sender.send(outcome);
    });
    receiver
}

pub(crate) fn call(client: &LinkClient, addr: SocketAddr, envelope: Envelope) -> CallResult {
    start_call(client, addr, envelope)
        .recv()
        .expect("every call has an outcome")
}

pub(crate) fn client(runtime: &LinkRuntime) -> LinkClient {
    runtime.client(ClientOptions::default())
}

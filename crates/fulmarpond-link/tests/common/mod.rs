//! Servers, clients and requests shared by the tests.
#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

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

/// Long enough that no test reaches it unless a call hangs.
pub(crate) const LONG: Duration = Duration::from_secs(60);

pub(crate) type CallResult = Result<Response, LinkError>;

pub(crate) fn runtime() -> LinkRuntime {
    LinkRuntime::new(2).expect("the runtime starts")
}

pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// A batch of one task that carries `payload`.
pub(crate) fn run(number: u64, payload: Value) -> Envelope {
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

/// The report whose results are the payloads of the batch.
pub(crate) fn report(envelope: Envelope) -> Response {
    let Request::Run(batch) = envelope.request else {
        panic!("the tests send batches only");
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

/// Serves with a handler that answers each batch with its own payloads.
pub(crate) fn echo(runtime: &LinkRuntime, options: ServeOptions) -> LinkServer {
    runtime
        .serve(any_port(), options, |envelope, responder: Responder| {
            responder.send(report(envelope));
        })
        .expect("the server listens")
}

/// Starts a call and returns the channel that receives its outcome.
pub(crate) fn start(
    client: &LinkClient,
    addr: SocketAddr,
    envelope: Envelope,
) -> Receiver<CallResult> {
    start_within(client, addr, envelope, LONG)
}

pub(crate) fn start_within(
    client: &LinkClient,
    addr: SocketAddr,
    envelope: Envelope,
    timeout: Duration,
) -> Receiver<CallResult> {
    let (sender, receiver) = channel();
    client.call(addr, envelope, timeout, move |outcome| {
        // The receiver is gone if the test does not wait for the outcome.
        let _ = sender.send(outcome);
    });
    receiver
}

pub(crate) fn call(client: &LinkClient, addr: SocketAddr, envelope: Envelope) -> CallResult {
    start(client, addr, envelope)
        .recv()
        .expect("every call has an outcome")
}

pub(crate) fn client(runtime: &LinkRuntime) -> LinkClient {
    runtime.client(ClientOptions::default())
}

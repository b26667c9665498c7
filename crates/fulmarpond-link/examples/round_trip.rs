//! Measures the round-trip time and the CPU time per call over loopback.
//!
//! `cargo run --release -p fulmarpond-link --example round_trip [calls]`
//!
//! Client and server run in this process, each with its own runtime, so the CPU time includes
//! both.

use std::collections::VecDeque;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use fulmarpond_core::contract::{JobId, Resources, Task};
use fulmarpond_core::link::{
    Batch, BatchId, BatchReport, Envelope, LinkError, Outcome, Request, Response, TaskReport,
};
use fulmarpond_core::machine::{AgentId, Load};
use fulmarpond_link::{ClientOptions, LinkClient, LinkRuntime, ServeOptions};
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn main() -> Result<(), Box<dyn Error>> {
    let calls = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => 50_000,
    };
    let server_runtime = LinkRuntime::new(2)?;
    let server = server_runtime.serve(
        "127.0.0.1:0".parse()?,
        ServeOptions::default(),
        |envelope, responder| responder.send(report_for(envelope)),
    )?;
    let client_runtime = LinkRuntime::new(2)?;
    let client = client_runtime.client(ClientOptions::default());

    for in_flight in [1, 16, 256] {
        // Warm-up: opens the connection and fills the CPU caches.
        measure(&client, server.addr(), 1000, in_flight)?;
        let cpu = cpu_time()?;
        let started = Instant::now();
        let mut round_trips = measure(&client, server.addr(), calls, in_flight)?;
        let elapsed = started.elapsed();
        let cpu = cpu_time()? - cpu;
        round_trips.sort_unstable();
        let percentile =
            |share: f64| round_trips[((round_trips.len() - 1) as f64 * share) as usize].as_micros();
        println!(
            "in flight {in_flight:3}: median {} us, p99 {} us, {:.0} calls/s, cpu {:.1} us per call",
            percentile(0.5),
            percentile(0.99),
            calls as f64 / elapsed.as_secs_f64(),
            cpu.as_secs_f64() * 1e6 / calls as f64,
        );
    }
    Ok(())
}

/// Makes calls with a constant number in flight and returns their round-trip times, measured in
/// the callback.
fn measure(
    client: &LinkClient,
    addr: SocketAddr,
    calls: usize,
    in_flight: usize,
) -> Result<Vec<Duration>, LinkError> {
    type PendingCall = Receiver<Result<Duration, LinkError>>;
    let mut pending: VecDeque<PendingCall> = VecDeque::new();
    let mut round_trips = Vec::with_capacity(calls);
    for number in 0..calls + in_flight {
        if number >= in_flight {
            let oldest = pending.pop_front().expect("a call is in flight");
            round_trips.push(oldest.recv().expect("every call has an outcome")?);
        }
        if number < calls {
            let (sender, receiver) = channel();
            let started = Instant::now();
            client.call(
                addr,
                batch_request(number as u64),
                CALL_TIMEOUT,
                move |outcome| {
                    // The receiver was dropped if an earlier call failed.
                    let _ = sender.send(outcome.map(|_| started.elapsed()));
                },
            );
            pending.push_back(receiver);
        }
    }
    Ok(round_trips)
}

/// Returns a batch of two small tasks.
fn batch_request(number: u64) -> Envelope {
    let task = |guess: &str| Task {
        kind: "answer-check".to_owned(),
        payload: json!({"puzzle": 17, "guess": guess}),
        expect_ms: Some(50),
        needs: Resources::default(),
    };
    Envelope {
        to: Some(AgentId::new("saga-1", 7)),
        request: Request::Run(Batch {
            home: AgentId::new("kurume-2", 9),
            batch: BatchId(number),
            job: JobId::new("hunt-desk", "round-1"),
            remaining_ms: 1000,
            tasks: vec![(0, task("SABA")), (1, task("AJI"))],
        }),
    }
}

fn report_for(envelope: Envelope) -> Response {
    let Request::Run(batch) = envelope.request else {
        unreachable!("only batches are sent");
    };
    let tasks = batch.tasks.into_iter().map(|(task, _)| TaskReport {
        task,
        outcome: Outcome::Done {
            result: json!({"correct": true}),
            run_us: 52_000,
        },
    });
    Response::Run(BatchReport {
        batch: batch.batch,
        running: false,
        tasks: tasks.collect(),
        load: Load::default(),
    })
}

/// Returns the CPU time of this process in user and kernel mode.
fn cpu_time() -> Result<Duration, Box<dyn Error>> {
    // Linux reports CPU time to user space in ticks of 10 ms.
    const TICK: Duration = Duration::from_millis(10);
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').ok_or("unexpected /proc/self/stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // `utime` and `stime` are fields 14 and 15 of the file; the first two precede the split.
    let ticks: u32 = fields[11].parse::<u32>()? + fields[12].parse::<u32>()?;
    Ok(TICK * ticks)
}

//! Pool of client threads that sends the scheduled jobs.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Arrivals, Outcome, PlannedJob, Recorder};
use crate::answer::{Answer, Verdict};
use crate::client::{CallError, Client, Method, REPLY_MARGIN, Reply};

/// Stack size of a client thread. A request needs far less than the default of 2 MB.
const CLIENT_STACK_BYTES: usize = 512 * 1024;

/// Parameters that all jobs of a run share.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Prefix of the submission ids, random for each run: agents remember accepted ids for hours,
    /// so ids derived from the seed would turn a second run into resubmissions.
    pub(crate) prefix: String,
    /// The team, unless the token determines it.
    pub(crate) team: Option<String>,
    /// Milliseconds from the sending of a job to its deadline.
    pub(crate) deadline_ms: u64,
    /// The number of client threads.
    pub(crate) clients: usize,
}

/// The outcomes and statistics of a finished run.
#[derive(Debug)]
pub(crate) struct RunResult {
    /// The recorded outcomes.
    pub(crate) recorder: Recorder,
    /// The time from the start to the last reply.
    pub(crate) elapsed: Duration,
    /// The highest number of jobs open at once.
    pub(crate) peak_open: usize,
    /// The jobs that arrived while all clients were busy.
    pub(crate) late_jobs: u64,
}

impl Run {
    /// Sends the jobs at their scheduled times and waits for all replies.
    ///
    /// # Errors
    ///
    /// Returns an error if a client thread can't be started.
    pub(crate) fn send(&self, client: &Client, arrivals: Arrivals) -> io::Result<RunResult> {
        let (sender, receiver) = mpsc::channel::<DueJob>();
        let receiver = Mutex::new(receiver);
        let recorder = Mutex::new(Recorder::default());
        let open_jobs = AtomicUsize::new(0);
        let (mut peak_open, mut late_jobs) = (0, 0);
        let elapsed = thread::scope(|scope| {
            // Dropped at the end of this closure, which closes the channel and ends the clients.
            let sender = sender;
            for _ in 0..self.clients {
                thread::Builder::new()
                    .stack_size(CLIENT_STACK_BYTES)
                    .spawn_scoped(scope, || {
                        while let Some(due) = next_due(&receiver) {
                            let outcome = self.submit(client, &due);
                            open_jobs.fetch_sub(1, Ordering::Relaxed);
                            recorder
                                .lock()
                                .unwrap_or_else(PoisonError::into_inner)
                                .record(outcome);
                        }
                    })?;
            }
            let start = Instant::now();
            for (number, job) in arrivals.enumerate() {
                let at = start + job.at;
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let now_open = open_jobs.fetch_add(1, Ordering::Relaxed) + 1;
                peak_open = peak_open.max(now_open);
                if now_open > self.clients {
                    late_jobs += 1;
                }
                if sender.send(DueJob { number, at, job }).is_err() {
                    break;
                }
            }
            Ok::<_, io::Error>(start)
        })?
        .elapsed();
        Ok(RunResult {
            recorder: recorder
                .into_inner()
                .unwrap_or_else(PoisonError::into_inner),
            elapsed,
            peak_open,
            late_jobs,
        })
    }

    fn submit(&self, client: &Client, due: &DueJob) -> Outcome {
        let id = format!("{}{}", self.prefix, due.number);
        let tasks: Vec<Value> = due
            .job
            .run_ms
            .iter()
            .map(|run_ms| json!({"kind": "load", "payload": {"run_ms": run_ms}}))
            .collect();
        let mut body = json!({
            "id": id,
            "attempt": 1,
            "deadline_ms": self.deadline_ms,
            "wait": true,
            "tasks": tasks,
        });
        if let Some(team) = &self.team {
            body["team"] = team.as_str().into();
        }
        let entries = client.entries();
        let entry = &entries[due.number % entries.len()];
        let timeout = Duration::from_millis(self.deadline_ms).saturating_add(REPLY_MARGIN);
        let lag = due.at.elapsed();
        let reply = client.call(entry, Method::Post, "/v1/jobs", Some(&body), timeout);
        let response = due.at.elapsed();
        let (verdict, reason) = classify_reply(&reply, due.job.run_ms.len());
        Outcome {
            id,
            verdict,
            reason,
            tasks: due.job.run_ms.len() as u64,
            ideal_ms: due.job.ideal_ms(),
            response,
            lag,
        }
    }
}

/// A job that is due to be sent.
struct DueJob {
    number: usize,
    at: Instant,
    job: PlannedJob,
}

fn next_due(receiver: &Mutex<Receiver<DueJob>>) -> Option<DueJob> {
    receiver
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .recv()
        .ok()
}

/// Returns the verdict and reason to record for a reply.
fn classify_reply(reply: &Result<Reply, CallError>, tasks: usize) -> (&'static str, String) {
    let reply = match reply {
        Ok(reply) => reply,
        Err(CallError::NotSent(_)) => return ("not_sent", String::new()),
        Err(CallError::Lost(_)) => return ("no_reply", String::new()),
    };
    match Answer::from_reply(reply).map(|answer| answer.verdict) {
        Some(Verdict::Answered { results }) if results.len() == tasks => {
            ("answered", String::new())
        }
        Some(Verdict::Answered { .. }) => ("bad_reply", "result_count".to_owned()),
        Some(Verdict::NotRun(refusal)) => ("not_run", refusal.reason),
        Some(Verdict::MayHaveRun(refusal)) => ("may_have_run", refusal.reason),
        None => ("bad_reply", format!("status_{}", reply.status)),
    }
}

//! Records the history of a run and checks the guarantees against it.
//!
//! The history holds only what is visible from outside: the requests and replies of callers, the
//! starts of tasks and the announcements of leaving agents. The checks therefore don't depend on
//! the code under test.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use fulmarpond_core::contract::{JobId, Verdict};
use fulmarpond_core::entry::CallerReply;
use serde_json::{Value, json};

/// A caller must have its reply within this time after the deadline of its request.
const REPLY_GRACE_MS: u64 = 1_000;

/// The kind of a request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A submission. Attempts are numbered from 1.
    Submit { attempt: u32 },
    /// A request for the answer, or a cancellation.
    FetchOrCancel,
}

#[derive(Debug)]
struct Invocation {
    sent_at: Time,
    kind: CallKind,
    job: JobId,
    deadline: Time,
    replies: Vec<(Time, CallerReply)>,
    /// Whether the caller lost its connection, so that it can't get a reply.
    is_disconnected: bool,
}

#[derive(Debug)]
struct Start {
    started_at: Time,
    job: JobId,
    task: u32,
    agent: String,
}

/// All requests, replies and task starts of one run.
#[derive(Debug, Default)]
pub struct History {
    calls: BTreeMap<u64, Invocation>,
    /// The number of tasks of each job.
    task_counts: BTreeMap<JobId, u32>,
    starts: Vec<Start>,
    /// The time at which each leaving agent announced that it leaves.
    leaving_since: BTreeMap<String, Time>,
}

/// Returns the result that a task of `job` must have.
pub fn expected_result(job: &JobId, task: u32) -> Value {
    json!([job.name(), task])
}

impl History {
    /// Records that a caller sent a request. `deadline` is the time by which the reply is due.
    pub fn record_request(
        &mut self,
        at: Time,
        call: u64,
        kind: CallKind,
        job: &JobId,
        deadline: Time,
    ) {
        let invocation = Invocation {
            sent_at: at,
            kind,
            job: job.clone(),
            deadline,
            replies: Vec::new(),
            is_disconnected: false,
        };
        self.calls.insert(call, invocation);
    }

    /// Records the number of tasks of a job.
    pub fn record_task_count(&mut self, job: &JobId, tasks: u32) {
        self.task_counts.insert(job.clone(), tasks);
    }

    /// Records that a caller received a reply.
    pub fn record_reply(&mut self, at: Time, call: u64, reply: CallerReply) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.replies.push((at, reply));
        }
    }

    /// Records that a caller lost its connection because the process at the other end stopped.
    pub fn record_disconnect(&mut self, call: u64) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.is_disconnected = true;
        }
    }

    /// Extends the deadline of a request by a pause of the process that holds the connection.
    pub fn extend_deadline(&mut self, call: u64, ms: u64) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.deadline = invocation.deadline.after_millis(ms);
        }
    }

    /// Records that a task started.
    pub fn record_start(&mut self, at: Time, job: &JobId, task: u32, agent: &str) {
        self.starts.push(Start {
            started_at: at,
            job: job.clone(),
            task,
            agent: agent.to_owned(),
        });
    }

    /// Records that an agent announced that it leaves.
    pub fn record_leaving(&mut self, at: Time, agent: &str) {
        self.leaving_since.entry(agent.to_owned()).or_insert(at);
    }

    /// Records that a leaving agent takes tasks again.
    pub fn record_return(&mut self, agent: &str) {
        self.leaving_since.remove(agent);
    }

    /// Returns the number of task starts and of the verdicts answered, not run and may have run.
    pub fn outcome_counts(&self) -> [usize; 4] {
        let mut counts = [self.starts.len(), 0, 0, 0];
        for (_, _, verdict) in self.verdicts() {
            counts[match verdict {
                Verdict::Answered { .. } => 1,
                Verdict::NotRun(_) => 2,
                Verdict::MayHaveRun(_) => 3,
            }] += 1;
        }
        counts
    }

    fn verdicts(&self) -> impl Iterator<Item = (&Invocation, Time, &Verdict)> {
        self.calls.values().flat_map(|call| {
            call.replies
                .iter()
                .filter_map(move |(at, reply)| match reply {
                    CallerReply::Answer(answer) => Some((call, *at, &answer.verdict)),
                    _ => None,
                })
        })
    }

    /// Checks all guarantees and returns the first violation.
    pub fn check(&self) -> Result<(), String> {
        self.check_single_starts()?;
        self.check_not_run()?;
        self.check_answers()?;
        self.check_replies()?;
        self.check_leaving()
    }

    /// Checks that no task starts twice.
    fn check_single_starts(&self) -> Result<(), String> {
        let mut seen: BTreeMap<(&JobId, u32), &Start> = BTreeMap::new();
        for start in &self.starts {
            if let Some(first) = seen.insert((&start.job, start.task), start) {
                return Err(format!("a task started twice: {first:?} and {start:?}"));
            }
        }
        Ok(())
    }

    /// Checks that no caller gets the verdict "not run" for a job that ran or runs later.
    ///
    /// The verdict covers its attempt and all earlier attempts, so a task may start only after a
    /// later attempt was sent. A verdict in reply to a fetch or cancellation covers the attempts
    /// that were sent before that request.
    fn check_not_run(&self) -> Result<(), String> {
        for (call, at, verdict) in self.verdicts() {
            let Verdict::NotRun(refusal) = verdict else {
                continue;
            };
            let latest_attempt = |before: Time| {
                self.calls
                    .values()
                    .filter(|other| other.job == call.job && other.sent_at <= before)
                    .filter_map(|other| match other.kind {
                        CallKind::Submit { attempt } => Some(attempt),
                        CallKind::FetchOrCancel => None,
                    })
                    .max()
                    .unwrap_or(0)
            };
            let covered_attempt = match call.kind {
                CallKind::Submit { attempt } => attempt,
                CallKind::FetchOrCancel => latest_attempt(call.sent_at),
            };
            for start in self.starts.iter().filter(|start| start.job == call.job) {
                if latest_attempt(start.started_at) <= covered_attempt {
                    return Err(format!(
                        "attempt {covered_attempt} got `not run` ({refusal:?}) at {at:?}, but a task started: {start:?}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that every answer has the results of all tasks of its job, and no others.
    fn check_answers(&self) -> Result<(), String> {
        for (call, at, verdict) in self.verdicts() {
            let Verdict::Answered { results } = verdict else {
                continue;
            };
            let count = self.task_counts.get(&call.job).copied().unwrap_or(0);
            let expected: Vec<Value> = (0..count)
                .map(|task| expected_result(&call.job, task))
                .collect();
            if *results != expected {
                return Err(format!(
                    "wrong results for {} at {at:?}: {results:?}",
                    call.job
                ));
            }
        }
        for call in self.calls.values() {
            for (at, reply) in &call.replies {
                if let CallerReply::Answer(answer) = reply
                    && answer.job != call.job
                {
                    return Err(format!(
                        "got the answer of another job at {at:?}: {answer:?}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that every request gets exactly one reply in time, unless its caller was
    /// disconnected.
    fn check_replies(&self) -> Result<(), String> {
        for (number, call) in &self.calls {
            let limit = call.deadline.after_millis(REPLY_GRACE_MS);
            let is_in_time = call.replies.first().is_some_and(|(at, _)| *at <= limit);
            if call.replies.len() > 1 || (!call.is_disconnected && !is_in_time) {
                return Err(format!(
                    "call {number} did not get exactly one reply in time: {call:?}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that no task starts at an agent that announced more than 5 s ago that it leaves.
    fn check_leaving(&self) -> Result<(), String> {
        for start in &self.starts {
            if let Some(since) = self.leaving_since.get(&start.agent)
                && start.started_at > since.after_millis(5_000)
            {
                return Err(format!(
                    "a task started at an agent that leaves since {since:?}: {start:?}"
                ));
            }
        }
        Ok(())
    }
}

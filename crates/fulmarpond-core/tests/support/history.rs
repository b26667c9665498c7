//! The checker of the guarantees.
//!
//! It is told only what callers send and receive and which tasks start, so it shares no knowledge
//! with the code under test.

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use fulmarpond_core::contract::{JobId, Verdict};
use fulmarpond_core::entry::CallerReply;
use serde_json::{Value, json};

/// The time after the deadline by which a submission has its final reply, in milliseconds.
const REPLY_MS: u64 = 1_000;

/// What a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A submission with the number of the attempt, counted from 1.
    Submit { attempt: u32 },
    /// A question or a cancellation.
    Ask,
}

#[derive(Debug)]
struct Invocation {
    at: Time,
    kind: Kind,
    job: JobId,
    deadline: Time,
    replies: Vec<(Time, CallerReply)>,
    /// Whether the caller lost its connection, so that no reply can come.
    cut: bool,
}

#[derive(Debug)]
struct Start {
    at: Time,
    job: JobId,
    task: u32,
    agent: String,
}

/// All invocations, responses and starts of one run.
#[derive(Debug, Default)]
pub struct History {
    calls: BTreeMap<u64, Invocation>,
    tasks: BTreeMap<JobId, u32>,
    starts: Vec<Start>,
    /// The times at which agents told that they are leaving.
    leaving: BTreeMap<String, Time>,
}

/// The result that a task of `job` must have.
pub fn result_of(job: &JobId, task: u32) -> Value {
    json!([job.name(), task])
}

impl History {
    /// Notes that a caller sent a request. `deadline` is the time by which it wants the reply.
    pub fn invoked(&mut self, at: Time, call: u64, kind: Kind, job: &JobId, deadline: Time) {
        let invocation = Invocation {
            at,
            kind,
            job: job.clone(),
            deadline,
            replies: Vec::new(),
            cut: false,
        };
        self.calls.insert(call, invocation);
    }

    /// Notes how many tasks a job has.
    pub fn described(&mut self, job: &JobId, tasks: u32) {
        self.tasks.insert(job.clone(), tasks);
    }

    /// Notes that a caller got a reply.
    pub fn replied(&mut self, at: Time, call: u64, reply: CallerReply) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.replies.push((at, reply));
        }
    }

    /// Notes that the process that held a caller's connection ended.
    pub fn cut(&mut self, call: u64) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.cut = true;
        }
    }

    /// Notes that the process that holds a caller's connection pauses for some milliseconds.
    pub fn paused(&mut self, call: u64, ms: u64) {
        if let Some(invocation) = self.calls.get_mut(&call) {
            invocation.deadline = invocation.deadline.after_millis(ms);
        }
    }

    /// Notes that a task started.
    pub fn started(&mut self, at: Time, job: &JobId, task: u32, agent: &str) {
        self.starts.push(Start {
            at,
            job: job.clone(),
            task,
            agent: agent.to_owned(),
        });
    }

    /// Notes that an agent told that it is leaving.
    pub fn leaves(&mut self, at: Time, agent: &str) {
        self.leaving.entry(agent.to_owned()).or_insert(at);
    }

    /// Notes that a leaving agent came back.
    pub fn stays(&mut self, agent: &str) {
        self.leaving.remove(agent);
    }

    /// Returns the numbers of starts, of answered and of other final verdicts.
    pub fn summary(&self) -> [usize; 4] {
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

    /// Checks all guarantees and returns the first that is broken.
    pub fn check(&self) -> Result<(), String> {
        self.check_single_starts()?;
        self.check_not_run()?;
        self.check_answers()?;
        self.check_replies()?;
        self.check_leaving()
    }

    /// Guards against a task that runs twice.
    fn check_single_starts(&self) -> Result<(), String> {
        let mut seen: BTreeMap<(&JobId, u32), &Start> = BTreeMap::new();
        for start in &self.starts {
            if let Some(first) = seen.insert((&start.job, start.task), start) {
                return Err(format!("a task started twice: {first:?} and {start:?}"));
            }
        }
        Ok(())
    }

    /// Guards against a caller that is told "not run" although the job ran or runs later.
    ///
    /// The verdict speaks for the attempt and all attempts before it, so a start needs a later
    /// attempt that was sent before it. A verdict that came as the reply to a question speaks for
    /// the attempts that were sent before the question.
    fn check_not_run(&self) -> Result<(), String> {
        for (call, at, verdict) in self.verdicts() {
            let Verdict::NotRun(refusal) = verdict else {
                continue;
            };
            let attempts = |before: Time| {
                self.calls
                    .values()
                    .filter(|other| other.job == call.job && other.at <= before)
                    .filter_map(|other| match other.kind {
                        Kind::Submit { attempt } => Some(attempt),
                        Kind::Ask => None,
                    })
                    .max()
                    .unwrap_or(0)
            };
            let told = match call.kind {
                Kind::Submit { attempt } => attempt,
                Kind::Ask => attempts(call.at),
            };
            for start in self.starts.iter().filter(|start| start.job == call.job) {
                if attempts(start.at) <= told {
                    return Err(format!(
                        "attempt {told} was told `not run` ({refusal:?}) at {at:?}, but: {start:?}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Guards against incomplete answers, results of other tasks and answers that differ.
    fn check_answers(&self) -> Result<(), String> {
        for (call, at, verdict) in self.verdicts() {
            let Verdict::Answered { results } = verdict else {
                continue;
            };
            let count = self.tasks.get(&call.job).copied().unwrap_or(0);
            let expected: Vec<Value> = (0..count).map(|task| result_of(&call.job, task)).collect();
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
                    return Err(format!("answer of another job at {at:?}: {answer:?}"));
                }
            }
        }
        Ok(())
    }

    /// Guards against a submission that gets no reply, a late one or several.
    fn check_replies(&self) -> Result<(), String> {
        for (number, call) in &self.calls {
            let limit = call.deadline.after_millis(REPLY_MS);
            let in_time = call.replies.first().is_some_and(|(at, _)| *at <= limit);
            if call.replies.len() > 1 || (!call.cut && !in_time) {
                return Err(format!("call {number} has not one reply in time: {call:?}"));
            }
        }
        Ok(())
    }

    /// Guards against work for an agent that leaves.
    fn check_leaving(&self) -> Result<(), String> {
        for start in &self.starts {
            if let Some(told) = self.leaving.get(&start.agent)
                && start.at > told.after_millis(5_000)
            {
                return Err(format!("leaving since {told:?}: {start:?}"));
            }
        }
        Ok(())
    }
}

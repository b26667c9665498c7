//! The record of a job at its home.

use std::cmp::Reverse;
use std::collections::VecDeque;

use serde_json::Value;

use crate::Time;
use crate::contract::{Answer, Event, EventKind, JobId, JobState, Status, Task};
use crate::link::{CallId, EventsReply};
use crate::machine::AgentId;

/// A call that waits for something about a job.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The call.
    pub(super) call: CallId,
    /// What it waits for.
    pub(super) waits_for: WaitsFor,
    /// When it gets an interim reply.
    pub(super) deadline: Time,
}

/// What a call waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitsFor {
    /// The answer, as the reply to a submit.
    SubmitAnswer,
    /// The acceptance, as the reply to a submit.
    SubmitAcceptance,
    /// The answer, as the reply to a fetch.
    FetchAnswer,
    /// Events from a number on.
    Events(u64),
}

/// The phase of a job with what belongs to it.
#[derive(Debug)]
pub(super) enum Phase {
    /// Seals are obtained, in the order of the list.
    Sealing {
        /// The agents whose seals are wanted.
        list: Vec<AgentId>,
        /// The position of the next one.
        next: usize,
        /// Whether an unreachable agent is skipped.
        may_skip_unreachable: bool,
    },
    /// Tasks wait or run.
    Running,
    /// The job has its final answer.
    Ended(Answer),
}

/// The state of one task.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TaskState {
    /// It waits for a slot.
    Waiting,
    /// It was sent to an agent.
    Sent,
    /// It has a result.
    Done(Value),
}

/// The record of a job at its home.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) entry: String,
    pub(super) phase: Phase,
    pub(super) accepted_at: Time,
    pub(super) deadline: Time,
    /// Until when the record is kept.
    pub(super) expires_at: Time,
    /// Before this time no task of the job is sent again.
    pub(super) retry_at: Time,
    pub(super) retries: u32,
    pub(super) tasks: Vec<Task>,
    pub(super) states: Vec<TaskState>,
    pub(super) waiting_tasks: VecDeque<u32>,
    pub(super) done: u32,
    /// The size of the results so far in bytes of JSON, roughly.
    pub(super) result_bytes: usize,
    /// The tasks that may have started and have no result.
    pub(super) possibly_started: u32,
    pub(super) waiters: Vec<Waiter>,
    events: Vec<Event>,
}

impl Job {
    /// Creates the record of a job whose tasks all wait, the longest by declaration first.
    pub(super) fn new(
        id: JobId,
        entry: String,
        tasks: Vec<Task>,
        now: Time,
        deadline: Time,
    ) -> Self {
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let mut waiting_tasks: Vec<u32> = (0..count).collect();
        // The longest task decides when a job ends. A wrong declaration costs no more than this order.
        waiting_tasks.sort_by_key(|task| Reverse(tasks[*task as usize].expect_ms));
        Self {
            id,
            entry,
            phase: Phase::Running,
            accepted_at: now,
            deadline,
            expires_at: deadline,
            retry_at: now,
            retries: 0,
            states: vec![TaskState::Waiting; tasks.len()],
            waiting_tasks: waiting_tasks.into(),
            tasks,
            done: 0,
            result_bytes: 0,
            possibly_started: 0,
            waiters: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the number of tasks of a job without an answer.
    pub(super) fn task_count(&self) -> u32 {
        u32::try_from(self.states.len()).unwrap_or(u32::MAX)
    }

    /// Returns the final answer, if there is one.
    pub(super) fn answer(&self) -> Option<&Answer> {
        match &self.phase {
            Phase::Ended(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns whether tasks wait or run.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }

    /// Returns the tasks in flight for the team's quota.
    pub(super) fn in_flight(&self) -> u64 {
        match self.phase {
            Phase::Ended(_) => 0,
            _ => u64::from(self.task_count() - self.done),
        }
    }

    /// Appends an event.
    pub(super) fn record_event(
        &mut self,
        now: Time,
        kind: EventKind,
        task: Option<u32>,
        agent: Option<&AgentId>,
        detail: impl Into<String>,
    ) {
        // A job that is refused again and again must not grow without bound.
        let limit = 64 + 8 * self.states.len();
        if self.events.len() >= limit && kind != EventKind::Ended {
            return;
        }
        self.events.push(Event {
            number: self.events.len() as u64,
            at_ms: now.millis_since(self.accepted_at),
            kind,
            task,
            agent: agent.cloned(),
            detail: detail.into(),
        });
    }

    /// Returns the events from number `from` on.
    pub(super) fn events_from(&self, from: u64) -> EventsReply {
        let start = usize::try_from(from)
            .unwrap_or(usize::MAX)
            .min(self.events.len());
        EventsReply {
            events: self.events[start..].to_vec(),
            next: self.events.len() as u64,
            ended: self.answer().is_some(),
        }
    }

    /// Returns whether there are events from number `from` on, or none will follow.
    pub(super) fn has_events(&self, from: u64) -> bool {
        (self.events.len() as u64) > from || self.answer().is_some()
    }

    /// Returns the state for a caller.
    pub(super) fn status(&self, home: &AgentId) -> Status {
        let waiting = u32::try_from(self.waiting_tasks.len()).unwrap_or(u32::MAX);
        Status {
            job: self.id.clone(),
            state: match self.phase {
                Phase::Sealing { .. } => JobState::Sealing,
                Phase::Running => JobState::Running,
                Phase::Ended(_) => JobState::Ended,
            },
            tasks: self.task_count(),
            waiting,
            sent: self.possibly_started,
            done: self.done,
            home: home.clone(),
        }
    }
}

/// Returns the size of a value in bytes of JSON, roughly.
pub(super) fn json_size(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(_) => 5,
        Value::Number(_) => 12,
        Value::String(text) => text.len() + 2,
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(name, value)| name.len() + json_size(value) + 4);
            2 + fields.sum::<usize>()
        }
    }
}

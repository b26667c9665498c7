//! The record of a job at its home.

use std::cmp::Reverse;
use std::collections::VecDeque;

use serde_json::Value;

use crate::Time;
use crate::contract::{Answer, Event, EventKind, JobId, JobState, Status, Task};
use crate::link::{CallId, EventsReply};
use crate::machine::AgentId;

/// A pending call that is answered when its job makes progress.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) call: CallId,
    pub(super) waits_for: WaitsFor,
    /// When the call gets an interim reply, or [`Time::MAX`].
    pub(super) deadline: Time,
}

/// The kind of reply that a call waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitsFor {
    /// The answer, as a reply to a submit request.
    SubmitAnswer,
    /// The acceptance, as a reply to a submit request.
    SubmitAcceptance,
    /// The answer, as a reply to a fetch request.
    FetchAnswer,
    /// The events from this number on.
    Events(u64),
}

/// The phase of a job.
#[derive(Debug)]
pub(super) enum Phase {
    /// Seals are requested one by one, in the order of the list.
    Sealing {
        /// The agents whose seals are required.
        list: Vec<AgentId>,
        /// The position of the next agent in the list.
        next: usize,
        /// Whether unreachable agents are skipped, since the caller stated that there was no
        /// earlier attempt.
        may_skip_unreachable: bool,
    },
    /// The job is accepted, and its tasks wait or run.
    Running,
    /// The job has its final answer.
    Ended(Answer),
}

/// The state of one task.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TaskState {
    /// Waits for a slot.
    Waiting,
    /// Sent to an agent.
    Sent,
    /// Completed with this result.
    Done(Value),
}

/// The record of a job at its home.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) entry: String,
    pub(super) phase: Phase,
    pub(super) created_at: Time,
    pub(super) deadline: Time,
    /// When the record is removed.
    pub(super) expires_at: Time,
    /// The earliest time at which tasks of the job are placed again.
    pub(super) retry_at: Time,
    pub(super) retries: u32,
    pub(super) tasks: Vec<Task>,
    pub(super) states: Vec<TaskState>,
    /// The positions of the tasks that wait for a slot, in placement order.
    pub(super) waiting_tasks: VecDeque<u32>,
    /// The number of tasks with a result.
    pub(super) done: u32,
    /// The approximate size of the results so far, in bytes of JSON.
    pub(super) result_bytes: usize,
    /// The number of tasks that may have started and have no result.
    pub(super) possibly_started: u32,
    pub(super) waiters: Vec<Waiter>,
    events: Vec<Event>,
}

impl Job {
    /// Creates the record of a job. All tasks wait, the one with the longest declared duration
    /// first.
    pub(super) fn new(
        id: JobId,
        entry: String,
        tasks: Vec<Task>,
        now: Time,
        deadline: Time,
    ) -> Self {
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let mut waiting_tasks: Vec<u32> = (0..count).collect();
        // Starts the longest tasks first, since they determine when the job ends. A wrong declared
        // duration affects only this order.
        waiting_tasks.sort_by_key(|task| Reverse(tasks[*task as usize].expect_ms));
        Self {
            id,
            entry,
            phase: Phase::Running,
            created_at: now,
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

    pub(super) fn task_count(&self) -> u32 {
        u32::try_from(self.states.len()).unwrap_or(u32::MAX)
    }

    /// Returns the final answer, if the job has ended.
    pub(super) fn answer(&self) -> Option<&Answer> {
        match &self.phase {
            Phase::Ended(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns whether the job is accepted and has not ended.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }

    /// Returns the number of tasks that count towards the team's quota.
    pub(super) fn in_flight(&self) -> u64 {
        match self.phase {
            Phase::Ended(_) => 0,
            _ => u64::from(self.task_count() - self.done),
        }
    }

    /// Appends an event, unless the job has too many.
    pub(super) fn record_event(
        &mut self,
        now: Time,
        kind: EventKind,
        task: Option<u32>,
        agent: Option<&AgentId>,
        detail: impl Into<String>,
    ) {
        // Bounds the memory of a job whose tasks are refused repeatedly.
        let limit = 64 + 8 * self.states.len();
        if self.events.len() >= limit && kind != EventKind::Ended {
            return;
        }
        self.events.push(Event {
            number: self.events.len() as u64,
            at_ms: now.millis_since(self.created_at),
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

    /// Returns whether there are events from number `from` on, or the job has ended.
    pub(super) fn has_events(&self, from: u64) -> bool {
        (self.events.len() as u64) > from || self.answer().is_some()
    }

    /// Returns the status that is reported to callers.
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

/// Returns the approximate size of a value in bytes of JSON.
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

//! A simulated endpoint: runs, leases, fencing tokens, the list of ended runs and draining.

use std::collections::{BTreeMap, HashMap};

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    EndEntry, EndReason, EndpointCall, EndpointReply, RunEntry, StartRefusal,
};
use fulmarpond_dispatch::{EndpointId, EndpointState, Registration, Resources, TaskKey};

use super::options::Kind;

/// A fault at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointFault {
    #[default]
    None,
    /// Runs never end.
    Hang,
    /// Runs fail immediately.
    Fail,
    /// Run times are multiplied by this factor.
    Slow(u32),
    /// This percentage of the calls gets no reply and is applied 2 s later.
    DelayedCalls(u32),
    /// This percentage of the calls is applied, but the reply is lost.
    LostReplies(u32),
    /// Calls are applied at once, but their replies arrive this much later, in milliseconds.
    SlowReplies(u64),
    /// The connection of this percentage of the calls is reset; half of these calls are applied
    /// nevertheless.
    Reset(u32),
    /// This percentage of the calls is answered with 429 or 503 and not applied.
    Refuses(u32),
    /// This percentage of the calls is answered with an unexpected status; half of these are applied
    /// nevertheless.
    OddReplies(u32),
    /// The process crashes after it has applied this percentage of the calls, before it replies.
    CrashAfter(u32),
    /// Calls are neither applied nor answered.
    Silent,
    /// The process has crashed; connections are refused.
    Crashed,
}

/// A run in progress.
#[derive(Debug)]
pub struct LiveRun {
    pub number: u32,
    pub needs: Resources,
    pub started_at: Time,
    pub ends_at: Time,
    /// Work saved by earlier runs, in milliseconds, if the task saves checkpoints.
    pub saved_ms: Option<u64>,
    pub long_running: bool,
    /// Whether the run fails at its end by the task's own fault.
    pub fails: bool,
    /// Whether replies to holds list the run.
    pub is_listed: bool,
}

/// Time from the start of a long-running task until it is working, in milliseconds.
pub const STARTUP_MS: u64 = 300;

/// Interval between checkpoints, in milliseconds of work.
pub const CHECKPOINT_INTERVAL_MS: u64 = 200;

/// Number of ends that an endpoint lists; it lists the others once these are acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;

/// Longest lease of a run, in milliseconds.
pub const MAX_LEASE_MS: i64 = 1_000;

/// Time to restore a checkpoint, in milliseconds.
pub const RESTORE_MS: u64 = 100;

/// Properties of a run that the simulation decides and that its start call does not carry.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    pub needs: Resources,
    pub ends_at: Time,
    pub saved_ms: Option<u64>,
    pub long_running: bool,
    pub fails: bool,
}

impl LiveRun {
    /// Returns whether a long-running task has finished starting up.
    pub fn is_working(&self, now: Time) -> bool {
        self.long_running && now >= self.started_at.after_millis(STARTUP_MS)
    }

    /// Returns the checkpoint at a time. It covers the work done in full intervals, or all work if
    /// the run was stopped.
    fn checkpoint(&self, task: &TaskKey, now: Time, stopped: bool) -> Option<String> {
        let saved = self.saved_ms?;
        let restore = if saved > 0 { RESTORE_MS } else { 0 };
        let done = saved + now.millis_since(self.started_at).saturating_sub(restore);
        let done = if stopped {
            done
        } else {
            done - done % CHECKPOINT_INTERVAL_MS
        };
        (done > 0).then(|| format!("{task}@{done}"))
    }

    /// Returns the progress in percent. It is 0 for a run without an end, unless its task is
    /// long-running.
    fn progress(&self, now: Time) -> u8 {
        if self.long_running {
            return if self.is_working(now) { 100 } else { 0 };
        }
        if self.ends_at == Time::MAX {
            return 0;
        }
        let total_us = self.ends_at.micros_since(self.started_at).max(1);
        let done = now.micros_since(self.started_at) * 100 / total_us;
        u8::try_from(done.min(99)).unwrap_or(99)
    }
}

/// A hold call that stays open until a run ends or its wait time is over.
#[derive(Debug)]
pub struct WaitingHold {
    pub number: u64,
    pub until: Time,
}

/// The state of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub incarnation: u32,
    /// The number of the incarnation that the id names; a restart may keep it.
    id_number: u32,
    /// When the incarnation was started, in Unix milliseconds; 0 if the endpoint does not say.
    pub born: u64,
    pub number: usize,
    pub capacity: Resources,
    pub labels: Vec<String>,
    /// Ratio of run times to those on a nominal endpoint.
    pub run_factor: f64,
    pub fault: EndpointFault,
    pub is_draining: bool,
    /// Until when it is cold.
    pub cold_until: Time,
    pub sequence: u64,
    /// Speed of the clock relative to virtual time.
    pub clock_rate: f64,
    /// Virtual time at which the clock showed 0.
    clock_origin: Time,
    highest_fence: u64,
    lease_expiry: i64,
    pub runs: BTreeMap<TaskKey, LiveRun>,
    highest_runs: HashMap<TaskKey, u32>,
    unacknowledged_ends: Vec<EndEntry>,
    next_end: u64,
    pub waiting_holds: Vec<WaitingHold>,
    /// Number of calls received.
    pub calls: u64,
    /// Number of calls that found the lease expired.
    expirations: u32,
    /// Value of that count when each listed run ended, and when that was.
    expirations_at_end: HashMap<u64, (u32, Time)>,
    /// Completed runs that were acknowledged without an expired lease in between, by task and run.
    pub acknowledged: Vec<(TaskKey, u32)>,
    /// Failed runs that were acknowledged in the same way, by task and the time of their end.
    pub acknowledged_failures: Vec<(TaskKey, Time)>,
}

impl Endpoint {
    pub fn new(number: usize, incarnation: u32, cpu: u32, clock_rate: f64) -> Self {
        Self {
            incarnation,
            id_number: incarnation,
            born: 0,
            number,
            capacity: Resources {
                cpu,
                memory: 65_536,
                accelerators: 0,
            },
            labels: Vec::new(),
            run_factor: 1.0,
            fault: EndpointFault::None,
            is_draining: false,
            cold_until: Time::default(),
            sequence: 0,
            clock_rate,
            clock_origin: Time::default(),
            highest_fence: 0,
            lease_expiry: 0,
            runs: BTreeMap::new(),
            highest_runs: HashMap::new(),
            unacknowledged_ends: Vec::new(),
            next_end: 1,
            waiting_holds: Vec::new(),
            calls: 0,
            expirations: 0,
            expirations_at_end: HashMap::new(),
            acknowledged: Vec::new(),
            acknowledged_failures: Vec::new(),
        }
    }

    pub fn set_kind(&mut self, kind: Kind) {
        self.run_factor = kind.run_factor;
        self.labels = if kind.label.is_empty() {
            Vec::new()
        } else {
            vec![kind.label.to_owned()]
        };
    }

    pub fn id(&self) -> EndpointId {
        EndpointId(format!("e-{}-{}", self.number, self.id_number))
    }

    /// Returns the endpoint after a restart under the same id, which knows nothing of this life.
    pub fn restarted(&self, cpu: u32, born: u64, now: Time) -> Self {
        Self {
            id_number: self.id_number,
            born,
            clock_origin: now,
            ..Self::new(self.number, self.incarnation + 1, cpu, self.clock_rate)
        }
    }

    pub fn next_registration(&mut self, now: Time) -> Registration {
        self.sequence += 1;
        Registration {
            id: self.id(),
            born: self.born,
            service: "service".to_owned(),
            addr: ([127, 0, 0, 1], 9_000 + self.number as u16).into(),
            capacity: self.capacity,
            labels: self.labels.clone(),
            state: if self.is_draining {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            cold_remaining_ms: self.cold_until.remaining_millis(now),
            sequence: self.sequence,
        }
    }

    pub fn clock(&self, now: Time) -> i64 {
        (now.micros_since(self.clock_origin) as f64 * self.clock_rate / 1_000.0) as i64
    }

    fn free_capacity(&self) -> Resources {
        let used = self
            .runs
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(run.needs));
        self.capacity.minus(used)
    }

    /// Ends the run of a task, and returns whether there was one.
    pub fn end(&mut self, task: &TaskKey, reason: EndReason, now: Time) -> bool {
        let Some(run) = self.runs.remove(task) else {
            return false;
        };
        self.record_run_number(task, run.number);
        self.unacknowledged_ends.push(EndEntry {
            sequence: self.next_end,
            task: task.clone(),
            run: run.number,
            reason,
            checkpoint: run.checkpoint(task, now, reason != EndReason::Done),
        });
        self.expirations_at_end
            .insert(self.next_end, (self.expirations, now));
        self.next_end += 1;
        true
    }

    fn record_run_number(&mut self, task: &TaskKey, run: u32) {
        let highest = self.highest_runs.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    /// Returns the tasks of all runs if the lease has expired.
    pub fn expired_tasks(&self, now: Time) -> Vec<TaskKey> {
        if self.clock(now) >= self.lease_expiry {
            self.runs.keys().cloned().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns the expiry of the lease if there are runs that end later.
    pub fn lease_end(&self, now: Time) -> Option<Time> {
        let left_ms = (self.lease_expiry - self.clock(now)).max(0) as f64;
        let expiry = now.after_millis((left_ms / self.clock_rate) as u64 + 2);
        let has_longer_run = self.runs.values().any(|run| run.ends_at > expiry);
        has_longer_run.then_some(expiry)
    }

    /// Returns the reply to a hold call: the running and the oldest unacknowledged ended runs.
    pub fn hold_reply(&self, now: Time) -> EndpointReply {
        let listed_runs = self.runs.iter().filter(|(_, run)| run.is_listed);
        let running = listed_runs.map(|(task, run)| RunEntry {
            task: task.clone(),
            run: run.number,
            progress: Some(run.progress(now)),
            checkpoint: run.checkpoint(task, now, false),
        });
        let listed = self.unacknowledged_ends.iter().take(MAX_LISTED_ENDS);
        EndpointReply::Held {
            born: self.born,
            clock: self.clock(now),
            running: running.collect(),
            ended: listed.cloned().collect(),
        }
    }

    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.unacknowledged_ends.is_empty()
    }

    /// Applies a call, and returns the reply and the effect.
    pub fn apply(
        &mut self,
        call: &EndpointCall,
        plan: RunPlan,
        now: Time,
    ) -> (EndpointReply, Effect) {
        let clock = self.clock(now);
        let fence = match call {
            EndpointCall::Start { fence, .. }
            | EndpointCall::Stop { fence, .. }
            | EndpointCall::Hold { fence, .. } => *fence,
        };
        if fence < self.highest_fence {
            return (self.refused(clock, StartRefusal::Fenced), Effect::None);
        }
        self.highest_fence = fence;
        if clock >= self.lease_expiry {
            self.expirations += 1;
        }
        match call {
            EndpointCall::Start {
                task, run, lease, ..
            } => {
                if self.runs.get(task).is_some_and(|live| live.number == *run) {
                    return (EndpointReply::Done { clock }, Effect::None);
                }
                if *lease <= clock {
                    return (self.refused(clock, StartRefusal::LeasePassed), Effect::None);
                }
                self.extend_lease(*lease, clock);
                if self
                    .highest_runs
                    .get(task)
                    .is_some_and(|highest| run <= highest)
                {
                    return (self.refused(clock, StartRefusal::OldRun), Effect::None);
                }
                if !plan.needs.fits(self.free_capacity()) {
                    return (self.refused(clock, StartRefusal::NoRoom), Effect::None);
                }
                let live = LiveRun {
                    number: *run,
                    needs: plan.needs,
                    started_at: now,
                    ends_at: plan.ends_at,
                    saved_ms: plan.saved_ms,
                    long_running: plan.long_running,
                    fails: plan.fails,
                    is_listed: true,
                };
                self.runs.insert(task.clone(), live);
                (EndpointReply::Done { clock }, Effect::Started(task.clone()))
            }
            EndpointCall::Stop { task, run, .. } => {
                self.record_run_number(task, *run);
                let is_running = self.runs.get(task).is_some_and(|live| live.number <= *run);
                let effect = if is_running {
                    Effect::Stopped(task.clone())
                } else {
                    Effect::None
                };
                (EndpointReply::Done { clock }, effect)
            }
            EndpointCall::Hold { acked, lease, .. } => {
                self.acknowledge_ends(*acked);
                if let Some(lease) = lease {
                    self.extend_lease(*lease, clock);
                }
                (self.hold_reply(now), Effect::None)
            }
        }
    }

    /// Extends the lease, by no more than a lease may last: an agent that has not noticed a restart
    /// computes it from the clock of the earlier life.
    fn extend_lease(&mut self, lease: i64, clock: i64) {
        self.lease_expiry = self.lease_expiry.max(lease.min(clock + MAX_LEASE_MS));
    }

    /// Removes acknowledged ends from the list.
    fn acknowledge_ends(&mut self, acked: u64) {
        let (acknowledged, left): (Vec<EndEntry>, Vec<EndEntry>) =
            std::mem::take(&mut self.unacknowledged_ends)
                .into_iter()
                .partition(|end| end.sequence <= acked);
        self.unacknowledged_ends = left;
        for end in acknowledged {
            let Some((expirations, ended)) = self.expirations_at_end.remove(&end.sequence) else {
                continue;
            };
            if expirations != self.expirations {
                continue;
            }
            match end.reason {
                EndReason::Done => self.acknowledged.push((end.task, end.run)),
                EndReason::Failed => self.acknowledged_failures.push((end.task, ended)),
                EndReason::Cut => {}
            }
        }
    }

    const fn refused(&self, clock: i64, reason: StartRefusal) -> EndpointReply {
        EndpointReply::Refused {
            clock: Some(clock),
            reason,
        }
    }
}

/// The effect of a call on the runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    None,
    Started(TaskKey),
    Stopped(TaskKey),
}

//! A simulated endpoint: runs, leases, fencing tokens, the list of ended runs and draining.

use std::collections::{BTreeMap, HashMap};

use fulmarpond_core::Time;
use fulmarpond_dispatch::agent::{
    EndEntry, EndHow, EndpointCall, EndpointReply, RunEntry, StartRefusal,
};
use fulmarpond_dispatch::{EndpointId, EndpointState, Needs, Registration, TaskKey};

/// A fault at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trouble {
    #[default]
    None,
    /// Runs never end.
    Hang,
    /// Runs fail immediately.
    Fail,
    /// Run times are multiplied by this factor.
    Slow(u32),
    /// This percentage of the calls gets no reply and is applied 2 s later.
    LateOrders(u32),
    /// This percentage of the calls is applied, but the reply is lost.
    LostReplies(u32),
    /// The connection of this percentage of the calls is reset; half of these calls are applied
    /// nevertheless.
    Reset(u32),
    /// Calls are neither applied nor answered.
    Silent,
    /// The process has crashed; connections are refused.
    Gone,
}

/// A run in progress.
#[derive(Debug)]
pub struct LiveRun {
    pub number: u32,
    pub needs: Needs,
    pub began: Time,
    pub ends: Time,
    /// Work saved by earlier runs, in milliseconds, if the task saves checkpoints.
    pub saved: Option<u64>,
    pub long_running: bool,
}

/// Time from the start of a long-running task until it is working, in milliseconds.
pub const STARTUP_MS: u64 = 300;

/// For runs that end later than this, a check is scheduled at the expiry of the lease, in
/// milliseconds.
pub const LONG_MS: u64 = 1_500;

/// Interval between checkpoints, in milliseconds of work.
pub const SAVE_MS: u64 = 200;

/// Time to restore a checkpoint, in milliseconds.
pub const RESTORE_MS: u64 = 100;

/// Properties of a run that the simulation decides and that its start call does not carry.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub needs: Needs,
    pub ends: Time,
    pub saved: Option<u64>,
    pub long_running: bool,
}

impl LiveRun {
    /// Returns whether a long-running task has finished starting up.
    pub fn is_working(&self, now: Time) -> bool {
        self.long_running && now >= self.began.after_millis(STARTUP_MS)
    }

    /// Returns the checkpoint at a time. It covers the work done in full intervals, or all work if
    /// the run was stopped.
    fn checkpoint(&self, task: &TaskKey, now: Time, stopped: bool) -> Option<String> {
        let saved = self.saved?;
        let restore = if saved > 0 { RESTORE_MS } else { 0 };
        let done = saved + now.millis_since(self.began).saturating_sub(restore);
        let done = if stopped { done } else { done - done % SAVE_MS };
        (done > 0).then(|| format!("{task}@{done}"))
    }

    /// Returns the progress in percent. It is 0 for a run without an end, unless its task is
    /// long-running.
    fn progress(&self, now: Time) -> u8 {
        if self.long_running {
            return if self.is_working(now) { 100 } else { 0 };
        }
        if self.ends == Time::MAX {
            return 0;
        }
        let whole = self.ends.micros_since(self.began).max(1);
        let done = now.micros_since(self.began) * 100 / whole;
        u8::try_from(done.min(99)).unwrap_or(99)
    }
}

/// A hold call that stays open until a run ends or its wait time is over.
#[derive(Debug)]
pub struct Waiting {
    pub call: u64,
    pub until: Time,
}

/// The state of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub incarnation: u32,
    pub number: usize,
    pub capacity: Needs,
    pub trouble: Trouble,
    pub draining: bool,
    pub sequence: u64,
    /// Speed of the clock relative to virtual time.
    pub rate: f64,
    fence: u64,
    lease: i64,
    pub runs: BTreeMap<TaskKey, LiveRun>,
    highest: HashMap<TaskKey, u32>,
    ended: Vec<EndEntry>,
    next_end: u64,
    pub waiting: Vec<Waiting>,
    /// Number of calls received.
    pub calls: u64,
    /// Number of calls that found the lease expired.
    lapses: u32,
    /// Value of that count when each listed run ended.
    end_lapses: HashMap<u64, u32>,
    /// Completed runs that were acknowledged without an expired lease in between, by task and run.
    pub noted: Vec<(TaskKey, u32)>,
}

impl Endpoint {
    pub fn new(number: usize, incarnation: u32, cpu: u32, rate: f64) -> Self {
        Self {
            incarnation,
            number,
            capacity: Needs {
                cpu,
                memory: 65_536,
                accelerators: 0,
            },
            trouble: Trouble::None,
            draining: false,
            sequence: 0,
            rate,
            fence: 0,
            lease: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            waiting: Vec::new(),
            calls: 0,
            lapses: 0,
            end_lapses: HashMap::new(),
            noted: Vec::new(),
        }
    }

    pub fn id(&self) -> EndpointId {
        EndpointId(format!("e-{}-{}", self.number, self.incarnation))
    }

    pub fn registration(&mut self) -> Registration {
        self.sequence += 1;
        Registration {
            id: self.id(),
            service: "service".to_owned(),
            addr: ([127, 0, 0, 1], 9_000 + self.number as u16).into(),
            capacity: self.capacity,
            labels: Vec::new(),
            state: if self.draining {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            sequence: self.sequence,
        }
    }

    pub fn clock(&self, now: Time) -> i64 {
        (now.as_micros() as f64 * self.rate / 1_000.0) as i64
    }

    fn free(&self) -> Needs {
        let used = self
            .runs
            .values()
            .fold(Needs::default(), |sum, run| sum.plus(run.needs));
        self.capacity.minus(used)
    }

    /// Ends the run of a task, and returns whether there was one.
    pub fn end(&mut self, task: &TaskKey, how: EndHow, now: Time) -> bool {
        let Some(run) = self.runs.remove(task) else {
            return false;
        };
        self.note_highest(task, run.number);
        self.ended.push(EndEntry {
            number: self.next_end,
            task: task.clone(),
            run: run.number,
            how,
            checkpoint: run.checkpoint(task, now, how != EndHow::Done),
        });
        self.end_lapses.insert(self.next_end, self.lapses);
        self.next_end += 1;
        true
    }

    fn note_highest(&mut self, task: &TaskKey, run: u32) {
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    /// Returns the tasks of all runs if the lease has expired.
    pub fn lapsed(&self, now: Time) -> Vec<TaskKey> {
        if self.clock(now) >= self.lease {
            self.runs.keys().cloned().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns the expiry of the lease if there are runs that end more than `LONG_MS` from now.
    pub fn long_lapse(&self, now: Time) -> Option<Time> {
        let soon = now.after_millis(LONG_MS);
        let any = self.runs.values().any(|run| run.ends > soon);
        let left = (self.lease - self.clock(now)).max(0) as f64;
        any.then(|| now.after_millis((left / self.rate) as u64 + 2))
    }

    pub fn lists(&self, now: Time) -> EndpointReply {
        let running = self.runs.iter().map(|(task, run)| RunEntry {
            task: task.clone(),
            run: run.number,
            progress: Some(run.progress(now)),
            checkpoint: run.checkpoint(task, now, false),
        });
        EndpointReply::Held {
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Applies a call, and returns the reply and the effect.
    pub fn carry_out(
        &mut self,
        call: &EndpointCall,
        work: Work,
        now: Time,
    ) -> (EndpointReply, Effect) {
        let clock = self.clock(now);
        let fence = match call {
            EndpointCall::Start { fence, .. }
            | EndpointCall::Stop { fence, .. }
            | EndpointCall::Hold { fence, .. } => *fence,
        };
        if fence < self.fence {
            return (self.refused(clock, StartRefusal::Fenced), Effect::None);
        }
        self.fence = fence;
        if clock >= self.lease {
            self.lapses += 1;
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
                self.lease = self.lease.max(*lease);
                if self.highest.get(task).is_some_and(|highest| run <= highest) {
                    return (self.refused(clock, StartRefusal::OldRun), Effect::None);
                }
                if !work.needs.fits(self.free()) {
                    return (self.refused(clock, StartRefusal::NoRoom), Effect::None);
                }
                let live = LiveRun {
                    number: *run,
                    needs: work.needs,
                    began: now,
                    ends: work.ends,
                    saved: work.saved,
                    long_running: work.long_running,
                };
                self.runs.insert(task.clone(), live);
                (EndpointReply::Done { clock }, Effect::Started(task.clone()))
            }
            EndpointCall::Stop { task, run, .. } => {
                self.note_highest(task, *run);
                let runs = self.runs.get(task).is_some_and(|live| live.number <= *run);
                let effect = if runs {
                    Effect::Stopped(task.clone())
                } else {
                    Effect::None
                };
                (EndpointReply::Done { clock }, effect)
            }
            EndpointCall::Hold { acked, lease, .. } => {
                self.note(*acked);
                if let Some(lease) = lease {
                    self.lease = self.lease.max(*lease);
                }
                (self.lists(now), Effect::None)
            }
        }
    }

    /// Removes acknowledged ends from the list.
    fn note(&mut self, acked: u64) {
        let (noted, left): (Vec<EndEntry>, Vec<EndEntry>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= acked);
        self.ended = left;
        for end in noted {
            let whole = self.end_lapses.remove(&end.number) == Some(self.lapses);
            if whole && end.how == EndHow::Done {
                self.noted.push((end.task, end.run));
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

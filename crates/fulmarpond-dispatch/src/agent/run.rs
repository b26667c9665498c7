//! A task at an agent.

use fulmarpond_core::Time;

use crate::{LinkNo, Needs, Outcome};

/// How much of a run is done.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    percent: u8,
    /// When the endpoint last told another value.
    last_change: Time,
}

impl Progress {
    /// The shortest time without progress after which a run stands still, in milliseconds.
    const MIN_STALL_MS: u64 = 90;

    /// The part of its expected time without progress after which a run stands still: an eighth.
    const STALL_DIVISOR: u64 = 8;

    pub(super) const fn new(now: Time) -> Self {
        Self {
            percent: 0,
            last_change: now,
        }
    }

    /// Takes a value that the endpoint told; returns whether the run stands still.
    pub(super) fn update(&mut self, percent: u8, expected: u32, now: Time) -> bool {
        if percent != self.percent {
            self.percent = percent;
            self.last_change = now;
            return false;
        }
        let stall_timeout = (u64::from(expected) / Self::STALL_DIVISOR).max(Self::MIN_STALL_MS);
        percent < 100 && now.millis_since(self.last_change) > stall_timeout
    }

    /// Takes a value for a run that goes on until it is stopped; returns whether it stands still.
    /// Such a run is at work at 100 percent, and takes a while to get there.
    pub(super) fn update_long_running(&mut self, percent: u8, now: Time) -> bool {
        if percent != self.percent {
            self.percent = percent;
            self.last_change = now;
        }
        percent < 100 && now.millis_since(self.last_change) > Self::STARTUP_TIMEOUT_MS
    }

    /// Returns whether the endpoint has told that all is done, or that a long-running task is at work.
    pub(super) const fn is_complete(&self) -> bool {
        self.percent >= 100
    }

    /// The longest time without progress of a long-running task that is not at work, in
    /// milliseconds.
    const STARTUP_TIMEOUT_MS: u64 = 3_000;
}

/// A task that an entry ordered.
#[derive(Debug)]
pub(super) struct Run {
    /// The link of the entry that ordered it.
    pub(super) link: LinkNo,
    /// The number of the run at the endpoint.
    pub(super) number: u32,
    pub(super) spec: String,
    pub(super) needs: Needs,
    /// The expected run time, in milliseconds.
    pub(super) expected: u32,
    /// The run time after which it is given up, in milliseconds.
    pub(super) limit: u32,
    /// Until when it has to start to meet its objective.
    pub(super) start_by: Time,
    /// When the caller leaves.
    pub(super) deadline: Time,
    pub(super) progress: Progress,
    /// The progress that it has saved, or that an earlier run had.
    pub(super) checkpoint: Option<String>,
    /// Whether the run has gone on from a checkpoint.
    pub(super) is_resumed: bool,
    /// Whether its end is held until it is in the store.
    pub(super) is_kept: bool,
    /// Whether it works only together with the other tasks of its step.
    pub(super) is_gang: bool,
    /// Whether it goes on until it is stopped.
    pub(super) is_long_running: bool,
    /// Until when it waits for an owner, if it has lost its entry.
    pub(super) unowned_until: Option<Time>,
    /// What shows that the endpoint may run it.
    pub(super) ticket: Option<String>,
    /// Whether its objective could be met when it was ordered.
    pub(super) has_start_deadline: bool,
    pub(super) phase: Phase,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for room.
    Queued,
    /// Its start was sent.
    Starting,
    /// It runs.
    Running {
        /// When its start was confirmed.
        since: Time,
    },
    /// Its run is being ended.
    Stopping {
        /// What follows.
        after_stop: AfterStop,
        /// When the stop is sent again; `Time::MAX` once it is confirmed.
        resend_at: Time,
        /// When the run is surely over.
        check_at: Time,
    },
}

/// What follows when a run is over that was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// Nothing: the entry does not want to know.
    Discard,
    /// The entry is told.
    Report(Outcome),
    /// The task is started again.
    Restart,
}

impl Phase {
    /// Returns the name of the phase in logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Starting => "starting",
            Self::Running { .. } => "running",
            Self::Stopping { .. } => "stopping",
        }
    }

    /// Returns whether the task takes room at the endpoint.
    pub(super) const fn uses_capacity(self) -> bool {
        !matches!(self, Self::Queued)
    }
}

//! The state of a task at an agent.

use std::rc::Rc;

use fulmarpond_core::Time;

use super::CallNo;
use crate::{Class, LinkNo, Outcome, Resources};

/// The progress of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    percent: u8,
    /// When the endpoint last reported a different value.
    last_change: Time,
    /// When the endpoint last reported a value.
    last_report: Time,
}

impl Progress {
    /// The minimum time without progress after which a run counts as stalled, in milliseconds.
    const MIN_STALL_MS: u64 = 90;

    /// A run counts as stalled after this fraction of its expected run time without progress: an
    /// eighth, but at least [`MIN_STALL_MS`](Self::MIN_STALL_MS).
    const STALL_DIVISOR: u64 = 8;

    pub(super) const fn new(now: Time) -> Self {
        Self {
            percent: 0,
            last_change: now,
            last_report: now,
        }
    }

    /// Records the time of a report, and returns the progress since the previous one in percent,
    /// and the time that it took in milliseconds.
    pub(super) fn record_report(&mut self, percent: u8, now: Time) -> (u8, u64) {
        let elapsed_ms = now.millis_since(self.last_report);
        self.last_report = now;
        (percent.saturating_sub(self.percent), elapsed_ms)
    }

    /// Returns the last reported value.
    pub(super) const fn percent(&self) -> u8 {
        self.percent
    }

    /// Records a reported value; returns whether the run is stalled.
    pub(super) fn update(&mut self, percent: u8, expected_ms: u32, now: Time) -> bool {
        if percent != self.percent {
            self.percent = percent;
            self.last_change = now;
            return false;
        }
        let stall_timeout = (u64::from(expected_ms) / Self::STALL_DIVISOR).max(Self::MIN_STALL_MS);
        percent < 100 && now.millis_since(self.last_change) > stall_timeout
    }

    /// Records a reported value of a long-running task; returns whether the run is stalled. Such a
    /// task reports 100 percent once it has started up and works, and startup takes a while.
    pub(super) fn update_long_running(&mut self, percent: u8, now: Time) -> bool {
        if percent != self.percent {
            self.percent = percent;
            self.last_change = now;
        }
        percent < 100 && now.millis_since(self.last_change) > Self::STARTUP_TIMEOUT_MS
    }

    /// Returns whether the endpoint has reported the run as complete, or a long-running task as
    /// working.
    pub(super) const fn is_complete(&self) -> bool {
        self.percent >= 100
    }

    /// The time without progress after which a long-running task that is still starting up counts
    /// as stalled, in milliseconds.
    const STARTUP_TIMEOUT_MS: u64 = 3_000;
}

/// A task that an entry has ordered, from its arrival until its end is reported.
#[derive(Debug)]
pub(super) struct Run {
    /// The link to the entry that owns it.
    pub(super) link: LinkNo,
    /// The number of the run; while the task is queued, that of the previous run.
    pub(super) number: u32,
    /// The specification, which all tasks of an order share.
    pub(super) spec: Rc<str>,
    /// The name of the route of its job.
    pub(super) route: String,
    /// When the start of its last run was sent.
    pub(super) started_at: Time,
    /// The call that has sent its last start, if there was one.
    pub(super) start_call: Option<CallNo>,
    pub(super) needs: Resources,
    pub(super) class: Class,
    /// The expected run time at this endpoint, in milliseconds.
    pub(super) expected_ms: u32,
    /// The expected run time on a nominal endpoint, in milliseconds; 0 if the run is no sample of
    /// the lasting speed.
    pub(super) nominal_ms: u32,
    /// How long the run is watched because it may crash the endpoint, in milliseconds; 0 if it is
    /// not.
    pub(super) watch_ms: u32,
    /// Whether its route is quarantined.
    pub(super) is_quarantined: bool,
    /// The maximum run time, in milliseconds; the run is stopped after it.
    pub(super) max_run_ms: u32,
    /// The latest start that still meets the latency objective.
    pub(super) start_by: Time,
    /// When the caller stops waiting for the result.
    pub(super) deadline: Time,
    pub(super) progress: Progress,
    /// Whether the current incarnation of the endpoint has listed this run, so that no start of it
    /// is on its way any more.
    pub(super) is_listed: bool,
    /// The newest checkpoint of this run or of an earlier one.
    pub(super) checkpoint: Option<String>,
    /// Whether the run was started from a checkpoint.
    pub(super) is_resumed: bool,
    /// Whether its job is durable: its end is acknowledged to the endpoint only after an
    /// entry has acknowledged that the end is stored.
    pub(super) is_durable: bool,
    /// Whether it belongs to a gang: the tasks of its step work only while all of them run.
    pub(super) is_gang: bool,
    /// Whether a run of it was stopped for an urgent task, which happens only once.
    pub(super) was_preempted: bool,
    /// Whether it runs until it is stopped.
    pub(super) is_long_running: bool,
    /// Until when the run, which is orphaned, waits for a new owner; `None` while it has one.
    pub(super) orphaned_until: Option<Time>,
    /// The ticket that permits the endpoint to run it.
    pub(super) ticket: Option<String>,
    /// Whether the task is returned to the entry if it has not started by `start_by`. Not set for
    /// tasks that had already missed their objective when they were ordered, for durable jobs and
    /// for long-running tasks.
    pub(super) has_start_deadline: bool,
    pub(super) reach: Reach,
    /// By when the run must be over because its entry no longer wants it, even if its stop is not
    /// confirmed; `Time::MAX` if there is no such time.
    pub(super) over_by: Time,
    pub(super) phase: Phase,
}

impl Run {
    /// Returns whether it may crash the endpoint, so that its start may have to wait for other runs.
    pub(super) const fn is_suspected(&self) -> bool {
        self.watch_ms > 0 || self.is_quarantined
    }

    /// Returns whether it is being stopped only to be started again here, as nothing shows that it has
    /// begun.
    pub(super) fn restarts_unstarted(&self) -> bool {
        let is_restart = matches!(
            self.phase,
            Phase::Stopping {
                after_stop: AfterStop::Restart,
                ..
            }
        );
        is_restart && !self.is_listed && self.reach != Reach::Confirmed
    }
}

/// Whether the last start of a task has reached the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// The endpoint has confirmed the start, or listed the run.
    Confirmed,
    /// The endpoint had replied just before the start was sent.
    Likely,
    /// The endpoint may have been down.
    Unknown,
    /// The start, or a call that was sent before it, was refused or not sent, so nothing ran.
    NotReached,
}

/// The phase of a task at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for free capacity.
    Queued,
    /// The start was sent and is not confirmed yet.
    Starting,
    /// Runs at the endpoint.
    Running {
        /// When the start was confirmed.
        since: Time,
    },
    /// The run is being stopped.
    Stopping {
        /// What to do once the run has ended.
        after_stop: AfterStop,
        /// When to send the stop again; `Time::MAX` once it is confirmed.
        resend_at: Time,
        /// When to check again whether the run has ended; `Time::MAX` until the stop is confirmed.
        check_at: Time,
        /// By when the endpoint has ended the run; `Time::MAX` until the stop is confirmed.
        ends_by: Time,
    },
}

/// What to do with a task once its stopped run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// Drop it without a report to the entry.
    Discard,
    /// Report to the entry that its order was refused, however the run has ended: it belongs to
    /// another attempt.
    Refuse,
    /// Report the outcome to the entry.
    Report(Outcome),
    /// Start it again.
    Restart,
}

impl Phase {
    /// Returns the name of the phase in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Starting => "starting",
            Self::Running { .. } => "running",
            Self::Stopping { .. } => "stopping",
        }
    }

    /// Returns whether the task uses capacity of the endpoint.
    pub(super) const fn uses_capacity(self) -> bool {
        !matches!(self, Self::Queued)
    }
}

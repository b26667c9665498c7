//! A task at an agent.

use fulmarpond_core::Time;

use crate::{LinkNo, Needs, Outcome};

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
    /// Whether its end is held until it is in the store.
    pub(super) kept: bool,
    /// Whether its objective could be met when it was ordered.
    pub(super) fresh: bool,
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
        then: Then,
        /// When the stop is sent again; `Time::MAX` once it is confirmed.
        resend: Time,
        /// When the run is surely over.
        over: Time,
    },
}

/// What follows when a run is over that was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Then {
    /// Nothing: the entry does not want to know.
    Forget,
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
    pub(super) const fn uses_room(self) -> bool {
        !matches!(self, Self::Queued)
    }
}

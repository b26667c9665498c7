//! Faults of calls to emulated executors.

use std::collections::HashMap;
use std::time::Duration;

/// The calls that a fault concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Starts of runs.
    Start,
    /// Stops of runs.
    Stop,
    /// Calls that extend the lease and list runs.
    Hold,
}

impl CallKind {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/run-start" => Some(Self::Start),
            "/v1/run-stop" => Some(Self::Stop),
            "/v1/hold" => Some(Self::Hold),
            _ => None,
        }
    }
}

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEffect {
    /// The call is carried out and answered later, even if its sender has given it up.
    Delayed(Duration),
    /// The call is carried out, but its response is lost.
    Unanswered,
    /// The call is lost on its way.
    Lost,
    /// The call is refused with this status and not carried out.
    Refused(u16),
}

/// A fault of the calls to an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFault {
    /// The calls that it concerns.
    pub kind: CallKind,
    /// What happens to them.
    pub effect: CallEffect,
    /// Every how many of these calls it happens; 1 for all.
    pub every: u32,
}

#[derive(Debug, Default)]
struct ExecutorFaults {
    faults: Vec<CallFault>,
    counts: HashMap<CallKind, u32>,
}

/// The faults in force, by executor.
#[derive(Debug, Default)]
pub(super) struct CallFaults {
    executors: HashMap<usize, ExecutorFaults>,
}

impl CallFaults {
    /// Replaces the faults of an executor.
    pub(super) fn set(&mut self, executor: usize, faults: Vec<CallFault>) {
        self.executors.entry(executor).or_default().faults = faults;
    }

    /// Counts a call, and returns what happens to it, if it is not carried out as usual.
    pub(super) fn next_effect(&mut self, executor: usize, path: &str) -> Option<CallEffect> {
        let kind = CallKind::from_path(path)?;
        let state = self.executors.get_mut(&executor)?;
        let count = state.counts.entry(kind).or_default();
        *count = count.wrapping_add(1);
        let mut faults = state.faults.iter();
        let found = faults.find(|fault| fault.kind == kind && *count % fault.every.max(1) == 0);
        found.map(|fault| fault.effect)
    }
}

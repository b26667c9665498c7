//! Epochs of the runs of a task.
//!
//! A task of a durable job starts a new epoch when it is placed again while an agent may still hold
//! an unacknowledged result of an earlier run. The epoch is part of the run number, so a stale
//! result is recognised by its run.

/// The number of run numbers in an epoch.
const RUNS_PER_EPOCH: u32 = 1 << 8;

/// The highest number of a run that an agent of this deployment can have started.
pub(crate) const MAX_RUN: u32 = (u16::MAX as u32 + 1) * RUNS_PER_EPOCH - 1;

/// Returns the epoch that a run number belongs to.
pub(crate) fn epoch_of(run: u32) -> u16 {
    u16::try_from(run / RUNS_PER_EPOCH).unwrap_or(u16::MAX)
}

/// Returns the number that the first run of an epoch follows.
pub(crate) fn run_before_first(epoch: u16) -> u32 {
    u32::from(epoch) * RUNS_PER_EPOCH
}

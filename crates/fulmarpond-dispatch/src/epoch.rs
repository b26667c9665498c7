//! Epochs of the runs of a task.
//!
//! A task of a kept job that is placed again, while an end of an earlier run may still be held at an
//! agent, begins a new epoch. The epoch is part of the run number, so that an end tells whether it
//! still counts.

/// How many run numbers an epoch has.
const RUNS: u32 = 1 << 8;

/// Returns the epoch of a run.
pub(crate) fn epoch_of(run: u32) -> u16 {
    u16::try_from(run / RUNS).unwrap_or(u16::MAX)
}

/// Returns the run number after which the runs of an epoch are counted.
pub(crate) fn before_first(epoch: u16) -> u32 {
    u32::from(epoch) * RUNS
}

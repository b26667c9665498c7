//! The count of open connections.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The open connections of a listener and its port.
#[derive(Debug)]
pub(crate) struct Connections {
    max: usize,
    open: Mutex<usize>,
    closed: Condvar,
}

/// One open connection, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Connections>);

impl Connections {
    /// Creates a count with the bound `max`.
    pub(crate) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            open: Mutex::new(0),
            closed: Condvar::new(),
        })
    }

    /// Counts a connection, unless the bound is reached.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Slot> {
        let mut open = self.lock();
        if *open >= self.max {
            return None;
        }
        *open += 1;
        Some(Slot(Arc::clone(self)))
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        *self.lock()
    }

    /// Waits at most for `limit` until all are closed, and returns whether they are.
    pub(crate) fn wait_closed(&self, limit: Duration) -> bool {
        let start = Instant::now();
        let mut open = self.lock();
        while *open > 0 {
            let left = limit.saturating_sub(start.elapsed());
            if left.is_zero() {
                return false;
            }
            open = match self.closed.wait_timeout(open, left) {
                Ok((open, _)) => open,
                Err(error) => error.into_inner().0,
            };
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
        self.0.closed.notify_all();
    }
}

//! Counting and limiting of open connections.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A counter of open connections with a maximum.
///
/// A listener has one for its connections and one for its listening socket.
#[derive(Debug)]
pub(crate) struct Connections {
    max: usize,
    open_count: Mutex<usize>,
    connection_closed: Condvar,
}

/// A permit for one open connection, which is counted until the permit is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Arc<Connections>);

impl Connections {
    /// Creates a counter that allows at most `max` open connections.
    pub(crate) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            open_count: Mutex::new(0),
            connection_closed: Condvar::new(),
        })
    }

    /// Acquires a permit for a connection, or returns `None` if the maximum is reached.
    pub(crate) fn acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let mut open_count = self.lock();
        if *open_count >= self.max {
            return None;
        }
        *open_count += 1;
        Some(ConnectionPermit(Arc::clone(self)))
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        *self.lock()
    }

    /// Waits until all connections are closed, for at most `timeout`, and returns whether they are.
    pub(crate) fn wait_until_all_closed(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        let mut open_count = self.lock();
        while *open_count > 0 {
            let remaining = timeout.saturating_sub(start.elapsed());
            if remaining.is_zero() {
                return false;
            }
            open_count = match self.connection_closed.wait_timeout(open_count, remaining) {
                Ok((open_count, _)) => open_count,
                Err(error) => error.into_inner().0,
            };
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.open_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
        self.0.connection_closed.notify_all();
    }
}

//! The count of requests in progress at a server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Counts requests in progress and admits no new ones once it is closed.
#[derive(Debug, Default)]
pub(super) struct Gate {
    state: Mutex<State>,
    drained: Notify,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    entered: usize,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Entered(Arc<Gate>);

impl Gate {
    /// Admits a request unless the gate is closed.
    pub(super) fn enter(self: &Arc<Self>) -> Option<Entered> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        state.entered += 1;
        Some(Entered(Arc::clone(self)))
    }

    /// Admits no further request.
    pub(super) fn close(&self) {
        self.lock().closed = true;
    }

    /// Waits until no request is in progress.
    pub(super) async fn drained(&self) {
        while self.lock().entered > 0 {
            self.drained.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.entered -= 1;
        if state.closed && state.entered == 0 {
            // One waiter at most; the permit is kept if it does not wait yet.
            self.0.drained.notify_one();
        }
    }
}

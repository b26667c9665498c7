//! Tracking of the requests that a server is processing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Counts the requests in flight and rejects new ones once it is closed.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    state: Mutex<State>,
    drained: Notify,
}

#[derive(Debug, Default)]
struct State {
    is_closed: bool,
    in_flight: usize,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<InFlightRequests>);

impl InFlightRequests {
    /// Counts a request as in flight. Returns `None` once the tracker is closed.
    pub(super) fn begin(self: &Arc<Self>) -> Option<InFlightGuard> {
        let mut state = self.lock();
        if state.is_closed {
            return None;
        }
        state.in_flight += 1;
        Some(InFlightGuard(Arc::clone(self)))
    }

    /// Rejects all further requests.
    pub(super) fn close(&self) {
        self.lock().is_closed = true;
    }

    /// Waits until no request is in flight.
    pub(super) async fn wait_drained(&self) {
        while self.lock().in_flight > 0 {
            self.drained.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_flight -= 1;
        if state.is_closed && state.in_flight == 0 {
            // There is at most one waiter. If it does not wait yet, `Notify` stores the permit.
            self.0.drained.notify_one();
        }
    }
}

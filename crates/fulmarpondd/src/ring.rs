//! The bounded ring into the core thread, and the calls that await a reply from it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use fulmarpond_core::link::CallId;

/// Capacity of the ring into the core thread, in inputs.
const RING_CAPACITY: usize = 8_192;

/// Creates the bounded ring into the core thread.
pub(crate) fn core_ring<T>() -> (SyncSender<T>, Receiver<T>) {
    sync_channel(RING_CAPACITY)
}

/// The requests that await a reply from the core thread, by call id.
///
/// Each id is used once. Ids stay below 2^63, as the roles require.
#[derive(Debug)]
pub(crate) struct PendingCalls<T> {
    next_call_id: Arc<AtomicU64>,
    requests: Arc<Mutex<HashMap<CallId, T>>>,
}

impl<T> Clone for PendingCalls<T> {
    fn clone(&self) -> Self {
        Self {
            next_call_id: Arc::clone(&self.next_call_id),
            requests: Arc::clone(&self.requests),
        }
    }
}

impl<T> PendingCalls<T> {
    /// Creates an empty map that takes its call ids from the counter `next_call_id`.
    pub(crate) fn new(next_call_id: &Arc<AtomicU64>) -> Self {
        Self {
            next_call_id: Arc::clone(next_call_id),
            requests: Arc::default(),
        }
    }

    /// Adds a request and returns its call id.
    pub(crate) fn insert(&self, request: T) -> CallId {
        let call = CallId(self.next_call_id.fetch_add(1, Ordering::Relaxed));
        self.lock().insert(call, request);
        call
    }

    /// Removes a request and returns it.
    pub(crate) fn remove(&self, call: CallId) -> Option<T> {
        self.lock().remove(&call)
    }

    /// Removes all requests that satisfy `condition` and returns them.
    pub(crate) fn remove_if(&self, mut condition: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut requests = self.lock();
        let removed = requests.extract_if(|_, request| condition(request));
        removed.map(|(_, request)| request).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, T>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

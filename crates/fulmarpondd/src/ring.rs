//! Bounded rings between the threads of a process, and the replies that come back over them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use fulmarpond_core::link::CallId;

/// The inputs that may wait for the core thread.
const RING_SIZE: usize = 8_192;

/// Creates the ring into the core thread.
pub(crate) fn ring<T>() -> (SyncSender<T>, Receiver<T>) {
    sync_channel(RING_SIZE)
}

/// The requests that wait for a reply of the core thread, by number.
///
/// Numbers are given out below 2^63, as the roles ask for, and used once.
#[derive(Debug)]
pub(crate) struct Waiting<T> {
    numbers: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<CallId, T>>>,
}

impl<T> Clone for Waiting<T> {
    fn clone(&self) -> Self {
        Self {
            numbers: Arc::clone(&self.numbers),
            waiting: Arc::clone(&self.waiting),
        }
    }
}

impl<T> Waiting<T> {
    /// Creates an empty map that draws its numbers from `numbers`.
    pub(crate) fn new(numbers: &Arc<AtomicU64>) -> Self {
        Self {
            numbers: Arc::clone(numbers),
            waiting: Arc::default(),
        }
    }

    /// Adds a request and returns its number.
    pub(crate) fn add(&self, request: T) -> CallId {
        let call = CallId(self.numbers.fetch_add(1, Ordering::Relaxed));
        self.lock().insert(call, request);
        call
    }

    /// Removes a request.
    pub(crate) fn take(&self, call: CallId) -> Option<T> {
        self.lock().remove(&call)
    }

    /// Removes all requests that `condition` holds for.
    pub(crate) fn take_if(&self, mut condition: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut waiting = self.lock();
        let taken = waiting.extract_if(|_, request| condition(request));
        taken.map(|(_, request)| request).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, T>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! A thread pool for blocking handlers.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;

use fulmarpond_http::{Request, Responder};

use crate::service::Outcome;

/// An unbounded thread pool that runs a blocking handler.
///
/// Idle threads are reused. A request never waits for a busy thread: if none is idle, a new one
/// starts. Threads are reused because starting one per request took most of the time of an empty
/// task.
pub(crate) struct Workers<F> {
    handler: F,
    idle: Mutex<Vec<SyncSender<Work>>>,
}

/// A request handed to a thread of the pool.
struct Work {
    request: Request,
    responder: Responder,
    /// The sender to the thread itself, which the thread returns to the idle list when it is done.
    /// A waiting thread holds no sender, so it ends when the idle list is dropped.
    sender: SyncSender<Work>,
}

impl<F: Fn(&Request) -> Outcome + Send + Sync + 'static> Workers<F> {
    /// Creates a pool without threads.
    pub(crate) fn new(handler: F) -> Arc<Self> {
        Arc::new(Self {
            handler,
            idle: Mutex::default(),
        })
    }

    /// Handles a request on an idle thread, or on a new one if none is idle.
    pub(crate) fn handle(self: &Arc<Self>, request: Request, responder: Responder) {
        let idle = self.idle().pop();
        let sender = idle.unwrap_or_else(|| self.spawn());
        let work = Work {
            request,
            responder,
            sender: sender.clone(),
        };
        // If no thread could be started, the responder is dropped, which answers with status 500.
        let _ = sender.send(work);
    }

    fn spawn(self: &Arc<Self>) -> SyncSender<Work> {
        let (sender, receiver) = sync_channel(1);
        let workers = Arc::downgrade(self);
        // If the system cannot start a thread, the receiver is dropped and sending fails.
        let _ = thread::Builder::new().spawn(move || Self::run(&workers, &receiver));
        sender
    }

    fn run(workers: &Weak<Self>, receiver: &Receiver<Work>) {
        while let Ok(work) = receiver.recv() {
            let Some(workers) = workers.upgrade() else {
                return;
            };
            let outcome = (workers.handler)(&work.request);
            // Marked idle before the reply is sent, so that the next request of the same client can
            // reuse this thread.
            workers.idle().push(work.sender);
            match outcome {
                Outcome::Reply(response) => work.responder.send(response),
                Outcome::Close => work.responder.close(),
            }
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<SyncSender<Work>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

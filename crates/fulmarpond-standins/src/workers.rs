//! Threads that run blocking handlers.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;

use fulmarpond_http::{Request, Responder};

use crate::service::Outcome;

/// Threads that run a blocking handler. An idle thread is used again, and a request never waits
/// for a busy one: without an idle thread a new one starts.
///
/// Starting a thread for each request took most of the time of an empty task.
pub(crate) struct Workers<F> {
    handler: F,
    idle: Mutex<Vec<SyncSender<Work>>>,
}

/// A request for an idle thread.
struct Work {
    request: Request,
    responder: Responder,
    /// The way to the thread, which it gives back when it is idle again. A thread that waits holds
    /// none, so it ends when the list of idle threads is dropped.
    way: SyncSender<Work>,
}

impl<F: Fn(&Request) -> Outcome + Send + Sync + 'static> Workers<F> {
    /// Creates a pool without threads.
    pub(crate) fn new(handler: F) -> Arc<Self> {
        Arc::new(Self {
            handler,
            idle: Mutex::default(),
        })
    }

    /// Handles a request in a thread.
    pub(crate) fn handle(self: &Arc<Self>, request: Request, responder: Responder) {
        let idle = self.idle().pop();
        let way = idle.unwrap_or_else(|| self.spawn());
        let work = Work {
            request,
            responder,
            way: way.clone(),
        };
        // Without a thread the responder is dropped, which answers with status 500.
        let _ = way.send(work);
    }

    fn spawn(self: &Arc<Self>) -> SyncSender<Work> {
        let (way, receiver) = sync_channel(1);
        let workers = Arc::downgrade(self);
        // If the system starts no thread, the receiver is dropped and sending fails.
        let _ = thread::Builder::new().spawn(move || Self::run(&workers, &receiver));
        way
    }

    fn run(workers: &Weak<Self>, receiver: &Receiver<Work>) {
        while let Ok(work) = receiver.recv() {
            let Some(workers) = workers.upgrade() else {
                return;
            };
            let outcome = (workers.handler)(&work.request);
            // Idle before the answer: the next request of the caller finds this thread.
            workers.idle().push(work.way);
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

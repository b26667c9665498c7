//! The callers of an entry that wait for an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fulmarpond_core::agent::Count;
use fulmarpond_core::contract::{Reason, Refusal};
use fulmarpond_core::link::CallId;
use fulmarpond_http::Responder;

use crate::http::Reply;
use crate::metrics::Metrics;
use crate::ring::Waiting;

/// Time between two looks for callers that have waited too long or have gone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The callers of an entry that wait for an answer. None of them holds a thread.
#[derive(Debug, Clone)]
pub(crate) struct Callers {
    waiting: Waiting<Caller>,
    submissions: Arc<AtomicUsize>,
    max_submissions: usize,
    metrics: Arc<Metrics>,
}

/// A caller that waits for an answer.
#[derive(Debug)]
pub(crate) struct Caller {
    /// The way back to the caller.
    pub(crate) responder: Responder<Reply>,
    /// When the caller is answered although the core has not.
    pub(crate) until: Instant,
    /// Set for a submission.
    pub(crate) waiter: Option<Waiter>,
}

/// A place among the submissions that wait, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Waiter {
    started: Instant,
    submissions: Arc<AtomicUsize>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.submissions.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Callers {
    /// Creates an empty set that draws its numbers from `numbers` and holds at most
    /// `max_submissions`.
    pub(crate) fn new(
        numbers: &Arc<AtomicU64>,
        max_submissions: usize,
        metrics: &Arc<Metrics>,
    ) -> Self {
        Self {
            waiting: Waiting::new(numbers),
            submissions: Arc::default(),
            max_submissions,
            metrics: Arc::clone(metrics),
        }
    }

    /// Takes a place for a submission that arrived at `started`, unless all are taken.
    pub(crate) fn admit(&self, started: Instant) -> Option<Waiter> {
        let before = self.submissions.fetch_add(1, Ordering::Relaxed);
        let waiter = Waiter {
            started,
            submissions: Arc::clone(&self.submissions),
        };
        (before < self.max_submissions).then_some(waiter)
    }

    /// Adds a caller and returns the number of its request.
    pub(crate) fn add(&self, caller: Caller) -> CallId {
        self.waiting.add(caller)
    }

    /// Answers a request, unless it was answered before.
    pub(crate) fn answer(&self, call: CallId, reply: impl FnOnce() -> Reply) {
        if let Some(caller) = self.waiting.take(call) {
            self.send(caller, reply());
        }
    }

    /// Answers all callers because the entry stops.
    pub(crate) fn abandon(&self) {
        let detail = "the entry stopped before the request was answered";
        for caller in self.waiting.take_if(|_| true) {
            self.give_up(caller, Refusal::new(Reason::HomeLost, 0).detail(detail));
        }
    }

    /// Starts the thread that answers callers which the core has forgotten.
    pub(crate) fn start_sweeping(&self, stop: &Arc<AtomicBool>) -> crate::Result<()> {
        let callers = self.clone();
        let stop = Arc::clone(stop);
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    callers.sweep(Instant::now());
                    thread::sleep(SWEEP_INTERVAL);
                }
            })?;
        Ok(())
    }

    /// Forgets callers that have gone, and answers those that have waited too long.
    fn sweep(&self, now: Instant) {
        drop(self.waiting.take_if(|caller| caller.responder.is_gone()));
        let detail = "the entry got no answer in time";
        for caller in self.waiting.take_if(|caller| caller.until <= now) {
            let refusal = Refusal::new(Reason::DeadlinePassed, 0).detail(detail);
            self.give_up(caller, refusal);
        }
    }

    fn give_up(&self, caller: Caller, refusal: Refusal) {
        self.metrics.count(Count::MayHaveRun(refusal.reason));
        self.send(caller, Reply::Unanswered(refusal));
    }

    fn send(&self, caller: Caller, reply: Reply) {
        if let Some(waiter) = caller.waiter {
            self.metrics
                .job_seconds
                .observe(waiter.started.elapsed().as_secs_f64());
        }
        caller.responder.send(reply);
    }
}

//! The callers of an entry that await a reply.

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
use crate::ring::PendingCalls;

/// Interval between checks for callers that have timed out or disconnected.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The callers of an entry that await a reply. A pending caller occupies no thread.
#[derive(Debug, Clone)]
pub(crate) struct Callers {
    pending: PendingCalls<Caller>,
    pending_submissions: Arc<AtomicUsize>,
    max_submissions: usize,
    metrics: Arc<Metrics>,
}

/// A caller that awaits a reply.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Sends the response to the caller.
    pub(crate) responder: Responder<Reply>,
    /// When the caller gets a response even if the core has not replied.
    pub(crate) reply_deadline: Instant,
    /// The permit of a submission; other requests need none.
    pub(crate) permit: Option<SubmissionPermit>,
}

/// A permit for one pending submission, released on drop.
#[derive(Debug)]
pub(crate) struct SubmissionPermit {
    started: Instant,
    pending_submissions: Arc<AtomicUsize>,
}

impl Drop for SubmissionPermit {
    fn drop(&mut self) {
        self.pending_submissions.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Callers {
    /// Creates an empty set that takes its call ids from the counter `next_call_id` and admits at
    /// most `max_submissions` pending submissions.
    pub(crate) fn new(
        next_call_id: &Arc<AtomicU64>,
        max_submissions: usize,
        metrics: &Arc<Metrics>,
    ) -> Self {
        Self {
            pending: PendingCalls::new(next_call_id),
            pending_submissions: Arc::default(),
            max_submissions,
            metrics: Arc::clone(metrics),
        }
    }

    /// Admits a submission that arrived at `started`, unless the limit is reached.
    pub(crate) fn try_admit(&self, started: Instant) -> Option<SubmissionPermit> {
        let before = self.pending_submissions.fetch_add(1, Ordering::Relaxed);
        let permit = SubmissionPermit {
            started,
            pending_submissions: Arc::clone(&self.pending_submissions),
        };
        (before < self.max_submissions).then_some(permit)
    }

    /// Adds a caller and returns the call id of its request.
    pub(crate) fn insert(&self, caller: Caller) -> CallId {
        self.pending.insert(caller)
    }

    /// Sends the reply to a request, unless it already has one.
    pub(crate) fn answer(&self, call: CallId, reply: impl FnOnce() -> Reply) {
        if let Some(caller) = self.pending.remove(call) {
            self.send(caller, reply());
        }
    }

    /// Answers every pending caller that its request may have run, because the entry stops.
    pub(crate) fn abort_all(&self) {
        let detail = "the entry stopped before the request was answered";
        for caller in self.pending.remove_if(|_| true) {
            self.send_unanswered(caller, Refusal::new(Reason::HomeLost, 0).detail(detail));
        }
    }

    /// Starts the thread that answers callers to which the core did not reply in time.
    pub(crate) fn start_sweeper(&self, stop: &Arc<AtomicBool>) -> crate::Result<()> {
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

    /// Removes callers that have disconnected, and answers those that have timed out.
    fn sweep(&self, now: Instant) {
        drop(
            self.pending
                .remove_if(|caller| caller.responder.is_disconnected()),
        );
        let detail = "the entry got no answer in time";
        for caller in self
            .pending
            .remove_if(|caller| caller.reply_deadline <= now)
        {
            let refusal = Refusal::new(Reason::DeadlinePassed, 0).detail(detail);
            self.send_unanswered(caller, refusal);
        }
    }

    fn send_unanswered(&self, caller: Caller, refusal: Refusal) {
        self.metrics.count(Count::MayHaveRun(refusal.reason));
        self.send(caller, Reply::Unanswered(refusal));
    }

    fn send(&self, caller: Caller, reply: Reply) {
        if let Some(permit) = caller.permit {
            self.metrics
                .job_seconds
                .observe(permit.started.elapsed().as_secs_f64());
        }
        caller.responder.send(reply);
    }
}

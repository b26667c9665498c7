//! The single report of the outcome of a call.

use std::sync::Arc;

use fulmarpond_core::link::{LinkError, Response};

use super::LinkStats;
use super::stats::count;

/// Reports the outcome of a call exactly once, also when the runtime drops the call.
pub(super) struct Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    done: Option<F>,
    sent: bool,
    stats: Arc<LinkStats>,
}

impl<F> Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    /// Creates the report of a call that was not sent yet.
    pub(super) fn new(done: F, stats: Arc<LinkStats>) -> Self {
        count(&stats.calls);
        Self {
            done: Some(done),
            sent: false,
            stats,
        }
    }

    /// Records that the request may have been written from now on.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Reports the outcome.
    pub(super) fn finish(mut self, result: Result<Response, LinkError>) {
        self.report(result);
    }

    fn report(&mut self, result: Result<Response, LinkError>) {
        if let Some(done) = self.done.take() {
            count(match &result {
                Ok(_) => &self.stats.responses,
                Err(LinkError::NotSent) => &self.stats.not_sent,
                Err(LinkError::Lost) => &self.stats.lost,
                Err(LinkError::Rejected) => &self.stats.rejected,
            });
            done(result);
        }
    }
}

impl<F> Drop for Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    fn drop(&mut self) {
        let error = if self.sent {
            LinkError::Lost
        } else {
            LinkError::NotSent
        };
        self.report(Err(error));
    }
}

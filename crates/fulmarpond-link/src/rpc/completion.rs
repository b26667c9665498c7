//! Delivery of the outcome of a call to its callback.

use std::sync::Arc;

use fulmarpond_core::link::{LinkError, Response};

use super::LinkStats;
use super::stats::increment;

/// Calls the callback of a call exactly once, even if the runtime drops the task of the call.
pub(super) struct Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    on_complete: Option<F>,
    may_be_sent: bool,
    stats: Arc<LinkStats>,
}

impl<F> Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    /// Creates the completion of a call that was not sent yet.
    pub(super) fn new(on_complete: F, stats: Arc<LinkStats>) -> Self {
        increment(&stats.calls);
        Self {
            on_complete: Some(on_complete),
            may_be_sent: false,
            stats,
        }
    }

    /// Records that the request may have been sent. A call that is dropped later is reported as
    /// lost instead of not sent.
    pub(super) fn mark_sent(&mut self) {
        self.may_be_sent = true;
    }

    pub(super) fn complete(mut self, result: Result<Response, LinkError>) {
        self.report(result);
    }

    fn report(&mut self, result: Result<Response, LinkError>) {
        if let Some(on_complete) = self.on_complete.take() {
            increment(match &result {
                Ok(_) => &self.stats.responses,
                Err(LinkError::NotSent) => &self.stats.not_sent,
                Err(LinkError::Lost) => &self.stats.lost,
                Err(LinkError::Rejected) => &self.stats.rejected,
            });
            on_complete(result);
        }
    }
}

impl<F> Drop for Completion<F>
where
    F: FnOnce(Result<Response, LinkError>),
{
    fn drop(&mut self) {
        let error = if self.may_be_sent {
            LinkError::Lost
        } else {
            LinkError::NotSent
        };
        self.report(Err(error));
    }
}

//! The verdict on a request: whether it was answered and, if not, whether it may have run.

use fulmarpond_derive::message;
use serde_json::Value;

use super::Reason;

/// The final outcome of a request.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::contract::{Reason, Refusal, Verdict};
///
/// let verdict = Verdict::NotRun(Refusal::new(Reason::OverQuota, 200));
/// assert!(!verdict.may_have_run());
/// ```
#[message]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// Every task has a result.
    Answered {
        /// One result per task, in the order of the tasks.
        results: Vec<Value>,
    },
    /// The request failed. No part of it ran or will run.
    NotRun(Refusal),
    /// The request failed. Parts of it may have run.
    MayHaveRun(Refusal),
}

impl Verdict {
    /// Creates a [`Verdict::NotRun`] with a retry delay of `retry_ms` milliseconds.
    pub fn new_not_run(reason: Reason, retry_ms: u64) -> Self {
        Self::NotRun(Refusal::new(reason, retry_ms))
    }

    /// Creates a [`Verdict::MayHaveRun`] with a retry delay of `retry_ms` milliseconds.
    pub fn new_may_have_run(reason: Reason, retry_ms: u64) -> Self {
        Self::MayHaveRun(Refusal::new(reason, retry_ms))
    }

    /// Returns whether any part of the request may have run, which includes answered requests.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun(_))
    }

    /// Returns the refusal, or `None` if the request was answered.
    pub fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Answered { .. } => None,
            Self::NotRun(refusal) | Self::MayHaveRun(refusal) => Some(refusal),
        }
    }
}

/// Why a request failed and when to retry it.
#[message]
pub struct Refusal {
    /// The reason for the failure.
    pub reason: Reason,
    /// The suggested delay in milliseconds before the next attempt.
    #[serde(rename = "retry_after_ms")]
    pub retry_ms: u64,
    /// A human-readable explanation, left out of the JSON if it is empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with a retry delay of `retry_ms` milliseconds and an empty detail.
    pub fn new(reason: Reason, retry_ms: u64) -> Self {
        Self {
            reason,
            retry_ms,
            detail: String::new(),
        }
    }

    /// Returns the refusal with the given detail.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

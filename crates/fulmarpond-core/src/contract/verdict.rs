//! The verdict on a request: whether it was answered and whether it may have run.

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
    /// Every task was answered.
    Answered {
        /// One result per task, in the order of the tasks.
        results: Vec<Value>,
    },
    /// The request failed, and no part of it ran or will run.
    NotRun(Refusal),
    /// The request failed, and parts of it may have run.
    MayHaveRun(Refusal),
}

impl Verdict {
    /// Creates a verdict of [`Verdict::NotRun`].
    pub fn not_run(reason: Reason, retry_ms: u64) -> Self {
        Self::NotRun(Refusal::new(reason, retry_ms))
    }

    /// Creates a verdict of [`Verdict::MayHaveRun`].
    pub fn may_have(reason: Reason, retry_ms: u64) -> Self {
        Self::MayHaveRun(Refusal::new(reason, retry_ms))
    }

    /// Returns whether any part of the request may have run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun(_))
    }

    /// Returns the refusal unless the request was answered.
    pub fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Answered { .. } => None,
            Self::NotRun(refusal) | Self::MayHaveRun(refusal) => Some(refusal),
        }
    }
}

/// Why a request failed and when to come back.
#[message]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The milliseconds after which another attempt is worthwhile.
    #[serde(rename = "retry_after_ms")]
    pub retry_ms: u64,
    /// What exactly was wrong, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without a detail.
    pub fn new(reason: Reason, retry_ms: u64) -> Self {
        Self {
            reason,
            retry_ms,
            detail: String::new(),
        }
    }

    /// Sets the detail.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

//! Faults of an endpoint.

use serde::{Deserialize, Serialize};

/// Faults to switch at an endpoint; fields that are not set stay as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointControl {
    /// Whether tasks are accepted but neither started nor answered until this is switched off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hang: Option<bool>,
    /// Whether every task is started and answered with status 500 at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail: Option<bool>,
    /// Whether the endpoint is leaving: it says so to the agent and no longer renews.
    ///
    /// Tasks that still arrive are run, so that the ledger shows them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leave: Option<bool>,
    /// Whether every task is answered with status 503 without a start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
}

impl EndpointControl {
    /// Sets whether tasks are accepted but not answered.
    #[must_use]
    pub fn hang(mut self, hang: bool) -> Self {
        self.hang = Some(hang);
        self
    }

    /// Sets whether every task fails.
    #[must_use]
    pub fn fail(mut self, fail: bool) -> Self {
        self.fail = Some(fail);
        self
    }

    /// Sets whether the endpoint is leaving.
    #[must_use]
    pub fn leave(mut self, leave: bool) -> Self {
        self.leave = Some(leave);
        self
    }

    /// Sets whether every task is refused.
    #[must_use]
    pub fn refuse(mut self, refuse: bool) -> Self {
        self.refuse = Some(refuse);
        self
    }
}

//! Fault injection for an endpoint.

use serde::{Deserialize, Serialize};

/// Changes to the injected faults of an endpoint; unset fields leave theirs unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointControl {
    /// Accepts tasks, but neither starts nor answers them until this is switched off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hang: Option<bool>,
    /// Records the start of every task and answers it with status 500 at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail: Option<bool>,
    /// Withdraws the announcement from the agent and stops renewing it.
    ///
    /// Tasks that still arrive are run, so that the ledger shows them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leave: Option<bool>,
    /// Answers every task with status 503 without starting it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
}

impl EndpointControl {
    /// Sets whether tasks are accepted but neither started nor answered.
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

    /// Sets whether the endpoint has withdrawn its announcement.
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

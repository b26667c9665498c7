//! Fault injection for the key-value service.

use serde::{Deserialize, Serialize};

/// Changes to the injected faults of the key-value service; unset fields leave theirs unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueControl {
    /// Answers every call with status 503.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Delay before a call takes effect, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Number of upcoming writes that take effect but whose connection is closed without a reply.
    ///
    /// Only puts and deletions that were not refused count.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u64>,
}

impl KeyValueControl {
    /// Sets whether every call is answered with status 503.
    #[must_use]
    pub fn outage(mut self, outage: bool) -> Self {
        self.outage = Some(outage);
        self
    }

    /// Sets the delay before a call takes effect, in milliseconds.
    #[must_use]
    pub fn slow_ms(mut self, slow_ms: u64) -> Self {
        self.slow_ms = Some(slow_ms);
        self
    }

    /// Sets how many upcoming writes take effect but get no reply.
    #[must_use]
    pub fn lose_replies(mut self, lose_replies: u64) -> Self {
        self.lose_replies = Some(lose_replies);
        self
    }
}

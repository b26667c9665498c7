//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

/// Faults to switch at the key-value service; fields that are not set stay as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueControl {
    /// Whether every call is answered with status 503.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Milliseconds that pass before a call takes effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// How many of the next writes take effect without a reply; their connection is closed.
    ///
    /// Writes are changes and deletions of a key that were not refused.
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

    /// Sets the milliseconds that pass before a call takes effect.
    #[must_use]
    pub fn slow_ms(mut self, slow_ms: u64) -> Self {
        self.slow_ms = Some(slow_ms);
        self
    }

    /// Sets how many of the next writes take effect without a reply.
    #[must_use]
    pub fn lose_replies(mut self, lose_replies: u64) -> Self {
        self.lose_replies = Some(lose_replies);
        self
    }
}

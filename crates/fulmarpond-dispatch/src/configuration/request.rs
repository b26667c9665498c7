//! A request for a newer configuration.

use fulmarpond_core::Time;

use crate::LinkNo;

/// How long a process waits for a requested configuration before it asks another one, in
/// milliseconds.
const TIMEOUT_MS: u64 = 500;

/// A request to the process at the other end of a link that has no reply yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRequest {
    /// The link.
    pub(crate) link: LinkNo,
    expires_at: Time,
}

impl PendingRequest {
    /// Creates a request that is sent now.
    pub(crate) const fn new(link: LinkNo, now: Time) -> Self {
        Self {
            link,
            expires_at: now.after_millis(TIMEOUT_MS),
        }
    }

    /// Returns whether a reply may still come.
    pub(crate) fn is_pending(&self, now: Time) -> bool {
        now < self.expires_at
    }
}

//! Failures of a call of the platform.

use thiserror::Error;

/// Why a call of the key-value service failed, and whether a write can have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The key has another revision than the call required. Nothing was written.
    #[error("the key is at revision {revision}")]
    Conflict {
        /// The present revision of the key, 0 if it does not exist.
        revision: u64,
    },
    /// The value is larger than the service accepts. Nothing was written.
    #[error("the value is too large for the key-value service")]
    TooLarge,
    /// The service could not be reached or declined the call. Nothing was written.
    #[error("the key-value service is unavailable")]
    Unavailable,
    /// The call was sent and no valid reply came. A write may have taken effect.
    #[error("the key-value service did not reply; a write may have taken effect")]
    Unknown,
}

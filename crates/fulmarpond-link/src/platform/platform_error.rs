//! Errors of calls to the key-value service.

use thiserror::Error;

/// An error of a call to the key-value service. It states whether a write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The key is not at the revision that the call required. Nothing was written.
    #[error("the key is at revision {revision}")]
    Conflict {
        /// The current revision of the key, 0 if it does not exist.
        revision: u64,
    },
    /// The value is larger than the service accepts. Nothing was written.
    #[error("the value is too large for the key-value service")]
    TooLarge,
    /// The service could not be reached or refused the call. Nothing was written.
    #[error("the key-value service is unavailable")]
    Unavailable,
    /// The call was sent but no valid reply was received. A write may have taken effect.
    #[error("the key-value service did not reply; a write may have taken effect")]
    Unknown,
}

//! An error in settings that were built in code.

use thiserror::Error;

/// An error in settings that were built in code instead of read from a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("[{section}] {key}: {message}")]
pub struct InvalidSetting {
    /// The section of the setting in a file.
    pub section: &'static str,
    /// The key of the setting in a file.
    pub key: &'static str,
    /// The description of the error.
    pub message: String,
}

//! A problem of settings that were built without a file.

use thiserror::Error;

/// A problem of settings that were built without a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("[{section}] {key}: {message}")]
pub struct InvalidSetting {
    /// The section that the setting has in a file.
    pub section: &'static str,
    /// The key that the setting has in a file.
    pub key: &'static str,
    /// What is wrong.
    pub message: String,
}

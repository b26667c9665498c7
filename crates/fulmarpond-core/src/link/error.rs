//! Failures of a call over a link.

use fulmarpond_derive::message;
use thiserror::Error;

/// Why a call has no response.
#[message]
#[derive(Copy, Eq, Error)]
#[serde(rename_all = "snake_case")]
pub enum LinkError {
    /// No connection carried the request, so the other side never received it.
    #[error("the request was not sent: no connection")]
    NotSent,
    /// The request was sent, and no response came. The other side may have acted on it.
    #[error("the link was lost before a response came")]
    Lost,
    /// The request was refused before it had any effect, because it is too large, could not be decoded
    /// or met a stopping process.
    #[error("the request was rejected without effect")]
    Rejected,
}

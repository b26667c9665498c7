//! Errors of a call over a link.

use fulmarpond_derive::message;
use thiserror::Error;

/// Why a call failed without a response, and whether the request was sent.
#[message]
#[derive(Copy, Eq, Error)]
#[serde(rename_all = "snake_case")]
pub enum LinkError {
    /// The request was not sent because no connection was available. It had no effect.
    #[error("the request was not sent: no connection")]
    NotSent,
    /// The request may have been sent, but no response arrived, because the link was lost or the
    /// call timed out. The receiver may have acted on it.
    #[error("the link was lost or the call timed out before a response arrived")]
    Lost,
    /// The request was rejected before it had any effect, because it is too large, could not be
    /// decoded or reached a process that is stopping.
    #[error("the request was rejected without effect")]
    Rejected,
}

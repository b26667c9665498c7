//! Sends the response to a request.

use fulmarpond_core::link::Response;
use tokio::sync::oneshot;

/// Sends the response to one request, from any thread.
///
/// If it is dropped without a response, the call ends as
/// [`Lost`](fulmarpond_core::link::LinkError::Lost): the request may have taken effect.
#[derive(Debug)]
#[must_use = "dropping a responder ends the call as `LinkError::Lost`"]
pub struct Responder(oneshot::Sender<Response>);

impl Responder {
    /// Creates a responder and the receiver of its response.
    pub(super) fn new() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }

    /// Sends the response. It is discarded if the connection is closed.
    pub fn send(self, response: Response) {
        // The receiver was dropped if the connection closed; the caller has already received an
        // error.
        let _ = self.0.send(response);
    }
}
